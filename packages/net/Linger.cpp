//===- Linger.cpp ---------------------------------------------------------===//
#include "net/Linger.h"

#include <array>
#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <memory>

namespace shallot::internal {

namespace {

constexpr std::size_t ScratchBytes = 16 << 10;

struct Linger : std::enable_shared_from_this<Linger> {
  Linger(asio::ip::tcp::socket Socket, std::function<void()> Closed)
      : Socket(std::move(Socket)), Timer(this->Socket.get_executor()),
        Closed(std::move(Closed)) {}
  ~Linger() { Closed(); }

  void start() {
    Timer.expires_after(std::chrono::milliseconds(LingerMillis));
    Timer.async_wait([Self = shared_from_this()](const asio::error_code &) {
      asio::error_code Ignored;
      Self->Socket.close(Ignored);
    });
    read();
  }

  void read() {
    Socket.async_read_some(
        asio::buffer(Scratch),
        [Self = shared_from_this()](const asio::error_code &Failed,
                                    std::size_t Size) {
          Self->Read += Size;
          if (!Failed && Self->Read < LingerBytes)
            Self->read();
          else
            Self->Timer.cancel();
        });
  }

  asio::ip::tcp::socket Socket;
  asio::steady_timer Timer;
  std::function<void()> Closed;
  std::size_t Read = 0;
  std::array<char, ScratchBytes> Scratch;
};

} // namespace

void lingerAndClose(asio::ip::tcp::socket Socket,
                    std::function<void()> Closed) {
  std::make_shared<Linger>(std::move(Socket), std::move(Closed))->start();
}

} // namespace shallot::internal
