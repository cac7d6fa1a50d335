// Cost of work that a daemon does again and again in a large fleet: when the
// view of the fleet changes, and ten times a second for the replicas that it
// knows. The bounds hold on a busy machine; work that visits every member or
// replica each time exceeds them several times over.
#include "BenchReport.h"
#include "front/EntryAddresses.h"
#include "front/FeedTree.h"
#include "shallotshift/forward.h"

#include <ctime>
#include <fmt/format.h>

using namespace shallot;

namespace {

/// One change of the view, of which a starting daemon applies ten a second.
constexpr double MaxChangeMicros = 900;
/// 0.1% of a core at ten times a second.
constexpr double MaxTickMicros = 100;

/// Processor time of this thread, without that of others on a busy machine.
double threadMicros() {
  timespec T{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &T);
  return double(T.tv_sec) * 1e6 + double(T.tv_nsec) / 1e3;
}

template <typename Callable> double microsOf(int Times, Callable Fn) {
  double Began = threadMicros();
  for (int I = 0; I < Times; ++I)
    Fn();
  return (threadMicros() - Began) / Times;
}

FleetView viewOf(std::size_t Daemons) {
  FleetView View;
  for (std::size_t N = 0; N < Daemons; ++N) {
    Member M;
    M.Id = {HostId(fmt::format("front-ub-hall-a-{:04}", N)), 1};
    M.Zone = AvailabilityZone(fmt::format("zone-{}", N % 6));
    M.Reg = Region(fmt::format("region-{}", N % 3));
    M.Http = {fmt::format("10.{}.{}.{}", N % 6, N / 250, N % 250), 8226};
    M.Gossip = M.Rpc = M.Http;
    M.State = MemberState::Alive;
    M.Capacity = N % 16 == 0 ? 1000 : 120;
    View.Members.push_back(std::move(M));
  }
  return View;
}

void measureChange(test::BenchReport &R, std::size_t Daemons) {
  R.setSize(Daemons);
  FleetView View = viewOf(Daemons);
  const Member &Self = View.Members[5];
  double Tree =
      microsOf(50, [&] { FeedTree::of(View, Self.Id.Host, Self.Reg); });
  double Shares = microsOf(50, [&] {
    sharingAmongEntryHosts(View, Self.Id.Host, Self.Reg);
    warmupSenders(View, Self.Id.Host);
  });
  R.print("feed_tree", Tree, "us");
  R.print("shares", Shares, "us");
  if (Daemons < 1000)
    R.atMost("view_change", Tree + Shares, "us", MaxChangeMicros);
}

void measureTick(test::BenchReport &R, std::size_t Replicas) {
  R.setSize(Replicas);
  ReplicaRegistry Registry({AvailabilityZone("zone-0"), Region("region-0")},
                           {});
  Instant Now{Seconds(1000)};
  for (std::size_t N = 0; N < Replicas; ++N) {
    ReplicaEntry E;
    E.Id = UpstreamId(fmt::format("i-{:010x}", N));
    E.Service = ServiceName(fmt::format("shard-{}", N / 45));
    E.At = {"10.0.0.1", 8080};
    E.Zone = AvailabilityZone(fmt::format("zone-{}", N % 6));
    E.Reg = Region(fmt::format("region-{}", N % 3));
    E.Slots = 7;
    Registry.put(std::move(E), Now);
  }
  double Tick = microsOf(50, [&] {
    Registry.dueProbes(Now);
    Registry.expire(Now);
  });
  R.atMost("registry_tick", Tick, "us", MaxTickMicros);
}

} // namespace

int main() {
  test::BenchReport R("fleet_scale_");
  for (std::size_t Daemons : {141, 986, 1972})
    measureChange(R, Daemons);
  for (std::size_t Replicas : {4230, 10305})
    measureTick(R, Replicas);
  return R.exitCode();
}
