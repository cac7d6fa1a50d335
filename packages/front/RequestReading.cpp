//===- RequestReading.cpp -------------------------------------------------===//
#include "front/RequestReading.h"

#include <algorithm>
#include <charconv>

namespace shallot {

namespace {

constexpr Duration MaxCallerWait = Seconds(300);

/// Identifies the caller, if present. It is part of the fingerprint, since a
/// replica may handle the same request differently for another caller.
constexpr char CredentialsHeader[] = "Authorization";

} // namespace

std::optional<Duration> readDeadline(std::string_view Text) {
  double Ms = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Ms);
  if (Error != std::errc() || Ms < 0)
    return std::nullopt;
  return std::min<Duration>(fromMillisF(Ms), MaxCallerWait);
}

std::string hostOf(std::string_view Value) {
  std::string Host(Value.substr(0, Value.find(':')));
  std::ranges::transform(Host, Host.begin(), [](char C) {
    return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
  });
  return Host;
}

std::string forwardedHead(const CallerRequest &R, const HeaderNames &Names) {
  std::string_view Connection = headerValue(R.Headers, "Connection");
  HttpHeaders Kept;
  for (const HttpHeader &H : R.Headers) {
    bool Ours = sameHeaderName(H.Name, Names.Deadline) ||
                sameHeaderName(H.Name, Names.TargetReplica) ||
                sameHeaderName(H.Name, "Expect");
    if (!Ours && !isHopHeader(H.Name, Connection))
      Kept.push_back(H);
  }
  return requestHead(R.Method, R.Target, Kept);
}

RequestAttempt nameRequest(const CallerRequest &R, std::string_view Host,
                           std::string Route, std::string Id) {
  RequestIdentity Parts{R.Method, Host, R.Target,
                        headerValue(R.Headers, CredentialsHeader), R.Body};
  return {RequestFingerprint::of(Parts), std::move(Id), std::move(Route),
          std::string(R.path())};
}

} // namespace shallot
