//===- GuardedSocket.cpp --------------------------------------------------===//
#include "net/GuardedSocket.h"

#include "net/Linger.h"
#include "net/Problem.h"
#include "net/TcpOptions.h"

#include <fmt/format.h>
#include <http_parser.h>
#include <sys/socket.h>
#include <utility>

namespace shallot::internal {

namespace {

/// Connections that wait for their last reply to arrive. Above it they are
/// closed at once: the reply may be lost, the daemon's memory is not.
constexpr std::size_t MaxLingering = 256;

thread_local std::shared_ptr<ServerConnections> Adopter;

std::string_view detailOf(ResultCode Code) {
  switch (Code) {
  case ResultCode::HalfRequest:
    return "send the whole request within the time limit";
  case ResultCode::BodyTooLarge:
    return "send a smaller body";
  case ResultCode::TooManyConnections:
    return "ask for another entry address, or reuse a connection";
  case ResultCode::MalformedHttp:
    return "the bytes do not form an HTTP/1.1 request";
  case ResultCode::HeaderTooLarge:
    return "send fewer or shorter header fields";
  default:
    return "the request was not answered in time";
  }
}

/// Come back once those that are being served have had their turn.
constexpr Duration RefusedRetryAfter = Seconds(1);

std::string problemBytes(ResultCode Code) {
  Duration RetryAfter =
      Code == ResultCode::TooManyConnections ? RefusedRetryAfter : Duration(0);
  ServerReply R =
      problemReply(Code, std::string(detailOf(Code)), {}, RetryAfter);
  std::string Out =
      fmt::format("HTTP/1.1 {} {}\r\nContent-Type: {}\r\n"
                  "Content-Length: {}\r\nConnection: close\r\n",
                  R.Status, http_status_str(static_cast<http_status>(R.Status)),
                  R.ContentType, R.Body.size());
  for (const HttpHeader &H : R.Headers)
    Out += fmt::format("{}: {}\r\n", H.Name, H.Value);
  return Out + "\r\n" + R.Body;
}

} // namespace

AdoptSockets::AdoptSockets(std::shared_ptr<ServerConnections> S) {
  Adopter = std::move(S);
}

AdoptSockets::~AdoptSockets() { Adopter.reset(); }

GuardedSocket::GuardedSocket(asio::io_context &Context)
    : Base(Context), S(Adopter) {}

GuardedSocket::GuardedSocket(GuardedSocket &&Other) noexcept
    : Base(std::move(Other)),
      S(Other.S) { // NOLINT(performance-move-constructor-init): both keep it.
  // RESTinio accepts into a socket of its pool and moves it out; the one left
  // behind accepts the next connection and still belongs to the server.
}

GuardedSocket::~GuardedSocket() { leave(); }

void GuardedSocket::leave() {
  if (!std::exchange(Entered, false))
    return;
  --S->Open;
  S->All.erase(this);
}

bool GuardedSocket::admitted() {
  if (!Entered && !Refused && is_open()) {
    if (S->Open >= S->MaxConnections) {
      Refused = true;
      sayAndLinger(ResultCode::TooManyConnections);
      return false;
    }
    Entered = true;
    ++S->Open;
    S->All.insert(this);
    noticeLostPeer(native_handle());
  }
  return !Refused;
}

GuardedSocket::ReadScope::ReadScope(GuardedSocket &Socket, std::size_t Size)
    : S(Socket.S) {
  if (Size != 0)
    Socket.Doing = State::HalfRead;
  S->Reading = &Socket;
}

GuardedSocket::ReadScope::~ReadScope() { S->Reading = nullptr; }

ResultCode GuardedSocket::reason() const {
  if (Doing == State::Answering)
    return ResultCode::Ok; // Half a reply is out; nothing fits behind it.
  if (S->Complaint != ResultCode::Ok)
    return S->Complaint;
  if (Doing == State::HalfRead)
    return ResultCode::HalfRequest;
  return Doing == State::Handling ? ResultCode::Internal : ResultCode::Ok;
}

void GuardedSocket::shutdown(shutdown_type What, asio::error_code &Failed) {
  ResultCode Why = reason();
  S->Complaint = ResultCode::Ok;
  if (Why != ResultCode::Ok && is_open())
    sayAndLinger(Why);
  else
    Base::shutdown(What, Failed);
}

void GuardedSocket::close() {
  leave();
  asio::error_code Ignored;
  Base::close(Ignored);
}

void GuardedSocket::sayAndLinger(ResultCode Code) {
  leave();
  asio::error_code Failed;
  auto Executor = get_executor();
  auto Protocol = local_endpoint(Failed).protocol();
  std::string Bytes = problemBytes(Code);
  // A fresh or idle connection has room for this; one that has not is not
  // worth a queue.
  (void)::send(native_handle(), Bytes.data(), Bytes.size(),
               MSG_DONTWAIT | MSG_NOSIGNAL);
  Base::shutdown(shutdown_send, Failed);
  if (S->Lingering >= MaxLingering) {
    Base::close(Failed);
    return;
  }
  ++S->Lingering;
  asio::ip::tcp::socket Rest(Executor, Protocol, Base::release());
  lingerAndClose(std::move(Rest), [S = S] { --S->Lingering; });
}

} // namespace shallot::internal
