//===- ConfigSync.h - Distribution of the configuration ---------*- C++ -*-===//
//
// A state machine that keeps the configuration of one daemon up to date. It
// does no I/O: the driver passes inputs with the current time, executes the
// commands from take() and reports their results.
//
//   A generation is announced (gossip, watch) -> fetch the missing blobs from a
//   peer that has them or from the platform -> check every blob against its
//   hash -> validate the whole -> install -> announce it to a few peers.
//
// Invariants under loss, delay and duplication:
//  - A generation lower than the one in force is never installed, so a lagging
//    platform reply, a stale peer or a healed partition cannot revert a change.
//  - An invalid configuration is never installed and does not block later ones.
//  - Only one fetch runs at a time. After a failure another source is tried,
//    with backoff.
//  - Only watchers (WatcherChoice.h) use the platform. If fetches from peers
//    keep failing, any daemon may, with a longer backoff.
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

/// The source of a configuration or of an announcement.
struct ConfigSource {
  enum class Kind : std::uint8_t { Peer, Platform, Operator };
  Kind From = Kind::Platform;
  DaemonId Peer; ///< Only for Kind::Peer.

  /// "platform", "operator" or the peer's "host@incarnation".
  std::string str() const;

  friend auto operator<=>(const ConfigSource &, const ConfigSource &) = default;
};

/// A head and those of its blobs that the requester lacked, as raw bytes. The
/// reply to a fetch may omit blobs to limit its size; the requester asks again
/// for the rest.
struct ConfigParts {
  std::string HeadJson;
  std::map<std::string, std::string> Blobs; ///< Content hash to JSON.

  friend bool operator==(const ConfigParts &, const ConfigParts &) = default;
};

/// Size limit of one reply to a peer; the last blob may exceed it. A whole
/// configuration of 9,900 upstreams is about 2 MB. On a link of 14 Mbit/s that
/// takes 1.2 s, and one concurrent transfer would push it past the fetch
/// timeout. One reply takes 0.15 s there, received blobs are kept, and relayed
/// queries on the same connection are not delayed for long.
inline constexpr std::size_t MaxConfigReplyBytes = 256 << 10;
/// The most hashes that one fetch may list in Have.
inline constexpr std::size_t MaxHaveHashes = 8192;

/// Request from a peer its head and the blobs that are not in Have. Report the
/// result by fetched() or fetchFailed() with the same Ticket.
struct FetchFromPeer {
  std::uint64_t Ticket = 0;
  DaemonId From;
  std::vector<std::string> Have; ///< Sorted.
  std::uint64_t MinGeneration = 0;

  friend bool operator==(const FetchFromPeer &,
                         const FetchFromPeer &) = default;
};

/// Read the head (or use KnownHead if it is not empty) and the blobs that it
/// names and Have lacks. Report the result as above, or by platformEmpty() on
/// 404.
struct FetchFromPlatform {
  std::uint64_t Ticket = 0;
  std::vector<std::string> Have; ///< Sorted.
  std::string KnownHead;

  friend bool operator==(const FetchFromPlatform &,
                         const FetchFromPlatform &) = default;
};

/// Start to long-poll the head object; pass each new head to watched().
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

/// This configuration is now in force.
struct InstalledConfig {
  ConfigPtr Installed;
  ConfigSource Source;

  friend bool operator==(const InstalledConfig &,
                         const InstalledConfig &) = default;
};

/// A configuration was rejected; log it.
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

/// Options of ConfigSync; the defaults are those of the daemon.
struct ConfigSyncOptions {
  /// Wait after the first failed fetch; doubles with each further one.
  Duration FirstBackoff = Millis(50);
  /// Limits the wait between fetches from peers. A change must reach every
  /// daemon within 12 s, so one wait may only be a small part of that.
  Duration MaxBackoff = Seconds(2);
  /// The same for the platform, which has outages and limits the call rate.
  Duration MaxPlatformBackoff = Seconds(15);
  /// A fetch from a peer that takes longer has failed. A reply of
  /// MaxConfigReplyBytes takes a fraction of it, and a change must reach every
  /// daemon within 12 s even when several fetches in a row are lost.
  Duration PeerFetchTimeout = Millis(1500);
  /// The same for the platform, where every blob is a separate call.
  Duration PlatformFetchTimeout = Seconds(10);
  /// Mean time between a watcher's reads of the head, with a random factor of
  /// 0.5 to 1.5. Finds changes that a silent watch missed.
  Duration AntiEntropy = Seconds(60);
  /// Consecutive failed fetches after which a daemon that is not a watcher may
  /// use the platform.
  unsigned PlatformAfterFailures = 6;
  /// Peers to announce an installed configuration to, by zone.
  unsigned SameZoneFanout = 3;
  unsigned OtherZoneFanout = 2;
};

/// The status of the configuration as shown by "shallotctl explain".
struct ConfigStatus {
  std::uint64_t Generation = 0; ///< The generation in force; 0 if none.
  Instant Since{};              ///< When it was installed.
  ConfigSource Source;          ///< Where it came from.
  std::uint64_t HighestHeard = 0;
  ConfigSource HeardFrom;
  unsigned ConfirmedBy = 0; ///< ConfigSync::confirmedBy().
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
  /// \p Rng must outlive this object.
  ConfigSync(DaemonId Self, AvailabilityZone Zone, Random &Rng,
             ConfigSyncOptions Options = {});

  // Inputs.

  /// Updates the view of the fleet; also starts the first fetch.
  void members(const FleetView &View, Instant Now);
  /// \p From announced that \p Generation is in force there (0 if none).
  void announced(const DaemonId &From, std::uint64_t Generation, Instant Now);
  /// The platform's watch returned this head.
  void watched(const std::string &HeadJson, Instant Now);
  void fetched(std::uint64_t Ticket, const ConfigParts &Parts, Instant Now);
  void fetchFailed(std::uint64_t Ticket, const Error &Why, Instant Now);
  /// The platform answered that there is no head.
  void platformEmpty(std::uint64_t Ticket, Instant Now);
  /// This daemon itself has written this change to the platform.
  void accepted(const ConfigParts &Parts, Instant Now);
  /// Handles timeouts and retries; call at least ten times a second.
  void tick(Instant Now);
  /// To be called after a pause: drops all confirmations, which may be out of
  /// date, and asks a peer.
  void revalidate(Instant Now);

  /// Returns the commands to execute, in order, and clears the list.
  std::vector<ConfigCommand> take();

  // Accessors.

  const ConfigPtr &config() const { return Current; }
  std::uint64_t generation() const {
    return Current ? Current->generation() : 0;
  }
  /// Number of sources (peers, and the platform as one) known to have exactly
  /// the generation in force; 0 while any is known to have a higher one.
  /// Readiness after a start or a pause requires at least one.
  unsigned confirmedBy() const;
  ConfigStatus status() const;

  /// The reply to a peer's fetch. Fails with NoConfiguration, or with
  /// StaleGeneration if the generation in force is below \p MinGeneration.
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
  bool needsFetch() const { return !Current || MustRevalidate || behind(); }
  void noteGeneration(const ConfigSource &From, std::uint64_t Generation,
                      Instant Now);
  void addConfirmation(const ConfigSource &From);
  void updateClaim(const ConfigSource &From, std::uint64_t Generation);
  void dropDepartedPeers();

  void fetchIfNeeded(Instant Now);
  bool tryPlatform(Instant Now);
  bool tryPeer(Instant Now);
  std::uint64_t start(ConfigSource From, Instant Now);
  const Member *choosePeer();
  std::vector<const Member *> peersToAsk() const;
  const Member *findMember(const DaemonId &Id) const;
  static bool reachable(const Member &M);
  Duration timeoutOf(const Fetch &F) const;
  void onFetchTimeout(Instant Now);
  void fetchedLate(std::uint64_t Ticket, const ConfigParts &Parts, Instant Now);
  void failed(const ConfigSource &From, Instant Now);
  void succeeded();

  void evaluate(const ConfigParts &Parts, const ConfigSource &From,
                Instant Now);
  void evaluateSame(const ConfigParts &Parts, const ConfigSource &From,
                    Instant Now);
  void evaluateNewer(const Head &H, const ConfigParts &Parts,
                     const ConfigSource &From, Instant Now);
  std::size_t storeBlobs(const Head &H, const ConfigParts &Parts,
                         const ConfigSource &From);
  BlobMap collectBlobs(const Head &H) const;
  void install(ConfigPtr C, std::string Json, BlobMap All,
               const ConfigSource &From, Instant Now);
  void rejectInvalid(const Head &H, const std::string &Json,
                     const ConfigSource &From, Error Why);
  void reject(std::uint64_t Generation, const ConfigSource &From, Error Why);
  void announce();
  std::vector<std::string> have() const;
  Duration backoff(unsigned Tries, Duration Cap);

  DaemonId Self;
  AvailabilityZone Zone;
  Random &Rng;
  ConfigSyncOptions Options;
  std::vector<ConfigCommand> Out;

  ConfigPtr Current;
  std::string HeadJson; ///< Raw head of Current.
  BlobMap ActiveBlobs;  ///< Blobs of Current.
  BlobMap PendingBlobs; ///< Blobs of a newer head that is still incomplete.
  ConfigStatus Status;

  std::vector<Member> Members; ///< Sorted by Id.
  /// Peers that announced a higher generation than ours, with that generation.
  std::map<DaemonId, std::uint64_t> PeersAhead;
  std::set<DaemonId> Confirming; ///< Peers that have our generation.
  bool PlatformConfirms = false;
  std::uint64_t PlatformClaim = 0;
  std::string PlatformHead; ///< From the watch; its blobs are still missing.
  /// The highest generation announced by peers that have departed, and how many
  /// replies of the platform have since reported a lower one.
  std::uint64_t DepartedClaim = 0;
  unsigned DepartedDenials = 0;
  /// A generation that was fetched completely and failed validation.
  std::uint64_t InvalidGeneration = 0;
  std::string InvalidHeadHash; ///< Of the last head that failed validation.

  std::optional<Fetch> ActiveFetch;
  /// Fetches that timed out, by ticket. Late replies are still accepted.
  std::map<std::uint64_t, ConfigSource> TimedOut;
  std::uint64_t LastTicket = 0;
  std::set<DaemonId> FailedPeers; ///< Failed since the last success.
  unsigned Failures = 0;
  unsigned PlatformFailures = 0;
  Instant NextTry{};
  Instant NextPlatformTry{};
  Instant NextAntiEntropy{};
  bool MustRevalidate = false; ///< After a pause: only a fresh answer confirms.
};

} // namespace shallot

#endif // SHALLOTSHIFT_FLEET_CONFIGSYNC_H
