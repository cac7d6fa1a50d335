//===- HttpServer.cpp -----------------------------------------------------===//
#include "net/HttpServer.h"

#include "net/Containment.h"
#include "net/GuardedSocket.h"
#include "net/Problem.h"

#include <algorithm>
#include <asio/post.hpp>
#include <http_parser.h>
#include <poll.h>
#include <restinio/all.hpp>
#include <vector>

namespace shallot {

namespace {

using internal::GuardedSocket;
using internal::ServerConnections;

/// Room above MaxConnections to accept callers only to tell them so. Beyond
/// it they wait in the kernel's queue.
constexpr std::size_t RefusingConnections = 64;
/// RESTinio looks at its time limits this often, so a limit may be passed by
/// as much; a quarter of the shortest limit, within these bounds.
constexpr Duration LeastCheckPeriod = Millis(20);
constexpr Duration MostCheckPeriod = Seconds(1);
/// stopAccepting() takes what is already in the kernel's queue, for at most
/// this many turns of the loop.
constexpr int MostAcceptRounds = 1000;

/// Passes RESTinio's complaints on to the connection that it closes next.
class ComplaintLogger {
public:
  explicit ComplaintLogger(std::shared_ptr<ServerConnections> S)
      : S(std::move(S)) {}

  template <typename F> void trace(F &&) const {}
  template <typename F> void info(F &&) const {}
  template <typename F> void warn(F &&) const {}
  template <typename F> void error(F &&Message) const {
    S->Complaint = complaintIn(Message());
  }

private:
  /// The texts are those of RESTinio 0.6.16 and http_parser.
  static ResultCode complaintIn(std::string_view Text) {
    auto Has = [&](std::string_view Part) {
      return Text.find(Part) != std::string_view::npos;
    };
    if (!Has("parser error"))
      return ResultCode::Ok;
    // RESTinio checks Content-Length when the headers are complete.
    if (Has("HPE_CB_body") || Has("HPE_CB_headers_complete"))
      return ResultCode::BodyTooLarge;
    if (Has("HPE_CB_") || Has("HPE_HEADER_OVERFLOW"))
      return ResultCode::HeaderTooLarge;
    return ResultCode::MalformedHttp;
  }

  std::shared_ptr<ServerConnections> S;
};

struct ServerTraits : public restinio::default_single_thread_traits_t {
  using logger_t = ComplaintLogger;
  using stream_socket_t = GuardedSocket;
  // RESTinio asks for this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool use_connection_count_limiter = true;
};

using Restinio = restinio::http_server_t<ServerTraits>;
using RestinioSettings = restinio::server_settings_t<ServerTraits>;

/// What one server's requests share; outlives the server while answers to
/// them are still awaited.
struct Shared {
  std::shared_ptr<ServerConnections> Connections =
      std::make_shared<ServerConnections>();
  HttpServer::Handler OnRequest;
  std::size_t InFlight = 0;
  bool CloseAfterReply = false;
  std::vector<Responder::Impl *> Waiting; ///< Not answered yet.
};

/// Counts one request as in flight while it lives.
struct InFlight {
  explicit InFlight(std::shared_ptr<Shared> S) : S(std::move(S)) {
    ++this->S->InFlight;
  }
  ~InFlight() { --S->InFlight; }
  InFlight(const InFlight &) = delete;
  InFlight &operator=(const InFlight &) = delete;

  std::shared_ptr<Shared> S;
};

Duration checkPeriod(const HttpServerLimits &L) {
  Duration Shortest =
      std::min({L.ReadTimeout, L.WriteTimeout, L.HandleTimeout});
  return std::clamp(Shortest / 4, LeastCheckPeriod, MostCheckPeriod);
}

RestinioSettings makeSettings(const Endpoint &At, const HttpServerLimits &L,
                              const std::shared_ptr<ServerConnections> &S) {
  RestinioSettings Settings;
  Settings.address(At.Ip)
      .port(At.Port)
      .logger(S)
      .timer_manager(checkPeriod(L))
      .max_pipelined_requests(1)
      .max_parallel_connections(L.MaxConnections + RefusingConnections)
      .read_next_http_message_timelimit(L.ReadTimeout)
      .write_http_response_timelimit(L.WriteTimeout)
      .handle_request_timeout(L.HandleTimeout);
  Settings.incoming_http_msg_limits(restinio::incoming_http_msg_limits_t()
                                        .max_url_size(L.MaxHeaderBytes)
                                        .max_field_name_size(L.MaxHeaderBytes)
                                        .max_field_value_size(L.MaxHeaderBytes)
                                        .max_field_count(L.MaxHeaderCount)
                                        .max_body_size(L.MaxBodyBytes));
  return Settings;
}

ServerRequest toRequest(const restinio::request_handle_t &From) {
  ServerRequest Request;
  const restinio::http_request_header_t &Header = From->header();
  Request.Method = Header.method().c_str();
  Request.Path = std::string(Header.path());
  Request.Query = std::string(Header.query());
  Header.for_each_field([&Request](const restinio::http_header_field_t &F) {
    Request.Headers.push_back({F.name(), F.value()});
  });
  Request.Body = From->body();
  Request.Peer = From->remote_endpoint().address().to_string();
  return Request;
}

/// Without it a value from outside could add a header or a whole reply.
std::string clean(std::string Value) {
  std::erase_if(Value, [](char C) { return C == '\r' || C == '\n'; });
  return Value;
}

} // namespace

struct Responder::Impl {
  Impl(std::shared_ptr<Shared> S, restinio::request_handle_t Request)
      : S(std::move(S)), Request(std::move(Request)),
        Counted(std::make_shared<InFlight>(this->S)) {
    this->S->Waiting.push_back(this);
  }

  // Only a lack of memory can throw here, and that ends the process anyway.
  // NOLINTNEXTLINE(bugprone-exception-escape)
  ~Impl() {
    // A handler that lost its Responder must not leave the caller waiting.
    if (Request)
      reply(problemReply(ResultCode::Internal, "the handler gave no answer"));
  }

  void reply(ServerReply Reply) {
    if (!Request)
      return;
    std::erase(S->Waiting, this);
    send(std::move(Reply), std::exchange(Request, nullptr));
  }

  /// The server is gone: nothing can be sent, and nothing of RESTinio's may be
  /// held any longer.
  void abandon() {
    Request.reset();
    Counted.reset();
  }

private:
  void send(ServerReply Reply, const restinio::request_handle_t &To) {
    auto Status = restinio::http_status_line_t(
        restinio::http_status_code_t(static_cast<std::uint16_t>(Reply.Status)),
        http_status_str(static_cast<http_status>(Reply.Status)));
    auto Response = To->create_response(std::move(Status));
    if (!Reply.ContentType.empty())
      Response.append_header(restinio::http_field::content_type,
                             clean(std::move(Reply.ContentType)));
    for (HttpHeader &H : Reply.Headers)
      Response.append_header(clean(std::move(H.Name)),
                             clean(std::move(H.Value)));
    Response.set_body(std::move(Reply.Body));
    if (Reply.CloseConnection || S->CloseAfterReply)
      Response.connection_close();
    // It counts as answered when the kernel has it or the connection is gone,
    // so that a stopping daemon does not exit with an answer in its buffers.
    Response.done(
        [Last = std::move(Counted)](const auto &) mutable { Last.reset(); });
  }

  std::shared_ptr<Shared> S;
  restinio::request_handle_t Request;
  std::shared_ptr<InFlight> Counted;
};

void Responder::reply(ServerReply Reply) const { I->reply(std::move(Reply)); }

struct HttpServer::Impl {
  explicit Impl(EventLoop &Loop) : Loop(Loop) {}
  // NOLINTNEXTLINE(bugprone-exception-escape): as above.
  ~Impl();

  void start(const Endpoint &At, const HttpServerLimits &Limits);
  static restinio::request_handling_status_t
  handle(const std::shared_ptr<Shared> &S,
         const restinio::request_handle_t &Request);
  void acceptRest(int RoundsLeft);

  EventLoop &Loop;
  std::shared_ptr<Shared> S = std::make_shared<Shared>();
  std::shared_ptr<Restinio> Server;
  asio::ip::tcp::acceptor *Acceptor = nullptr; ///< Within Server.
  std::shared_ptr<char> Alive = std::make_shared<char>();
};

// NOLINTNEXTLINE(bugprone-exception-escape): as above.
HttpServer::Impl::~Impl() {
  if (!Server)
    return;
  Server->close_sync();
  for (Responder::Impl *R : std::exchange(S->Waiting, {}))
    R->abandon();
  auto Open = S->Connections->All; // close() takes each out.
  for (GuardedSocket *Socket : Open)
    Socket->close();
  // Reads and writes that were cancelled just now still hold RESTinio's
  // connections, which point into the server: it goes after them.
  asio::post(Loop.context(), [Last = std::move(Server)] {});
}

restinio::request_handling_status_t
HttpServer::Impl::handle(const std::shared_ptr<Shared> &S,
                         const restinio::request_handle_t &Request) {
  if (S->Connections->Reading)
    S->Connections->Reading->handling();
  auto Answer = std::make_shared<Responder::Impl>(S, Request);
  // Without its Responder, the request is answered with an error.
  contain("http request", Request->header().path(), [&] {
    S->OnRequest(toRequest(Request), Responder(std::move(Answer)));
  });
  return restinio::request_accepted();
}

void HttpServer::Impl::start(const Endpoint &At,
                             const HttpServerLimits &Limits) {
  S->Connections->MaxConnections = Limits.MaxConnections;
  RestinioSettings Settings = makeSettings(At, Limits, S->Connections);
  Settings.request_handler(
      [S = S](const restinio::request_handle_t &R) { return handle(S, R); });
  Settings.acceptor_post_bind_hook(
      [this](asio::ip::tcp::acceptor &A) { Acceptor = &A; });
  Settings.socket_options_setter([](restinio::socket_options_t &Options) {
    Options.set_option(asio::ip::tcp::no_delay(true));
  });
  internal::AdoptSockets Scope(S->Connections);
  Server = std::make_shared<Restinio>(
      restinio::external_io_context(Loop.context()), std::move(Settings));
  Server->open_sync();
}

/// Callers whose connections the kernel has already taken believe that they
/// are connected: closing the listening socket now would reset them.
void HttpServer::Impl::acceptRest(int RoundsLeft) {
  pollfd Queue{Acceptor->native_handle(), POLLIN, 0};
  if (RoundsLeft == 0 || ::poll(&Queue, 1, 0) <= 0) {
    Server->close_sync();
    return;
  }
  asio::post(Loop.context(), [this, RoundsLeft, Guard = std::weak_ptr(Alive)] {
    if (!Guard.expired())
      acceptRest(RoundsLeft - 1);
  });
}

Result<std::unique_ptr<HttpServer>> HttpServer::open(EventLoop &Loop,
                                                     const Endpoint &At,
                                                     HttpServerLimits Limits,
                                                     Handler OnRequest) {
  auto I = std::make_unique<Impl>(Loop);
  I->S->OnRequest = std::move(OnRequest);
  try {
    I->start(At, Limits);
  } catch (const std::exception &Failed) {
    return fail(ResultCode::AddressInUse,
                "cannot listen on " + At.str() + ": " + Failed.what());
  }
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(I)));
}

HttpServer::HttpServer(std::unique_ptr<Impl> I) : I(std::move(I)) {}
HttpServer::~HttpServer() = default;

void HttpServer::closeAfterReply() { I->S->CloseAfterReply = true; }

void HttpServer::stopAccepting() {
  if (I->Acceptor && I->Acceptor->is_open())
    I->acceptRest(MostAcceptRounds);
}

std::size_t HttpServer::inFlight() const { return I->S->InFlight; }

std::size_t HttpServer::openConnections() const {
  return I->S->Connections->Open;
}

} // namespace shallot
