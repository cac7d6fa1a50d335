// Lesson 5: who is in the fleet.
//
// Daemons find out about each other by asking each other: no one keeps the
// list. A Membership machine has no socket and no clock; it wants to be ticked
// and to be given its messages, and says what to send. Three of them and a bag
// of messages make a fleet. Then one goes silent.
#include "Lesson.h"

#include "shallotshift/fleet.h"

#include <array>
#include <deque>

using namespace shallot;
using namespace shallot::tutorial;

namespace {

constexpr std::size_t Count = 3;

Member member(std::size_t N) {
  std::string Ip = fmt::format("10.0.0.{}", N + 1);
  return {{HostId(fmt::format("entry-{}", N + 1)), 1},
          AvailabilityZone(fmt::format("zone-{}", N + 1)),
          Region("mn"),
          {Ip, 7100},
          {Ip, 7101},
          {Ip, 7102},
          MemberState::Alive};
}

// Three machines and the messages between them. Everybody knows the address of
// entry-1 from its settings, and nothing else.
class Fleet {
public:
  Fleet() {
    for (std::size_t N = 0; N < Count; ++N)
      Machines.push_back(good([&] {
        return Membership::make({}, member(N), {member(0).Gossip}, Rng, Now);
      }));
  }

  // Lets \p For pass, a tick at a time. Messages arrive at the next tick; those
  // to and from the silent one are lost.
  void pass(Duration For) {
    for (Instant End = Now + For; Now < End; Now += TickPeriod) {
      deliver();
      for (std::size_t N = 0; N < Count; ++N)
        if (N != Silent)
          take(N, Machines[N].onTick(Now));
    }
  }
  void silence(std::size_t N) { Silent = N; }

  // What \p By thinks of \p Of.
  MemberState seen(std::size_t By, std::size_t Of) const {
    for (const Member &M : Machines[By].view().Members)
      if (M.Id == member(Of).Id)
        return M.State;
    return MemberState::Left;
  }
  std::size_t known(std::size_t By) const {
    return Machines[By].view().Members.size();
  }
  double seconds() const { return toMillisF(Now - Instant()) / 1000; }

  std::vector<MembershipEvent> Events;

private:
  void take(std::size_t From, MembershipOutput Out) {
    for (MembershipEvent &E : Out.Events) {
      fmt::print("   {:5.1f} s  {}: {} {} {}\n", seconds(),
                 member(From).Id.Host.str(), eventName(E.Kind),
                 E.Who.Host.str(), E.Evidence);
      Events.push_back(std::move(E));
    }
    for (GossipSend &S : Out.Sends)
      Bag.push_back(std::move(S));
  }
  void deliver() {
    for (GossipSend &S : std::exchange(Bag, {}))
      for (std::size_t N = 0; N < Count; ++N)
        if (member(N).Gossip == S.To && N != Silent)
          take(N, Machines[N].onMessage(S.Message, Now));
  }

  Random Rng{3};
  Instant Now;
  std::vector<Membership> Machines;
  std::deque<GossipSend> Bag;
  std::optional<std::size_t> Silent;
};

// The seconds until entry-1 thinks \p S of entry-3; at most 60.
double until(Fleet &F, MemberState S) {
  double Start = F.seconds();
  while (F.seen(0, 2) != S && F.seconds() - Start < 60)
    F.pass(TickPeriod);
  fmt::print("   entry-1 thinks that entry-3 is {}\n", stateName(F.seen(0, 2)));
  return F.seconds() - Start;
}

} // namespace

int main() {
  Lesson L;
  Fleet F;

  Lesson::part("three daemons that know one address");
  F.pass(Seconds(5));
  bool AllKnown = true;
  for (std::size_t N = 0; N < Count; ++N)
    AllKnown = AllKnown && F.known(N) == Count;
  L.claim(AllKnown, "After 5 s each of the three knows all three.");
  L.claim(F.seen(1, 2) == MemberState::Alive,
          "entry-2 has heard of entry-3, which it was never told of.");

  Lesson::part("entry-3 goes silent");
  F.silence(2);
  double Suspected = until(F, MemberState::Suspect);
  // A suspect is still counted: it may be slow, or a message may have been
  // lost, and it gets the time to say that it is there.
  L.claim(Suspected < 4, "Within 4 s it is suspected.");
  double Failed = until(F, MemberState::Failed);
  L.claim(Failed > 1, "It was given more than 1 s to answer the suspicion.");
  L.claim(Suspected + Failed < 12, "Within 12 s it is failed.");
  F.pass(Seconds(5));
  L.claim(F.seen(1, 2) == MemberState::Failed,
          "entry-2 came to the same by itself.");
  L.claim(F.seen(0, 1) == MemberState::Alive &&
              F.seen(1, 0) == MemberState::Alive,
          "Nobody else was blamed.");
  return L.end();
}
