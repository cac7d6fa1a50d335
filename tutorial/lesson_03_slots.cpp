// Lesson 3: who may use which slots.
//
// An upstream works on a few requests at a time, from the whole fleet together.
// Nobody is asked who may use them: every daemon computes the same deal from
// the same configuration and the same picture of the fleet. This lesson deals 2
// slots to 6 daemons, lets a daemon leave, and shows why a slot that changes
// hands rests before it is used.
#include "Lesson.h"

#include "shallotshift/limits.h"

#include <algorithm>

using namespace shallot;
using namespace shallot::tutorial;

namespace {

const UpstreamId Up("uw-01-a");
const PresetName Day("ordinary-day");

// One service with one upstream of 2 slots and 25 connections.
ConfigPtr config() {
  UpstreamFields U;
  U.Id = Up;
  U.Address = {"127.0.0.1", 8001};
  U.Zone = AvailabilityZone("darkhan");
  U.Slots = 2;
  U.Connections = 25;
  ServiceFields S{ServiceName("uw-01"), {"bonds"}, {}};
  S.Upstreams.push_back(good([&] { return Upstream::make(U); }));
  GroupFields G{Tenant("khan-uul"), GroupName("underwriting-desk"), {}};
  G.Services.push_back(good([&] { return Service::make(S); }));
  PresetFields P{.Name = Day,
                 .Classes = {{CallerClass("tender-clerk"), ClassPolicy()}}};
  Draft D{Day,
          {good([&] { return Group::make(G); })},
          {good([&] { return Preset::make(P); })}};
  Change C{ChangeId("c1"), 0, "bold", "first day", 0};
  return good([&] { return prepare(nullptr, D, C); }).After;
}

// Six daemons, two in each of three zones.
FleetView fleetOfSix() {
  const char *Zones[] = {"ulaanbaatar", "darkhan", "erdenet"};
  FleetView V{1, {}};
  for (int N = 1; N <= 6; ++N) {
    Member M;
    M.Id = {HostId(fmt::format("entry-{}", N)), 1};
    M.Zone = AvailabilityZone(Zones[(N - 1) % 3]);
    M.State = MemberState::Alive;
    V.Members.push_back(M);
  }
  return V;
}

FleetView without(FleetView V, const DaemonId &Gone) {
  for (Member &M : V.Members)
    if (M.Id == Gone)
      M.State = MemberState::Leaving;
  ++V.Number;
  return V;
}

void show(const SlotAllocation &A) {
  for (const Holder &H : A.holders(Up))
    fmt::print("   {} holds {} slot(s) and may open {} connection(s)\n",
               H.Daemon->Id.Host.str(), H.Slots, H.Connections);
}

unsigned slotsDealt(const SlotAllocation &A) {
  unsigned Sum = 0;
  for (const Holder &H : A.holders(Up))
    Sum += H.Slots;
  return Sum;
}

bool holds(const SlotAllocation &A, const DaemonId &D) {
  return std::ranges::any_of(
      A.holders(Up), [&](const Holder &H) { return H.Daemon->Id == D; });
}

// Every daemon of V deals for itself; true when all got what \p A has.
bool allAgree(const Config &C, const FleetView &V, const SlotAllocation &A) {
  return std::ranges::all_of(V.Members, [&](const Member &M) {
    SlotAllocation Own = SlotAllocation::make(C, V, M.Id);
    return std::ranges::equal(
        Own.holders(Up), A.holders(Up), [](const Holder &X, const Holder &Y) {
          return X.Daemon->Id == Y.Daemon->Id && X.Slots == Y.Slots;
        });
  });
}

} // namespace

int main() {
  Lesson L;
  ConfigPtr C = config();
  FleetView Six = fleetOfSix();

  Lesson::part("2 slots for 6 daemons");
  SlotAllocation Before = SlotAllocation::make(*C, Six, Six.Members[0].Id);
  show(Before);
  L.claim(slotsDealt(Before) == 2, "Both slots are dealt, and no third one.");
  L.claim(allAgree(*C, Six, Before), "All six daemons compute the same deal.");
  // The other four relay their sub-requests to a holder. A holder may open one
  // connection more than it has slots, so that one can be replaced in use.
  DaemonId Leaver = Before.holders(Up)[0].Daemon->Id;

  Lesson::part(Leaver.Host.str() + " leaves as planned");
  FleetView Five = without(Six, Leaver);
  SlotAllocation After = SlotAllocation::make(*C, Five, Six.Members[0].Id);
  show(After);
  L.claim(slotsDealt(After) == 2, "Both slots are dealt again.");
  L.claim(!holds(After, Leaver), "None to the one that leaves.");
  auto Heir = std::ranges::find_if(After.holders(Up), [&](const Holder &H) {
    return !holds(Before, H.Daemon->Id);
  });
  L.claim(Heir != After.holders(Up).end(), "One slot has a new holder.");
  if (Heir == After.holders(Up).end())
    return L.end();

  // News of the leaving takes a moment to reach everybody. Until it has, the
  // old holder may still be sending. If the new one began at once, the upstream
  // would get 3 requests at a time. So a gain rests; a loss counts at once.
  Lesson::part("the guard of " + Heir->Daemon->Id.Host.str());
  const Instant Start = Instant() + Seconds(100);
  const Duration Rest = guardTime(C->preset());
  HandoverGuard New(Rest), Old(Rest);
  New.update(SlotAllocation::make(*C, Six, Heir->Daemon->Id), Start);
  New.update(SlotAllocation::make(*C, Five, Heir->Daemon->Id), Start);
  L.claim(New.usable(Up).Slots == 0 && New.pending() == 1,
          "The gained slot rests.");
  New.due(Start + Rest - Millis(1));
  L.claim(New.usable(Up).Slots == 0,
          fmt::format("A moment before {} ms it still does.", toMillis(Rest)));
  New.due(Start + Rest);
  L.claim(New.usable(Up).Slots == 1, "Then it may be used.");

  Lesson::part("the guard of " + Leaver.Host.str());
  Old.update(SlotAllocation::make(*C, Six, Leaver), Start);
  Old.due(Start + Rest);
  L.claim(Old.usable(Up).Slots == 1, "It had one slot in use.");
  Old.update(SlotAllocation::make(*C, Five, Leaver), Start + Rest);
  L.claim(Old.usable(Up).Slots == 0, "It may not start anything more there.");
  return L.end();
}
