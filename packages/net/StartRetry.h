//===- StartRetry.h - What a start waits for --------------------*- C++ -*-===//
//
// The failure: what a daemon needs at its start is away for a moment. The
// process before it still holds an address, or the settings file is being
// replaced. A daemon that ends then leaves it to others to start it again.
//
//   away                            served meanwhile    at the end of the wait
//   settings: absent or cut short   nothing             start fails
//   addresses without which the     nothing             start fails
//   daemon can serve nobody
//   any other address               all but its own     no end
//   store, seeds, peers             503, "not ready"    no end
//   a setting with a wrong value                        start fails at once
//
// The first two are one StartRetry with StartWait, each other address is one
// without a limit. The store and the peers are waited for by those who use
// them.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_NET_STARTRETRY_H
#define SHALLOTSHIFT_NET_STARTRETRY_H

#include "net/EventLoop.h"

#include <functional>
#include <optional>
#include <string>

namespace shallot {

/// An address that a process held, or a file that is written, is there again
/// within seconds; what is still away after this time needs an operator.
inline constexpr Duration StartWait = Seconds(60);

class StartRetry {
public:
  using BeginFn = std::function<Result<void>()>;
  using FailedFn = std::function<void(const Error &)>;

  /// \p What names in the log what \p Begin opens.
  StartRetry(EventLoop &Loop, std::string What, BeginFn Begin);
  ~StartRetry();
  StartRetry(const StartRetry &) = delete;
  StartRetry &operator=(const StartRetry &) = delete;

  /// Calls \p Failed once Begin has failed for \p Limit, or with an error that
  /// no wait can mend.
  void limitTo(Duration Limit, FailedFn Failed);
  /// Calls Begin now, and again until it succeeds.
  void start();
  /// Stops trying.
  void cancel();
  /// Begin has succeeded.
  bool done() const { return Done; }

private:
  void attemptOnce();
  void failed(const Error &Why);
  void logWait(const Error &Why);

  EventLoop &Loop;
  std::string What;
  BeginFn Begin;
  FailedFn Failed;
  std::optional<Duration> Limit;
  TimerHandle Timer;
  Instant Since;
  std::optional<Instant> LoggedAt; ///< Not set before the first failure.
  bool Done = false;
};

} // namespace shallot

#endif // SHALLOTSHIFT_NET_STARTRETRY_H
