//===- TraceRing.h - Why a recent request went as it did --------*- C++ -*-===//
//
// Typed events of the last requests in a ring of bounded memory, so that an
// operator can ask by request id which upstreams were asked, why those, what
// was hedged, refused or missing and why. Explains what is recent; it is not a
// log.
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
  PinChosen, ///< Pin; Count of services known to serve it.
  AskedUnpinned,
  Sent, ///< Service, Upstream, Why, Expected.
  Hedged,
  Retried,
  Reasked,
  HedgeDenied, ///< The budget is used up.
  RetryDenied,
  Replied,   ///< Service, Upstream, Code, Took.
  NotUsed,   ///< A reply that is not ours, late or of another snapshot.
  Cancelled, ///< A loser.
  Silent,    ///< Unusually long without a word.
  ReplacedConnection,
  BlamedReplica,
  PinVanished, ///< Service: nobody holds the pin.
  Restarted,   ///< On Pin.
  GaveUp,      ///< Service is missing, Code says why.
  HeldBack,    ///< Service is asked when nothing else is open: upstreams crash.
  Finished,    ///< Code.
};
std::string_view nameOf(TraceKind K);

struct TraceEvent {
  TraceKind Kind = TraceKind::Sent;
  Duration At{0}; ///< Since the request began.
  ServiceName Service;
  UpstreamId Upstream;
  UpstreamId Over; ///< The one it was preferred to.
  PickReason Why = PickReason::Only;
  ResultCode Code = ResultCode::Ok;
  Duration Took{0};
  Duration Expected{0};
  Snapshot Pin;
  unsigned Count = 0;
};

/// Bounds: requests kept, events of one, bytes of all, names remembered.
struct TraceLimits {
  std::size_t Requests = 4096;
  std::size_t EventsPerRequest = 1024; ///< A fan-out of 512 and its replies.
  std::size_t Bytes = 8 << 20;         ///< A sixteenth of a daemon's 128 MB.
  std::size_t Names = 1 << 16; ///< Six times the upstreams designed for.
};

class TraceRing {
public:
  explicit TraceRing(TraceLimits Limits = {});

  /// Opens a trace; one of the same id is replaced. The oldest make room.
  void begin(const RequestId &Id, const Tenant &Owner,
             const CallerClass &Class);
  /// Events of an unknown request are dropped; beyond the bound they are only
  /// counted.
  void add(const RequestId &Id, const TraceEvent &Event);

  /// The trace as a JSON object. Fails with UnknownRequest.
  Result<std::string> toJson(const RequestId &Id) const;
  /// The events of a request, oldest first; empty when it is not held.
  std::vector<TraceEvent> events(const RequestId &Id) const;
  std::size_t size() const { return Traces.size(); }
  std::size_t bytes() const { return Bytes; }

private:
  using NameNumber = std::uint32_t; ///< 0: no name.

  /// A TraceEvent with numbers for names: 48 bytes instead of 170, so that the
  /// ring reaches back three times as far.
  struct Row {
    std::int64_t AtNs = 0;
    NameNumber Service = 0;
    NameNumber Upstream = 0;
    NameNumber Over = 0;
    std::uint32_t Count = 0;
    std::uint32_t TookUs = 0;
    std::uint32_t ExpectedUs = 0;
    std::uint32_t PinNumber = 0; ///< Into Trace::Pins, from 1.
    ResultCode Code = ResultCode::Ok;
    TraceKind Kind = TraceKind::Sent;
    PickReason Why = PickReason::Only;
  };
  struct Trace {
    Tenant Owner;
    CallerClass Class;
    std::vector<Row> Rows;
    std::vector<Snapshot> Pins; ///< A handful at most.
    std::size_t Dropped = 0;
  };

  NameNumber numberOf(const std::string &Name);
  Row pack(Trace &T, const TraceEvent &E);
  TraceEvent unpack(const Trace &T, const Row &R) const;
  void drop(const RequestId &Id);
  void makeRoom();

  TraceLimits Limits;
  std::unordered_map<RequestId, Trace> Traces;
  std::deque<RequestId> Order; ///< Oldest first.
  std::size_t Bytes = 0;
  std::unordered_map<std::string, NameNumber> Numbers;
  std::vector<const std::string *> Names; ///< Keys of Numbers.
};

} // namespace shallot

#endif // SHALLOTSHIFT_QUERY_TRACERING_H
