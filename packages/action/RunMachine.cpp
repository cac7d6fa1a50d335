#include "action/RunMachine.h"

#include <algorithm>

namespace shallot::action {

bool mayAnswer(const FleetView &Fleet, const DaemonId &Id) {
  for (const Member &M : Fleet.Members)
    if (M.Id == Id)
      return M.State != MemberState::Failed && M.State != MemberState::Left;
  return false;
}

RunMachine::RunMachine(RunSetup Setup, const RunContext &C)
    : S(std::move(Setup)), Deadline(C.Now.Mono + S.Request.Remaining),
      ClaimVersion(S.ClaimVersion) {}

void RunMachine::start(const RunContext &C) {
  if (S.Key.minted() && S.Key.minter() == S.Self)
    return intend(C);
  if (S.Key.minted() && S.FromPeer)
    return unknown("this daemon is not the one that minted the key",
                   RunVerdict::Kind::Forget, C);
  if (S.Key.minted())
    return forward(S.Key.minter(), C);
  if (lookUp())
    return read();
  if (ClaimVersion)
    return send(C);
  claim();
}

void RunMachine::on(std::uint32_t Of, const Event &E, const RunContext &C) {
  if (Of != Step || Now == Stage::Done || RetryTime)
    return;
  std::visit([&](const auto &Known) { handle(Known, C); }, E);
}

void RunMachine::onTime(const RunContext &C) {
  if (Now == Stage::Done)
    return;
  if (AnswerBy && !Answer && C.Now.Mono >= *AnswerBy)
    Answer = ToStore;
  if (!Answer && C.Now.Mono >= Deadline)
    onDeadline(C);
  if (Now == Stage::Sending && C.Now.Mono >= Deadline + C.Times.Linger)
    return unknown("the upstream never answered", RunVerdict::Kind::Final, C);
  if (Now != Stage::Done && RetryTime && C.Now.Mono >= *RetryTime) {
    RetryTime.reset();
    repeatCommand(C);
  }
}

void RunMachine::onFleet(const RunContext &C) {
  bool WaitsForPeer = Now == Stage::Forwarding || Now == Stage::Intending ||
                      Now == Stage::Fencing;
  if (!WaitsForPeer)
    return;
  DaemonId Peer =
      Now == Stage::Forwarding ? Owner : S.Key.witness().value_or(S.Self);
  if (mayAnswer(C.Fleet, Peer) || Peer == S.Self)
    return;
  RetryTime.reset();
  repeatCommand(C); // Sees that the peer is gone and goes another way.
}

std::optional<Instant> RunMachine::wake(const RunTimes &Times) const {
  if (Now == Stage::Done)
    return std::nullopt;
  std::optional<Instant> At = RetryTime;
  auto Sooner = [&](Instant T) { At = At ? std::min(*At, T) : T; };
  if (AnswerBy && !Answer)
    Sooner(*AnswerBy);
  if (!Answer)
    Sooner(Deadline);
  if (Now == Stage::Sending && Answer)
    Sooner(Deadline + Times.Linger);
  return At;
}

std::optional<Command> RunMachine::takeCommand() {
  std::optional<Command> C = std::move(Next);
  Next.reset();
  return C;
}

void RunMachine::issue(Command C) {
  ++Step;
  Next = std::move(C);
}

void RunMachine::retryAt(Instant At) { RetryTime = At; }

void RunMachine::repeatCommand(const RunContext &C) {
  switch (Now) {
  case Stage::Claiming:
    return claim();
  case Stage::Reading:
    return read();
  case Stage::Forwarding:
    return forward(Owner, C);
  case Stage::Intending:
    return intend(C);
  case Stage::Fencing:
    return fence(C);
  case Stage::Storing:
    return store(C);
  case Stage::Sending: // Never a second time.
  case Stage::Done:
    return;
  }
}

void RunMachine::onDeadline(const RunContext &C) {
  switch (Now) {
  case Stage::Claiming:
  case Stage::Reading:
    return refuseUnproven(ResultCode::WouldMissDeadline,
                          "the claim was not settled in time", C);
  case Stage::Intending:
    return refuse(ResultCode::WouldMissDeadline,
                  "the witness did not answer in time", C);
  case Stage::Forwarding:
  case Stage::Fencing:
    return unknown("the daemon responsible did not answer in time",
                   RunVerdict::Kind::Forget, C);
  case Stage::Sending:
    // The run goes on, so that a later delivery learns how it ended.
    Answer = outcomeOf(ResultCode::OutcomeUnknown,
                       "the upstream has not answered yet; ask again with the "
                       "same key",
                       C);
    return;
  case Stage::Storing:
    Answer = ToStore;
    return;
  case Stage::Done:
    return;
  }
}

ActionOutcome RunMachine::outcomeOf(ResultCode Code, std::string Detail,
                                    const RunContext &C) const {
  ActionOutcome O;
  O.Code = Code;
  O.Detail = std::move(Detail);
  O.RetryAfter = C.Times.RetryAfter;
  return O;
}

void RunMachine::conclude(ActionOutcome O, RunVerdict::Kind Kind) {
  if (!Answer)
    Answer = O;
  Fate = RunVerdict{Kind, std::move(O)};
  Now = Stage::Done;
}

/// What "not run" means for the key. Another delivery, delayed on its way or
/// forwarded twice, would run it after the caller was told that it did not; so
/// the key is spent, unless the caller vouched that there is no other delivery.
RunVerdict::Kind RunMachine::afterRefusal() const {
  bool Only = S.Request.FirstAttempt && !S.FromPeer;
  return Only ? RunVerdict::Kind::NotRun : RunVerdict::Kind::Final;
}

void RunMachine::refuse(ResultCode Code, std::string Detail,
                        const RunContext &C) {
  RunVerdict::Kind Kind = afterRefusal();
  if (Kind == RunVerdict::Kind::Final)
    Detail += "; take a new key to try again";
  conclude(outcomeOf(Code, std::move(Detail), C), Kind);
}

void RunMachine::refuseUnproven(ResultCode Code, std::string Detail,
                                const RunContext &C) {
  // An earlier delivery may have run at a daemon that is gone, and only its
  // claim, which cannot be read now, would say so. "Not run" would then be
  // false; it is said only if there was no earlier delivery.
  conclude(refusal(S.Request, Code, std::move(Detail), C.Times.RetryAfter),
           RunVerdict::Kind::NotRun);
}

void RunMachine::unknown(std::string Detail, RunVerdict::Kind Kind,
                         const RunContext &C) {
  conclude(outcomeOf(ResultCode::OutcomeUnknown, std::move(Detail), C), Kind);
}

} // namespace shallot::action
