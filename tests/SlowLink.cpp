//===- SlowLink.cpp -------------------------------------------------------===//
#include "SlowLink.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

namespace shallot::test {

namespace {

constexpr Duration PumpPeriod = Millis(5);

asio::ip::tcp::endpoint address(const Endpoint &E) {
  return {asio::ip::make_address(E.Ip), E.Port};
}

} // namespace

SlowLink::SlowLink(EventLoop &Loop, std::size_t BytesPerSecond)
    : Loop(Loop), Rate(BytesPerSecond) {
  pump();
}

void SlowLink::pump() {
  std::erase_if(Lines, [](const LinePtr &L) { return !L->Socket.is_open(); });
  std::size_t Busy = 0;
  for (const LinePtr &L : Lines)
    Busy += !L->Output.empty();
  std::size_t Turn = Rate * static_cast<std::size_t>(toMillis(PumpPeriod));
  for (const LinePtr &L : Lines)
    if (!L->Output.empty())
      Sent += push(*L, Turn / 1000 / Busy);
  Loop.after(PumpPeriod, [this] { pump(); });
}

std::size_t SlowLink::push(Line &L, std::size_t Most) {
  asio::error_code Failed;
  std::size_t Size = std::min(Most, L.Output.size());
  Size = L.Socket.write_some(asio::buffer(L.Output.data(), Size), Failed);
  if (Failed && Failed != asio::error::would_block)
    L.Socket.close(Failed);
  L.Output.erase(0, Size);
  return Size;
}

SlowProxy::SlowProxy(EventLoop &Loop, const Endpoint &At, Endpoint To,
                     SlowLink &Link)
    : Loop(Loop), To(std::move(To)), Link(Link),
      Acceptor(Loop.context(), address(At)) {
  accept();
}

void SlowProxy::accept() {
  Acceptor.async_accept([this](asio::error_code Failed,
                               asio::ip::tcp::socket Socket) {
    if (Failed)
      return;
    auto Near = std::make_shared<SlowLink::Line>(std::move(Socket));
    auto Far =
        std::make_shared<SlowLink::Line>(asio::ip::tcp::socket(Loop.context()));
    Far->Socket.connect(address(To), Failed);
    Near->Socket.non_blocking(true);
    Link.add(Near);
    carry(Near, Far, [Far](std::string_view Bytes) {
      asio::error_code Ignored;
      asio::write(Far->Socket, asio::buffer(Bytes), Ignored);
    });
    carry(Far, Near, [Near](std::string_view Bytes) { Near->Output += Bytes; });
    accept();
  });
}

void SlowProxy::carry(const LinePtr &From, const LinePtr &Other,
                      const std::function<void(std::string_view)> &Take) {
  From->Socket.async_read_some(
      asio::buffer(From->Scratch),
      [this, From, Other, Take](asio::error_code Failed, std::size_t Size) {
        if (Failed) {
          From->Socket.close(Failed);
          Other->Socket.close(Failed);
          return;
        }
        Take({From->Scratch.data(), Size});
        carry(From, Other, Take);
      });
}

} // namespace shallot::test
