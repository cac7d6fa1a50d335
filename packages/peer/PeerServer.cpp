#include "peer/PeerServer.h"

#include <kj/debug.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unistd.h>

namespace shallot::internal {

namespace {

/// Before accepting again after an error such as "too many open files", which
/// comes back at once and would otherwise spin.
constexpr kj::Duration AcceptPause = 100 * kj::MILLISECONDS;
/// The answer to open(): a flag and one capability, with room to spare.
constexpr capnp::MessageSize OpenResultsSize{8, 1};

void noDelay(kj::AsyncIoStream &Stream) {
  // Without it a small answer waits for the acknowledgement of the one before.
  int On = 1;
  Stream.setsockopt(IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

/// Where the EventLoop's side leaves the way to the handler of one call.
template <typename Answer> struct Cell {
  std::weak_ptr<typename PeerResponder<Answer>::State> Held;
};

template <typename Answer> void cancelIn(Cell<Answer> &C) {
  auto State = C.Held.lock();
  if (!State)
    return;
  State->Send = nullptr;
  if (auto Cancelled = std::exchange(State->Cancelled, nullptr))
    Cancelled();
}

} // namespace

struct PeerServer::Connection {
  std::uint64_t Id;
  DaemonId From; ///< Empty until it has introduced itself.
  std::size_t Calls = 0;
  kj::Own<BatchedStream> Stream;
  kj::Own<capnp::TwoPartyVatNetwork> Network;
  kj::Own<capnp::RpcSystem<capnp::rpc::twoparty::VatId>> Rpcs;
  kj::Promise<void> Closing = nullptr;
};

/// The calls of one connection whose two ends agree on who they are.
class PeerServer::SessionImpl final : public wire::Session::Server {
public:
  SessionImpl(PeerServer &Owner, std::uint64_t ConnectionId)
      : Owner(Owner), ConnectionId(ConnectionId) {}

  kj::Promise<void> search(SearchContext Ctx) override {
    return Owner.serve(ConnectionId, Owner.Handlers.Search,
                       read(Ctx.getParams()), Ctx);
  }
  kj::Promise<void> fetchConfig(FetchConfigContext Ctx) override {
    return Owner.serve(ConnectionId, Owner.Handlers.FetchConfig,
                       read(Ctx.getParams()), Ctx);
  }
  kj::Promise<void> forward(ForwardContext Ctx) override {
    return Owner.serve(ConnectionId, Owner.Handlers.Forward,
                       read(Ctx.getParams()), Ctx);
  }
  kj::Promise<void> intent(IntentContext Ctx) override {
    return Owner.serve(ConnectionId, Owner.Handlers.Intent,
                       read(Ctx.getParams()), Ctx);
  }
  kj::Promise<void> outcome(OutcomeContext Ctx) override {
    return Owner.serve(ConnectionId, Owner.Handlers.Outcome,
                       read(Ctx.getParams()), Ctx);
  }
  kj::Promise<void> fence(FenceContext Ctx) override {
    return Owner.serve(ConnectionId, Owner.Handlers.Fence,
                       read(Ctx.getParams()), Ctx);
  }
  kj::Promise<void> leaving(LeavingContext Ctx) override {
    return Owner.serve(ConnectionId, Owner.Handlers.Leaving,
                       read(Ctx.getParams()), Ctx);
  }
  kj::Promise<void> records(RecordsContext Ctx) override {
    return Owner.serve(ConnectionId, Owner.Handlers.Records,
                       read(Ctx.getParams()), Ctx);
  }
  kj::Promise<void> ping(PingContext) override { return kj::READY_NOW; }

private:
  PeerServer &Owner;
  std::uint64_t ConnectionId;
};

class PeerServer::PeerImpl final : public wire::Peer::Server {
public:
  PeerImpl(PeerServer &Owner, Connection &C) : Owner(Owner), C(C) {}

  kj::Promise<void> open(OpenContext Ctx) override {
    DaemonId Expected = read(Ctx.getParams().getExpected());
    // An address is used again by the next daemon on the host. It must not
    // answer for the one before: it knows nothing of that one's actions.
    bool Meant = Expected.Host == Owner.Self.Host &&
                 (Expected.Incarnation == 0 ||
                  Expected.Incarnation == Owner.Self.Incarnation);
    auto Results = Ctx.getResults(OpenResultsSize);
    Results.setAccepted(Meant);
    if (!Meant)
      return kj::READY_NOW;
    C.From = read(Ctx.getParams().getCaller());
    Results.setSession(kj::heap<SessionImpl>(Owner, C.Id));
    return kj::READY_NOW;
  }

private:
  PeerServer &Owner;
  Connection &C;
};

template <typename Answer, typename Request, typename Context>
kj::Promise<void> PeerServer::serve(std::uint64_t ConnectionId,
                                    const PeerHandler<Request, Answer> &Handler,
                                    Request Value, Context Ctx) {
  using Results = std::decay_t<decltype(Ctx.getResults())>;
  Ctx.releaseParams();
  Ctx.allowCancellation();
  Connection *C = find(ConnectionId);
  if (!C || C->Calls >= Limits.MaxCallsPerConnection) {
    Counters.CallsRefused.fetch_add(1, std::memory_order_relaxed);
    Error Busy{ResultCode::PeerBusy, "too many calls on this connection"};
    auto Size = sizeHint(Attempt<Answer>(Busy));
    write(Busy, Ctx.getResults(Size).initFailure());
    return kj::READY_NOW;
  }
  Counters.CallsServed.fetch_add(1, std::memory_order_relaxed);
  std::uint64_t Id = ++LastId;
  auto Place = std::make_shared<Cell<Answer>>();
  auto Paf = kj::newPromiseAndFulfiller<void>();
  ++C->Calls;
  Calls.emplace(Id, InCall{ConnectionId, kj::mv(Paf.fulfiller),
                           [Place] { cancelIn(*Place); }});
  auto Finish = [this, Id, Ctx](Attempt<Answer> Value) mutable {
    auto It = Calls.find(Id);
    if (It == Calls.end())
      return; // Cancelled meanwhile.
    writeAnswer<Answer, typename Results::Builds>(
        Value, Ctx.getResults(sizeHint(Value)));
    It->second.HasAnswer = true;
    It->second.Answered->fulfill();
  };
  ToLoop->push([&Handler, Place, From = C->From, Value = kj::mv(Value),
                ToKj = ToKj, Finish = kj::mv(Finish)]() mutable {
    auto State = std::make_shared<typename PeerResponder<Answer>::State>();
    State->Send = [ToKj, Finish](Attempt<Answer> A) mutable {
      ToKj->push([Finish, A = kj::mv(A)]() mutable { Finish(kj::mv(A)); });
    };
    Place->Held = State;
    PeerResponder<Answer> Responder(kj::mv(State));
    if (Handler)
      Handler(From, kj::mv(Value), kj::mv(Responder));
  });
  return Paf.promise.attach(kj::defer([this, Id] { gone(Id); }));
}

PeerServer::PeerServer(kj::AsyncIoContext &Io, int Listener,
                       const DaemonId &Self, const PeerHandlers &Handlers,
                       const PeerLimits &Limits, PeerCounters &Counters,
                       std::shared_ptr<KjQueue> ToKj,
                       std::shared_ptr<LoopQueue> ToLoop)
    : Io(Io), Clock(Io.provider->getTimer()), Self(Self), Handlers(Handlers),
      Limits(Limits), Counters(Counters), ToKj(std::move(ToKj)),
      ToLoop(std::move(ToLoop)),
      Listener(Io.lowLevelProvider->wrapListenSocketFd(
          Listener, kj::LowLevelAsyncIoProvider::TAKE_OWNERSHIP)) {
  Accepting = acceptForever().eagerlyEvaluate(nullptr);
}

PeerServer::~PeerServer() {
  // Cap'n Proto lets a call that was cancelled with its connection end a turn
  // of the loop later, and there is none: such calls would come back to this
  // object after its end.
  Open.clear();
  Io.waitScope.cancelAllDetached();
}

PeerServer::Connection *PeerServer::find(std::uint64_t ConnectionId) {
  auto It = Open.find(ConnectionId);
  return It == Open.end() ? nullptr : It->second.get();
}

void PeerServer::gone(std::uint64_t CallId) {
  auto It = Calls.find(CallId);
  if (It == Calls.end())
    return;
  if (Connection *C = find(It->second.ConnectionId))
    --C->Calls;
  if (!It->second.HasAnswer)
    ToLoop->push(kj::mv(It->second.Cancel));
  Calls.erase(It);
}

kj::Promise<void> PeerServer::acceptForever() {
  return Listener->accept()
      .then(
          [this](kj::Own<kj::AsyncIoStream> Stream) -> kj::Promise<void> {
            accept(kj::mv(Stream));
            return kj::READY_NOW;
          },
          [this](kj::Exception &&) { return Clock.afterDelay(AcceptPause); })
      .then([this] { return acceptForever(); });
}

void PeerServer::accept(kj::Own<kj::AsyncIoStream> Stream) {
  if (Open.size() >= Limits.MaxInbound) {
    Counters.InboundRefused.fetch_add(1, std::memory_order_relaxed);
    return;
  }
  noDelay(*Stream);
  auto Made = kj::heap<Connection>();
  Connection &C = *Made;
  C.Id = ++LastId;
  C.Stream = kj::heap<BatchedStream>(kj::mv(Stream), Clock, Counters.Streams);
  C.Network = kj::heap<capnp::TwoPartyVatNetwork>(
      *C.Stream, capnp::rpc::twoparty::Side::SERVER, readerOptions());
  C.Rpcs =
      kj::heap(capnp::makeRpcServer(*C.Network, kj::heap<PeerImpl>(*this, C)));
  std::uint64_t Id = C.Id;
  C.Closing = C.Network->onDisconnect()
                  .then([this, Id] {
                    return kj::evalLater([this, Id] { closed(Id); });
                  })
                  .eagerlyEvaluate([](kj::Exception &&) {});
  Open[Id] = kj::mv(Made);
  Counters.InboundOpen.store(Open.size(), std::memory_order_relaxed);
}

void PeerServer::closed(std::uint64_t ConnectionId) {
  // Its promise is what runs now, so it is freed by the next turn of the loop.
  ToKj->push([this, ConnectionId] {
    Open.erase(ConnectionId);
    Counters.InboundOpen.store(Open.size(), std::memory_order_relaxed);
  });
}

} // namespace shallot::internal
