//===- ClaimRecord.h - A claim as the platform keeps it ---------*- C++ -*-===//
//
// One object for each caller's own key, created before the action is run and
// updated once with its outcome. The nonce differs for each run of the owner,
// so that an owner that forgot a run does not take its old claim for a new one.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_ACTION_CLAIMRECORD_H
#define SHALLOTSHIFT_ACTION_CLAIMRECORD_H

#include "action/ActionTypes.h"

namespace shallot {

/// The folder of claims in the platform.
inline constexpr std::string_view ClaimPrefix = "actions/";

struct ClaimRecord {
  DaemonId Owner;
  std::string Nonce;
  std::string Digest;
  WallTime At = 0; ///< For people and for whoever clears old claims.
  std::optional<ActionOutcome> Outcome;

  friend bool operator==(const ClaimRecord &, const ClaimRecord &) = default;
};

std::string encode(const ClaimRecord &R);
/// Fails with PlatformBadReply.
Result<ClaimRecord> decodeClaim(std::string_view Json);

/// Where the claim of this key lies: "actions/TENANT/HASH".
std::string claimPath(const Tenant &Owner, const std::string &Key);

} // namespace shallot

#endif // SHALLOTSHIFT_ACTION_CLAIMRECORD_H
