// Cost of organisations with keys and quotas: memory of a configuration, time
// to find a key and an owner, and the messages of a fleet in virtual time.
#include "BenchReport.h"
#include "QuotaFleet.h"
#include "shallotshift/forward.h"
#include "shallotshift/peer.h"

#include <chrono>
#include <fmt/format.h>
#include <malloc.h>

using namespace shallot;

namespace {

constexpr std::size_t Organised = 10'000;
constexpr std::size_t KeysEach = 3;
/// A 16th of the memory that a daemon has for control.
constexpr std::size_t MaxHeapBytes = (128 << 20) / 16;
/// Bounds hold on a busy machine; an index that degenerated into a search of
/// all keys takes a hundred times as long.
constexpr double MaxLookupMicros = 20;

std::string keyOf(std::size_t N, std::size_t K) {
  return fmt::format("key-{:08x}-{}-{:08x}", N * 2654435761U, K, N);
}

std::vector<Organisation> organisations() {
  std::vector<Organisation> All(Organised);
  for (std::size_t N = 0; N < Organised; ++N) {
    All[N].Name = Tenant(fmt::format("org-{:05}", N));
    All[N].Limit = {5, 5};
    for (std::size_t K = 0; K < KeysEach; ++K)
      All[N].Keys.push_back(keyOf(N, K));
  }
  return All;
}

double heapBytes() { return static_cast<double>(mallinfo2().uordblks); }

/// Mean time of \p Fn, in microseconds.
template <typename Callable> double microsOf(std::size_t Times, Callable Fn) {
  auto Began = std::chrono::steady_clock::now();
  for (std::size_t I = 0; I < Times; ++I)
    Fn(I);
  std::chrono::duration<double, std::micro> Took =
      std::chrono::steady_clock::now() - Began;
  return Took.count() / double(Times);
}

void measureKeys(test::BenchReport &R) {
  double Before = heapBytes();
  auto All = attempt([] { return Organisations::make(organisations()); });
  R.require(bool(All));
  R.atMost("config_heap_bytes", heapBytes() - Before, "bytes",
           double(MaxHeapBytes));
  std::size_t Found = 0;
  double Known = microsOf(100'000, [&](std::size_t I) {
    Found += All->findByKey(keyOf(I % Organised, I % KeysEach)) != nullptr;
  });
  R.require(Found == 100'000);
  R.atMost("find_key", Known, "us", MaxLookupMicros);
  double Unknown = microsOf(100'000, [&](std::size_t I) {
    Found += All->findByKey(keyOf(I + Organised, 0)) != nullptr;
  });
  R.atMost("miss_key", Unknown, "us", MaxLookupMicros);
}

FleetView viewOf(std::size_t Daemons) {
  FleetView View;
  for (std::size_t N = 0; N < Daemons; ++N) {
    Member M;
    M.Id = {HostId(fmt::format("front-{:04}", N)), 1};
    M.Zone = AvailabilityZone(fmt::format("z{}", N % 6));
    M.State = MemberState::Alive;
    M.Capacity = N % 16 == 0 ? 1000 : 120;
    View.Members.push_back(std::move(M));
  }
  return View;
}

void measureOwners(test::BenchReport &R, std::size_t Daemons) {
  R.setSize(Daemons);
  FleetView View = viewOf(Daemons);
  Instant Now{Seconds(1000)};
  QuotaOwners Owners(View.Members.front().Id.Host);
  R.print("apply_view",
          microsOf(200, [&](std::size_t) { Owners.update(View, Now); }), "us");
  R.atMost("find_owner",
           microsOf(10'000,
                    [&](std::size_t I) {
                      Owners.owner(Tenant(fmt::format("org-{:05}", I)));
                    }),
           "us", MaxLookupMicros);
}

void measureMessages(test::BenchReport &R) {
  R.setSize(0);
  test::QuotaFleetOptions O;
  O.Daemons = 18;
  test::QuotaFleet F(O);
  std::vector<std::size_t> Some = {1, 4, 7};
  F.run(Seconds(10), 25, Some);
  F.resetCounts();
  F.run(Seconds(20), 25, Some);
  R.print("sent_per_request", double(F.sentBytes()) / double(F.offered()),
          "bytes");
  R.print("messages_per_request", double(F.sent()) / double(F.offered()),
          "messages");
  F.resetCounts();
  F.run(Seconds(20), 300, Some);
  R.print("sent_per_request_above_quota",
          double(F.sentBytes()) / double(F.offered()), "bytes");
}

} // namespace

int main() {
  test::BenchReport R("quotas_");
  measureKeys(R);
  for (std::size_t Daemons : {141, 986, 1669})
    measureOwners(R, Daemons);
  measureMessages(R);
  return R.exitCode();
}
