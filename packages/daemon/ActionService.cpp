#include "daemon/ActionService.h"

#include <algorithm>

namespace shallot {
namespace {

using namespace action;

/// A witness answers from memory; a longer wait is a lost message.
constexpr Duration WitnessTimeout = Millis(500);

ClaimResult claimResult(const Attempt<std::uint64_t> &Version) {
  using Kind = ClaimResult::Kind;
  if (Version)
    return {Kind::Created, *Version};
  switch (Version.error().Code) {
  case ResultCode::PlatformConflict:
    return {Kind::Exists};
  case ResultCode::PlatformThrottled:
  case ResultCode::PlatformTooLarge:
    return {Kind::NotApplied};
  default:
    return {Kind::Lost};
  }
}

ReadResult readResult(Attempt<StoredObject> Object) {
  using Kind = ReadResult::Kind;
  if (Object)
    return {Kind::Found, Object->Version, std::move((*Object).Value)};
  bool Missing = Object.error().Code == ResultCode::PlatformNotFound;
  return {Missing ? Kind::Missing : Kind::Failed};
}

WriteResult writeResult(const Attempt<std::uint64_t> &Version) {
  using Kind = WriteResult::Kind;
  if (Version)
    return {Kind::Done};
  bool Conflict = Version.error().Code == ResultCode::PlatformConflict;
  return {Conflict ? Kind::Conflict : Kind::Failed};
}

SubRequest subRequestOf(const SendToUpstream &C, const UpstreamId &Target,
                        unsigned Priority) {
  SubRequest R;
  R.Request = C.Request;
  R.AttemptId = C.AttemptId;
  R.Owner = C.Owner;
  R.Class = C.Class;
  R.Service = C.Service;
  R.Target = Target;
  R.Remaining = C.Remaining;
  R.Priority = Priority;
  R.TraceParent = C.TraceParent;
  R.Body = C.Body;
  R.IdempotencyKey = C.Key;
  return R;
}

UpstreamResult upstreamResult(const UpstreamId &Target, SubReply Reply) {
  return {Reply.Code, Reply.Status, std::move(Reply.Body), Reply.RetryAfter,
          Target};
}

} // namespace

ActionService::ActionService(EventLoop &Loop, FleetState &Fleet,
                             StoreClient &Platform, SubRouter &Router,
                             const ReplicaTable &Replicas, Metrics &Meter,
                             Random Rng)
    : Loop(Loop), Fleet(Fleet), Platform(Platform), Router(Router),
      Replicas(Replicas), Meter(Meter), Registry(Fleet.Self, Rng) {}

std::vector<UpstreamId>
ActionService::candidates(const Service &Svc,
                          const std::vector<UpstreamId> &Avoid) const {
  std::vector<UpstreamId> Fresh;
  std::vector<UpstreamId> Tried;
  for (const Upstream &U : Svc->Upstreams) {
    if (!Replicas.acceptsWork(U, Loop.now()))
      continue;
    bool Known = std::ranges::find(Avoid, U->Id) != Avoid.end();
    (Known ? Tried : Fresh).push_back(U->Id);
  }
  return Fresh.empty() ? Tried : Fresh;
}

Clocks ActionService::clocks() const { return {Loop.now(), Loop.wallTime()}; }

ActionKey ActionService::mint(Duration Validity) {
  return Registry.mint(Fleet.View, Validity, clocks());
}

void ActionService::begin(ActionRequest R, ActionOrigin From, Callback Done) {
  Waiting W{R.Owner, R.Class, std::move(Done)};
  RunId Run = Registry.begin(std::move(R), From, Fleet.View, clocks());
  Callers[static_cast<std::uint64_t>(Run)] = std::move(W);
  pump();
}

void ActionService::onFleet() {
  Registry.onFleet(Fleet.View, clocks());
  pump();
}

IntentAnswer ActionService::onIntent(const RecordIntent &M) {
  return Registry.onIntent(M, clocks());
}

void ActionService::onOutcome(const RecordOutcome &M) {
  Registry.onOutcome(M, clocks());
}

FenceAnswer ActionService::onFence(const FenceKey &M) {
  return Registry.onFence(M, clocks());
}

void ActionService::pump() {
  if (Pumping)
    return;
  Pumping = true;
  for (auto Orders = Registry.take(); !Orders.empty(); Orders = Registry.take())
    for (const Order &O : Orders)
      std::visit([&](const auto &C) { act(O, C); }, O.What);
  Pumping = false;
  Wake.cancel();
  if (auto Next = Registry.nextWake())
    Wake = Loop.after(*Next - Loop.now(), [this] {
      Registry.onTime(Fleet.View, clocks());
      pump();
    });
}

void ActionService::report(const Order &O, const Event &E) {
  Registry.on(O.Run, O.Step, E, Fleet.View, clocks());
  pump();
}

void ActionService::act(const Order &O, const ClaimInPlatform &C) {
  Platform.write(C.Path, C.Value, Precondition::ifAbsent(),
                 [this, O](const Attempt<std::uint64_t> &Version) {
                   report(O, claimResult(Version));
                 });
}

void ActionService::act(const Order &O, const ReadClaim &C) {
  Platform.read(C.Path, [this, O](Attempt<StoredObject> Object) {
    report(O, readResult(std::move(Object)));
  });
}

void ActionService::act(const Order &O, const WriteOutcome &C) {
  Platform.write(C.Path, C.Value, Precondition::ifVersion(C.Version),
                 [this, O](const Attempt<std::uint64_t> &Version) {
                   report(O, writeResult(Version));
                 });
}

const Member *ActionService::reach(const Order &O, const DaemonId &Who,
                                   Event Lost) {
  const Member *M = Fleet.find(Who);
  if (M && Peers)
    return M;
  Loop.post([this, O, Lost = std::move(Lost)] { report(O, Lost); });
  return nullptr;
}

void ActionService::act(const Order &O, const SendIntent &C) {
  const Member *To = reach(O, C.Witness, IntentResult{});
  if (!To)
    return;
  Peers->recordIntent(*To, C.Message, WitnessTimeout,
                      [this, O](const Attempt<IntentAnswer> &Answer) {
                        IntentResult R;
                        if (Answer)
                          R.Answer = *Answer;
                        report(O, R);
                      });
}

void ActionService::act(const Order &O, const SendOutcome &C) {
  const Member *To = reach(O, C.Witness, OutcomeResult{});
  if (!To)
    return;
  Peers->recordOutcome(*To, C.Message, WitnessTimeout,
                       [this, O](const Attempt<Done> &Answer) {
                         report(O, OutcomeResult{bool(Answer)});
                       });
}

void ActionService::act(const Order &O, const AskFence &C) {
  const Member *To = reach(O, C.Witness, FenceResult{});
  if (!To)
    return;
  Peers->fence(*To, C.Message, WitnessTimeout,
               [this, O](const Attempt<FenceAnswer> &Answer) {
                 FenceResult R;
                 if (Answer)
                   R.Answer = *Answer;
                 report(O, R);
               });
}

void ActionService::act(const Order &O, const ForwardTo &C) {
  const Member *To = reach(O, C.Target, ForwardResult{});
  if (!To)
    return;
  Duration Timeout = C.Message.Request.Remaining;
  Peers->forward(*To, C.Message, Timeout,
                 [this, O](const Attempt<ActionOutcome> &Answer) {
                   ForwardResult R;
                   if (Answer)
                     R.Outcome = *Answer;
                   else
                     R.TargetGone = Answer.error().Code ==
                                    ResultCode::PeerWrongIncarnation;
                   report(O, R);
                 });
}

void ActionService::act(const Order &O, const SendToUpstream &C) {
  ServiceRef Where =
      Fleet.Conf ? Fleet.Conf->find(C.Owner, C.Service) : ServiceRef{};
  auto Targets =
      Where.Svc ? candidates(*Where.Svc, C.Avoid) : std::vector<UpstreamId>();
  UpstreamId Target = Router.nearest(Targets);
  if (Target.empty()) {
    Loop.post([this, O] {
      report(O, UpstreamResult{.Code = ResultCode::NoReplica});
    });
    return;
  }
  const ClassPolicy *Policy = Fleet.Conf->preset().find(C.Class);
  Router.send(subRequestOf(C, Target, Policy ? Policy->Priority : 0),
              [this, O, Target](SubReply Reply) {
                report(O, upstreamResult(Target, std::move(Reply)));
              });
}

void ActionService::act(const Order &O, const action::Finish &C) {
  auto Node = Callers.extract(static_cast<std::uint64_t>(O.Run));
  if (Node.empty())
    return;
  Waiting &W = Node.mapped();
  Meter.count("shallot_actions_total", {{"tenant", W.Owner.str()},
                                        {"class", W.Class.str()},
                                        {"code", codeLabel(C.Outcome.Code)}});
  // Posted: begin() must have returned before the answer is given.
  Loop.post([Done = std::move(W.Done), Outcome = C.Outcome] { Done(Outcome); });
}

} // namespace shallot
