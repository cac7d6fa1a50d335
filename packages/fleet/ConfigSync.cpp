#include "fleet/ConfigSync.h"

#include "fleet/WatcherChoice.h"

#include <algorithm>
#include <fmt/format.h>

namespace shallot {

namespace {

/// Peers ahead of us that are remembered; any one of them is enough, more are
/// for when several fail.
constexpr std::size_t MaxAhead = 64;
/// Peers that agree with us that are remembered; readiness needs a few.
constexpr std::size_t MaxAgreeing = 16;
/// Peers that are asked without knowing that they have anything newer before
/// the platform is.
constexpr std::size_t MaxBlindTries = 3;
/// Answers that are still taken when they come too late. One fetch runs at a
/// time, and a call is ended after 3 s.
constexpr std::size_t MostGivenUp = 8;
/// Replies of the platform that must deny what a vanished peer claimed before
/// it is taken for wrong: one reply may lag.
constexpr unsigned DenialsToForget = 3;
/// Beyond this many doublings every wait is at its cap anyway.
constexpr unsigned MaxDoublings = 16;

ConfigSource platformSource() { return {ConfigSource::Kind::Platform, {}}; }

/// True for answers that say "nothing for you here" rather than failing.
bool knewNothing(const Error &Why) {
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
                       ConfigSyncRules Rules)
    : Self(std::move(Self)), Zone(std::move(Zone)), Rng(Rng), Rules(Rules) {}

bool ConfigSync::reachable(const Member &M) {
  return takesNewWork(M) || M.State == MemberState::Leaving ||
         M.State == MemberState::Starting;
}

// What was heard.

std::uint64_t ConfigSync::highest() const {
  std::uint64_t Highest = 0;
  auto Take = [&](std::uint64_t Claim) {
    if (Claim != InvalidGeneration)
      Highest = std::max(Highest, Claim);
  };
  for (const auto &[Peer, Claim] : Ahead)
    Take(Claim);
  Take(PlatformClaim);
  Take(OrphanClaim);
  return Highest;
}

void ConfigSync::heard(const ConfigSource &From, std::uint64_t Generation,
                       Instant Now) {
  if (Generation <= Stat.HighestHeard)
    return;
  Stat.HighestHeard = Generation;
  Stat.HeardFrom = From;
  // Something new: earlier failures say nothing about it.
  Failures = 0;
  Tried.clear();
  NextTry = Now;
}

void ConfigSync::agree(const ConfigSource &From) {
  if (From.From != ConfigSource::Kind::Peer)
    PlatformAgrees = true;
  else if (Agreeing.size() < MaxAgreeing)
    Agreeing.insert(From.Peer);
}

void ConfigSync::announced(const DaemonId &From, std::uint64_t Generation,
                           Instant Now) {
  if (From == Self)
    return;
  if (Generation <= generation()) {
    Ahead.erase(From);
    if (Generation < generation() || Generation == 0)
      Agreeing.erase(From);
    else if (!MustAsk)
      agree({ConfigSource::Kind::Peer, From});
    return;
  }
  Agreeing.erase(From);
  if (Ahead.size() < MaxAhead || Ahead.contains(From))
    Ahead[From] = Generation;
  else if (Generation > highest())
    // A full table must not hide a newer generation behind older ones.
    Ahead = {{From, Generation}};
  heard({ConfigSource::Kind::Peer, From}, Generation, Now);
  pursue(Now);
}

void ConfigSync::correctClaim(const ConfigSource &From,
                              std::uint64_t Generation) {
  if (From.From == ConfigSource::Kind::Peer) {
    if (Generation > generation())
      Ahead[From.Peer] = Generation;
    else
      Ahead.erase(From.Peer);
    return;
  }
  PlatformClaim = Generation;
  if (Generation >= OrphanClaim || ++OrphanDenials >= DenialsToForget)
    OrphanClaim = OrphanDenials = 0;
}

void ConfigSync::dropGoneClaims() {
  for (auto It = Ahead.begin(); It != Ahead.end();) {
    const Member *M = findMember(It->first);
    if (M && reachable(*M)) {
      ++It;
      continue;
    }
    // The peer is gone and what it had may be known to the platform only. To
    // forget it would let this daemon take an older generation for the newest.
    if (It->second > OrphanClaim) {
      OrphanClaim = It->second;
      OrphanDenials = 0;
    }
    It = Ahead.erase(It);
  }
  std::erase_if(Agreeing, [&](const DaemonId &Id) { return !findMember(Id); });
}

void ConfigSync::members(const FleetView &View, Instant Now) {
  Members = View.Members;
  dropGoneClaims();
  bool Chosen = isWatcher(Self, Zone, Members);
  if (Chosen != Stat.Watching) {
    Stat.Watching = Chosen;
    NextAntiEntropy = Now + backoff(0, Rules.AntiEntropy);
    if (Chosen)
      Out.push_back(StartWatch{});
    else
      Out.push_back(StopWatch{});
  }
  pursue(Now);
}

void ConfigSync::watched(const std::string &Json, Instant Now) {
  Attempt<Head> H = attempt([&] { return decodeHead(Json); });
  if (!H)
    return reject(0, platformSource(), H.error());
  std::uint64_t Generation = (*H)->Generation;
  if (Generation <= generation())
    return consider({Json, {}}, platformSource(), Now);
  PlatformClaim = Generation;
  PlatformHead = Json;
  heard(platformSource(), Generation, Now);
  pursue(Now);
}

void ConfigSync::accepted(const ConfigParts &Parts, Instant Now) {
  consider(Parts, {ConfigSource::Kind::Operator, {}}, Now);
  pursue(Now);
}

void ConfigSync::revalidate(Instant Now) {
  Agreeing.clear();
  PlatformAgrees = false;
  // Datagrams that waited in the socket during the pause are as old as our
  // own knowledge: only an answer to a question asked now confirms.
  MustAsk = true;
  NextTry = Now;
  pursue(Now);
}

unsigned ConfigSync::confirmedBy() const {
  if (!InForce || MustAsk || behind())
    return 0;
  return static_cast<unsigned>(Agreeing.size()) + (PlatformAgrees ? 1 : 0);
}

ConfigStatus ConfigSync::status() const {
  ConfigStatus S = Stat;
  S.Generation = generation();
  S.ConfirmedBy = confirmedBy();
  S.ConfirmedByPlatform = PlatformAgrees;
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
  for (const auto &[Id, Claim] : Ahead)
    if (const Member *M = findMember(Id);
        M && reachable(*M) && Claim != InvalidGeneration)
      Fit.push_back(M);
  if (!Fit.empty() || (InForce && !MustAsk))
    return Fit;
  if (Tried.size() >= MaxBlindTries)
    return Fit;
  for (const Member &M : Members)
    if (M.Id != Self && reachable(M) && M.State != MemberState::Starting)
      Fit.push_back(&M);
  return Fit;
}

const Member *ConfigSync::choosePeer() {
  std::vector<const Member *> Fit = peersToAsk();
  std::erase_if(Fit, [&](const Member *M) { return Tried.contains(M->Id); });
  if (Fit.empty())
    return nullptr;
  auto Near = std::partition(Fit.begin(), Fit.end(),
                             [&](const Member *M) { return M->Zone == Zone; });
  auto NearCount = static_cast<std::size_t>(Near - Fit.begin());
  return Fit[below(Rng, NearCount ? NearCount : Fit.size())];
}

std::uint64_t ConfigSync::start(ConfigSource From, Instant Now) {
  Running = Fetch{++LastTicket, std::move(From), Now};
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
  bool Allowed = Stat.Watching || Failures >= Rules.PlatformAfterFailures;
  if (!Allowed || Now < NextPlatformTry)
    return false;
  std::uint64_t Ticket = start(platformSource(), Now);
  Out.push_back(FetchFromPlatform{Ticket, have(), PlatformHead});
  return true;
}

void ConfigSync::pursue(Instant Now) {
  // One fetch at a time: the same blobs asked for twice would cost the bytes
  // twice, and a second answer could only be older or equal.
  if (Running)
    return;
  if (!wantsAny()) {
    if (Stat.Watching && Now >= NextAntiEntropy) {
      NextAntiEntropy = Now + backoff(0, Rules.AntiEntropy);
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
  Tried.clear();
  NextTry = Now + backoff(++Failures, Rules.MaxBackoff);
}

Duration ConfigSync::backoff(unsigned Tries, Duration Cap) {
  Duration Wait = Cap;
  if (Tries > 0 && Tries <= MaxDoublings)
    Wait = std::min(Cap, Rules.FirstBackoff * (1U << (Tries - 1)));
  // From half to one and a half: daemons that failed together do not come back
  // together.
  return Duration(static_cast<Duration::rep>(static_cast<double>(Wait.count()) *
                                             (0.5 + uniform01(Rng))));
}

void ConfigSync::failed(const ConfigSource &From, Instant Now) {
  ++Stat.FailedFetches;
  if (From.From == ConfigSource::Kind::Peer) {
    Tried.insert(From.Peer);
  } else {
    // The head may be what is wrong: read it again the next time.
    PlatformHead.clear();
    NextPlatformTry =
        Now + backoff(++PlatformFailures, Rules.MaxPlatformBackoff);
  }
  NextTry = Now + backoff(++Failures, Rules.MaxBackoff);
}

void ConfigSync::succeeded() {
  MustAsk = false;
  Failures = 0;
  PlatformFailures = 0;
  Tried.clear();
}

void ConfigSync::fetchFailed(std::uint64_t Ticket, const Error &Why,
                             Instant Now) {
  if (!Running || Running->Ticket != Ticket)
    return;
  ConfigSource From = Running->From;
  Running.reset();
  if (knewNothing(Why)) {
    // Its claim was wrong or outdated. When nobody knows anything it is for
    // the watchers, not for everyone, to go on asking the platform.
    correctClaim(From, 0);
    unsigned Before = Failures;
    failed(From, Now);
    Failures =
        std::min(Failures, std::max(Before, Rules.PlatformAfterFailures - 1));
  } else {
    failed(From, Now);
  }
  pursue(Now);
}

void ConfigSync::platformEmpty(std::uint64_t Ticket, Instant Now) {
  if (!Running || Running->Ticket != Ticket)
    return;
  Running.reset();
  PlatformClaim = 0;
  failed(platformSource(), Now);
  if (InForce)
    reject(0, platformSource(),
           {ResultCode::PlatformNotFound,
            "the platform has no configuration; ours stays in force"});
}

Duration ConfigSync::timeoutOf(const Fetch &F) const {
  return F.From.From == ConfigSource::Kind::Peer ? Rules.PeerFetchTimeout
                                                 : Rules.PlatformFetchTimeout;
}

void ConfigSync::giveUp(Instant Now) {
  std::uint64_t Ticket = Running->Ticket;
  GivenUp.emplace(Ticket, Running->From);
  if (GivenUp.size() > MostGivenUp)
    GivenUp.erase(GivenUp.begin());
  fetchFailed(Ticket, {ResultCode::PeerUnreachable, "no answer to a fetch"},
              Now);
}

void ConfigSync::tick(Instant Now) {
  if (Running && Now - Running->Started > timeoutOf(*Running))
    giveUp(Now);
  pursue(Now);
}

} // namespace shallot
