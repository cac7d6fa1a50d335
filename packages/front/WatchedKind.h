//===- WatchedKind.h - Watch of one object kind -----------------*- C++ -*-===//
//
// Watches the objects of one kind, through the store or a peer, and keeps the
// state that decides when to switch from a stale source: how long peers have
// been ahead, and which of their revisions has already been requested.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_WATCHEDKIND_H
#define SHALLOTSHIFT_FRONT_WATCHEDKIND_H

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

  /// Called when the membership view has changed. A host whose link is
  /// saturated does not answer probes and becomes suspected, even by daemons
  /// that are receiving a reply from it; such a reply is not abandoned.
  void fleetChanged() {
    sources().update(D.view());
    if (Source.lost() && !Source.receivedWithin(CatchUpTimeout))
      Objects.renew();
  }

  /// Called when the watch of another kind was lost: the pending call of this
  /// watch may hang for the same reason. Renews it if no data is arriving.
  void renewIfSilent() {
    if (Objects.listed() && Objects.storeAnswers() &&
        !Source.receivedWithin(CatchUpTimeout))
      Objects.renew();
  }

  /// Guards against a source that no longer receives updates without noticing.
  /// Membership messages carry the revision that their sender has read
  /// (\p Field); a daemon that is behind and receives nothing (CatchUp)
  /// switches to a peer that is ahead. Call this once every \p Period, with the
  /// revisions that this daemon has read and the newest ones that any of its
  /// peers has read.
  ///
  /// Two daemons can differ permanently when one saw a removal that the other
  /// only infers from a list. With \p Once, each revision of a peer is
  /// therefore requested only once; without it, until this daemon has it.
  void switchIfBehind(const ReadRevisions &Mine, const ReadRevisions &Most,
                      std::uint64_t ReadRevisions::*Field, bool Once,
                      Duration Period) {
    std::uint64_t Read = Mine.*Field;
    std::uint64_t Known = Once ? std::max(Read, NewestRequested) : Read;
    bool Progressing = Read != std::exchange(PreviousRead, Read) ||
                       Source.receivedWithin(Period);
    if (Behind.shouldSwitch(Most.*Field > Known, Progressing, Loop.now()))
      switchToPeerAhead(Field, Known);
  }

private:
  /// Greater than or equal to every revision, so no peer is ahead of it.
  static constexpr std::uint64_t NeverAhead = UINT64_MAX;

  void switchToPeerAhead(std::uint64_t ReadRevisions::*Field,
                         std::uint64_t Known) {
    ReadRevisions Wanted{NeverAhead, NeverAhead, NeverAhead};
    Wanted.*Field = Known;
    std::optional<PeerAhead> Ahead = D.fleet().findPeerAhead(Wanted);
    if (!Ahead)
      return;
    std::uint64_t Theirs = Ahead->Read.*Field;
    NewestRequested = std::max(Known, Theirs);
    logEvent(LogLevel::Info, "peer_has_read_more",
             {{"peer", Ahead->Peer.Id.str()},
              {"watch", Label},
              {"mine", std::to_string(Known)},
              {"revision", std::to_string(Objects.revision())},
              {"its", std::to_string(Theirs)}});
    sources().prefer(Ahead->Peer);
    Objects.renew();
  }

  EventLoop &Loop;
  FrontDaemon &D;
  std::string Label;
  RelayedStore<Store> Source;
  KindWatch<RelayedStore<Store>, EventLoop> Objects;
  CatchUp Behind;
  std::uint64_t PreviousRead = 0; ///< Revision at the last comparison.
  /// Newest revision that was requested from a peer.
  std::uint64_t NewestRequested = 0;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_WATCHEDKIND_H
