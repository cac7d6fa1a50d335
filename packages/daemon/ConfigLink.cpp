#include "daemon/ConfigLink.h"

#include <algorithm>
#include <fmt/format.h>

namespace shallot {
namespace {

constexpr Duration PeerFetchTimeout = Seconds(3);
/// One long poll. Shorter than what idle connections are usually cut at.
constexpr Duration WatchWait = Seconds(20);
/// Between watches that failed: at first as short as the platform answers.
constexpr Duration FirstWatchPause = Millis(100);
constexpr Duration MaxWatchPause = Seconds(10);
/// Between looks for a head that does not exist yet.
constexpr Duration EmptyWatchPause = Millis(500);

std::vector<std::string> missingBlobs(const Head &H,
                                      const std::vector<std::string> &Have) {
  std::vector<std::string> Missing;
  auto AddIfMissing = [&](const std::string &Hash) {
    if (!std::ranges::binary_search(Have, Hash))
      Missing.push_back(Hash);
  };
  for (const auto &[Name, Hash] : H->Groups)
    AddIfMissing(Hash);
  for (const auto &[Name, Hash] : H->Presets)
    AddIfMissing(Hash);
  return Missing;
}

} // namespace

/// One fetch of a head and the blobs that it names and we lack.
struct ConfigLink::PlatformFetch {
  std::uint64_t Ticket = 0;
  std::vector<std::string> Have;
  ConfigParts Parts;
  std::vector<std::string> Missing;
  std::size_t InFlight = 0;
  bool Failed = false;
};

ConfigLink::ConfigLink(EventLoop &Loop, FleetState &Fleet,
                       StoreClient &Platform, EventLog &Events, Random &Rng,
                       Hooks H)
    : Loop(Loop), Fleet(Fleet), Platform(Platform), Events(Events), Rng(Rng),
      H(std::move(H)), Sync(Fleet.Self, Fleet.Zone, Rng),
      WatchBackoff(FirstWatchPause, MaxWatchPause) {}

void ConfigLink::pump() {
  // Carrying out one command may give the machine another input.
  for (auto Commands = Sync.take(); !Commands.empty(); Commands = Sync.take())
    for (const ConfigCommand &C : Commands)
      std::visit([this](const auto &One) { act(One); }, C);
}

void ConfigLink::serve(const ConfigQuery &Q,
                       const PeerResponder<ConfigParts> &Answer) {
  Answer.reply(attempt([&] { return Sync.serve(Q.Have, Q.MinGeneration); }));
}

void ConfigLink::act(const FetchFromPeer &C) {
  const Member *From = Fleet.find(C.From);
  if (!From) {
    Sync.fetchFailed(C.Ticket,
                     {ResultCode::PeerUnreachable, "not in the fleet"},
                     Loop.now());
    return;
  }
  ConfigQuery Q{C.Have, C.MinGeneration};
  Peers->fetchConfig(
      *From, std::move(Q), PeerFetchTimeout,
      [this, Ticket = C.Ticket](const Attempt<ConfigParts> &Parts) {
        if (Parts)
          Sync.fetched(Ticket, *Parts, Loop.now());
        else
          Sync.fetchFailed(Ticket, Parts.error(), Loop.now());
        pump();
      });
}

void ConfigLink::act(const FetchFromPlatform &C) {
  auto F = std::make_shared<PlatformFetch>();
  F->Ticket = C.Ticket;
  F->Have = C.Have;
  F->Parts.HeadJson = C.KnownHead;
  if (!C.KnownHead.empty())
    return readBlobs(F);
  Platform.read(std::string(HeadPath), [this, F](Attempt<StoredObject> Object) {
    if (Object) {
      PlatformAnswered = true;
      F->Parts.HeadJson = std::move((*Object).Value);
      return readBlobs(F);
    }
    if (Object.error().Code == ResultCode::PlatformNotFound) {
      PlatformAnswered = true;
      Sync.platformEmpty(F->Ticket, Loop.now());
    } else {
      Sync.fetchFailed(F->Ticket, Object.error(), Loop.now());
    }
    pump();
  });
}

void ConfigLink::readBlobs(const std::shared_ptr<PlatformFetch> &F) {
  auto Parsed = attempt([&] { return decodeHead(F->Parts.HeadJson); });
  if (Parsed)
    F->Missing = missingBlobs(*Parsed, F->Have);
  readMore(F);
}

void ConfigLink::readMore(const std::shared_ptr<PlatformFetch> &F) {
  while (!F->Missing.empty() && F->InFlight < MaxBlobReads) {
    std::string Hash = std::move(F->Missing.back());
    F->Missing.pop_back();
    ++F->InFlight;
    Platform.read(std::string(BlobPrefix) + Hash,
                  [this, F, Hash](Attempt<StoredObject> Blob) {
                    onBlob(F, Hash, std::move(Blob));
                  });
  }
  if (F->InFlight > 0)
    return;
  Sync.fetched(F->Ticket, F->Parts, Loop.now());
  pump();
}

void ConfigLink::onBlob(const std::shared_ptr<PlatformFetch> &F,
                        const std::string &Hash, Attempt<StoredObject> Blob) {
  --F->InFlight;
  if (F->Failed)
    return;
  if (!Blob) {
    F->Failed = true;
    Sync.fetchFailed(F->Ticket, Blob.error(), Loop.now());
    return pump();
  }
  F->Parts.Blobs[Hash] = std::move((*Blob).Value);
  readMore(F);
}

void ConfigLink::act(const StartWatch &) {
  Watching = true;
  watchOnce();
}

void ConfigLink::act(const StopWatch &) {
  Watching = false;
  ++WatchRound;
}

void ConfigLink::watchOnce() {
  std::uint64_t Round = ++WatchRound;
  Platform.watch(std::string(HeadPath), HeadVersion, WatchWait,
                 [this, Round](Attempt<std::optional<StoredObject>> Answer) {
                   onWatch(Round, std::move(Answer));
                 });
}

void ConfigLink::onWatch(std::uint64_t Round,
                         Attempt<std::optional<StoredObject>> Answer) {
  if (Round != WatchRound || !Watching)
    return;
  bool Absent = !Answer && Answer.error().Code == ResultCode::PlatformNotFound;
  PlatformAnswered = PlatformAnswered || Answer || Absent;
  Duration Pause{0};
  if (Answer) {
    WatchBackoff.reset();
    if (Answer->has_value()) {
      HeadVersion = (*Answer)->Version;
      Sync.watched((*Answer)->Value, Loop.now());
      pump();
    }
  } else {
    Pause = Absent ? EmptyWatchPause : WatchBackoff.next(Rng);
  }
  Loop.after(Pause, [this, Round] {
    if (Round == WatchRound && Watching)
      watchOnce();
  });
}

void ConfigLink::act(const AnnounceTo &C) { H.Announce(C.Peers); }

void ConfigLink::act(const InstalledConfig &C) {
  Events.add(LogLevel::Info,
             {Loop.wallTime(), "config_installed",
              fmt::format("generation {}", C.Installed->generation()),
              fmt::format("from {}, preset {}", C.Source.str(),
                          C.Installed->preset()->Name.str())});
  H.Installed(C);
}

void ConfigLink::act(const RejectedConfig &C) {
  Events.add(LogLevel::Warn,
             {Loop.wallTime(), "config_rejected",
              fmt::format("generation {}", C.Generation),
              fmt::format("from {}: {} {}", C.Source.str(),
                          codeLabel(C.Reason.Code), C.Reason.Detail)});
}

} // namespace shallot
