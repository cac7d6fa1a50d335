//===- Daemon.h - One daemon, put together ----------------------*- C++ -*-===//
#ifndef SHALLOTSHIFT_DAEMON_DAEMON_H
#define SHALLOTSHIFT_DAEMON_DAEMON_H

#include "daemon/Settings.h"
#include "shallotshift/net.h"

#include <memory>

namespace shallot {

class Daemon {
public:
  /// Opens the three sockets and starts. Fails with AddressInUse and
  /// SettingsInvalid. \p Seed feeds every random choice of this process.
  static Result<std::unique_ptr<Daemon>> start(EventLoop &Loop, Settings Set,
                                               std::uint64_t Seed);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Begins a planned stop; the loop is stopped when it is over. Called again,
  /// it stops waiting for callers that may still come.
  void requestStop();

private:
  struct Impl;
  explicit Daemon(std::unique_ptr<Impl> I);
  std::unique_ptr<Impl> I;
};

} // namespace shallot

#endif // SHALLOTSHIFT_DAEMON_DAEMON_H
