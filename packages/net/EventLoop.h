//===- EventLoop.h - One thread, one Asio loop, one clock -------*- C++ -*-===//
#ifndef SHALLOTSHIFT_NET_EVENTLOOP_H
#define SHALLOTSHIFT_NET_EVENTLOOP_H

#include "shallotshift/base.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

namespace shallot {

/// A pending timer; destroying or cancelling it stops the callback for good.
class TimerHandle {
public:
  TimerHandle() = default;
  void cancel();
  bool pending() const;

private:
  friend class EventLoop;
  struct State;
  std::shared_ptr<State> S;
};

class EventLoop {
public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  asio::io_context &context();

  /// Monotonic time of this host.
  Instant now() const;
  WallTime wallTime() const;

  /// Calls \p Fn on the loop's thread; may be called from any thread.
  void post(std::function<void()> Fn);
  /// Calls \p Fn once after \p After. The timer lives until it has run or its
  /// handle is cancelled; dropping the handle does not cancel it.
  TimerHandle after(Duration After, std::function<void()> Fn);
  /// Calls \p Fn on each SIGTERM, SIGINT and SIGQUIT. Those that came before
  /// wait in the process (ProcessGuard.h).
  void onStopSignal(std::function<void()> Fn);
  /// Calls \p Fn on each SIGHUP.
  void onReloadSignal(std::function<void()> Fn);

  /// Time that the serving of connections and timers has taken so far, waits
  /// for the processor included: over the time that passed, how busy this host
  /// is. Measured by BusyTime; what the kernel does between handlers is not in
  /// it.
  Duration busy() const { return Busy; }

  /// Runs until stop(). Faults of handlers are contained (Containment.h).
  void run();
  /// Ends run(); may be called from any thread.
  void stop();

private:
  friend class BusyTime;
  struct Impl;

  void listenForSignals();

  std::unique_ptr<Impl> I;
  Duration Busy{};
};

/// Stands in a handler of the loop that does a request's work, and adds what it
/// takes to EventLoop::busy(). Handlers do not nest.
class BusyTime {
public:
  explicit BusyTime(EventLoop &Loop) : Loop(Loop), Since(Loop.now()) {}
  ~BusyTime() { Loop.Busy += Loop.now() - Since; }
  BusyTime(const BusyTime &) = delete;
  BusyTime &operator=(const BusyTime &) = delete;

private:
  EventLoop &Loop;
  Instant Since;
};

} // namespace shallot

#endif // SHALLOTSHIFT_NET_EVENTLOOP_H
