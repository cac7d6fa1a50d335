//===- PeerCodec.h - Values of calls in and out of messages -----*- C++ -*-===//
//
// write() fills a message from a value, read() makes the value again. What came
// from a peer is checked: read() throws kj::Exception (FAILED) for a number
// that stands for nothing, which the RPC layer turns into PeerBadMessage.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_PEER_PEERCODEC_H
#define SHALLOTSHIFT_PEER_PEERCODEC_H

#include "peer/PeerTypes.h"
#include "peer/generated/Peer.capnp.h"

namespace shallot::internal {

using SessionSearch = wire::Session::SearchResults;
using SessionFetch = wire::Session::FetchConfigResults;
using SessionForward = wire::Session::ForwardResults;
using SessionIntent = wire::Session::IntentResults;
using SessionOutcome = wire::Session::OutcomeResults;
using SessionFence = wire::Session::FenceResults;
using SessionLeaving = wire::Session::LeavingResults;
using SessionRecords = wire::Session::RecordsResults;

/// The largest body or piece of configuration that is put into a message; the
/// rest of MaxPeerMessageBytes is for the fields around it.
inline constexpr std::size_t MaxPeerBodyBytes = MaxPeerMessageBytes - (1 << 20);

void write(const DaemonId &V, wire::Daemon::Builder To);
void write(const Error &V, wire::Failure::Builder To);

void write(const SubRequest &V, wire::SubRequest::Builder To);
void write(const ConfigQuery &V, wire::Session::FetchConfigParams::Builder To);
void write(const ForwardAction &V, wire::Session::ForwardParams::Builder To);
void write(const RecordIntent &V, wire::Session::IntentParams::Builder To);
void write(const RecordOutcome &V, wire::Session::OutcomeParams::Builder To);
void write(const FenceKey &V, wire::Session::FenceParams::Builder To);
void write(const RecordsQuery &V, wire::Session::RecordsParams::Builder To);

void write(const SubReply &V, SessionSearch::Builder To);
void write(const ConfigParts &V, SessionFetch::Builder To);
void write(const ActionOutcome &V, SessionForward::Builder To);
void write(IntentAnswer V, SessionIntent::Builder To);
void write(Done V, SessionOutcome::Builder To);
void write(const FenceAnswer &V, SessionFence::Builder To);
void write(const LeavingUpstreams &V, SessionLeaving::Builder To);
void write(const RecordsAnswer &V, SessionRecords::Builder To);

DaemonId read(wire::Daemon::Reader From);
Error read(wire::Failure::Reader From);

SubRequest read(wire::SubRequest::Reader From);
ConfigQuery read(wire::Session::FetchConfigParams::Reader From);
ForwardAction read(wire::Session::ForwardParams::Reader From);
RecordIntent read(wire::Session::IntentParams::Reader From);
RecordOutcome read(wire::Session::OutcomeParams::Reader From);
FenceKey read(wire::Session::FenceParams::Reader From);
LeavingQuery read(wire::Session::LeavingParams::Reader From);
RecordsQuery read(wire::Session::RecordsParams::Reader From);

SubReply read(SessionSearch::Reader From);
ConfigParts read(SessionFetch::Reader From);
ActionOutcome read(SessionForward::Reader From);
IntentAnswer read(SessionIntent::Reader From);
Done read(SessionOutcome::Reader From);
FenceAnswer read(SessionFence::Reader From);
LeavingUpstreams read(SessionLeaving::Reader From);
RecordsAnswer read(SessionRecords::Reader From);

/// The bytes of the large parts of a request or an answer.
template <typename T> std::size_t bodyBytes(const T &) { return 0; }
inline std::size_t bodyBytes(const SubRequest &V) { return V.Body.size(); }
inline std::size_t bodyBytes(const SubReply &V) { return V.Body.size(); }
inline std::size_t bodyBytes(const RecordsAnswer &V) {
  return V.Document.size();
}
inline std::size_t bodyBytes(const ForwardAction &V) {
  return V.Request.Body.size();
}
inline std::size_t bodyBytes(const ActionOutcome &V) { return V.Body.size(); }
inline std::size_t bodyBytes(const RecordOutcome &V) {
  return bodyBytes(V.Outcome);
}
inline std::size_t bodyBytes(const ConfigParts &V) {
  std::size_t Bytes = V.HeadJson.size();
  for (const auto &[Hash, Json] : V.Blobs)
    Bytes += Hash.size() + Json.size();
  return Bytes;
}

/// About how large the message will be: without it every message, however
/// small, starts with 8 KB that have to be cleared.
template <typename T> capnp::MessageSize sizeHint(const T &V) {
  constexpr std::size_t FieldBytes = 640;
  return {(bodyBytes(V) + FieldBytes) / sizeof(capnp::word), 0};
}
template <typename T> capnp::MessageSize sizeHint(const Attempt<T> &V) {
  return V ? sizeHint(*V) : capnp::MessageSize{64, 0};
}

/// The answer in \p From, or the failure that stands in its place.
template <typename T, typename Results>
Attempt<T> readAnswer(typename Results::Reader From) {
  if (From.hasFailure())
    return read(From.getFailure());
  return read(From);
}

/// Writes an answer or its failure.
template <typename T, typename Results>
void writeAnswer(const Attempt<T> &V, typename Results::Builder To) {
  if (!V)
    write(V.error(), To.initFailure());
  else if (bodyBytes(*V) > MaxPeerBodyBytes)
    write(Error{ResultCode::PeerBadMessage, "the answer is too large"},
          To.initFailure());
  else
    write(*V, To);
}

} // namespace shallot::internal

#endif // SHALLOTSHIFT_PEER_PEERCODEC_H
