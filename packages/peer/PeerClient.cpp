#include "peer/PeerClient.h"

#include <algorithm>
#include <arpa/inet.h>
#include <fmt/format.h>
#include <kj/debug.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace shallot::internal {

namespace {

/// How often calls are checked for their time and connections for silence.
constexpr kj::Duration SweepPeriod = 25 * kj::MILLISECONDS;
/// A sweep that comes this much later than planned means that this process was
/// stopped or starved, not that its peers were silent.
constexpr kj::Duration StalledAfter = 200 * kj::MILLISECONDS;

kj::Duration toKj(Duration D) { return D.count() * kj::NANOSECONDS; }

Error unreachable(const DaemonId &To, std::string_view Why) {
  return {ResultCode::PeerUnreachable, fmt::format("{}: {}", To.str(), Why)};
}

Error errorOf(const kj::Exception &E, const DaemonId &To) {
  std::string_view Text(E.getDescription().cStr());
  switch (E.getType()) {
  case kj::Exception::Type::DISCONNECTED:
    return unreachable(To, Text);
  case kj::Exception::Type::OVERLOADED:
    return {ResultCode::PeerBusy, fmt::format("{}: {}", To.str(), Text)};
  case kj::Exception::Type::FAILED:
  case kj::Exception::Type::UNIMPLEMENTED:
    break;
  }
  return {ResultCode::PeerBadMessage, fmt::format("{}: {}", To.str(), Text)};
}

sockaddr_in addressOf(const Endpoint &At) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(At.Port);
  inet_pton(AF_INET, At.Ip.c_str(), &Address.sin_addr);
  return Address;
}

} // namespace

capnp::ReaderOptions readerOptions() {
  capnp::ReaderOptions Options;
  Options.traversalLimitInWords = MaxPeerMessageBytes / sizeof(capnp::word);
  Options.nestingLimit = 16;
  return Options;
}

struct PeerClient::Connection {
  struct Call {
    kj::TimePoint Started;
    kj::TimePoint Deadline;
    kj::Function<void(Error)> Fail;
    kj::Promise<void> Running = nullptr;
  };

  DaemonId To;
  Endpoint Rpc;
  kj::Own<BatchedStream> Stream;
  kj::Own<capnp::TwoPartyVatNetwork> Network;
  kj::Own<capnp::RpcSystem<capnp::rpc::twoparty::VatId>> Rpcs;
  kj::Maybe<wire::Session::Client> Session;
  kj::TimePoint LastUsed;
  kj::Maybe<kj::TimePoint> PingSent;
  bool Gone = false;
  std::map<std::uint64_t, Call> Calls;
  kj::Promise<void> Opening = nullptr;
  kj::Promise<void> Watching = nullptr;
  kj::Promise<void> Pinging = nullptr;

  explicit Connection(kj::TimePoint Now) : LastUsed(Now) {}
};

PeerClient::PeerClient(kj::AsyncIoContext &Io, const DaemonId &Self,
                       const PeerLimits &Limits, PeerCounters &Counters)
    : Io(Io), Clock(Io.provider->getTimer()), Self(Self), Limits(Limits),
      Counters(Counters), LastSweep(Clock.now()) {
  Sweeping = sweepForever().eagerlyEvaluate(nullptr);
}

PeerClient::~PeerClient() = default;

// Calls.

void PeerClient::start(OutCall Call) {
  Finished.clear();
  Connection *C = connectionTo(Call.To, Call.Rpc);
  if (!C || C->Calls.size() >= Limits.MaxCallsPerConnection) {
    Counters.CallsRefused.fetch_add(1, std::memory_order_relaxed);
    return Call.Fail({ResultCode::PeerBusy,
                      Call.To.str() + ": too many calls or connections"});
  }
  Counters.CallsSent.fetch_add(1, std::memory_order_relaxed);
  std::uint64_t Id = Call.Id;
  kj::TimePoint Now = Clock.now();
  C->LastUsed = Now;
  Where[Id] = C;
  Connection::Call &Mine =
      C->Calls
          .emplace(Id, Connection::Call{Now, Now + toKj(Call.Timeout),
                                        kj::mv(Call.Fail)})
          .first->second;
  Mine.Running =
      kj::evalNow([&] { return Call.Send(KJ_ASSERT_NONNULL(C->Session)); })
          .then([this, C, Id] { completed(*C, Id); },
                [this, C, Id](kj::Exception &&E) { broke(*C, Id, E); })
          .eagerlyEvaluate(nullptr);
}

void PeerClient::completed(Connection &C, std::uint64_t Id) {
  if (C.Gone)
    return;
  auto Node = C.Calls.extract(Id);
  Where.erase(Id);
  if (!Node.empty())
    Finished.push_back(kj::mv(Node.mapped().Running));
}

void PeerClient::broke(Connection &C, std::uint64_t Id,
                       const kj::Exception &E) {
  if (C.Gone)
    return;
  Error Why = errorOf(E, C.To);
  if (E.getType() == kj::Exception::Type::DISCONNECTED)
    return retire(C, Why);
  auto It = C.Calls.find(Id);
  if (It == C.Calls.end())
    return;
  Counters.CallsFailed.fetch_add(1, std::memory_order_relaxed);
  It->second.Fail(kj::mv(Why));
  completed(C, Id);
}

void PeerClient::cancel(std::uint64_t Id) {
  auto It = Where.find(Id);
  if (It == Where.end())
    return;
  // Dropping the promise tells the peer that the answer is not wanted.
  It->second->Calls.erase(Id);
  Where.erase(It);
}

// Connections.

PeerClient::Connection *PeerClient::connectionTo(const DaemonId &To,
                                                 const Endpoint &Rpc) {
  auto It = Open.find(To);
  if (It != Open.end() && It->second->Rpc == Rpc)
    return It->second.get();
  if (It != Open.end())
    retire(*It->second, unreachable(To, "it has moved to another address"));
  return makeRoom() ? open(To, Rpc) : nullptr;
}

bool PeerClient::makeRoom() {
  if (Open.size() < Limits.MaxOutbound)
    return true;
  Connection *Oldest = nullptr;
  for (auto &[To, C] : Open)
    if (C->Calls.empty() && (!Oldest || C->LastUsed < Oldest->LastUsed))
      Oldest = C.get();
  if (!Oldest)
    return false;
  retire(*Oldest, unreachable(Oldest->To, "closed to make room"));
  return true;
}

PeerClient::Connection *PeerClient::open(const DaemonId &To,
                                         const Endpoint &Rpc) {
  auto Made = kj::heap<Connection>(Clock.now());
  Connection &C = *Made;
  C.To = To;
  C.Rpc = Rpc;
  Counters.ConnectionsOpened.fetch_add(1, std::memory_order_relaxed);
  auto Both = connect(C).fork();
  C.Session = wire::Session::Client(Both.addBranch());
  C.Opening = Both.addBranch()
                  .then([&C](wire::Session::Client Session) {
                    C.Session = kj::mv(Session);
                  })
                  .eagerlyEvaluate([this, &C](kj::Exception &&E) {
                    retire(C, unreachable(C.To, E.getDescription().cStr()));
                  });
  Open[To] = kj::mv(Made);
  Counters.OutboundOpen.store(Open.size(), std::memory_order_relaxed);
  return &C;
}

kj::Promise<wire::Session::Client> PeerClient::connect(Connection &C) {
  sockaddr_in Address = addressOf(C.Rpc);
  auto To = Io.provider->getNetwork().getSockaddr(&Address, sizeof(Address));
  auto Connecting = To->connect().attach(kj::mv(To));
  return Clock.timeoutAfter(toKj(Limits.ConnectTimeout), kj::mv(Connecting))
      .then([this, &C](kj::Own<kj::AsyncIoStream> Stream) {
        return introduce(C, kj::mv(Stream));
      });
}

wire::Session::Client PeerClient::introduce(Connection &C,
                                            kj::Own<kj::AsyncIoStream> Stream) {
  C.Stream = kj::heap<BatchedStream>(kj::mv(Stream), Clock, Counters.Streams);
  C.Network = kj::heap<capnp::TwoPartyVatNetwork>(
      *C.Stream, capnp::rpc::twoparty::Side::CLIENT, readerOptions());
  C.Rpcs = kj::heap(capnp::makeRpcClient(*C.Network));
  capnp::MallocMessageBuilder Message;
  auto Id = Message.initRoot<capnp::rpc::twoparty::VatId>();
  Id.setSide(capnp::rpc::twoparty::Side::SERVER);
  auto Request = C.Rpcs->bootstrap(Id).castAs<wire::Peer>().openRequest();
  write(Self, Request.initCaller());
  write(C.To, Request.initExpected());
  auto Answer = Request.send();
  wire::Session::Client Session = Answer.getSession();
  auto Judge = [this, &C](capnp::Response<wire::Peer::OpenResults> &&R) {
    if (!R.getAccepted())
      retire(C,
             {ResultCode::PeerWrongIncarnation, C.To.str() + " was replaced"});
  };
  auto Lost = [this, &C](kj::Exception &&E) {
    retire(C, unreachable(C.To, E.getDescription().cStr()));
  };
  auto Disconnected = C.Network->onDisconnect().then(
      [this, &C] { retire(C, unreachable(C.To, "the connection closed")); });
  C.Watching =
      Answer.then(kj::mv(Judge), kj::mv(Lost))
          .then([D = kj::mv(Disconnected)]() mutable { return kj::mv(D); })
          .eagerlyEvaluate(nullptr);
  return Session;
}

void PeerClient::retire(Connection &C, const Error &Why) {
  if (C.Gone)
    return;
  C.Gone = true;
  for (auto &[Id, Call] : C.Calls) {
    Where.erase(Id);
    Counters.CallsFailed.fetch_add(1, std::memory_order_relaxed);
    Call.Fail(Why);
  }
  auto It = Open.find(C.To);
  if (It != Open.end() && It->second.get() == &C) {
    Retired.push_back(kj::mv(It->second));
    Open.erase(It);
  }
  Counters.OutboundOpen.store(Open.size(), std::memory_order_relaxed);
}

void PeerClient::keepOnly(const std::set<DaemonId> &Peers) {
  std::vector<Connection *> Others;
  for (auto &[To, C] : Open)
    if (!Peers.contains(To) && To.Incarnation != 0)
      Others.push_back(C.get());
  for (Connection *C : Others)
    retire(*C, unreachable(C->To, "no longer a member"));
}

// Time.

kj::Promise<void> PeerClient::sweepForever() {
  return Clock.afterDelay(SweepPeriod).then([this] {
    sweep();
    return sweepForever();
  });
}

void PeerClient::sweep() {
  Finished.clear();
  Retired.clear();
  kj::TimePoint Now = Clock.now();
  bool Stalled = Now - LastSweep > SweepPeriod + StalledAfter;
  LastSweep = Now;
  std::vector<Connection *> All;
  for (auto &[To, C] : Open)
    All.push_back(C.get());
  for (Connection *C : All) {
    sweepCalls(*C, Now);
    if (Stalled) {
      // What the peers said while we were stopped is still in the sockets.
      // Judged now, all of them would look silent at once.
      C->PingSent = nullptr;
    } else if (isSilent(*C, Now)) {
      Counters.SilentConnections.fetch_add(1, std::memory_order_relaxed);
      retire(*C, unreachable(C->To, "the connection has gone silent"));
    } else if (C->Calls.empty() &&
               Now - C->LastUsed > toKj(Limits.IdleTimeout)) {
      retire(*C, unreachable(C->To, "idle"));
    }
  }
}

void PeerClient::sweepCalls(Connection &C, kj::TimePoint Now) {
  for (auto It = C.Calls.begin(); It != C.Calls.end();) {
    if (It->second.Deadline > Now) {
      ++It;
      continue;
    }
    Counters.CallsFailed.fetch_add(1, std::memory_order_relaxed);
    It->second.Fail(unreachable(C.To, "no answer within the time allowed"));
    Where.erase(It->first);
    It = C.Calls.erase(It);
  }
}

bool PeerClient::isSilent(Connection &C, kj::TimePoint Now) {
  if (!C.Stream)
    return false; // ConnectTimeout watches over it.
  kj::TimePoint Heard = C.Stream->lastHeard();
  KJ_IF_MAYBE (Sent, C.PingSent) {
    if (Heard < *Sent)
      return Now - *Sent > toKj(Limits.PingTimeout);
    C.PingSent = nullptr;
  }
  if (C.Calls.empty())
    return false;
  kj::TimePoint Since = std::max(Heard, C.Calls.begin()->second.Started);
  if (Now - Since > toKj(Limits.QuietBeforePing))
    sendPing(C, Now);
  return false;
}

void PeerClient::sendPing(Connection &C, kj::TimePoint Now) {
  C.PingSent = Now;
  // Any byte that arrives counts as a sign of life, so the answer itself is of
  // no interest.
  C.Pinging = KJ_ASSERT_NONNULL(C.Session)
                  .pingRequest()
                  .send()
                  .ignoreResult()
                  .eagerlyEvaluate([](kj::Exception &&) {});
}

} // namespace shallot::internal
