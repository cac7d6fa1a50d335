//===- UpstreamRecords.h - The records that a replica answers ---*- C++ -*-===//
//
// Records follow from the service, the versions and the query alone, so a
// checker can tell from an answer whether it mixes versions. Each record says
// its book and the versions it was read at. Services that are siblings share
// some record ids: under one partition version each shared id is on one of the
// two, under the next on the other. An answer put together from two partition
// versions therefore has a shared id twice, or lacks one.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_STANDINS_UPSTREAMRECORDS_H
#define SHALLOTSHIFT_STANDINS_UPSTREAMRECORDS_H

#include "standins/UpstreamSettings.h"

namespace shallot::standins {

/// How many ids two siblings share for one query.
inline constexpr unsigned SharedRecords = 4;

/// The body of a search reply.
Json recordsFor(const UpstreamSettings &S, const Snapshot &At,
                std::string_view Query);

} // namespace shallot::standins

#endif // SHALLOTSHIFT_STANDINS_UPSTREAMRECORDS_H
