//===- ConfigLink.h - ConfigSync joined to platform and peers ---*- C++ -*-===//
//
// Carries out what ConfigSync commands: fetches from peers and from the
// platform, the watch of the head, announcements. It decides nothing.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_DAEMON_CONFIGLINK_H
#define SHALLOTSHIFT_DAEMON_CONFIGLINK_H

#include "daemon/EventLog.h"
#include "daemon/FleetState.h"
#include "shallotshift/fleet.h"
#include "shallotshift/net.h"
#include "shallotshift/peer.h"
#include "shallotshift/store.h"

#include <functional>
#include <memory>

namespace shallot {

class ConfigLink {
public:
  struct Hooks {
    /// A configuration is in force from now on.
    std::function<void(const InstalledConfig &)> Installed;
    /// Tell these peers of the generation now.
    std::function<void(const std::vector<DaemonId> &)> Announce;
  };

  ConfigLink(EventLoop &Loop, FleetState &Fleet, StoreClient &Platform,
             EventLog &Events, Random &Rng, Hooks H);

  void connect(PeerNode &P) { Peers = &P; }

  ConfigSync &sync() { return Sync; }
  ConfigStatus status() const { return Sync.status(); }
  /// Carries out what the machine wants; call it after every input to sync().
  void pump();
  /// A peer asks for our configuration.
  void serve(const ConfigQuery &Q, const PeerResponder<ConfigParts> &Answer);
  /// The platform answered something since the start.
  bool platformAnswered() const { return PlatformAnswered; }
  bool watching() const { return Watching; }

private:
  struct PlatformFetch;

  void act(const FetchFromPeer &C);
  void act(const FetchFromPlatform &C);
  void act(const StartWatch &C);
  void act(const StopWatch &C);
  void act(const AnnounceTo &C);
  void act(const InstalledConfig &C);
  void act(const RejectedConfig &C);
  void readBlobs(const std::shared_ptr<PlatformFetch> &F);
  void readMore(const std::shared_ptr<PlatformFetch> &F);
  void onBlob(const std::shared_ptr<PlatformFetch> &F, const std::string &Hash,
              Attempt<StoredObject> Blob);
  void watchOnce();
  void onWatch(std::uint64_t Round,
               Attempt<std::optional<StoredObject>> Answer);

  EventLoop &Loop;
  FleetState &Fleet;
  StoreClient &Platform;
  EventLog &Events;
  Random &Rng;
  Hooks H;
  PeerNode *Peers = nullptr;
  ConfigSync Sync;
  Backoff WatchBackoff;
  bool Watching = false;
  bool PlatformAnswered = false;
  std::uint64_t WatchRound = 0; ///< Answers to older watches are dropped.
  std::uint64_t HeadVersion = 0;
};

} // namespace shallot

#endif // SHALLOTSHIFT_DAEMON_CONFIGLINK_H
