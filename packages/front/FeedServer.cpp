//===- FeedServer.cpp -----------------------------------------------------===//
#include "front/FeedServer.h"

#include "front/FeedSources.h"

namespace shallot {

namespace {

/// Peers that wait at once. A region of a fleet of 1,700 has 250 daemons with
/// three kinds each.
constexpr std::size_t MaxWaiting = 1000;

/// The failure: two daemons that lost the store ask each other, each passes on
/// every answer of the other, and both spend their processor on it. Only a word
/// that is newer than the last one by this is passed on without a change; the
/// store's own words are 1.5 s apart, and what a circle gains in age is the
/// time on the way, some milliseconds a turn.
constexpr Duration LeastRelayGap = Millis(200);

} // namespace

bool FeedServer::tryAnswer(const Waiter &W, bool Anyway) {
  FeedView V = View(W.Question.Kind);
  if (!V.Listed) {
    // A list waits for the first reading; a watch has seen a list elsewhere.
    if (!W.Question.Since && !Anyway)
      return false;
    W.Answer.reply(problemReply(ResultCode::NotReady, "nothing read yet"));
    return true;
  }
  if (W.Question.Since)
    return tryChanges(W, *V.Cache, Anyway);
  answerPage(W, *V.Cache);
  return true;
}

void FeedServer::answer(const Waiter &W, const FeedReplyKey &Key,
                        const std::function<std::string()> &Write) {
  ServerReply R;
  if (W.Deflates)
    R = Answers.reply(Key, Timers.now(), Write);
  else
    R.Body = Write();
  R.Headers.push_back(ageHeader(Age(Key.Kind)));
  W.Answer.reply(std::move(R));
}

void FeedServer::answerPage(const Waiter &W, const KindCache &Cache) {
  const FeedRequest &Q = W.Question;
  FeedReplyKey Key{Q.Kind, Q.After, std::nullopt, Cache.revision()};
  answer(W, Key, [&] {
    KindPage P = Cache.page(Q.After);
    P.Age = Age(Q.Kind);
    return writePage(P);
  });
}

bool FeedServer::tryChanges(const Waiter &W, const KindCache &Cache,
                            bool Anyway) {
  const FeedRequest &Q = W.Question;
  if (!Cache.keepsSince(*Q.Since)) {
    W.Answer.reply(problemReply(ResultCode::PlatformHistoryGone, Q.Kind));
    return true;
  }
  if (Cache.lastChange() <= *Q.Since && !Anyway)
    return false;
  FeedReplyKey Key{Q.Kind, {}, Q.Since, Cache.revision()};
  answer(W, Key, [&] {
    KindChanges C = *Cache.since(*Q.Since);
    C.Age = Age(Q.Kind);
    return writeChanges(C);
  });
  return true;
}

void FeedServer::handle(const ServerRequest &R, const Responder &A) {
  auto Q = parseFeedRequest(R.Path, R.Query);
  if (!Q || !View(Q->Kind).Cache) {
    A.reply(problemReply(ResultCode::UnknownPath, R.Path));
    return;
  }
  bool Stale = Q->Since && Age(Q->Kind) > MaxFeedAge;
  bool Full = Waiting.size() >= MaxWaiting;
  Waiter W{*Q, A, Timers.now() + Q->Wait, acceptsDeflated(R)};
  if (!tryAnswer(W, Stale || Full || Q->Wait <= Duration(0)))
    Waiting.push_back(std::move(W));
}

void FeedServer::advanced(const std::string &Kind) {
  Instant Heard = Timers.now() - Age(Kind);
  bool Newer = Heard >= Relayed[Kind] + LeastRelayGap;
  if (Newer)
    Relayed[Kind] = Heard;
  std::erase_if(Waiting, [&](const Waiter &W) {
    bool Anyway = Newer && W.Question.Relays;
    return W.Question.Kind == Kind && tryAnswer(W, Anyway);
  });
}

void FeedServer::tick() {
  Instant Now = Timers.now();
  Answers.expire(Now);
  std::erase_if(Waiting, [&](const Waiter &W) {
    bool Stale = W.Question.Since && Age(W.Question.Kind) > MaxFeedAge;
    return tryAnswer(W, Stale || Now >= W.Until);
  });
}

} // namespace shallot
