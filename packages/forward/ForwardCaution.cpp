//===- ForwardCaution.cpp -------------------------------------------------===//
//
// What a ForwardRun holds back while its request may be what crashes replicas.
//
//===----------------------------------------------------------------------===//
#include "forward/ForwardRun.h"

#include <algorithm>

namespace shallot {

void ForwardRun::holdAll() {
  for (Part &P : Parts)
    P.Held = true;
  AnyHeld = true;
}

/// The failure: one request crashes whatever runs it. Sent on to another
/// replica for each part that it lost, and hedged, it empties all shards in one
/// attempt; so it is at one replica at a time until a run of it ends well.
bool ForwardRun::careful() const {
  bool Suspected = Request.Care != Caution::None || Story.Crashed > 0;
  return Suspected && !succeeded();
}

/// Nothing more of it is sent. What is still open may end well: where replicas
/// of many shards end at one moment for another reason, three of them are lost
/// before the first reply comes.
bool ForwardRun::crashesEnough() const {
  if (!careful() || OpenSends > 0)
    return false;
  if (Request.Care == Caution::OneSend)
    return !Sends.empty();
  return Story.Crashed > 0 &&
         Request.CrashedBefore + Story.Crashed >= EnoughCrashes;
}

/// Whether another send may start while the request is suspected.
bool ForwardRun::mayStartOne() const {
  bool NoRoomWaits = std::ranges::any_of(
      Parts, [](const Part &P) { return P.RetryAt != Instant::max(); });
  return OpenSends == 0 && !NoRoomWaits && !crashesEnough();
}

/// Sends held parts: all of them, or while careful() one, when nothing else of
/// the request is under way.
void ForwardRun::sendHeld(ForwardShared &S, RunOutput &Out, Instant Now) {
  if (!AnyHeld)
    return;
  // Begun anywhere, so that the first shard is not every suspect's first.
  std::size_t First = below(S.Rng, Parts.size());
  for (std::size_t N = 0; N < Parts.size(); ++N) {
    auto Index = static_cast<unsigned>((First + N) % Parts.size());
    Part &P = Parts[Index];
    if (!P.Held)
      continue;
    if (careful() && !mayStartOne())
      return;
    P.Held = false;
    if (P.Sends == 0)
      trySend(S, Index, Out, Now);
    else
      tryAgain(S, Index, P.LastEnd, Out, Now);
  }
  AnyHeld = false;
}

/// A send of part \p Index has ended as \p Last: what is to be sent next, of
/// this part and of those that were held.
void ForwardRun::goOn(ForwardShared &S, unsigned Index, SendStatus Last,
                      RunOutput &Out, Instant Now) {
  Part &P = Parts[Index];
  if (!careful()) {
    tryAgain(S, Index, Last, Out, Now);
  } else if (!P.In && !P.GivenUp && P.Open == 0) {
    P.Held = AnyHeld = true;
    P.LastEnd = Last;
  }
  sendHeld(S, Out, Now);
}

} // namespace shallot
