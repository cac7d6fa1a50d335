//===- CallerServer.cpp ---------------------------------------------------===//
#include "http1/CallerServer.h"

#include "http1/MessageReader.h"
#include "http1/MessageText.h"
#include "http1/StreamSocket.h"
#include "shallotshift/telemetry.h"

#include <algorithm>
#include <asio/ip/address.hpp>
#include <asio/post.hpp>
#include <poll.h>
#include <unordered_set>

namespace shallot {

namespace {

using internal::Message;
using internal::MessageLimits;
using internal::MessageReader;
using internal::ReadState;
using internal::StreamEnd;
using internal::StreamSocket;

/// Above this part of the connections that may be open, answers close theirs.
/// Half leaves room for a second's worth of callers of a burst by eight.
constexpr double CrowdedPart = 0.5;
/// Bytes of further requests that are kept while one is being answered.
constexpr std::size_t MaxAheadBytes = 64 << 10;
/// A connection that holds less is not ended for its size: it would free little
/// while requests that were handed on hold the rest.
constexpr std::size_t LeastEndedBytes = 32 << 10;
/// stopAccepting() takes what is in the kernel's queue, for at most this many
/// turns of the loop.
constexpr int MostAcceptRounds = 1000;
/// How long a connection that was answered with an error may still send: a
/// close with unread bytes would reset it, and the reset overtakes the answer.
constexpr Duration LingerTime = Millis(500);
/// A caller that takes no bytes of its answer for this long is given up.
constexpr Duration WriteTimeout = Seconds(15);
/// Above the callers' idle timeout, so that the last moment in which a caller
/// may use a connection is not the moment in which it is closed.
constexpr Duration IdleSlack = Seconds(1);
constexpr int ListenBacklog = 1024;

/// The answer to a request of which no more is wanted on its connection.
CallerReply closingReply(ResultCode Code, std::string_view Detail) {
  CallerReply R = callerProblem(Code, std::string(Detail));
  R.Close = true;
  return R;
}

MessageLimits limitsOf(const CallerServerOptions &O) {
  return {O.MaxHeaderBytes, O.MaxBodyBytes};
}

class Connection;
using ConnectionPtr = std::shared_ptr<Connection>;

} // namespace

struct CallerServer::Impl : std::enable_shared_from_this<CallerServer::Impl> {
  Impl(EventLoop &Loop, TimerQueue &Timers, CallerServerOptions O, Handler H)
      : Loop(Loop), Timers(Timers), Options(O), OnRequest(std::move(H)),
        Acceptor(Loop.context()) {}

  /// The failure: refused callers come back on new connections and keep the old
  /// ones, until new ones find no place and are closed unread. An answer that
  /// closes its connection costs its caller one trip, and in time.
  bool crowded() const {
    return static_cast<double>(Open.size()) >
           CrowdedPart * static_cast<double>(Options.MaxConnections);
  }
  void endLargest();
  void listen(const Endpoint &At);
  void accept();
  void add(asio::ip::tcp::socket Sock);
  void acceptRest(int RoundsLeft);

  EventLoop &Loop;
  TimerQueue &Timers;
  CallerServerOptions Options;
  Handler OnRequest;
  asio::ip::tcp::acceptor Acceptor;
  std::unordered_set<ConnectionPtr> Open;
  std::size_t InFlight = 0;
  std::size_t Buffered = 0; ///< By all connections.
  bool Closing = false;
  bool Stopping = false;
};

namespace {

/// One caller's connection. It reads on while it answers.
class Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(std::shared_ptr<CallerServer::Impl> S, asio::ip::tcp::socket Sock)
      : S(std::move(S)),
        Socket(std::make_shared<StreamSocket>(this->S->Loop, std::move(Sock))),
        Reader(MessageKind::Request, limitsOf(this->S->Options)) {}

  void start();
  void answer(const CallerReply &Reply);
  void refuse(ResultCode Code, std::string_view Detail);
  void gone();
  void closeNow();
  void endForSize();
  void limitsChanged();
  /// What ending it would free: not a request that has been handed on.
  std::size_t held() const { return Held; }
  bool idle() const {
    return !Busy && Reader.state() == ReadState::Waiting && Ahead.empty() &&
           Socket->unsent() == 0;
  }
  /// A request was read in part.
  bool unfinished() const {
    bool Part = Reader.state() == ReadState::Headers ||
                Reader.state() == ReadState::Body;
    return Part && !Busy && !Draining;
  }

private:
  class CallerExchange;

  void data(std::string_view Bytes);
  void hold(std::size_t Bytes);
  void holdRequest(std::size_t Bytes);
  void countBuffers();
  void parse(std::string_view Bytes);
  void handle();
  void wait(Duration D, ResultCode OnTimeout);
  void timedOut(ResultCode Code);
  void afterReply(bool Close);
  void parseAhead();

  std::shared_ptr<CallerServer::Impl> S;
  std::shared_ptr<StreamSocket> Socket;
  MessageReader Reader;
  /// Bytes behind the request that is being answered, in the order in which
  /// they came.
  std::string Ahead;
  /// Held weakly: a handler that lets go of it has given no answer, and its end
  /// says so to the caller.
  std::weak_ptr<CallerExchange> Current;
  /// A request is being answered, or bytes in Ahead wait to be parsed. What
  /// arrives meanwhile goes behind these: parsed before them, the body of a
  /// request would be taken for a request.
  bool Busy = false;
  bool ToHead = false;      ///< Its method is HEAD.
  bool CloseBehind = false; ///< The caller wants it so.
  bool Draining = false; ///< The last answer was given; what comes is dropped.
  bool SawContinue = false;
  TimerQueue::Key Timer = 0;
  std::size_t Held = 0;        ///< Counted in Impl::Buffered.
  std::size_t HeldRequest = 0; ///< The same, of the request that is answered.
};

class Connection::CallerExchange : public Exchange {
public:
  CallerExchange(CallerRequest Request, ConnectionPtr C,
                 std::shared_ptr<CallerServer::Impl> S)
      : Request(std::move(Request)), C(std::move(C)), S(std::move(S)) {
    ++this->S->InFlight;
  }
  // Only a lack of memory can throw here, and that ends the process anyway.
  // NOLINTNEXTLINE(bugprone-exception-escape)
  ~CallerExchange() override {
    // A handler that lost it must not leave the caller waiting.
    if (C)
      reply(closingReply(ResultCode::Internal, "the handler gave no answer"));
    --S->InFlight;
  }

  const CallerRequest &request() const override { return Request; }
  void reply(CallerReply Reply) override {
    OnGone = nullptr;
    if (auto To = std::exchange(C, nullptr))
      To->answer(Reply);
  }
  void whenGone(std::function<void()> Fn) override { OnGone = std::move(Fn); }
  void callerGone() {
    C = nullptr;
    if (auto Fn = std::exchange(OnGone, nullptr))
      Fn();
  }

private:
  CallerRequest Request;
  ConnectionPtr C;
  std::shared_ptr<CallerServer::Impl> S;
  std::function<void()> OnGone;
};

void Connection::start() {
  auto Self = shared_from_this();
  Socket->read([Self](std::string_view Bytes) { Self->data(Bytes); },
               [Self](StreamEnd) { Self->gone(); });
  wait(S->Options.IdleTimeout + IdleSlack, ResultCode::Ok);
}

void Connection::wait(Duration D, ResultCode OnTimeout) {
  S->Timers.cancel(Timer);
  Timer = S->Timers.after(D, [Weak = weak_from_this(), OnTimeout] {
    if (auto Self = Weak.lock())
      Self->timedOut(OnTimeout);
  });
}

void Connection::timedOut(ResultCode Code) {
  Timer = 0;
  if (Code == ResultCode::Ok || Draining)
    closeNow();
  else
    refuse(Code, "send the whole request within the time limit");
}

void Connection::data(std::string_view Bytes) {
  if (Draining)
    return;
  if (!Busy) {
    parse(Bytes);
    countBuffers();
    return;
  }
  Ahead.append(Bytes);
  countBuffers();
  if (Ahead.size() > MaxAheadBytes)
    gone();
}

void Connection::hold(std::size_t Bytes) {
  S->Buffered += Bytes - Held;
  Held = Bytes;
}

void Connection::holdRequest(std::size_t Bytes) {
  S->Buffered += Bytes - HeldRequest;
  HeldRequest = Bytes;
}

void Connection::countBuffers() {
  if (!Socket->open())
    return;
  hold(Reader.heldBytes() + Ahead.capacity() + Socket->unsent());
  if (S->Buffered > S->Options.MaxBufferedBytes)
    S->endLargest();
}

void Connection::limitsChanged() {
  if (Reader.state() == ReadState::Waiting)
    Reader.setLimits(limitsOf(S->Options));
}

/// It holds more than any other connection while all together hold too much.
void Connection::endForSize() {
  logEvent(LogLevel::Warn, "connection_too_large",
           {{"bytes", std::to_string(Held)},
            {"of", std::to_string(S->Buffered)},
            {"unfinished", unfinished() ? "yes" : "no"}});
  bool Refusable = unfinished();
  hold(0);
  if (!Refusable)
    return gone();
  Reader.take();
  refuse(ResultCode::BuffersFull, "send a smaller body, or try again later");
}

void Connection::parse(std::string_view Bytes) {
  ReadState Before = Reader.state();
  std::size_t Used = Reader.feed(Bytes);
  switch (Reader.state()) {
  case ReadState::Whole:
    Ahead.assign(Bytes.substr(Used));
    handle();
    return;
  case ReadState::Malformed:
    refuse(ResultCode::MalformedHttp,
           "the bytes do not form an HTTP/1.1 request: " + Reader.fault());
    return;
  case ReadState::HeadersTooLarge:
    refuse(ResultCode::HeaderTooLarge, "send fewer or shorter header fields");
    return;
  case ReadState::BodyTooLarge:
    refuse(ResultCode::BodyTooLarge, "send a smaller body");
    return;
  case ReadState::Headers:
    if (Before == ReadState::Waiting)
      wait(S->Options.HeaderTimeout, ResultCode::HalfRequest);
    return;
  case ReadState::Body:
    wait(S->Options.IdleTimeout, ResultCode::HalfRequest);
    if (!SawContinue && !headerValue(Reader.head().Headers, "Expect").empty()) {
      SawContinue = true;
      Socket->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    return;
  case ReadState::Waiting:
    return;
  }
}

void Connection::handle() {
  S->Timers.cancel(Timer);
  SawContinue = false;
  holdRequest(Reader.heldBytes());
  Message M = Reader.take();
  Reader.setLimits(limitsOf(S->Options));
  CloseBehind = !M.KeepAlive;
  CallerRequest R;
  R.Method = std::move(M.Method);
  R.Target = std::move(M.Target);
  R.Headers = std::move(M.Headers);
  R.Body = std::move(M.Body);
  R.Arrived = S->Timers.now();
  Busy = true;
  ToHead = R.Method == "HEAD";
  auto T =
      std::make_shared<CallerExchange>(std::move(R), shared_from_this(), S);
  Current = T;
  S->OnRequest(std::move(T));
}

void Connection::answer(const CallerReply &Reply) {
  holdRequest(0);
  bool Close = Reply.Close || CloseBehind || S->Closing || S->crowded();
  Busy = true;
  Draining = Close;
  Socket->write(replyText(Reply.Status, Reply.Headers, Reply.Body, Close,
                          !std::exchange(ToHead, false)));
  wait(WriteTimeout, ResultCode::Ok);
  auto Self = shared_from_this();
  Socket->whenSent([Self, Close] { Self->afterReply(Close); });
  countBuffers();
}

void Connection::afterReply(bool Close) {
  if (!Socket->open())
    return;
  countBuffers();
  if (Close) {
    Busy = false;
    Socket->closeSending();
    wait(LingerTime, ResultCode::Ok);
    return;
  }
  wait(S->Options.IdleTimeout + IdleSlack, ResultCode::Ok);
  if (Ahead.empty()) {
    Busy = false;
    return;
  }
  // Not from within the handler of the request before.
  asio::post(S->Loop.context(),
             [Self = shared_from_this()] { Self->parseAhead(); });
}

void Connection::parseAhead() {
  if (!Socket->open())
    return;
  Busy = false;
  std::string Bytes = std::exchange(Ahead, {});
  parse(Bytes);
}

void Connection::refuse(ResultCode Code, std::string_view Detail) {
  answer(closingReply(Code, Detail));
}

void Connection::gone() {
  auto Self = shared_from_this();
  closeNow();
  if (auto T = Current.lock(); T && std::exchange(Busy, false))
    T->callerGone();
}

void Connection::closeNow() {
  S->Timers.cancel(Timer);
  hold(0);
  holdRequest(0);
  Socket->close();
  S->Open.erase(shared_from_this());
}

} // namespace

void CallerServer::Impl::listen(const Endpoint &At) {
  asio::ip::tcp::endpoint Local(asio::ip::make_address(At.Ip), At.Port);
  Acceptor.open(Local.protocol());
  Acceptor.set_option(asio::socket_base::reuse_address(true));
  Acceptor.bind(Local);
  Acceptor.listen(ListenBacklog);
  accept();
}

void CallerServer::Impl::endLargest() {
  auto HeldBy = [](const ConnectionPtr &C) { return C->held(); };
  auto Largest = std::ranges::max_element(Open, {}, HeldBy);
  if (Largest != Open.end() && (*Largest)->held() >= LeastEndedBytes)
    ConnectionPtr(*Largest)->endForSize();
}

void CallerServer::Impl::accept() {
  Acceptor.async_accept([Weak = weak_from_this()](const asio::error_code &E,
                                                  asio::ip::tcp::socket Sock) {
    auto Self = Weak.lock();
    if (!Self || E == asio::error::operation_aborted)
      return;
    // Above the limit the connection is closed at once: a caller that is not
    // read tries another daemon.
    if (!E && Self->Open.size() < Self->Options.MaxConnections)
      contain("new connection", {}, [&] { Self->add(std::move(Sock)); });
    if (Self->Acceptor.is_open() && !Self->Stopping)
      Self->accept();
  });
}

void CallerServer::Impl::add(asio::ip::tcp::socket Sock) {
  auto C = std::make_shared<Connection>(shared_from_this(), std::move(Sock));
  Open.insert(C);
  C->start();
}

/// Callers whose connections the kernel has already taken believe that they are
/// connected: closing the listening socket now would reset them.
void CallerServer::Impl::acceptRest(int RoundsLeft) {
  pollfd Queue{Acceptor.native_handle(), POLLIN, 0};
  if (RoundsLeft == 0 || ::poll(&Queue, 1, 0) <= 0) {
    Stopping = true;
    asio::error_code Ignored;
    Acceptor.close(Ignored);
    return;
  }
  asio::post(Loop.context(), [Weak = weak_from_this(), RoundsLeft] {
    if (auto Self = Weak.lock())
      Self->acceptRest(RoundsLeft - 1);
  });
}

Result<std::unique_ptr<CallerServer>>
CallerServer::open(EventLoop &Loop, TimerQueue &Timers, const Endpoint &At,
                   CallerServerOptions Options, Handler OnRequest) {
  auto I = std::make_shared<Impl>(Loop, Timers, Options, std::move(OnRequest));
  try {
    I->listen(At);
  } catch (const std::exception &Failed) {
    return fail(ResultCode::AddressInUse,
                "cannot listen on " + At.str() + ": " + Failed.what());
  }
  return std::unique_ptr<CallerServer>(new CallerServer(std::move(I)));
}

// Only a lack of memory can throw here, and that ends the process anyway.
// NOLINTNEXTLINE(bugprone-exception-escape)
CallerServer::~CallerServer() {
  asio::error_code Ignored;
  I->Stopping = true;
  I->Acceptor.close(Ignored);
  auto Open = I->Open;
  for (const ConnectionPtr &C : Open)
    C->gone();
}

void CallerServer::setOptions(CallerServerOptions Options) {
  if (I->Options == Options)
    return;
  I->Options = Options;
  for (const ConnectionPtr &C : I->Open)
    C->limitsChanged();
}

void CallerServer::closeAfterReply() { I->Closing = true; }

void CallerServer::stopAccepting() {
  if (I->Acceptor.is_open())
    I->acceptRest(MostAcceptRounds);
}

std::size_t CallerServer::closeIdle() {
  auto Open = I->Open;
  for (const ConnectionPtr &C : Open)
    if (C->idle())
      C->closeNow();
  return I->Open.size();
}

void CallerServer::refuseUnfinished(ResultCode Code, std::string_view Detail) {
  auto Open = I->Open;
  for (const ConnectionPtr &C : Open)
    if (C->unfinished())
      C->refuse(Code, Detail);
}

std::size_t CallerServer::connections() const { return I->Open.size(); }

std::size_t CallerServer::inFlight() const { return I->InFlight; }

std::size_t CallerServer::bufferedBytes() const { return I->Buffered; }

} // namespace shallot
