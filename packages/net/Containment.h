//===- Containment.h - A fault costs one event, not the process -*- C++ -*-===//
//
// The failure: an exception that nobody expects leaves the handler of one
// event, the process ends, and all requests of all callers with it; the event
// comes again and ends the next process.
//
// Every handler that the event loop calls runs contained. A fault is logged as
// "internal_error" and counted (base/Faults.h). Whoever owns what the handler
// was about ends that: a connection is closed, a request is answered with an
// error, a timer that repeats is set again.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_NET_CONTAINMENT_H
#define SHALLOTSHIFT_NET_CONTAINMENT_H

#include <exception>
#include <string_view>
#include <utility>

namespace shallot {

/// Logs and counts a fault. \p Where names the kind of the event, \p What
/// identifies the event itself, such as a request's id, and may be empty.
void reportFault(std::string_view Where, std::string_view What,
                 const std::exception &Fault);

/// Calls \p Fn and returns true, or reports the exception that it throws and
/// returns false.
template <typename F>
bool contain(std::string_view Where, std::string_view What, F &&Fn) {
  try {
    std::forward<F>(Fn)();
    return true;
  } catch (const std::exception &Fault) {
    reportFault(Where, What, Fault);
    return false;
  }
}

} // namespace shallot

#endif // SHALLOTSHIFT_NET_CONTAINMENT_H
