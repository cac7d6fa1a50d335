//===- ProcessGuard.cpp ---------------------------------------------------===//
#include "net/ProcessGuard.h"

#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <initializer_list>
#include <unistd.h>

namespace shallot {

namespace {

using Action = void (*)(int);

enum class Replace { Always, OnlyDefault };

/// Set once, before any handler runs; a handler may not lock.
int ReadEnd = -1;
int WriteEnd = -1;

void passOn(int Signal) {
  int Before = errno;
  auto Byte = static_cast<unsigned char>(Signal);
  // With a full pipe the loop has enough signals to act on.
  (void)!::write(WriteEnd, &Byte, 1);
  errno = Before;
}

void act(int Signal, Action What, Replace When) {
  struct sigaction Before {};
  if (When == Replace::OnlyDefault &&
      (::sigaction(Signal, nullptr, &Before) != 0 ||
       Before.sa_handler != SIG_DFL))
    return;
  struct sigaction Next {};
  Next.sa_handler = What;
  Next.sa_flags = SA_RESTART;
  ::sigaction(Signal, &Next, nullptr);
}

void keepStandardStreams() {
  for (int Stream = STDIN_FILENO; Stream <= STDERR_FILENO; ++Stream)
    if (::fcntl(Stream, F_GETFD) < 0 && errno == EBADF)
      // The lowest free number is that of the stream.
      (void)::open("/dev/null", O_RDWR);
}

} // namespace

int guardProcess() {
  keepStandardStreams();
  int Ends[2] = {-1, -1};
  if (::pipe2(Ends, O_CLOEXEC | O_NONBLOCK) != 0)
    return -1;
  ReadEnd = Ends[0];
  WriteEnd = Ends[1];
  for (int Signal : {SIGHUP, SIGTERM, SIGINT, SIGQUIT})
    act(Signal, &passOn, Replace::Always);
  for (int Signal : {SIGPIPE, SIGXFSZ, SIGTSTP, SIGTTIN, SIGTTOU})
    act(Signal, SIG_IGN, Replace::OnlyDefault);
  for (int Signal : {SIGUSR1, SIGUSR2, SIGALRM, SIGVTALRM, SIGPROF, SIGIO,
                     SIGPWR, SIGSTKFLT, SIGXCPU})
    act(Signal, &passOn, Replace::OnlyDefault);
  for (int Signal = SIGRTMIN; Signal <= SIGRTMAX; ++Signal)
    act(Signal, SIG_IGN, Replace::OnlyDefault);
  return ReadEnd;
}

int signalDescriptor() { return ReadEnd >= 0 ? ReadEnd : guardProcess(); }

} // namespace shallot
