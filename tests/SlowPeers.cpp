//===- SlowPeers.cpp ------------------------------------------------------===//
#include "SlowPeers.h"

#include <asio/buffer.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

namespace shallot::test {

namespace {

constexpr std::string_view HeadEnd = "\r\n\r\n";

std::string httpOk(const std::string &Body) {
  return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
                     Body.size(), Body);
}

/// Path and query of a request's head: "GET /feed/config?since=4 HTTP/1.1".
std::optional<FeedRequest> questionIn(const std::string &Head) {
  std::size_t From = Head.find(' ') + 1;
  std::string Target = Head.substr(From, Head.find(' ', From) - From);
  std::size_t Mark = std::min(Target.find('?'), Target.size());
  return parseFeedRequest(Target.substr(0, Mark),
                          Target.substr(std::min(Mark + 1, Target.size())));
}

} // namespace

SlowPeer::SlowPeer(EventLoop &Loop, const FrontSettings &Set, SlowLink &Link,
                   const PeerStore &Store)
    : Loop(Loop), Link(Link), Store(Store),
      Acceptor(Loop.context(),
               {asio::ip::make_address(Set.Peers.Ip), Set.Peers.Port}) {
  auto F = attempt([&] { return FleetLink::open(Loop, Set, Rng, [] {}); });
  REQUIRE_MESSAGE(F, F.error().Detail);
  Fleet = std::move(*F);
  Fleet->start();
  Fleet->setState(MemberState::Alive);
  advance();
  accept();
  tick();
}

void SlowPeer::advance() {
  Fleet->announce({Store.Version, Store.Replicas.lastChange()});
  std::erase_if(Waiting, [this](const Waiter &W) { return tryAnswer(W); });
}

void SlowPeer::accept() {
  Acceptor.async_accept(
      [this](const asio::error_code &Failed, asio::ip::tcp::socket Socket) {
        if (Failed)
          return;
        auto L = std::make_shared<SlowLink::Line>(std::move(Socket));
        L->Socket.non_blocking(true);
        Link.add(L);
        read(L);
        accept();
      });
}

void SlowPeer::read(const SlowLink::LinePtr &L) {
  L->Socket.async_read_some(
      asio::buffer(L->Scratch),
      [this, L](asio::error_code Failed, std::size_t Size) {
        if (Failed) {
          L->Socket.close(Failed);
          return;
        }
        L->Input.append(L->Scratch.data(), Size);
        takeQuestion(L);
        read(L);
      });
}

void SlowPeer::takeQuestion(const SlowLink::LinePtr &L) {
  std::size_t End = L->Input.find(HeadEnd);
  if (End == std::string::npos)
    return;
  auto Q = questionIn(L->Input.substr(0, End));
  L->Input.erase(0, End + HeadEnd.size());
  REQUIRE(Q);
  Waiter W{L, *Q, Loop.now() + Q->Wait};
  if (!tryAnswer(W))
    Waiting.push_back(std::move(W));
}

const KindCache &SlowPeer::cache(const std::string &Kind) const {
  return Kind == "config" ? Store.Configs : Store.Replicas;
}

bool SlowPeer::tryAnswer(const Waiter &W) {
  const KindCache &Cache = cache(W.Question.Kind);
  if (!W.Question.Since) {
    W.Line->Output += httpOk(writePage(Cache.page(W.Question.After)));
    return true;
  }
  KindChanges C = Cache.since({0, *W.Question.Since}).value();
  if (C.Changes.empty() && Loop.now() < W.Until)
    return false;
  W.Line->Output += httpOk(writeChanges(C));
  return true;
}

void SlowPeer::tick() {
  std::erase_if(Waiting, [this](const Waiter &W) {
    return !W.Line->Socket.is_open() || tryAnswer(W);
  });
  Loop.after(Millis(50), [this] { tick(); });
}

} // namespace shallot::test
