//===- FakeKindStore.h - Objects with kinds, in virtual time ----*- C++ -*-===//
//
// A store that keeps revisions and history, with scripted troubles: calls that
// fail, history that is dropped, replies that are behind, a restore from a
// copy.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_TESTS_FAKEKINDSTORE_H
#define SHALLOTSHIFT_TESTS_FAKEKINDSTORE_H

#include "VirtualTime.h"
#include "shallotshift/store.h"

#include <deque>
#include <map>

namespace shallot::test {

class FakeKindStore : public VirtualTime {
public:
  /// What goes wrong with a call; Ok: nothing.
  std::function<ResultCode(bool Watch)> Trouble = [](bool) {
    return ResultCode::Ok;
  };
  std::size_t PageSize = 3;
  unsigned Lists = 0;
  unsigned Watches = 0;
  std::map<std::string, Instant> ChangedAt; ///< The last time, by name.

  void put(const std::string &Name, int Value) {
    ChangedAt[Name] = now();
    KindObject O{Name, next(), Value};
    State.Objects[Name] = O;
    State.History.push_back({O, false});
    wake();
  }
  void remove(const std::string &Name) {
    ChangedAt[Name] = now();
    KindObject O = State.Objects.at(Name);
    O.Revision = next();
    State.Objects.erase(Name);
    State.History.push_back({O, true});
    wake();
  }
  /// Watches from before now fail.
  void forgetHistory() {
    State.History.clear();
    State.HistoryFrom = State.Revision;
  }
  /// Keeps a copy for restoreCopy().
  void takeCopy() { Copy = State; }
  /// Returns to the copy and gives out the numbers since then once more.
  void restoreCopy() {
    State = Copy;
    ++Epoch;
    wake();
  }
  /// The next list shows the copy, as one from a source that is behind does.
  void answerFromCopy() { ListsCopy = true; }
  /// Runs between the pages of a list.
  std::function<void()> BetweenPages;

  void list(const std::string &, const std::string &After,
            const StoreCallback<KindPage> &OnDone) {
    ++Lists;
    ResultCode Bad = Trouble(false);
    if (Bad != ResultCode::Ok)
      return after(Millis(5), [=] { OnDone(Error{Bad, "scripted"}); });
    KindPage P;
    const StoreState &Shown = std::exchange(ListsCopy, false) ? Copy : State;
    P.Revision = {Epoch, Shown.Revision};
    const auto &Objects = Shown.Objects;
    for (auto At = After.empty() ? Objects.begin() : Objects.upper_bound(After);
         At != Objects.end(); ++At) {
      if (P.Objects.size() == PageSize) {
        P.More = true;
        break;
      }
      P.Objects.push_back(inEpoch(At->second));
    }
    after(Millis(5), [=] { OnDone(P); });
    if (BetweenPages)
      BetweenPages();
  }

  void watchKind(const std::string &, StoreRevision Since, Duration Wait,
                 StoreCallback<KindChanges> OnDone) {
    ++Watches;
    std::uint64_t From = Since.Number;
    ResultCode Bad = Trouble(true);
    if (Bad == ResultCode::Ok && lacksHistory(From))
      Bad = ResultCode::PlatformHistoryGone;
    if (Bad != ResultCode::Ok)
      return after(Millis(5), [=] { OnDone(Error{Bad, "scripted"}); });
    auto W = std::make_shared<Waiter>(Waiter{From, std::move(OnDone)});
    Waiting.push_back(W);
    after(Millis(2), [this, W] { answer(*W, false); });
    after(Wait, [this, W] { answer(*W, true); });
  }

private:
  struct Waiter {
    std::uint64_t From = 0;
    StoreCallback<KindChanges> OnDone;
  };

  void wake() {
    for (auto &W : Waiting)
      after(Millis(2), [this, W] { answer(*W, false); });
  }
  void answer(Waiter &W, bool Anyway) {
    if (!W.OnDone)
      return;
    if (lacksHistory(W.From)) {
      // A watch that was waiting when its history went is cut, and told so.
      finish(W, Error{ResultCode::PlatformHistoryGone, "dropped"});
      return;
    }
    KindChanges C;
    C.Revision = current();
    for (const KindChange &One : State.History)
      if (One.Object.Revision.Number > W.From)
        C.Changes.push_back({inEpoch(One.Object), One.Removed});
    if (C.Changes.empty() && !Anyway)
      return;
    finish(W, C);
  }
  void finish(Waiter &W, const Attempt<KindChanges> &Got) {
    auto Done = std::exchange(W.OnDone, nullptr);
    std::erase_if(Waiting, [&](const auto &P) { return P.get() == &W; });
    Done(Got);
  }

  struct StoreState {
    std::map<std::string, KindObject> Objects;
    std::deque<KindChange> History;
    std::uint64_t HistoryFrom = 0;
    std::uint64_t Revision = 10;
  };

  /// \p O as the store shows it: all that it holds is of its epoch.
  KindObject inEpoch(KindObject O) const {
    O.Revision.Epoch = Epoch;
    return O;
  }
  StoreRevision current() const { return {Epoch, State.Revision}; }
  StoreRevision next() { return {Epoch, ++State.Revision}; }
  /// The history since \p From is gone, or has not happened.
  bool lacksHistory(std::uint64_t From) const {
    return From < State.HistoryFrom || From > State.Revision;
  }

  std::uint64_t Epoch = 1;
  StoreState State;
  StoreState Copy;
  bool ListsCopy = false;
  std::vector<std::shared_ptr<Waiter>> Waiting;
};

static_assert(KindStore<FakeKindStore>);

} // namespace shallot::test

#endif // SHALLOTSHIFT_TESTS_FAKEKINDSTORE_H
