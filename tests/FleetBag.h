//===- FleetBag.h - Membership machines and a bag of messages ---*- C++ -*-===//
//
// For tests and benches of the membership protocol: some Membership machines,
// and a bag of messages that are lost, delayed, repeated and cut off at will,
// all in virtual time from one seed. It models nothing else of a fleet.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_TESTS_FLEETBAG_H
#define SHALLOTSHIFT_TESTS_FLEETBAG_H

#include "shallotshift/fleet.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace shallot::test {

/// What happens to messages and machines; may be changed while it runs.
struct BagFaults {
  double Loss = 0;
  double Duplicate = 0;
  Duration MinWay = Micros(500);
  Duration MaxWay = Millis(2);
  /// Each message, and each tick, waits up to this for the processor.
  Duration MaxProcessing{};
  /// True when nothing passes from one node to the other.
  std::function<bool(std::size_t, std::size_t)> Cut;
};

struct BagNode {
  std::optional<Membership> Machine;
  std::uint64_t Incarnation = 0;
  Instant NextTick;
  Instant PausedUntil;
  std::vector<GossipMessage> WhilePaused;
  std::uint64_t Datagrams = 0;
  std::uint64_t Bytes = 0;
};

struct BagEvent {
  Instant At;
  std::size_t Node;
  MembershipEvent Event;
};

class FleetBag {
public:
  FleetBag(std::size_t Count, std::uint64_t Seed,
           MembershipOptions Options = {})
      : Options(Options), Rng(Seed), Nodes(Count) {}

  static HostId host(std::size_t N) {
    return HostId("entry-" + std::to_string(1000 + N));
  }
  Member member(std::size_t N) const {
    std::string Ip =
        "10.1." + std::to_string(N / 250) + "." + std::to_string(N % 250 + 1);
    return {{host(N), Nodes[N].Incarnation},
            AvailabilityZone("zone-" + std::to_string(N % 3)),
            Region("region-" + std::to_string(N % Regions)),
            {Ip, 8080},
            {Ip, 7946},
            {Ip, 9090},
            MemberState::Alive,
            Capacity ? Capacity(N) : 0};
  }

  /// Starts node N anew, with nodes 0 to 2 as its seeds.
  void start(std::size_t N) {
    BagNode &Node = Nodes[N];
    ++Node.Incarnation;
    Node.WhilePaused.clear();
    Node.PausedUntil = Instant();
    Node.NextTick = Now + fromMillisF(uniform01(Rng) * toMillisF(TickPeriod));
    ByIp[member(N).Gossip.Ip] = N;
    std::vector<Endpoint> Seeds;
    for (std::size_t S = 0; S < std::min<std::size_t>(3, Nodes.size()); ++S)
      Seeds.push_back(member(S).Gossip);
    auto Made = attempt(
        [&] { return Membership::make(Options, member(N), Seeds, Rng, Now); });
    Node.Machine.emplace(std::move(Made.value()));
  }
  void startAll() {
    for (std::size_t N = 0; N < Nodes.size(); ++N)
      start(N);
  }
  /// Starts all nodes with everybody known, as after a long time.
  void startMet() {
    startAll();
    for (std::size_t N = 0; N < Nodes.size(); ++N)
      for (std::size_t O = 0; O < Nodes.size(); ++O)
        if (N != O)
          introduce(N, O);
    Events.clear();
  }
  void crash(std::size_t N) { Nodes[N].Machine.reset(); }
  void pause(std::size_t N, Duration For) { Nodes[N].PausedUntil = Now + For; }
  void say(std::size_t N, MemberState State) {
    take(N, Nodes[N].Machine->setSelfState(State, Now));
  }
  bool up(std::size_t N) const { return Nodes[N].Machine.has_value(); }
  const Membership &at(std::size_t N) const { return *Nodes[N].Machine; }

  void run(Duration For) {
    Instant End = Now + For;
    while (Now < End) {
      Now += Step;
      deliver();
      for (std::size_t N = 0; N < Nodes.size(); ++N)
        stepNode(N);
    }
  }

  /// The state of \p Of in the eyes of \p By; nothing if it is unknown or
  /// known only in an earlier run.
  std::optional<MemberState> seen(std::size_t By, std::size_t Of) const {
    for (const Member &M : at(By).view().Members)
      if (M.Id.Host == host(Of) && M.Id.Incarnation == Nodes[Of].Incarnation)
        return M.State;
    return std::nullopt;
  }

  /// True when every node that is up shows exactly those that are up as Alive
  /// and nobody else as live.
  bool agreed() const {
    std::vector<DaemonId> Up = allUp();
    for (std::size_t By = 0; By < Nodes.size(); ++By)
      if (up(By) && !shows(By, Up))
        return false;
    return true;
  }
  bool agrees(std::size_t By) const { return shows(By, allUp()); }
  /// Runs until everybody agrees; the time it took, at most \p Limit.
  Duration untilAgreed(Duration Limit) {
    Instant Start = Now;
    while (!agreed() && Now - Start < Limit)
      run(Millis(100));
    return Now - Start;
  }

  std::size_t countEvents(MembershipEventKind Kind) const {
    std::size_t Count = 0;
    for (const BagEvent &E : Events)
      Count += E.Event.Kind == Kind;
    return Count;
  }
  std::uint64_t datagrams() const {
    std::uint64_t Sum = 0;
    for (const BagNode &N : Nodes)
      Sum += N.Datagrams;
    return Sum;
  }
  std::uint64_t bytes() const {
    std::uint64_t Sum = 0;
    for (const BagNode &N : Nodes)
      Sum += N.Bytes;
    return Sum;
  }

  /// Bytes sent to another region.
  std::uint64_t farBytes() const { return FarBytes; }

  /// Changes what node \p N announces; \p Change returns the output.
  template <typename F> void change(std::size_t N, F &&Change) {
    take(N, Change(*Nodes[N].Machine));
  }

  BagFaults Faults;
  std::size_t Regions = 2;
  std::function<std::uint32_t(std::size_t)> Capacity; ///< Member::Capacity.
  MembershipOptions Options;
  Random Rng;
  std::vector<BagNode> Nodes;
  std::vector<BagEvent> Events;
  Instant Now = Instant(Seconds(1000));

private:
  std::uint64_t FarBytes = 0;
  static constexpr Duration Step = Millis(10);

  struct Flying {
    Instant At;
    std::uint64_t Number;
    std::size_t To;
    std::shared_ptr<const GossipMessage> Message;
    bool operator<(const Flying &O) const {
      return std::pair(At, Number) > std::pair(O.At, O.Number);
    }
  };

  Duration upTo(Duration Most) {
    return fromMillisF(uniform01(Rng) * toMillisF(Most));
  }
  bool paused(const BagNode &N) const { return Now < N.PausedUntil; }

  std::vector<DaemonId> allUp() const {
    std::vector<DaemonId> Up;
    for (std::size_t N = 0; N < Nodes.size(); ++N)
      if (up(N))
        Up.push_back({host(N), Nodes[N].Incarnation});
    return Up;
  }
  bool shows(std::size_t By, const std::vector<DaemonId> &Up) const {
    std::size_t Matched = 0;
    for (const Member &M : at(By).view().Members) {
      if (M.State == MemberState::Failed || M.State == MemberState::Left)
        continue;
      if (M.State != MemberState::Alive || Matched == Up.size() ||
          M.Id != Up[Matched])
        return false;
      ++Matched;
    }
    return Matched == Up.size();
  }

  void introduce(std::size_t N, std::size_t O) {
    GossipMessage M;
    M.Sender.Who = member(O);
    Nodes[N].Machine->onMessage(M, Now);
  }

  void take(std::size_t From, MembershipOutput Out) {
    for (MembershipEvent &E : Out.Events)
      Events.push_back({Now, From, std::move(E)});
    for (GossipSend &S : Out.Sends) {
      Nodes[From].Datagrams += 1;
      Nodes[From].Bytes += wireBytes(S.Message);
      if (auto To = ByIp.find(S.To.Ip);
          To != ByIp.end() && member(To->second).Reg != member(From).Reg)
        FarBytes += wireBytes(S.Message);
      put(From, std::move(S));
    }
  }
  void put(std::size_t From, GossipSend S) {
    auto To = ByIp.find(S.To.Ip);
    if (To == ByIp.end() || (Faults.Cut && Faults.Cut(From, To->second)))
      return;
    auto M = std::make_shared<const GossipMessage>(std::move(S.Message));
    int Copies = uniform01(Rng) < Faults.Duplicate ? 2 : 1;
    for (int C = 0; C < Copies; ++C) {
      if (uniform01(Rng) < Faults.Loss)
        continue;
      Duration Way = Faults.MinWay + upTo(Faults.MaxWay - Faults.MinWay) +
                     upTo(Faults.MaxProcessing);
      Bag.push({Now + Way, ++Number, To->second, M});
    }
  }
  void deliver() {
    while (!Bag.empty() && Bag.top().At <= Now) {
      Flying F = Bag.top();
      Bag.pop();
      BagNode &N = Nodes[F.To];
      if (!N.Machine)
        continue;
      if (paused(N))
        N.WhilePaused.push_back(*F.Message);
      else
        take(F.To, N.Machine->onMessage(*F.Message, Now));
    }
  }
  void stepNode(std::size_t Number) {
    BagNode &N = Nodes[Number];
    if (!N.Machine || paused(N))
      return;
    for (const GossipMessage &M : std::exchange(N.WhilePaused, {}))
      take(Number, N.Machine->onMessage(M, Now));
    if (Now < N.NextTick)
      return;
    N.NextTick = Now + TickPeriod + upTo(Faults.MaxProcessing);
    take(Number, N.Machine->onTick(Now));
  }

  std::map<std::string, std::size_t> ByIp;
  std::priority_queue<Flying> Bag;
  std::uint64_t Number = 0;
};

} // namespace shallot::test

#endif // SHALLOTSHIFT_TESTS_FLEETBAG_H
