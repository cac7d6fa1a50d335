#include "standins/WireClient.h"

#include <array>
#include <asio/connect.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>
#include <http_parser.h>

namespace shallot::standins {

namespace {

using asio::ip::tcp;

constexpr std::size_t ReadBytes = 16 << 10;

std::string bytesOf(const WireCall &Call) {
  std::string Out = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n", Call.Method,
                                Call.Path, Call.To.str());
  for (const HttpHeader &H : Call.Headers)
    Out += fmt::format("{}: {}\r\n", H.Name, H.Value);
  if (!Call.Body.empty() || Call.Method != "GET")
    Out += fmt::format("Content-Type: application/json\r\n"
                       "Content-Length: {}\r\n",
                       Call.Body.size());
  return Out + "\r\n" + Call.Body;
}

} // namespace

/// One connection. It reads all the time, so that a close by the other end is
/// seen also while it is idle.
class WireClient::Connection
    : public std::enable_shared_from_this<WireClient::Connection> {
public:
  Connection(WireClient &Owner, Endpoint To)
      : Owner(Owner), To(std::move(To)), Socket(Owner.Io), Timer(Owner.Io) {
    resetParser();
  }

  const Endpoint &to() const { return To; }

  void run(const WireCall &Call, Callback Fn) {
    Done = std::move(Fn);
    Request = bytesOf(Call);
    Answer = {};
    Timer.expires_after(Call.Timeout);
    Timer.async_wait([Self = shared_from_this()](std::error_code Err) {
      if (!Err)
        Self->end(WireOutcome::NoAnswer);
    });
    Connected ? write() : connect();
  }

private:
  void connect() {
    std::error_code Bad;
    tcp::endpoint Where(asio::ip::make_address(To.Ip, Bad), To.Port);
    auto Self = shared_from_this();
    Socket.async_connect(Where, [Self](std::error_code Err) {
      if (Err)
        return Self->end(WireOutcome::ConnectFailed);
      std::error_code Ignored;
      Self->Socket.set_option(tcp::no_delay(true), Ignored);
      Self->Connected = true;
      Self->read();
      Self->write();
    });
  }

  void write() {
    auto Self = shared_from_this();
    asio::async_write(Socket, asio::buffer(Request),
                      [Self](std::error_code Err, std::size_t) {
                        if (Err)
                          Self->end(WireOutcome::CutOff);
                      });
  }

  void read() {
    auto Self = shared_from_this();
    Socket.async_read_some(asio::buffer(Buffer),
                           [Self](std::error_code Err, std::size_t Count) {
                             if (Err)
                               return Self->end(WireOutcome::CutOff);
                             Self->onBytes(Count);
                           });
  }

  void onBytes(std::size_t Count) {
    std::size_t Parsed =
        http_parser_execute(&Parser, &settings(), Buffer.data(), Count);
    if (Parsed != Count || !Done)
      return end(WireOutcome::CutOff);
    if (!Whole)
      return read();
    Answer.Status = static_cast<int>(Parser.status_code);
    bool Keep = http_should_keep_alive(&Parser);
    Timer.cancel();
    resetParser();
    Callback Fn = std::move(Done);
    Done = nullptr;
    if (Keep) {
      Owner.release(shared_from_this());
      read();
    } else {
      close();
    }
    Fn(std::move(Answer));
  }

  /// The connection is of no more use; whoever waits for it is told.
  void end(WireOutcome Outcome) {
    Timer.cancel();
    close();
    Owner.forget(shared_from_this());
    if (!Done)
      return;
    Callback Fn = std::move(Done);
    Done = nullptr;
    Answer = {};
    Answer.Outcome = Outcome;
    Fn(std::move(Answer));
  }

  void close() {
    std::error_code Ignored;
    Socket.close(Ignored);
  }

  void resetParser() {
    http_parser_init(&Parser, HTTP_RESPONSE);
    Parser.data = this;
    Whole = false;
    InValue = false;
  }

  void field(std::string_view Part) {
    if (InValue || Answer.Headers.empty())
      Answer.Headers.emplace_back();
    InValue = false;
    Answer.Headers.back().Name += Part;
  }

  static Connection &of(http_parser *P) {
    return *static_cast<Connection *>(P->data);
  }

  static const http_parser_settings &settings() {
    static const http_parser_settings Settings = [] {
      http_parser_settings S;
      http_parser_settings_init(&S);
      S.on_header_field = [](http_parser *P, const char *At, std::size_t N) {
        of(P).field({At, N});
        return 0;
      };
      S.on_header_value = [](http_parser *P, const char *At, std::size_t N) {
        of(P).InValue = true;
        of(P).Answer.Headers.back().Value.append(At, N);
        return 0;
      };
      S.on_body = [](http_parser *P, const char *At, std::size_t N) {
        of(P).Answer.Body.append(At, N);
        return 0;
      };
      S.on_message_complete = [](http_parser *P) {
        of(P).Whole = true;
        return 0;
      };
      return S;
    }();
    return Settings;
  }

  WireClient &Owner;
  Endpoint To;
  tcp::socket Socket;
  asio::steady_timer Timer;
  bool Connected = false;
  std::array<char, ReadBytes> Buffer;
  std::string Request;
  WireAnswer Answer;
  Callback Done;
  http_parser Parser;
  bool Whole = false;
  bool InValue = false;
};

void WireClient::send(const WireCall &Call, Callback Done) {
  std::vector<ConnectionPtr> &Kept = Idle[Call.To];
  ConnectionPtr C;
  if (Kept.empty()) {
    ++Opened;
    C = std::make_shared<Connection>(*this, Call.To);
  } else {
    C = Kept.back();
    Kept.pop_back();
  }
  C->run(Call, std::move(Done));
}

void WireClient::release(const ConnectionPtr &C) { Idle[C->to()].push_back(C); }

void WireClient::forget(const ConnectionPtr &C) {
  std::erase(Idle[C->to()], C);
}

} // namespace shallot::standins
