#include "daemon/QuarantineLink.h"

#include "shallotshift/fleet.h"

namespace shallot {
namespace {

/// One long poll. Shorter than what idle connections are usually cut at.
constexpr Duration WatchWait = Seconds(20);
constexpr Duration FirstWatchPause = Millis(100);
constexpr Duration MostWatchPause = Seconds(4);
/// How often a daemon that does not watch the store asks one that does. With a
/// write and a call it is within the 4 s in which all daemons must know.
constexpr Duration AskPeriod = Millis(1500);
constexpr Duration AskTimeout = Seconds(1);
/// Until there is somebody to ask.
constexpr Duration NobodyPause = Millis(200);

} // namespace

QuarantineLink::QuarantineLink(EventLoop &Loop, const FleetState &Fleet,
                               StoreClient &Platform, QuarantineGate &Gate,
                               Random &Rng, std::function<bool()> Watches)
    : Loop(Loop), Fleet(Fleet), Platform(Platform), Gate(Gate), Rng(Rng),
      Watches(std::move(Watches)), Records(Platform, std::string(RecordsPath)),
      Sync(Loop, Records, std::string(RecordsPath), Gate.table(), Rng),
      WatchBackoff(FirstWatchPause, MostWatchPause) {
  Records.onChange([this](const RecordSet &Page) { takeNews(Page); });
  Gate.connect(
      [this](const RequestFingerprint &R, QuarantineGate::TrialCallback Done) {
        Sync.requestTrial(R, std::move(Done));
      },
      [this] { Sync.pump(); });
}

QuarantineLink::~QuarantineLink() {
  Next.cancel();
  Ticks.cancel();
}

void QuarantineLink::start() {
  follow();
  tick();
}

RecordsAnswer QuarantineLink::answer(const RecordsQuery &Q) const {
  const StoredObject &Now = Records.stored();
  if (Now.Version <= Q.Known)
    return {Now.Version, ""};
  return {Now.Version, Now.Value};
}

void QuarantineLink::again(Duration After) {
  Next = Loop.after(After, [this] { follow(); });
}

void QuarantineLink::follow() {
  if (Watches())
    watch();
  else
    askWatcher();
}

void QuarantineLink::watch() {
  Platform.watch(Records.path(), Records.version(), WatchWait,
                 [this](const Attempt<std::optional<StoredObject>> &Answer) {
                   bool Removed = !Answer && Answer.error().Code ==
                                                 ResultCode::PlatformNotFound;
                   if (!Answer && !Removed) {
                     if (!std::exchange(Away, true))
                       logEvent(LogLevel::Warn, "store_lost",
                                {{"watch", Records.path()},
                                 {"code", codeLabel(Answer.error().Code)},
                                 {"why", Answer.error().Detail}});
                     return again(WatchBackoff.next(Rng));
                   }
                   if (std::exchange(Away, false))
                     logEvent(LogLevel::Info, "store_regained",
                              {{"watch", Records.path()}});
                   WatchBackoff.reset();
                   if (Removed)
                     Records.removed();
                   else if (Answer->has_value())
                     Records.update(**Answer);
                   again(Duration(0));
                 });
}

void QuarantineLink::askWatcher() {
  auto Watchers = watchersOf(Fleet.Zone, Fleet.View.Members);
  const Member *Watcher =
      Watchers.empty() ? nullptr
                       : Fleet.find(Watchers[below(Rng, Watchers.size())]);
  if (!Peers || !Watcher || Watcher->Id == Fleet.Self)
    return again(NobodyPause);
  Peers->records(*Watcher, {Records.version()}, AskTimeout,
                 [this](const Attempt<RecordsAnswer> &Answer) {
                   if (Answer && !Answer->Document.empty())
                     Records.update({Answer->Document, Answer->Version});
                   if (!Answer)
                     logEvent(LogLevel::Info, "records_not_told",
                              {{"code", codeLabel(Answer.error().Code)},
                               {"why", Answer.error().Detail}});
                   again(Answer ? AskPeriod : NobodyPause);
                 });
}

void QuarantineLink::tick() {
  Sync.setMembers(Fleet.View.Members.size());
  Sync.tick(Loop.wallTime(), Watches());
  Ticks = Loop.after(QuarantineSyncInterval, [this] { tick(); });
}

void QuarantineLink::takeNews(const RecordSet &Page) {
  std::vector<SharedRecord> All;
  for (const auto &[Name, Object] : Page.Objects)
    if (auto R = decltype(Sync)::readShared(Object))
      All.push_back(std::move(*R));
  logEvent(LogLevel::Info, "quarantine_listed",
           {{"count", std::to_string(All.size())},
            {"revision", std::to_string(Page.Revision)}});
  Gate.table().replaceAll(All, {0, Page.Revision});
}

} // namespace shallot
