//===- RelayedStore.h - The store, or a peer that watches it ----*- C++ -*-===//
//
// Stands between the KindWatch of one kind and the store: each call goes to the
// source that FeedSources names at that moment. Revisions are the store's
// everywhere, so a change of source loses nothing.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_RELAYEDSTORE_H
#define SHALLOTSHIFT_FRONT_RELAYEDSTORE_H

#include "front/FeedReport.h"
#include "front/FeedSources.h"
#include "front/FeedWire.h"
#include "shallotshift/telemetry.h"

#include <optional>

namespace shallot {

/// How long a peer may hold a request. It answers changes at once and reports
/// the loss of the store, and membership reports its own loss; this only bounds
/// what all of these miss.
inline constexpr Duration PeerWait = Seconds(4);
/// A daemon that others read from uses a peer only while the store does not
/// answer it, and not for long: two such daemons that wait for each other
/// receive nothing.
inline constexpr Duration WatcherPeerWait = Millis(400);
inline constexpr Duration PeerSlack = Millis(700);
inline constexpr Duration PeerListTimeout = Millis(800);
/// A peer whose answer has begun and from which nothing more came for this long
/// is lost: TCP sends a lost packet again after 0.2 and 0.4 s.
inline constexpr Duration PeerStall = Millis(1000);
/// How long a peer that has read nothing yet may hold a list: the store answers
/// in milliseconds, and the sender calls the store itself afterwards.
inline constexpr Duration PeerListWait = Millis(300);

/// A store whose calls can be looked at and given up while they run.
template <typename S>
concept CallableStore = KindStore<S> &&
    requires(S &Store, std::string Text, std::uint64_t Revision, Duration Wait,
             StoreCallback<KindPage> OnPage,
             StoreCallback<KindChanges> OnChanges, HttpClient::TransferId Id) {
  { Store.list(Text, Text, OnPage) } -> std::same_as<HttpClient::TransferId>;
  {
    Store.watchKind(Text, Revision, Wait, OnChanges)
    } -> std::same_as<HttpClient::TransferId>;
  { Store.progress(Id) } -> std::same_as<std::optional<TransferProgress>>;
  Store.cancel(Id);
};

/// One call at a time: the next one gives up the one before, so that what still
/// comes of that takes nothing of the link.
template <CallableStore Store> class RelayedStore {
public:
  RelayedStore(EventLoop &Loop, HttpClient &Http, Store &S, FeedSources From,
               Random &Rng, Metrics &Meter)
      : Loop(Loop), Http(Http), S(S), From(std::move(From)), Rng(Rng),
        Meter(Meter) {}

  FeedSources &sources() { return From; }

  void list(const std::string &Kind, const std::string &After,
            StoreCallback<KindPage> OnDone) {
    giveUp(Kind);
    FeedSource Source = choose(Kind, false);
    auto Done = [this, Kind, Source,
                 OnDone = std::move(OnDone)](Attempt<KindPage> P) {
      judge(Source, P);
      Listed = Listed || (P && !P->More);
      OnDone(std::move(P));
    };
    if (Source.direct()) {
      Call = S.list(Kind, After, std::move(Done));
      return;
    }
    FeedRequest Q;
    Q.Kind = Kind;
    Q.After = After;
    Q.Wait = PeerListWait;
    ask(Source, Q, PeerListTimeout,
        [Done = std::move(Done)](const HttpReply &R) { Done(readPage(R)); });
  }

  void watchKind(const std::string &Kind, std::uint64_t Revision, Duration Wait,
                 StoreCallback<KindChanges> OnDone) {
    giveUp(Kind);
    FeedSource Source = choose(Kind, true);
    auto Done = [this, Source,
                 OnDone = std::move(OnDone)](Attempt<KindChanges> C) {
      bool Fresh = judge(Source, C);
      // No change from a peer whose data is stale proves nothing.
      if (C && !Fresh && C->Changes.empty())
        OnDone(Error{ResultCode::PeerUnreachable, "the peer lost the store"});
      else
        OnDone(std::move(C));
    };
    if (Source.direct()) {
      Call = S.watchKind(Kind, Revision, Wait, std::move(Done));
      return;
    }
    FeedRequest Q;
    Q.Kind = Kind;
    Q.Since = Revision;
    Q.Wait = From.watchesStore() ? WatcherPeerWait : PeerWait;
    Q.Relays = From.relays();
    ask(Source, Q, Q.Wait + PeerSlack,
        [Done = std::move(Done)](const HttpReply &R) { Done(readChanges(R)); });
  }

  /// The source of the last call may be gone.
  bool lost() const { return Last && From.lost(*Last); }
  /// A part of an answer has come in the last \p D. Such a call is not given
  /// up for another: the answer would begin anew.
  bool receivedWithin(Duration D) const {
    std::optional<TransferProgress> P = progress();
    return P && P->Bytes != 0 && P->Silent <= D;
  }

private:
  FeedSource choose(const std::string &Kind, bool WasListed) {
    FeedSource Source = From.next(WasListed || Listed, Loop.now());
    if (Last != Source)
      logEvent(LogLevel::Info, "feed_source",
               {{"kind", Kind}, {"from", sourceName(Source)}});
    Last = Source;
    return Source;
  }

  template <typename T> bool judge(const FeedSource &Source, Attempt<T> &Got) {
    bool HistoryGone =
        !Got && Got.error().Code == ResultCode::PlatformHistoryGone;
    bool Fresh = HistoryGone || (Got && Got->Age <= MaxFeedAge);
    if (Fresh)
      From.recordSuccess(Source);
    else
      From.recordFailure(Source, Rng, Loop.now());
    return Fresh;
  }

  void ask(const FeedSource &Source, const FeedRequest &Q, Duration Timeout,
           HttpClient::Callback Done) {
    HttpRequest R;
    R.To = Source.Peer->Rpc;
    R.Path = feedTarget(Q);
    R.Timeout = Timeout;
    R.Stall = PeerStall;
    R.AcceptDeflated = true;
    Call = Http.send(std::move(R),
                     [this, Source, Kind = Q.Kind,
                      Done = std::move(Done)](const HttpReply &Reply) {
                       reportAnswer(Meter, {Kind, sourceName(Source)}, Reply);
                       Done(Reply);
                     });
  }

  std::optional<TransferProgress> progress() const {
    if (!Last)
      return std::nullopt;
    return Last->direct() ? S.progress(Call) : Http.progress(Call);
  }

  /// Ends the call that is out, if there is one: another takes its place.
  void giveUp(const std::string &Kind) {
    std::optional<TransferProgress> P = progress();
    if (!P)
      return;
    reportGivenUp(Meter, {Kind, sourceName(*Last)}, *P);
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
  FeedSources From;
  Random &Rng;
  Metrics &Meter;
  bool Listed = false;
  std::optional<FeedSource> Last; ///< Of the latest call.
  HttpClient::TransferId Call = 0;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_RELAYEDSTORE_H
