//===- FeedServer.h - Serves store data to peers ----------------*- C++ -*-===//
//
// Replies to peers from the cache of this daemon (KindCache). A list request
// waits until the cache has been filled, a watch request waits for a change,
// but only while the data of this daemon is fresh: a daemon that lost the store
// replies immediately, so that its peers switch to another source. A peer that
// serves others also gets a reply without changes whenever the store has
// answered, because it must know how old its data is. When the store was
// restored, peers that wait for changes of the earlier epoch are told at once
// to list again.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_FEEDSERVER_H
#define SHALLOTSHIFT_FRONT_FEEDSERVER_H

#include "front/FeedReplyCache.h"
#include "front/FeedWire.h"
#include "shallotshift/http1.h"

#include <list>
#include <map>

namespace shallot {

/// State of one kind as a FeedServer sees it.
struct FeedView {
  const KindCache *Cache = nullptr;
  bool Listed = false;
};

class FeedServer {
public:
  using ViewFn = std::function<FeedView(const std::string &Kind)>;
  /// Time since the store last answered for \p Kind, to this daemon or to the
  /// source of its data. Kept per kind: the watch of one kind may hang while
  /// replies for another arrive, and peers would keep waiting for it.
  using AgeFn = std::function<Duration(const std::string &Kind)>;

  /// True while the first answer of the store to a daemon that took over its
  /// region is due any moment. Requests then wait although the data is stale.
  using RenewingFn = std::function<bool(const std::string &Kind)>;

  FeedServer(TimerQueue &Timers, ViewFn View, AgeFn Age,
             RenewingFn Renewing = {})
      : Timers(Timers), View(std::move(View)), Age(std::move(Age)),
        Renewing(std::move(Renewing)) {}

  void handle(const ServerRequest &R, const Responder &A);
  /// \p Kind has changed or the store has answered: replies to pending requests
  /// that are affected.
  void advanced(const std::string &Kind);
  /// Call a few times per second: replies to requests whose wait has expired,
  /// and to all watch requests of a kind whose data is no longer fresh.
  void tick();
  std::size_t waiting() const { return Pending.size(); }

private:
  struct PendingRequest {
    FeedRequest Request;
    Responder Answer;
    Instant Until;
    bool AcceptsDeflate = false; ///< Peer accepts a deflated body.
  };

  /// Replies if there is a change or \p Force is set. Returns whether it did.
  bool tryReply(const PendingRequest &W, bool Force);
  bool isStale(const FeedRequest &Q) const;
  void replyPage(const PendingRequest &W, const KindCache &Cache);
  bool tryReplyChanges(const PendingRequest &W, const KindCache &Cache,
                       bool Force);
  void sendReply(const PendingRequest &W, const FeedReplyKey &Key,
                 const std::function<std::string()> &Write);

  TimerQueue &Timers;
  ViewFn View;
  AgeFn Age;
  RenewingFn Renewing;
  FeedReplyCache Replies;
  std::list<PendingRequest> Pending;
  /// By kind: time of the latest store answer that was reported to relaying
  /// peers.
  std::map<std::string, Instant> LastRelayed;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_FEEDSERVER_H
