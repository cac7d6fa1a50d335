//===- ConcurrencyLimit.h - Adaptive concurrency limit ----------*- C++ -*-===//
//
// Limits the queries that one entry daemon keeps in flight, by additive
// increase and multiplicative decrease (AIMD). The signal is the queueing time
// measured at the slots' holders and their refusals, not latency: one straggler
// in a fan-out of 62 raises latency without any overload, whereas a mean wait
// for slots above TargetQueued always means overload (compared in
// docs/design/limits.md).
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_LIMITS_CONCURRENCYLIMIT_H
#define SHALLOTSHIFT_LIMITS_CONCURRENCYLIMIT_H

#include "limits/ClippedMean.h"

namespace shallot {

/// The load signal of one finished query.
struct LoadSample {
  Duration Latency{0}; ///< From start to end.
  /// Mean wait of its sub-requests for a slot (SubReply::Queued).
  Duration Queued{0};
  /// A sub-request was refused for load, or the deadline passed.
  bool Overloaded = false;
  /// Sends beyond the first of each part, as a fraction of the parts.
  double ExtraSends = 0;
};

struct ConcurrencyLimitOptions {
  double Initial = 16;
  double Min = 2;
  double Max = 4096;
  /// Mean wait for a slot above which the fleet counts as overloaded. Not zero:
  /// with a fan-out over few slots some sub-requests always wait. Admission
  /// derives it from the preset's deadlines.
  Duration TargetQueued = Millis(20);
  /// Fraction of overloaded queries in a window above which the fleet counts as
  /// overloaded.
  double TargetOverloaded = 0.02;
  /// At most one step is made in this time and, up to MaxWindow, in two typical
  /// latencies.
  /// Queries that end sooner started before the last step and do not reflect
  /// it.
  Duration Window = Millis(50);
  /// Bound of the two typical latencies in Window. A higher one would keep a
  /// limit that is far too high for many seconds.
  Duration MaxWindow = Millis(250);
  double Increase = 1;   ///< Additive step up.
  double Decrease = 0.9; ///< Factor of a step down.
  double FirstIncrease =
      1.5; ///< Factor of a step up until the first step down.
};

/// Minimum samples in a window, which stays open until it has them; fewer are
/// not significant.
inline constexpr unsigned MinLimitSamples = 8;

class ConcurrencyLimit {
public:
  explicit ConcurrencyLimit(ConcurrencyLimitOptions O = {})
      : Opts(O), Current(O.Initial) {}

  /// Records that a query ended at \p Now. \p InFlight queries, including this
  /// one, were in flight.
  void observe(const LoadSample &S, std::size_t InFlight, Instant Now);

  void setTargetQueued(Duration D) { Opts.TargetQueued = D; }

  /// The maximum number of queries in flight.
  std::size_t limit() const { return static_cast<std::size_t>(Current); }

  /// Smoothed latency, robust against single stragglers; 0 before the first
  /// sample.
  Duration typicalLatency() const { return Typical.value(); }

private:
  bool overloaded() const;
  void adjust();
  void openWindow(Instant Now);

  ConcurrencyLimitOptions Opts;
  double Current;
  internal::ClippedMean Typical{Duration{0}, 16};
  bool SteppedDown = false;
  bool WindowOpen = false;
  Instant WindowStart;
  unsigned Samples = 0;
  unsigned Overloads = 0;
  Duration QueuedSum{0};
  std::size_t MaxInFlight = 0;
};

} // namespace shallot

#endif // SHALLOTSHIFT_LIMITS_CONCURRENCYLIMIT_H
