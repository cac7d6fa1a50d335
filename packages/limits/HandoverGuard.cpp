#include "limits/HandoverGuard.h"

#include <algorithm>

namespace shallot {

Duration guardTime(const Preset &P) {
  Duration Longest{0};
  for (const auto &[Class, Policy] : P->Classes)
    Longest = std::max(Longest, Policy.Deadline);
  return ViewPropagationTime + std::min(Longest, MaxDrainWait);
}

Share HandoverGuard::shareOf(const Entry &E) {
  if (E.Usable == 0)
    return {};
  // The connections of pending slots are withheld in proportion.
  return {E.Usable, E.Held.Connections * E.Usable / E.Held.Slots};
}

void HandoverGuard::addPending(Entry &E, unsigned Slots, Instant Now) {
  if (Slots > 0)
    E.Pending.push_back({Now + GuardTime, Slots});
}

void HandoverGuard::removeSlots(Entry &E, unsigned Slots) {
  // The latest gains go first, because they are not in use yet.
  while (Slots > 0 && !E.Pending.empty()) {
    Gain &Last = E.Pending.back();
    unsigned Taken = std::min(Slots, Last.Slots);
    Last.Slots -= Taken;
    Slots -= Taken;
    if (Last.Slots == 0)
      E.Pending.pop_back();
  }
  E.Usable -= std::min(Slots, E.Usable);
}

bool HandoverGuard::activateDue(Entry &E, Instant Now) {
  bool Changed = false;
  std::erase_if(E.Pending, [&](const Gain &G) {
    if (G.UsableAt > Now)
      return false;
    E.Usable += G.Slots;
    Changed = true;
    return true;
  });
  return Changed;
}

std::vector<ShareChange> HandoverGuard::update(const SlotAllocation &A,
                                               Instant Now) {
  std::vector<ShareChange> Out;
  for (const auto &[Id, Held] : A.heldBySelf())
    Entries.try_emplace(Id);
  for (auto It = Entries.begin(); It != Entries.end();) {
    auto &[Id, E] = *It;
    Share Before = shareOf(E);
    Share Held = A.heldBySelf(Id);
    activateDue(E, Now);
    if (Held.Slots > E.Held.Slots)
      addPending(E, Held.Slots - E.Held.Slots, Now);
    else
      removeSlots(E, E.Held.Slots - Held.Slots);
    E.Held = Held;
    activateDue(E, Now); // Without a guard time a gain is usable at once.
    if (Share After = shareOf(E); After != Before)
      Out.push_back({Id, After});
    It = Held.Slots == 0 ? Entries.erase(It) : std::next(It);
  }
  return Out;
}

std::vector<ShareChange> HandoverGuard::due(Instant Now) {
  std::vector<ShareChange> Out;
  for (auto &[Id, E] : Entries)
    if (activateDue(E, Now))
      Out.push_back({Id, shareOf(E)});
  return Out;
}

std::optional<Instant> HandoverGuard::nextDue() const {
  std::optional<Instant> Next;
  for (const auto &[Id, E] : Entries)
    for (const Gain &G : E.Pending)
      if (!Next || G.UsableAt < *Next)
        Next = G.UsableAt;
  return Next;
}

Share HandoverGuard::usable(const UpstreamId &Id) const {
  auto It = Entries.find(Id);
  return It == Entries.end() ? Share{} : shareOf(It->second);
}

unsigned HandoverGuard::pending() const {
  unsigned Sum = 0;
  for (const auto &[Id, E] : Entries)
    for (const Gain &G : E.Pending)
      Sum += G.Slots;
  return Sum;
}

} // namespace shallot
