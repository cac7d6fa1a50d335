#include "ctl/ChangeCommands.h"

#include "ctl/FleetCommands.h"

#include <fmt/format.h>
#include <random>

namespace shallot {
namespace {

using nlohmann::json;

/// How often the fleet is asked while waiting for a change.
constexpr Duration WaitPoll = Millis(200);
/// The head keeps 200 bytes; a file may name thousands of objects.
constexpr std::size_t MaxSummaryBytes = 160;

Random freshRandom() {
  std::random_device Entropy;
  std::uint64_t High = Entropy();
  return Random((High << 32) | Entropy());
}

Change newChange(Session &S, Random &Rng, std::string Summary) {
  Change C;
  C.At = S.loop().wallTime();
  C.Id = newChangeId(C.At, Rng);
  C.Operator = S.options().Operator;
  if (Summary.size() > MaxSummaryBytes)
    Summary.resize(MaxSummaryBytes);
  C.Summary = std::move(Summary);
  return C;
}

/// Polls the daemons until all have generation \p Wanted or the time is over.
/// Fails when in the end no daemon could be asked.
Result<std::vector<DaemonStatus>> waitFor(Session &S, std::uint64_t Wanted) {
  Instant Deadline = S.loop().now() + *S.options().Wait;
  while (true) {
    auto All = attempt([&] { return askFleet(S); });
    bool Last = S.loop().now() + WaitPoll >= Deadline;
    if (Last || (All && behind(*All, Wanted).empty()))
      return resultOf(std::move(All));
    S.pause(WaitPoll);
  }
}

/// The change has landed whatever comes of the waiting, so a failure to ask is
/// told beside the change's own report and never in its place.
void addWait(Session &S, const ChangeOutcome &Outcome, Report &R) {
  if (!S.options().Wait)
    return;
  auto All = attempt([&] { return waitFor(S, Outcome.Generation); });
  std::vector<std::string> Late;
  if (All) {
    Late = behind(*All, Outcome.Generation);
    R.Text += summaryLine(*All, Outcome.Generation) + "\n";
    R.Doc["behind"] = Late;
  } else {
    R.Text += fmt::format("no daemon could be asked: {}\n", All.error().Detail);
    R.Doc["not_asked"] = All.error().Detail;
  }
  bool Everywhere = All && Late.empty();
  R.Doc["everywhere"] = Everywhere;
  if (!Everywhere)
    R.Code = ResultCode::NotEverywhere;
}

std::vector<std::string> changesOf(const ChangeOutcome &Outcome) {
  Draft Before = Outcome.Before ? draftOf(*Outcome.Before) : Draft{};
  return differences(Before, draftOf(*Outcome.Now));
}

Report reportOf(const Change &What, const ChangeOutcome &Outcome) {
  Report R;
  R.Doc = {{"change", What.Id.str()},
           {"generation", Outcome.Generation},
           {"changed", !Outcome.NothingToDo},
           {"rebases", Outcome.Rebases},
           {"found_after_loss", Outcome.FoundAfterLoss},
           {"preset", Outcome.Now->preset()->Name.str()}};
  if (Outcome.NothingToDo) {
    R.Text = fmt::format("nothing to change; generation {} is in force\n",
                         Outcome.Generation);
    return R;
  }
  std::vector<std::string> Lines = changesOf(Outcome);
  for (const std::string &Line : Lines)
    R.Text += Line + "\n";
  R.Doc["differences"] = std::move(Lines);
  R.Text += fmt::format("change {} accepted, generation {}\n", What.Id.str(),
                        Outcome.Generation);
  return R;
}

/// Writes the change and, when asked to, waits until it is everywhere.
Result<Report> make(Session &S, ChangeRequest Request, std::uint64_t Seed) {
  using Ended = Attempt<ChangeOutcome>;
  Change What = Request.What;
  Ended End = S.await<Ended>([&](const std::function<void(Ended)> &Go) {
    writeChange(S.platform(), S.loop(), Seed, {}, std::move(Request), Go);
  });
  BOOST_LEAF_AUTO(Outcome, resultOf(std::move(End)));
  Report R = reportOf(What, Outcome);
  addWait(S, Outcome, R);
  return R;
}

Result<Report> makeEdit(Session &S, std::string Summary,
                        std::function<Result<Draft>(Draft)> Edit) {
  Random Rng = freshRandom();
  ChangeRequest Request;
  Request.What = newChange(S, Rng, std::move(Summary));
  Request.Edit = std::move(Edit);
  return make(S, std::move(Request), Rng());
}

Result<std::vector<OperatorDoc>> documentsInFile(Session &S) {
  BOOST_LEAF_AUTO(Text, S.fileText());
  return decodeDocuments(Text);
}

Result<Draft> created(Draft D, const std::vector<OperatorDoc> &Docs) {
  std::map<std::string, std::string> Held = documentsOf(D);
  for (const OperatorDoc &Doc : Docs) {
    std::string Path = objectPath(Doc);
    if (Held.contains(Path))
      return fail(
          ResultCode::AlreadyExists,
          fmt::format("{} exists; `shallotctl apply` replaces it", Path));
  }
  return applyDocuments(std::move(D), Docs);
}

} // namespace

Result<Report> runCreate(Session &S) {
  BOOST_LEAF_AUTO(Docs, documentsInFile(S));
  return makeEdit(S, fmt::format("create {} documents", Docs.size()),
                  [Docs](Draft D) { return created(std::move(D), Docs); });
}

Result<Report> runApply(Session &S) {
  BOOST_LEAF_AUTO(Docs, documentsInFile(S));
  return makeEdit(
      S, fmt::format("apply {} documents", Docs.size()),
      [Docs](Draft D) { return applyDocuments(std::move(D), Docs); });
}

Result<Report> runDelete(Session &S) {
  std::vector<std::string> Paths = S.options().Arguments;
  return makeEdit(S, fmt::format("delete {}", fmt::join(Paths, " ")),
                  [Paths](Draft D) -> Result<Draft> {
                    for (const std::string &Path : Paths) {
                      BOOST_LEAF_ASSIGN(D, removeObject(std::move(D), Path));
                    }
                    return D;
                  });
}

Result<Report> runPresetUse(Session &S) {
  BOOST_LEAF_AUTO(Name, checkName(S.options().Arguments[0], "preset name"));
  Random Rng = freshRandom();
  Change What = newChange(S, Rng, "preset use " + Name);
  return make(S, presetSwitch(What, PresetName(Name)), Rng());
}

} // namespace shallot
