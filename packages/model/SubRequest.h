//===- SubRequest.h - A request to an upstream and its reply ----*- C++ -*-===//
//
// A search fans out into one sub-request per service; an action is one
// sub-request. The same types are used whether this daemon holds a slot of the
// upstream or relays through a daemon that does.
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
  RequestId Request; ///< Id of the caller's request.
  /// Unique across the fleet for each attempt; the upstream echoes it. A reply
  /// with another id belongs to another request, whatever its connection.
  std::string AttemptId;
  Tenant Owner;
  CallerClass Class;
  ServiceName Service;
  UpstreamId Target;
  std::optional<Snapshot> Pin; ///< None: the upstream's newest snapshot.
  Duration Remaining{0};       ///< Until the caller's deadline.
  unsigned Priority = 5;       ///< From the class's policy.
  std::string TraceParent;     ///< W3C trace context, may be empty.
  std::string Body;            ///< The caller's query or action, as JSON.
  /// Non-empty for an action, which no library and no daemon may send again.
  std::string IdempotencyKey;

  friend bool operator==(const SubRequest &, const SubRequest &) = default;
};

struct SubReply {
  /// Ok, or a 2xxx or 6xxx code for the failure.
  ResultCode Code = ResultCode::Ok;
  Snapshot Served;
  std::vector<Snapshot> Servable; ///< Snapshots that the upstream reports.
  double Load = 0; ///< As reported, 0 to 1; may be stale or wrong.
  bool Cold = false;
  bool Draining = false;
  Duration RetryAfter{0};   ///< 0: not given.
  Duration UpstreamTook{0}; ///< Measured by the daemon that holds the slot.
  Duration Queued{0};       ///< Wait for a slot at its holder.
  /// Requests queued at the holder when this one was sent.
  unsigned HolderQueue = 0;
  int Status = 0; ///< Of the HTTP reply; 0: none received.
  /// The upstream's process exited while it handled the request.
  bool Crashed = false;
  std::string Body; ///< The upstream's records, as JSON.

  friend bool operator==(const SubReply &, const SubReply &) = default;
};

} // namespace shallot

#endif // SHALLOTSHIFT_MODEL_SUBREQUEST_H
