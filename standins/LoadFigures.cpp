#include "standins/LoadFigures.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace shallot::standins {

namespace {

constexpr double Percent = 100;

double mean(double Sum, std::uint64_t Count) {
  return Count == 0 ? 0 : Sum / static_cast<double>(Count);
}

} // namespace

double quantile(const std::vector<double> &Sorted, double Share) {
  if (Sorted.empty())
    return 0;
  double Rank = std::ceil(Share * static_cast<double>(Sorted.size()));
  auto Index = static_cast<std::size_t>(std::max(1.0, Rank)) - 1;
  return Sorted[std::min(Index, Sorted.size() - 1)];
}

std::vector<Figure> LoadFigures::figures() {
  std::sort(LatencyMs.begin(), LatencyMs.end());
  std::sort(RefusalMs.begin(), RefusalMs.end());
  std::vector<Figure> All;
  auto Count = [&](const char *Name, std::uint64_t N,
                   std::optional<double> Bound = {}) {
    All.push_back({Name, static_cast<double>(N), "count", Bound});
  };
  Count("sent", Sent);
  Count("ok", Ok);
  Count("partial", Partial);
  Count("refused_not_run", RefusedNotRun);
  for (const auto &[Code, N] : Errors)
    Count(("error_" + Code).c_str(), N);
  for (const auto &[Code, N] : Missing)
    All.push_back({"missing_" + Code, static_cast<double>(N), "books", {}});
  Count("cut_off", CutOff, 0);
  Count("no_answer", NoAnswer, 0);
  Count("connect_failed", ConnectFailed);
  Count("moved_on", MovedOn);
  Count("not_sent", NotSent);
  Count("wrong_answers", WrongAnswers, 0);
  Count("not_run_but_seen", NotRunButSeen, 0);
  Count("actions_sent", ActionsSent);
  Count("actions_ran", ActionsRan);
  Count("actions_not_run", ActionsNotRun);
  Count("actions_unknown", ActionsUnknown);
  Count("actions_asked_again", ActionsAskedAgain);
  Count("actions_doubled", ActionsDoubled, 0);
  Count("actions_lost", ActionsLost, 0);
  Count("entry_reads", EntryReads);
  All.push_back({"p50", quantile(LatencyMs, 0.5), "ms", {}});
  All.push_back({"p99", quantile(LatencyMs, 0.99), "ms", {}});
  All.push_back({"p99.9", quantile(LatencyMs, 0.999), "ms", {}});
  All.push_back({"refusal_p50", quantile(RefusalMs, 0.5), "ms", {}});
  double Answers = static_cast<double>(Ok + Partial);
  All.push_back({"goodput", Seconds > 0 ? Answers / Seconds : 0, "1/s", {}});
  All.push_back(
      {"coverage", Percent * mean(CoverageSum, Ok + Partial), "%", {}});
  return All;
}

std::string printed(const std::vector<Figure> &All, bool AsJson) {
  if (AsJson) {
    Json Out = Json::object();
    for (const Figure &F : All)
      Out[F.Name] = F.Value;
    return Out.dump() + "\n";
  }
  std::string Out;
  for (const Figure &F : All)
    Out += fmt::format("{} {:.6g} {} {}\n", F.Name, F.Value, F.Unit,
                       F.Bound ? fmt::format("<={:g}", *F.Bound) : "-");
  return Out;
}

} // namespace shallot::standins
