//===- ReplicaReportLink.cpp ----------------------------------------------===//
#include "front/ReplicaReportLink.h"

#include <algorithm>
#include <fmt/format.h>

namespace shallot {

namespace {

/// After a pause of this process the datagrams in the socket are as old as the
/// pause, and their ages are wrong by that.
constexpr Duration MaxTickGap = Seconds(1);
constexpr Duration HoldLogPeriod = Seconds(1);
/// Lines on single replicas in each HoldLogPeriod; the rest are counted.
constexpr std::size_t MaxHoldLines = 4;

void logHold(const HoldChange &C) {
  if (C.Began)
    logEvent(LogLevel::Info, "replica_hold_began",
             {{"replica", C.Id.str()},
              {"service", C.Service.str()},
              {"slowness", fmt::format("{:.1f}", C.Told.Slowness)},
              {"daemons", std::to_string(C.Told.Sources)},
              {"age_ms", std::to_string(toMillis(C.Told.Age))},
              {"queue", C.Told.Queued ? "yes" : "no"}});
  else
    logEvent(LogLevel::Info, "replica_hold_ended",
             {{"replica", C.Id.str()},
              {"service", C.Service.str()},
              {"sends_kept", std::to_string(C.Sends)},
              {"lasted_ms", std::to_string(toMillis(C.Lasted))}});
}

} // namespace

ReplicaReportLink::ReplicaReportLink(EventLoop &Loop, TimerQueue &Timers,
                                     std::uint16_t Port, FleetLink &Fleet,
                                     ReplicaRegistry &Replicas, Random &Rng)
    : Loop(Loop), Timers(Timers), Port(Port), Fleet(Fleet), Replicas(Replicas),
      Rng(Rng), TickedAt(Loop.now()), HoldsLoggedAt(Loop.now()) {}

ReplicaReportLink::~ReplicaReportLink() { Timers.cancel(Timer); }

Result<std::unique_ptr<ReplicaReportLink>>
ReplicaReportLink::open(EventLoop &Loop, TimerQueue &Timers, const Endpoint &At,
                        FleetLink &Fleet, ReplicaRegistry &Replicas,
                        Random &Rng) {
  std::unique_ptr<ReplicaReportLink> L(
      new ReplicaReportLink(Loop, Timers, At.Port, Fleet, Replicas, Rng));
  auto Read = [Raw = L.get()](std::span<const std::byte> Plain,
                              const Endpoint &) {
    auto R = attempt([&] { return decodeReplicaReport(Plain); });
    if (R)
      Raw->receive(*R);
    return bool(R);
  };
  BOOST_LEAF_ASSIGN(L->Socket,
                    DatagramSocket::open(Loop, At, "replica reports", Read));
  L->tick();
  return L;
}

bool ReplicaReportLink::isPeer(const Member &M) const {
  return M.Reg == Fleet.self().Reg && M.Id.Host != Fleet.self().Id.Host &&
         (M.State == MemberState::Alive || M.State == MemberState::Suspect ||
          M.State == MemberState::Leaving);
}

void ReplicaReportLink::receive(const ReplicaObservationReport &R) {
  Instant Now = Loop.now();
  if (Now - TickedAt > MaxTickGap) {
    ++Dropped;
    return;
  }
  bool Known = std::ranges::any_of(Fleet.view().Members, [&](const Member &M) {
    return M.Id == R.From && isPeer(M);
  });
  if (!Known || !Replicas.sharing().receive(R, Now))
    ++Dropped;
}

void ReplicaReportLink::tick() {
  Instant Now = Loop.now();
  if (Now - TickedAt > MaxTickGap)
    Dropped += Socket->discardWaiting();
  TickedAt = Now;
  if (Replicas.sharing().active())
    report();
  if (Now - HoldsLoggedAt >= HoldLogPeriod) {
    HoldsLoggedAt = Now;
    logHolds();
  }
  Timer = Timers.after(ReportPeriod, [this] { tick(); });
}

void ReplicaReportLink::report() {
  ReplicaObservationReport R;
  R.Replicas = Replicas.sharing().observations(Loop.now());
  std::size_t Count = reportFanOut(R.Replicas.size());
  if (Count == 0)
    return;
  std::vector<const Member *> Peers;
  for (const Member &M : Fleet.view().Members)
    if (isPeer(M))
      Peers.push_back(&M);
  R.From = Fleet.self().Id;
  R.Sequence = ++Sequence;
  std::vector<std::byte> Datagram = encodeReplicaReport(R);
  for (; Count > 0 && !Peers.empty(); --Count) {
    auto At =
        Peers.begin() + static_cast<std::ptrdiff_t>(below(Rng, Peers.size()));
    Socket->send({(*At)->Gossip.Ip, Port}, Datagram);
    Peers.erase(At);
  }
}

void ReplicaReportLink::logHolds() {
  std::vector<HoldChange> Changes = Replicas.sharing().takeChanges(Loop.now());
  std::size_t Lines = std::min(Changes.size(), MaxHoldLines);
  std::for_each_n(Changes.begin(), Lines, logHold);
  if (Changes.size() == Lines)
    return;
  auto Rest = std::span(Changes).subspan(Lines);
  auto Began = std::ranges::count(Rest, true, &HoldChange::Began);
  logEvent(LogLevel::Info, "replica_holds_more",
           {{"began", std::to_string(Began)},
            {"ended", std::to_string(std::ssize(Rest) - Began)},
            {"held", std::to_string(Replicas.sharing().held())}});
}

void ReplicaReportLink::writeGauges(Metrics &Meter) const {
  const DatagramStats &S = Socket->stats();
  Meter.gauge("shallot_replica_reports_sent_bytes", {}, double(S.SentBytes));
  Meter.gauge("shallot_replica_reports_received_bytes", {},
              double(S.ReceivedBytes));
  Meter.gauge("shallot_replica_reports_malformed", {}, double(S.Malformed));
  Meter.gauge("shallot_replica_reports_dropped", {}, double(Dropped));
  const ReplicaSharing &Sharing = Replicas.sharing();
  Meter.gauge("shallot_replicas_reported_slow", {}, double(Sharing.toldOf()));
  Meter.gauge("shallot_replicas_held", {}, double(Sharing.held()));
  Meter.gauge("shallot_replica_sends_kept_away", {},
              double(Sharing.sendsKept()));
}

} // namespace shallot
