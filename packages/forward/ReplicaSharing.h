//===- ReplicaSharing.h - Exchange of observations of replicas --*- C++ -*-===//
//
// Decides what this daemon tells others of slow replicas, holds what they told
// it (SharedObservations), and records where that changed a selection, for the
// operator. ReplicaRegistry asks it at each selection; the sender of the
// reports is front/ReplicaReportLink.
//
// Off unless the deployment has an address for reports. Also off, with no
// message sent and no selection changed, in a region with fewer than
// MinReportingDaemons daemons. A replica is told of only if this daemon sees
// few answers of it: then the others do too.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FORWARD_REPLICASHARING_H
#define SHALLOTSHIFT_FORWARD_REPLICASHARING_H

#include "forward/SharedObservations.h"

#include <memory>
#include <unordered_map>

namespace shallot {

class Replica;

/// Requests are kept away from a replica because of reports, or no longer.
struct HoldChange {
  UpstreamId Id;
  ServiceName Service;
  bool Began = false;
  ToldSlowness Told;  ///< When it began.
  unsigned Sends = 0; ///< Sends kept away; set at the end.
  Duration Lasted{};  ///< Set at the end.

  friend bool operator==(const HoldChange &, const HoldChange &) = default;
};

class ReplicaSharing {
public:
  explicit ReplicaSharing(bool Enabled) : Enabled(Enabled) {}

  /// \p Daemons: those of this region that send to replicas, including this.
  void setDaemons(std::size_t Daemons) { InRegion = Daemons; }
  bool active() const { return Enabled && InRegion >= MinReportingDaemons; }

  /// A send to \p R has just been answered or abandoned.
  void observed(const std::shared_ptr<Replica> &R, Instant Now);
  /// What to tell the other daemons, the largest deviations first, at most
  /// MaxReportedReplicas. Empty if more than half of all recent answers were
  /// late: then this daemon, its network or the usual time is at fault.
  std::vector<ReplicaObservation> observations(Instant Now);

  /// Takes in a report of another daemon; returns false if it is outdated.
  bool receive(const ReplicaObservationReport &R, Instant Now);
  /// What to assume of \p R; nothing while inactive.
  ToldSlowness told(const Replica &R, Instant Now) const;
  /// Reports are held that may concern a selection.
  bool anyTold() const { return active() && !Told.empty(); }

  /// A send was kept away from \p R because of \p T.
  void kept(const Replica &R, const ToldSlowness &T, Instant Now);
  /// Beginnings and ends of holds since the last call. Also drops what has
  /// faded; call about twice per second.
  std::vector<HoldChange> takeChanges(Instant Now);
  /// Replicas from which sends are kept away now.
  std::size_t held() const { return Holds.size(); }
  /// Sends kept away since the start.
  std::uint64_t sendsKept() const { return SendsKept; }
  /// Replicas of which reports are held, believed or not.
  std::size_t toldOf() const { return Told.replicas(); }

private:
  struct Hold {
    HoldChange Change;
    Instant Began;
    Instant Last;
  };

  bool Enabled;
  std::size_t InRegion = 1;
  SharedObservations Told;
  /// Replicas whose last answer was late.
  std::unordered_map<UpstreamId, std::weak_ptr<Replica>> Late;
  double AnswersSeen = 0; ///< Recent ones of all replicas, at SeenAt.
  double LateSeen = 0;
  Instant SeenAt{};
  std::unordered_map<UpstreamId, Hold> Holds;
  std::vector<HoldChange> Changes;
  std::uint64_t SendsKept = 0;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FORWARD_REPLICASHARING_H
