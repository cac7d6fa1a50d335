//===- ProcessGuard.h - Signals and streams of a process --------*- C++ -*-===//
//
// The failure: a signal that the process has no action for ends it, and with it
// every request that it holds. guardProcess() sets the actions once, for as
// long as the process lives:
//
//   TERM INT QUIT         a planned stop, by way of the event loop
//   HUP                   the settings may have changed, by way of the event
//                         loop
//   USR1 USR2 ALRM VTALRM PROF IO PWR STKFLT XCPU
//                         logged by the event loop and ignored
//   PIPE XFSZ             ignored: the write fails instead
//   TSTP TTIN TTOU        ignored: a daemon has no terminal
//   real-time signals     ignored
//
// KILL and STOP cannot be held, and faults of the program end it
// (telemetry/CrashLine.h). Apart from the first four, a signal that has an
// action already keeps it: a profiler or a sanitizer relies on it.
//
// Signals wait in a pipe until an event loop reads them, so one that comes
// while a process starts is not lost. A daemon calls guardProcess() before
// main(), and what is loaded before that is kept small: StaticLibraries.cmake,
// CurlLibrary.h.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_NET_PROCESSGUARD_H
#define SHALLOTSHIFT_NET_PROCESSGUARD_H

namespace shallot {

/// Sets the actions, and opens /dev/null for standard streams that are closed:
/// a socket that took their numbers would get the log. Returns the descriptor
/// from which signals are read, one byte each, or -1 if there is none; errno
/// says why.
int guardProcess();

/// The descriptor of guardProcess(), which is called if it has not been.
int signalDescriptor();

} // namespace shallot

#endif // SHALLOTSHIFT_NET_PROCESSGUARD_H
