//===- HttpHead.cpp -------------------------------------------------------===//
#include "base/HttpHead.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

namespace shallot {

namespace {

/// A reply is announced by one or two of class 1xx. Without a bound, a server
/// that sends nothing else keeps its reader busy for ever.
constexpr unsigned MaxInterims = 16;
/// Bytes of a refused value that a fault repeats.
constexpr std::size_t MaxQuotedBytes = 40;

constexpr std::string_view Blanks = " \t";
constexpr std::string_view Major1 = "HTTP/1.";
constexpr int SwitchingProtocols = 101;

/// Methods that callers may use: those of RFC 9110 and registered ones.
constexpr std::string_view Methods[] = {
    "GET",        "POST",    "PUT",        "DELETE",      "HEAD",
    "PATCH",      "OPTIONS", "CONNECT",    "TRACE",       "COPY",
    "LOCK",       "MKCOL",   "MOVE",       "PROPFIND",    "PROPPATCH",
    "SEARCH",     "UNLOCK",  "BIND",       "REBIND",      "UNBIND",
    "ACL",        "REPORT",  "MKACTIVITY", "CHECKOUT",    "MERGE",
    "M-SEARCH",   "NOTIFY",  "SUBSCRIBE",  "UNSUBSCRIBE", "PURGE",
    "MKCALENDAR", "LINK",    "UNLINK",     "SOURCE"};

using ByteSet = std::array<bool, 256>;

bool isIn(const ByteSet &Set, char C) {
  return Set[static_cast<unsigned char>(C)];
}

bool allIn(const ByteSet &Set, std::string_view Text) {
  return std::ranges::all_of(Text, [&](char C) { return isIn(Set, C); });
}

/// tchar of RFC 9110, 5.6.2.
constexpr ByteSet TokenBytes = [] {
  ByteSet Set{};
  for (int C = 'a'; C <= 'z'; ++C)
    Set[C] = Set[C - 'a' + 'A'] = true;
  for (int C = '0'; C <= '9'; ++C)
    Set[C] = true;
  for (unsigned char C : std::string_view("!#$%&'*+-.^_`|~"))
    Set[C] = true;
  return Set;
}();

/// VCHAR and obs-text of RFC 9110, 5.5.
constexpr ByteSet VisibleBytes = [] {
  ByteSet Set{};
  for (int C = '!'; C < 256; ++C)
    Set[C] = C != '\x7f';
  return Set;
}();

constexpr ByteSet FieldTextBytes = [] {
  ByteSet Set = VisibleBytes;
  Set[' '] = Set['\t'] = true;
  return Set;
}();

bool isToken(std::string_view Text) {
  return !Text.empty() && allIn(TokenBytes, Text);
}

bool isDigit(char C) { return C >= '0' && C <= '9'; }

bool startsWithBlank(std::string_view Text) {
  return !Text.empty() && Blanks.find(Text.front()) != std::string_view::npos;
}

std::string_view withoutLineEnd(std::string_view Line) {
  if (Line.ends_with('\n'))
    Line.remove_suffix(1);
  if (Line.ends_with('\r'))
    Line.remove_suffix(1);
  return Line;
}

std::string_view trimmed(std::string_view Text) {
  std::size_t First = Text.find_first_not_of(Blanks);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Blanks) - First + 1);
}

/// Calls \p Fn for each element of the comma-separated lists of field \p Name.
/// Empty elements are none (RFC 9110, 5.6.1.2).
template <typename F>
void forEachElement(const HttpHeaders &Headers, std::string_view Name, F Fn) {
  for (const HttpHeader &H : Headers) {
    if (!sameHeaderName(H.Name, Name))
      continue;
    std::string_view Rest = H.Value;
    while (!Rest.empty()) {
      std::size_t Comma = std::min(Rest.find(','), Rest.size());
      std::string_view Element = trimmed(Rest.substr(0, Comma));
      if (!Element.empty())
        Fn(Element);
      Rest.remove_prefix(std::min(Comma + 1, Rest.size()));
    }
  }
}

/// The part of a field's name up to the byte that no name may have. What
/// follows may be a caller's secret, which belongs in no log.
std::string_view brokenName(std::string_view Text) {
  auto Bad = std::ranges::find_if_not(
      Text, [](char C) { return isIn(TokenBytes, C); });
  auto Size = static_cast<std::size_t>(Bad - Text.begin());
  return Text.substr(0, std::min(Size + 1, Text.size()));
}

/// \p Value without bytes that could be taken for something else in a log.
std::string quoted(std::string_view Value) {
  std::string Out = "\"";
  for (char C : Value.substr(0, MaxQuotedBytes))
    Out += C >= ' ' && C <= '~' && C != '"' ? C : '?';
  return Out + (Value.size() > MaxQuotedBytes ? "\"..." : "\"");
}

/// A reply with \p Status ends with its head, whatever its fields say
/// (RFC 9112, 6.3).
bool hasNoBody(int Status) {
  return (Status >= 100 && Status < 200) || Status == 204 || Status == 304;
}

} // namespace

bool HttpHeadParser::refuse(std::string_view Reason, std::string_view Value) {
  Fault = std::string(Reason) + ": " + quoted(Value);
  return false;
}

bool HttpHeadParser::line(std::string_view Line) {
  std::string_view Text = withoutLineEnd(Line);
  switch (State) {
  case Place::StartLine:
    return startLine(Text);
  case Place::Fields:
    return Text.empty() ? endFields() : fieldLine(Text);
  case Place::Trailers:
    if (!Text.empty())
      return fieldLine(Text);
    State = Place::End;
    return true;
  case Place::End:
    return refuse("a line behind the trailers", Text);
  }
  return false;
}

bool HttpHeadParser::mayBegin(std::string_view Part) {
  if (State != Place::StartLine || Part.empty())
    return true;
  if (Kind == MessageKind::Reply)
    return Major1.starts_with(Part.substr(0, Major1.size())) ||
           refuse("not a version of HTTP/1.x", Part);
  std::size_t Blank = Part.find(' ');
  std::string_view Method = Part.substr(0, Blank);
  auto Fits = [&](std::string_view M) {
    return Blank == std::string_view::npos ? M.starts_with(Method)
                                           : M == Method;
  };
  return std::ranges::any_of(Methods, Fits) ||
         refuse("not a known method", Method);
}

bool HttpHeadParser::startLine(std::string_view Text) {
  // RFC 9112, 2.2: an empty line before a request is ignored.
  if (Kind == MessageKind::Request && Text.empty())
    return true;
  State = Place::Fields;
  FieldSeen = false;
  return Kind == MessageKind::Request ? requestLine(Text) : statusLine(Text);
}

/// \p Text is HTTP-version of RFC 9112, 2.3.
bool HttpHeadParser::version(std::string_view Text) {
  if (Text.size() != Major1.size() + 1 || !Text.starts_with(Major1) ||
      !isDigit(Text.back()))
    return refuse("not a version of HTTP/1.x", Text);
  Head.Http10 = Text.back() == '0';
  return true;
}

bool HttpHeadParser::statusLine(std::string_view Text) {
  std::size_t Blank = std::min(Text.find(' '), Text.size());
  if (!version(Text.substr(0, Blank)))
    return false;
  std::string_view Rest = Text.substr(std::min(Blank + 1, Text.size()));
  std::string_view Code = Rest.substr(0, Rest.find(' '));
  if (Code.size() != 3 || !std::ranges::all_of(Code, isDigit) ||
      Code.front() < '1' || Code.front() > '5')
    return refuse("a status that is not from 100 to 599", Code);
  std::from_chars(Code.data(), Code.data() + Code.size(), Head.Status);
  if (Head.Status == SwitchingProtocols)
    return refuse("a change of protocol that was not asked for", Code);
  return isFieldText(Rest) || refuse("a control byte in the reason", Rest);
}

bool HttpHeadParser::requestLine(std::string_view Text) {
  std::size_t First = std::min(Text.find(' '), Text.size());
  std::size_t Last = std::max(First, Text.rfind(' '));
  std::string_view Method = Text.substr(0, First);
  if (std::ranges::find(Methods, Method) == std::end(Methods))
    return refuse("not a known method", Method);
  if (Last >= Text.size() || Last == First)
    return refuse("a request line without target and version", Text);
  std::string_view Target = Text.substr(First + 1, Last - First - 1);
  if (Target.empty() || !allIn(VisibleBytes, Target))
    return refuse("a target with blanks or control bytes", Target);
  Head.Method = Method;
  Head.Target = Target;
  return version(Text.substr(Last + 1));
}

bool HttpHeadParser::fieldLine(std::string_view Text) {
  bool Stored = State == Place::Fields;
  ++FieldLines;
  if (!isFieldText(Text))
    return refuse("a control byte in a field", brokenName(Text));
  if (startsWithBlank(Text)) {
    if (!FieldSeen)
      return refuse("a blank before the first field", {});
    std::string_view More = trimmed(Text);
    if (Stored && !More.empty()) {
      std::string &Value = Head.Headers.back().Value;
      Value.append(Value.empty() ? "" : " ").append(More);
    }
    return true;
  }
  std::size_t Colon = Text.find(':');
  if (Colon == std::string_view::npos)
    return refuse("a field without a colon", {});
  std::string_view Name = Text.substr(0, Colon);
  if (!isToken(Name))
    return refuse("a field name that is no token", brokenName(Name));
  FieldSeen = true;
  if (Stored)
    Head.Headers.push_back(
        {std::string(Name), std::string(trimmed(Text.substr(Colon + 1)))});
  return true;
}

bool HttpHeadParser::endFields() {
  if (!readFraming())
    return false;
  FieldSeen = false;
  State = Place::Trailers;
  if (Kind == MessageKind::Request || Head.Status >= 200)
    return true;
  // A reply of class 1xx announces another one to the same request.
  Head = HttpHead();
  State = Place::StartLine;
  return ++Interims <= MaxInterims ||
         refuse("too many replies of class 1xx", {});
}

/// Decides how the body ends (RFC 9112, 6.1 to 6.3).
bool HttpHeadParser::readFraming() {
  const HttpHeader *Length = nullptr;
  bool Coded = false;
  for (const HttpHeader &H : Head.Headers) {
    Coded = Coded || sameHeaderName(H.Name, "Transfer-Encoding");
    if (!sameHeaderName(H.Name, "Content-Length"))
      continue;
    if (Length)
      return refuse("more than one Content-Length", H.Value);
    Length = &H;
  }
  if (Coded && Length)
    return refuse("a Content-Length beside Transfer-Encoding", Length->Value);
  if (Kind == MessageKind::Reply)
    Head.End = MessageEnd::Close;
  if ((Coded && !readCoding()) || (Length && !readLength(Length->Value)))
    return false;
  if (NoBody || (Kind == MessageKind::Reply && hasNoBody(Head.Status)))
    Head.End = MessageEnd::Head;
  return true;
}

/// HTTP/1.0 has no transfer codings (RFC 9112, 6.1).
bool HttpHeadParser::readCoding() {
  unsigned Codings = 0;
  std::string_view Coding;
  forEachElement(Head.Headers, "Transfer-Encoding", [&](std::string_view E) {
    ++Codings;
    Coding = E;
  });
  Head.End = MessageEnd::Chunks;
  return (Codings == 1 && sameHeaderName(Coding, "chunked") && !Head.Http10) ||
         refuse("a Transfer-Encoding other than chunked", Coding);
}

bool HttpHeadParser::readLength(std::string_view Value) {
  const char *End = Value.data() + Value.size();
  auto [At, Error] = std::from_chars(Value.data(), End, Head.Length);
  Head.End = Head.Length == 0 ? MessageEnd::Head : MessageEnd::Length;
  return (Error == std::errc() && At == End) ||
         refuse("a Content-Length that is no number", Value);
}

bool hasListElement(const HttpHeaders &Headers, std::string_view Name,
                    std::string_view Token) {
  bool Found = false;
  forEachElement(Headers, Name, [&](std::string_view E) {
    Found = Found || sameHeaderName(E, Token);
  });
  return Found;
}

bool keepsConnection(const HttpHead &Head) {
  if (Head.End == MessageEnd::Close)
    return false;
  // The caller may go on in another protocol.
  bool IsRequest = !Head.Method.empty();
  if (IsRequest && (Head.Method == "CONNECT" ||
                    hasListElement(Head.Headers, "Connection", "upgrade")))
    return false;
  if (Head.Http10)
    return hasListElement(Head.Headers, "Connection", "keep-alive");
  return !hasListElement(Head.Headers, "Connection", "close");
}

bool isFieldText(std::string_view Text) { return allIn(FieldTextBytes, Text); }

std::optional<std::uint64_t> chunkSize(std::string_view Line) {
  if (!Line.ends_with("\r\n"))
    return std::nullopt;
  Line.remove_suffix(2);
  std::uint64_t Size = 0;
  const char *End = Line.data() + Line.size();
  auto [At, Error] = std::from_chars(Line.data(), End, Size, 16);
  if (Error == std::errc::result_out_of_range)
    Size = std::numeric_limits<std::uint64_t>::max();
  else if (Error != std::errc())
    return std::nullopt;
  std::string_view Rest(At, static_cast<std::size_t>(End - At));
  if (!Rest.empty() && !trimmed(Rest).starts_with(';'))
    return std::nullopt;
  return isFieldText(Rest) ? std::optional(Size) : std::nullopt;
}

} // namespace shallot
