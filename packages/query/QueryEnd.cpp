// Completion of a search: result code, Retry-After and answer.
#include "query/AnswerBuilder.h"
#include "query/QueryMachine.h"

#include <algorithm>

namespace shallot {

bool QueryMachine::anyMissing() const {
  return std::ranges::any_of(
      Subs, [](const SubQuery &Sub) { return Sub.State == SubState::Missing; });
}

bool QueryMachine::anyMissingFor(ResultCode Reason) const {
  return std::ranges::any_of(Subs, [&](const SubQuery &Sub) {
    return Sub.State == SubState::Missing && Sub.Reason == Reason;
  });
}

bool QueryMachine::provenNotRun() const {
  return std::ranges::none_of(Subs, [](const SubQuery &Sub) {
    return Sub.MayHaveRun || Sub.hasOpen();
  });
}

ResultCode QueryMachine::codeAtEnd(bool ByTime) const {
  if (Answered == Subs.size())
    return ResultCode::Ok;
  if (!needsFull() && Answered > 0)
    return ResultCode::PartialCoverage;
  if (anyMissingFor(ResultCode::SnapshotGone))
    return ResultCode::SnapshotGone;
  if (ByTime && Answered == 0)
    return ResultCode::DeadlineExceeded;
  if (provenNotRun())
    return ResultCode::NoReplica;
  return needsFull() ? ResultCode::CoverageRefused
                     : ResultCode::UpstreamUnreachable;
}

/// The longest delay suggested by an upstream, else DefaultRetryAfter of 1 s,
/// plus random jitter of up to a quarter, so that callers refused together do
/// not retry at the same time.
Duration QueryMachine::retryAfter() {
  Duration Suggested =
      UpstreamRetryAfter > Duration{0} ? UpstreamRetryAfter : DefaultRetryAfter;
  double Spread = 1 + uniform01(Context.Rng) / 4;
  return clampRetryAfter(Duration(static_cast<Duration::rep>(
      static_cast<double>(Suggested.count()) * Spread)));
}

void QueryMachine::finish(ResultCode Code, Instant Now) {
  QueryAnswer A;
  A.Code = Code;
  A.Covered = coverageOf(Subs, Now - Begin);
  for (SubQuery &Sub : Subs)
    Sender->cancelOpen(Sub, Now, Out);
  bool HasAnswer =
      Code == ResultCode::Ok || Code == ResultCode::PartialCoverage;
  if (Answered > 0)
    A.Served = *Pin;
  if (HasAnswer)
    A.Records = takeRecords(Subs);
  else if (Code != ResultCode::ReplicasCrashed &&
           Code != ResultCode::RequestCrashes)
    A.RetryAfter = retryAfter(); // Not for a search that crashes upstreams.
  if (Code != ResultCode::Ok)
    A.Text = A.Covered.complete() ? std::string(infoOf(Code).Text)
                                  : missingText(A.Covered);
  A.Cost = Sender->cost();
  A.Took = Now - Begin;
  TraceEvent E;
  E.Kind = TraceKind::Finished;
  E.Code = Code;
  E.Pin = A.Served;
  E.Count = static_cast<unsigned>(Answered);
  Sender->trace(std::move(E), Now);
  Finished = true;
  Out.emplace_back(Finish{std::move(A)});
}

} // namespace shallot
