//===- RawServer.h - A server that misbehaves on purpose --------*- C++ -*-===//
//
// Speaks just enough HTTP to count the requests that really arrived, and then
// does what a test tells it: answers, closes without a word, or says nothing.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_TESTS_RAWSERVER_H
#define SHALLOTSHIFT_TESTS_RAWSERVER_H

#include "shallotshift/net.h"

#include <array>
#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <charconv>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace shallot {

/// A request as it arrived, and where.
struct RawRequest {
  unsigned Connection = 0; ///< From 0, in the order of accepting.
  unsigned Number = 0;     ///< From 0, on that connection.
  std::string Head;        ///< Request line and header lines.
  std::string Body;
};

enum class RawAct { Answer, AnswerAndClose, Close, Reset, Silent };

class RawServer {
public:
  /// Decides after a whole request has arrived.
  using Rule = std::function<RawAct(const RawRequest &)>;

  RawServer(EventLoop &Loop, const Endpoint &At, Rule Act)
      : Act(std::move(Act)),
        Acceptor(Loop.context(), {asio::ip::make_address(At.Ip), At.Port}) {
    accept();
  }

  Endpoint endpoint() const {
    auto At = Acceptor.local_endpoint();
    return {At.address().to_string(), At.port()};
  }
  /// Refuses connections from now on.
  void stopListening() {
    asio::error_code Ignored;
    Acceptor.close(Ignored);
  }

  /// Sent for RawAct::Answer.
  std::string Answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  std::vector<RawRequest> Seen;
  unsigned Accepted = 0;

private:
  struct Peer {
    explicit Peer(asio::ip::tcp::socket Socket) : Socket(std::move(Socket)) {}
    asio::ip::tcp::socket Socket;
    unsigned Index = 0;
    unsigned Requests = 0;
    std::string Input;
    std::array<char, 65536> Scratch;
  };
  using PeerPtr = std::shared_ptr<Peer>;

  void accept() {
    Acceptor.async_accept(
        [this](const asio::error_code &Failed, asio::ip::tcp::socket Socket) {
          if (Failed)
            return;
          auto P = std::make_shared<Peer>(std::move(Socket));
          P->Index = Accepted++;
          read(P);
          accept();
        });
  }

  void read(const PeerPtr &P) {
    P->Socket.async_read_some(
        asio::buffer(P->Scratch),
        [this, P](const asio::error_code &Failed, std::size_t Size) {
          if (Failed)
            return;
          P->Input.append(P->Scratch.data(), Size);
          takeRequest(P);
          if (P->Socket.is_open())
            read(P);
        });
  }

  static std::size_t bodySize(const std::string &Head) {
    constexpr std::string_view Field = "Content-Length: ";
    std::size_t At = Head.find(Field);
    std::size_t Size = 0;
    if (At != std::string::npos)
      std::from_chars(Head.data() + At + Field.size(),
                      Head.data() + Head.size(), Size);
    return Size;
  }

  void takeRequest(const PeerPtr &P) {
    constexpr std::string_view HeadEnd = "\r\n\r\n";
    std::size_t End = P->Input.find(HeadEnd);
    if (End == std::string::npos)
      return;
    RawRequest Request{P->Index, P->Requests, P->Input.substr(0, End), {}};
    std::size_t Whole = End + HeadEnd.size() + bodySize(Request.Head);
    if (P->Input.size() < Whole)
      return;
    Request.Body = P->Input.substr(End + HeadEnd.size());
    P->Input.erase(0, Whole);
    ++P->Requests;
    Seen.push_back(Request);
    act(P, Act(Request));
  }

  void act(const PeerPtr &P, RawAct What) {
    asio::error_code Ignored;
    if (What == RawAct::Answer || What == RawAct::AnswerAndClose)
      asio::write(P->Socket, asio::buffer(Answer), Ignored);
    if (What == RawAct::Reset)
      P->Socket.set_option(asio::socket_base::linger(true, 0));
    if (What == RawAct::Close || What == RawAct::Reset ||
        What == RawAct::AnswerAndClose)
      P->Socket.close(Ignored);
  }

  Rule Act;
  asio::ip::tcp::acceptor Acceptor;
};

} // namespace shallot

#endif // SHALLOTSHIFT_TESTS_RAWSERVER_H
