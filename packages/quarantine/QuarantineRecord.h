//===- QuarantineRecord.h - What is known of one request --------*- C++ -*-===//
//
// A request that crashes whatever runs it (a query of death) looks at first
// like any request whose replica crashed for another reason. A record holds the
// evidence against one request: which replica processes ended under it. Each
// process counts once, whichever daemon, hedge or shard saw it end, so records
// of different daemons are merged by the union of these.
//
// Evidence alone does not tell the guilty request from those that were in
// flight beside it on the same replicas. From CrashThreshold on only a trial
// does: one send to one replica, of which the whole fleet makes MaxTrials at
// most. A run that ends well clears the request; one that crashes its replica
// proves it guilty.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_QUARANTINE_QUARANTINERECORD_H
#define SHALLOTSHIFT_QUARANTINE_QUARANTINERECORD_H

#include "quarantine/RequestFingerprint.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace shallot {

/// Replica processes that ended under a request before it is kept from them.
inline constexpr unsigned CrashThreshold = 3;
/// Trials in the whole fleet. The second is for a first one that told nothing:
/// its replica was full, or its daemon ended.
inline constexpr unsigned MaxTrials = 2;

/// What may be done with a request.
enum class QuarantineState : std::uint8_t {
  Clear,       ///< Nothing speaks against it.
  Suspect,     ///< Sent to one replica at a time until a run ends well.
  OnTrial,     ///< Sent to one replica, by whoever is granted a trial.
  Quarantined, ///< Not sent to replicas.
};

/// For people: "clear", "suspect", "on trial", "quarantined".
std::string_view quarantineStateName(QuarantineState S);

/// How a request is sent under which replicas crashed in earlier attempts.
enum class SendRestriction : std::uint8_t {
  None,
  OneAtATime, ///< To one replica, until a run ends well.
  OneSend,    ///< A trial: to one replica, and to no other unless it ends well.
};

struct QuarantineRecord {
  RequestFingerprint Request;
  /// Names of processes (processName), sorted, CrashThreshold at most.
  std::vector<std::string> Crashed;
  unsigned Trials = 0; ///< Granted so far.
  bool Proven = false; ///< A trial crashed its replica.
  /// When a replica last crashed under it, for expiry and for operators.
  WallTime SeenAt = 0;
  std::string Route; ///< For operators.
  std::string Path;  ///< For operators; the beginning of it.

  QuarantineState quarantineState() const;
  friend bool operator==(const QuarantineRecord &,
                         const QuarantineRecord &) = default;
};

/// One process of a replica: another start of it under the same id is another
/// one.
std::string processName(const UpstreamId &Id, std::uint64_t StartedUnixMs);

/// All that either of two records of the same request knows.
QuarantineRecord merged(const QuarantineRecord &A, const QuarantineRecord &B);

/// As an object's content in the platform's store.
nlohmann::json recordContent(const QuarantineRecord &R);
/// Reads recordContent() under the object's name. Fails with BadName,
/// MissingField or WrongType: objects may come from another writer.
Result<QuarantineRecord> readRecord(const std::string &Name,
                                    const nlohmann::json &Content);

} // namespace shallot

#endif // SHALLOTSHIFT_QUARANTINE_QUARANTINERECORD_H
