#include "peer/PeerNode.h"

#include "peer/KjThread.h"
#include "peer/PeerServer.h"
#include "shallotshift/net.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <unordered_map>

namespace shallot {

using namespace internal;

namespace {

/// Connections that may wait to be accepted: a whole zone that reconnects.
constexpr int ListenBacklog = 1024;

Result<int> listenAt(const Endpoint &At) {
  int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  int On = 1;
  ::setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(At.Port);
  bool Ok = ::inet_pton(AF_INET, At.Ip.c_str(), &Address.sin_addr) == 1 &&
            ::bind(Fd, reinterpret_cast<sockaddr *>(&Address),
                   sizeof(Address)) == 0 &&
            ::listen(Fd, ListenBacklog) == 0;
  if (Ok)
    return Fd;
  std::string Why = std::strerror(errno);
  ::close(Fd);
  return fail(ResultCode::AddressInUse,
              fmt::format("peer address {}: {}", At.str(), Why));
}

/// A call of ours on the EventLoop's side.
struct PendingBase {
  virtual ~PendingBase() = default;
  virtual void drop() = 0;
};

template <typename T> struct Pending final : PendingBase {
  PeerCallback<T> Done; ///< Empty once called or cancelled.
  void drop() override { Done = nullptr; }
};

} // namespace

struct PeerNode::Impl {
  Impl(EventLoop &Loop, DaemonId Self, PeerHandlers Handlers, PeerLimits Limits)
      : Self(std::move(Self)), Handlers(std::move(Handlers)), Limits(Limits),
        Thread(Loop) {}

  void start(int Listener);
  /// Sends one call; \p Send makes its request and reads its answer.
  template <typename T, typename Sender>
  CallId call(const Member &To, Duration Timeout, PeerCallback<T> Done,
              std::size_t Bytes, Sender Send);
  /// Sends \p M by the method whose request \p Open makes; \p Results is what
  /// the schema answers with.
  template <typename Results, typename T, typename Message,
            typename OpenRequest>
  CallId ask(const Member &To, Message M, Duration Timeout,
             PeerCallback<T> Done, OpenRequest Open);
  template <typename T>
  void deliver(CallId Id, const std::shared_ptr<Pending<T>> &P,
               Attempt<T> Answer);

  DaemonId Self;
  PeerHandlers Handlers;
  PeerLimits Limits;
  PeerCounters Counters;
  CallId LastId = 0;
  std::unordered_map<CallId, std::shared_ptr<PendingBase>> Calls;
  PeerClient *Client = nullptr; ///< Only on the KJ thread.
  KjThread Thread;              ///< Ends first.
};

void PeerNode::Impl::start(int Listener) {
  Thread.start(
      [this, Listener](kj::AsyncIoContext &Io, kj::Promise<void> Stop) {
        PeerClient Mine(Io, Self, Limits, Counters);
        PeerServer Server(Io, Listener, Self, Handlers, Limits, Counters,
                          Thread.toKj(), Thread.toLoop());
        Client = &Mine;
        Stop.wait(Io.waitScope);
        Client = nullptr;
      });
}

template <typename T>
void PeerNode::Impl::deliver(CallId Id, const std::shared_ptr<Pending<T>> &P,
                             Attempt<T> Answer) {
  auto Done = std::exchange(P->Done, nullptr);
  if (!Done)
    return;
  Calls.erase(Id);
  Done(std::move(Answer));
}

template <typename T, typename Sender>
PeerNode::CallId PeerNode::Impl::call(const Member &To, Duration Timeout,
                                      PeerCallback<T> Done, std::size_t Bytes,
                                      Sender Send) {
  CallId Id = ++LastId;
  auto P = std::make_shared<Pending<T>>();
  P->Done = std::move(Done);
  Calls[Id] = P;
  auto Deliver = [this, Id, P](Attempt<T> Answer) {
    Thread.toLoop()->push([this, Id, P, Answer = kj::mv(Answer)]() mutable {
      deliver(Id, P, kj::mv(Answer));
    });
  };
  if (Bytes > MaxPeerBodyBytes) {
    Deliver(Error{ResultCode::PeerBadMessage,
                  fmt::format("a body of {} bytes; at most {} go to a peer",
                              Bytes, MaxPeerBodyBytes)});
    return Id;
  }
  OutCall Out{Id,
              To.Id,
              To.Rpc,
              Timeout,
              [Deliver, Send = kj::mv(Send)](wire::Session::Client &S) mutable {
                return Send(S).then(kj::cp(Deliver));
              },
              [Deliver](Error E) { Deliver(kj::mv(E)); }};
  Thread.toKj()->push([this, Out = kj::mv(Out)]() mutable {
    if (Client)
      Client->start(kj::mv(Out));
  });
  return Id;
}

template <typename Results, typename T, typename Message, typename OpenRequest>
PeerNode::CallId PeerNode::Impl::ask(const Member &To, Message M,
                                     Duration Timeout, PeerCallback<T> Done,
                                     OpenRequest Open) {
  std::size_t Bytes = bodyBytes(M);
  return call<T>(To, Timeout, std::move(Done), Bytes,
                 [M = std::move(M), Open](wire::Session::Client &S) {
                   auto Request = Open(S);
                   write(M, Request);
                   return Request.send().then(
                       [](auto &&A) { return readAnswer<T, Results>(A); });
                 });
}

PeerNode::PeerNode(std::unique_ptr<Impl> I) : I(std::move(I)) {}

PeerNode::~PeerNode() {
  I->Thread.stop();
  // Callbacks are destroyed here and not by whichever thread drops the last
  // reference to a call.
  for (auto &[Id, P] : I->Calls)
    P->drop();
}

Result<std::unique_ptr<PeerNode>> PeerNode::open(EventLoop &Loop, DaemonId Self,
                                                 const Endpoint &At,
                                                 PeerHandlers Handlers,
                                                 PeerLimits Limits) {
  BOOST_LEAF_AUTO(Listener, listenAt(At));
  auto I = std::make_unique<Impl>(Loop, std::move(Self), std::move(Handlers),
                                  Limits);
  I->start(Listener);
  return std::unique_ptr<PeerNode>(new PeerNode(std::move(I)));
}

PeerNode::CallId PeerNode::search(const Member &To, SubRequest R,
                                  Duration Timeout,
                                  PeerCallback<SubReply> Done) {
  return I->ask<SessionSearch>(
      To, std::move(R), Timeout, std::move(Done),
      [](wire::Session::Client &S) { return S.searchRequest(); });
}

PeerNode::CallId PeerNode::fetchConfig(const Member &To, ConfigQuery Q,
                                       Duration Timeout,
                                       PeerCallback<ConfigParts> Done) {
  return I->ask<SessionFetch>(
      To, std::move(Q), Timeout, std::move(Done),
      [](wire::Session::Client &S) { return S.fetchConfigRequest(); });
}

PeerNode::CallId PeerNode::leaving(const Member &To, Duration Timeout,
                                   PeerCallback<LeavingUpstreams> Done) {
  return I->call<LeavingUpstreams>(
      To, Timeout, std::move(Done), 0, [](wire::Session::Client &S) {
        return S.leavingRequest().send().then([](auto &&A) {
          return readAnswer<LeavingUpstreams, SessionLeaving>(A);
        });
      });
}

PeerNode::CallId PeerNode::records(const Member &To, RecordsQuery Q,
                                   Duration Timeout,
                                   PeerCallback<RecordsAnswer> Done) {
  return I->ask<SessionRecords>(
      To, Q, Timeout, std::move(Done),
      [](wire::Session::Client &S) { return S.recordsRequest(); });
}

PeerNode::CallId PeerNode::forward(const Member &To, ForwardAction M,
                                   Duration Timeout,
                                   PeerCallback<ActionOutcome> Done) {
  return I->ask<SessionForward>(
      To, std::move(M), Timeout, std::move(Done),
      [](wire::Session::Client &S) { return S.forwardRequest(); });
}

PeerNode::CallId PeerNode::recordIntent(const Member &To, RecordIntent M,
                                        Duration Timeout,
                                        PeerCallback<IntentAnswer> Done) {
  return I->ask<SessionIntent>(
      To, std::move(M), Timeout, std::move(Done),
      [](wire::Session::Client &S) { return S.intentRequest(); });
}

PeerNode::CallId PeerNode::recordOutcome(const Member &To, RecordOutcome M,
                                         Duration Timeout,
                                         PeerCallback<shallot::Done> Done) {
  return I->ask<SessionOutcome>(
      To, std::move(M), Timeout, std::move(Done),
      [](wire::Session::Client &S) { return S.outcomeRequest(); });
}

PeerNode::CallId PeerNode::fence(const Member &To, FenceKey M, Duration Timeout,
                                 PeerCallback<FenceAnswer> Done) {
  return I->ask<SessionFence>(
      To, std::move(M), Timeout, std::move(Done),
      [](wire::Session::Client &S) { return S.fenceRequest(); });
}

PeerNode::CallId PeerNode::ping(const Member &To, Duration Timeout,
                                PeerCallback<shallot::Done> Done) {
  return I->call<shallot::Done>(
      To, Timeout, std::move(Done), 0, [](wire::Session::Client &S) {
        return S.pingRequest().send().then(
            [](auto &&) { return Attempt<shallot::Done>(shallot::Done{}); });
      });
}

void PeerNode::cancel(CallId Id) {
  auto It = I->Calls.find(Id);
  if (It == I->Calls.end())
    return;
  It->second->drop();
  I->Calls.erase(It);
  I->Thread.toKj()->push([I = I.get(), Id] {
    if (I->Client)
      I->Client->cancel(Id);
  });
}

void PeerNode::keepOnly(const FleetView &View) {
  std::set<DaemonId> Peers;
  for (const Member &M : View.Members)
    if (M.State != MemberState::Failed && M.State != MemberState::Left)
      Peers.insert(M.Id);
  I->Thread.toKj()->push([I = I.get(), Peers = std::move(Peers)] {
    if (I->Client)
      I->Client->keepOnly(Peers);
  });
}

std::size_t PeerNode::inFlight() const { return I->Calls.size(); }

PeerStats PeerNode::stats() const {
  const PeerCounters &C = I->Counters;
  PeerStats S;
  S.CallsSent = C.CallsSent;
  S.CallsServed = C.CallsServed;
  S.CallsFailed = C.CallsFailed;
  S.CallsRefused = C.CallsRefused;
  S.SilentConnections = C.SilentConnections;
  S.ConnectionsOpened = C.ConnectionsOpened;
  S.OutboundOpen = C.OutboundOpen;
  S.InboundOpen = C.InboundOpen;
  S.InboundRefused = C.InboundRefused;
  S.BytesSent = C.Streams.Sent;
  S.BytesReceived = C.Streams.Received;
  return S;
}

} // namespace shallot
