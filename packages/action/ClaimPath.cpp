#include "action/RunMachine.h"

namespace shallot::action {

void RunMachine::claim() {
  Now = Stage::Claiming;
  ClaimRecord R;
  R.Owner = S.Self;
  R.Nonce = S.Nonce;
  R.Digest = S.Request.Digest;
  R.At = S.ClaimedAt;
  issue(ClaimInPlatform{claimPath(S.Request.Owner, S.Key.str()), encode(R)});
}

void RunMachine::read() {
  Now = Stage::Reading;
  issue(ReadClaim{claimPath(S.Request.Owner, S.Key.str())});
}

void RunMachine::handle(const ClaimResult &E, const RunContext &C) {
  if (Now != Stage::Claiming)
    return;
  switch (E.What) {
  case ClaimResult::Kind::Created:
    ClaimVersion = E.Version;
    return send(C);
  case ClaimResult::Kind::NotApplied:
    return tryClaimAgain(Stage::Claiming, C);
  case ClaimResult::Kind::Exists:
  case ClaimResult::Kind::Lost:
    // A lost reply may hide that the claim is ours; the nonce tells.
    return read();
  }
}

void RunMachine::tryClaimAgain(Stage Again, const RunContext &C) {
  Now = Again;
  if (++Tries < C.Times.ClaimTries)
    return retryAt(C.Now.Mono + C.Times.RetryPause);
  // A claim of ours may still be applied later. Whoever finds it comes to us:
  // the memory then says "not run" under the same nonce, and may run it.
  refuseUnproven(ResultCode::ClaimUnavailable,
                 "the platform's object service could not be asked", C);
}

void RunMachine::handle(const ReadResult &E, const RunContext &C) {
  if (Now != Stage::Reading)
    return;
  if (E.What == ReadResult::Kind::Failed)
    return tryClaimAgain(Stage::Reading, C);
  if (E.What == ReadResult::Kind::Missing && lookUp())
    return conclude(outcomeOf(ResultCode::UnknownRequest,
                              "no delivery of this key has run so far", C),
                    RunVerdict::Kind::Forget);
  // The lost create was not applied, or not yet. Creating again under the same
  // nonce is safe: whichever of the two is applied, the claim is ours.
  if (E.What == ReadResult::Kind::Missing)
    return tryClaimAgain(Stage::Claiming, C);
  auto R = attempt([&] { return decodeClaim(E.Value); });
  if (!R)
    return unknown(R.error().Detail, RunVerdict::Kind::Forget, C);
  judge(*R, E.Version, C);
}

void RunMachine::judge(const ClaimRecord &R, std::uint64_t Version,
                       const RunContext &C) {
  if (!lookUp() && R.Digest != S.Request.Digest)
    return conclude(outcomeOf(ResultCode::KeyReused,
                              "this key was used for another service or body; "
                              "take a new key for a new action",
                              C),
                    RunVerdict::Kind::Forget);
  if (R.Outcome) {
    ActionOutcome O = *R.Outcome;
    O.Replayed = ranToEnd(O);
    if (O.Code == ResultCode::Ok)
      O.Code = ResultCode::AlreadyRan;
    return conclude(std::move(O), RunVerdict::Kind::Final);
  }
  if (R.Owner != S.Self)
    return judgeOthers(R, C);
  // Our name with another nonce: an earlier run of ours that we no longer
  // remember. Going on would send a second time what that run may have sent.
  if (R.Nonce != S.Nonce || lookUp())
    return unknown("this daemon no longer remembers the run that claimed it",
                   RunVerdict::Kind::Forget, C);
  ClaimVersion = Version;
  send(C);
}

void RunMachine::judgeOthers(const ClaimRecord &R, const RunContext &C) {
  if (S.FromPeer)
    return unknown("the claim belongs to a third daemon",
                   RunVerdict::Kind::Forget, C);
  // The claim proves an earlier delivery, whatever the caller vouched.
  S.Request.FirstAttempt = false;
  forward(R.Owner, C);
}

} // namespace shallot::action
