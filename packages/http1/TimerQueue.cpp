//===- TimerQueue.cpp -----------------------------------------------------===//
#include "http1/TimerQueue.h"

#include <chrono>

namespace shallot {

TimerQueue::TimerQueue(EventLoop &Loop) : Loop(Loop), Timer(Loop.context()) {}

TimerQueue::Key TimerQueue::at(Instant When, std::function<void()> Fn) {
  Key Id = ++Last;
  ByKey.emplace(Id, Due.emplace(When, Entry{Id, std::move(Fn)}));
  arm();
  return Id;
}

TimerQueue::Key TimerQueue::after(Duration Wait, std::function<void()> Fn) {
  return at(now() + Wait, std::move(Fn));
}

void TimerQueue::cancel(Key &K) {
  auto Found = ByKey.find(K);
  K = 0;
  if (Found == ByKey.end())
    return;
  Due.erase(Found->second);
  ByKey.erase(Found);
}

void TimerQueue::arm() {
  if (Due.empty() || Due.begin()->first >= ArmedFor)
    return;
  ArmedFor = Due.begin()->first;
  Timer.expires_at(
      std::chrono::steady_clock::time_point(ArmedFor.time_since_epoch()));
  Timer.async_wait(
      [this, Guard = std::weak_ptr(Alive)](const asio::error_code &Failed) {
        if (!Failed && !Guard.expired())
          fire();
      });
}

void TimerQueue::fire() {
  BusyTime Busy(Loop);
  ArmedFor = Instant::max();
  Instant Now = now();
  std::weak_ptr<char> Guard = Alive;
  while (!Due.empty() && Due.begin()->first <= Now) {
    Entry E = std::move(Due.begin()->second);
    Due.erase(Due.begin());
    ByKey.erase(E.Id);
    contain("timer", {}, E.Fn);
    if (Guard.expired())
      return;
  }
  arm();
}

} // namespace shallot
