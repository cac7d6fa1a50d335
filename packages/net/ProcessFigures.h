//===- ProcessFigures.h - What this process has used so far -----*- C++ -*-===//
#ifndef SHALLOTSHIFT_NET_PROCESSFIGURES_H
#define SHALLOTSHIFT_NET_PROCESSFIGURES_H

#include "shallotshift/base.h"

#include <cstddef>

namespace shallot {

/// The most resident memory that this process has had, in bytes; 0 if the
/// kernel does not say.
std::size_t peakMemoryBytes();

/// Processor time that this process has taken.
Duration processorTime();

} // namespace shallot

#endif // SHALLOTSHIFT_NET_PROCESSFIGURES_H
