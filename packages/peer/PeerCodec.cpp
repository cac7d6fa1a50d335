#include "peer/PeerCodec.h"

#include <kj/debug.h>

namespace shallot::internal {

namespace {

std::string text(capnp::Text::Reader From) {
  return std::string(From.begin(), From.size());
}

std::string bytes(capnp::Data::Reader From) {
  return std::string(reinterpret_cast<const char *>(From.begin()), From.size());
}

capnp::Data::Reader data(const std::string &From) {
  return {reinterpret_cast<const kj::byte *>(From.data()), From.size()};
}

capnp::Text::Reader text(const std::string &From) {
  return {From.c_str(), From.size()};
}

/// Negative times are of no use to the other side and have no form there.
std::uint64_t micros(Duration D) {
  return D.count() <= 0 ? 0 : static_cast<std::uint64_t>(D.count()) / 1000;
}

Duration duration(std::uint64_t Micros) {
  // Longer waits mean nothing here; the bound keeps the sum with a time point
  // from overflowing.
  constexpr std::uint64_t Longest = 24ULL * 3600 * 1000000;
  return std::chrono::microseconds(std::min(Micros, Longest));
}

ResultCode code(std::uint16_t Number) {
  std::optional<ResultCode> Code = resultCodeFromNumber(Number);
  KJ_REQUIRE(Code.has_value(), "unknown result code", Number);
  return *Code;
}

template <typename Enum> Enum checked(std::uint8_t Number, Enum Last) {
  KJ_REQUIRE(Number <= static_cast<std::uint8_t>(Last), "unknown value",
             Number);
  return static_cast<Enum>(Number);
}

void writeOutcome(const ActionOutcome &V, wire::ActionOutcome::Builder To) {
  To.setCode(static_cast<std::uint16_t>(V.Code));
  To.setUpstreamStatus(V.UpstreamStatus);
  To.setBody(data(V.Body));
  To.setReplayed(V.Replayed);
  To.setBodyDropped(V.BodyDropped);
  To.setRetryAfterMicros(micros(V.RetryAfter));
  To.setDetail(text(V.Detail));
}

ActionOutcome readOutcome(wire::ActionOutcome::Reader From) {
  ActionOutcome V;
  V.Code = code(From.getCode());
  V.UpstreamStatus = From.getUpstreamStatus();
  V.Body = bytes(From.getBody());
  V.Replayed = From.getReplayed();
  V.BodyDropped = From.getBodyDropped();
  V.RetryAfter = duration(From.getRetryAfterMicros());
  V.Detail = text(From.getDetail());
  return V;
}

} // namespace

void write(const DaemonId &V, wire::Daemon::Builder To) {
  To.setHost(text(V.Host.str()));
  To.setIncarnation(V.Incarnation);
}

DaemonId read(wire::Daemon::Reader From) {
  return {HostId(text(From.getHost())), From.getIncarnation()};
}

void write(const Error &V, wire::Failure::Builder To) {
  To.setCode(static_cast<std::uint16_t>(V.Code));
  To.setDetail(text(V.Detail));
}

Error read(wire::Failure::Reader From) {
  return {code(From.getCode()), text(From.getDetail())};
}

void write(const SubRequest &V, wire::SubRequest::Builder To) {
  To.setRequest(text(V.Request.str()));
  To.setAttempt(text(V.AttemptId));
  To.setOwner(text(V.Owner.str()));
  To.setCallerClass(text(V.Class.str()));
  To.setService(text(V.Service.str()));
  To.setTarget(text(V.Target.str()));
  To.setPinned(V.Pin.has_value());
  if (V.Pin) {
    To.setPinIndex(V.Pin->IndexVersion);
    To.setPinPartition(V.Pin->PartitionVersion);
  }
  To.setRemainingMicros(micros(V.Remaining));
  To.setPriority(static_cast<std::uint8_t>(V.Priority));
  To.setTraceParent(text(V.TraceParent));
  To.setBody(data(V.Body));
  To.setIdempotencyKey(text(V.IdempotencyKey));
}

SubRequest read(wire::SubRequest::Reader From) {
  SubRequest V;
  V.Request = RequestId(text(From.getRequest()));
  V.AttemptId = text(From.getAttempt());
  V.Owner = Tenant(text(From.getOwner()));
  V.Class = CallerClass(text(From.getCallerClass()));
  V.Service = ServiceName(text(From.getService()));
  V.Target = UpstreamId(text(From.getTarget()));
  if (From.getPinned())
    V.Pin = Snapshot{From.getPinIndex(), From.getPinPartition()};
  V.Remaining = duration(From.getRemainingMicros());
  V.Priority = std::min<unsigned>(From.getPriority(), LowestPriority);
  V.TraceParent = text(From.getTraceParent());
  V.Body = bytes(From.getBody());
  V.IdempotencyKey = text(From.getIdempotencyKey());
  return V;
}

void write(const SubReply &V, SessionSearch::Builder Results) {
  wire::SubReply::Builder To = Results.initReply();
  To.setCode(static_cast<std::uint16_t>(V.Code));
  To.setServedIndex(V.Served.IndexVersion);
  To.setServedPartition(V.Served.PartitionVersion);
  auto Servable = To.initServable(static_cast<unsigned>(V.Servable.size()));
  for (unsigned I = 0; I < Servable.size(); ++I) {
    Servable[I].setIndex(V.Servable[I].IndexVersion);
    Servable[I].setPartition(V.Servable[I].PartitionVersion);
  }
  To.setLoad(V.Load);
  To.setCold(V.Cold);
  To.setDraining(V.Draining);
  To.setRetryAfterMicros(micros(V.RetryAfter));
  To.setUpstreamTookMicros(micros(V.UpstreamTook));
  To.setQueuedMicros(micros(V.Queued));
  To.setHolderQueue(V.HolderQueue);
  To.setStatus(static_cast<std::uint16_t>(V.Status));
  To.setCrashed(V.Crashed);
  To.setBody(data(V.Body));
}

SubReply read(SessionSearch::Reader Results) {
  wire::SubReply::Reader From = Results.getReply();
  SubReply V;
  V.Code = code(From.getCode());
  V.Served = {From.getServedIndex(), From.getServedPartition()};
  for (wire::Snapshot::Reader S : From.getServable())
    V.Servable.push_back({S.getIndex(), S.getPartition()});
  V.Load = From.getLoad();
  V.Cold = From.getCold();
  V.Draining = From.getDraining();
  V.RetryAfter = duration(From.getRetryAfterMicros());
  V.UpstreamTook = duration(From.getUpstreamTookMicros());
  V.Queued = duration(From.getQueuedMicros());
  V.HolderQueue = From.getHolderQueue();
  V.Status = From.getStatus();
  V.Crashed = From.getCrashed();
  V.Body = bytes(From.getBody());
  return V;
}

void write(const ConfigQuery &V, wire::Session::FetchConfigParams::Builder To) {
  auto Have = To.initHave(static_cast<unsigned>(V.Have.size()));
  for (unsigned I = 0; I < Have.size(); ++I)
    Have.set(I, text(V.Have[I]));
  To.setMinGeneration(V.MinGeneration);
}

ConfigQuery read(wire::Session::FetchConfigParams::Reader From) {
  ConfigQuery V;
  auto Have = From.getHave();
  KJ_REQUIRE(Have.size() <= MaxHaveHashes, "too many hashes", Have.size());
  for (capnp::Text::Reader Hash : Have)
    V.Have.push_back(text(Hash));
  V.MinGeneration = From.getMinGeneration();
  return V;
}

void write(const ConfigParts &V, SessionFetch::Builder To) {
  To.setHead(data(V.HeadJson));
  auto Blobs = To.initBlobs(static_cast<unsigned>(V.Blobs.size()));
  unsigned I = 0;
  for (const auto &[Hash, Json] : V.Blobs) {
    Blobs[I].setHash(text(Hash));
    Blobs[I].setJson(data(Json));
    ++I;
  }
}

ConfigParts read(SessionFetch::Reader From) {
  ConfigParts V;
  V.HeadJson = bytes(From.getHead());
  for (wire::Blob::Reader B : From.getBlobs())
    V.Blobs[text(B.getHash())] = bytes(B.getJson());
  return V;
}

LeavingQuery read(wire::Session::LeavingParams::Reader) { return {}; }

void write(const LeavingUpstreams &V, SessionLeaving::Builder To) {
  To.setVersion(V.Version);
  std::size_t Count = std::min(V.Ids.size(), MaxLeavingUpstreams);
  auto Ids = To.initUpstreams(static_cast<unsigned>(Count));
  for (unsigned I = 0; I < Ids.size(); ++I)
    Ids.set(I, text(V.Ids[I].str()));
}

LeavingUpstreams read(SessionLeaving::Reader From) {
  LeavingUpstreams V;
  V.Version = From.getVersion();
  for (capnp::Text::Reader Id : From.getUpstreams())
    V.Ids.emplace_back(text(Id));
  return V;
}

void write(const RecordsQuery &V, wire::Session::RecordsParams::Builder To) {
  To.setKnown(V.Known);
}

RecordsQuery read(wire::Session::RecordsParams::Reader From) {
  return {From.getKnown()};
}

void write(const RecordsAnswer &V, SessionRecords::Builder To) {
  To.setVersion(V.Version);
  To.setDocument(data(V.Document));
}

RecordsAnswer read(SessionRecords::Reader From) {
  return {From.getVersion(), bytes(From.getDocument())};
}

void write(const ForwardAction &V, wire::Session::ForwardParams::Builder P) {
  wire::ActionRequest::Builder To = P.initRequest();
  const ActionRequest &R = V.Request;
  To.setRequest(text(R.Request.str()));
  To.setOwner(text(R.Owner.str()));
  To.setCallerClass(text(R.Class.str()));
  To.setService(text(R.Service.str()));
  To.setKey(text(R.Key));
  To.setBody(data(R.Body));
  To.setDigest(text(R.Digest));
  To.setTraceParent(text(R.TraceParent));
  To.setRemainingMicros(micros(R.Remaining));
  To.setAim(static_cast<std::uint8_t>(R.Aim));
  To.setFirstAttempt(R.FirstAttempt);
}

ForwardAction read(wire::Session::ForwardParams::Reader P) {
  wire::ActionRequest::Reader From = P.getRequest();
  ActionRequest R;
  R.Request = RequestId(text(From.getRequest()));
  R.Owner = Tenant(text(From.getOwner()));
  R.Class = CallerClass(text(From.getCallerClass()));
  R.Service = ServiceName(text(From.getService()));
  R.Key = text(From.getKey());
  R.Body = bytes(From.getBody());
  R.Digest = text(From.getDigest());
  R.TraceParent = text(From.getTraceParent());
  R.Remaining = duration(From.getRemainingMicros());
  R.Aim = checked(From.getAim(), ActionAim::LookUp);
  R.FirstAttempt = From.getFirstAttempt();
  return {std::move(R)};
}

void write(const ActionOutcome &V, SessionForward::Builder To) {
  writeOutcome(V, To.initOutcome());
}

ActionOutcome read(SessionForward::Reader From) {
  return readOutcome(From.getOutcome());
}

void write(const RecordIntent &V, wire::Session::IntentParams::Builder To) {
  To.setOwner(text(V.Owner.str()));
  To.setKey(text(V.Key));
  To.setDigest(text(V.Digest));
  To.setExpiry(V.Expiry);
}

RecordIntent read(wire::Session::IntentParams::Reader From) {
  return {Tenant(text(From.getOwner())), text(From.getKey()),
          text(From.getDigest()), From.getExpiry()};
}

void write(IntentAnswer V, SessionIntent::Builder To) {
  To.setAnswer(static_cast<std::uint8_t>(V));
}

IntentAnswer read(SessionIntent::Reader From) {
  return checked(From.getAnswer(), IntentAnswer::Full);
}

void write(const RecordOutcome &V, wire::Session::OutcomeParams::Builder To) {
  To.setOwner(text(V.Owner.str()));
  To.setKey(text(V.Key));
  To.setExpiry(V.Expiry);
  writeOutcome(V.Outcome, To.initOutcome());
}

RecordOutcome read(wire::Session::OutcomeParams::Reader From) {
  return {Tenant(text(From.getOwner())), text(From.getKey()), From.getExpiry(),
          readOutcome(From.getOutcome())};
}

void write(Done, SessionOutcome::Builder) {}

Done read(SessionOutcome::Reader) { return {}; }

void write(const FenceKey &V, wire::Session::FenceParams::Builder To) {
  To.setOwner(text(V.Owner.str()));
  To.setKey(text(V.Key));
  To.setDigest(text(V.Digest));
  To.setExpiry(V.Expiry);
}

FenceKey read(wire::Session::FenceParams::Reader From) {
  return {Tenant(text(From.getOwner())), text(From.getKey()),
          text(From.getDigest()), From.getExpiry()};
}

void write(const FenceAnswer &V, SessionFence::Builder To) {
  To.setAnswer(static_cast<std::uint8_t>(V.What));
  if (V.What == FenceAnswer::Kind::Outcome)
    writeOutcome(V.Outcome, To.initOutcome());
}

FenceAnswer read(SessionFence::Reader From) {
  FenceAnswer V;
  V.What = checked(From.getAnswer(), FenceAnswer::Kind::NotKnown);
  if (V.What == FenceAnswer::Kind::Outcome)
    V.Outcome = readOutcome(From.getOutcome());
  return V;
}

} // namespace shallot::internal
