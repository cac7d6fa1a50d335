#include "query/SubSender.h"

#include "query/Replica.h"

#include <charconv>
#include <fmt/format.h>

namespace shallot {
namespace {

/// 10 base-64 digits are 60 random bits: the probability that any two of a
/// million concurrent attempts in the fleet collide is about one in a million.
/// With the number appended, the key fits into the 15 bytes that std::string
/// holds without an allocation.
constexpr std::size_t NonceDigits = 10;
constexpr std::string_view Alphabet =
    "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_";

std::string makeNonce(Random &Rng) {
  std::string Text(NonceDigits, '0');
  std::uint64_t Bits = Rng();
  for (char &C : Text) {
    C = Alphabet[Bits % Alphabet.size()];
    Bits /= Alphabet.size();
  }
  return Text;
}

} // namespace

SubSender::SubSender(const QuerySpec &Spec, QueryContext &Context,
                     Instant Begin, Instant FinishBy)
    : Spec(Spec), Context(Context), Begin(Begin), FinishBy(FinishBy),
      Nonce(makeNonce(Context.Rng)) {
  Places.reserve(Spec.Services.size() + Spec.Services.size() / 8);
}

std::optional<Pick> SubSender::pick(const SubQuery &Sub,
                                    const std::optional<Snapshot> &Pin,
                                    Instant Now) {
  PickConstraints Constraints{Pin, Sub.Tried, Context.Zone,
                              Spec.Conf->preset()->EjectMaxPercent,
                              Spec.Parts.Pick};
  return Context.Replicas.pick(*Sub.Svc, Constraints, Now);
}

AttemptKey SubSender::makeKey() {
  return AttemptKey(fmt::format("{}.{}", Nonce, Places.size()));
}

SubRequest SubSender::requestFor(const SubQuery &Sub, const AttemptKey &Key,
                                 const Pick &To,
                                 const std::optional<Snapshot> &Pin,
                                 Instant Now) const {
  SubRequest R;
  R.Request = Spec.Id;
  R.AttemptId = Key.str();
  R.Owner = Spec.Owner;
  R.Class = Spec.Class;
  R.Service = Sub.name();
  R.Target = (*To.Target)->Id;
  R.Pin = Pin;
  R.Remaining = FinishBy - Now;
  R.Priority = Spec.Policy.Priority;
  R.TraceParent = Spec.TraceParent;
  R.Body = Spec.Body;
  return R;
}

void SubSender::count(TraceKind Kind) {
  switch (Kind) {
  case TraceKind::Hedged:
    ++Cost.Hedges;
    break;
  case TraceKind::Retried:
    ++Cost.Retries;
    break;
  case TraceKind::Reasked:
    ++Cost.Reasks;
    break;
  case TraceKind::Restarted:
    ++Cost.Restarts;
    break;
  default:
    ++Cost.FirstSends;
    break;
  }
}

void SubSender::send(std::size_t SubNumber, SubQuery &Sub, const Pick &To,
                     const std::optional<Snapshot> &Pin, TraceKind Kind,
                     Instant Now, QueryCommands &Out) {
  const UpstreamId &Target = (*To.Target)->Id;
  AttemptKey Key = makeKey();
  SendSub Command{Key, requestFor(Sub, Key, To, Pin, Now),
                  Kind == TraceKind::Hedged, Kind == TraceKind::Retried};
  Places.push_back({SubNumber, Sub.Attempts.size()});
  Sub.Attempts.push_back(
      {std::move(Key), Target, Now,
       Now + std::max(MinSilence, Sub.HedgeDelay * SilenceFactor),
       Pin.has_value(), true});
  Sub.Tried.push_back(Target);
  if (Kind != TraceKind::Reasked)
    ++Sub.CountedAttempts;
  Context.Replicas.onSent(Target, Now);
  count(Kind);
  TraceEvent E;
  E.Kind = Kind;
  E.Service = Sub.name();
  E.Upstream = Target;
  E.Alternative = To.Alternative;
  E.Why = To.Why;
  E.Expected = To.Expected;
  trace(std::move(E), Now);
  Out.emplace_back(std::move(Command));
}

std::optional<SubSender::Place> SubSender::find(const AttemptKey &Key) const {
  std::string_view Text = Key.str();
  if (Text.size() <= NonceDigits + 1 || Text.substr(0, NonceDigits) != Nonce)
    return std::nullopt;
  std::size_t Number = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Err] =
      std::from_chars(Text.data() + NonceDigits + 1, End, Number);
  if (Err != std::errc() || Stop != End || Number >= Places.size())
    return std::nullopt;
  return Places[Number];
}

void SubSender::close(SubQuery &Sub, SubAttempt &A, const SubReply &Reply,
                      Instant Now) {
  A.Open = false;
  if (!provesNotRun(Reply.Code))
    Sub.MayHaveRun = true;
  Cost.Crashed += Reply.Crashed;
  Cost.NotReceived += refusedBeforeUpstream(Reply.Code) ||
                      Reply.Code == ResultCode::ConnectFailed;
  Context.Replicas.onReply(A.Target, A.SentAt, Reply, Now);
  if (Reply.Code == ResultCode::Ok)
    Context.Latency.add(Spec.Owner, Sub.name(), Now - A.SentAt);
  TraceEvent E;
  E.Kind = TraceKind::Replied;
  E.Service = Sub.name();
  E.Upstream = A.Target;
  E.Code = Reply.Code;
  E.Took = Now - A.SentAt;
  E.Pin = Reply.Served;
  trace(std::move(E), Now);
}

void SubSender::cancelOpen(SubQuery &Sub, Instant Now, QueryCommands &Out) {
  for (SubAttempt &A : Sub.Attempts) {
    if (!A.Open)
      continue;
    // Overtaken: another attempt answered first, after the hedge delay of this
    // one.
    bool Overtaken =
        Sub.State == SubState::Answered && Now - A.SentAt >= Sub.HedgeDelay;
    if (A.SilentAt != Never && (Overtaken || Now >= A.SilentAt))
      recordSilence(Sub, A, Now, Out);
    A.Open = false;
    Sub.MayHaveRun = true;
    Context.Replicas.onCancelled(A.Target, A.SentAt, Now);
    // A cancelled attempt took at least this long. If only winning attempts
    // were counted, the quantile would fall with every hedge and cause more
    // hedges.
    Context.Latency.add(Spec.Owner, Sub.name(), Now - A.SentAt);
    TraceEvent E;
    E.Kind = TraceKind::Cancelled;
    E.Service = Sub.name();
    E.Upstream = A.Target;
    E.Took = Now - A.SentAt;
    trace(std::move(E), Now);
    Out.emplace_back(CancelSub{A.Key, A.Target});
  }
}

void SubSender::recordSilence(const SubQuery &Sub, SubAttempt &A, Instant Now,
                              QueryCommands &Out) {
  A.SilentAt = Never;
  SilenceAction Action = Context.Replicas.onSilent(A.Target, A.SentAt, Now);
  TraceEvent E;
  E.Kind = TraceKind::Silent;
  E.Service = Sub.name();
  E.Upstream = A.Target;
  E.Took = Now - A.SentAt;
  trace(E, Now);
  if (Action == SilenceAction::Wait)
    return;
  bool Replace = Action == SilenceAction::ReplaceConnection;
  E.Kind = Replace ? TraceKind::ReplacedConnection : TraceKind::BlamedReplica;
  trace(std::move(E), Now);
  if (Replace)
    Out.emplace_back(ReplaceConnection{A.Target});
}

void SubSender::trace(TraceEvent E, Instant Now) {
  if (!Context.Traces)
    return;
  E.At = Now - Begin;
  Context.Traces->add(Spec.Id, E);
}

void SubSender::trace(TraceKind Kind, const SubQuery &Sub, Instant Now,
                      ResultCode Code) {
  TraceEvent E;
  E.Kind = Kind;
  E.Service = Sub.name();
  E.Code = Code;
  trace(std::move(E), Now);
}

} // namespace shallot
