//===- FeedServer.h - Serves store data to peers ----------------*- C++ -*-===//
//
// Answers peers from this daemon's cache (KindCache). A list waits until
// anything was read, a watch for a change, but only while this daemon's own
// data is fresh: a daemon that lost the store answers at once, so that its
// peers switch to another source. A peer that serves others is also answered
// without a change whenever the store has answered: it must know how old its
// data is.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_FEEDSERVER_H
#define SHALLOTSHIFT_FRONT_FEEDSERVER_H

#include "front/FeedAnswers.h"
#include "front/FeedWire.h"
#include "shallotshift/http1.h"

#include <list>
#include <map>

namespace shallot {

/// What a FeedServer knows of one kind.
struct FeedView {
  const KindCache *Cache = nullptr;
  bool Listed = false;
};

class FeedServer {
public:
  using ViewFn = std::function<FeedView(const std::string &Kind)>;
  /// How long ago the store last answered for \p Kind, to this daemon or to the
  /// source of its data. Kept for each kind: the watch of one may hang while
  /// another's answers arrive, and peers would go on waiting for it.
  using AgeFn = std::function<Duration(const std::string &Kind)>;

  FeedServer(TimerQueue &Timers, ViewFn View, AgeFn Age)
      : Timers(Timers), View(std::move(View)), Age(std::move(Age)) {}

  void handle(const ServerRequest &R, const Responder &A);
  /// \p Kind has changed, or the store has answered: answers those who wait.
  void advanced(const std::string &Kind);
  /// To be called a few times a second: answers requests whose wait is over,
  /// and all when the data is no longer fresh.
  void tick();
  std::size_t waiting() const { return Waiting.size(); }

private:
  struct Waiter {
    FeedRequest Question;
    Responder Answer;
    Instant Until;
    bool Deflates = false; ///< Takes a deflated body.
  };

  /// Answers if there is a change, or \p Anyway; whether it did.
  bool tryAnswer(const Waiter &W, bool Anyway);
  void answerPage(const Waiter &W, const KindCache &Cache);
  bool tryChanges(const Waiter &W, const KindCache &Cache, bool Anyway);
  void answer(const Waiter &W, const FeedReplyKey &Key,
              const std::function<std::string()> &Write);

  TimerQueue &Timers;
  ViewFn View;
  AgeFn Age;
  FeedReplyCache Answers;
  std::list<Waiter> Waiting;
  /// By kind: the last answer of the store that relaying peers know of.
  std::map<std::string, Instant> Relayed;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_FEEDSERVER_H
