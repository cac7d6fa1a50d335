// Guards against reports of slow replicas from strangers and other regions.
#include "NetFixture.h"
#include "shallotshift/front.h"

#include <asio/ip/udp.hpp>

using namespace shallot;

namespace {

constexpr std::size_t Daemons = MinReportingDaemons + 2;
constexpr Duration Work = Millis(20);

/// The last daemon is the only one of its region.
Region regionOf(std::size_t I) {
  return Region(I + 1 == Daemons ? "far" : "near");
}

struct Node {
  Node(EventLoop &Loop, TimerQueue &Timers, std::size_t I,
       const std::string &Ip, const std::string &SeedIp)
      : Rng(I + 1), Replicas({AvailabilityZone("z"), regionOf(I)}, options()) {
    FrontSettings Set;
    Set.Host = HostId("h" + std::to_string(I));
    Set.Here = {AvailabilityZone("z"), regionOf(I)};
    Set.Zones = {{AvailabilityZone("z"), regionOf(I)}};
    Set.Gossip = {Ip, 7740};
    Set.Peers = {Ip, 7742};
    Set.Callers = {Ip, 7743};
    Set.Seeds = {{SeedIp, 7742}};
    Set.Reports = Endpoint{Ip, 7741};
    auto F = attempt([&] { return FleetLink::open(Loop, Set, Rng, [] {}); });
    REQUIRE_MESSAGE(F, F.error().Detail);
    Fleet = std::move(*F);
    Fleet->start();
    Fleet->setState(MemberState::Alive);
    auto L = attempt([&] {
      return ReplicaReportLink::open(Loop, Timers, *Set.Reports, *Fleet,
                                     Replicas, Rng);
    });
    REQUIRE_MESSAGE(L, L.error().Detail);
    Link = std::move(*L);
    Replicas.setFleetShare({Daemons - 1, 1, 0.1});
    for (const char *Id : {"slow", "usual"})
      Replicas.put(entry(Id), Loop.now());
  }
  static ReplicaEntry entry(const std::string &Id) {
    ReplicaEntry E;
    E.Id = UpstreamId(Id);
    E.Service = ServiceName("s");
    E.Zone = AvailabilityZone("z");
    E.Slots = 4;
    return E;
  }
  /// Selects a replica a hundred times.
  void choose(Instant Now) {
    ServiceInfo Service{ServiceName("s"), 1000};
    ReplicaCriteria C;
    C.Service = &Service;
    C.ServiceTime = Work;
    for (unsigned Times = 0; Times < 100; ++Times)
      Replicas.choose(C, uniform01(Rng), Now);
  }
  static ReplicaRegistryOptions options() {
    ReplicaRegistryOptions O;
    O.ShareObservations = true;
    return O;
  }
  /// An answer of \p R that took \p Took and arrived now.
  void answered(const ReplicaPtr &R, Duration Took, Instant Now) {
    R->sendStarted(Now - Took);
    R->sendEnded(Now - Took, SendStatus::Answered, Work, Now);
    Replicas.sharing().observed(R, Now);
  }

  Random Rng;
  ReplicaRegistry Replicas;
  std::unique_ptr<FleetLink> Fleet;
  std::unique_ptr<ReplicaReportLink> Link;
};

struct ReportingFleet : NetFixture {
  ReportingFleet() {
    std::string Ip = ownLoopbackIp();
    Net = Ip.substr(0, Ip.rfind('.') + 1);
    for (std::size_t I = 0; I < Daemons; ++I)
      Nodes.push_back(std::make_unique<Node>(
          Loop, Timers, I, Net + std::to_string(I + 1), Net + "1"));
    runUntil([&] {
      return std::ranges::all_of(Nodes, [](const auto &N) {
        return N->Fleet->view().Members.size() == Daemons;
      });
    });
  }
  ReplicaPtr replica(const std::string &Id) {
    return std::make_shared<Replica>(Node::entry(Id), Distance::SameZone,
                                     std::make_shared<RttEstimate>(Millis(1)),
                                     Loop.now() - Seconds(10));
  }
  bool heldSlow(std::size_t I, const ReplicaPtr &R) {
    return Nodes[I]->Replicas.sharing().told(*R, Loop.now()).slow();
  }

  TimerQueue Timers{Loop};
  std::string Net;
  std::vector<std::unique_ptr<Node>> Nodes;
};

} // namespace

TEST_CASE_FIXTURE(ReportingFleet, "late answers at two daemons become known to "
                                  "their region and not beyond") {
  ReplicaPtr Unused = replica("slow");
  std::vector<ReplicaPtr> Slow{replica("slow"), replica("slow")};
  std::vector<ReplicaPtr> Usual{replica("usual"), replica("usual")};
  std::function<void()> Answer = [&] {
    for (std::size_t I : {0, 1}) {
      Nodes[I]->answered(Slow[I], 8 * Work, Loop.now());
      for (unsigned Times = 0; Times < 3; ++Times)
        Nodes[I]->answered(Usual[I], Work, Loop.now());
    }
    Timers.after(Millis(600), Answer);
  };
  Answer();
  for (std::size_t I = 2; I + 1 < Daemons; ++I)
    runUntil([&] { return heldSlow(I, Unused); });
  CHECK_FALSE(heldSlow(Daemons - 1, Unused));
  for (std::size_t I : {std::size_t(2), Daemons - 1})
    Nodes[I]->choose(Loop.now());
  CHECK(Nodes[2]->Replicas.sharing().held() == 1);
  CHECK(Nodes[Daemons - 1]->Replicas.sharing().held() == 0);
  runFor(Millis(1500)); // Logs the hold.
  CHECK(Nodes[Daemons - 1]->Replicas.sharing().toldOf() == 0);
  Metrics Meter;
  Nodes[0]->Link->writeGauges(Meter);
  CHECK(Meter.text().find("shallot_replica_reports_sent_bytes") !=
        std::string::npos);
}

// Guards against datagrams of hosts that are no members, and against garbage.
TEST_CASE_FIXTURE(ReportingFleet, "reports of strangers are dropped") {
  asio::ip::udp::socket Socket(Loop.context(), asio::ip::udp::v4());
  asio::ip::udp::endpoint To(asio::ip::make_address(Net + "1"), 7741);
  ReplicaObservationReport R;
  R.From = {HostId("stranger"), 1};
  R.Sequence = 1;
  ReplicaObservation O;
  O.Key = 7;
  O.Slowness = 20;
  O.Late = 5;
  O.FirstAge = Seconds(1);
  R.Replicas = {O};
  std::vector<std::byte> Bytes = encodeReplicaReport(R);
  Socket.send_to(asio::buffer(Bytes), To);
  R.From = {HostId("h1"), 99}; // Another incarnation than the member's.
  Bytes = encodeReplicaReport(R);
  Socket.send_to(asio::buffer(Bytes), To);
  std::vector<std::byte> Garbage(64, std::byte{0xff});
  Socket.send_to(asio::buffer(Garbage), To);
  Metrics Meter;
  runUntil([&] {
    Nodes[0]->Link->writeGauges(Meter);
    std::string Text = Meter.text();
    return Text.find("shallot_replica_reports_dropped 2") !=
               std::string::npos &&
           Text.find("shallot_replica_reports_malformed 1") !=
               std::string::npos;
  });
  CHECK(Nodes[0]->Replicas.sharing().toldOf() == 0);
}
