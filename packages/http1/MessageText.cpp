//===- MessageText.cpp ----------------------------------------------------===//
#include "http1/MessageText.h"

#include <algorithm>
#include <array>
#include <http_parser.h>

namespace shallot {

namespace {

/// RFC 9110, 7.6.1; Content-Length is written anew for the body that leaves.
constexpr std::array<std::string_view, 10> HopHeaders = {"Connection",
                                                         "Keep-Alive",
                                                         "Proxy-Connection",
                                                         "Proxy-Authenticate",
                                                         "Proxy-Authorization",
                                                         "TE",
                                                         "Trailer",
                                                         "Transfer-Encoding",
                                                         "Upgrade",
                                                         "Content-Length"};

void addLine(std::string &Out, std::string_view Name, std::string_view Value) {
  Out.append(Name).append(": ").append(Value).append("\r\n");
}

std::size_t headerSize(const HttpHeaders &Headers) {
  std::size_t Size = 0;
  for (const HttpHeader &H : Headers)
    Size += H.Name.size() + H.Value.size() + 4;
  return Size;
}

/// Room for the start line and the lines that are added here.
constexpr std::size_t StartBytes = 160;

/// Of the start line of a request. A body of these methods may be empty, which
/// a length of 0 says (RFC 9110, 8.6).
bool comesWithBody(std::string_view Head) {
  std::string_view Method = Head.substr(0, Head.find(' '));
  return Method == "POST" || Method == "PUT" || Method == "PATCH";
}

bool hasNoBody(int Status) {
  return Status < 200 || Status == 204 || Status == 304;
}

std::string_view trimmed(std::string_view Text) {
  while (!Text.empty() && (Text.front() == ' ' || Text.front() == '\t'))
    Text.remove_prefix(1);
  while (!Text.empty() && (Text.back() == ' ' || Text.back() == '\t'))
    Text.remove_suffix(1);
  return Text;
}

} // namespace

bool isHopHeader(std::string_view Name, std::string_view Connection) {
  auto Is = [&](std::string_view Hop) { return sameHeaderName(Hop, Name); };
  if (std::ranges::any_of(HopHeaders, Is))
    return true;
  while (!Connection.empty()) {
    std::size_t Comma = std::min(Connection.find(','), Connection.size());
    if (Is(trimmed(Connection.substr(0, Comma))))
      return true;
    Connection.remove_prefix(std::min(Comma + 1, Connection.size()));
  }
  return false;
}

std::string requestHead(std::string_view Method, std::string_view Target,
                        const HttpHeaders &Headers) {
  std::string Out;
  Out.reserve(StartBytes + Target.size() + headerSize(Headers));
  Out.append(Method).append(" ").append(Target).append(" HTTP/1.1\r\n");
  for (const HttpHeader &H : Headers)
    addLine(Out, H.Name, H.Value);
  return Out;
}

std::string requestText(std::string_view Head, const HttpHeaders &Further,
                        std::string_view Body) {
  std::string Out;
  Out.reserve(StartBytes + Head.size() + headerSize(Further) + Body.size());
  Out.append(Head);
  for (const HttpHeader &H : Further)
    addLine(Out, H.Name, H.Value);
  if (!Body.empty() || comesWithBody(Head))
    addLine(Out, "Content-Length", std::to_string(Body.size()));
  Out.append("\r\n").append(Body);
  return Out;
}

std::string replyText(int Status, const HttpHeaders &Headers,
                      std::string_view Body, bool Close, bool WithBody) {
  std::string Out;
  Out.reserve(StartBytes + headerSize(Headers) + Body.size());
  Out.append("HTTP/1.1 ").append(std::to_string(Status)).append(" ");
  Out.append(http_status_str(static_cast<http_status>(Status)));
  Out.append("\r\n");
  for (const HttpHeader &H : Headers)
    addLine(Out, H.Name, H.Value);
  if (!hasNoBody(Status))
    addLine(Out, "Content-Length", std::to_string(Body.size()));
  if (Close)
    addLine(Out, "Connection", "close");
  Out.append("\r\n");
  if (WithBody && !hasNoBody(Status))
    Out.append(Body);
  return Out;
}

} // namespace shallot
