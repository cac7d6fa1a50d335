//===- TraceRing.h - Traces of recent requests ------------------*- C++ -*-===//
//
// Typed events of the last requests in a ring of bounded memory. By request id
// an operator can look up which upstreams were selected and why, and what was
// hedged, refused or missing. It covers recent requests only and is not a log.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_QUERY_TRACERING_H
#define SHALLOTSHIFT_QUERY_TRACERING_H

#include "query/QueryAnswer.h"
#include "query/ReplicaTable.h"

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace shallot {

enum class TraceKind : std::uint8_t {
  PinChosen, ///< Pin; Count: services known to serve it.
  AskedUnpinned,
  Sent, ///< Service, Upstream, Why, Expected.
  Hedged,
  Retried,
  Reasked,
  HedgeDenied, ///< The budget is exhausted.
  RetryDenied,
  Replied,   ///< Service, Upstream, Code, Took.
  NotUsed,   ///< An unpinned reply from a snapshot other than the pin.
  Cancelled, ///< No longer needed.
  Silent,    ///< No reply for an unusually long time.
  ReplacedConnection,
  BlamedReplica,
  PinVanished, ///< Service: no usable upstream holds the pin.
  Restarted,   ///< On Pin; then one event for each service sent again.
  GaveUp,      ///< Service is missing; Code is the reason.
  HeldBack,    ///< Deferred until no attempt is open: upstreams crashed.
  Finished,    ///< Code.
};
std::string_view nameOf(TraceKind K);

struct TraceEvent {
  TraceKind Kind = TraceKind::Sent;
  Duration At{0}; ///< Since the request began.
  ServiceName Service;
  UpstreamId Upstream;
  UpstreamId Alternative; ///< The rejected alternative.
  PickReason Why = PickReason::Only;
  ResultCode Code = ResultCode::Ok;
  Duration Took{0};
  Duration Expected{0};
  Snapshot Pin;
  unsigned Count = 0;
};

/// Bounds on requests, events per request, total bytes and interned names.
struct TraceLimits {
  std::size_t Requests = 4096;
  std::size_t EventsPerRequest = 1024; ///< A fan-out of 512 and its replies.
  std::size_t Bytes = 8 << 20;         ///< A sixteenth of a daemon's 128 MB.
  std::size_t Names = 1 << 16; ///< Six times the design number of upstreams.
};

class TraceRing {
public:
  explicit TraceRing(TraceLimits Limits = {});

  /// Starts a trace, replacing one of the same id and evicting the oldest
  /// traces beyond the bounds.
  void begin(const RequestId &Id, const Tenant &Owner,
             const CallerClass &Class);
  /// Discards events of an unknown request. Events beyond EventsPerRequest are
  /// only counted.
  void add(const RequestId &Id, const TraceEvent &Event);

  /// The trace as a JSON object. Fails with UnknownRequest.
  Result<std::string> toJson(const RequestId &Id) const;
  /// The events of a request, oldest first; empty if there is no such trace.
  std::vector<TraceEvent> events(const RequestId &Id) const;
  std::size_t size() const { return Traces.size(); }
  std::size_t bytes() const { return Bytes; }

private:
  using NameId = std::uint32_t; ///< 0: no name.

  /// A TraceEvent with interned names: 48 bytes instead of 170, so that the
  /// ring holds three times as many events.
  struct Row {
    std::int64_t AtNs = 0;
    NameId Service = 0;
    NameId Upstream = 0;
    NameId Alternative = 0;
    std::uint32_t Count = 0;
    std::uint32_t TookUs = 0;
    std::uint32_t ExpectedUs = 0;
    std::uint32_t PinIndex = 0; ///< Index into Trace::Pins plus 1; 0: none.
    ResultCode Code = ResultCode::Ok;
    TraceKind Kind = TraceKind::Sent;
    PickReason Why = PickReason::Only;
  };
  struct Trace {
    Tenant Owner;
    CallerClass Class;
    std::vector<Row> Rows;
    std::vector<Snapshot> Pins; ///< Distinct pins; only a few.
    std::size_t Dropped = 0;
  };

  NameId internName(const std::string &Name);
  Row pack(Trace &T, const TraceEvent &E);
  TraceEvent unpack(const Trace &T, const Row &R) const;
  void removeTrace(const RequestId &Id);
  void evictOldest();

  TraceLimits Limits;
  std::unordered_map<RequestId, Trace> Traces;
  std::deque<RequestId> Order; ///< Oldest first.
  std::size_t Bytes = 0;
  std::unordered_map<std::string, NameId> NameIds;
  std::vector<const std::string *> Names; ///< Keys of NameIds.
};

} // namespace shallot

#endif // SHALLOTSHIFT_QUERY_TRACERING_H
