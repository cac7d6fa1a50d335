//===- KjThread.h - The thread that runs the KJ event loop ------*- C++ -*-===//
//
// Cap'n Proto RPC lives on KJ's own event loop, everything else on the
// EventLoop. Each stays on its thread and they exchange closures: a queue each
// way, handed over as a whole, with a wake-up only when the queue was empty, so
// that a busy daemon pays for one system call a batch and not one a message.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_PEER_KJTHREAD_H
#define SHALLOTSHIFT_PEER_KJTHREAD_H

#include <kj/async-io.h>
#include <kj/function.h>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace shallot {

class EventLoop;

namespace internal {

using Task = kj::Function<void()>;

/// Closures on their way to the KJ thread. Shared, because a responder may
/// outlive the thread.
class KjQueue {
public:
  KjQueue();
  ~KjQueue();
  KjQueue(const KjQueue &) = delete;
  KjQueue &operator=(const KjQueue &) = delete;

  /// From any thread. Dropped once closed.
  void push(Task T);
  std::vector<Task> take();
  void close();
  int wakeFd() const { return WakeFd; }
  /// Empties the wake-up counter; on the KJ thread.
  void drainWake() const;

private:
  std::mutex M;
  std::vector<Task> Tasks;
  bool Closed = false;
  int WakeFd;
};

/// Closures on their way to the EventLoop's thread.
class LoopQueue : public std::enable_shared_from_this<LoopQueue> {
public:
  explicit LoopQueue(EventLoop &Loop) : Loop(Loop) {}

  /// From the KJ thread.
  void push(Task T);
  /// On the EventLoop's thread: nothing runs from then on.
  void close();

private:
  void drain();

  EventLoop &Loop;
  std::mutex M;
  std::vector<Task> Tasks;
  bool Closed = false;
};

class KjThread {
public:
  /// Runs on the KJ thread from its start to its end: sets up what works there
  /// and waits for \p Stop.
  using Body = kj::Function<void(kj::AsyncIoContext &, kj::Promise<void> Stop)>;

  explicit KjThread(EventLoop &Loop);
  /// Ends the thread; called on the EventLoop's thread.
  ~KjThread();

  void start(Body Run);
  void stop();

  const std::shared_ptr<KjQueue> &toKj() const { return ToKj; }
  const std::shared_ptr<LoopQueue> &toLoop() const { return ToLoop; }

private:
  void main(Body Run);

  std::shared_ptr<KjQueue> ToKj;
  std::shared_ptr<LoopQueue> ToLoop;
  std::thread Thread;
  /// Only on the KJ thread.
  kj::Own<kj::PromiseFulfiller<void>> StopNow;
};

} // namespace internal
} // namespace shallot

#endif // SHALLOTSHIFT_PEER_KJTHREAD_H
