//===- SubRequest.h - What goes to an upstream and comes back ---*- C++ -*-===//
//
// One search fans out into one sub-request for each service; an action is one
// sub-request. The same values travel whether this daemon holds a slot of the
// upstream itself or relays through a daemon that does.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_MODEL_SUBREQUEST_H
#define SHALLOTSHIFT_MODEL_SUBREQUEST_H

#include "shallotshift/base.h"

#include <optional>
#include <string>
#include <vector>

namespace shallot {

struct SubRequest {
  RequestId Request; ///< Of the caller's request.
  /// Unique in the fleet for each attempt; the upstream echoes it. A reply that
  /// carries another one is not ours, whatever connection it came on.
  std::string AttemptId;
  Tenant Owner;
  CallerClass Class;
  ServiceName Service;
  UpstreamId Target;
  std::optional<Snapshot> Pin; ///< None: the newest that the upstream holds.
  Duration Remaining{0};       ///< Until the caller's deadline.
  unsigned Priority = 5;       ///< From the class's policy.
  std::string TraceParent;     ///< W3C trace context, may be empty.
  std::string Body;            ///< The caller's query or action, as JSON.
  /// Not empty: an action, which no library and no daemon may send again.
  std::string IdempotencyKey;

  friend bool operator==(const SubRequest &, const SubRequest &) = default;
};

struct SubReply {
  /// Ok, or a 2xxx or 6xxx code that says what happened instead.
  ResultCode Code = ResultCode::Ok;
  Snapshot Served;
  std::vector<Snapshot> Servable; ///< All that the upstream says it holds.
  double Load = 0;                ///< As reported, 0 to 1; may lag or mislead.
  bool Cold = false;
  bool Draining = false;
  Duration RetryAfter{0};   ///< 0: not said.
  Duration UpstreamTook{0}; ///< Seen by the daemon that held the slot.
  Duration Queued{0};       ///< Waited for a slot there.
  unsigned HolderQueue = 0; ///< Requests waiting there when it was sent.
  int Status = 0;           ///< Of the HTTP reply; 0: none came.
  bool Crashed = false;     ///< The upstream's process ended while it had it.
  std::string Body;         ///< The upstream's records, as JSON.

  friend bool operator==(const SubReply &, const SubReply &) = default;
};

} // namespace shallot

#endif // SHALLOTSHIFT_MODEL_SUBREQUEST_H
