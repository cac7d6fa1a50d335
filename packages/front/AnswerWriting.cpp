//===- AnswerWriting.cpp --------------------------------------------------===//
#include "front/AnswerWriting.h"

#include <fmt/format.h>

namespace shallot {

namespace {

std::string_view outcomeOf(const ForwardAnswer &A) {
  if (const auto *M = std::get_if<MergedAnswer>(&A))
    return M->Missing == 0 ? "complete" : "partial";
  if (const auto *P = std::get_if<RelayedAnswer>(&A))
    return P->Reply.success() ? "complete" : "replica_failure";
  return effectText(infoOf(std::get<LocalAnswer>(A).Code).Effect);
}

CallerReply writeMerged(MergedAnswer M, const HeaderNames &Names) {
  std::string Signatures;
  for (const std::string &S : M.Signatures) {
    Signatures += Signatures.empty() ? "" : ", ";
    Signatures += S;
  }
  CallerReply Reply;
  Reply.Headers.push_back({Names.Signatures, std::move(Signatures)});
  if (M.Missing > 0)
    Reply.Headers.push_back({Names.MissingParts, std::to_string(M.Missing)});
  Reply.Body = std::move(M.Records);
  return Reply;
}

CallerReply writePassed(RelayedAnswer P) {
  CallerReply Reply;
  Reply.Status = P.Reply.Status;
  Reply.Headers = std::move(P.Reply.Headers);
  Reply.Body = std::move(P.Reply.Body);
  return Reply;
}

} // namespace

CallerReply writeOwnAnswer(const LocalAnswer &A, std::string Id) {
  return callerProblem(A.Code, A.Why, std::move(Id), A.RetryAfter);
}

CallerReply writeAnswer(ForwardAnswer A, const HeaderNames &Names,
                        const std::string &Id) {
  if (auto *M = std::get_if<MergedAnswer>(&A))
    return writeMerged(std::move(*M), Names);
  if (auto *P = std::get_if<RelayedAnswer>(&A))
    return writePassed(std::move(*P));
  return writeOwnAnswer(std::get<LocalAnswer>(A), Id);
}

LocalAnswer quarantinedAnswer() {
  return {ResultCode::RequestQuarantined,
          {},
          "replicas crashed each time that they ran this request; it is "
          "quarantined and no longer sent"};
}

LocalAnswer trialUnavailableAnswer() {
  return {ResultCode::TrialUnavailable, TrialRetryDelay,
          "replicas crashed while running this request; a trial is in progress "
          "or cannot be started now"};
}

void recordAnswer(Metrics &Meter, const RequestAttempt &Name,
                  const ForwardRun &Run, const ForwardAnswer &A, Instant Now) {
  const ForwardRequest &Request = Run.request();
  Duration Took = Now - Request.Arrived;
  std::string Outcome(outcomeOf(A));
  Meter.count("shallot_forward_answers_total",
              {{"route", Request.Matched->Name}, {"outcome", Outcome}});
  Meter.latency("shallot_forward_seconds", {{"route", Request.Matched->Name}},
                Took);
  const RunStats &S = Run.stats();
  if (Outcome == "complete" && Took <= Request.Matched->Objective)
    return;
  const auto *Own = std::get_if<LocalAnswer>(&A);
  const auto *Passed = std::get_if<RelayedAnswer>(&A);
  logEvent(LogLevel::Info, "request",
           {{"id", Name.Id},
            {"fingerprint", Name.Fingerprint.str()},
            {"route", Request.Matched->Name},
            {"config", std::to_string(Request.Config->version())},
            {"outcome", Outcome},
            {"code", Own ? codeLabel(Own->Code) : ""},
            {"status", Passed ? std::to_string(Passed->Reply.Status) : ""},
            {"why", Own ? Own->Why : ""},
            {"took_ms", fmt::format("{:.1f}", toMillisF(Took))},
            {"waits_ms", std::to_string(toMillis(Request.CallerWaits))},
            {"parts", fmt::format("{}/{}", S.PartsSucceeded, S.Parts)},
            {"sends", std::to_string(S.Sends)},
            {"hedges", std::to_string(S.Hedges)},
            {"retries", std::to_string(S.Retries)},
            {"rejected", std::to_string(S.Rejected)},
            {"lost", std::to_string(S.Lost)},
            {"crashed", std::to_string(S.Crashed)},
            {"not_sent", std::to_string(S.NotSent)},
            {"no_budget", std::to_string(S.BudgetRefusals)},
            {"no_room", std::to_string(S.NoRoomWaits)}});
}

} // namespace shallot
