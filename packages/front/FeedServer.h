//===- FeedServer.h - Passes the store's words on to peers ------*- C++ -*-===//
//
// Answers peers from what this daemon has seen (KindCache). A list waits until
// anything was read, a watch for a change, but no longer than this daemon
// itself has word from the store: one that lost the store says so at once, so
// that its peers go elsewhere. A peer that passes the words on is also answered
// without a change whenever the store was heard from: its own peers must know
// how old its word is.
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
  /// How long ago the store last spoke of \p Kind to somebody whose word
  /// reached us. Of each kind by itself: a watch of one may hang while
  /// another's answers come, and peers that were told "fresh" would wait for
  /// it.
  using AgeFn = std::function<Duration(const std::string &Kind)>;

  FeedServer(TimerQueue &Timers, ViewFn View, AgeFn Age)
      : Timers(Timers), View(std::move(View)), Age(std::move(Age)) {}

  void handle(const ServerRequest &R, const Responder &A);
  /// \p Kind has moved on, or the store was heard from: answers those who wait
  /// for it.
  void advanced(const std::string &Kind);
  /// To be called a few times a second: answers those who have waited enough,
  /// and everyone when there is no recent word from the store.
  void tick();
  std::size_t waiting() const { return Waiting.size(); }

private:
  struct Waiter {
    FeedQuestion Question;
    Responder Answer;
    Instant Until;
    bool Deflates = false; ///< Takes a deflated body.
  };

  /// Answers if there is something to say, or \p Anyway; whether it did.
  bool tryAnswer(const Waiter &W, bool Anyway);
  void answerPage(const Waiter &W, const KindCache &Cache);
  bool tryChanges(const Waiter &W, const KindCache &Cache, bool Anyway);
  void answer(const Waiter &W, const FeedAnswerKey &Key,
              const std::function<std::string()> &Write);

  TimerQueue &Timers;
  ViewFn View;
  AgeFn Age;
  FeedAnswers Answers;
  std::list<Waiter> Waiting;
  /// By kind: when the store had last been heard from, as those who pass words
  /// on were told.
  std::map<std::string, Instant> Relayed;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_FEEDSERVER_H
