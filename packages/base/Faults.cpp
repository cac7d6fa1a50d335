//===- Faults.cpp ---------------------------------------------------------===//
#include "base/Faults.h"

#include <atomic>

namespace shallot {

namespace {

std::atomic<std::uint64_t> &faults() {
  static std::atomic<std::uint64_t> Count = 0;
  return Count;
}

} // namespace

std::uint64_t faultCount() { return faults(); }

void countFault() { ++faults(); }

std::uint64_t takeFaults() { return faults().exchange(0); }

} // namespace shallot
