//===- StreamSocket.cpp ---------------------------------------------------===//
#include "http1/StreamSocket.h"

#include <asio/buffer.hpp>
#include <asio/ip/address.hpp>
#include <asio/write.hpp>
#include <cerrno>
#include <sys/socket.h>

namespace shallot::internal {

namespace {

/// Capacity that an empty write queue may keep.
constexpr std::size_t KeptQueueBytes = 8 << 10;

} // namespace

StreamSocket::StreamSocket(EventLoop &Loop)
    : Loop(Loop), Socket(Loop.context()) {
  ++Live;
}

StreamSocket::StreamSocket(EventLoop &Loop, asio::ip::tcp::socket S)
    : Loop(Loop), Socket(std::move(S)) {
  ++Live;
  setUp();
}

void StreamSocket::setUp() {
  asio::error_code Ignored; // Without them it still works, only slower.
  Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  Socket.non_blocking(true, Ignored);
  noticeLostPeer(Socket.native_handle());
}

void StreamSocket::connect(const Endpoint &To, ConnectFn Done) {
  asio::error_code Failed;
  auto Ip = asio::ip::make_address(To.Ip, Failed);
  asio::ip::tcp::endpoint At(Ip, To.Port);
  if (!Failed)
    Socket.open(At.protocol(), Failed);
  if (!Failed)
    setUp();
  Socket.async_connect(At, [Self = shared_from_this(),
                            Done = std::move(Done)](const asio::error_code &E) {
    BusyTime Busy(Self->Loop);
    if (Self->Ended)
      return;
    bool Refused = E == asio::error::connection_refused;
    Done(!E        ? ConnectEnd::Opened
         : Refused ? ConnectEnd::Refused
                   : ConnectEnd::Failed);
  });
}

void StreamSocket::read(DataFn Data, EndFn End) {
  OnData = std::move(Data);
  OnEnd = std::move(End);
  readMore();
}

void StreamSocket::readMore() {
  Socket.async_read_some(asio::buffer(Buffer), [Self = shared_from_this()](
                                                   const asio::error_code &E,
                                                   std::size_t Size) {
    if (Self->Ended)
      return;
    BusyTime Busy(Self->Loop);
    // Whoever failed on these bytes can't go on behind them.
    if (!contain("connection", {}, [&] { Self->received(E, Size); }))
      contain("connection's end", {}, [&] { Self->ended(StreamEnd::Broken); });
  });
}

void StreamSocket::received(const asio::error_code &E, std::size_t Size) {
  if (E)
    return ended(E == asio::error::eof ? StreamEnd::Closed : StreamEnd::Broken);
  // Out of reach of close(), which may be called within.
  DataFn Data = std::move(OnData);
  Data(std::string_view(Buffer.data(), Size));
  if (Ended)
    return;
  OnData = std::move(Data);
  readMore();
}

bool StreamSocket::write(std::string Bytes) {
  if (Ended)
    return false;
  std::size_t Taken = 0;
  if (unsent() == 0) {
    ssize_t Count = ::send(Socket.native_handle(), Bytes.data(), Bytes.size(),
                           MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
      return false; // The reader learns of it too.
    Taken = Count > 0 ? static_cast<std::size_t>(Count) : 0;
  }
  if (Taken == Bytes.size())
    return true;
  if (unsent() == 0) {
    Queue = std::move(Bytes);
    QueueAt = Taken;
  } else {
    Queue += Bytes;
  }
  flush();
  return true;
}

void StreamSocket::flush() {
  if (Writing || Ended)
    return;
  Writing = true;
  Socket.async_wait(asio::ip::tcp::socket::wait_write,
                    [Self = shared_from_this()](const asio::error_code &E) {
                      Self->Writing = false;
                      if (Self->Ended || E)
                        return;
                      ssize_t Count =
                          ::send(Self->Socket.native_handle(),
                                 Self->Queue.data() + Self->QueueAt,
                                 Self->unsent(), MSG_NOSIGNAL | MSG_DONTWAIT);
                      if (Count < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
                        return; // The reader learns of it.
                      Self->QueueAt +=
                          Count > 0 ? static_cast<std::size_t>(Count) : 0;
                      if (Self->unsent() > 0) {
                        Self->flush();
                        return;
                      }
                      Self->Queue.clear();
                      if (Self->Queue.capacity() > KeptQueueBytes)
                        Self->Queue.shrink_to_fit();
                      Self->QueueAt = 0;
                      if (auto Sent = std::exchange(Self->OnSent, nullptr))
                        Sent();
                    });
}

void StreamSocket::whenSent(std::function<void()> Fn) {
  if (unsent() == 0)
    Fn();
  else if (!Ended)
    OnSent = std::move(Fn);
}

void StreamSocket::closeSending() {
  asio::error_code Ignored; // It may be closed already.
  Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
}

void StreamSocket::ended(StreamEnd How) {
  EndFn End = std::move(OnEnd);
  auto Self = shared_from_this(); // The callback may drop the last owner.
  if (End)
    End(How);
}

void StreamSocket::close() {
  if (Ended)
    return;
  Ended = true;
  asio::error_code Ignored;
  Socket.close(Ignored);
  OnSent = nullptr;
  OnData = nullptr;
  OnEnd = nullptr;
}

} // namespace shallot::internal
