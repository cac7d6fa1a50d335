//===- RequestFingerprint.cpp ---------------------------------------------===//
#include "quarantine/RequestFingerprint.h"

#include <algorithm>
#include <fmt/format.h>

namespace shallot {

namespace {

constexpr std::size_t DigitCount = 32;

bool isHexDigit(char C) {
  return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'f');
}

} // namespace

RequestFingerprint RequestFingerprint::of(const RequestIdentity &R) {
  // Length prefixes keep the parts apart: "/a" with the body "b" is not "/ab".
  std::string Text =
      fmt::format("{} {}:{} {}:{} {}:{} ", R.Method, R.Host.size(), R.Host,
                  R.Target.size(), R.Target, R.Caller.size(), R.Caller);
  if (!R.Body.empty())
    Text += contentHash(R.Body);
  return RequestFingerprint(contentHash(Text));
}

Result<RequestFingerprint> RequestFingerprint::parse(std::string_view Text) {
  if (Text.size() != DigitCount || !std::ranges::all_of(Text, isHexDigit))
    return fail(ResultCode::BadName,
                fmt::format("'{}' is not a request fingerprint: expected 32 "
                            "hexadecimal digits",
                            Text.substr(0, DigitCount)));
  return RequestFingerprint(std::string(Text));
}

} // namespace shallot
