//===- StoreAccess.h - Whether a daemon can read the store ------*- C++ -*-===//
//
// Evidence of a daemon's own calls to the store. Daemons tell each other, so
// that a region is fed by one that can read and a daemon that is turned away
// does not try again on behalf of the others.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_BASE_STOREACCESS_H
#define SHALLOTSHIFT_BASE_STOREACCESS_H

#include <cstdint>

namespace shallot {

enum class StoreAccess : std::uint8_t {
  Untried, ///< It has not called the store lately.
  Reads,   ///< Its last call was answered.
  Refused, ///< Its last calls failed or were not answered in time.
};

} // namespace shallot

#endif // SHALLOTSHIFT_BASE_STOREACCESS_H
