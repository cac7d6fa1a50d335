#include "action/RunMachine.h"

#include <fmt/format.h>

namespace shallot::action {

void RunMachine::send(const RunContext &C) {
  // This process may have been paused since the claim or the intent. A late run
  // would book for a caller that has long given up.
  if (C.Now.Mono >= Deadline)
    return storeRefusal(
        outcomeOf(ResultCode::WouldMissDeadline, "the deadline has passed", C),
        C);
  if (S.Key.minted() && C.Now.Wall >= S.Key.expiry())
    return storeRefusal(outcomeOf(ResultCode::KeyExpired, "take a new key", C),
                        C);
  Now = Stage::Sending;
  SendToUpstream M;
  M.Owner = S.Request.Owner;
  M.Class = S.Request.Class;
  M.Request = S.Request.Request;
  M.Service = S.Request.Service;
  M.Key = S.Key.str();
  M.AttemptId = fmt::format("{}-{}", S.AttemptPrefix, ++Attempts);
  M.Body = S.Request.Body;
  M.TraceParent = S.Request.TraceParent;
  M.Remaining = Deadline - C.Now.Mono;
  M.Avoid = Refused;
  issue(std::move(M));
}

void RunMachine::handle(const UpstreamResult &E, const RunContext &C) {
  if (Now != Stage::Sending)
    return;
  if (provesNotRun(E.Code))
    return tryAnother(E, C);
  if (E.Code != ResultCode::Ok && E.Code != ResultCode::ActionFailed)
    return unknown(
        fmt::format("{}: the upstream may have run it", codeLabel(E.Code)),
        RunVerdict::Kind::Final, C);
  ActionOutcome O;
  bool Good = E.Status >= 200 && E.Status < 300;
  O.Code = Good ? ResultCode::Ok : ResultCode::ActionFailed;
  O.UpstreamStatus = E.Status;
  O.Body = E.Body;
  ToStore = O;
  Fate = RunVerdict{RunVerdict::Kind::Final, std::move(O)};
  Tries = 0;
  AnswerBy = C.Now.Mono + C.Times.StoreWait;
  store(C);
}

void RunMachine::tryAnother(const UpstreamResult &E, const RunContext &C) {
  if (!E.Target.empty())
    Refused.push_back(E.Target);
  bool MayTry = !Answer && !E.Target.empty() && C.Now.Mono < Deadline;
  if (MayTry && Attempts < C.Times.UpstreamTries)
    return send(C);
  ActionOutcome O = outcomeOf(E.Code, "no upstream ran it", C);
  if (E.RetryAfter > Duration(0))
    O.RetryAfter = E.RetryAfter;
  storeRefusal(std::move(O), C);
}

/// Answers "not run" and, if that spends the key, stores it, so that other
/// daemons can say it too.
void RunMachine::storeRefusal(ActionOutcome O, const RunContext &C) {
  // Already answered "unknown": whoever asks again may have it run.
  if (Answer)
    return conclude(std::move(O), RunVerdict::Kind::NotRun);
  RunVerdict::Kind Kind = afterRefusal();
  if (Kind != RunVerdict::Kind::Final)
    return conclude(std::move(O), Kind);
  O.Detail += "; take a new key to try again";
  conclude(O, Kind);
  ToStore = std::move(O);
  Tries = 0;
  store(C);
}

void RunMachine::store(const RunContext &C) {
  Now = Stage::Storing;
  ActionOutcome Kept = keepable(*ToStore, 0);
  if (!S.Key.minted()) {
    ClaimRecord R{S.Self, S.Nonce, S.Request.Digest, S.ClaimedAt, Kept};
    return issue(WriteOutcome{claimPath(S.Request.Owner, S.Key.str()),
                              ClaimVersion.value_or(0), encode(R)});
  }
  const auto &Witness = S.Key.witness();
  if (!Witness || !mayAnswer(C.Fleet, *Witness))
    return storedOrNot(true, C); // Nobody to tell.
  issue(SendOutcome{*Witness,
                    {S.Request.Owner, S.Key.str(), S.Key.expiry(), Kept}});
}

void RunMachine::storedOrNot(bool Stored, const RunContext &C) {
  if (Stored || ++Tries >= C.Times.StoreTries) {
    if (!Answer)
      Answer = ToStore;
    Now = Stage::Done;
    return;
  }
  retryAt(C.Now.Mono + C.Times.StorePause);
}

void RunMachine::handle(const WriteResult &E, const RunContext &C) {
  // Only we write to a claim of ours, so a conflict means that an earlier try
  // of this write took effect and its reply was lost.
  if (Now == Stage::Storing)
    storedOrNot(E.What != WriteResult::Kind::Failed, C);
}

void RunMachine::handle(const OutcomeResult &E, const RunContext &C) {
  if (Now == Stage::Storing)
    storedOrNot(E.Recorded, C);
}

} // namespace shallot::action
