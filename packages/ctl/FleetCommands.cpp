#include "ctl/FleetCommands.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>

namespace shallot {
namespace {

using nlohmann::json;

/// What `explain fleet` shows without --count.
constexpr std::size_t DefaultEvents = 50;

std::string textOf(const json &Doc, const char *Key) {
  auto It = Doc.find(Key);
  if (It == Doc.end())
    return "-";
  return It->is_string() ? It->get<std::string>() : canonicalJson(*It);
}

/// When an event of GET /v1/events happened; 0 when it does not say.
WallTime timeOf(const json &Event) {
  auto At = Event.find("at_ms");
  bool Said = At != Event.end() && At->is_number_integer();
  return Said ? At->get<WallTime>() : 0;
}

std::string statusLine(const DaemonStatus &D) {
  if (!D.Said)
    return fmt::format("{:<32} {:<9} {}\n", D.Member.Daemon, D.Member.State,
                       D.Said.error().Detail);
  const json &Doc = *D.Said;
  return fmt::format(
      "{:<32} {:<9} {:>10} {:<16} {:<14} {:<8} {}\n", textOf(Doc, "daemon"),
      textOf(Doc, "state"), textOf(Doc, "generation"), textOf(Doc, "preset"),
      textOf(Doc, "zone"), textOf(Doc, "watching") == "true" ? "watching" : "-",
      textOf(Doc, "config_source"));
}

std::uint64_t highestGeneration(const std::vector<DaemonStatus> &All) {
  std::uint64_t Highest = 0;
  for (const DaemonStatus &D : All)
    Highest = std::max(Highest, D.generation());
  return Highest;
}

/// Everybody who may know: the given daemons and the members that they name.
std::vector<Endpoint> everybody(Session &S) {
  std::vector<Endpoint> Whom = S.options().Daemons;
  auto Members = attempt([&] { return askMembers(S); });
  if (!Members)
    return Whom;
  for (const MemberEntry &M : *Members)
    if (std::ranges::find(Whom, M.Http) == Whom.end())
      Whom.push_back(M.Http);
  return Whom;
}

Result<Report> explainFleet(Session &S) {
  std::vector<Endpoint> Whom = everybody(S);
  std::vector<json> Events;
  std::size_t Index = 0;
  for (Attempt<json> &Answer : askAll(S, Whom, "/v1/events")) {
    const Endpoint &From = Whom[Index++];
    if (!Answer || !Answer->contains("events"))
      continue;
    for (json &Event : (*Answer)["events"]) {
      if (!Event.is_object())
        continue;
      Event["from"] = From.str();
      Events.push_back(std::move(Event));
    }
  }
  std::ranges::stable_sort(Events, {}, timeOf);
  std::size_t Count = S.options().Count ? S.options().Count : DefaultEvents;
  if (Events.size() > Count)
    Events.erase(Events.begin(),
                 std::prev(Events.end(), static_cast<std::ptrdiff_t>(Count)));
  Report R;
  for (const json &E : Events)
    R.Text += fmt::format("{} {} {} {}: {}\n", shownTime(timeOf(E)),
                          textOf(E, "from"), textOf(E, "event"),
                          textOf(E, "who"), textOf(E, "evidence"));
  R.Doc = {{"events", std::move(Events)}};
  return R;
}

Result<Report> explainRequest(Session &S, const std::string &Id) {
  BOOST_LEAF_CHECK(checkName(Id, "request id"));
  std::vector<Endpoint> Whom = everybody(S);
  auto Answers = askAll(S, Whom, "/v1/explain/" + Id);
  Report R;
  R.Doc = json::array();
  Error Last{ResultCode::UnknownRequest, "no daemon was reached"};
  for (std::size_t I = 0; I < Answers.size(); ++I) {
    if (!Answers[I]) {
      Last = Answers[I].error();
      continue;
    }
    R.Text +=
        fmt::format("from {}\n{}\n", Whom[I].str(), plainText(*Answers[I]));
    R.Doc.push_back({{"from", Whom[I].str()}, {"explains", *Answers[I]}});
  }
  if (!R.Doc.empty())
    return R;
  return fail(Last.Code,
              fmt::format("none of {} daemons holds request {}; they keep the "
                          "latest only; the last said: {}",
                          Whom.size(), Id, Last.Detail));
}

} // namespace

std::uint64_t DaemonStatus::generation() const {
  if (!Said || !Said->is_object())
    return 0;
  auto It = Said->find("generation");
  bool Number = It != Said->end() && It->is_number_integer();
  return Number && *It > 0 ? It->get<std::uint64_t>() : 0;
}

bool DaemonStatus::counts() const {
  return Member.State != "failed" && Member.State != "left";
}

Result<std::vector<DaemonStatus>> askFleet(Session &S) {
  BOOST_LEAF_AUTO(Members, askMembers(S));
  std::vector<Endpoint> Whom;
  Whom.reserve(Members.size());
  for (const MemberEntry &M : Members)
    Whom.push_back(M.Http);
  auto Answers = askAll(S, Whom, "/v1/status");
  std::vector<DaemonStatus> All;
  for (std::size_t I = 0; I < Members.size(); ++I)
    All.push_back({Members[I], std::move(Answers[I])});
  return All;
}

std::vector<std::string> behind(const std::vector<DaemonStatus> &All,
                                std::uint64_t Wanted) {
  std::vector<std::string> Names;
  for (const DaemonStatus &D : All) {
    if (!D.counts() || D.generation() >= Wanted)
      continue;
    std::string Why =
        D.Said ? fmt::format("generation {}", D.generation()) : "no answer";
    Names.push_back(fmt::format("{} ({})", D.Member.Daemon, Why));
  }
  return Names;
}

std::string summaryLine(const std::vector<DaemonStatus> &All,
                        std::uint64_t Wanted) {
  auto Counted = static_cast<std::size_t>(
      std::ranges::count_if(All, &DaemonStatus::counts));
  std::vector<std::string> Late = behind(All, Wanted);
  std::string Line = fmt::format("{} of {} daemons have generation {}",
                                 Counted - Late.size(), Counted, Wanted);
  if (!Late.empty())
    Line += fmt::format(", behind: {}", fmt::join(Late, ", "));
  return Line;
}

Report statusReport(const std::vector<DaemonStatus> &All) {
  std::uint64_t Wanted = highestGeneration(All);
  Report R;
  R.Text = fmt::format("{:<32} {:<9} {:>10} {:<16} {:<14} {:<8} {}\n", "DAEMON",
                       "STATE", "GENERATION", "PRESET", "ZONE", "WATCHING",
                       "SOURCE");
  json Daemons = json::array();
  for (const DaemonStatus &D : All) {
    R.Text += statusLine(D);
    json Doc{{"daemon", D.Member.Daemon}, {"member_state", D.Member.State}};
    if (D.Said)
      Doc["status"] = *D.Said;
    else
      Doc["error"] = D.Said.error().Detail;
    Daemons.push_back(std::move(Doc));
  }
  R.Text += summaryLine(All, Wanted) + "\n";
  std::vector<std::string> Late = behind(All, Wanted);
  if (!Late.empty())
    R.Code = ResultCode::NotEverywhere;
  R.Doc = {{"generation", Wanted},
           {"daemons", std::move(Daemons)},
           {"behind", Late},
           {"summary", summaryLine(All, Wanted)}};
  return R;
}

Result<Report> runStatus(Session &S) {
  BOOST_LEAF_AUTO(All, askFleet(S));
  return statusReport(All);
}

Result<Report> runExplain(Session &S) {
  const std::string &What = S.options().Arguments[0];
  if (What == "fleet")
    return explainFleet(S);
  return explainRequest(S, What);
}

Result<Report> runEntry(Session &S) {
  std::string Path = fmt::format("/v1/entry?zone={}&key={}", S.options().Zone,
                                 S.options().Key);
  Report R;
  BOOST_LEAF_ASSIGN(R.Doc, askAny(S, Path));
  R.Text = plainText(R.Doc);
  return R;
}

} // namespace shallot
