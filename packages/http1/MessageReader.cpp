//===- MessageReader.cpp --------------------------------------------------===//
#include "http1/MessageReader.h"

#include <utility>

namespace shallot::internal {

namespace {

/// What on_headers_complete tells http_parser.
constexpr int GoOn = 0;
constexpr int SkipBody = 1;
constexpr int Stop = -1;

/// A reply is announced by one or two of class 1xx. Without a bound, a server
/// that sends nothing else keeps its reader busy for ever.
constexpr unsigned MaxInterims = 16;

} // namespace

MessageReader::MessageReader(MessageKind Kind, MessageLimits Limits)
    : Kind(Kind), Limits(Limits) {
  reset();
}

void MessageReader::reset() {
  http_parser_init(&Parser,
                   Kind == MessageKind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
  Parser.data = this;
  State = ReadState::Waiting;
  M = Message();
  HeaderBytes = 0;
  Interims = 0;
  LengthKnown = false;
  InValue = false;
  NoBody = false;
}

const http_parser_settings &MessageReader::callbacks() {
  static const http_parser_settings Table = [] {
    http_parser_settings S;
    http_parser_settings_init(&S);
    S.on_message_begin = &onStart;
    S.on_url = &onTarget;
    S.on_header_field = &onField;
    S.on_header_value = &onValue;
    S.on_headers_complete = &onHeaders;
    S.on_body = &onBody;
    S.on_message_complete = &onWhole;
    return S;
  }();
  return Table;
}

std::size_t MessageReader::feed(std::string_view Bytes) {
  if (State == ReadState::Waiting || State == ReadState::Headers ||
      State == ReadState::Body) {
    std::size_t Used =
        http_parser_execute(&Parser, &callbacks(), Bytes.data(), Bytes.size());
    if (State == ReadState::Whole)
      return Used; // Paused behind the last byte.
    if (Parser.http_errno != HPE_OK &&
        (State == ReadState::Waiting || State == ReadState::Headers ||
         State == ReadState::Body))
      State = Parser.http_errno == HPE_HEADER_OVERFLOW
                  ? ReadState::HeadersTooLarge
                  : ReadState::Malformed;
    return Used;
  }
  return 0;
}

void MessageReader::feedEnd() {
  if (State == ReadState::Headers || State == ReadState::Body)
    http_parser_execute(&Parser, &callbacks(), nullptr, 0);
}

Message MessageReader::take() {
  Message Out = std::move(M);
  reset();
  return Out;
}

bool MessageReader::headerBytes(std::size_t More) {
  HeaderBytes += More;
  if (HeaderBytes <= Limits.MaxHeaderBytes)
    return true;
  State = ReadState::HeadersTooLarge;
  return false;
}

int MessageReader::onStart(http_parser *P) {
  of(P).State = ReadState::Headers;
  return GoOn;
}

int MessageReader::onTarget(http_parser *P, const char *At, std::size_t Size) {
  of(P).M.Target.append(At, Size);
  return of(P).headerBytes(Size) ? GoOn : Stop;
}

int MessageReader::onField(http_parser *P, const char *At, std::size_t Size) {
  MessageReader &R = of(P);
  if (R.M.Headers.empty() || R.InValue)
    R.M.Headers.emplace_back();
  R.InValue = false;
  R.M.Headers.back().Name.append(At, Size);
  return R.headerBytes(Size) ? GoOn : Stop;
}

int MessageReader::onValue(http_parser *P, const char *At, std::size_t Size) {
  MessageReader &R = of(P);
  R.InValue = true;
  R.M.Headers.back().Value.append(At, Size);
  return R.headerBytes(Size) ? GoOn : Stop;
}

int MessageReader::onHeaders(http_parser *P) {
  MessageReader &R = of(P);
  R.State = ReadState::Body;
  if (R.Kind == MessageKind::Request)
    R.M.Method = http_method_str(static_cast<http_method>(P->method));
  else
    R.M.Status = static_cast<int>(P->status_code);
  R.M.Http10 = P->http_major < 1 || (P->http_major == 1 && P->http_minor == 0);
  bool HasLength = !(P->flags & F_CHUNKED) && P->content_length != UINT64_MAX;
  R.LengthKnown = HasLength;
  if (HasLength && P->content_length > R.Limits.MaxBodyBytes) {
    R.State = ReadState::BodyTooLarge;
    return Stop;
  }
  return R.NoBody ? SkipBody : GoOn;
}

int MessageReader::onBody(http_parser *P, const char *At, std::size_t Size) {
  MessageReader &R = of(P);
  if (R.M.Body.size() + Size > R.Limits.MaxBodyBytes) {
    R.State = ReadState::BodyTooLarge;
    return Stop;
  }
  R.M.Body.append(At, Size);
  return GoOn;
}

int MessageReader::onWhole(http_parser *P) {
  MessageReader &R = of(P);
  // A 1xx reply announces another reply to the same request.
  bool Interim =
      R.Kind == MessageKind::Reply && R.M.Status >= 100 && R.M.Status < 200;
  if (Interim) {
    if (++R.Interims > MaxInterims) {
      R.State = ReadState::Malformed;
      return Stop;
    }
    R.M = Message();
    R.InValue = false;
    R.State = ReadState::Waiting;
    return GoOn;
  }
  R.M.KeepAlive = http_should_keep_alive(P) != 0 && P->upgrade == 0;
  R.State = ReadState::Whole;
  http_parser_pause(P, 1);
  return GoOn;
}

} // namespace shallot::internal
