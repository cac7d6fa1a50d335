#include "standins/Wire.h"

#include <array>
#include <asio/write.hpp>
#include <charconv>
#include <deque>
#include <fmt/format.h>
#include <http_parser.h>

namespace shallot::standins {

namespace {

using asio::ip::tcp;

constexpr std::size_t ReadBytes = 16 << 10;
/// Replies waiting on one connection; a peer that reads none is closed.
constexpr std::size_t MaxPendingWrites = 1024;

std::uint64_t numberOr(std::string_view Text, std::uint64_t Otherwise) {
  std::uint64_t Value = 0;
  auto [End, Err] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  bool Whole = Err == std::errc() && End == Text.data() + Text.size();
  return Whole && !Text.empty() ? Value : Otherwise;
}

const char *reasonOf(int Status) {
  switch (Status) {
  case 200:
    return "OK";
  case 304:
    return "Not Modified";
  default:
    return Status < 400 ? "OK" : "Error";
  }
}

} // namespace

std::string_view WireRequest::header(std::string_view Name) const {
  return headerValue(Headers, Name);
}

std::uint64_t WireRequest::headerNumber(std::string_view Name,
                                        std::uint64_t Otherwise) const {
  return numberOr(header(Name), Otherwise);
}

std::string WireRequest::parameter(std::string_view Name) const {
  std::string_view Rest = Query;
  while (!Rest.empty()) {
    std::string_view Part = Rest.substr(0, Rest.find('&'));
    Rest.remove_prefix(std::min(Rest.size(), Part.size() + 1));
    std::size_t Equals = Part.find('=');
    if (Part.substr(0, Equals) == Name && Equals != std::string_view::npos)
      return std::string(Part.substr(Equals + 1));
  }
  return {};
}

std::uint64_t WireRequest::parameterNumber(std::string_view Name,
                                           std::uint64_t Otherwise) const {
  return numberOr(parameter(Name), Otherwise);
}

std::string WireReply::head() const {
  std::string Out = fmt::format("HTTP/1.1 {} {}\r\n", Status, reasonOf(Status));
  for (const HttpHeader &H : Headers)
    Out += fmt::format("{}: {}\r\n", H.Name, H.Value);
  return Out;
}

std::string WireReply::bytesWithoutLength() const {
  return head() + "\r\n" + Body;
}

std::string WireReply::bytes() const {
  std::string Out = head();
  if (Status != 304) {
    Out += fmt::format("Content-Type: {}\r\n", ContentType);
    Out += fmt::format("Content-Length: {}\r\n", Body.size());
  }
  Out += "\r\n";
  if (Status != 304)
    Out += Body;
  return Out;
}

struct WireConnection::Impl {
  Impl(tcp::socket Socket, std::uint64_t Id)
      : Socket(std::move(Socket)), Id(Id) {}

  tcp::socket Socket;
  std::uint64_t Id;
  std::weak_ptr<WireEvents> Events;
  std::weak_ptr<std::unordered_map<std::uint64_t, WireConnectionPtr>> Table;
  bool Open = true;
  bool Silent = false;
  bool Closing = false; ///< Close when Writes is empty.
  std::uint64_t Requests = 0;
  std::array<char, ReadBytes> Buffer;
  std::deque<std::string> Writes;
  http_parser Parser;
  WireRequest Current;
  std::string Url;
  bool InValue = false;
  std::deque<WireRequest> Whole;

  void field(std::string_view Part);
  void value(std::string_view Part);
  void complete();
};

void WireConnection::Impl::field(std::string_view Part) {
  if (InValue || Current.Headers.empty())
    Current.Headers.emplace_back();
  InValue = false;
  Current.Headers.back().Name += Part;
}

void WireConnection::Impl::value(std::string_view Part) {
  InValue = true;
  Current.Headers.back().Value += Part;
}

void WireConnection::Impl::complete() {
  Current.Method = http_method_str(static_cast<http_method>(Parser.method));
  std::size_t Mark = Url.find('?');
  Current.Path = Url.substr(0, Mark);
  if (Mark != std::string::npos)
    Current.Query = Url.substr(Mark + 1);
  Current.OnConnection = ++Requests;
  Whole.push_back(std::move(Current));
  Current = {};
  Url.clear();
  InValue = false;
}

namespace {

WireConnection::Impl &implOf(http_parser *P) {
  return *static_cast<WireConnection::Impl *>(P->data);
}

const http_parser_settings &parserSettings() {
  static const http_parser_settings Settings = [] {
    http_parser_settings S;
    http_parser_settings_init(&S);
    S.on_url = [](http_parser *P, const char *At, std::size_t N) {
      implOf(P).Url.append(At, N);
      return 0;
    };
    S.on_header_field = [](http_parser *P, const char *At, std::size_t N) {
      implOf(P).field({At, N});
      return 0;
    };
    S.on_header_value = [](http_parser *P, const char *At, std::size_t N) {
      implOf(P).value({At, N});
      return 0;
    };
    S.on_body = [](http_parser *P, const char *At, std::size_t N) {
      std::string &Body = implOf(P).Current.Body;
      Body.append(At, N);
      return Body.size() > MaxWireBodyBytes ? 1 : 0;
    };
    S.on_message_complete = [](http_parser *P) {
      implOf(P).complete();
      return 0;
    };
    return S;
  }();
  return Settings;
}

} // namespace

WireConnection::WireConnection(std::unique_ptr<Impl> I) : I(std::move(I)) {
  http_parser_init(&this->I->Parser, HTTP_REQUEST);
  this->I->Parser.data = this->I.get();
}

WireConnection::~WireConnection() = default;

std::uint64_t WireConnection::id() const { return I->Id; }
bool WireConnection::open() const { return I->Open; }
bool WireConnection::silent() const { return I->Silent; }
void WireConnection::silence() { I->Silent = true; }

void WireConnection::reply(const WireReply &Reply) { sendRaw(Reply.bytes()); }

void WireConnection::sendRaw(std::string Bytes) {
  if (!I->Open || I->Silent)
    return;
  if (I->Writes.size() >= MaxPendingWrites)
    return close();
  I->Writes.push_back(std::move(Bytes));
  if (I->Writes.size() == 1)
    writeNext();
}

void WireConnection::writeNext() {
  auto Self = shared_from_this();
  asio::async_write(I->Socket, asio::buffer(I->Writes.front()),
                    [Self](std::error_code Err, std::size_t) {
                      if (Err || !Self->I->Open)
                        return Self->close();
                      Self->I->Writes.pop_front();
                      if (!Self->I->Writes.empty())
                        Self->writeNext();
                      else if (Self->I->Closing)
                        Self->close();
                    });
}

void WireConnection::close() {
  if (!I->Open)
    return;
  I->Open = false;
  std::error_code Ignored;
  I->Socket.shutdown(tcp::socket::shutdown_both, Ignored);
  I->Socket.close(Ignored);
  auto Self = shared_from_this();
  if (auto Table = I->Table.lock())
    Table->erase(I->Id);
  if (auto Events = I->Events.lock())
    Events->OnClose(Self);
}

void WireConnection::closeWhenSent() {
  I->Closing = true;
  if (I->Writes.empty())
    close();
}

void WireConnection::start() { readSome(); }

void WireConnection::readSome() {
  auto Self = shared_from_this();
  I->Socket.async_read_some(asio::buffer(I->Buffer),
                            [Self](std::error_code Err, std::size_t Count) {
                              if (Err)
                                return Self->close();
                              Self->onBytes(Count);
                            });
}

void WireConnection::onBytes(std::size_t Count) {
  std::size_t Parsed = http_parser_execute(&I->Parser, &parserSettings(),
                                           I->Buffer.data(), Count);
  if (Parsed != Count)
    return close();
  auto Self = shared_from_this();
  auto Events = I->Events.lock();
  while (Events && I->Open && !I->Whole.empty()) {
    WireRequest Request = std::move(I->Whole.front());
    I->Whole.pop_front();
    if (!I->Silent)
      Events->OnRequest(Self, std::move(Request));
  }
  if (I->Open)
    readSome();
}

WireServer::WireServer(asio::io_context &Io, Endpoint At, WireEvents Events)
    : Io(Io), At(std::move(At)),
      Events(std::make_shared<WireEvents>(std::move(Events))), Acceptor(Io),
      Open(std::make_shared<Table>()) {}

Result<void> WireServer::listen() {
  std::error_code Err;
  tcp::endpoint Where(asio::ip::make_address(At.Ip, Err), At.Port);
  if (!Err)
    Acceptor.open(Where.protocol(), Err);
  if (!Err)
    Acceptor.set_option(tcp::acceptor::reuse_address(true), Err);
  if (!Err)
    Acceptor.bind(Where, Err);
  if (!Err)
    Acceptor.listen(asio::socket_base::max_listen_connections, Err);
  if (Err) {
    std::error_code Ignored;
    Acceptor.close(Ignored);
    return fail(ResultCode::AddressInUse, At.str() + ": " + Err.message());
  }
  acceptNext();
  return {};
}

void WireServer::acceptNext() {
  Acceptor.async_accept([this](std::error_code Err, tcp::socket Socket) {
    if (Err == asio::error::operation_aborted || !Acceptor.is_open())
      return;
    if (!Err)
      accepted(std::move(Socket));
    acceptNext();
  });
}

void WireServer::accepted(tcp::socket Socket) {
  std::error_code Ignored;
  if (!Events->OnOpen()) {
    Socket.close(Ignored);
    return;
  }
  Socket.set_option(tcp::no_delay(true), Ignored);
  auto State =
      std::make_unique<WireConnection::Impl>(std::move(Socket), NextId++);
  State->Events = Events;
  State->Table = Open;
  auto Connection = std::make_shared<WireConnection>(std::move(State));
  Open->emplace(Connection->id(), Connection);
  Connection->start();
}

void WireServer::shut() {
  std::error_code Ignored;
  Acceptor.close(Ignored);
  Table Closing = *Open;
  for (auto &[Id, Connection] : Closing)
    Connection->close();
}

bool WireServer::listening() const { return Acceptor.is_open(); }

void WireServer::silenceAll() {
  for (auto &[Id, Connection] : *Open)
    Connection->silence();
}

std::size_t WireServer::openConnections() const { return Open->size(); }

} // namespace shallot::standins
