#include "peer/KjThread.h"

#include "shallotshift/net.h"

#include <csignal>
#include <kj/async-unix.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace shallot::internal {

namespace {

/// KJ fills tables that all its threads share when the first one is set up. It
/// guards them in a way that the thread sanitizer cannot see in a library, so
/// threads are set up one after another.
kj::AsyncIoContext setUpIo() {
  static std::mutex OneAtATime;
  std::lock_guard Lock(OneAtATime);
  return kj::setupAsyncIo();
}

} // namespace

KjQueue::KjQueue() : WakeFd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}

KjQueue::~KjQueue() { ::close(WakeFd); }

void KjQueue::push(Task T) {
  bool First = false;
  {
    std::lock_guard Lock(M);
    if (Closed)
      return;
    First = Tasks.empty();
    Tasks.push_back(kj::mv(T));
  }
  std::uint64_t One = 1;
  if (First && ::write(WakeFd, &One, sizeof(One)) < 0) {
    // Only possible when the counter is full, and then the thread is awake.
  }
}

std::vector<Task> KjQueue::take() {
  std::lock_guard Lock(M);
  return std::exchange(Tasks, {});
}

void KjQueue::close() {
  std::vector<Task> Dropped;
  std::lock_guard Lock(M);
  Closed = true;
  std::swap(Dropped, Tasks);
}

void KjQueue::drainWake() const {
  std::uint64_t Count = 0;
  while (::read(WakeFd, &Count, sizeof(Count)) > 0) {
  }
}

void LoopQueue::push(Task T) {
  bool First = false;
  {
    std::lock_guard Lock(M);
    First = Tasks.empty();
    Tasks.push_back(kj::mv(T));
  }
  if (First)
    Loop.post([Me = shared_from_this()] { Me->drain(); });
}

void LoopQueue::drain() {
  std::vector<Task> Batch;
  {
    std::lock_guard Lock(M);
    std::swap(Batch, Tasks);
  }
  for (Task &T : Batch) {
    // A task may have destroyed the owner of what the others work on.
    if (Closed)
      return;
    T();
  }
}

void LoopQueue::close() { Closed = true; }

KjThread::KjThread(EventLoop &Loop)
    : ToKj(std::make_shared<KjQueue>()),
      ToLoop(std::make_shared<LoopQueue>(Loop)) {}

KjThread::~KjThread() { stop(); }

void KjThread::start(Body Run) {
  // Signals belong to the EventLoop: a thread inherits its creator's mask, and
  // one delivered here would interrupt KJ for nothing.
  sigset_t All;
  sigset_t Before;
  sigfillset(&All);
  // Faults of this thread leave their line (telemetry/CrashLine.h).
  for (int Fault : {SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT, SIGTRAP, SIGSYS})
    sigdelset(&All, Fault);
  pthread_sigmask(SIG_SETMASK, &All, &Before);
  auto Held = std::make_unique<Body>(kj::mv(Run));
  Thread = std::thread(
      [this, Held = std::move(Held)]() mutable { main(kj::mv(*Held)); });
  pthread_sigmask(SIG_SETMASK, &Before, nullptr);
}

void KjThread::stop() {
  if (!Thread.joinable())
    return;
  ToLoop->close();
  ToKj->push([this] { StopNow->fulfill(); });
  Thread.join();
  ToKj->close();
}

void KjThread::main(Body Run) {
  kj::AsyncIoContext Io = setUpIo();
  auto Stop = kj::newPromiseAndFulfiller<void>();
  StopNow = kj::mv(Stop.fulfiller);
  kj::UnixEventPort::FdObserver Wake(
      Io.unixEventPort, ToKj->wakeFd(),
      kj::UnixEventPort::FdObserver::OBSERVE_READ);
  kj::Function<kj::Promise<void>()> Drain = [&]() -> kj::Promise<void> {
    // The counter is emptied before the queue is taken: a task pushed in
    // between wakes us once for nothing, in the other order never.
    ToKj->drainWake();
    for (Task &T : ToKj->take())
      T();
    return Wake.whenBecomesReadable().then([&] { return Drain(); });
  };
  kj::Promise<void> Draining =
      kj::evalLater([&] { return Drain(); }).eagerlyEvaluate(nullptr);
  Run(Io, kj::mv(Stop.promise));
  StopNow = nullptr;
}

} // namespace shallot::internal
