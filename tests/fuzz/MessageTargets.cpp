//===- MessageTargets.cpp -------------------------------------------------===//
#include "front/ReplyReading.h"
#include "fuzz/FuzzTarget.h"
#include "http1/MessageReader.h"
#include "peer/DatagramPacking.h"
#include "peer/GossipCodec.h"
#include "peer/PeerCodec.h"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <cstring>

namespace shallot::fuzz {

namespace {

using internal::Message;
using internal::MessageLimits;
using internal::MessageReader;
using internal::ReadState;

constexpr MessageLimits SmallLimits{2000, 4000};
constexpr std::size_t MostUnpacked = 4096;

/// What a reader makes of bytes that come in pieces of \p Piece.
struct Reading {
  ReadState State = ReadState::Waiting;
  std::size_t Used = 0;
  std::string Target;
  std::string Body;
  HttpHeaders Headers;
  int Status = 0;
  bool KeepAlive = false;

  friend bool operator==(const Reading &, const Reading &) = default;
};

bool ended(ReadState S) {
  return S != ReadState::Waiting && S != ReadState::Headers &&
         S != ReadState::Body;
}

Reading readInPieces(MessageKind Kind, const std::string &Bytes,
                     std::size_t Piece) {
  MessageReader R(Kind, SmallLimits);
  Reading Out;
  while (Out.Used < Bytes.size() && !ended(R.state())) {
    std::string_view Next(Bytes.data() + Out.Used,
                          std::min(Piece, Bytes.size() - Out.Used));
    Out.Used += R.feed(Next);
  }
  Out.State = R.state();
  if (Out.State != ReadState::Whole)
    return Out;
  Message M = R.take();
  Out.Target = M.Target;
  Out.Body = M.Body;
  Out.Headers = M.Headers;
  Out.Status = M.Status;
  Out.KeepAlive = M.KeepAlive;
  return Out;
}

/// How bytes are cut into packets must not change what they mean: a request
/// that reads differently in pieces can be smuggled past whoever read it whole.
void sameInPieces(MessageKind Kind, const std::string &Input) {
  Reading Whole =
      readInPieces(Kind, Input, std::max<std::size_t>(1, Input.size()));
  require(Whole.Body.size() <= SmallLimits.MaxBodyBytes, "a body is bounded");
  for (std::size_t Piece : {1, 7}) {
    Reading InPieces = readInPieces(Kind, Input, Piece);
    bool BothWhole =
        Whole.State == ReadState::Whole || InPieces.State == ReadState::Whole;
    require(!BothWhole || InPieces == Whole,
            "a message reads the same in pieces");
  }
}

void httpRequest(const std::string &Input) {
  sameInPieces(MessageKind::Request, Input);
}

void httpReply(const std::string &Input) {
  sameInPieces(MessageKind::Reply, Input);
}

const HeaderNames Names{"Id",   "Left",   "Sign",  "To",
                        "Load", "NotRun", "Signs", "Missing"};

/// The input is a reply's bytes; what it proves must not go beyond them.
void replicaReply(const std::string &Input) {
  MessageReader R(MessageKind::Reply, SmallLimits);
  R.feed(Input);
  R.feedEnd();
  if (R.state() != ReadState::Whole)
    return;
  Message M = R.take();
  UpstreamReply Reply;
  Reply.How = CallEnd::Answered;
  Reply.Status = M.Status;
  Reply.Headers = M.Headers;
  Reply.Body = M.Body;
  SendResult Result = readReply(Names, Reply, true);
  bool SaysNotRun =
      M.Status == 421 || !headerValue(M.Headers, Names.NotRun).empty();
  require(Result.How != SendStatus::Rejected || SaysNotRun,
          "only a replica that says so has not run it");
  require(Result.How != SendStatus::NotSent, "what was answered was sent");
  if (Result.Load)
    require(Result.Load->Slots > 0, "a replica has a slot");
}

std::vector<std::byte> bytesOf(const std::string &Text) {
  std::vector<std::byte> Bytes(Text.size());
  if (!Text.empty())
    std::memcpy(Bytes.data(), Text.data(), Text.size());
  return Bytes;
}

std::string textOf(const std::vector<std::byte> &Bytes) {
  return {reinterpret_cast<const char *>(Bytes.data()), Bytes.size()};
}

void gossip(const std::string &Input) {
  std::vector<std::byte> Datagram = bytesOf(Input);
  auto Plain =
      attempt([&] { return internal::unpackDatagram(Datagram, MostUnpacked); });
  if (Plain) {
    require(Plain->size() <= MostUnpacked, "a datagram is bounded");
    Datagram = std::move(*Plain);
  }
  auto M = attempt([&] { return decodeGossip(Datagram); });
  if (!M)
    return;
  auto Back = attempt([&] { return decodeGossip(encodeGossip(*M)); });
  require(Back && *Back == *M, "a message that is accepted survives the way");
}

template <typename Wire> void readAs(const std::string &Input) {
  // The library reads words; what is left of the last one cannot come.
  std::size_t Words = Input.size() / sizeof(capnp::word);
  kj::Array<capnp::word> Buffer = kj::heapArray<capnp::word>(Words);
  if (Words != 0)
    std::memcpy(Buffer.begin(), Input.data(), Words * sizeof(capnp::word));
  try {
    capnp::FlatArrayMessageReader Reader(Buffer);
    (void)internal::read(Reader.getRoot<Wire>());
  } catch (const kj::Exception &) {
    // Refused, which the RPC layer tells the peer.
  }
}

void peerFrame(const std::string &Input) {
  readAs<wire::Daemon>(Input);
  readAs<wire::Failure>(Input);
  readAs<wire::SubRequest>(Input);
  readAs<wire::Session::FetchConfigParams>(Input);
  readAs<wire::Session::ForwardParams>(Input);
  readAs<wire::Session::IntentParams>(Input);
  readAs<wire::Session::OutcomeParams>(Input);
  readAs<wire::Session::FenceParams>(Input);
  readAs<wire::Session::LeavingParams>(Input);
  readAs<wire::Session::RecordsParams>(Input);
  readAs<internal::SessionSearch>(Input);
  readAs<internal::SessionFetch>(Input);
  readAs<internal::SessionForward>(Input);
  readAs<internal::SessionIntent>(Input);
  readAs<internal::SessionOutcome>(Input);
  readAs<internal::SessionFence>(Input);
  readAs<internal::SessionLeaving>(Input);
  readAs<internal::SessionRecords>(Input);
}

template <typename Wire, typename T> std::string framed(const T &Value) {
  capnp::MallocMessageBuilder Builder;
  internal::write(Value, Builder.initRoot<Wire>());
  kj::Array<capnp::word> Words = capnp::messageToFlatArray(Builder);
  auto Bytes = Words.asBytes();
  return {reinterpret_cast<const char *>(Bytes.begin()), Bytes.size()};
}

std::vector<std::string> frames() {
  SubRequest Ask;
  Ask.Body = "body";
  SubReply Reply;
  Reply.Body = "records";
  ConfigParts Parts;
  Parts.HeadJson = "{}";
  Parts.Blobs = {{"hash", "{}"}};
  return {framed<wire::SubRequest>(Ask), framed<internal::SessionSearch>(Reply),
          framed<internal::SessionFetch>(Parts),
          framed<wire::Daemon>(DaemonId{HostId("entry-a"), 77}),
          framed<wire::Failure>(Error{ResultCode::PeerBusy, "busy"})};
}

std::vector<std::string> datagrams() {
  GossipMessage M;
  M.Kind = GossipKind::IndirectProbe;
  M.Sender.Who.Id = {HostId("entry-a"), 77};
  M.Sender.Who.Rpc = {"127.0.15.1", 41042};
  M.Sender.Who.Http = {"127.0.15.1", 8080};
  M.Sender.Who.Gossip = {"127.0.15.1", 41041};
  M.Sender.Version = 3;
  M.Target = {HostId("entry-b"), 9};
  M.TargetGossip = {"127.0.15.9", 41049};
  M.Updates = {M.Sender};
  std::vector<std::byte> Plain = encodeGossip(M);
  return {textOf(Plain), textOf(internal::packDatagram(Plain))};
}

const char Request[] = "POST /x/1?q=%2f HTTP/1.1\r\nHost: a.example\r\n"
                       "Request-Id: 9c41\r\nDeadline-Ms: 600\r\n"
                       "Content-Length: 4\r\n\r\nbodyGET / HTTP/1.1\r\n";
const char ChunkedRequest[] =
    "POST /x HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n"
    "4\r\nbody\r\n3;x=1\r\nend\r\n0\r\nTrailer: 1\r\n\r\n";
const char Reply[] = "HTTP/1.1 200 OK\r\nId: 9c41\r\nSign: 3e1b.07\r\n"
                     "Load: 1,2,3\r\nKeep-Alive: timeout=5\r\n"
                     "Content-Length: 4\r\n\r\nbody";
const char Rejection[] =
    "HTTP/1.1 503 Busy\r\nNotRun: 1\r\nRetry-After: 0.2\r\n"
    "Content-Length: 0\r\n\r\n";
const char ReplyWithoutLength[] = "HTTP/1.1 200 OK\r\nSign: 3\r\n\r\nbody";

} // namespace

std::vector<FuzzTarget> messageTargets() {
  std::vector<std::string> Replies = {Reply, Rejection, ReplyWithoutLength};
  return {
      {"http-request", Shape::Http, {Request, ChunkedRequest}, &httpRequest},
      {"http-reply", Shape::Http, Replies, &httpReply},
      {"replica-reply", Shape::Http, Replies, &replicaReply},
      {"gossip", Shape::Bytes, datagrams(), &gossip},
      {"peer-frame", Shape::Bytes, frames(), &peerFrame},
  };
}

} // namespace shallot::fuzz
