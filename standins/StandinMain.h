//===- StandinMain.h - Command lines of the stand-ins -----------*- C++ -*-===//
#ifndef SHALLOTSHIFT_STANDINS_STANDINMAIN_H
#define SHALLOTSHIFT_STANDINS_STANDINMAIN_H

#include "shallotshift/base.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <fmt/format.h>
#include <getopt.h>
#include <string>

namespace shallot::standins {

struct StandinOptions {
  std::string Listen;
  std::string File;
};

/// Runs \p Io until SIGTERM or SIGINT.
inline void runUntilSignal(asio::io_context &Io) {
  asio::signal_set Signals(Io, SIGTERM, SIGINT);
  Signals.async_wait([&](std::error_code, int) { Io.stop(); });
  Io.run();
}

/// Reads --listen IP:PORT and --FILEOPTION FILE, then calls \p Serve, which
/// returns Result<void>. Returns the exit code.
template <typename F>
int standinMain(int Argc, char **Argv, const char *FileOption, F Serve) {
  StandinOptions O;
  const option Known[] = {{"listen", required_argument, nullptr, 'l'},
                          {FileOption, required_argument, nullptr, 'f'},
                          {nullptr, 0, nullptr, 0}};
  for (int Got; (Got = getopt_long(Argc, Argv, "", Known, nullptr)) != -1;) {
    if (Got == 'l')
      O.Listen = optarg;
    else if (Got == 'f')
      O.File = optarg;
    else
      return infoOf(ResultCode::BadOption).ExitCode;
  }
  Attempt<Done> Outcome = attempt([&] { return Serve(O); });
  if (Outcome)
    return 0;
  fmt::print(stderr, "{}: {} {}\n", Argv[0], codeLabel(Outcome.error().Code),
             Outcome.error().Detail);
  return infoOf(Outcome.error().Code).ExitCode;
}

} // namespace shallot::standins

#endif // SHALLOTSHIFT_STANDINS_STANDINMAIN_H
