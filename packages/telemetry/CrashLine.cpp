//===- CrashLine.cpp ------------------------------------------------------===//
#include "telemetry/CrashLine.h"

#include "telemetry/Log.h"

#include <array>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <dlfcn.h>
#include <exception>
#include <poll.h>
#include <string_view>
#include <ucontext.h>
#include <unistd.h>

namespace shallot {

namespace {

struct FatalSignal {
  int Number;
  std::string_view Name;
};

constexpr std::array FatalSignals = {
    FatalSignal{SIGSEGV, "SEGV"}, FatalSignal{SIGBUS, "BUS"},
    FatalSignal{SIGFPE, "FPE"},   FatalSignal{SIGILL, "ILL"},
    FatalSignal{SIGABRT, "ABRT"}, FatalSignal{SIGTRAP, "TRAP"},
    FatalSignal{SIGSYS, "SYS"}};

constexpr std::size_t StackBytes = 64 << 10;
constexpr std::size_t LineBytes = 512;

/// Where this code was loaded; read by the handler.
std::uintptr_t LoadedAt = 0;
/// The handler cannot use the stack that has overflowed.
alignas(16) std::array<char, StackBytes> HandlerStack;

/// A line of bounded size, made without memory of the heap: a crash may have
/// left that broken.
class LineBuffer {
public:
  void append(std::string_view Text) {
    std::size_t Room = Bytes.size() - Size;
    std::size_t Taken = Text.size() < Room ? Text.size() : Room;
    std::memcpy(Bytes.data() + Size, Text.data(), Taken);
    Size += Taken;
  }
  void appendNumber(std::uint64_t Value, unsigned Base) {
    std::array<char, 20> Digits;
    std::size_t First = Digits.size();
    do {
      Digits[--First] = "0123456789abcdef"[Value % Base];
      Value /= Base;
    } while (Value != 0);
    append({Digits.data() + First, Digits.size() - First});
  }
  std::string_view text() const { return {Bytes.data(), Size}; }

private:
  std::array<char, LineBytes> Bytes;
  std::size_t Size = 0;
};

std::string_view nameOf(int Signal) {
  for (const FatalSignal &S : FatalSignals)
    if (S.Number == Signal)
      return S.Name;
  return "?";
}

std::uintptr_t programCounter(const void *Context) {
  const auto &Registers = static_cast<const ucontext_t *>(Context)->uc_mcontext;
#if defined(__aarch64__)
  return Registers.pc;
#elif defined(__x86_64__)
  return static_cast<std::uintptr_t>(Registers.gregs[REG_RIP]);
#else
  (void)Registers;
  return 0;
#endif
}

std::uint64_t unixMillis() {
  timespec Now{};
  ::clock_gettime(CLOCK_REALTIME, &Now);
  return std::uint64_t(Now.tv_sec) * 1000 +
         std::uint64_t(Now.tv_nsec) / 1000000;
}

void appendAddress(LineBuffer &Line, std::string_view Key,
                   std::uintptr_t Address) {
  Line.append(",\"");
  Line.append(Key);
  Line.append("\":\"0x");
  Line.appendNumber(Address, 16);
  Line.append("\"");
}

/// Only calls that are safe in a handler; the default action follows when it
/// has returned.
void logSignal(int Signal, siginfo_t *Info, void *Context) {
  LineBuffer Line;
  Line.append("{\"unix_ms\":\"");
  Line.appendNumber(unixMillis(), 10);
  Line.append("\",\"level\":\"error\",\"host\":\"");
  Line.append(crashHost());
  Line.append("\",\"event\":\"crashed\",\"signal\":\"");
  Line.append(nameOf(Signal));
  Line.append("\"");
  appendAddress(Line, "address",
                reinterpret_cast<std::uintptr_t>(Info->si_addr));
  appendAddress(Line, "pc", programCounter(Context));
  appendAddress(Line, "program", LoadedAt);
  Line.append("}\n");
  pollfd Out{STDOUT_FILENO, POLLOUT, 0};
  if (::poll(&Out, 1, 0) > 0)
    (void)!::write(STDOUT_FILENO, Line.text().data(), Line.text().size());
  ::raise(Signal);
}

[[noreturn]] void logUncaught() {
  std::string Why = "no exception";
  if (std::exception_ptr E = std::current_exception()) {
    try {
      std::rethrow_exception(E);
    } catch (const std::exception &Fault) {
      Why = Fault.what();
    } catch (...) {
      Why = "not a standard exception";
    }
  }
  logEvent(LogLevel::Error, "uncaught_exception", {{"why", Why}});
  std::abort();
}

} // namespace

void logCrashes() {
  Dl_info Where{};
  if (::dladdr(reinterpret_cast<const void *>(&logCrashes), &Where) != 0)
    LoadedAt = reinterpret_cast<std::uintptr_t>(Where.dli_fbase);
  stack_t Stack{};
  Stack.ss_sp = HandlerStack.data();
  Stack.ss_size = HandlerStack.size();
  ::sigaltstack(&Stack, nullptr);
  struct sigaction Action {};
  Action.sa_sigaction = &logSignal;
  Action.sa_flags = static_cast<int>(SA_SIGINFO | SA_ONSTACK | SA_RESETHAND);
  for (const FatalSignal &S : FatalSignals) {
    struct sigaction Before {};
    if (::sigaction(S.Number, nullptr, &Before) == 0 &&
        Before.sa_handler == SIG_DFL)
      ::sigaction(S.Number, &Action, nullptr);
  }
  std::set_terminate(&logUncaught);
}

} // namespace shallot
