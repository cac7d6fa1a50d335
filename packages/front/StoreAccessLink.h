//===- StoreAccessLink.h - Makes trials and announces their result -*- C++ -*-//
//
// Runs StoreTrials for a daemon: makes the trials that are due, announces a
// change of the daemon's access to the fleet, and reports when the daemon
// becomes the watcher of its region or hands over to another.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_STOREACCESSLINK_H
#define SHALLOTSHIFT_FRONT_STOREACCESSLINK_H

#include "front/FeedReport.h"
#include "front/FrontDaemon.h"
#include "front/RelayedStore.h"
#include "front/StoreTrials.h"

#include <functional>
#include <string>

namespace shallot {

template <CallableStore Store> class StoreAccessLink {
public:
  /// Called when the store has answered a trial, with the time that it took.
  using AnsweredFn = std::function<void(Duration Took)>;

  /// \p Kind is a kind of the store whose list trials ask the end of.
  StoreAccessLink(EventLoop &Loop, Store &S, FrontDaemon &D, std::string Kind,
                  AnsweredFn OnAnswered)
      : Loop(Loop), S(S), D(D), Kind(std::move(Kind)),
        OnAnswered(std::move(OnAnswered)) {}

  /// The place of this daemon in the fleet's view.
  void setTree(const FeedTree &T) {
    if (Started && T.IsWatcher != Tree.IsWatcher)
      reportHandover(D.metrics(), T);
    Tree = T;
    Trials.setTree(T, D.random(), Loop.now());
    update();
  }

  void record(const StoreCallResult &R) {
    if (R.Took)
      Trials.took(*R.Took);
    if (R.Answered)
      Trials.answered(Loop.now());
    else
      Trials.failed(R.Began, D.random(), Loop.now());
    update();
  }

  /// The open calls to the store seem to hang.
  void suspect() {
    Trials.suspect(Loop.now());
    update();
  }

  /// Call a few times per second, once the daemon has met its fleet.
  void tick() {
    Started = true;
    Trials.tick(D.random(), Loop.now());
    update();
  }

private:
  /// Names of objects are printable and none is greater: the reply is an empty
  /// page, whatever the store holds.
  static constexpr char AfterLastName[] = "~~~~";

  void update() {
    announceLater();
    std::optional<Instant> At = Trials.nextAt();
    if (!Started || At == ArmedFor)
      return;
    ArmedFor = At;
    NextTrial.cancel();
    if (At)
      NextTrial = Loop.after(std::max(Duration(0), *At - Loop.now()), [this] {
        ArmedFor.reset();
        if (Trials.due(Loop.now()))
          startTrial();
      });
  }

  void startTrial() {
    Trials.started(Loop.now());
    TrialBegan = Loop.now();
    // A kept connection may have fallen silent while the store answers.
    S.forgetConnections();
    Call = S.list(Kind, AfterLastName, [this](const Attempt<KindPage> &P) {
      Timeout.cancel();
      finishTrial(bool(P), P ? std::string() : P.error().Detail);
    });
    Timeout = Loop.after(TrialTimeout, [this] {
      S.cancel(Call);
      finishTrial(false, "no reply");
    });
  }

  void finishTrial(bool Answered, std::string Why) {
    Duration Took = Loop.now() - TrialBegan;
    reportTrial(D.metrics(), {Answered, Took, std::move(Why)});
    if (Answered)
      Trials.trialAnswered(Loop.now());
    else
      Trials.trialFailed(D.random(), Loop.now());
    if (Answered)
      OnAnswered(Took);
    update();
  }

  /// An announcement changes the fleet's view, which may replace the call whose
  /// reply is being processed.
  void announceLater() {
    if (Trials.access() == D.fleet().self().Store || Announcing)
      return;
    Announcing = true;
    Loop.post([this] {
      Announcing = false;
      StoreAccess Now = Trials.access();
      if (Now == D.fleet().self().Store)
        return;
      reportAccess(D.metrics(), Now, Tree);
      D.fleet().setStoreAccess(Now, Tree.Informed);
    });
  }

  EventLoop &Loop;
  Store &S;
  FrontDaemon &D;
  std::string Kind;
  AnsweredFn OnAnswered;
  FeedTree Tree;
  StoreTrials Trials;
  HttpClient::TransferId Call = 0;
  Instant TrialBegan;
  TimerHandle Timeout;
  TimerHandle NextTrial;
  std::optional<Instant> ArmedFor; ///< The time of NextTrial.
  bool Announcing = false;
  bool Started = false;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_STOREACCESSLINK_H
