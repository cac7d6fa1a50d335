//===- FeedServer.cpp -----------------------------------------------------===//
#include "front/FeedServer.h"

#include "front/FeedSources.h"

namespace shallot {

namespace {

/// Peers that wait at once. A region of a fleet of 1,700 has 250 daemons with
/// two kinds each.
constexpr std::size_t MaxWaiting = 1000;

/// The failure: two daemons that lost the store ask each other, each passes on
/// every answer of the other, and both spend their processor on it. Only a word
/// that is newer than the last one by this is passed on without a change; the
/// store's own words are 1.5 s apart, and what a circle gains in age is the
/// time on the way, some milliseconds a turn.
constexpr Duration LeastRelayGap = Millis(200);

ServerReply jsonReply(std::string Body) {
  ServerReply R;
  R.Body = std::move(Body);
  return R;
}

} // namespace

bool FeedServer::tryAnswer(const Waiter &W, bool Anyway, Bodies &Known) const {
  return W.Question.Since ? tryChanges(W, Anyway, Known) : tryPage(W, Anyway);
}

bool FeedServer::tryPage(const Waiter &W, bool Anyway) const {
  FeedView V = View(W.Question.Kind);
  if (!V.Listed && !Anyway)
    return false;
  if (!V.Listed) {
    W.Answer.reply(problemReply(ResultCode::NotReady, "nothing read yet"));
    return true;
  }
  KindPage P = V.Cache->page(W.Question.After);
  P.Age = Age(W.Question.Kind);
  W.Answer.reply(jsonReply(writePage(P)));
  return true;
}

bool FeedServer::tryChanges(const Waiter &W, bool Anyway, Bodies &Known) const {
  const FeedQuestion &Q = W.Question;
  FeedView V = View(Q.Kind);
  if (!V.Listed) {
    W.Answer.reply(problemReply(ResultCode::NotReady, "nothing read yet"));
    return true;
  }
  if (auto Found = Known.find(*Q.Since); Found != Known.end()) {
    W.Answer.reply(jsonReply(Found->second));
    return true;
  }
  std::optional<KindChanges> C = V.Cache->since(*Q.Since);
  if (!C) {
    W.Answer.reply(problemReply(ResultCode::PlatformHistoryGone, Q.Kind));
    return true;
  }
  if (C->Changes.empty() && !Anyway)
    return false;
  C->Age = Age(Q.Kind);
  std::string Body = writeChanges(*C);
  if (!C->Changes.empty())
    Known[*Q.Since] = Body;
  W.Answer.reply(jsonReply(std::move(Body)));
  return true;
}

void FeedServer::handle(const ServerRequest &R, const Responder &A) {
  auto Q = readFeedQuestion(R.Path, R.Query);
  if (!Q || !View(Q->Kind).Cache) {
    A.reply(problemReply(ResultCode::UnknownPath, R.Path));
    return;
  }
  bool Stale = Q->Since && Age(Q->Kind) > MostFeedAge;
  bool Full = Waiting.size() >= MaxWaiting;
  Waiter W{*Q, A, Timers.now() + Q->Wait};
  Bodies Known;
  if (!tryAnswer(W, Stale || Full || Q->Wait <= Duration(0), Known))
    Waiting.push_back(std::move(W));
}

void FeedServer::advanced(const std::string &Kind) {
  Instant Heard = Timers.now() - Age(Kind);
  bool Newer = Heard >= Relayed[Kind] + LeastRelayGap;
  if (Newer)
    Relayed[Kind] = Heard;
  Bodies Known;
  std::erase_if(Waiting, [&](const Waiter &W) {
    bool Anyway = Newer && W.Question.Relays;
    return W.Question.Kind == Kind && tryAnswer(W, Anyway, Known);
  });
}

void FeedServer::tick() {
  Instant Now = Timers.now();
  Bodies None;
  std::erase_if(Waiting, [&](const Waiter &W) {
    None.clear();
    bool Stale = W.Question.Since && Age(W.Question.Kind) > MostFeedAge;
    return tryAnswer(W, Stale || Now >= W.Until, None);
  });
}

} // namespace shallot
