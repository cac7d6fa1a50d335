//===- RequestFingerprint.h - A request, whoever carries it -----*- C++ -*-===//
//
// Two attempts at the same request have different ids and deadlines and may
// come to different daemons. What a replica does with them is the same, and so
// is their fingerprint: it covers the method, the host, the path with its
// query, who the caller says it is, and the body.
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
  std::string_view Host;   ///< As callers name it, without a port.
  std::string_view Target; ///< Path and query.
  std::string_view Caller; ///< Credentials or tenant; empty if none are sent.
  std::string_view Body;
};

class RequestFingerprint {
public:
  static RequestFingerprint of(const RequestIdentity &R);
  /// Reads str(). Fails with BadName.
  static Result<RequestFingerprint> parse(std::string_view Text);

  /// 32 hexadecimal digits. They guard against mix-ups, not against somebody
  /// who looks for two requests with the same fingerprint.
  const std::string &str() const { return Digits; }

  friend auto operator<=>(const RequestFingerprint &,
                          const RequestFingerprint &) = default;

private:
  explicit RequestFingerprint(std::string Digits) : Digits(std::move(Digits)) {}

  std::string Digits;
};

} // namespace shallot

#endif // SHALLOTSHIFT_QUARANTINE_REQUESTFINGERPRINT_H
