//===- ChangeWriter.h - Writing one operator's change -----------*- C++ -*-===//
//
// Optimistic concurrency over the store: read the configuration, edit it, check
// it as a whole, write the new blobs, swap the head if it is still the one that
// was read.
//
// The three ways in which this could go wrong, and what keeps it right:
//
//  - The reply to the swap is lost. The head is read again: it remembers the
//    last changes by id. Until the head has moved past the version that the
//    swap asked for, the lost swap may still arrive; another try asks for the
//    same version with the same content, so at most one of the two can take
//    effect, and once the head has moved the late one can only fail.
//  - Others change something else meanwhile: the edit is done again on top.
//  - Others change the same object meanwhile: LostRace, nothing is written.
//
// A writer that stops between blobs and head leaves blobs that nobody names:
// the configuration is as before, and the same change can be made again.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_STORE_CHANGEWRITER_H
#define SHALLOTSHIFT_STORE_CHANGEWRITER_H

#include "store/Backoff.h"
#include "store/ChangeRules.h"
#include "store/ConfigReader.h"

#include <deque>
#include <fmt/format.h>
#include <optional>

namespace shallot {

struct ChangeLimits {
  /// After this no further call is made. An operator waits for it.
  Duration Time = Seconds(15);
  /// Operators are few; eight changes that come first one after the other mean
  /// a program that writes in a loop.
  unsigned MaxRebases = 8;
  Duration FirstBackoff = Millis(50);
  Duration MostBackoff = Seconds(2);
};

/// Blobs that are written at a time.
inline constexpr std::size_t MaxBlobWrites = 8;

struct ChangeOutcome {
  /// The configuration that has the change; others' later ones may be in it.
  ConfigPtr Now;
  /// The configuration that the operator's change was made on; null: none.
  ConfigPtr Before;
  /// The generation that brought the change; the current one if nothing
  /// had to be changed.
  std::uint64_t Generation = 0;
  bool NothingToDo = false;
  unsigned Rebases = 0;
  /// The swap's reply was lost and the head said that it had landed.
  bool FoundAfterLoss = false;
};

namespace internal {

template <ObjectStore Store, TimerSource Time>
class ChangeRun : public std::enable_shared_from_this<ChangeRun<Store, Time>> {
public:
  ChangeRun(Store &S, Time &T, std::uint64_t Seed, ChangeLimits Limits,
            ChangeRequest Request, StoreCallback<ChangeOutcome> OnDone)
      : S(S), T(T), Rng(Seed), Limits(Limits), Request(std::move(Request)),
        OnDone(std::move(OnDone)),
        Wait(Limits.FirstBackoff, Limits.MostBackoff),
        Deadline(T.now() + Limits.Time) {}

  void readHead() {
    readConfig(
        S, Current.Config,
        [Self = this->shared_from_this()](Attempt<StoredConfig> Read) {
          Self->onRead(std::move(Read));
        },
        Cache);
  }

private:
  using Step = void (ChangeRun::*)();

  void onRead(Attempt<StoredConfig> Read) {
    if (!Read)
      return retryOrFail(Read.error(), &ChangeRun::readHead);
    bool First = !Started;
    Started = true;
    std::uint64_t Before = Current.HeadVersion;
    if (First) {
      Current = std::move(*Read);
      Base = Current.Config;
      return editAndWrite();
    }
    afterSwap(std::move(*Read), Before);
  }

  /// The head was read again because a swap failed or its reply was lost.
  void afterSwap(StoredConfig Read, std::uint64_t TriedVersion) {
    Landed Outcome = Read.Config ? landed(Read.Config->head(), Request.What.Id,
                                          Prepared.After->generation())
                                 : Landed::No;
    if (Outcome == Landed::Yes)
      return succeed(Read.Config,
                     Read.Config->head().find(Request.What.Id)->Generation,
                     SwapUnknown);
    if (Outcome == Landed::Unknown && SwapUnknown)
      return failUnknown();
    // An older version than the one tried is a lagging reply of the platform:
    // taking it for a moved head would call a landed change "not applied".
    if (Read.HeadVersion <= TriedVersion)
      return later(&ChangeRun::swapHead);
    // The head has moved without our change, so a swap that is still under way
    // can only fail: from here on the outcome is certain again.
    SwapUnknown = false;
    Current = std::move(Read);
    rebase();
  }

  void rebase() {
    if (auto Lost = lostRaceNow())
      return finish(*Lost);
    if (++Outcome.Rebases <= Limits.MaxRebases)
      return editAndWrite();
    finish(Error{ResultCode::PlatformConflict,
                 fmt::format("not applied: the configuration changed {} times "
                             "while this change was made; try again",
                             Outcome.Rebases)});
  }

  std::optional<Error> lostRaceNow() const {
    if (Base)
      return lostRace(Touched, *Base, *Current.Config);
    return Error{ResultCode::LostRace,
                 fmt::format("not applied: there was no configuration when "
                             "you looked, now there is generation {}",
                             Current.Config->generation())};
  }

  void editAndWrite() {
    Draft Old = Current.Config ? draftOf(*Current.Config) : Draft{};
    auto Edited = attempt([&] { return Request.Edit(Old); });
    if (!Edited)
      return finish(Edited.error());
    if (Current.Config && *Edited == Old) {
      Outcome.NothingToDo = true;
      return succeed(Current.Config, Current.Config->generation(), false);
    }
    auto Ready =
        attempt([&] { return prepare(Current.Config, *Edited, Request.What); });
    if (!Ready)
      return finish(Ready.error());
    Touched = changedObjects(Old, *Edited);
    Touched.insert(Request.ReliesOn.begin(), Request.ReliesOn.end());
    Prepared = std::move(*Ready);
    ToWrite.assign(Prepared.NewBlobs.begin(), Prepared.NewBlobs.end());
    writeBlobs();
  }

  void writeBlobs() {
    BlobError.reset();
    if (ToWrite.empty())
      return swapHead();
    while (!ToWrite.empty() && BlobsInFlight < MaxBlobWrites) {
      auto Blob = std::move(ToWrite.front());
      ToWrite.pop_front();
      ++BlobsInFlight;
      std::string Path = std::string(BlobPrefix) + Blob.first;
      std::string Value = Blob.second;
      S.write(std::move(Path), std::move(Value), Precondition::ifAbsent(),
              [Self = this->shared_from_this(), Blob = std::move(Blob)](
                  const Attempt<std::uint64_t> &Written) mutable {
                Self->onBlob(std::move(Blob), Written);
              });
    }
  }

  void onBlob(std::pair<std::string, std::string> Blob,
              const Attempt<std::uint64_t> &Written) {
    --BlobsInFlight;
    // A conflict says that the blob is there, from an earlier try or another
    // change. Its name is its content, so it is the same one.
    bool There =
        Written || Written.error().Code == ResultCode::PlatformConflict;
    if (!There) {
      BlobError = Written.error();
      ToWrite.push_back(std::move(Blob));
    }
    if (BlobError && BlobsInFlight == 0)
      return retryOrFail(*BlobError, &ChangeRun::writeBlobs);
    if (BlobError)
      return;
    if (!ToWrite.empty())
      return writeBlobs();
    if (BlobsInFlight == 0)
      swapHead();
  }

  void swapHead() {
    Precondition If = Current.Config
                          ? Precondition::ifVersion(Current.HeadVersion)
                          : Precondition::ifAbsent();
    S.write(
        std::string(HeadPath), Prepared.HeadJson, If,
        [Self = this->shared_from_this()](
            const Attempt<std::uint64_t> &Written) { Self->onSwap(Written); });
  }

  void onSwap(const Attempt<std::uint64_t> &Written) {
    if (Written)
      return succeed(Prepared.After, Prepared.After->generation(), false);
    ResultCode Code = Written.error().Code;
    if (Code == ResultCode::PlatformConflict)
      return readHead();
    if (mayHaveTakenEffect(Code)) {
      SwapUnknown = true;
      return retryOrFail(Written.error(), &ChangeRun::readHead);
    }
    retryOrFail(Written.error(), &ChangeRun::swapHead);
  }

  void retryOrFail(const Error &Why, Step Next) {
    LastError = Why;
    if (!isTransient(Why.Code) && !SwapUnknown)
      return finish(Why);
    later(Next);
  }

  /// Goes on with \p Next after a wait, unless the time is over.
  void later(Step Next) {
    Duration Pause = Wait.next(Rng);
    if (T.now() + Pause >= Deadline)
      return giveUp();
    T.after(Pause,
            [Self = this->shared_from_this(), Next] { (Self.get()->*Next)(); });
  }

  void giveUp() {
    if (SwapUnknown)
      return failUnknown();
    finish(Error{LastError.Code,
                 fmt::format("not applied, the configuration is as it was: {}",
                             LastError.Detail)});
  }

  void failUnknown() {
    const std::string &Id = Request.What.Id.str();
    finish(Error{ResultCode::ChangeUnknown,
                 fmt::format("change {} may or may not have landed ({}); ask "
                             "again with `shallotctl change {}` before you "
                             "make it anew",
                             Id, LastError.Detail, Id)});
  }

  void succeed(ConfigPtr Now, std::uint64_t Generation, bool AfterLoss) {
    Outcome.Now = std::move(Now);
    Outcome.Before = Current.Config;
    Outcome.Generation = Generation;
    Outcome.FoundAfterLoss = AfterLoss;
    finish(Outcome);
  }

  void finish(Attempt<ChangeOutcome> End) {
    std::exchange(OnDone, nullptr)(std::move(End));
  }

  Store &S;
  Time &T;
  Random Rng;
  ChangeLimits Limits;
  ChangeRequest Request;
  StoreCallback<ChangeOutcome> OnDone;
  Backoff Wait;
  Instant Deadline;

  std::shared_ptr<BlobCache> Cache = std::make_shared<BlobCache>();
  bool Started = false;
  ConfigPtr Base;       ///< What the operator's change was begun on.
  StoredConfig Current; ///< What it is being put on top of.
  std::set<std::string> Touched;
  PreparedChange Prepared;
  std::deque<std::pair<std::string, std::string>> ToWrite;
  std::size_t BlobsInFlight = 0;
  std::optional<Error> BlobError;
  /// A swap was sent whose effect is not known.
  bool SwapUnknown = false;
  Error LastError;
  ChangeOutcome Outcome;
};

} // namespace internal

/// Makes the change in \p S; store and clock must outlive it. Fails with what
/// the edit and the checks say, LostRace, ChangeUnknown, or the store's error
/// with the promise that nothing was applied.
template <ObjectStore Store, TimerSource Time>
void writeChange(Store &S, Time &T, std::uint64_t Seed, ChangeLimits Limits,
                 ChangeRequest Request, StoreCallback<ChangeOutcome> OnDone) {
  std::make_shared<internal::ChangeRun<Store, Time>>(
      S, T, Seed, Limits, std::move(Request), std::move(OnDone))
      ->readHead();
}

} // namespace shallot

#endif // SHALLOTSHIFT_STORE_CHANGEWRITER_H
