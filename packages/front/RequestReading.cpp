//===- RequestReading.cpp -------------------------------------------------===//
#include "front/RequestReading.h"

#include <algorithm>
#include <charconv>

namespace shallot {

namespace {

constexpr Duration MaxCallerWait = Seconds(300);

/// The key in \p Credentials, or nothing if they are of another scheme.
std::string_view keyOf(std::string_view Credentials, std::string_view Scheme) {
  std::size_t Space = Credentials.find(' ');
  if (Space == std::string_view::npos ||
      !sameHeaderName(Credentials.substr(0, Space), Scheme))
    return {};
  std::size_t Key = Credentials.find_first_not_of(' ', Space);
  return Key == std::string_view::npos ? std::string_view()
                                       : Credentials.substr(Key);
}

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

Result<const Organisation *> identifyCaller(const CallerRequest &R,
                                            const HeaderNames &Names,
                                            const ServingConfig &Config,
                                            const Route &On) {
  if (Config.callers().empty())
    return nullptr;
  auto IsCredentials = [&](const HttpHeader &H) {
    return sameHeaderName(H.Name, Names.Credentials);
  };
  auto Count = std::ranges::count_if(R.Headers, IsCredentials);
  std::string_view Key =
      keyOf(headerValue(R.Headers, Names.Credentials), Names.KeyScheme);
  const Organisation *Caller =
      Count == 1 ? Config.callers().findByKey(Key) : nullptr;
  if (Caller || On.Public)
    return Caller;
  if (Count == 0)
    return fail(ResultCode::UnknownKey, "no key was sent");
  if (Count > 1)
    return fail(ResultCode::UnknownKey, "credentials were sent twice");
  return fail(ResultCode::UnknownKey,
              Key.empty()
                  ? "the credentials are not of scheme " + Names.KeyScheme
                  : "no organisation holds the key that was sent");
}

std::string forwardedHead(const CallerRequest &R, const HeaderNames &Names,
                          const ServingConfig &Config,
                          const Organisation *Caller) {
  std::string_view Connection = headerValue(R.Headers, "Connection");
  bool HasKeys = !Config.callers().empty();
  HttpHeaders Kept;
  for (const HttpHeader &H : R.Headers) {
    bool Ours = sameHeaderName(H.Name, Names.Deadline) ||
                sameHeaderName(H.Name, Names.TargetReplica) ||
                sameHeaderName(H.Name, Names.Organisation) ||
                (HasKeys && sameHeaderName(H.Name, Names.Credentials)) ||
                sameHeaderName(H.Name, "Expect");
    if (!Ours && !isHopHeader(H.Name, Connection))
      Kept.push_back(H);
  }
  if (Caller)
    Kept.push_back({Names.Organisation, Caller->Name.str()});
  return requestHead(R.Method, R.Target, Kept);
}

RequestAttempt nameRequest(const CallerRequest &R, const HeaderNames &Names,
                           std::string_view Host, std::string Route,
                           std::string Id, const ServingConfig &Config,
                           const Organisation *Caller) {
  std::string_view Sender;
  if (Caller)
    Sender = Caller->Name.str();
  else if (Config.callers().empty())
    Sender = headerValue(R.Headers, Names.Credentials);
  RequestIdentity Parts{R.Method, Host, R.Target, Sender, R.Body};
  return {RequestFingerprint::of(Parts), std::move(Id), std::move(Route),
          std::string(R.path())};
}

} // namespace shallot
