//===- FollowedKind.h - Watch of one object kind ----------------*- C++ -*-===//
//
// A watch of one kind, through the store or a peer, and the state that is
// needed to switch from a stale source: how long peers have been ahead, and
// which of their revisions was requested already.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_FOLLOWEDKIND_H
#define SHALLOTSHIFT_FRONT_FOLLOWEDKIND_H

#include "front/CatchUp.h"
#include "front/FrontDaemon.h"
#include "front/RelayedStore.h"
#include "shallotshift/store.h"

#include <string>

namespace shallot {

template <CallableStore Store> class WatchedKind {
public:
  /// \p Label is the kind's name in logs.
  WatchedKind(EventLoop &Loop, HttpClient &Http, Store &S, FrontDaemon &D,
              std::string Kind, std::string Label, KindWatchOptions O,
              KindWatchHooks H)
      : Loop(Loop), D(D), Label(std::move(Label)),
        Source(Loop, Http, S,
               FeedSources(D.settings().Host, D.settings().Here.Reg),
               D.random(), D.metrics()),
        Objects(Source, Loop, std::move(Kind), O, D.random(), std::move(H)) {}

  KindWatch<RelayedStore<Store>, EventLoop> &watch() { return Objects; }
  const KindWatch<RelayedStore<Store>, EventLoop> &watch() const {
    return Objects;
  }
  FeedSources &sources() { return Source.sources(); }

  /// The fleet has changed. A host with a full link answers no probes and is
  /// suspected, also by daemons that are receiving an answer from it.
  void fleetChanged() {
    sources().update(D.view());
    if (Source.lost() && !Source.receivedWithin(CatchUpTimeout))
      Objects.renew();
  }

  /// A watch of another kind was lost: this one's call may hang for the same
  /// reason.
  void doubt() {
    if (Objects.listed() && Objects.storeAnswers() &&
        !Source.receivedWithin(CatchUpTimeout))
      Objects.renew();
  }

  /// The failure: this daemon's source no longer receives updates and has not
  /// noticed. Membership messages carry the revision that their sender has read
  /// (\p Field); a daemon that is behind and receives nothing (CatchUp)
  /// switches to a peer that is ahead. To be called every \p Period, with the
  /// revisions that this daemon and the furthest of its peers have read.
  ///
  /// Two daemons may differ for good when one saw a removal that the other only
  /// finds missing in a list: with \p Once a peer's revision is requested once,
  /// and else until this daemon has it.
  void compare(const ReadState &Mine, const ReadState &Most,
               std::uint64_t ReadState::*Field, bool Once, Duration Period) {
    std::uint64_t Read = Mine.*Field;
    std::uint64_t Known = Once ? std::max(Read, Followed) : Read;
    bool Progressing =
        Read != std::exchange(Before, Read) || Source.receivedWithin(Period);
    if (Behind.shouldSwitch(Most.*Field > Known, Progressing, Loop.now()))
      askAhead(Field, Known);
  }

private:
  /// No peer is ahead of this.
  static constexpr std::uint64_t Any = UINT64_MAX;

  void askAhead(std::uint64_t ReadState::*Field, std::uint64_t Known) {
    ReadState Wanted{Any, Any, Any};
    Wanted.*Field = Known;
    std::optional<PeerAhead> Ahead = D.fleet().ahead(Wanted);
    if (!Ahead)
      return;
    std::uint64_t Its = Ahead->Read.*Field;
    Followed = std::max(Known, Its);
    logEvent(LogLevel::Info, "peer_has_read_more",
             {{"peer", Ahead->Peer.Id.str()},
              {"watch", Label},
              {"mine", std::to_string(Known)},
              {"its", std::to_string(Its)}});
    sources().prefer(Ahead->Peer);
    Objects.renew();
  }

  EventLoop &Loop;
  FrontDaemon &D;
  std::string Label;
  RelayedStore<Store> Source;
  KindWatch<RelayedStore<Store>, EventLoop> Objects;
  CatchUp Behind;
  std::uint64_t Before = 0; ///< Read at the last comparison.
  std::uint64_t Followed =
      0; ///< The newest revision of a peer that was requested.
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_FOLLOWEDKIND_H
