// The program shallotshiftd: reads its options and settings, then serves until
// it is told to stop.
#include "shallotshift/daemon.h"
#include "shallotshift/front.h"
#include "shallotshift/net.h"
#include "shallotshift/platform.h"
#include "shallotshift/telemetry.h"

#include <cstdio>
#include <fmt/core.h>
#include <memory>
#include <random>

using namespace shallot;

namespace {

/// Processor time of this process until its signals had actions.
Duration GuardedAfter{};

/// Runs before the static objects of the program are made: these take as long
/// as all that comes before.
[[gnu::constructor(101)]] void guardFirst() {
  guardProcess();
  GuardedAfter = processorTime();
}

int failWith(const Error &E) {
  fmt::print(stderr, "shallotshiftd: {}: {}\n", codeLabel(E.Code), E.Detail);
  return infoOf(E.Code).ExitCode;
}

/// The first line of every run: a run that ends without it has ended before
/// main().
void logStart(const Options &O) {
  logEvent(
      LogLevel::Info, "process_started",
      {{"version", SHALLOT_VERSION},
       {"settings", O.SettingsPath},
       {"cpu_to_signals_ms", fmt::format("{:.2f}", toMillisF(GuardedAfter))}});
}

int checkFront(const std::string &Path) {
  auto Set = attempt([&] { return FrontSettings::load(Path); });
  if (!Set)
    return failWith(Set.error());
  fmt::print("{}: the settings of {} are good\n", Path, Set->Host.str());
  return 0;
}

std::uint64_t randomSeed() {
  std::random_device Entropy;
  return (std::uint64_t(Entropy()) << 32) | Entropy();
}

/// Runs a daemon of the product's own interface.
int serve(const std::string &Path) {
  EventLoop Loop;
  std::unique_ptr<Daemon> D;
  int ExitCode = 0;
  StartRetry Start(Loop, "settings, own addresses", [&]() -> Result<void> {
    BOOST_LEAF_AUTO(Set, Settings::load(Path));
    setLogLevel(Set.Level);
    setLogHost(Set.Host.str());
    BOOST_LEAF_ASSIGN(D, Daemon::start(Loop, std::move(Set), randomSeed()));
    return {};
  });
  Start.limitTo(StartWait, [&](const Error &Why) {
    ExitCode = failWith(Why);
    Loop.post([&] { Loop.stop(); });
  });
  Loop.onStopSignal([&] {
    if (D)
      return D->requestStop();
    Start.cancel();
    Loop.stop();
  });
  Start.start();
  Loop.run();
  if (ExitCode == 0)
    logEvent(LogLevel::Info, "stopped");
  return ExitCode;
}

int run(int Argc, char **Argv) {
  auto O = attempt([&] { return Options::parse(Argc, Argv); });
  if (!O)
    return failWith(O.error());
  if (O->What == Options::Action::Help) {
    fmt::print("{}", helpText());
    return 0;
  }
  if (O->What == Options::Action::Version) {
    fmt::print("shallotshiftd {}\n", SHALLOT_VERSION);
    return 0;
  }
  if (O->What == Options::Action::Front || O->What == Options::Action::Run)
    logStart(*O);
  if (O->What == Options::Action::Front)
    return servePlatform(O->SettingsPath);
  if (O->What == Options::Action::CheckFront)
    return checkFront(O->SettingsPath);
  if (O->What == Options::Action::Run)
    return serve(O->SettingsPath);
  auto Set = attempt([&] { return Settings::load(O->SettingsPath); });
  if (!Set)
    return failWith(Set.error());
  fmt::print("{}: the settings of {} are good\n", O->SettingsPath,
             Set->Host.str());
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  logCrashes();
  int ExitCode = infoOf(ResultCode::Internal).ExitCode;
  if (signalDescriptor() < 0)
    return failWith({ResultCode::Internal, "no pipe for signals"});
  contain("program", {}, [&] { ExitCode = run(Argc, Argv); });
  return ExitCode;
}
