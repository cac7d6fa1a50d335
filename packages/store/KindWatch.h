//===- KindWatch.h - All objects of a kind, as they change ------*- C++ -*-===//
//
// Lists the objects of one kind and then watches them. What it promises to its
// owner, whatever the store does:
//
//   - an object never goes back to an older revision, and one of an earlier
//     epoch is older than each of a later one, whatever its number;
//   - nothing is missed: after a lost reply or a cut watch it watches on from
//     the last revision that it has seen, and lists anew when the store has
//     forgotten that history or was restored from a copy;
//   - what a restore took back stays in force for a while, until it is written
//     again (RestoreRecovery);
//   - a list of several pages that changes between the pages is made whole by
//     watching from the revision of the first page;
//   - the owner is notified when the store stops and begins to answer, because
//     the absence of an object means less right after an outage.
//
//   KindWatch<Client, EventLoop> W(Client, Loop, "replicas", Options, Rng, {
//       .All = [](std::vector<KindObject> Now) { ... },
//       .Changed = [](const KindChange &C) { ... }});
//   W.start();
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_STORE_KINDWATCH_H
#define SHALLOTSHIFT_STORE_KINDWATCH_H

#include "store/Backoff.h"
#include "store/KindCache.h"
#include "store/ObjectStore.h"
#include "store/RestoreRecovery.h"

#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace shallot {

struct KindWatchOptions {
  /// One watch call waits this long for a change. The call also shows that the
  /// store still answers: a connection that fell silent is noticed after it.
  Duration Wait = Seconds(6);
  /// Waits after a failure. Each call is paid for, also in an outage.
  Duration FirstBackoff = Millis(150);
  Duration MostBackoff = Millis(900);
  /// Changes that come in a row are taken together.
  Duration Pause = Millis(30);
  RestoreOptions Restore;

  friend bool operator==(const KindWatchOptions &,
                         const KindWatchOptions &) = default;
};

struct KindWatchHooks {
  /// Everything in force. Called after each list.
  std::function<void(std::vector<KindObject>)> All;
  std::function<void(const KindChange &)> Changed;
  /// The store stopped answering us; why.
  std::function<void(const Error &)> Away;
  /// It answers again.
  std::function<void()> Back;
  /// A list was refused because it is older than the data read before.
  std::function<void(StoreRevision Listed, StoreRevision Read)> Outdated;
  /// The store was restored from a copy; the list of its new epoch follows.
  std::function<void(const RestoreReport &)> Restored;
  /// The store holds an object again after its removal was read.
  std::function<void(const KindObject &)> Withheld;
  /// See RestoreRecovery::OutlivesFn.
  RestoreRecovery::OutlivesFn Outlives;
  /// An answer has been taken in; cache() and heardAt() are up to date.
  std::function<void()> Advanced;
};

template <KindStore Store, TimerSource Time> class KindWatch {
public:
  KindWatch(Store &S, Time &T, std::string Kind, KindWatchOptions O,
            Random &Rng, KindWatchHooks H)
      : S(S), T(T), Kind(std::move(Kind)), Options(O), Rng(Rng),
        Hooks(std::move(H)), Wait(O.FirstBackoff, O.MostBackoff),
        Recovery(O.Restore, Hooks.Outlives) {}
  KindWatch(const KindWatch &) = delete;
  KindWatch &operator=(const KindWatch &) = delete;

  void start() { list(); }
  /// True once a whole list has been seen.
  bool listed() const { return Listed; }
  /// False from a failed call to the next one that works.
  bool storeAnswers() const { return !Failing; }
  StoreRevision revision() const { return Cache.revision(); }
  /// What has been seen, to be passed on.
  const KindCache &cache() const { return Cache; }
  /// The last time at which the store is known to have answered this daemon or
  /// the source of its data.
  Instant heardAt() const { return HeardAt; }
  /// Within All and Changed: the earliest time at which what they tell may have
  /// happened. An open call is answered at once, so that is the present unless
  /// a call was lost or given up since the last answer.
  Instant changedSince() const { return MissedSince.value_or(T.now()); }
  /// Calls at once, without waiting for the open call: its source may be gone.
  void renew() {
    ++Call;
    mayMiss();
    if (Listed)
      watch();
    else
      list();
  }
  /// The same, and reads everything anew. If that turns out to be older, the
  /// watch goes on from where it was.
  void relist() {
    ++Call;
    list();
    MayResume = Listed;
  }

private:
  /// Objects that were removed and are remembered, so that an older state of
  /// them is known as old. A reply that late is longer gone.
  static constexpr std::size_t MaxRemembered = 20000;

  /// \p Fn, unless this object is gone or renew() was called meanwhile.
  template <typename F> auto guarded(F Fn) {
    return [this, Weak = std::weak_ptr(Alive), Mine = Call,
            Fn = std::move(Fn)](auto &&...Args) {
      if (!Weak.expired() && Mine == Call)
        Fn(std::forward<decltype(Args)>(Args)...);
    };
  }

  /// Nobody has listened since the last answer.
  void mayMiss() {
    if (!MissedSince)
      MissedSince = HeardAt;
  }

  void list() {
    mayMiss();
    MayResume = false;
    Pages.clear();
    FirstPage = true;
    nextPage({});
  }

  void nextPage(const std::string &After) {
    S.list(Kind, After, guarded([this](Attempt<KindPage> Page) {
             if (!Page)
               return failed(Page.error(), [this] { list(); });
             takePage(std::move(*Page));
           }));
  }

  void takePage(KindPage Page) {
    if (std::exchange(FirstPage, false))
      ListRevision = Page.Revision;
    // The store was restored between two pages, or this one comes from a source
    // that is behind the first: what changed between the two revisions is in
    // neither page, and the watch goes on behind it.
    if (Page.Revision.Epoch != ListRevision.Epoch ||
        Page.Revision < ListRevision)
      return again([this] { list(); });
    ListAge = Page.Age;
    std::string Last;
    for (KindObject &O : Page.Objects) {
      Last = O.Name;
      Pages.push_back(std::move(O));
    }
    if (Page.More && !Last.empty()) {
      nextPage(Last);
      return;
    }
    takeList();
  }

  void takeList() {
    // A store that is behind itself would take everything back.
    if (ListRevision < Cache.revision()) {
      takeOutliving();
      if (Hooks.Outdated)
        Hooks.Outdated(ListRevision, Cache.revision());
      if (MayResume)
        return watch();
      return again([this] { list(); });
    }
    answered(ListAge);
    StoreRevision Read = Cache.revision();
    bool Restored = Listed && ListRevision.Epoch != Read.Epoch;
    std::vector<KindObject> Now =
        Recovery.listed(Cache.objects(), std::exchange(Pages, {}), ListRevision,
                        Restored, T.now());
    if (Restored && Hooks.Restored)
      Hooks.Restored({ListRevision, Read, Recovery.kept().size(),
                      Recovery.withheld().size()});
    Cache.replaceAll(Now, ListRevision);
    Seen.clear();
    for (const KindObject &O : Now)
      Seen[O.Name] = O.Revision;
    Listed = true;
    Hooks.All(Recovery.inForce(std::move(Now)));
    if (Hooks.Withheld)
      for (const auto &[Name, O] : Recovery.withheld())
        Hooks.Withheld(O);
    MissedSince.reset();
    Hooks.Advanced();
    if (Restored)
      settleLater();
    watch();
  }

  /// An object that its owner orders by itself may be newer in an older list.
  void takeOutliving() {
    for (KindObject &O : Pages) {
      const KindObject *Held = Cache.find(O.Name);
      if (!Held || !Recovery.outlives(O, Held))
        continue;
      O.Revision = Cache.revision();
      KindChange C{std::move(O), false};
      Cache.apply(C);
      Hooks.Changed(C);
      Hooks.Advanced();
    }
  }

  void settleLater() {
    std::optional<Instant> End = Recovery.nextEnd();
    if (!End)
      return;
    T.after(std::max(Duration(0), *End - T.now()),
            [this, Weak = std::weak_ptr(Alive)] {
              if (Weak.expired())
                return;
              for (const KindChange &C : Recovery.settle(T.now()))
                Hooks.Changed(C);
              settleLater();
            });
  }

  void watch() {
    S.watchKind(Kind, Cache.revision(), Options.Wait,
                guarded([this](Attempt<KindChanges> Got) {
                  if (Got)
                    return takeChanges(*Got);
                  if (Got.error().Code == ResultCode::PlatformHistoryGone)
                    return list();
                  failed(Got.error(), [this] { watch(); });
                }));
  }

  void takeChanges(const KindChanges &Got) {
    // Changes before Got's epoch began may be missing from it.
    if (Got.Revision.Epoch > Cache.revision().Epoch)
      return list();
    if (Got.Revision.Epoch < Cache.revision().Epoch)
      return failed(
          {ResultCode::PlatformBadReply, "changes up to " + Got.Revision.str() +
                                             ", but the revision read is " +
                                             Cache.revision().str()},
          [this] { watch(); });
    answered(Got.Age);
    for (const KindChange &C : Got.Changes)
      take(C);
    MissedSince.reset();
    Cache.advance(Got.Revision);
    Hooks.Advanced();
    if (Got.Changes.empty())
      return watch();
    T.after(Options.Pause, guarded([this] { watch(); }));
  }

  void take(const KindChange &C) {
    StoreRevision &Known = Seen[C.Object.Name];
    if (C.Object.Revision < Known)
      return;
    Known = C.Object.Revision;
    if (Seen.size() > MaxRemembered)
      Seen.clear();
    const KindObject *Held = Cache.find(C.Object.Name);
    if (Held && !C.Removed && Recovery.outlives(*Held, &C.Object))
      return;
    Cache.apply(C);
    Recovery.changed(C, T.now());
    Hooks.Changed(C);
  }

  void answered(Duration Age) {
    HeardAt = std::max(HeardAt, T.now() - Age);
    Wait.reset();
    if (std::exchange(Failing, false))
      Hooks.Back();
  }

  template <typename F> void failed(const Error &Why, F Next) {
    mayMiss();
    if (!std::exchange(Failing, true))
      Hooks.Away(Why);
    again(std::move(Next));
  }

  template <typename F> void again(F Next) {
    T.after(Wait.next(Rng), guarded(std::move(Next)));
  }

  Store &S;
  Time &T;
  std::string Kind;
  KindWatchOptions Options;
  Random &Rng;
  KindWatchHooks Hooks;
  Backoff Wait;
  std::vector<KindObject> Pages;
  bool FirstPage = true;
  bool MayResume = false; ///< The revision read is still good for a watch.
  StoreRevision ListRevision;
  Duration ListAge{};
  RestoreRecovery Recovery;
  KindCache Cache;
  std::uint64_t Call = 0; ///< Grows with renew().
  std::map<std::string, StoreRevision> Seen;
  bool Listed = false;
  bool Failing = false;
  Instant HeardAt{};
  std::optional<Instant> MissedSince; ///< No call was open for all the time.
  std::shared_ptr<char> Alive = std::make_shared<char>();
};

} // namespace shallot

#endif // SHALLOTSHIFT_STORE_KINDWATCH_H
