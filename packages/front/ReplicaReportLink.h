//===- ReplicaReportLink.h - Reports of slow replicas -----------*- C++ -*-===//
//
// Sends what ReplicaSharing has to tell to a few daemons of this region, drawn
// at random for each report, and passes on what they send. A daemon that does
// not hear a report hears one of another daemon. No report leaves the region:
// the daemons of other regions send to other replicas as long as they can, and
// traffic between regions is the most expensive. Nothing is retransmitted,
// passed on or stored.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_REPLICAREPORTLINK_H
#define SHALLOTSHIFT_FRONT_REPLICAREPORTLINK_H

#include "front/FleetLink.h"
#include "shallotshift/http1.h"
#include "shallotshift/telemetry.h"

namespace shallot {

class ReplicaReportLink {
public:
  /// Opens the socket at \p At; all daemons use its port. Fails with
  /// AddressInUse.
  static Result<std::unique_ptr<ReplicaReportLink>>
  open(EventLoop &Loop, TimerQueue &Timers, const Endpoint &At,
       FleetLink &Fleet, ReplicaRegistry &Replicas, Random &Rng);
  ~ReplicaReportLink();
  ReplicaReportLink(const ReplicaReportLink &) = delete;
  ReplicaReportLink &operator=(const ReplicaReportLink &) = delete;

  void writeGauges(Metrics &Meter) const;

private:
  ReplicaReportLink(EventLoop &Loop, TimerQueue &Timers, std::uint16_t Port,
                    FleetLink &Fleet, ReplicaRegistry &Replicas, Random &Rng);

  void tick();
  void report();
  void receive(const ReplicaObservationReport &R);
  void logHolds();
  bool isPeer(const Member &M) const;

  EventLoop &Loop;
  TimerQueue &Timers;
  std::uint16_t Port;
  FleetLink &Fleet;
  ReplicaRegistry &Replicas;
  Random &Rng;
  std::unique_ptr<DatagramSocket> Socket;
  TimerQueue::Key Timer = 0;
  Instant TickedAt;
  Instant HoldsLoggedAt;
  std::uint64_t Sequence = 0;
  std::uint64_t Dropped = 0; ///< Reports: outdated, or not from a peer.
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_REPLICAREPORTLINK_H
