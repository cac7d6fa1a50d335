//===- FeedServer.cpp -----------------------------------------------------===//
#include "front/FeedServer.h"

#include "front/FeedSources.h"

namespace shallot {

namespace {

/// Peers that wait at once. A region of a fleet of 1,700 has 250 daemons with
/// two kinds each.
constexpr std::size_t MaxWaiting = 1000;

ServerReply jsonReply(std::string Body) {
  ServerReply R;
  R.Body = std::move(Body);
  return R;
}

} // namespace

bool FeedServer::tryAnswer(const FeedQuestion &Q, const Responder &A,
                           bool Anyway) const {
  std::optional<KindChanges> C = View(Q.Kind).Cache->since(*Q.Since);
  if (!C) {
    A.reply(problemReply(ResultCode::PlatformHistoryGone, Q.Kind));
    return true;
  }
  if (C->Changes.empty() && !Anyway)
    return false;
  C->Age = Age(Q.Kind);
  A.reply(jsonReply(writeChanges(*C)));
  return true;
}

void FeedServer::handle(const ServerRequest &R, const Responder &A) {
  auto Q = readFeedQuestion(R.Path, R.Query);
  FeedView V = Q ? View(Q->Kind) : FeedView();
  if (!V.Cache) {
    A.reply(problemReply(ResultCode::UnknownPath, R.Path));
    return;
  }
  if (!V.Listed) {
    A.reply(problemReply(ResultCode::NotReady, "nothing read yet"));
    return;
  }
  if (!Q->Since) {
    KindPage P = V.Cache->page(Q->After);
    P.Age = Age(Q->Kind);
    A.reply(jsonReply(writePage(P)));
    return;
  }
  bool Stale = Age(Q->Kind) > MostFeedAge;
  bool Full = Waiting.size() >= MaxWaiting;
  if (!tryAnswer(*Q, A, Stale || Full || Q->Wait <= Duration(0)))
    Waiting.push_back({*Q, A, Timers.now() + Q->Wait});
}

void FeedServer::advanced(const std::string &Kind) {
  std::erase_if(Waiting, [&](const Waiter &W) {
    return W.Question.Kind == Kind && tryAnswer(W.Question, W.Answer, false);
  });
}

void FeedServer::tick() {
  Instant Now = Timers.now();
  std::erase_if(Waiting, [&](const Waiter &W) {
    bool Stale = Age(W.Question.Kind) > MostFeedAge;
    return tryAnswer(W.Question, W.Answer, Stale || Now >= W.Until);
  });
}

} // namespace shallot
