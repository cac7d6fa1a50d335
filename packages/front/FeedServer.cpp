//===- FeedServer.cpp -----------------------------------------------------===//
#include "front/FeedServer.h"

#include "front/FeedSources.h"

#include <fmt/format.h>

namespace shallot {

namespace {

/// Maximum number of pending requests. A region of a fleet of 1,700 has 250
/// daemons with three kinds each.
constexpr std::size_t MaxPending = 1000;

/// Minimum interval between replies without changes to relaying peers. Two
/// daemons that lost the store and read from each other would otherwise reply
/// to each reply of the other and waste CPU time. A reply without changes is
/// therefore sent only if the last answer of the store is newer by this
/// interval. The answers of the store are 1.5 s apart; in a loop between
/// daemons, each round shifts the apparent time of the last answer only by the
/// transfer time, some milliseconds.
constexpr Duration MinRelayInterval = Millis(200);

} // namespace

bool FeedServer::tryReply(const PendingRequest &W, bool Force) {
  FeedView V = View(W.Request.Kind);
  if (!V.Listed) {
    // A list request waits for the first read; a watch request is refused
    // because the requester has listed from another source.
    if (!W.Request.Since && !Force)
      return false;
    W.Answer.reply(
        problemReply(ResultCode::NotReady, "no data has been read yet"));
    return true;
  }
  if (W.Request.Since)
    return tryReplyChanges(W, *V.Cache, Force);
  replyPage(W, *V.Cache);
  return true;
}

void FeedServer::sendReply(const PendingRequest &W, const FeedReplyKey &Key,
                           const std::function<std::string()> &Write) {
  ServerReply R;
  if (W.AcceptsDeflate)
    R = Replies.reply(Key, Timers.now(), Write);
  else
    R.Body = Write();
  R.Headers.push_back(ageHeader(Age(Key.Kind)));
  W.Answer.reply(std::move(R));
}

void FeedServer::replyPage(const PendingRequest &W, const KindCache &Cache) {
  const FeedRequest &Q = W.Request;
  FeedReplyKey Key{Q.Kind, Q.After, std::nullopt, Cache.revision()};
  sendReply(W, Key, [&] {
    KindPage P = Cache.page(Q.After);
    P.Age = Age(Q.Kind);
    return writePage(P);
  });
}

bool FeedServer::tryReplyChanges(const PendingRequest &W,
                                 const KindCache &Cache, bool Force) {
  const FeedRequest &Q = W.Request;
  std::uint64_t Epoch = Cache.revision().Epoch;
  StoreRevision Since{Q.Epoch.value_or(Epoch), *Q.Since};
  if (Since.Epoch > Epoch) {
    W.Answer.reply(problemReply(
        ResultCode::NotReady, fmt::format("epoch {} was requested, but epoch "
                                          "{} has been read; ask another peer",
                                          Since.Epoch, Epoch)));
    return true;
  }
  if (!Cache.keepsSince(Since)) {
    W.Answer.reply(problemReply(ResultCode::PlatformHistoryGone, Q.Kind));
    return true;
  }
  if (Cache.lastChange() <= Since && !Force)
    return false;
  FeedReplyKey Key{Q.Kind, {}, Since, Cache.revision()};
  sendReply(W, Key, [&] {
    KindChanges C = *Cache.since(Since);
    C.Age = Age(Q.Kind);
    return writeChanges(C);
  });
  return true;
}

bool FeedServer::isStale(const FeedRequest &Q) const {
  return Q.Since && Age(Q.Kind) > MaxFeedAge && !(Renewing && Renewing(Q.Kind));
}

void FeedServer::handle(const ServerRequest &R, const Responder &A) {
  auto Q = parseFeedRequest(R.Path, R.Query);
  if (!Q || !View(Q->Kind).Cache) {
    A.reply(problemReply(ResultCode::UnknownPath, R.Path));
    return;
  }
  bool Stale = isStale(*Q);
  bool Full = Pending.size() >= MaxPending;
  PendingRequest W{*Q, A, Timers.now() + Q->Wait, acceptsDeflated(R)};
  if (!tryReply(W, Stale || Full || Q->Wait <= Duration(0)))
    Pending.push_back(std::move(W));
}

void FeedServer::advanced(const std::string &Kind) {
  Instant StoreAnsweredAt = Timers.now() - Age(Kind);
  bool Newer = StoreAnsweredAt >= LastRelayed[Kind] + MinRelayInterval;
  if (Newer)
    LastRelayed[Kind] = StoreAnsweredAt;
  std::erase_if(Pending, [&](const PendingRequest &W) {
    bool Force = Newer && W.Request.Relays;
    return W.Request.Kind == Kind && tryReply(W, Force);
  });
}

void FeedServer::tick() {
  Instant Now = Timers.now();
  Replies.expire(Now);
  std::erase_if(Pending, [&](const PendingRequest &W) {
    return tryReply(W, isStale(W.Request) || Now >= W.Until);
  });
}

} // namespace shallot
