#include "action/ActionRegistry.h"

#include <algorithm>
#include <fmt/format.h>

namespace shallot {

using namespace action;

namespace {

ActionOutcome outcome(ResultCode Code, std::string Detail, Duration After) {
  ActionOutcome O;
  O.Code = Code;
  O.Detail = std::move(Detail);
  O.RetryAfter = After;
  return O;
}

ActionOutcome replayOf(ActionOutcome O) {
  O.Replayed = ranToEnd(O);
  if (O.Code == ResultCode::Ok)
    O.Code = ResultCode::AlreadyRan;
  return O;
}

} // namespace

ActionRegistry::ActionRegistry(DaemonId Self, Random Rng, ActionLimits Limits)
    : Self(std::move(Self)), Rng(Rng), Limits(Limits),
      Memory(Limits.MaxRemembered), Witnessed(Limits.MaxWitnessed) {}

// Wall time as the registry uses it never goes back and never falls behind
// monotonic time. A clock set back would make a key valid again whose use was
// already forgotten, and it would run twice.
Clocks ActionRegistry::steady(Clocks Now) {
  if (!Start)
    Start = Now;
  WallTime ByMono = Start->Wall + toMillis(Now.Mono - Start->Mono);
  LatestWall = std::max({LatestWall, Now.Wall, ByMono});
  return {Now.Mono, LatestWall};
}

RunContext ActionRegistry::context(const FleetView &Fleet, Clocks Now) const {
  return {Now, Fleet, Limits.Times};
}

ActionKey ActionRegistry::mint(const FleetView &Fleet, Duration Validity,
                               Clocks Now) {
  Now = steady(Now);
  Duration Valid = std::clamp(Validity, Duration(Seconds(1)), MaxKeyValidity);
  auto Witness = chooseWitness(Fleet, Self, Rng());
  return ActionKey::mint(Self, Witness, Now.Wall + toMillis(Valid), Rng);
}

RunId ActionRegistry::begin(ActionRequest Request, ActionOrigin From,
                            const FleetView &Fleet, Clocks Now) {
  Now = steady(Now);
  Delivery D{std::move(Request), From == ActionOrigin::Peer};
  Memory.forget(Now.Wall);
  RunId Id{++LastRun};
  ++Unanswered;
  const ActionRequest &R = D.Request;
  auto Key = attempt([&] { return ActionKey::parse(R.Key); });
  if (!Key) {
    finish(Id, outcome(Key.error().Code, Key.error().Detail, Duration(0)));
    return Id;
  }
  if (R.Body.size() > MaxActionBodyBytes) {
    finish(Id, outcome(ResultCode::BodyTooLarge,
                       fmt::format("the body has {} bytes, at most {} are "
                                   "allowed",
                                   R.Body.size(), MaxActionBodyBytes),
                       Duration(0)));
    return Id;
  }
  bool MayRunHere = !Key->minted() || Key->minter() == Self;
  std::string Identity = MayRunHere ? identityOf(R.Owner, R.Key) : "";
  if (MayRunHere) {
    Remembered *Known = Memory.find(Identity);
    if (Known && answerFromMemory(Id, D, *Known, Now))
      return Id;
    if (Key->minted() && refuseTicket(Id, D, *Key, Known != nullptr, Now))
      return Id;
  }
  launch(Id, std::move(D), std::move(*Key), std::move(Identity),
         context(Fleet, Now));
  return Id;
}

/// Whether no other daemon can run this key: it is a ticket of ours, or the
/// claim was seen to be ours.
bool ActionRegistry::isProven(const Remembered &Known, bool Minted) const {
  if (Minted || Known.ClaimVersion)
    return true;
  auto It = Runs.find(RunId{Known.Run});
  return Known.What == Remembered::Kind::Running &&
         It->second.Machine.claimVersion();
}

/// True when the delivery was answered or joined to the run of its key.
bool ActionRegistry::answerFromMemory(RunId Id, const Delivery &D,
                                      Remembered &Known, Clocks Now) {
  const ActionRequest &R = D.Request;
  bool LookUp = R.Aim == ActionAim::LookUp;
  bool Other = !LookUp && R.Digest != Known.Digest;
  bool Proven = Known.What == Remembered::Kind::Final ||
                isProven(Known, R.Key.starts_with(MintedPrefix));
  if (Other && Proven) {
    finish(Id, outcome(ResultCode::KeyReused,
                       "this key was used for another service or body; take a "
                       "new key for a new action",
                       Duration(0)));
    return true;
  }
  if (Known.What == Remembered::Kind::Final) {
    finish(Id, replayOf(Known.Outcome));
    return true;
  }
  if (Known.What == Remembered::Kind::Running) {
    join(Id, RunId{Known.Run}, D, Now);
    return true;
  }
  if (LookUp && Proven) {
    finish(Id, outcome(ResultCode::UnknownRequest,
                       "no delivery of this key has run so far", Duration(0)));
    return true;
  }
  // Somebody else may have claimed it for this other body: the claim decides.
  if (Other)
    Known.Digest = R.Digest;
  return false;
}

/// True when a key that we are said to have minted must not run any more.
bool ActionRegistry::refuseTicket(RunId Id, const Delivery &D,
                                  const ActionKey &Key, bool Remembered,
                                  Clocks Now) {
  if (tooFarAhead(Key.expiry(), Now.Wall)) {
    finish(Id, outcome(ResultCode::BadName,
                       "Idempotency-Key: this daemon never minted it",
                       Duration(0)));
    return true;
  }
  if (Now.Wall >= Key.expiry()) {
    // After the retention a use of the key may have been forgotten.
    bool Sure = Remembered || !mayBeForgotten(Key.expiry(), Now.Wall);
    finish(Id,
           outcome(Sure ? ResultCode::KeyExpired : ResultCode::OutcomeUnknown,
                   "the key has expired; take a new key", Duration(0)));
    return true;
  }
  if (D.Request.Aim != ActionAim::LookUp)
    return false;
  finish(Id, outcome(ResultCode::UnknownRequest,
                     "no delivery of this key has run so far", Duration(0)));
  return true;
}

void ActionRegistry::join(RunId Id, RunId Owner, const Delivery &D,
                          Clocks Now) {
  Running &Run = Runs.at(Owner);
  bool SameBody = D.Request.Digest == Run.Machine.setup().Request.Digest;
  bool Room =
      Run.Waiters.size() < Limits.MaxWaiters && Waiters.size() < Limits.MaxRuns;
  if (!SameBody || !Room) {
    finish(Id, outcome(ResultCode::ActionInProgress, "it is being run now",
                       Limits.Times.RetryAfter));
    return;
  }
  Instant Deadline = Now.Mono + D.Request.Remaining;
  Run.Waiters.push_back(Id);
  Waiters.emplace(Id, Waiting{Owner, Deadline});
  Wakes.emplace(Deadline, Id);
}

/// The memory's entry for a new run, or null when there is no room.
Remembered *ActionRegistry::admit(RunId Id, const ActionRequest &R,
                                  const ActionKey &Key,
                                  const std::string &Identity, Clocks Now) {
  Remembered *Known = Memory.find(Identity);
  if (!Known) {
    WallTime Until = Key.minted() ? Key.expiry() + toMillis(KeyRetention)
                                  : Now.Wall + toMillis(ClaimRetention);
    Known = Memory.add(Identity, Until);
    if (!Known)
      return nullptr;
    Known->Digest = R.Digest;
    Known->Nonce = fmt::format("{:016x}", Rng());
  }
  Known->What = Remembered::Kind::Running;
  Known->Run = static_cast<std::uint64_t>(Id);
  return Known;
}

void ActionRegistry::launch(RunId Id, Delivery D, ActionKey Key,
                            std::string Identity, const RunContext &C) {
  if (D.Request.Aim == ActionAim::LookUp)
    Identity.clear();
  if (Runs.size() >= Limits.MaxRuns)
    return refuse(Id, D, ResultCode::Overloaded, "too many actions at work");
  const Remembered *M = nullptr;
  if (!Identity.empty()) {
    M = admit(Id, D.Request, Key, Identity, C.Now);
    if (!M)
      return refuse(Id, D, ResultCode::MemoryFull,
                    "too many keys are remembered");
  }
  RunSetup S{std::move(D.Request), std::move(Key), Self};
  S.FromPeer = D.FromPeer;
  S.ClaimedAt = C.Now.Wall;
  S.AttemptPrefix = fmt::format("{}-{}", Self.str(), LastRun);
  if (M) {
    S.Nonce = M->Nonce;
    S.ClaimVersion = M->ClaimVersion;
  }
  Running R{RunMachine(std::move(S), C), std::move(Identity)};
  auto It = Runs.emplace(Id, std::move(R)).first;
  It->second.Machine.start(C);
  settle(Id, C);
}

/// Refuses before there is a run.
void ActionRegistry::refuse(RunId Id, const Delivery &D, ResultCode Code,
                            std::string Detail) {
  ActionOutcome O =
      refusal(D.Request, Code, std::move(Detail), Limits.Times.RetryAfter);
  // A forwarded delivery may have a delayed copy that would run later.
  if (D.FromPeer)
    O.Code = ResultCode::OutcomeUnknown;
  finish(Id, std::move(O));
}

void ActionRegistry::on(RunId Run, std::uint32_t Step, const Event &E,
                        const FleetView &Fleet, Clocks Now) {
  RunContext C = context(Fleet, steady(Now));
  auto It = Runs.find(Run);
  if (It == Runs.end())
    return;
  It->second.Machine.on(Step, E, C);
  settle(Run, C);
}

void ActionRegistry::onFleet(const FleetView &Fleet, Clocks Now) {
  RunContext C = context(Fleet, steady(Now));
  std::vector<RunId> Ids;
  for (auto &[Id, R] : Runs)
    Ids.push_back(Id);
  std::ranges::sort(Ids);
  for (RunId Id : Ids) {
    Runs.at(Id).Machine.onFleet(C);
    settle(Id, C);
  }
}

void ActionRegistry::onTime(const FleetView &Fleet, Clocks Now) {
  RunContext C = context(Fleet, steady(Now));
  while (!Wakes.empty() && Wakes.begin()->first <= C.Now.Mono) {
    RunId Id = Wakes.begin()->second;
    Wakes.erase(Wakes.begin());
    if (auto W = Waiters.find(Id); W != Waiters.end()) {
      endWaiter(Id, W->second);
      continue;
    }
    auto It = Runs.find(Id);
    if (It == Runs.end())
      continue;
    It->second.Wake.reset();
    It->second.Machine.onTime(C);
    settle(Id, C);
  }
  Memory.forget(C.Now.Wall);
  Witnessed.forget(C.Now.Wall);
}

std::optional<Instant> ActionRegistry::nextWake() const {
  if (Wakes.empty())
    return std::nullopt;
  return Wakes.begin()->first;
}

std::vector<Order> ActionRegistry::take() { return std::exchange(Orders, {}); }

void ActionRegistry::give(RunId Id, std::uint32_t Step, Command C) {
  Orders.push_back({Id, Step, std::move(C)});
}

void ActionRegistry::finish(RunId Id, ActionOutcome O) {
  --Unanswered;
  give(Id, 0, Finish{std::move(O)});
}

/// Passes on what the machine decided, until it waits for something.
void ActionRegistry::settle(RunId Id, const RunContext &C) {
  Running &R = Runs.at(Id);
  while (auto Cmd = R.Machine.takeCommand())
    if (!serveSelf(R, *Cmd, C))
      give(Id, R.Machine.step(), std::move(*Cmd));
  if (R.Machine.verdict() && !R.Settled) {
    R.Settled = true;
    keep(R, C.Now);
  }
  if (R.Machine.answer() && !R.Answered) {
    R.Answered = true;
    finish(Id, *R.Machine.answer());
  }
  if (R.Answered && R.Settled)
    releaseWaiters(R);
  schedule(Id, R);
  if (R.Machine.done())
    Runs.erase(Id);
}

/// A message to ourselves as witness is answered on the spot.
bool ActionRegistry::serveSelf(Running &R, const Command &Cmd,
                               const RunContext &C) {
  std::uint32_t Step = R.Machine.step();
  if (auto *F = std::get_if<AskFence>(&Cmd); F && F->Witness == Self) {
    R.Machine.on(Step, FenceResult{onFence(F->Message, C.Now)}, C);
    return true;
  }
  if (auto *I = std::get_if<SendIntent>(&Cmd); I && I->Witness == Self) {
    R.Machine.on(Step, IntentResult{onIntent(I->Message, C.Now)}, C);
    return true;
  }
  if (auto *O = std::get_if<SendOutcome>(&Cmd); O && O->Witness == Self) {
    onOutcome(O->Message, C.Now);
    R.Machine.on(Step, OutcomeResult{true}, C);
    return true;
  }
  return false;
}

void ActionRegistry::keep(const Running &R, Clocks Now) {
  if (R.Identity.empty())
    return;
  const RunVerdict &V = *R.Machine.verdict();
  const ActionKey &Key = R.Machine.setup().Key;
  WallTime Until = Key.minted() ? Key.expiry() + toMillis(KeyRetention)
                                : Now.Wall + toMillis(ClaimRetention);
  Memory.find(R.Identity)->ClaimVersion = R.Machine.claimVersion();
  switch (V.What) {
  case RunVerdict::Kind::Forget:
    return Memory.remove(R.Identity);
  case RunVerdict::Kind::NotRun:
    return Memory.settleNotRun(R.Identity, Until);
  case RunVerdict::Kind::Final:
    return Memory.settle(R.Identity, V.Outcome, Until);
  }
}

void ActionRegistry::releaseWaiters(Running &R) {
  const RunVerdict &V = *R.Machine.verdict();
  ActionOutcome O = replayOf(V.Outcome);
  // The first delivery was told "not run" because its caller vouched that there
  // is no other. These are others, and the key may still run.
  if (V.What == RunVerdict::Kind::NotRun && provesNotRun(O.Code))
    O.Code = ResultCode::OutcomeUnknown;
  for (RunId Id : R.Waiters) {
    auto It = Waiters.find(Id);
    if (It == Waiters.end())
      continue;
    Wakes.erase({It->second.Deadline, Id});
    Waiters.erase(It);
    finish(Id, O);
  }
  R.Waiters.clear();
}

void ActionRegistry::endWaiter(RunId Id, Waiting W) {
  if (auto It = Runs.find(W.For); It != Runs.end())
    std::erase(It->second.Waiters, Id);
  Waiters.erase(Id);
  finish(Id, outcome(ResultCode::ActionInProgress, "it is being run now",
                     Limits.Times.RetryAfter));
}

void ActionRegistry::schedule(RunId Id, Running &R) {
  auto At = R.Machine.wake(Limits.Times);
  if (R.Wake == At)
    return;
  if (R.Wake)
    Wakes.erase({*R.Wake, Id});
  if (At)
    Wakes.emplace(*At, Id);
  R.Wake = At;
}

/// A host that was replaced has a new daemon at the old address. It knows
/// nothing of the intents of the one before, and its "not run" would be false.
bool ActionRegistry::isWitnessOf(const std::string &Key) const {
  auto K = attempt([&] { return ActionKey::parse(Key); });
  return K && K->witness() == Self;
}

IntentAnswer ActionRegistry::onIntent(const RecordIntent &M, Clocks Now) {
  if (!isWitnessOf(M.Key))
    return IntentAnswer::Full;
  return Witnessed.onIntent(M, steady(Now).Wall);
}

void ActionRegistry::onOutcome(const RecordOutcome &M, Clocks Now) {
  if (isWitnessOf(M.Key))
    Witnessed.onOutcome(M, steady(Now).Wall);
}

FenceAnswer ActionRegistry::onFence(const FenceKey &M, Clocks Now) {
  if (!isWitnessOf(M.Key))
    return {FenceAnswer::Kind::NotKnown, {}};
  return Witnessed.onFence(M, steady(Now).Wall);
}

} // namespace shallot
