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

/// The order that decides which of two daemons is ahead.
enum class AheadBy : std::uint8_t {
  StoreRevision, ///< The store's order of changes.
  /// A number of the objects' writer. The object may have an older revision
  /// than those read before, so it is read with a list.
  WriterVersion,
};

/// The part of what a daemon has read that concerns one kind.
using RevisionOf = StoreRevision (*)(const ReadRevisions &);

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
  /// RelayedStore::onStoreCall() and overdue().
  void onStoreCall(std::function<void(const StoreCallResult &)> Fn) {
    Source.onStoreCall(std::move(Fn));
  }
  bool renewing() const { return Source.renewing(); }
  bool storeWasDown() const { return Source.storeWasDown(); }
  bool overdue(Duration Patience) const { return Source.overdue(Patience); }
  /// Called when the store has answered a trial, which took \p Took. Renews a
  /// call to the store that failed or hangs; \p Behind: peers have read more.
  /// Only the trial tells whether a late reply is lost or the store is slow:
  /// the time that earlier replies took may have passed. Returns whether it
  /// did.
  bool renewIfHanging(Duration Took, bool Behind) {
    bool Hanging = Behind || !Objects.storeAnswers() ||
                   Source.overdue(Took * TrialPatienceFactor);
    if (!Hanging || !Source.direct() || Source.receivedWithin(CatchUpTimeout))
      return false;
    Objects.renew();
    return true;
  }

  /// Called when the membership view has changed. A host whose link is
  /// saturated does not answer probes and becomes suspected, even by daemons
  /// that are receiving a reply from it; such a reply is not abandoned.
  void fleetChanged(const FeedTree &Tree) {
    sources().update(Tree);
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

  /// Called when another watch found that the store was restored and is now in
  /// \p Epoch. Reads from the store anew instead of waiting for the end of the
  /// pending call. Peers tell of the restore themselves.
  void onRestored(std::uint64_t Epoch) {
    if (Objects.listed() && Objects.revision().Epoch < Epoch &&
        Source.direct() && !Source.receivedWithin(CatchUpTimeout))
      Objects.relist();
  }

  /// Guards against a source that no longer receives updates without noticing.
  /// Membership messages carry the revision that their sender has read
  /// (\p Of); a daemon that is behind and receives nothing (CatchUp)
  /// switches to a peer that is ahead. Call this once every \p Period, with the
  /// revisions that this daemon has read and the newest ones that any of its
  /// peers has read.
  ///
  /// Two daemons can differ permanently when one saw a removal that the other
  /// only infers from a list. Each store revision of a peer is therefore
  /// requested only once, a version until this daemon has it.
  void switchIfBehind(const ReadRevisions &Mine, const ReadRevisions &Most,
                      RevisionOf Of, AheadBy By, Duration Period) {
    StoreRevision Read = Of(Mine);
    StoreRevision Known =
        By == AheadBy::StoreRevision ? std::max(Read, NewestRequested) : Read;
    bool Progressing = Read != std::exchange(PreviousRead, Read) ||
                       Source.receivedWithin(Period);
    if (Behind.shouldSwitch(Of(Most) > Known, Progressing, Loop.now()))
      switchToPeerAhead(Of, By, Known);
  }
  /// The same for a version, without waiting for the usual source. Requests
  /// each version once, to leave the peer time for the reply.
  void switchAtOnceIfBehind(const ReadRevisions &Mine,
                            const ReadRevisions &Most, RevisionOf Of) {
    if (Of(Most) > std::max(Of(Mine), NewestRequested) &&
        !Source.receivedWithin(CatchUpTimeout))
      switchToPeerAhead(Of, AheadBy::WriterVersion, Of(Mine));
  }

private:
  void switchToPeerAhead(RevisionOf Of, AheadBy By, StoreRevision Known) {
    std::optional<PeerAhead> Ahead = D.fleet().findPeerAhead(
        [&](const ReadRevisions &Its) { return Of(Its) > Known; });
    if (!Ahead)
      return;
    StoreRevision Theirs = Of(Ahead->Read);
    NewestRequested = std::max(Known, Theirs);
    logEvent(LogLevel::Info, "peer_has_read_more",
             {{"peer", Ahead->Peer.Id.str()},
              {"watch", Label},
              {"mine", Known.str()},
              {"revision", Objects.revision().str()},
              {"its", Theirs.str()}});
    sources().prefer(Ahead->Peer);
    if (By == AheadBy::WriterVersion)
      Objects.relist();
    else
      Objects.renew();
  }

  EventLoop &Loop;
  FrontDaemon &D;
  std::string Label;
  RelayedStore<Store> Source;
  KindWatch<RelayedStore<Store>, EventLoop> Objects;
  CatchUp Behind;
  StoreRevision PreviousRead; ///< Revision at the last comparison.
  /// Newest revision that was requested from a peer.
  StoreRevision NewestRequested;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_WATCHEDKIND_H
