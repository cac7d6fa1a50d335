//===- DatagramSocket.cpp -------------------------------------------------===//
#include "peer/DatagramSocket.h"

#include "peer/DatagramPacking.h"
#include "shallotshift/fleet.h"
#include "shallotshift/net.h"

#include <array>
#include <asio/buffer.hpp>
#include <asio/ip/udp.hpp>
#include <fmt/format.h>

namespace shallot {

namespace {

/// Room for the datagrams of a pause of a second at a thousand a second.
constexpr int ReceiveBufferBytes = 1 << 20;
/// Datagrams handled in one turn, so that a flood cannot hold up queries.
constexpr unsigned MaxPerWakeup = 64;

using Socket = asio::ip::udp::socket;

asio::ip::udp::endpoint asioEndpoint(const Endpoint &At, asio::error_code &E) {
  return {asio::ip::make_address_v4(At.Ip, E), At.Port};
}

} // namespace

struct DatagramSocket::Impl : std::enable_shared_from_this<Impl> {
  Impl(EventLoop &Loop, Handler OnDatagram)
      : Sock(Loop.context()), OnDatagram(std::move(OnDatagram)) {}

  asio::error_code bind(const Endpoint &At);
  void wait();
  void readSome();
  /// Receives one datagram; nothing when none waits.
  std::optional<std::size_t> receive();
  void handle(std::size_t Size);

  Socket Sock;
  Handler OnDatagram;
  DatagramStats Stats;
  asio::ip::udp::endpoint From;
  /// One byte more than allowed, so that an oversize datagram shows.
  std::array<std::byte, MaxGossipBytes + 1> Buffer;
  bool Closed = false;
};

asio::error_code DatagramSocket::Impl::bind(const Endpoint &At) {
  asio::error_code E;
  auto Address = asioEndpoint(At, E);
  if (!E)
    Sock.open(asio::ip::udp::v4(), E);
  if (!E)
    Sock.non_blocking(true, E);
  if (!E)
    Sock.set_option(asio::socket_base::receive_buffer_size(ReceiveBufferBytes),
                    E);
  if (!E)
    Sock.bind(Address, E);
  return E;
}

void DatagramSocket::Impl::wait() {
  Sock.async_wait(Socket::wait_read,
                  [Me = shared_from_this()](asio::error_code E) {
                    if (!Me->Closed && !E)
                      Me->readSome();
                  });
}

std::optional<std::size_t> DatagramSocket::Impl::receive() {
  asio::error_code E;
  std::size_t Size = Sock.receive_from(asio::buffer(Buffer), From, 0, E);
  if (E == asio::error::would_block)
    return std::nullopt;
  // Others are reports of an earlier datagram that did not arrive.
  return E ? 0 : Size;
}

void DatagramSocket::Impl::readSome() {
  for (unsigned I = 0; I < MaxPerWakeup && !Closed; ++I) {
    std::optional<std::size_t> Size = receive();
    if (!Size)
      break;
    if (*Size > 0 && !contain("datagram", {}, [&] { handle(*Size); }))
      ++Stats.Malformed;
  }
  if (!Closed)
    wait();
}

void DatagramSocket::Impl::handle(std::size_t Size) {
  ++Stats.Received;
  Stats.ReceivedBytes += Size;
  auto Plain = attempt([&] {
    return internal::unpackDatagram(std::span(Buffer).first(Size),
                                    MaxGossipBytes);
  });
  if (!Plain || !OnDatagram(*Plain, {From.address().to_string(), From.port()}))
    ++Stats.Malformed;
}

DatagramSocket::DatagramSocket(std::shared_ptr<Impl> I) : I(std::move(I)) {}

DatagramSocket::~DatagramSocket() {
  I->Closed = true;
  asio::error_code Ignored;
  I->Sock.close(Ignored);
}

Result<std::unique_ptr<DatagramSocket>>
DatagramSocket::open(EventLoop &Loop, const Endpoint &At, std::string_view What,
                     Handler OnDatagram) {
  auto I = std::make_shared<Impl>(Loop, std::move(OnDatagram));
  if (asio::error_code E = I->bind(At))
    return fail(ResultCode::AddressInUse,
                fmt::format("{} address {}: {}", What, At.str(), E.message()));
  I->wait();
  return std::unique_ptr<DatagramSocket>(new DatagramSocket(std::move(I)));
}

void DatagramSocket::send(const Endpoint &To, std::vector<std::byte> Plain) {
  // The receiver unpacks no more than this.
  if (Plain.size() > MaxGossipBytes) {
    ++I->Stats.Oversize;
    return;
  }
  std::vector<std::byte> Bytes = internal::packDatagram(std::move(Plain));
  asio::error_code E;
  auto Address = asioEndpoint(To, E);
  if (!E)
    I->Sock.send_to(asio::buffer(Bytes), Address, 0, E);
  if (E) {
    ++I->Stats.SendErrors;
    return;
  }
  ++I->Stats.Sent;
  I->Stats.SentBytes += Bytes.size();
}

std::size_t DatagramSocket::discardWaiting() {
  std::size_t Count = 0;
  while (I->receive())
    ++Count;
  return Count;
}

const DatagramStats &DatagramSocket::stats() const { return I->Stats; }

} // namespace shallot
