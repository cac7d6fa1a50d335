#include "ctl/ReadCommands.h"

#include <fmt/format.h>

namespace shallot {
namespace {

using nlohmann::json;

constexpr Duration WatchWait = Seconds(25);
constexpr int ShownIndent = 2;

json parsed(const std::string &Document) {
  return json::parse(Document, nullptr, false);
}

Report allObjects(const StoredConfig &Stored,
                  const std::map<std::string, std::string> &Documents) {
  Report R;
  R.Doc = json::array();
  for (const auto &[Path, Document] : Documents) {
    R.Text += Path + "\n";
    R.Doc.push_back(parsed(Document));
  }
  R.Text += fmt::format("generation {}, preset {} is in force\n",
                        Stored.Config->generation(),
                        Stored.Config->preset()->Name.str());
  return R;
}

json changeDoc(const Change &C) {
  return {{"change", C.Id.str()},   {"generation", C.Generation},
          {"operator", C.Operator}, {"summary", C.Summary},
          {"at", shownTime(C.At)},  {"landed", true}};
}

std::string changeLine(const Change &C) {
  return fmt::format("generation {} {} by {}: {} ({})", C.Generation,
                     shownTime(C.At), C.Operator, C.Summary, C.Id.str());
}

/// The time that newChangeId() put into an id; 0 when it has none.
WallTime timeIn(const std::string &Id) {
  unsigned long long At = 0;
  constexpr std::size_t TimeDigits = 11;
  if (Id.size() < 2 + TimeDigits || Id.compare(0, 2, "c-") != 0)
    return 0;
  for (char C : Id.substr(2, TimeDigits)) {
    bool Digit = C >= '0' && C <= '9';
    if (!Digit && (C < 'a' || C > 'f'))
      return 0;
    At = At * 16 + (Digit ? C - '0' : C - 'a' + 10);
  }
  return static_cast<WallTime>(At);
}

/// What to say of a change that is not among the recent ones.
auto notFound(const Head &H, const std::string &Id) {
  const std::vector<Change> &Recent = H->Recent;
  bool Forgotten =
      Recent.size() == MaxRecentChanges && timeIn(Id) <= Recent.front().At;
  if (Forgotten)
    return fail(ResultCode::ChangeUnknown,
                fmt::format("{} is older than the {} changes that are "
                            "remembered; look at `shallotctl show`",
                            Id, Recent.size()));
  return fail(ResultCode::UnknownObject,
              fmt::format("{} has not landed: generation {} is in force and "
                          "its {} remembered changes do not have it. A request "
                          "that is still on its way could land within seconds",
                          Id, H->Generation, Recent.size()));
}

using Seen = Attempt<std::optional<StoredObject>>;

Seen nextHead(Session &S, std::uint64_t After) {
  return S.await<Seen>([&](const std::function<void(Seen)> &Go) {
    S.platform().watch(std::string(HeadPath), After, WatchWait, Go);
  });
}

/// Prints the changes of \p H that came after \p After; returns how many.
unsigned printChanges(Session &S, const Head &H, std::uint64_t After) {
  unsigned Printed = 0;
  for (const Change &C : H->Recent) {
    if (C.Generation <= After)
      continue;
    Report R;
    R.Text = changeLine(C) + "\n";
    R.Doc = changeDoc(C);
    S.print(R);
    ++Printed;
  }
  return Printed;
}

} // namespace

Result<Report> runShow(Session &S) {
  BOOST_LEAF_AUTO(Stored, S.config());
  auto Documents = documentsOf(draftOf(*Stored.Config));
  if (S.options().Arguments.empty())
    return allObjects(Stored, Documents);
  Report R;
  R.Doc = json::array();
  for (const std::string &Path : S.options().Arguments) {
    auto It = Documents.find(Path);
    if (It == Documents.end())
      return fail(ResultCode::UnknownObject,
                  fmt::format("there is no {}; `shallotctl show` lists what "
                              "there is",
                              Path));
    R.Doc.push_back(parsed(It->second));
  }
  const json &Shown = R.Doc.size() == 1 ? R.Doc[0] : R.Doc;
  R.Text = Shown.dump(ShownIndent) + "\n";
  return R;
}

Result<Report> runDiff(Session &S) {
  BOOST_LEAF_AUTO(Text, S.fileText());
  BOOST_LEAF_AUTO(Docs, decodeDocuments(Text));
  BOOST_LEAF_AUTO(Stored, S.config());
  Draft Now = draftOf(*Stored.Config);
  BOOST_LEAF_AUTO(Then, applyDocuments(Now, Docs));
  std::vector<std::string> Lines = differences(Now, Then);
  Report R;
  for (const std::string &Line : Lines)
    R.Text += Line + "\n";
  if (Lines.empty())
    R.Text = "no differences\n";
  R.Doc = {{"generation", Stored.Config->generation()},
           {"differences", std::move(Lines)}};
  return R;
}

Result<Report> runPresetList(Session &S) {
  BOOST_LEAF_AUTO(Stored, S.config());
  Report R;
  json Names = json::array();
  for (const Preset &P : Stored.Config->presets()) {
    bool InForce = P->Name == Stored.Config->preset()->Name;
    R.Text += fmt::format("{} {}\n", InForce ? '*' : ' ', P->Name.str());
    Names.push_back(P->Name.str());
  }
  R.Doc = {{"in_force", Stored.Config->preset()->Name.str()},
           {"generation", Stored.Config->generation()},
           {"presets", std::move(Names)}};
  return R;
}

Result<Report> runChange(Session &S) {
  const std::string &Id = S.options().Arguments[0];
  BOOST_LEAF_AUTO(Stored, S.config());
  const Head &H = Stored.Config->head();
  const Change *C = H.find(ChangeId(Id));
  if (!C)
    return notFound(H, Id);
  Report R;
  R.Text = "landed: " + changeLine(*C) + "\n";
  R.Doc = changeDoc(*C);
  return R;
}

Result<Report> runWatch(Session &S) {
  std::uint64_t Version = 0;
  std::uint64_t Generation = 0;
  unsigned Printed = 0;
  bool First = true;
  Backoff Wait(Millis(200), Seconds(5));
  Random Rng(static_cast<std::uint64_t>(S.loop().wallTime()));
  while (S.options().Count == 0 || Printed < S.options().Count) {
    Seen Object = nextHead(S, Version);
    if (!Object) {
      // The platform may be away for long; the operator wants to see on.
      S.pause(Wait.next(Rng));
      continue;
    }
    Wait.reset();
    if (!*Object)
      continue;
    BOOST_LEAF_AUTO(H, decodeHead((*Object)->Value));
    Version = (*Object)->Version;
    // What was there before is not news.
    if (!First)
      Printed += printChanges(S, H, Generation);
    First = false;
    Generation = H->Generation;
  }
  Report R;
  R.Doc = {{"generation", Generation}, {"printed", Printed}};
  return R;
}

Result<Report> runCheck(Session &S) {
  BOOST_LEAF_AUTO(Text, S.fileText());
  BOOST_LEAF_AUTO(Docs, decodeDocuments(Text));
  Report R;
  json Paths = json::array();
  for (const OperatorDoc &Doc : Docs)
    Paths.push_back(objectPath(Doc));
  R.Text = fmt::format("{} documents are well formed; whether they fit what is "
                       "there, `shallotctl diff` tells\n",
                       Docs.size());
  R.Doc = {{"documents", std::move(Paths)}};
  return R;
}

} // namespace shallot
