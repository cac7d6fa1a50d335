//===- ConfigSync.h - Which configuration is in force here ------*- C++ -*-===//
//
// The state machine that keeps one daemon's configuration up to date. It does
// no I/O: inputs go in with the time, commands come out of take(), and the
// driver carries them out and reports back.
//
//   heard a generation (gossip, watch) -> fetch what is missing, from a peer
//   that has it or from the platform -> check every blob against its hash ->
//   check the whole -> install -> tell a few peers at once.
//
// What holds whatever is lost, late or repeated:
//  - A generation lower than the one in force is never installed, so a lagging
//    platform reply, a stale peer or a healed split cannot revert a change.
//  - What fails its checks is never installed and does not stop later ones.
//  - One fetch at a time; a failed one is tried again elsewhere, backed off.
//  - Only watchers (WatcherChoice.h) use the platform, unless peers keep
//    failing: then anyone may, backed off further.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FLEET_CONFIGSYNC_H
#define SHALLOTSHIFT_FLEET_CONFIGSYNC_H

#include "shallotshift/base.h"
#include "shallotshift/model.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace shallot {

/// Where a configuration, or word of it, came from.
struct ConfigSource {
  enum class Kind : std::uint8_t { Peer, Platform, Operator };
  Kind From = Kind::Platform;
  DaemonId Peer; ///< Only for Kind::Peer.

  /// "platform", "operator" or the peer's "host@incarnation".
  std::string str() const;

  friend auto operator<=>(const ConfigSource &, const ConfigSource &) = default;
};

/// A head with those blobs that the asker lacked, as raw bytes. The answer to
/// a fetch may leave out blobs for its size; the asker asks again for the rest.
struct ConfigParts {
  std::string HeadJson;
  std::map<std::string, std::string> Blobs; ///< Content hash to JSON.

  friend bool operator==(const ConfigParts &, const ConfigParts &) = default;
};

/// What one answer to a peer carries at most, but for its last blob. A whole
/// configuration of 9,900 upstreams is about 2 MB: on a link of 14 Mbit/s that
/// is 1.2 s, which one other transfer makes longer than an answer is waited
/// for. A piece takes 0.15 s there, what has come is kept, and relayed queries
/// on the same connection are not held up for long.
inline constexpr std::size_t MaxConfigReplyBytes = 256 << 10;
/// Most hashes that one fetch may name as held.
inline constexpr std::size_t MaxHaveHashes = 8192;

/// Request from a peer its head and the blobs that are not in Have. Answer with
/// fetched() or fetchFailed() and the same Ticket.
struct FetchFromPeer {
  std::uint64_t Ticket = 0;
  DaemonId From;
  std::vector<std::string> Have; ///< Sorted.
  std::uint64_t MinGeneration = 0;

  friend bool operator==(const FetchFromPeer &,
                         const FetchFromPeer &) = default;
};

/// Read the head (or take KnownHead when it is not empty) and those blobs that
/// it names and Have lacks. Answer as above; platformEmpty() on 404.
struct FetchFromPlatform {
  std::uint64_t Ticket = 0;
  std::vector<std::string> Have; ///< Sorted.
  std::string KnownHead;

  friend bool operator==(const FetchFromPlatform &,
                         const FetchFromPlatform &) = default;
};

/// Long-poll the head object from now on; each new head goes to watched().
struct StartWatch {
  friend bool operator==(const StartWatch &, const StartWatch &) = default;
};
struct StopWatch {
  friend bool operator==(const StopWatch &, const StopWatch &) = default;
};

/// Send gossip with this generation to these peers now.
struct AnnounceTo {
  std::uint64_t Generation = 0;
  std::vector<DaemonId> Peers;

  friend bool operator==(const AnnounceTo &, const AnnounceTo &) = default;
};

/// This configuration is in force from now on.
struct InstalledConfig {
  ConfigPtr Installed;
  ConfigSource Source;

  friend bool operator==(const InstalledConfig &,
                         const InstalledConfig &) = default;
};

/// Something offered was not installed; to be logged.
struct RejectedConfig {
  std::uint64_t Generation = 0; ///< 0 when the head could not be read.
  ConfigSource Source;
  Error Reason;

  friend bool operator==(const RejectedConfig &,
                         const RejectedConfig &) = default;
};

using ConfigCommand =
    std::variant<FetchFromPeer, FetchFromPlatform, StartWatch, StopWatch,
                 AnnounceTo, InstalledConfig, RejectedConfig>;

/// Times and counts of ConfigSync, with the values that the daemon uses.
struct ConfigSyncRules {
  /// Wait after the first failed fetch; doubles with each further one.
  Duration FirstBackoff = Millis(50);
  /// A change must be everywhere in 12 s, so no wait between tries at peers
  /// may be a large part of that.
  Duration MaxBackoff = Seconds(2);
  /// For the platform, which has outages and counts calls.
  Duration MaxPlatformBackoff = Seconds(15);
  /// A fetch from a peer that was not answered at all by then has failed. A
  /// piece of MaxConfigReplyBytes takes a fraction of it; a change must reach
  /// everyone in 12 s even when a few in a row are lost.
  Duration PeerFetchTimeout = Millis(1500);
  /// The same for the platform, where every blob is a call of its own.
  Duration PlatformFetchTimeout = Seconds(10);
  /// Between a watcher's reads of the head, each drawn from half to one and a
  /// half times this. Finds what a silent watch missed.
  Duration AntiEntropy = Seconds(60);
  /// Failed fetches in a row after which a daemon that is no watcher may ask
  /// the platform.
  unsigned PlatformAfterFailures = 6;
  /// Peers told at once after an install: in the own zone, and anywhere.
  unsigned NearFanout = 3;
  unsigned FarFanout = 2;
};

/// What "shallotctl explain" tells of the configuration.
struct ConfigStatus {
  std::uint64_t Generation = 0; ///< In force; 0: none.
  Instant Since{};              ///< In force here since.
  ConfigSource Source;          ///< Where it came from.
  std::uint64_t HighestHeard = 0;
  ConfigSource HeardFrom;
  unsigned ConfirmedBy = 0; ///< Peers that have the same generation.
  bool ConfirmedByPlatform = false;
  bool Watching = false;
  std::uint64_t Installs = 0;
  std::uint64_t Rejections = 0;
  std::uint64_t FailedFetches = 0;
  Error LastRejection{ResultCode::Ok, {}};

  friend bool operator==(const ConfigStatus &, const ConfigStatus &) = default;
};

class ConfigSync {
public:
  /// \p Rng must outlive this.
  ConfigSync(DaemonId Self, AvailabilityZone Zone, Random &Rng,
             ConfigSyncRules Rules = {});

  // Inputs.

  /// The members seen now; also starts the first fetch.
  void members(const FleetView &View, Instant Now);
  /// \p From said that it has \p Generation in force (0: none).
  void announced(const DaemonId &From, std::uint64_t Generation, Instant Now);
  /// The platform's watch returned this head.
  void watched(const std::string &HeadJson, Instant Now);
  void fetched(std::uint64_t Ticket, const ConfigParts &Parts, Instant Now);
  void fetchFailed(std::uint64_t Ticket, const Error &Why, Instant Now);
  /// The platform answered that there is no head.
  void platformEmpty(std::uint64_t Ticket, Instant Now);
  /// A change that this daemon itself has just written to the platform.
  void accepted(const ConfigParts &Parts, Instant Now);
  /// Time passes; call at least ten times a second.
  void tick(Instant Now);
  /// This daemon was paused: what it knows may be old. Confirmations are
  /// forgotten and a peer is asked.
  void revalidate(Instant Now);

  /// What to do now, in order; empties the list.
  std::vector<ConfigCommand> take();

  // What is in force.

  const ConfigPtr &config() const { return InForce; }
  std::uint64_t generation() const {
    return InForce ? InForce->generation() : 0;
  }
  /// How many peers and the platform (as one) are known to have exactly the
  /// generation in force while none is known to have a higher one. Readiness
  /// after a start or a pause asks for at least one.
  unsigned confirmedBy() const;
  ConfigStatus status() const;

  /// The answer to a peer's fetch. Fails with NoConfiguration, or with
  /// StaleGeneration when ours is lower than \p MinGeneration.
  Result<ConfigParts> serve(const std::vector<std::string> &Have,
                            std::uint64_t MinGeneration) const;

private:
  using Blob = std::shared_ptr<const std::string>;
  using BlobMap = std::map<std::string, Blob>; ///< Content hash to bytes.

  struct Fetch {
    std::uint64_t Ticket = 0;
    ConfigSource From;
    Instant Started{};
  };

  std::uint64_t highest() const;
  bool behind() const { return highest() > generation(); }
  bool wantsAny() const { return !InForce || MustAsk || behind(); }
  void heard(const ConfigSource &From, std::uint64_t Generation, Instant Now);
  void agree(const ConfigSource &From);
  void correctClaim(const ConfigSource &From, std::uint64_t Generation);
  void dropGoneClaims();

  void pursue(Instant Now);
  bool tryPlatform(Instant Now);
  bool tryPeer(Instant Now);
  std::uint64_t start(ConfigSource From, Instant Now);
  const Member *choosePeer();
  std::vector<const Member *> peersToAsk() const;
  const Member *findMember(const DaemonId &Id) const;
  static bool reachable(const Member &M);
  Duration timeoutOf(const Fetch &F) const;
  void giveUp(Instant Now);
  void fetchedLate(std::uint64_t Ticket, const ConfigParts &Parts, Instant Now);
  void failed(const ConfigSource &From, Instant Now);
  void succeeded();

  void consider(const ConfigParts &Parts, const ConfigSource &From,
                Instant Now);
  void considerSame(const ConfigParts &Parts, const ConfigSource &From,
                    Instant Now);
  void considerNewer(const Head &H, const ConfigParts &Parts,
                     const ConfigSource &From, Instant Now);
  std::size_t absorb(const Head &H, const ConfigParts &Parts,
                     const ConfigSource &From);
  BlobMap gather(const Head &H) const;
  void install(ConfigPtr C, std::string Json, BlobMap All,
               const ConfigSource &From, Instant Now);
  void invalid(const Head &H, const std::string &Json, const ConfigSource &From,
               Error Why);
  void reject(std::uint64_t Generation, const ConfigSource &From, Error Why);
  void announce();
  std::vector<std::string> have() const;
  Duration backoff(unsigned Tries, Duration Cap);

  DaemonId Self;
  AvailabilityZone Zone;
  Random &Rng;
  ConfigSyncRules Rules;
  std::vector<ConfigCommand> Out;

  ConfigPtr InForce;
  std::string HeadJson; ///< Of InForce, as it came.
  BlobMap Held;         ///< That InForce names.
  BlobMap Pending;      ///< Fetched for a newer head that is not whole yet.
  ConfigStatus Stat;

  std::vector<Member> Members; ///< Sorted by Id.
  /// Peers that said they have a higher generation than ours, and which.
  std::map<DaemonId, std::uint64_t> Ahead;
  std::set<DaemonId> Agreeing; ///< Peers that have ours.
  bool PlatformAgrees = false;
  std::uint64_t PlatformClaim = 0;
  std::string PlatformHead; ///< From the watch; its blobs are not here yet.
  /// The highest claim of peers that are gone, and how often the platform has
  /// since said that it knows of nothing so high.
  std::uint64_t OrphanClaim = 0;
  unsigned OrphanDenials = 0;
  /// A generation whose head is whole and fails its checks.
  std::uint64_t InvalidGeneration = 0;
  std::string SuspectHead; ///< Hash of the last head that failed its checks.

  std::optional<Fetch> Running;
  /// Fetches that took too long, by ticket: their answers may yet come.
  std::map<std::uint64_t, ConfigSource> GivenUp;
  std::uint64_t LastTicket = 0;
  std::set<DaemonId> Tried; ///< Peers that failed since the last success.
  unsigned Failures = 0;
  unsigned PlatformFailures = 0;
  Instant NextTry{};
  Instant NextPlatformTry{};
  Instant NextAntiEntropy{};
  bool MustAsk = false; ///< After a pause: only a fresh answer confirms.
};

} // namespace shallot

#endif // SHALLOTSHIFT_FLEET_CONFIGSYNC_H
