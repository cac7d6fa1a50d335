//===- RequestFingerprint.h - Identity of a request -------------*- C++ -*-===//
//
// Attempts at the same request have different ids and deadlines and may arrive
// at different daemons, but replicas process them alike. Their fingerprint is
// the same: it covers the method, the host, the path with its query, the
// caller's credentials or tenant, and the body.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_QUARANTINE_REQUESTFINGERPRINT_H
#define SHALLOTSHIFT_QUARANTINE_REQUESTFINGERPRINT_H

#include "shallotshift/base.h"

#include <compare>
#include <string>
#include <string_view>

namespace shallot {

/// The parts of a request that a fingerprint covers.
struct RequestIdentity {
  std::string_view Method;
  std::string_view Host;   ///< As the caller sent it, without a port.
  std::string_view Target; ///< Path and query.
  std::string_view Caller; ///< Credentials or tenant; empty if none were sent.
  std::string_view Body;
};

class RequestFingerprint {
public:
  static RequestFingerprint of(const RequestIdentity &R);
  /// Parses the result of str(). Fails with BadName.
  static Result<RequestFingerprint> parse(std::string_view Text);

  /// 32 hexadecimal digits. The hash prevents accidental collisions, not
  /// deliberately constructed ones.
  const std::string &str() const { return Digits; }

  friend auto operator<=>(const RequestFingerprint &,
                          const RequestFingerprint &) = default;

private:
  explicit RequestFingerprint(std::string Digits) : Digits(std::move(Digits)) {}

  std::string Digits;
};

} // namespace shallot

#endif // SHALLOTSHIFT_QUARANTINE_REQUESTFINGERPRINT_H
