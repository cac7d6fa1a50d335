//===- SnapshotChooser.h - One snapshot for one query -----------*- C++ -*-===//
//
// An answer comes from one pair of index and partition version. The pair is
// chosen before any request is sent, from the versions reported in earlier
// replies: the one that most of the requested services can serve; among equals
// the one that most of them can serve from two upstreams, so that a hedge has a
// target; then the newest.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_QUERY_SNAPSHOTCHOOSER_H
#define SHALLOTSHIFT_QUERY_SNAPSHOTCHOOSER_H

#include "query/ReplicaTable.h"

#include <optional>
#include <span>

namespace shallot {

/// The chosen pair and the number of services known to hold it.
struct SnapshotChoice {
  Snapshot Pair;
  std::size_t Services = 0;  ///< Requested services that can serve it.
  std::size_t Redundant = 0; ///< Those with two or more upstreams that can.

  friend bool operator==(const SnapshotChoice &,
                         const SnapshotChoice &) = default;
};

class SnapshotChooser {
public:
  explicit SnapshotChooser(const ReplicaTable &Table) : Table(Table) {}

  /// Returns nothing if no upstream has reported a pair yet.
  std::optional<SnapshotChoice> choose(std::span<const Service *const> Targets,
                                       Instant Now) const;

private:
  const ReplicaTable &Table;
};

} // namespace shallot

#endif // SHALLOTSHIFT_QUERY_SNAPSHOTCHOOSER_H
