//===- ForwardSendRestriction.cpp - Sends of suspected requests -----------===//
//
// Limits the sends of a request that may be the cause of crashes of replicas.
//
//===----------------------------------------------------------------------===//
#include "forward/ForwardRun.h"

#include <algorithm>

namespace shallot {

void ForwardRun::holdAllParts() {
  for (Part &P : Parts)
    P.Held = true;
  AnyHeld = true;
}

/// Whether the request may be the cause of crashes of replicas. A request that
/// crashes every replica that runs it would, if it were retried for each lost
/// part and hedged, crash the replicas of all shards in one attempt. It is
/// therefore sent to one replica at a time until a send succeeds.
bool ForwardRun::suspected() const {
  bool Suspected =
      Request.Restriction != SendRestriction::None || Stats.Crashed > 0;
  return Suspected && !succeeded();
}

/// Whether no more is sent: too many replicas crashed, or the only send of a
/// trial (OneSend) ended without success. False while sends are open, since one
/// may still succeed: when replicas of many shards end at once for another
/// reason, three of them are lost before the first reply arrives.
bool ForwardRun::crashLimitReached() const {
  if (!suspected() || OpenSends > 0)
    return false;
  if (Request.Restriction == SendRestriction::OneSend)
    return !Sends.empty();
  return Stats.Crashed > 0 &&
         Request.CrashedBefore + Stats.Crashed >= CrashThreshold;
}

/// Whether another send may start while the request is suspected.
bool ForwardRun::maySendWhileSuspected() const {
  bool WaitsForRoom = std::ranges::any_of(
      Parts, [](const Part &P) { return P.RetryAt != Instant::max(); });
  return OpenSends == 0 && !WaitsForRoom && !crashLimitReached();
}

/// Sends held parts: all of them or, while suspected(), one if no other send of
/// the request is open.
void ForwardRun::sendHeldParts(ForwardShared &S, RunOutput &Out, Instant Now) {
  if (!AnyHeld)
    return;
  // Start at a random part, so that suspected requests do not all go to the
  // first shard.
  std::size_t First = below(S.Rng, Parts.size());
  for (std::size_t N = 0; N < Parts.size(); ++N) {
    auto Index = static_cast<unsigned>((First + N) % Parts.size());
    Part &P = Parts[Index];
    if (!P.Held)
      continue;
    if (suspected() && !maySendWhileSuspected())
      return;
    P.Held = false;
    if (P.Sends == 0)
      trySend(S, Index, Out, Now);
    else
      retryPart(S, Index, P.LastStatus, Out, Now);
  }
  AnyHeld = false;
}

/// A send of part \p Index ended as \p Last: starts the next sends, of this
/// part and of held ones.
void ForwardRun::sendNext(ForwardShared &S, unsigned Index, SendStatus Last,
                          RunOutput &Out, Instant Now) {
  Part &P = Parts[Index];
  if (!suspected()) {
    retryPart(S, Index, Last, Out, Now);
  } else if (!P.Succeeded && !P.Exhausted && P.Open == 0) {
    P.Held = AnyHeld = true;
    P.LastStatus = Last;
  }
  sendHeldParts(S, Out, Now);
}

} // namespace shallot
