#include "fleet/ConfigSync.h"

#include "fleet/WatcherChoice.h"

#include <algorithm>
#include <fmt/format.h>

namespace shallot {

namespace {

/// The most peers with a newer generation that are remembered. One is enough;
/// the others are for when several fail.
constexpr std::size_t MaxPeersAhead = 64;
/// The most confirming peers that are remembered; readiness needs a few.
constexpr std::size_t MaxConfirming = 16;
/// Peers asked without an announcement of a newer generation before the
/// platform is.
constexpr std::size_t MaxUnannouncedTries = 3;
/// The most timed-out fetches whose late replies are accepted. One fetch runs
/// at a time, and a call is ended after 3 s.
constexpr std::size_t MaxTimedOut = 8;
/// Replies of the platform that must contradict the announcement of a departed
/// peer before it is dropped. More than one, because one reply may lag.
constexpr unsigned DenialsToDropClaim = 3;
/// Beyond this many doublings every backoff has reached its limit.
constexpr unsigned MaxDoublings = 16;

ConfigSource platformSource() { return {ConfigSource::Kind::Platform, {}}; }

/// Returns true if the source answered but has nothing newer.
bool hasNoNewerConfig(const Error &Why) {
  return Why.Code == ResultCode::NoConfiguration ||
         Why.Code == ResultCode::StaleGeneration;
}

} // namespace

std::string ConfigSource::str() const {
  switch (From) {
  case Kind::Peer:
    return Peer.str();
  case Kind::Operator:
    return "operator";
  case Kind::Platform:
    break;
  }
  return "platform";
}

ConfigSync::ConfigSync(DaemonId Self, AvailabilityZone Zone, Random &Rng,
                       ConfigSyncOptions Options)
    : Self(std::move(Self)), Zone(std::move(Zone)), Rng(Rng), Options(Options) {
}

bool ConfigSync::reachable(const Member &M) {
  return takesNewWork(M) || M.State == MemberState::Leaving ||
         M.State == MemberState::Starting;
}

// Announcements.

std::uint64_t ConfigSync::highest() const {
  std::uint64_t Highest = 0;
  auto Take = [&](std::uint64_t Claim) {
    if (Claim != InvalidGeneration)
      Highest = std::max(Highest, Claim);
  };
  for (const auto &[Peer, Claim] : PeersAhead)
    Take(Claim);
  Take(PlatformClaim);
  Take(DepartedClaim);
  return Highest;
}

void ConfigSync::noteGeneration(const ConfigSource &From,
                                std::uint64_t Generation, Instant Now) {
  if (Generation <= Status.HighestHeard)
    return;
  Status.HighestHeard = Generation;
  Status.HeardFrom = From;
  // Earlier failures do not apply to a new generation.
  Failures = 0;
  FailedPeers.clear();
  NextTry = Now;
}

void ConfigSync::addConfirmation(const ConfigSource &From) {
  if (From.From != ConfigSource::Kind::Peer)
    PlatformConfirms = true;
  else if (Confirming.size() < MaxConfirming)
    Confirming.insert(From.Peer);
}

void ConfigSync::announced(const DaemonId &From, std::uint64_t Generation,
                           Instant Now) {
  if (From == Self)
    return;
  if (Generation <= generation()) {
    PeersAhead.erase(From);
    if (Generation < generation() || Generation == 0)
      Confirming.erase(From);
    else if (!MustRevalidate)
      addConfirmation({ConfigSource::Kind::Peer, From});
    return;
  }
  Confirming.erase(From);
  if (PeersAhead.size() < MaxPeersAhead || PeersAhead.contains(From))
    PeersAhead[From] = Generation;
  else if (Generation > highest())
    // A full table must not hide a newer generation behind older ones.
    PeersAhead = {{From, Generation}};
  noteGeneration({ConfigSource::Kind::Peer, From}, Generation, Now);
  fetchIfNeeded(Now);
}

void ConfigSync::updateClaim(const ConfigSource &From,
                             std::uint64_t Generation) {
  if (From.From == ConfigSource::Kind::Peer) {
    if (Generation > generation())
      PeersAhead[From.Peer] = Generation;
    else
      PeersAhead.erase(From.Peer);
    return;
  }
  PlatformClaim = Generation;
  if (Generation >= DepartedClaim || ++DepartedDenials >= DenialsToDropClaim)
    DepartedClaim = DepartedDenials = 0;
}

void ConfigSync::dropDepartedPeers() {
  for (auto It = PeersAhead.begin(); It != PeersAhead.end();) {
    const Member *M = findMember(It->first);
    if (M && reachable(*M)) {
      ++It;
      continue;
    }
    // The peer has departed, and its generation may be known to the platform
    // only. Dropping the claim would let this daemon take an older generation
    // for the newest.
    if (It->second > DepartedClaim) {
      DepartedClaim = It->second;
      DepartedDenials = 0;
    }
    It = PeersAhead.erase(It);
  }
  std::erase_if(Confirming,
                [&](const DaemonId &Id) { return !findMember(Id); });
}

void ConfigSync::members(const FleetView &View, Instant Now) {
  Members = View.Members;
  dropDepartedPeers();
  bool Chosen = isWatcher(Self, Zone, Members);
  if (Chosen != Status.Watching) {
    Status.Watching = Chosen;
    NextAntiEntropy = Now + backoff(0, Options.AntiEntropy);
    if (Chosen)
      Out.push_back(StartWatch{});
    else
      Out.push_back(StopWatch{});
  }
  fetchIfNeeded(Now);
}

void ConfigSync::watched(const std::string &Json, Instant Now) {
  Attempt<Head> H = attempt([&] { return decodeHead(Json); });
  if (!H)
    return reject(0, platformSource(), H.error());
  std::uint64_t Generation = (*H)->Generation;
  if (Generation <= generation())
    return evaluate({Json, {}}, platformSource(), Now);
  PlatformClaim = Generation;
  PlatformHead = Json;
  noteGeneration(platformSource(), Generation, Now);
  fetchIfNeeded(Now);
}

void ConfigSync::accepted(const ConfigParts &Parts, Instant Now) {
  evaluate(Parts, {ConfigSource::Kind::Operator, {}}, Now);
  fetchIfNeeded(Now);
}

void ConfigSync::revalidate(Instant Now) {
  Confirming.clear();
  PlatformConfirms = false;
  // Datagrams that were queued in the socket during the pause are as old as our
  // own state: only the answer to a request sent from now on confirms it.
  MustRevalidate = true;
  NextTry = Now;
  fetchIfNeeded(Now);
}

unsigned ConfigSync::confirmedBy() const {
  if (!Current || MustRevalidate || behind())
    return 0;
  return static_cast<unsigned>(Confirming.size()) + (PlatformConfirms ? 1 : 0);
}

ConfigStatus ConfigSync::status() const {
  ConfigStatus S = Status;
  S.Generation = generation();
  S.ConfirmedBy = confirmedBy();
  S.ConfirmedByPlatform = PlatformConfirms;
  return S;
}

std::vector<ConfigCommand> ConfigSync::take() { return std::exchange(Out, {}); }

// Fetching.

const Member *ConfigSync::findMember(const DaemonId &Id) const {
  auto It = std::ranges::lower_bound(Members, Id, {}, &Member::Id);
  return It != Members.end() && It->Id == Id ? &*It : nullptr;
}

std::vector<const Member *> ConfigSync::peersToAsk() const {
  std::vector<const Member *> Fit;
  for (const auto &[Id, Claim] : PeersAhead)
    if (const Member *M = findMember(Id);
        M && reachable(*M) && Claim != InvalidGeneration)
      Fit.push_back(M);
  if (!Fit.empty() || (Current && !MustRevalidate))
    return Fit;
  if (FailedPeers.size() >= MaxUnannouncedTries)
    return Fit;
  for (const Member &M : Members)
    if (M.Id != Self && reachable(M) && M.State != MemberState::Starting)
      Fit.push_back(&M);
  return Fit;
}

const Member *ConfigSync::choosePeer() {
  std::vector<const Member *> Fit = peersToAsk();
  std::erase_if(Fit,
                [&](const Member *M) { return FailedPeers.contains(M->Id); });
  if (Fit.empty())
    return nullptr;
  auto SameZone = std::partition(
      Fit.begin(), Fit.end(), [&](const Member *M) { return M->Zone == Zone; });
  auto SameZoneCount = static_cast<std::size_t>(SameZone - Fit.begin());
  return Fit[below(Rng, SameZoneCount ? SameZoneCount : Fit.size())];
}

std::uint64_t ConfigSync::start(ConfigSource From, Instant Now) {
  ActiveFetch = Fetch{++LastTicket, std::move(From), Now};
  return LastTicket;
}

bool ConfigSync::tryPeer(Instant Now) {
  const Member *M = choosePeer();
  if (!M)
    return false;
  std::uint64_t Least = behind() ? generation() + 1 : generation();
  std::uint64_t Ticket = start({ConfigSource::Kind::Peer, M->Id}, Now);
  Out.push_back(FetchFromPeer{Ticket, M->Id, have(), Least});
  return true;
}

bool ConfigSync::tryPlatform(Instant Now) {
  bool Allowed = Status.Watching || Failures >= Options.PlatformAfterFailures;
  if (!Allowed || Now < NextPlatformTry)
    return false;
  std::uint64_t Ticket = start(platformSource(), Now);
  Out.push_back(FetchFromPlatform{Ticket, have(), PlatformHead});
  return true;
}

void ConfigSync::fetchIfNeeded(Instant Now) {
  // One fetch at a time: a second one would transfer the same blobs twice, and
  // its answer could only be older or equal.
  if (ActiveFetch)
    return;
  if (!needsFetch()) {
    if (Status.Watching && Now >= NextAntiEntropy) {
      NextAntiEntropy = Now + backoff(0, Options.AntiEntropy);
      tryPlatform(Now);
    }
    return;
  }
  if (Now < NextTry)
    return;
  if (!PlatformHead.empty() && tryPlatform(Now))
    return;
  if (tryPeer(Now) || tryPlatform(Now))
    return;
  FailedPeers.clear();
  NextTry = Now + backoff(++Failures, Options.MaxBackoff);
}

Duration ConfigSync::backoff(unsigned Tries, Duration Cap) {
  Duration Wait = Cap;
  if (Tries > 0 && Tries <= MaxDoublings)
    Wait = std::min(Cap, Options.FirstBackoff * (1U << (Tries - 1)));
  // A random factor of 0.5 to 1.5, so that daemons that failed together do not
  // retry together.
  return Duration(static_cast<Duration::rep>(static_cast<double>(Wait.count()) *
                                             (0.5 + uniform01(Rng))));
}

void ConfigSync::failed(const ConfigSource &From, Instant Now) {
  ++Status.FailedFetches;
  if (From.From == ConfigSource::Kind::Peer) {
    FailedPeers.insert(From.Peer);
  } else {
    // The head may be the cause of the failure: read it again next time.
    PlatformHead.clear();
    NextPlatformTry =
        Now + backoff(++PlatformFailures, Options.MaxPlatformBackoff);
  }
  NextTry = Now + backoff(++Failures, Options.MaxBackoff);
}

void ConfigSync::succeeded() {
  MustRevalidate = false;
  Failures = 0;
  PlatformFailures = 0;
  FailedPeers.clear();
}

void ConfigSync::fetchFailed(std::uint64_t Ticket, const Error &Why,
                             Instant Now) {
  if (!ActiveFetch || ActiveFetch->Ticket != Ticket)
    return;
  ConfigSource From = ActiveFetch->From;
  ActiveFetch.reset();
  if (hasNoNewerConfig(Why)) {
    // The claim was wrong or outdated. If no source has a configuration, only
    // the watchers should keep asking the platform, not every daemon.
    updateClaim(From, 0);
    unsigned Before = Failures;
    failed(From, Now);
    Failures =
        std::min(Failures, std::max(Before, Options.PlatformAfterFailures - 1));
  } else {
    failed(From, Now);
  }
  fetchIfNeeded(Now);
}

void ConfigSync::platformEmpty(std::uint64_t Ticket, Instant Now) {
  if (!ActiveFetch || ActiveFetch->Ticket != Ticket)
    return;
  ActiveFetch.reset();
  PlatformClaim = 0;
  failed(platformSource(), Now);
  if (Current)
    reject(0, platformSource(),
           {ResultCode::PlatformNotFound,
            "the platform has no configuration; keeping the one in force"});
}

Duration ConfigSync::timeoutOf(const Fetch &F) const {
  return F.From.From == ConfigSource::Kind::Peer ? Options.PeerFetchTimeout
                                                 : Options.PlatformFetchTimeout;
}

void ConfigSync::onFetchTimeout(Instant Now) {
  std::uint64_t Ticket = ActiveFetch->Ticket;
  TimedOut.emplace(Ticket, ActiveFetch->From);
  if (TimedOut.size() > MaxTimedOut)
    TimedOut.erase(TimedOut.begin());
  fetchFailed(Ticket, {ResultCode::PeerUnreachable, "fetch timed out"}, Now);
}

void ConfigSync::tick(Instant Now) {
  if (ActiveFetch && Now - ActiveFetch->Started > timeoutOf(*ActiveFetch))
    onFetchTimeout(Now);
  fetchIfNeeded(Now);
}

} // namespace shallot
