//===- Faults.h - Counts faults of this program -----------------*- C++ -*-===//
//
// A fault is an error of this program itself, which shows as an exception where
// none is expected. It ends the handling of one event instead of the process
// (net/Containment.h); whoever catches it logs it and counts it here.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_BASE_FAULTS_H
#define SHALLOTSHIFT_BASE_FAULTS_H

#include <cstdint>

namespace shallot {

/// Faults counted in this process so far. Safe from any thread.
std::uint64_t faultCount();

/// Counts one more.
void countFault();

/// Forgets those counted so far, which a test has brought about, and returns
/// their number. A test program fails that ends with any other.
std::uint64_t takeFaults();

} // namespace shallot

#endif // SHALLOTSHIFT_BASE_FAULTS_H
