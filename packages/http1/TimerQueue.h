//===- TimerQueue.h - Many short timers on one Asio timer -------*- C++ -*-===//
//
// Every request has a few timers of milliseconds, and nearly all are cancelled
// before they fire. An Asio timer each would set the kernel's timer anew at
// each of them; here the kernel's timer moves only when something is due sooner
// than it is set for, and one that fires too early is set again.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_HTTP1_TIMERQUEUE_H
#define SHALLOTSHIFT_HTTP1_TIMERQUEUE_H

#include "shallotshift/net.h"

#include <asio/steady_timer.hpp>
#include <functional>
#include <map>

namespace shallot {

class TimerQueue {
public:
  /// Names one pending timer; 0 names none.
  using Key = std::uint64_t;

  explicit TimerQueue(EventLoop &Loop);
  TimerQueue(const TimerQueue &) = delete;
  TimerQueue &operator=(const TimerQueue &) = delete;

  Key at(Instant When, std::function<void()> Fn);
  Key after(Duration Wait, std::function<void()> Fn);
  /// Sets \p K to 0.
  void cancel(Key &K);
  Instant now() const { return Loop.now(); }
  std::size_t size() const { return ByKey.size(); }

private:
  struct Entry {
    Key Id = 0;
    std::function<void()> Fn;
  };
  using Queue = std::multimap<Instant, Entry>;

  void arm();
  void fire();

  EventLoop &Loop;
  asio::steady_timer Timer;
  Instant ArmedFor = Instant::max();
  Queue Due;
  std::map<Key, Queue::iterator> ByKey;
  Key Last = 0;
  std::shared_ptr<char> Alive = std::make_shared<char>();
};

} // namespace shallot

#endif // SHALLOTSHIFT_HTTP1_TIMERQUEUE_H
