//===- CrashLine.h - Last line of a process that crashes --------*- C++ -*-===//
//
// A process that a fault of its own ends leaves one line on standard output:
//
//   {"unix_ms":"1772352000123","level":"error","host":"front-1",
//    "event":"crashed","signal":"SEGV","address":"0x0","pc":"0x..",
//    "program":"0x.."}
//
// "program" is the address at which this code was loaded: pc less program is
// the place for a symbolizer. An exception that nobody catches is logged as
// "uncaught_exception" before that. The exit status stays that of the signal.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_TELEMETRY_CRASHLINE_H
#define SHALLOTSHIFT_TELEMETRY_CRASHLINE_H

namespace shallot {

/// From now on crashes are logged. A fatal signal that has an action already,
/// such as that of a sanitizer, keeps it. The main thread also reports an
/// overflow of its stack.
void logCrashes();

} // namespace shallot

#endif // SHALLOTSHIFT_TELEMETRY_CRASHLINE_H
