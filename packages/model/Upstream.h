//===- Upstream.h - One replica of a service --------------------*- C++ -*-===//
//
// An upstream is one process that answers sub-requests for one service. Its
// slots are the number of requests that it processes concurrently, its
// connections the number that it accepts; both limits apply to the whole fleet
// of daemons together, not to each daemon.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_MODEL_UPSTREAM_H
#define SHALLOTSHIFT_MODEL_UPSTREAM_H

#include "model/Immutable.h"
#include "shallotshift/base.h"

namespace shallot {

inline constexpr unsigned MaxSlots = 1024;
inline constexpr unsigned MaxConnections = 4096;

struct UpstreamFields {
  UpstreamId Id;
  Endpoint Address;
  AvailabilityZone Zone;
  unsigned Slots = 1;       ///< 1 to MaxSlots.
  unsigned Connections = 1; ///< Slots to MaxConnections.
  bool Leaving = false;     ///< Marked as leaving by an operator.

  friend bool operator==(const UpstreamFields &,
                         const UpstreamFields &) = default;
};

class Upstream : public Immutable<UpstreamFields> {
public:
  /// Fails with BadName or OutOfRange.
  static Result<Upstream> make(UpstreamFields F);

private:
  using Immutable::Immutable;
};

} // namespace shallot

#endif // SHALLOTSHIFT_MODEL_UPSTREAM_H
