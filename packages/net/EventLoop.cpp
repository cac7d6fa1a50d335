//===- EventLoop.cpp ------------------------------------------------------===//
#include "net/EventLoop.h"

#include "net/Containment.h"

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <utility>

namespace shallot {

namespace {

/// One thread runs the loop; others only post to it.
constexpr int LoopThreads = 1;

} // namespace

struct TimerHandle::State {
  State(asio::io_context &Context, std::function<void()> Fn)
      : Timer(Context), Fn(std::move(Fn)) {}

  asio::steady_timer Timer;
  std::function<void()> Fn; ///< Empty once it has run or was cancelled.
};

void TimerHandle::cancel() {
  if (!S)
    return;
  S->Fn = nullptr;
  S->Timer.cancel();
  S.reset();
}

bool TimerHandle::pending() const { return S && S->Fn; }

struct EventLoop::Impl {
  asio::io_context Context{LoopThreads};
  asio::signal_set Signals{Context};
};

EventLoop::EventLoop() : I(std::make_unique<Impl>()) {}
EventLoop::~EventLoop() = default;

asio::io_context &EventLoop::context() { return I->Context; }

Instant EventLoop::now() const {
  return Instant(std::chrono::steady_clock::now().time_since_epoch());
}

WallTime EventLoop::wallTime() const {
  auto Since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Millis>(Since).count();
}

void EventLoop::post(std::function<void()> Fn) {
  asio::post(I->Context,
             [Fn = std::move(Fn)] { contain("posted call", {}, Fn); });
}

TimerHandle EventLoop::after(Duration After, std::function<void()> Fn) {
  TimerHandle Handle;
  Handle.S = std::make_shared<TimerHandle::State>(I->Context, std::move(Fn));
  Handle.S->Timer.expires_after(After);
  Handle.S->Timer.async_wait([S = Handle.S](const asio::error_code &) {
    // Cancelled, even when the timer had already expired and was queued.
    if (!S->Fn)
      return;
    std::function<void()> Fn = std::exchange(S->Fn, nullptr);
    contain("timer", {}, Fn);
  });
  return Handle;
}

void EventLoop::onStopSignal(std::function<void()> Fn) {
  asio::error_code Ignored; // Already added when called twice.
  I->Signals.add(SIGTERM, Ignored);
  I->Signals.add(SIGINT, Ignored);
  awaitStopSignal(std::move(Fn));
}

void EventLoop::awaitStopSignal(std::function<void()> Fn) {
  I->Signals.async_wait(
      [this, Fn = std::move(Fn)](const asio::error_code &Failed, int) {
        if (Failed)
          return;
        awaitStopSignal(Fn);
        contain("stop signal", {}, Fn);
      });
}

void EventLoop::run() {
  auto Guard = asio::make_work_guard(I->Context);
  I->Context.restart();
  // Handlers that set themselves up again contain their faults themselves; this
  // is for all others.
  while (!contain("event loop", {}, [this] { I->Context.run(); })) {
  }
}

void EventLoop::stop() { I->Context.stop(); }

} // namespace shallot
