//===- OverloadModel.h - Callers, entries, holders, upstreams ---*- C++ -*-===//
//
// Virtual time, one queue of events and the real decisions of package limits
// between made-up callers and made-up upstreams. Upstreams work on their slots'
// requests for a drawn time; the network is a fixed delay. Each query needs
// every service (full coverage), so one lost sub-request is a lost query.
//
// The baseline starts every query at once, queues first come first served
// without bound at the slots' holders, does not cancel, and tries each failed
// sub-request three times.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_TESTS_OVERLOADMODEL_H
#define SHALLOTSHIFT_TESTS_OVERLOADMODEL_H

#include "AllocationFixture.h"

#include <deque>
#include <queue>

namespace shallot::bench {

struct Scenario {
  bool Baseline = false;
  double Load = 1; ///< Of the capacity in queries a second.
  Duration WarmUp = Seconds(5);
  Duration Length = Seconds(20);
  std::optional<Duration> ZoneLostAt;
  std::uint64_t Seed = 1;
};

struct ClassFigures {
  unsigned Offered = 0;
  unsigned Good = 0; ///< Whole answers within the deadline.
  unsigned Refused = 0;
  unsigned Failed = 0; ///< Started, and no whole answer in time.
};

/// Counted after the warm-up, by the arrival of the query.
struct Figures {
  std::map<CallerClass, ClassFigures> Classes;
  double Goodput = 0;            ///< Good answers a second.
  std::vector<double> RefusalMs; ///< From arrival to refusal.
  unsigned RefusedWithSubRequests = 0;
  unsigned EndedTwiceOrNever = 0;
  double FirstSubRequests = 0;
  double ExtraSubRequests = 0; ///< Retries.
};

/// Queries a second that the upstreams can work on.
double capacity();

Figures run(const Scenario &S);

class Model {
public:
  explicit Model(const Scenario &S);
  Figures run();

private:
  static constexpr unsigned Replicas = 3;

  struct Query {
    CallerClass Class;
    unsigned Entry = 0;
    Instant Arrived;
    Instant Started;
    Instant Deadline;
    unsigned Sent = 0;
    unsigned Left = 0; ///< Services without an answer.
    unsigned Ends = 0;
    bool Counted = false;
    bool Overloaded = false;
    Duration Queued{0};
  };
  struct Sub {
    std::size_t Of = 0;
    unsigned Upstream = 0;
    unsigned Holder = 0; ///< Daemon.
    unsigned Attempt = 0;
    Instant Offered;
    Duration Queued{0};
  };
  struct HolderQueue {
    SlotQueue Queue;
    Instant PollAt = Instant::max();
    unsigned Slots = 0; ///< For the baseline.
    unsigned InWork = 0;
    std::deque<TicketId> Fifo;
  };
  struct Entry {
    explicit Entry(const Preset &P) : Gate(P) {}
    Admission Gate;
    Instant PollAt = Instant::max();
    std::vector<unsigned> Outstanding; ///< By upstream.
    std::vector<SlowStart> Health;     ///< By upstream.
    std::map<CallerClass, Budget> Retries;
    HandoverGuard Guard{Duration{0}};
  };
  struct Event {
    Instant At;
    std::uint64_t Order;
    std::function<void()> Fn;
    bool operator<(const Event &O) const {
      return std::tie(O.At, O.Order) < std::tie(At, Order);
    }
  };

  void at(Instant When, std::function<void()> Fn);
  void arrive();
  void pumpEntry(unsigned E);
  void start(std::size_t Q);
  void refuse(std::size_t Q);
  void end(std::size_t Q, bool Good);
  void send(std::size_t Q, unsigned Service, unsigned Attempt, unsigned Not);
  unsigned chooseUpstream(unsigned E, unsigned Service, unsigned Not);
  unsigned chooseHolder(unsigned E, unsigned Upstream);
  void offer(TicketId T);
  void pumpHolder(unsigned D, unsigned U);
  void work(TicketId T);
  void worked(TicketId T, Duration Took);
  void reply(TicketId T, ResultCode Code);
  void retryOrFail(TicketId T, ResultCode Code);
  void loseZone();
  void allocateSlots(const FleetView &V);
  bool lost(const AvailabilityZone &Z) const { return Z == LostZone; }
  HolderQueue &holder(unsigned D, unsigned U) { return Holders[{D, U}]; }
  const CallerClass &drawClass();
  Duration drawService();

  Scenario Scn;
  Random Rng;
  Preset Pre;
  ConfigPtr Cfg;
  FleetView View;
  SlotAllocation Allocation;
  AvailabilityZone LostZone;
  std::vector<Upstream> Upstreams; ///< Service s has 3s to 3s + 2.
  std::map<UpstreamId, unsigned> UpstreamIndex;
  std::map<HostId, unsigned> DaemonIndex;
  std::vector<Entry> Entries;
  std::map<std::pair<unsigned, unsigned>, HolderQueue> Holders;
  std::deque<Query> Queries;
  std::deque<Sub> Subs;
  std::priority_queue<Event> Events;
  std::uint64_t EventOrder = 0;
  Instant Now;
  Figures Out;
};

} // namespace shallot::bench

#endif // SHALLOTSHIFT_TESTS_OVERLOADMODEL_H
