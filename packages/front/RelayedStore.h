//===- RelayedStore.h - The store, or a peer that watches it ----*- C++ -*-===//
//
// Proxy between the KindWatch of one kind and the store: each call goes to the
// source that FeedSources selects at that moment. All sources use the revisions
// of the store, so nothing is lost when the source changes. A reply of an
// earlier epoch than was read before fails: it is late, or its source has not
// noticed that the store was restored.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_RELAYEDSTORE_H
#define SHALLOTSHIFT_FRONT_RELAYEDSTORE_H

#include "front/FeedReport.h"
#include "front/FeedSources.h"
#include "front/FeedWire.h"
#include "front/StoreTrials.h"
#include "shallotshift/telemetry.h"

#include <fmt/format.h>
#include <optional>

namespace shallot {

/// How long a peer may hold a request. A peer replies to changes and to the
/// loss of the store immediately, and membership reports the loss of the peer;
/// this bounds the cases that all of these miss.
inline constexpr Duration PeerWait = Seconds(4);
/// The same for a daemon that watches the store for its region. It uses a peer
/// only while the store does not answer or when the peer is ahead, and only
/// briefly: two such daemons waiting for each other would receive nothing.
inline constexpr Duration WatcherPeerWait = Millis(400);
inline constexpr Duration PeerTimeoutMargin = Millis(700);
/// A reply that has begun and from which nothing more arrives for this long is
/// considered lost. TCP retransmits a lost packet after 0.2 and 0.4 s.
inline constexpr Duration PeerStallTimeout = Millis(1000);
/// How long a peer that is starting may hold a list request: the time in which
/// it reads a large list itself, through one more peer. If it fails meanwhile,
/// membership reports it.
inline constexpr Duration StartingPeerListWait = Seconds(2);
/// The same for a peer that serves callers and can reply at once; one that does
/// not may be paused.
inline constexpr Duration PeerListWait = Millis(300);
/// Interval at which a daemon without a source looks for one again.
inline constexpr Duration NoSourceRetry = Millis(100);

/// Result of a call to the store itself.
struct StoreCallResult {
  bool Answered = false;
  Instant Began;
  /// Time that the store took beyond the wait of the call; nothing if it had
  /// changes to reply earlier.
  std::optional<Duration> Took;
};

/// A store whose calls can be inspected and cancelled while they run.
template <typename S>
concept CallableStore = KindStore<S> &&
    requires(S &Store, std::string Text, StoreRevision Revision, Duration Wait,
             StoreCallback<KindPage> OnPage,
             StoreCallback<KindChanges> OnChanges, HttpClient::TransferId Id) {
  { Store.list(Text, Text, OnPage) } -> std::same_as<HttpClient::TransferId>;
  {
    Store.watchKind(Text, Revision, Wait, OnChanges)
    } -> std::same_as<HttpClient::TransferId>;
  { Store.progress(Id) } -> std::same_as<std::optional<TransferProgress>>;
  Store.cancel(Id);
  Store.forgetConnections();
};

/// Runs one call at a time. A new call cancels the one before, so that the
/// remainder of the old reply takes no bandwidth. The call after one that got
/// no reply opens a connection: what silenced that one may have silenced all
/// kept connections, also those to other sources.
template <CallableStore Store> class RelayedStore {
public:
  RelayedStore(EventLoop &Loop, HttpClient &Http, Store &S, FeedSources Sources,
               Random &Rng, Metrics &Meter)
      : Loop(Loop), Http(Http), S(S), Sources(std::move(Sources)), Rng(Rng),
        Meter(Meter) {}

  FeedSources &sources() { return Sources; }
  const FeedSources &sources() const { return Sources; }
  /// \p Fn is called within the reply to each call to the store itself.
  void onStoreCall(std::function<void(const StoreCallResult &)> Fn) {
    OnStoreCall = std::move(Fn);
  }

  void list(const std::string &Kind, const std::string &After,
            StoreCallback<KindPage> OnDone) {
    cancelCurrentCall(Kind);
    std::optional<FeedSource> Found = chooseSource(Kind, false);
    if (!Found) {
      Retry = Loop.after(NoSourceRetry,
                         [this, Kind, After, OnDone = std::move(OnDone)] {
                           list(Kind, After, OnDone);
                         });
      return;
    }
    FeedSource Source = *Found;
    auto Done = [this, Kind, Source,
                 OnDone = std::move(OnDone)](Attempt<KindPage> P) {
      recordResult(Source, P);
      Listed = Listed || (P && !P->More);
      OnDone(std::move(P));
    };
    beginCall(std::nullopt);
    if (Source.direct()) {
      Call = S.list(Kind, After, std::move(Done));
      return;
    }
    FeedRequest Q;
    Q.Kind = Kind;
    Q.After = After;
    bool Starting = Source.Peer->State == MemberState::Starting;
    Q.Wait = Starting ? StartingPeerListWait : PeerListWait;
    callPeer(
        Source, Q, Q.Wait + PeerTimeoutMargin,
        [Done = std::move(Done)](const HttpReply &R) { Done(readPage(R)); });
  }

  void watchKind(const std::string &Kind, StoreRevision Revision, Duration Wait,
                 StoreCallback<KindChanges> OnDone) {
    cancelCurrentCall(Kind);
    bool WasDirect = direct();
    FeedSource Source = *chooseSource(Kind, true); // Listed: there is one.
    IsFirstCall = Source.direct() && !WasDirect && Sources.tookOver();
    if (IsFirstCall)
      Wait = Duration(0);
    beginCall(Wait);
    auto Done = [this, Source,
                 OnDone = std::move(OnDone)](Attempt<KindChanges> C) {
      bool Fresh = recordResult(Source, C);
      // A reply without changes from a peer with stale data proves nothing.
      if (C && !Fresh && C->Changes.empty())
        OnDone(Error{ResultCode::PeerUnreachable, "peer data is stale"});
      else
        OnDone(std::move(C));
    };
    if (Source.direct()) {
      Call = S.watchKind(Kind, Revision, Wait, std::move(Done));
      return;
    }
    FeedRequest Q;
    Q.Kind = Kind;
    Q.Since = Revision.Number;
    if (Revision.Epoch != 0)
      Q.Epoch = Revision.Epoch;
    Q.Wait = Sources.watchesStore() ? WatcherPeerWait : PeerWait;
    Q.Relays = Sources.relays();
    callPeer(
        Source, Q, Q.Wait + PeerTimeoutMargin,
        [Done = std::move(Done)](const HttpReply &R) { Done(readChanges(R)); });
  }

  /// True when the source of the last call may be unavailable.
  bool lost() const { return Last && Sources.lost(*Last); }
  /// Whether the store itself failed before the last fresh reply: it did not
  /// answer this daemon, or two peers in turn had no fresh data either. One
  /// peer without may be the only one that lost it.
  bool storeWasDown() const { return WasDown; }
  /// True when the last call was made to the store itself.
  bool direct() const { return Last && Last->direct(); }
  /// True while the first reply of the store to a daemon that took over its
  /// region is expected.
  bool renewing() const {
    return IsFirstCall && progress() && Loop.now() < CallBegan + TrialPatience;
  }
  /// True when the open call is to the store itself and nothing has arrived
  /// \p Patience after the store should have replied.
  bool overdue(Duration Patience) const {
    std::optional<TransferProgress> P = progress();
    return P && direct() && P->Bytes == 0 &&
           P->Age > CallWait.value_or(Duration(0)) + Patience;
  }
  /// True when part of a reply arrived within the last \p D. Such a call is not
  /// cancelled for another one: the transfer would start over.
  bool receivedWithin(Duration D) const {
    std::optional<TransferProgress> P = progress();
    return P && P->Bytes != 0 && P->Silent <= D;
  }

private:
  std::optional<FeedSource> chooseSource(const std::string &Kind,
                                         bool WasListed) {
    std::optional<FeedSource> Source = WasListed || Listed
                                           ? Sources.next(Loop.now())
                                           : Sources.first(Loop.now());
    if (Source && Last != Source)
      logEvent(LogLevel::Info, "feed_source",
               {{"kind", Kind}, {"from", sourceName(*Source)}});
    if (Source)
      Last = Source;
    if (Source && std::exchange(Unanswered, false))
      forgetConnections(*Source);
    return Source;
  }

  void forgetConnections(const FeedSource &Source) {
    if (Source.direct())
      S.forgetConnections();
    else
      Http.forget(Source.Peer->Rpc);
  }

  void beginCall(std::optional<Duration> Wait) {
    CallBegan = Loop.now();
    CallWait = Wait;
  }

  template <typename T>
  void reportStoreCall(const FeedSource &Source, const Attempt<T> &Got) {
    if (!Source.direct() || !OnStoreCall)
      return;
    bool Answered = Got || Got.error().Code == ResultCode::PlatformHistoryGone;
    StoreCallResult R{Answered, CallBegan, std::nullopt};
    if (Answered && CallWait && Loop.now() >= CallBegan + *CallWait)
      R.Took = Loop.now() - CallBegan - *CallWait;
    OnStoreCall(R);
  }

  /// Returns whether the reply is fresh. Replaces one of an earlier epoch by an
  /// error.
  template <typename T>
  bool recordResult(const FeedSource &Source, Attempt<T> &Got) {
    reportStoreCall(Source, Got);
    if (Got && Got->Revision.Epoch < Epoch)
      Got = Error{Source.direct() ? ResultCode::PlatformBadReply
                                  : ResultCode::PeerUnreachable,
                  fmt::format("reply of epoch {}, but epoch {} was read before",
                              Got->Revision.Epoch, Epoch)};
    if (Got)
      Epoch = Got->Revision.Epoch;
    bool HistoryGone =
        !Got && Got.error().Code == ResultCode::PlatformHistoryGone;
    bool Fresh = HistoryGone || (Got && Got->Age <= MaxFeedAge);
    if (Fresh)
      Sources.recordSuccess(Source);
    else
      Sources.recordFailure(Source, Rng, Loop.now());
    recordOutage(Source, Fresh, bool(Got));
    return Fresh;
  }

  void recordOutage(const FeedSource &Source, bool Fresh, bool Replied) {
    if (Fresh) {
      WasDown = std::exchange(Down, false);
      StalePeer.reset();
    } else if (Source.direct()) {
      Down = true;
    } else if (Replied) {
      const HostId &Host = Source.Peer->Id.Host;
      Down = Down || (StalePeer && *StalePeer != Host);
      StalePeer = Host;
    }
  }

  void callPeer(const FeedSource &Source, const FeedRequest &Q,
                Duration Timeout, HttpClient::Callback Done) {
    HttpRequest R;
    R.To = Source.Peer->Rpc;
    R.Path = feedTarget(Q);
    R.Timeout = Timeout;
    R.Stall = PeerStallTimeout;
    R.AcceptDeflated = true;
    Call = Http.send(std::move(R),
                     [this, Source, Kind = Q.Kind,
                      Done = std::move(Done)](const HttpReply &Reply) {
                       reportReply(Meter, {Kind, sourceName(Source)}, Reply);
                       Unanswered = !Reply.arrived();
                       Done(Reply);
                     });
  }

  std::optional<TransferProgress> progress() const {
    if (!Last)
      return std::nullopt;
    return Last->direct() ? S.progress(Call) : Http.progress(Call);
  }

  /// Cancels the call in progress, if any.
  void cancelCurrentCall(const std::string &Kind) {
    Retry.cancel();
    std::optional<TransferProgress> P = progress();
    if (!P)
      return;
    reportCancelled(Meter, {Kind, sourceName(*Last)}, *P);
    Unanswered = P->Bytes == 0;
    if (Last->direct())
      S.cancel(Call);
    else
      Http.cancel(Call);
  }

  static std::string sourceName(const FeedSource &Source) {
    return Source.direct() ? "store" : Source.Peer->Id.str();
  }

  EventLoop &Loop;
  HttpClient &Http;
  Store &S;
  FeedSources Sources;
  Random &Rng;
  Metrics &Meter;
  bool Listed = false;
  bool Unanswered = false;         ///< The latest call got no reply.
  bool Down = false;               ///< The store, since the last fresh reply.
  bool WasDown = false;            ///< See storeWasDown().
  std::optional<HostId> StalePeer; ///< The last one, since then.
  std::uint64_t Epoch = 0;         ///< Of the last reply.
  std::optional<FeedSource> Last;  ///< Source of the latest call.
  HttpClient::TransferId Call = 0;
  Instant CallBegan;
  bool IsFirstCall = false; ///< To the store, by a daemon that took over.
  std::optional<Duration> CallWait; ///< Of the latest call; none for a list.
  std::function<void(const StoreCallResult &)> OnStoreCall;
  TimerHandle Retry; ///< Looks for a source again.
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_RELAYEDSTORE_H
