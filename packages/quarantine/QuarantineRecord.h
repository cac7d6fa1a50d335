//===- QuarantineRecord.h - Crash evidence about one request ----*- C++ -*-===//
//
// A request that crashes every replica that runs it (a query of death) cannot
// be told at first from a request whose replica crashed for another reason. A
// record holds the evidence against one request: the replica processes that
// crashed while running it. Each process counts once, whichever daemon, hedge
// or shard saw it end, so records of different daemons are merged by the union
// of their processes.
//
// Evidence alone does not distinguish the request that caused the crashes from
// those in flight beside it on the same replicas. From CrashThreshold processes
// on, only a trial decides: one send to one replica, of which the whole fleet
// makes at most MaxTrials. A successful run clears the request; one that
// crashes its replica proves it harmful.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_QUARANTINE_QUARANTINERECORD_H
#define SHALLOTSHIFT_QUARANTINE_QUARANTINERECORD_H

#include "quarantine/RequestFingerprint.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace shallot {

/// Number of crashed replica processes from which on a request is sent only as
/// a trial.
inline constexpr unsigned CrashThreshold = 3;
/// Maximum number of trials in the whole fleet. The second is for the case that
/// the first was inconclusive: its replica was full, or its daemon ended.
inline constexpr unsigned MaxTrials = 2;

/// How a request may be sent, given the evidence against it.
enum class QuarantineState : std::uint8_t {
  Clear,       ///< No evidence against it.
  Suspect,     ///< Sent to one replica at a time until a run succeeds.
  OnTrial,     ///< Sent to one replica by a daemon with a granted trial.
  Quarantined, ///< Not sent to replicas.
};

/// The name in logs, metrics and reports: "clear", "suspect", "on trial" or
/// "quarantined".
std::string_view quarantineStateName(QuarantineState S);

/// Restricts how a request is sent if replicas crashed in earlier attempts.
enum class SendRestriction : std::uint8_t {
  None,
  OneAtATime, ///< To one replica at a time, until a run succeeds.
  OneSend,    ///< A trial: to others only after the first succeeds.
};

struct QuarantineRecord {
  RequestFingerprint Request;
  /// Process names (processName), sorted, at most CrashThreshold.
  std::vector<std::string> Crashed;
  unsigned Trials = 0; ///< Granted so far.
  bool Proven = false; ///< A trial crashed its replica.
  /// Time of the last crash or renewal of the trials, for expiry and for
  /// operators.
  WallTime SeenAt = 0;
  std::string Route; ///< For operators.
  std::string Path;  ///< For operators; truncated.

  QuarantineState quarantineState() const;
  friend bool operator==(const QuarantineRecord &,
                         const QuarantineRecord &) = default;
};

/// Names one process of a replica. A restart under the same id is a different
/// process, unless \p StartedUnixMs is 0 (unknown): the name is then the id,
/// and all processes with this id count as one.
std::string processName(const UpstreamId &Id, std::uint64_t StartedUnixMs);

/// Merges the evidence of two records of the same request.
QuarantineRecord merged(const QuarantineRecord &A, const QuarantineRecord &B);

/// The content of the object that stores a record on the platform.
nlohmann::json recordContent(const QuarantineRecord &R);
/// Parses the result of recordContent() from the object \p Name. Fails with
/// BadName, MissingField or WrongType, since other programs may write objects.
Result<QuarantineRecord> readRecord(const std::string &Name,
                                    const nlohmann::json &Content);

} // namespace shallot

#endif // SHALLOTSHIFT_QUARANTINE_QUARANTINERECORD_H
