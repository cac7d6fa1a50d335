// Guards against changes that do not reach every daemon within seconds, and
// against needless calls to the store, which cost money. The daemon that
// watches the store for its region dies, goes silent or loses the store, or the
// store is down for all. The others must find another source soon, and the
// fleet must not all call the store.
#include "shallotshift/front.h"

#include <doctest/doctest.h>
#include <map>

using namespace shallot;

namespace {

struct FleetFixture {
  Instant Now{Seconds(1000)};
  Random Rng{9};
  FleetView View;

  FleetFixture() {
    for (const char *Region : {"east", "west"})
      for (int N = 0; N < 4; ++N)
        add(std::string(Region) + std::to_string(N), Region);
  }
  void add(const std::string &Host, const std::string &Reg) {
    Member M;
    M.Id = {HostId(Host), 1};
    M.Reg = Region(Reg);
    M.State = MemberState::Alive;
    View.Members.push_back(M);
  }
  FeedSources of(const std::string &Host, const std::string &Reg) {
    FeedSources F{HostId(Host), Region(Reg)};
    F.update(View);
    return F;
  }
  std::vector<std::string> watchers() {
    std::vector<std::string> Found;
    for (const Member &M : View.Members)
      if (of(M.Id.Host.str(), M.Reg.str()).watchesStore())
        Found.push_back(M.Id.Host.str());
    return Found;
  }
  /// A daemon in the region east that does not watch the store.
  std::string follower() {
    for (const Member &M : View.Members)
      if (!of(M.Id.Host.str(), M.Reg.str()).watchesStore())
        return M.Id.Host.str();
    return {};
  }
};

} // namespace

TEST_CASE_FIXTURE(FleetFixture, "one daemon per region reads from the store") {
  auto Found = watchers();
  REQUIRE(Found.size() == 2);
  FeedSources F = of(follower(), "east");
  FeedSource S = F.next(Now);
  REQUIRE(S.Peer);
  CHECK(S.Peer->Reg == Region("east"));
  CHECK(S.Peer->Id.Host.str() == Found[0]);
}

TEST_CASE_FIXTURE(FleetFixture,
                  "another daemon takes over when the watcher is suspected") {
  std::string First = watchers()[0];
  std::string Other = follower();
  FeedSources F = of(Other, "east");
  FeedSource S = F.next(Now);
  for (Member &M : View.Members)
    if (M.Id.Host.str() == First)
      M.State = MemberState::Suspect;
  F.update(View);
  CHECK(F.lost(S));
  CHECK(watchers().size() == 3); // The suspected one still reads, too.
}

TEST_CASE_FIXTURE(FleetFixture,
                  "a failed source is replaced and used again later") {
  FeedSources F = of(follower(), "east");
  FeedSource First = F.next(Now);
  F.recordFailure(First, Rng, Now);
  FeedSource Second = F.next(Now);
  CHECK(Second != First);
  F.recordFailure(Second, Rng, Now);
  FeedSource Third = F.next(Now);
  REQUIRE(Third.Peer);
  CHECK(Third.Peer->Reg == Region("west"));
  F.recordFailure(Third, Rng, Now);
  CHECK(F.next(Now).direct());
  CHECK(F.next(Now + Seconds(3)) == First);
}

TEST_CASE_FIXTURE(FleetFixture,
                  "the watcher tries the store twice before it uses peers") {
  std::string First = watchers()[0];
  FeedSources F = of(First, "east");
  CHECK(F.next(Now).direct());
  F.recordFailure({}, Rng, Now);
  CHECK(F.next(Now).direct());
  F.recordFailure({}, Rng, Now);
  // Watchers of other regions come first: its own region only has its data.
  FeedSource Other = F.next(Now);
  REQUIRE(Other.Peer);
  CHECK(Other.Peer->Id.Host.str() == watchers()[1]);
  F.recordSuccess({});
  CHECK(F.next(Now).direct());
}

TEST_CASE_FIXTURE(FleetFixture,
                  "an outage of the store does not cause a burst of calls") {
  FeedSources F = of(follower(), "east");
  unsigned Calls = 0;
  for (Instant End = Now + Seconds(9); Now < End; Now += Millis(300)) {
    FeedSource S = F.next(Now);
    Calls += S.direct();
    F.recordFailure(S, Rng, Now);
  }
  CHECK(Calls <= 5);
  CHECK(Calls >= 1);
}

TEST_CASE_FIXTURE(FleetFixture, "a preferred peer is used for one call") {
  FeedSources F = of(follower(), "east");
  FeedSource Usual = F.next(Now);
  F.prefer(View.Members.back());
  CHECK(F.next(Now).Peer->Id == View.Members.back().Id);
  CHECK(F.next(Now) == Usual);
}

TEST_CASE_FIXTURE(FleetFixture,
                  "a starting fleet tries one peer, then the store") {
  for (Member &M : View.Members)
    M.State = MemberState::Starting;
  std::string First = watchers()[0];
  FeedSources F = of(follower(), "east");
  auto Usual = F.first(Now);
  REQUIRE(Usual);
  REQUIRE(Usual->Peer);
  CHECK(Usual->Peer->Id.Host.str() == First);
  // The peer did not reply in time. Other starting daemons are not used:
  // daemons waiting for each other in a cycle would answer nobody.
  F.recordFailure(*Usual, Rng, Now);
  CHECK_FALSE(F.first(Now));
  Now += StartPatience;
  F.recordFailure(*Usual, Rng, Now);
  REQUIRE(F.first(Now));
  CHECK(F.first(Now)->direct());
}

TEST_CASE_FIXTURE(FleetFixture,
                  "a daemon that has met few others does not read the store") {
  for (Member &M : View.Members)
    M.State = MemberState::Starting;
  FeedSources F = of(watchers()[0], "east");
  REQUIRE(F.watchesStore());
  CHECK_FALSE(F.first(Now));
  F.setViewComplete(true);
  REQUIRE(F.first(Now));
  CHECK(F.first(Now)->direct());
}

TEST_CASE_FIXTURE(FleetFixture,
                  "the first of many daemons of a region does not wait until "
                  "no more are found") {
  while (View.Members.size() < 2 * EnoughOfRegion)
    add("east" + std::to_string(View.Members.size()), "east");
  for (Member &M : View.Members)
    M.State = MemberState::Starting;
  std::size_t FromStore = 0;
  for (const Member &M : View.Members) {
    auto S = of(M.Id.Host.str(), M.Reg.str()).first(Now);
    FromStore += S && S->direct();
  }
  CHECK(FromStore == 1);
}

TEST_CASE_FIXTURE(FleetFixture,
                  "a restarted watcher reads from a daemon that serves") {
  FeedSources F = of(watchers()[0], "east");
  auto S = F.first(Now);
  REQUIRE(S);
  REQUIRE(S->Peer);
  CHECK(S->Peer->State == MemberState::Alive);
  F.setViewComplete(true);
  CHECK(F.next(Now).direct());
}

TEST_CASE_FIXTURE(FleetFixture, "changes reach a large region in three hops") {
  View.Members.clear();
  for (int N = 0; N < 250; ++N) {
    add("host" + std::to_string(N), "east");
    View.Members.back().Capacity = N % 50 == 0 ? 500 : 120;
  }
  std::map<std::string, std::string> SourceOf;
  std::map<std::string, std::size_t> Readers;
  for (const Member &M : View.Members) {
    FeedSource S = of(M.Id.Host.str(), "east").next(Now);
    if (S.direct())
      continue;
    SourceOf[M.Id.Host.str()] = S.Peer->Id.Host.str();
    ++Readers[S.Peer->Id.Host.str()];
  }
  CHECK(SourceOf.size() == 249); // One reads from the store.
  for (const Member &M : View.Members) {
    std::string Host = M.Id.Host.str();
    CHECK(Readers[Host] <= FeedFanOut);
    CHECK((Readers[Host] > 0) == of(Host, "east").relays());
    // Large hosts are used first.
    if (M.Capacity == 500)
      CHECK(Readers[Host] > 0);
    std::size_t Hops = 0;
    for (std::string At = Host; SourceOf.contains(At); At = SourceOf[At])
      ++Hops;
    CHECK(Hops <= 3);
  }
}

TEST_CASE_FIXTURE(FleetFixture,
                  "daemons below a failed daemon find another source") {
  View.Members.clear();
  for (int N = 0; N < 60; ++N)
    add("host" + std::to_string(N), "east");
  std::string Leaf;
  std::string Middle;
  for (const Member &M : View.Members) {
    FeedSource S = of(M.Id.Host.str(), "east").next(Now);
    if (S.direct() || S.Peer->Id.Host.str() == watchers()[0])
      continue;
    Leaf = M.Id.Host.str();
    Middle = S.Peer->Id.Host.str();
  }
  REQUIRE_FALSE(Leaf.empty());
  FeedSources F = of(Leaf, "east");
  FeedSource S = F.next(Now);
  // The source is silent but not yet suspected: the watcher itself is used.
  F.recordFailure(S, Rng, Now);
  CHECK(F.next(Now).Peer->Id.Host.str() == watchers()[0]);
  // The source is suspected: the ranking closes the gap.
  for (Member &M : View.Members)
    if (M.Id.Host.str() == Middle)
      M.State = MemberState::Suspect;
  F.update(View);
  CHECK(F.lost(S));
  CHECK(F.next(Now).Peer->Id.Host.str() != Middle);
}
