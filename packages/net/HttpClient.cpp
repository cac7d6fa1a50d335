//===- HttpClient.cpp -----------------------------------------------------===//
#include "net/HttpClient.h"

#include "net/Containment.h"
#include "net/CurlLibrary.h"
#include "net/CurlMulti.h"
#include "shallotshift/telemetry.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <utility>
#include <vector>

namespace shallot {

namespace {

using internal::curl;

/// A reply with more lines of fields is not an honest one. libcurl keeps each,
/// also of trailers, in far more memory than its bytes take.
constexpr std::size_t MaxReplyHeaders = 128;

/// Header lines that libcurl adds on its own and that we do not want. Expect:
/// would hold a large body back for a 100-continue and, on a 417, make libcurl
/// send the request again by itself.
constexpr std::string_view SuppressedHeaders[] = {"Expect:", "Accept:"};
constexpr std::string_view SuppressedContentType = "Content-Type:";

/// Copies \p Text without the bytes that would start another header line.
void appendClean(std::string &Line, std::string_view Text) {
  for (char C : Text)
    if (C != '\r' && C != '\n' && C != '\0')
      Line += C;
}

long toCurlMillis(Duration D) {
  // 0 would mean "no limit" to libcurl.
  return static_cast<long>(std::max<std::int64_t>(1, toMillis(D)));
}

std::size_t bodyBytesReceived(CURL *Easy) {
  curl_off_t Bytes = 0;
  curl().EasyGetinfo(Easy, CURLINFO_SIZE_DOWNLOAD_T, &Bytes);
  return static_cast<std::size_t>(Bytes);
}

long infoLong(CURL *Easy, CURLINFO Which) {
  long Value = 0;
  curl().EasyGetinfo(Easy, Which, &Value);
  return Value;
}

bool openedConnection(CURL *Easy) {
  return infoLong(Easy, CURLINFO_NUM_CONNECTS) > 0;
}

/// The header lines of one request as the list that libcurl reads. The lines
/// keep their memory from one transfer to the next.
class HeaderList {
public:
  void clear() { Used = 0; }

  std::string &line() {
    if (Used == Lines.size())
      Lines.emplace_back();
    Lines[Used].clear();
    return Lines[Used++];
  }

  curl_slist *list() {
    Nodes.resize(Used);
    for (std::size_t I = 0; I < Used; ++I)
      Nodes[I] = {Lines[I].data(), I + 1 < Used ? &Nodes[I + 1] : nullptr};
    return Nodes.empty() ? nullptr : Nodes.data();
  }

private:
  std::size_t Used = 0;
  std::vector<std::string> Lines;
  std::vector<curl_slist> Nodes;
};

/// One transfer, and the easy handle that it runs on.
///
/// The failure: a handle that is used again points to the freed last field of
/// its reply before, and libcurl 7.88 writes there when the next reply begins
/// with a folded field. Each transfer has a new handle; connections are the
/// multi handle's and are kept.
struct Transfer {
  CURL *Easy = nullptr;
  const EventLoop *Clock = nullptr;
  internal::CurlMulti::Target Where;
  HttpClient::TransferId Id = 0; ///< 0 while it is not in use.
  std::uint32_t Slot = 0;
  std::uint32_t Generation = 0;
  Repeat Rule = Repeat::Idempotent;
  std::size_t MaxBytes = 0;
  std::size_t Bytes = 0; ///< Of the reply, headers and body.
  HttpHeadParser Head{MessageKind::Reply};
  std::array<char, CURL_ERROR_SIZE> CurlError{}; ///< libcurl's words, or empty.
  Instant Started{};
  Instant LastByte{}; ///< Of the reply.
  Duration Stall{0};  ///< As in HttpRequest.
  TimerHandle StallTimer;
  std::string Url;
  std::string Body;
  HeaderList Headers;
  HttpReply Reply;
  HttpClient::Callback Done;

  ~Transfer() {
    if (Easy)
      curl().EasyCleanup(Easy);
  }
};

/// Counts \p More bytes; false when the reply is larger than allowed.
bool fits(Transfer &T, std::size_t More) {
  T.Bytes += More;
  T.LastByte = T.Clock->now();
  T.Reply.TooLarge = T.Bytes > T.MaxBytes;
  return !T.Reply.TooLarge;
}

std::size_t onBody(char *Data, std::size_t, std::size_t Size, void *Self) {
  auto &T = *static_cast<Transfer *>(Self);
  if (!fits(T, Size))
    return 0; // libcurl ends the transfer.
  T.Reply.Body.append(Data, Size);
  return Size;
}

std::size_t onHeader(char *Data, std::size_t, std::size_t Size, void *Self) {
  auto &T = *static_cast<Transfer *>(Self);
  bool Fits = fits(T, Size) && T.Head.fieldLines() < MaxReplyHeaders;
  return Fits && T.Head.line({Data, Size}) ? Size : 0;
}

/// Sets what is the same for every transfer.
void setCommonOptions(Transfer &T, const HttpClientLimits &Limits) {
  CURL *E = T.Easy;
  curl().EasySetopt(E, CURLOPT_PRIVATE, &T);
  curl().EasySetopt(E, CURLOPT_ERRORBUFFER, T.CurlError.data());
  curl().EasySetopt(E, CURLOPT_NOSIGNAL, 1L);
  curl().EasySetopt(E, CURLOPT_PROXY, "");
  curl().EasySetopt(E, CURLOPT_PROTOCOLS_STR, "http");
  curl().EasySetopt(E, CURLOPT_FOLLOWLOCATION, 0L);
  curl().EasySetopt(E, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl().EasySetopt(E, CURLOPT_TCP_NODELAY, 1L);
  curl().EasySetopt(E, CURLOPT_NOPROGRESS, 1L);
  curl().EasySetopt(E, CURLOPT_IPRESOLVE, CURL_IPRESOLVE_V4);
  curl().EasySetopt(E, CURLOPT_WRITEFUNCTION, &onBody);
  curl().EasySetopt(E, CURLOPT_WRITEDATA, &T);
  curl().EasySetopt(E, CURLOPT_HEADERFUNCTION, &onHeader);
  curl().EasySetopt(E, CURLOPT_HEADERDATA, &T);
  auto Age = std::chrono::duration_cast<Seconds>(Limits.MaxIdleAge);
  curl().EasySetopt(E, CURLOPT_MAXAGE_CONN,
                    std::max<long>(1, static_cast<long>(Age.count())));
}

void setMethod(Transfer &T, const std::string &Method) {
  CURL *E = T.Easy;
  bool Sends = !T.Body.empty() || Method == "POST" || Method == "PUT";
  if (Method == "HEAD") {
    curl().EasySetopt(E, CURLOPT_NOBODY, 1L);
  } else if (Sends) {
    curl().EasySetopt(E, CURLOPT_POST, 1L);
    curl().EasySetopt(E, CURLOPT_POSTFIELDS, T.Body.data());
    curl().EasySetopt(E, CURLOPT_POSTFIELDSIZE_LARGE,
                      static_cast<curl_off_t>(T.Body.size()));
  } else {
    curl().EasySetopt(E, CURLOPT_HTTPGET, 1L);
  }
  const char *Default = Sends ? "POST" : Method == "HEAD" ? "HEAD" : "GET";
  curl().EasySetopt(E, CURLOPT_CUSTOMREQUEST,
                    Method == Default ? nullptr : Method.c_str());
}

void setHeaders(Transfer &T, const HttpHeaders &Headers) {
  T.Headers.clear();
  for (std::string_view Suppressed : SuppressedHeaders)
    T.Headers.line() = Suppressed;
  if (headerValue(Headers, "Content-Type").empty())
    T.Headers.line() = SuppressedContentType;
  for (const HttpHeader &H : Headers) {
    std::string &Line = T.Headers.line();
    appendClean(Line, H.Name);
    Line += H.Value.empty() ? ";" : ": "; // ';' is libcurl's empty value.
    appendClean(Line, H.Value);
  }
  curl().EasySetopt(T.Easy, CURLOPT_HTTPHEADER, T.Headers.list());
}

void setUrl(Transfer &T, const HttpRequest &R) {
  char Port[8];
  auto End = std::to_chars(Port, Port + sizeof(Port), R.To.Port).ptr;
  T.Url.assign("http://");
  T.Url += R.To.Ip;
  T.Url += ':';
  T.Url.append(Port, End);
  T.Url += R.Path;
  curl().EasySetopt(T.Easy, CURLOPT_URL, T.Url.c_str());
}

/// The failure: on a reused connection that closes before the first byte of
/// the reply, libcurl sends the request again by itself, so an upstream that
/// died after it ran an action runs it twice and the caller sees one success.
/// A connection of its own is enough: libcurl re-sends only on reused ones.
/// Nobody may reuse this one either, so that no later request meets it.
void setRepeatRule(Transfer &T) {
  long Own = T.Rule == Repeat::Never ? 1 : 0;
  curl().EasySetopt(T.Easy, CURLOPT_FRESH_CONNECT, Own);
  curl().EasySetopt(T.Easy, CURLOPT_FORBID_REUSE, Own);
}

/// The failure: a request goes out on a kept connection, is read, and the
/// connection closes; libcurl tries again by itself and is refused. "Could not
/// connect" is then true of the second try only, and a caller told "not run"
/// would be told a lie. libcurl counts the bytes of all tries together.
bool nothingWasSent(CURL *Easy) {
  return infoLong(Easy, CURLINFO_REQUEST_SIZE) == 0;
}

ResultCode failureOf(CURL *Easy, CURLcode Code) {
  switch (Code) {
  case CURLE_OK:
    return ResultCode::Ok;
  case CURLE_COULDNT_CONNECT:
    return nothingWasSent(Easy) ? ResultCode::ConnectFailed
                                : ResultCode::ConnectionClosed;
  case CURLE_OPERATION_TIMEDOUT:
    return nothingWasSent(Easy) ? ResultCode::ConnectFailed
                                : ResultCode::TransferTimeout;
  case CURLE_GOT_NOTHING:
  case CURLE_SEND_ERROR:
  case CURLE_RECV_ERROR:
  case CURLE_PARTIAL_FILE:
    return ResultCode::ConnectionClosed;
  default:
    return ResultCode::UpstreamBadReply;
  }
}

void logBadReply(const Transfer &T) {
  std::string Why = T.Head.fault();
  if (Why.empty())
    Why = T.Reply.TooLarge ? "too large" : T.CurlError.data();
  logEvent(LogLevel::Warn, "bad_reply",
           {{"from", T.Where.To.str()}, {"why", std::move(Why)}});
}

} // namespace

struct HttpClient::Impl {
  Impl(EventLoop &Loop, HttpClientLimits Limits)
      : Loop(Loop), Limits(Limits),
        Multi(Loop, Limits.MaxIdleConnections,
              [this](CURL *Easy, CURLcode Code) { ended(Easy, Code); }) {}
  ~Impl();

  Transfer &take();
  void release(Transfer &T);
  Transfer *find(TransferId Id);
  void ended(CURL *Easy, CURLcode Code);
  void fillReply(Transfer &T, CURLcode Code);
  void dropSilent(const Transfer &T);
  void watchStall(Transfer &T, Duration After);
  void lookForStall(TransferId Id);

  EventLoop &Loop;
  HttpClientLimits Limits;
  /// All transfers, by slot. Destroyed after Multi, whose connections point
  /// into them.
  std::vector<std::unique_ptr<Transfer>> Slots;
  std::vector<std::uint32_t> Free;
  std::size_t Running = 0;
  internal::CurlMulti Multi;
};

HttpClient::Impl::~Impl() {
  for (auto &T : Slots) {
    T->StallTimer.cancel();
    if (T->Id)
      Multi.remove(T->Easy);
  }
}

Transfer &HttpClient::Impl::take() {
  if (Free.empty()) {
    Free.push_back(static_cast<std::uint32_t>(Slots.size()));
    Slots.push_back(std::make_unique<Transfer>());
    Slots.back()->Slot = Free.back();
  }
  Transfer &T = *Slots[Free.back()];
  Free.pop_back();
  T.Easy = curl().EasyInit();
  setCommonOptions(T, Limits);
  Multi.prepare(T.Easy, T.Where);
  T.Id = (static_cast<TransferId>(++T.Generation) << 32) | T.Slot;
  T.MaxBytes = Limits.MaxReplyBytes;
  T.Bytes = 0;
  T.Head = HttpHeadParser(MessageKind::Reply);
  T.CurlError[0] = 0;
  T.Clock = &Loop;
  T.Started = Loop.now();
  T.LastByte = T.Started;
  T.Reply = HttpReply();
  ++Running;
  return T;
}

void HttpClient::Impl::release(Transfer &T) {
  T.Id = 0;
  T.StallTimer.cancel();
  T.Done = nullptr;
  T.Body.clear();
  --Running;
  curl().EasyCleanup(std::exchange(T.Easy, nullptr));
  Free.push_back(T.Slot);
}

Transfer *HttpClient::Impl::find(TransferId Id) {
  auto Slot = static_cast<std::uint32_t>(Id);
  if (Id == 0 || Slot >= Slots.size() || Slots[Slot]->Id != Id)
    return nullptr;
  return Slots[Slot].get();
}

void HttpClient::Impl::fillReply(Transfer &T, CURLcode Code) {
  T.Reply.Failure = failureOf(T.Easy, Code);
  // libcurl takes a reply that ends between two header lines for one without a
  // body.
  if (T.Reply.Failure == ResultCode::Ok && !T.Head.whole())
    T.Reply.Failure = ResultCode::ConnectionClosed;
  if (T.Reply.Failure == ResultCode::UpstreamBadReply)
    logBadReply(T);
  T.Reply.Headers = T.Head.takeHead().Headers;
  T.Reply.Status = static_cast<int>(infoLong(T.Easy, CURLINFO_RESPONSE_CODE));
  T.Reply.NewConnection = openedConnection(T.Easy);
  T.Reply.Took = Loop.now() - T.Started;
  T.Reply.ReceivedBytes = bodyBytesReceived(T.Easy);
}

/// The failure: something between the two ends forgets our connections. They
/// stay open and say nothing while new ones work, and every request that is
/// given one of the kept ones waits for its whole timeout. libcurl closes the
/// one that timed out; the others to the same endpoint are as old and as
/// doubtful, unless one was heard from since this transfer began.
void HttpClient::Impl::dropSilent(const Transfer &T) {
  bool Silent = T.Reply.Failure == ResultCode::TransferTimeout &&
                !T.Reply.NewConnection && T.Bytes == 0;
  if (Silent)
    Multi.dropIdle(T.Where.To, T.Started);
}

void HttpClient::Impl::ended(CURL *Easy, CURLcode Code) {
  void *Private = nullptr;
  curl().EasyGetinfo(Easy, CURLINFO_PRIVATE, &Private);
  Transfer &T = *static_cast<Transfer *>(Private);
  fillReply(T, Code);
  dropSilent(T);
  HttpReply Reply = std::move(T.Reply);
  Callback Done = std::move(T.Done);
  release(T);
  // May destroy this object.
  contain("http reply", {}, [&] { Done(std::move(Reply)); });
}

void HttpClient::Impl::watchStall(Transfer &T, Duration After) {
  T.StallTimer = Loop.after(After, [this, Id = T.Id] { lookForStall(Id); });
}

/// libcurl's own limit on slow replies counts in whole seconds and bytes a
/// second, which is no word on whether a sender still lives.
void HttpClient::Impl::lookForStall(TransferId Id) {
  Transfer *T = find(Id);
  if (!T)
    return;
  Duration Left = T->LastByte + T->Stall - Loop.now();
  if (T->Bytes != 0 && Left > Duration(0)) {
    watchStall(*T, Left);
    return;
  }
  Multi.remove(T->Easy);
  ended(T->Easy, CURLE_OPERATION_TIMEDOUT);
}

HttpClient::HttpClient(EventLoop &Loop, HttpClientLimits Limits) {
  I = std::make_unique<Impl>(Loop, Limits);
}

HttpClient::~HttpClient() = default;

HttpClient::TransferId HttpClient::send(HttpRequest Request, Callback Done) {
  Transfer &T = I->take();
  T.Where.To = std::move(Request.To);
  Request.To = T.Where.To;
  T.Rule = Request.Rule;
  T.Body = std::move(Request.Body);
  T.Done = std::move(Done);
  setUrl(T, Request);
  setMethod(T, Request.Method);
  if (Request.Method == "HEAD")
    T.Head.expectNoBody();
  setHeaders(T, Request.Headers);
  setRepeatRule(T);
  // libcurl unpacks in small pieces, so MaxReplyBytes also bounds what a few
  // bytes may unpack to.
  curl().EasySetopt(T.Easy, CURLOPT_ACCEPT_ENCODING,
                    Request.AcceptDeflated ? DeflateCoding : nullptr);
  T.Stall = Request.Stall;
  Duration Whole = Request.Timeout;
  if (T.Stall > Duration(0)) {
    I->watchStall(T, Request.Timeout);
    Whole += LongestReply;
  }
  curl().EasySetopt(T.Easy, CURLOPT_TIMEOUT_MS, toCurlMillis(Whole));
  curl().EasySetopt(T.Easy, CURLOPT_CONNECTTIMEOUT_MS,
                    toCurlMillis(Request.ConnectTimeout));
  TransferId Id = T.Id;
  I->Multi.add(T.Easy);
  return Id;
}

void HttpClient::cancel(TransferId Id) {
  Transfer *T = I->find(Id);
  if (!T)
    return;
  I->Multi.remove(T->Easy);
  I->release(*T);
}

std::optional<TransferProgress> HttpClient::progress(TransferId Id) const {
  const Transfer *T = I->find(Id);
  if (!T)
    return std::nullopt;
  Instant Now = I->Loop.now();
  return TransferProgress{T->Bytes, Now - T->Started, Now - T->LastByte,
                          openedConnection(T->Easy)};
}

void HttpClient::forget(const Endpoint &To) {
  I->Multi.dropIdle(To, Instant::max());
  for (auto &T : I->Slots)
    if (T->Id && T->Where.To == To)
      curl().EasySetopt(T->Easy, CURLOPT_FORBID_REUSE, 1L);
}

unsigned HttpClient::openConnections(const Endpoint &To) const {
  return I->Multi.openConnections(To);
}

std::size_t HttpClient::inFlight() const { return I->Running; }

} // namespace shallot
