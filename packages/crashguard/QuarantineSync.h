//===- QuarantineSync.h - Shares quarantine records in a store --*- C++ -*-===//
//
// Writes a daemon's evidence to the store, from which every daemon reads it,
// and requests trials from the store. The store survives the simultaneous loss
// of all hosts, and its conditional writes let daemons agree without knowing of
// each other.
//
// Evidence is written one record at a time, trials are written without waiting
// for it, and both at a bounded rate: a flood of distinct requests that crash
// replicas costs the fleet FleetWritesPerSecond. A failed write of evidence is
// retried; a trial that cannot be written at once is refused, because a caller
// waits for it.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_CRASHGUARD_QUARANTINESYNC_H
#define SHALLOTSHIFT_CRASHGUARD_QUARANTINESYNC_H

#include "crashguard/QuarantineGate.h"
#include "shallotshift/store.h"

#include <algorithm>
#include <memory>
#include <string>

namespace shallot {

/// Write rate of all daemons together: a tenth of the capacity of the smallest
/// stores.
inline constexpr double FleetWritesPerSecond = 40;
/// Bounds of one daemon's write rate, whatever the size of the fleet. Each
/// written record is sent to all daemons, so even in a fleet of thousands it is
/// the fleet's rate that must stay bounded. Above 2,000 daemons the minimum
/// lets the fleet exceed FleetWritesPerSecond.
inline constexpr double MinDaemonWritesPerSecond = 0.02;
inline constexpr double MaxDaemonWritesPerSecond = 2;
/// Burst of writes of one daemon; a request that crashes replicas takes three
/// or four.
inline constexpr double WriteBurst = 12;

/// Interval at which rate-limited writes are retried and expired evidence is
/// removed.
inline constexpr Duration QuarantineSyncInterval = Millis(500);

template <KindWriter Store, TimerSource Time> class QuarantineSync {
public:
  /// \p Kind is the kind of the records' objects in the store.
  QuarantineSync(Time &T, Store &S, std::string Kind, Quarantine &Table,
                 Random &Rng)
      : T(T), S(S), Kind(std::move(Kind)), Table(Table), Rng(Rng),
        RetryBackoff(FirstBackoff, MaxBackoff),
        Writes(MaxDaemonWritesPerSecond, WriteBurst, T.now()) {}
  QuarantineSync(const QuarantineSync &) = delete;
  QuarantineSync &operator=(const QuarantineSync &) = delete;

  /// Sets the number of daemons that share the store.
  void setMembers(std::size_t Count) {
    double Share =
        FleetWritesPerSecond / double(std::max<std::size_t>(1, Count));
    Writes.setRate(
        std::clamp(Share, MinDaemonWritesPerSecond, MaxDaemonWritesPerSecond),
        T.now());
  }

  /// Makes the pending writes one after another while the rate allows it. Has
  /// no effect while one is in progress or backing off.
  void pump() {
    if (Busy)
      return;
    std::optional<QuarantineWrite> W = Table.nextWrite();
    if (!W || !Writes.take(T.now()))
      return;
    Busy = true;
    write(*W, [this](WriteOutcome Outcome) {
      Busy = false;
      if (Outcome != WriteOutcome::Failed) {
        RetryBackoff.reset();
        return pump();
      }
      Busy = true; // For the backoff time.
      T.after(RetryBackoff.next(Rng), guarded([this] {
                Busy = false;
                pump();
              }));
    });
  }

  /// Counts a trial of \p R in the store. \p Done is called once, never before
  /// this returns. Unless the store confirms the write, the trial is refused.
  void requestTrial(const RequestFingerprint &R,
                    QuarantineGate::TrialCallback Done) {
    tryTrial(R, MaxTrialTries, std::move(Done));
  }

  /// Must be called every QuarantineSyncInterval. \p Prunes: this daemon
  /// removes expired evidence from the store and renews inconclusive trials
  /// there.
  void tick(WallTime Now, bool Prunes) {
    Table.expire(Now, Prunes);
    pump();
  }

  /// Parses a record of the store; empty if it is malformed.
  static std::optional<SharedRecord> readShared(const KindObject &O) {
    auto R = attempt([&] { return readRecord(O.Name, O.Content); });
    if (R)
      return SharedRecord{std::move(*R), O.Revision};
    logEvent(LogLevel::Warn, "quarantine_record_unreadable",
             {{"object", O.Name.substr(0, MaxLoggedNameBytes)},
              {"code", codeLabel(R.error().Code)},
              {"why", R.error().Detail}});
    return std::nullopt;
  }

private:
  static constexpr Duration FirstBackoff = Millis(150);
  static constexpr Duration MaxBackoff = Millis(1500);
  static constexpr std::size_t MaxLoggedNameBytes = 80;
  /// Attempts at the write of a trial that conflicts with other daemons'
  /// writes.
  static constexpr int MaxTrialTries = 3;

  template <typename F> auto guarded(F Fn) {
    return [Weak = std::weak_ptr(Alive), Fn = std::move(Fn)](auto &&...Args) {
      if (!Weak.expired())
        Fn(std::forward<decltype(Args)>(Args)...);
    };
  }

  /// The outcome of a write. The store's reply, if any, is in the table by
  /// then.
  enum class WriteOutcome : std::uint8_t {
    Applied,
    Conflict, ///< The record's revision was not the expected one.
    Failed,   ///< No reply; the write may have taken effect.
  };

  void write(const QuarantineWrite &W, std::function<void(WriteOutcome)> Done) {
    Table.writeStarted(W.Record.Request);
    auto Written = guarded(
        [this, W, Done = std::move(Done)](Attempt<KindWriteReply> Reply) {
          if (Reply)
            applyReply(W, *Reply);
          else
            logFailed(W, Reply.error());
          Table.writeEnded(W.Record.Request);
          Done(!Reply           ? WriteOutcome::Failed
               : Reply->Applied ? WriteOutcome::Applied
                                : WriteOutcome::Conflict);
        });
    const std::string &Name = W.Record.Request.str();
    if (W.Removes)
      S.removeObject(Kind, Name, W.Revision, std::move(Written));
    else
      S.writeObject(Kind, Name, recordContent(W.Record), W.Revision,
                    std::move(Written));
  }

  /// Updates the table from the store's reply, which holds the current object
  /// whether the write was applied or conflicted.
  void applyReply(const QuarantineWrite &W, const KindWriteReply &Reply) {
    logWritten(W, Reply.Applied);
    if (W.Removes && Reply.Applied)
      return Table.remove(W.Record.Request, W.Revision);
    if (!Reply.Now)
      return Table.remove(W.Record.Request, W.Revision);
    // A malformed record counts as empty and is replaced by the next write.
    std::optional<SharedRecord> Stored = readShared(*Reply.Now);
    Table.put(Stored ? std::move(*Stored)
                     : SharedRecord{QuarantineRecord{W.Record.Request},
                                    Reply.Now->Revision});
  }

  void tryTrial(const RequestFingerprint &R, int Tries,
                QuarantineGate::TrialCallback Done) {
    std::optional<QuarantineWrite> W = Table.trialWrite(R);
    if (Tries == 0 || !W || !Writes.take(T.now())) {
      T.after(Duration(0), guarded([Done] { Done(false); }));
      return;
    }
    write(*W, [this, R, Tries, Done = std::move(Done)](WriteOutcome Outcome) {
      if (Outcome == WriteOutcome::Conflict)
        tryTrial(R, Tries - 1, Done);
      else
        Done(Outcome == WriteOutcome::Applied);
    });
  }

  static void logWritten(const QuarantineWrite &W, bool Applied) {
    logEvent(LogLevel::Info, "quarantine_record_written",
             {{"fingerprint", W.Record.Request.str()},
              {"removed", W.Removes ? "yes" : "no"},
              {"standing",
               std::string(quarantineStateName(W.Record.quarantineState()))},
              {"trials", std::to_string(W.Record.Trials)},
              {"revision", W.Revision.str()},
              {"applied", Applied ? "yes" : "no"}});
  }

  static void logFailed(const QuarantineWrite &W, const Error &Why) {
    logEvent(LogLevel::Warn, "quarantine_record_not_written",
             {{"fingerprint", W.Record.Request.str()},
              {"code", codeLabel(Why.Code)},
              {"why", Why.Detail}});
  }

  Time &T;
  Store &S;
  std::string Kind;
  Quarantine &Table;
  Random &Rng;
  Backoff RetryBackoff;
  bool Busy = false; ///< A write is in progress or backing off.
  TokenBucket Writes;
  std::shared_ptr<char> Alive = std::make_shared<char>();
};

} // namespace shallot

#endif // SHALLOTSHIFT_CRASHGUARD_QUARANTINESYNC_H
