//===- QuarantineSync.h - What the fleet knows of crashes -------*- C++ -*-===//
//
// Writes a daemon's evidence into the store, where every daemon reads it, and
// asks the store for trials. The store is what survives the loss of all hosts
// at once, and its conditional writes are what daemons that have not heard of
// each other agree by.
//
// One write at a time, and a bounded number of them: a flood of distinct
// requests that crash replicas costs the fleet FleetWritesPerSecond. What could
// not be written is tried again; a trial that could not be written at once is
// refused, since whoever waits for it is a caller.
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

/// Of all daemons together: a tenth of what the smallest stores take.
inline constexpr double FleetWritesPerSecond = 40;
/// Of one daemon, whatever the size of the fleet. Each record that is written
/// goes to all daemons, so the fleet's rate and not a daemon's has to be
/// bounded in a fleet of thousands too.
inline constexpr double MinWritesPerSecond = 0.02;
inline constexpr double MaxWritesPerSecond = 2;
/// Writes that one daemon may make at once: a request that crashes replicas
/// takes three or four.
inline constexpr double WriteBurst = 12;

/// How often writes that found no token, and suspicions that are too old, are
/// looked at.
inline constexpr Duration QuarantineSyncInterval = Millis(500);

template <KindWriter Store, TimerSource Time> class QuarantineSync {
public:
  /// \p Kind is that of the records in the store.
  QuarantineSync(Time &T, Store &S, std::string Kind, Quarantine &Table,
                 Random &Rng)
      : T(T), S(S), Kind(std::move(Kind)), Table(Table), Rng(Rng),
        Wait(FirstBackoff, MostBackoff),
        Writes(MaxWritesPerSecond, WriteBurst, T.now()) {}
  QuarantineSync(const QuarantineSync &) = delete;
  QuarantineSync &operator=(const QuarantineSync &) = delete;

  /// Daemons that share the store.
  void setMembers(std::size_t Count) {
    double Share =
        FleetWritesPerSecond / double(std::max<std::size_t>(1, Count));
    Writes.setRate(std::clamp(Share, MinWritesPerSecond, MaxWritesPerSecond),
                   T.now());
  }

  /// Writes what the store lacks, if anything.
  void pump() {
    if (Busy)
      return;
    std::optional<QuarantineWrite> W = Table.nextWrite();
    if (!W || !Writes.take(T.now()))
      return;
    Busy = true;
    write(*W, [this](WriteEnd End) {
      Busy = false;
      if (End != WriteEnd::Failed) {
        Wait.reset();
        return pump();
      }
      Busy = true; // Until the store may answer again.
      T.after(Wait.next(Rng), guarded([this] {
                Busy = false;
                pump();
              }));
    });
  }

  /// Counts a trial of \p R in the store. \p Done is called once, never before
  /// this returns; without a clear answer of the store the trial is refused.
  void requestTrial(const RequestFingerprint &R,
                    QuarantineGate::TrialCallback Done) {
    tryTrial(R, TrialTries, std::move(Done));
  }

  /// To be called every QuarantineSyncInterval. \p Prunes: this daemon removes
  /// old suspicions from the store.
  void tick(WallTime Now, bool Prunes) {
    Table.expire(Now, Prunes);
    pump();
  }

  /// A record as the store has it; nothing when it cannot be read.
  static std::optional<SharedRecord> readShared(const KindObject &O) {
    auto R = attempt([&] { return readRecord(O.Name, O.Content); });
    if (R)
      return SharedRecord{std::move(*R), O.Revision};
    logEvent(LogLevel::Warn, "quarantine_record_unreadable",
             {{"object", O.Name.substr(0, MostLoggedName)},
              {"code", codeLabel(R.error().Code)},
              {"why", R.error().Detail}});
    return std::nullopt;
  }

private:
  static constexpr Duration FirstBackoff = Millis(150);
  static constexpr Duration MostBackoff = Millis(1500);
  static constexpr std::size_t MostLoggedName = 80;
  /// A write that met another daemon's is made anew on top of that.
  static constexpr int TrialTries = 3;

  template <typename F> auto guarded(F Fn) {
    return [Weak = std::weak_ptr(Alive), Fn = std::move(Fn)](auto &&...Args) {
      if (!Weak.expired())
        Fn(std::forward<decltype(Args)>(Args)...);
    };
  }

  /// How a write ended. The table has the store's answer, if there was one.
  enum class WriteEnd : std::uint8_t {
    Applied,
    Met,    ///< The record was another one than the write expected.
    Failed, ///< No answer; it may have taken effect.
  };

  void write(const QuarantineWrite &W, std::function<void(WriteEnd)> Done) {
    Table.writeStarted(W.Record.Request);
    auto Written = guarded(
        [this, W, Done = std::move(Done)](Attempt<KindWriteReply> Reply) {
          if (Reply)
            take(W, *Reply);
          else
            logFailed(W, Reply.error());
          Table.writeEnded(W.Record.Request);
          Done(!Reply           ? WriteEnd::Failed
               : Reply->Applied ? WriteEnd::Applied
                                : WriteEnd::Met);
        });
    const std::string &Name = W.Record.Request.str();
    if (W.Removes)
      S.removeObject(Kind, Name, W.Revision, std::move(Written));
    else
      S.writeObject(Kind, Name, recordContent(W.Record), W.Revision,
                    std::move(Written));
  }

  /// Whether the write took effect or met another one, the store says how the
  /// object is now.
  void take(const QuarantineWrite &W, const KindWriteReply &Reply) {
    logWritten(W, Reply.Applied);
    if (W.Removes && Reply.Applied)
      return Table.remove(W.Record.Request, W.Revision);
    if (!Reply.Now)
      return Table.remove(W.Record.Request, UINT64_MAX);
    // What cannot be read says nothing, and gives way to the next write.
    std::optional<SharedRecord> There = readShared(*Reply.Now);
    Table.put(There ? std::move(*There)
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
    write(*W, [this, R, Tries, Done = std::move(Done)](WriteEnd End) {
      if (End == WriteEnd::Met)
        tryTrial(R, Tries - 1, Done);
      else
        Done(End == WriteEnd::Applied);
    });
  }

  static void logWritten(const QuarantineWrite &W, bool Applied) {
    logEvent(LogLevel::Info, "quarantine_record_written",
             {{"fingerprint", W.Record.Request.str()},
              {"removed", W.Removes ? "yes" : "no"},
              {"standing",
               std::string(quarantineStateName(W.Record.quarantineState()))},
              {"trials", std::to_string(W.Record.Trials)},
              {"revision", std::to_string(W.Revision)},
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
  Backoff Wait;
  bool Busy = false; ///< A write is out, or waits after a failure.
  TokenBucket Writes;
  std::shared_ptr<char> Alive = std::make_shared<char>();
};

} // namespace shallot

#endif // SHALLOTSHIFT_CRASHGUARD_QUARANTINESYNC_H
