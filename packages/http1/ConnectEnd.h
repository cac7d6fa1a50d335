//===- ConnectEnd.h - How an attempt to connect ended -----------*- C++ -*-===//
#ifndef SHALLOTSHIFT_HTTP1_CONNECTEND_H
#define SHALLOTSHIFT_HTTP1_CONNECTEND_H

#include <cstdint>

namespace shallot {

enum class ConnectEnd : std::uint8_t {
  Opened,
  Refused, ///< The host answered that nothing listens there.
  Failed,  ///< No answer, or none that says more.
};

} // namespace shallot

#endif // SHALLOTSHIFT_HTTP1_CONNECTEND_H
