#include "fleet/Rendezvous.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace shallot {

namespace {

/// Contacts that a group keeps of itself: one may be lost with its host.
constexpr std::size_t WantedContacts = 2;
/// Contacts that one daemon proposes of its own group.
constexpr std::size_t ProposedContacts = 3;

/// A daemon that nobody has answered for this long after its start looks in the
/// record: longer than it takes the seeds of a large fleet to answer all that
/// start together.
constexpr Duration LookAfter = Millis(1900);
/// The same for those that watch it. Members of a fleet that starts know each
/// other by then, so few take themselves for the first of their region.
constexpr Duration WatchAfter = Seconds(5);
/// A daemon that seems alone writes this long after the last other was lost, or
/// after its start.
constexpr Duration WriteAfter = Millis(2200);
/// Time for a contact to answer.
constexpr Duration ContactTime = Millis(400);

/// Period in which a daemon that knows of no other reads the record, until that
/// is confirmed and from then on.
constexpr Duration AloneReadPeriod = Millis(300);
constexpr Duration ConfirmedReadPeriod = Seconds(2);
/// After a call that failed.
constexpr Duration RetryDelay = Seconds(1);
/// Between two writes of a daemon that seems alone; doubled each time that
/// another group answers, which it cannot reach.
constexpr Duration MinWritePeriod = Seconds(2);
/// Up to 8 s: that group may be lost too, and only a write tells.
constexpr unsigned MaxDoublings = 2;
/// Between two writes of a group, which has to answer within AnswerTime.
constexpr Duration GroupWritePeriod = Millis(300);

bool isLiveState(MemberState S) {
  return S != MemberState::Failed && S != MemberState::Left;
}

/// Whether \p A goes before \p B as the one that reads or writes. A daemon that
/// the store turns away goes last.
bool ranksBefore(const Member &A, const Member &B) {
  auto Rank = [](const Member &M) {
    return std::tuple(M.Store == StoreAccess::Refused, M.Id.Host);
  };
  return Rank(A) < Rank(B);
}

/// Whether the daemons in the region of \p A write rather than those of \p B.
bool isRegionBefore(const Member &A, const Member &B) {
  return A.Store != StoreAccess::Refused &&
         (A.Reg < B.Reg || B.Store == StoreAccess::Refused);
}

ListedHost contactOf(const Member &M) {
  return {M.Id.Host, M.Gossip, M.Zone, false};
}

bool isContactOf(const ListedHost &H, const Member &M) {
  return H.Host == M.Id.Host && H.Gossip == M.Gossip;
}

} // namespace

void Rendezvous::setView(const FleetView &View, const Member &Self,
                         Instant Now) {
  SelfId = Self.Id;
  Candidates = {contactOf(Self)};
  LiveCount = 1;
  Watches = Writes = true;
  for (Contact &C : Seen)
    C.Live = isContactOf(C.At, Self);
  std::set<AvailabilityZone> Zones{Self.Zone};
  for (const Member &M : View.Members) {
    if (M.Id.Host == Self.Id.Host || !isLiveState(M.State))
      continue;
    ++LiveCount;
    for (Contact &C : Seen)
      C.Live = C.Live || isContactOf(C.At, M);
    // Of other zones first, as a zone may be lost as a whole.
    if (Candidates.size() < MaxContacts && Zones.insert(M.Zone).second)
      Candidates.push_back(contactOf(M));
    Watches = Watches && (M.Reg != Self.Reg || !ranksBefore(M, Self));
    Writes = Writes && !isRegionBefore(M, Self);
  }
  Writes = Writes && Watches;
  for (const Member &M : View.Members) {
    if (Candidates.size() >= ProposedContacts)
      break;
    bool Has = std::ranges::any_of(
        Candidates, [&](const ListedHost &H) { return isContactOf(H, M); });
    if (!Has && isLiveState(M.State))
      Candidates.push_back(contactOf(M));
  }
  bool WasAlone = std::exchange(Alone, LiveCount == 1);
  if (Alone && (!WasAlone || AloneSince == Instant()))
    AloneSince = Now;
  if (!Alone) {
    Confirmed = false;
    WrittenAt.reset();
    Answered = 0;
  }
}

std::size_t Rendezvous::ownContacts() const {
  return static_cast<std::size_t>(
      std::ranges::count(Seen, true, &Contact::Live));
}

bool Rendezvous::mustRead(Instant Now) const {
  if (Now < NextReadAt)
    return false;
  if (Alone)
    return Now >= AloneSince + LookAfter;
  return Watches && Now >= StartedAt + WatchAfter;
}

bool Rendezvous::mustWrite(Instant Now) const {
  if (!Known || Now < NextWriteAt)
    return false;
  if (!Alone)
    return Writes && Now >= StartedAt + WatchAfter &&
           ownContacts() < std::min(WantedContacts, LiveCount);
  if (WrittenAt || Now < AloneSince + WriteAfter)
    return false;
  // Those that another daemon has just written may still answer.
  return std::ranges::all_of(Seen, [&](const Contact &C) {
    return C.Live || Now >= C.Since + ContactTime;
  });
}

RendezvousRecord Rendezvous::proposal(Instant Now) const {
  RendezvousRecord R;
  R.Writer = SelfId;
  R.Number = Record.Number + 1;
  std::size_t Own = 0;
  for (const Contact &C : Seen) {
    bool MayAnswer = Now < C.Since + ContactTime;
    Own += C.Live;
    if (C.Live || MayAnswer)
      R.Contacts.push_back(C.At);
  }
  for (const ListedHost &H : Candidates) {
    bool Has = std::ranges::find(R.Contacts, H) != R.Contacts.end();
    if (Has || Own >= ProposedContacts)
      continue;
    R.Contacts.push_back(H);
    ++Own;
  }
  if (R.Contacts.size() > MaxContacts)
    R.Contacts.erase(R.Contacts.begin(),
                     R.Contacts.end() - std::ptrdiff_t(MaxContacts));
  return R;
}

void Rendezvous::readStarted(Instant Now) {
  NextReadAt = Now + (Confirmed ? ConfirmedReadPeriod : AloneReadPeriod);
}

void Rendezvous::take(RendezvousRecord R, Instant Now) {
  std::vector<Contact> Before = std::exchange(Seen, {});
  for (const ListedHost &H : R.Contacts) {
    auto At = std::ranges::find(Before, H, &Contact::At);
    Seen.push_back(At == Before.end() ? Contact{H, Now} : *At);
  }
  Record = std::move(R);
  Known = true;
}

void Rendezvous::read(const std::optional<RendezvousRecord> &Found,
                      Instant Asked, Instant Now) {
  RendezvousRecord R = Found.value_or(RendezvousRecord());
  if (WrittenAt && R != Record) {
    WrittenAt.reset();
    Confirmed = false;
    ++Answered;
  }
  if (WrittenAt && Asked >= *WrittenAt + AnswerTime)
    Confirmed = Alone;
  take(std::move(R), Now);
}

void Rendezvous::readFailed(Instant Now) { NextReadAt = Now + RetryDelay; }

void Rendezvous::writeStarted(Instant Now) {
  NextWriteAt =
      Now + (Alone ? MinWritePeriod * (1 << std::min(Answered, MaxDoublings))
                   : GroupWritePeriod);
}

void Rendezvous::writeFailed(Instant Now) {
  NextWriteAt = std::max(NextWriteAt, Now + RetryDelay);
}

void Rendezvous::written(RendezvousRecord R, Instant Now) {
  take(std::move(R), Now);
  WrittenAt = Now;
  Confirmed = false;
}

} // namespace shallot
