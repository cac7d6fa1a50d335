#include "action/RunMachine.h"

namespace shallot::action {

void RunMachine::forward(const DaemonId &To, const RunContext &C) {
  Now = Stage::Forwarding;
  Owner = To;
  if (!mayAnswer(C.Fleet, To))
    return ownerGone(C);
  ForwardAction M{S.Request};
  M.Request.Remaining = Deadline - C.Now.Mono;
  issue(ForwardTo{To, std::move(M)});
}

void RunMachine::handle(const ForwardResult &E, const RunContext &C) {
  if (Now != Stage::Forwarding)
    return;
  if (E.Outcome)
    return conclude(*E.Outcome, RunVerdict::Kind::Forget);
  if (E.TargetGone)
    return ownerGone(C);
  // The reply may be lost although it ran. Asking again is harmless, since the
  // target runs a key once.
  retryAt(C.Now.Mono + C.Times.RetryPause);
}

void RunMachine::ownerGone(const RunContext &C) {
  if (S.Key.minted() && !S.FromPeer)
    return fence(C);
  unknown("the daemon that claimed it is gone and left no outcome",
          RunVerdict::Kind::Forget, C);
}

void RunMachine::fence(const RunContext &C) {
  Now = Stage::Fencing;
  const auto &Witness = S.Key.witness();
  if (!Witness || !mayAnswer(C.Fleet, *Witness))
    return unknown("the minter and the witness of this key are both gone",
                   RunVerdict::Kind::Forget, C);
  issue(AskFence{
      *Witness,
      {S.Request.Owner, S.Key.str(), S.Request.Digest, S.Key.expiry()}});
}

void RunMachine::handle(const FenceResult &E, const RunContext &C) {
  if (Now != Stage::Fencing)
    return;
  if (!E.Answer)
    return retryAt(C.Now.Mono + C.Times.RetryPause);
  using Kind = FenceAnswer::Kind;
  switch (E.Answer->What) {
  case Kind::NotRun: {
    ActionOutcome O = outcomeOf(ResultCode::ProvenNotRun,
                                "its minter is gone; take a new key", C);
    O.RetryAfter = Duration(0);
    return conclude(std::move(O), RunVerdict::Kind::Forget);
  }
  case Kind::Outcome: {
    ActionOutcome O = E.Answer->Outcome;
    O.Replayed = ranToEnd(O);
    if (O.Code == ResultCode::Ok)
      O.Code = ResultCode::AlreadyRan;
    return conclude(std::move(O), RunVerdict::Kind::Forget);
  }
  case Kind::OtherBody:
    return conclude(outcomeOf(ResultCode::KeyReused,
                              "this key was used for another service or body",
                              C),
                    RunVerdict::Kind::Forget);
  case Kind::IntentSeen:
  case Kind::NotKnown:
    return unknown("the minter is gone; it may have sent the action",
                   RunVerdict::Kind::Forget, C);
  }
}

void RunMachine::intend(const RunContext &C) {
  Now = Stage::Intending;
  const auto &Witness = S.Key.witness();
  if (!Witness)
    return send(C);
  if (!mayAnswer(C.Fleet, *Witness))
    return refuse(ResultCode::ClaimUnavailable,
                  "the witness of this key is gone", C);
  issue(SendIntent{
      *Witness,
      {S.Request.Owner, S.Key.str(), S.Request.Digest, S.Key.expiry()}});
}

void RunMachine::handle(const IntentResult &E, const RunContext &C) {
  if (Now != Stage::Intending)
    return;
  if (!E.Answer)
    return retryAt(C.Now.Mono + C.Times.RetryPause);
  switch (*E.Answer) {
  case IntentAnswer::Granted:
    return send(C);
  case IntentAnswer::Full:
    return refuse(ResultCode::MemoryFull, "the witness has no room", C);
  case IntentAnswer::Fenced: {
    // We were thought dead, or the key expired while we were paused. Somebody
    // may have been told "not run", so it must never run here.
    ActionOutcome O =
        outcomeOf(ResultCode::ProvenNotRun, "fenced; take a new key", C);
    O.RetryAfter = Duration(0);
    return conclude(std::move(O), RunVerdict::Kind::Final);
  }
  }
}

} // namespace shallot::action
