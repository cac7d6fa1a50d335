// Property test over 24,000 random histories with fixed seeds. For any order of
// replies, losses, crashes, version changes, cancellations, duplicates, and
// late or mislabelled replies, a search gives exactly one answer from one
// snapshot, with correct coverage and within the budgets, and a search that
// crashes every upstream that runs it crashes only a few.
#include "correctness/QueryOwner.h"

#include <map>
#include <set>

using namespace shallot;

namespace {

constexpr unsigned Histories = 24000;
constexpr unsigned QueriesPerDaemon = 12;

/// Codes without a Retry-After.
const std::set<ResultCode> WithoutRetryAfter{ResultCode::ReplicasCrashed,
                                             ResultCode::RequestCrashes};

/// Upstreams whose versions advance at random times, one by one.
struct Fleet {
  std::map<UpstreamId, std::vector<Snapshot>> Holds;

  std::vector<Snapshot> &of(const UpstreamId &Id) {
    auto &H = Holds[Id];
    if (H.empty())
      H = {{41, 7}};
    return H;
  }
  void roll(const UpstreamId &Id, Random &Rng) {
    auto &H = of(Id);
    Snapshot Next = H.front();
    if (below(Rng, 3) == 0)
      ++Next.PartitionVersion;
    else
      ++Next.IndexVersion;
    H.insert(H.begin(), Next);
    if (H.size() > 1 + below(Rng, 2))
      H.pop_back();
  }
};

class History {
public:
  History(Daemon &D, Fleet &F, const ConfigPtr &C, Instant Start)
      : D(D), F(F), C(C), Now(Start) {}

  void run() {
    ClassPolicy Policy;
    Policy.Coverage =
        below(D.Rng, 3) == 0 ? CoverageRule::Full : CoverageRule::Partial;
    if (below(D.Rng, 2) == 0)
      Policy.PartialAfter = Millis(30);
    Policy.HedgeBudgetPercent = below(D.Rng, 2) == 0 ? 0 : 20;
    Policy.RetryBudgetPercent = below(D.Rng, 2) == 0 ? 0 : 20;
    Deadline = Now + Millis(20 + below(D.Rng, 100));
    QuerySpec Spec = makeSpec(C, Policy, Deadline);
    if (below(D.Rng, 8) == 0)
      Spec.Parts = StrategyParts::of(Strategy::Baseline);
    CrashesUpstreams = below(D.Rng, 6) == 0;
    if (below(D.Rng, 6) == 0) {
      Spec.Restriction = below(D.Rng, 2) == 0 ? SendRestriction::OneAtATime
                                              : SendRestriction::OneSend;
      Spec.CrashedBefore = 1 + below(D.Rng, 3);
    }
    auto &Budgets =
        D.Budgets.of(Spec.Owner, Spec.Class, Policy.HedgeBudgetPercent,
                     Policy.RetryBudgetPercent);
    double Hedges = Budgets.Hedges.balance();
    double Retries = Budgets.Retries.balance();
    auto Run = QueryRun::make(Spec, D.tools());
    O.take(Run.value().start(Now));
    for (int Step = 0; Step < 2000 && O.Answers.empty(); ++Step)
      step(Run.value());
    checkAfterFinish(Run.value());
    checkAnswer(Policy);
    if (CrashesUpstreams)
      checkCrashes(Spec);
    const QueryCost &Cost = O.Answers.front().Cost;
    double Asked = static_cast<double>(Spec.Services.size());
    // 1.4 + 0.6 is a little below 2 in floating point.
    constexpr double Rounding = 1e-9;
    Hedges += Asked * Policy.HedgeBudgetPercent / 100 + Rounding;
    Retries += Asked * Policy.RetryBudgetPercent / 100 + Rounding;
    CHECK(Cost.Hedges <= Hedges);
    CHECK(Cost.Retries <= Retries);
    if (Policy.HedgeBudgetPercent == 0)
      CHECK(Cost.Hedges == 0);
    CHECK(Cost.Restarts <= Spec.Services.size());
  }

  Instant now() const { return Now; }
  const QueryAnswer &answer() const { return O.Answers.front(); }

private:
  void step(QueryRun &Run) {
    Now += Micros(below(D.Rng, 3000));
    switch (below(D.Rng, 12)) {
    case 0:
      return wake(Run);
    case 1:
      return deliver(Run, AttemptKey("nobody.0"), okReply({41, 7}));
    case 2:
      if (!ClosedKeys.empty()) // Late or duplicate.
        deliver(Run, ClosedKeys[below(D.Rng, ClosedKeys.size())],
                okReply({41, 7}));
      return;
    case 3:
      if (!O.All.empty())
        F.roll(O.All[below(D.Rng, O.All.size())].Request.Target, D.Rng);
      return;
    case 4:
      if (below(D.Rng, 40) == 0)
        O.take(Run.onCallerGone(Now));
      return;
    case 5: // A long pause of this daemon.
      if (below(D.Rng, 20) == 0)
        Now += Millis(50);
      return;
    default:
      return reply(Run);
    }
  }

  void wake(QueryRun &Run) {
    if (O.Wake != Instant::max())
      Now = std::max(Now, O.Wake);
    O.take(Run.onWake(Now));
  }

  void reply(QueryRun &Run) {
    if (O.Sent.empty() || below(D.Rng, 10) == 0) // Lost or slow.
      return wake(Run);
    std::size_t I = below(D.Rng, O.Sent.size());
    SendSub S = O.Sent[I];
    O.Sent.erase(O.Sent.begin() + static_cast<std::ptrdiff_t>(I));
    ClosedKeys.push_back(S.Key);
    SubReply Reply = makeReply(S.Request);
    if (Reply.Code == ResultCode::Ok)
      Delivered[S.Key].insert(Reply.Served);
    deliver(Run, S.Key, Reply);
  }

  SubReply makeReply(const SubRequest &R) {
    static constexpr ResultCode Failures[] = {
        ResultCode::UpstreamShed,     ResultCode::UpstreamDraining,
        ResultCode::ConnectionClosed, ResultCode::ConnectFailed,
        ResultCode::SilentConnection, ResultCode::NoHolder,
        ResultCode::TransferTimeout,  ResultCode::UpstreamVersionGone};
    if (CrashesUpstreams || below(D.Rng, 40) == 0)
      return crashReply(R);
    auto &Held = F.of(R.Target);
    if (below(D.Rng, 8) == 0)
      return failure(Failures[below(D.Rng, std::size(Failures))],
                     below(D.Rng, 2) == 0 ? Held : std::vector<Snapshot>());
    bool Has = !R.Pin || std::ranges::find(Held, *R.Pin) != Held.end();
    if (!Has && below(D.Rng, 10) != 0)
      return failure(ResultCode::UpstreamVersionGone, Held);
    // Occasionally an upstream answers from a version other than the pin.
    Snapshot Served = Has && R.Pin ? *R.Pin : Held.front();
    return okReply(Served, Held);
  }

  SubReply crashReply(const SubRequest &R) {
    if (below(D.Rng, 5) == 0)
      return failure(ResultCode::NoHolder);
    if (CrashedUpstreams.empty())
      SentAtFirstCrash = O.All.size();
    CrashedUpstreams.insert(R.Target);
    SubReply Reply = failure(ResultCode::ConnectionClosed);
    Reply.Crashed = true;
    return Reply;
  }

  /// After the first crash a search is sent to one upstream at a time, until it
  /// is known to crash upstreams.
  void checkCrashes(const QuerySpec &Spec) {
    std::size_t Most = SentAtFirstCrash + CrashThreshold - 1;
    if (Spec.Restriction == SendRestriction::OneAtATime)
      Most =
          std::max(CrashThreshold, Spec.CrashedBefore + 1) - Spec.CrashedBefore;
    if (Spec.Restriction == SendRestriction::OneSend)
      Most = 1;
    CHECK(CrashedUpstreams.size() <= Most);
    CHECK(O.Answers.front().Records.empty());
  }

  /// Only reply() delivers to open attempts; other callers pass closed or
  /// unknown keys.
  void deliver(QueryRun &Run, const AttemptKey &Key, const SubReply &Reply) {
    O.take(Run.onReply(Key, Reply, Now));
  }

  /// No event has an effect after the answer.
  void checkAfterFinish(QueryRun &Run) {
    REQUIRE(O.Answers.size() == 1);
    CHECK(O.Sent.empty());
    O.take(Run.onWake(Now));
    O.take(Run.onCallerGone(Now));
    for (const SendSub &S : O.All)
      O.take(Run.onReply(S.Key, okReply({41, 7}), Now));
    CHECK(O.Answers.size() == 1);
    for (const ReplicaStatus &S : D.Replicas.all(Now))
      CHECK(S.Outstanding == 0);
  }

  void checkAnswer(const ClassPolicy &Policy) {
    const QueryAnswer &A = O.Answers.front();
    std::set<ServiceName> AnsweredServices;
    for (const ServiceRecords &R : A.Records) {
      CHECK(AnsweredServices.insert(R.Service).second);
      CHECK(R.Body == okReply(A.Served).Body);
      CHECK(cameFrom(R, A.Served));
    }
    bool HasAnswer =
        A.Code == ResultCode::Ok || A.Code == ResultCode::PartialCoverage;
    CHECK(HasAnswer == !A.Records.empty());
    if (HasAnswer)
      CHECK(A.Covered.ServicesAnswered == AnsweredServices.size());
    else
      CHECK((A.RetryAfter > Duration{0}) ==
            (!WithoutRetryAfter.contains(A.Code)));
    CHECK((A.Code == ResultCode::Ok) == (HasAnswer && A.Covered.complete()));
    if (Policy.Coverage == CoverageRule::Full)
      CHECK(A.Code != ResultCode::PartialCoverage);
    CHECK(A.Covered.BooksAnswered + A.Covered.Missing.size() ==
          A.Covered.BooksAsked);
    for (const MissingBook &M : A.Covered.Missing) {
      CHECK_FALSE(AnsweredServices.contains(M.Service));
      CHECK(M.Reason != ResultCode::Ok);
      CHECK_FALSE(M.Text.empty());
    }
    if (provesNotRun(A.Code)) {
      CHECK(Delivered.empty());
      CHECK(CrashedUpstreams.empty());
    }
  }

  /// True if that upstream sent the body for this run and service.
  bool cameFrom(const ServiceRecords &R, const Snapshot &Served) {
    return std::ranges::any_of(O.All, [&](const SendSub &S) {
      return S.Request.Service == R.Service && S.Request.Target == R.From &&
             Delivered[S.Key].contains(Served);
    });
  }

  Daemon &D;
  Fleet &F;
  ConfigPtr C;
  Instant Now;
  Instant Deadline;
  Owner O;
  std::vector<AttemptKey> ClosedKeys;
  std::map<AttemptKey, std::set<Snapshot>> Delivered;
  bool CrashesUpstreams = false; ///< Every upstream that runs it crashes.
  std::set<UpstreamId> CrashedUpstreams;
  std::size_t SentAtFirstCrash = 0;
};

} // namespace

TEST_CASE("a search keeps its invariants for any order of events") {
  std::vector<ConfigPtr> Configs = {makeConfig({1, 1}), makeConfig({3, 3}),
                                    makeConfig({6, 2}), makeConfig({4, 5})};
  std::map<ResultCode, unsigned> Codes;
  QueryCost Seen;
  for (unsigned Seed = 0; Seed < Histories / QueriesPerDaemon; ++Seed) {
    Daemon D(Seed);
    Fleet F;
    Instant Now = at(0);
    for (unsigned Q = 0; Q < QueriesPerDaemon; ++Q) {
      CAPTURE(Seed);
      CAPTURE(Q);
      History H(D, F, Configs[Seed % Configs.size()], Now);
      H.run();
      Now = H.now() + Millis(below(D.Rng, 400));
      ++Codes[H.answer().Code];
      const QueryCost &C = H.answer().Cost;
      Seen.Hedges += C.Hedges;
      Seen.Retries += C.Retries;
      Seen.Reasks += C.Reasks;
      Seen.Restarts += C.Restarts;
    }
  }
  // The histories reach each of these result codes and every kind of extra
  // request.
  for (ResultCode Code :
       {ResultCode::Ok, ResultCode::PartialCoverage,
        ResultCode::CoverageRefused, ResultCode::DeadlineExceeded,
        ResultCode::SnapshotGone, ResultCode::NoReplica,
        ResultCode::UpstreamUnreachable, ResultCode::CallerGone,
        ResultCode::ReplicasCrashed, ResultCode::RequestCrashes})
    CHECK_MESSAGE(Codes[Code] >= 20, infoOf(Code).Name);
  CHECK(Seen.Hedges > 1000);
  CHECK(Seen.Retries > 1000);
  CHECK(Seen.Reasks > 1000);
  CHECK(Seen.Restarts > 100);
}
