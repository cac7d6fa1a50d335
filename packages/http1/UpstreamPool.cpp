//===- UpstreamPool.cpp ---------------------------------------------------===//
#include "http1/UpstreamPool.h"

#include "http1/MessageReader.h"
#include "http1/StreamSocket.h"
#include "shallotshift/telemetry.h"

#include <algorithm>
#include <charconv>
#include <unordered_map>

namespace shallot {

namespace {

using internal::Message;
using internal::MessageReader;
using internal::ReadState;
using internal::StreamEnd;
using internal::StreamSocket;

/// A replica names its idle timeout in whole seconds; a connection is not used
/// in the last part of it, when the request could cross the close.
constexpr double UsedPartOfKeepAlive = 0.75;
/// Where it names none.
constexpr Duration UsualKeepAlive = Seconds(20);

/// A reply of unknown length that has taken less is not given up before larger
/// ones: it would free little.
constexpr std::size_t LeastEndless = 64 << 10;

/// Why a call was lost.
constexpr std::string_view Reset = "reset";
constexpr std::string_view ClosedEarly = "closed early";
constexpr std::string_view TooLarge = "too large";

Duration keepAliveOf(const HttpHeaders &Headers) {
  std::string_view Value = headerValue(Headers, "Keep-Alive");
  std::size_t At = Value.find("timeout=");
  if (At == std::string_view::npos)
    return UsualKeepAlive;
  Value.remove_prefix(At + std::string_view("timeout=").size());
  int Whole = 0;
  std::from_chars(Value.data(), Value.data() + Value.size(), Whole);
  return fromMillisF(Whole * 1000.0 * UsedPartOfKeepAlive);
}

} // namespace

struct UpstreamPool::Impl : std::enable_shared_from_this<UpstreamPool::Impl> {
  /// One connection, idle or with one call on it.
  struct Link {
    std::shared_ptr<StreamSocket> Socket;
    std::unique_ptr<MessageReader> Reader;
    Endpoint To;
    Instant OpenedAt;
    Instant LastHeard;
    Instant UsableUntil = Instant::max();
    bool Connected = false;
    std::optional<Duration> Opened; ///< Reported with the first call's end.
    bool Fresh = true;              ///< No reply came on it yet.
    // The call on it.
    CallId Call = 0;
    UpstreamRequest Request;
    Callback Done;
    bool Sent = false;
    Instant SentAt;
    std::size_t Held = 0; ///< Counted in Buffered.
    TimerQueue::Key ConnectTimer = 0;
    std::function<void(ConnectEnd)> Trial;

    /// The last call on it was of the same request. A replica may send its
    /// reply to that one again, late; it would be taken for the next reply,
    /// which has the same name.
    bool carried(const UpstreamRequest &R) const {
      return R.Repeated && Request.EchoValue == R.EchoValue;
    }
  };
  using LinkPtr = std::shared_ptr<Link>;

  Impl(EventLoop &Loop, TimerQueue &Timers, UpstreamPoolOptions O)
      : Loop(Loop), Timers(Timers), Options(O) {}

  LinkPtr takeIdle(const UpstreamRequest &Request);
  LinkPtr connect(const Endpoint &To);
  void connected(const LinkPtr &L, ConnectEnd How);
  void transmit(const LinkPtr &L);
  void data(const LinkPtr &L, std::string_view Bytes);
  void ended(const LinkPtr &L, StreamEnd How);
  void whole(const LinkPtr &L, bool Rest);
  void finish(const LinkPtr &L, UpstreamReply Reply);
  void lose(const LinkPtr &L, std::string_view Why);
  void hold(Link &L, std::size_t Bytes);
  void loseLargest();
  void keep(const LinkPtr &L);
  void forget(const LinkPtr &L);
  void close(const LinkPtr &L);
  void dropSilent(const Link &Lost);

  EventLoop &Loop;
  TimerQueue &Timers;
  UpstreamPoolOptions Options;
  UpstreamPoolCounters Counters;
  std::map<Endpoint, std::vector<LinkPtr>> Idle; ///< Last used at the back.
  std::size_t IdleCount = 0;
  std::size_t Buffered = 0; ///< By the replies that are being read.
  std::unordered_map<CallId, LinkPtr> Calls;
  CallId LastCall = 0;
};

UpstreamPool::Impl::LinkPtr
UpstreamPool::Impl::takeIdle(const UpstreamRequest &Request) {
  auto Found = Idle.find(Request.To);
  if (Found == Idle.end())
    return nullptr;
  Instant Now = Timers.now();
  const std::vector<LinkPtr> &Links = Found->second;
  std::vector<LinkPtr> Expired;
  LinkPtr Taken;
  for (auto At = Links.rbegin(); At != Links.rend() && !Taken; ++At) {
    const LinkPtr &L = *At;
    if (Now >= L->UsableUntil || L->OpenedAt < Request.OpenedFrom)
      Expired.push_back(L);
    else if (Now - L->LastHeard > Request.MostIdle)
      break; // Good enough for others; the rest are older.
    else if (!L->carried(Request))
      Taken = L;
  }
  for (const LinkPtr &L : Expired)
    close(L);
  if (Taken)
    forget(Taken);
  return Taken;
}

UpstreamPool::Impl::LinkPtr UpstreamPool::Impl::connect(const Endpoint &To) {
  auto L = std::make_shared<Link>();
  L->To = To;
  L->OpenedAt = Timers.now();
  L->LastHeard = L->OpenedAt;
  L->Socket = std::make_shared<StreamSocket>(Loop);
  internal::MessageLimits Limits;
  Limits.MaxBodyBytes = Options.MaxReplyBytes;
  L->Reader = std::make_unique<MessageReader>(MessageKind::Reply, Limits);
  ++Counters.Opened;
  std::weak_ptr<Impl> Guard = weak_from_this();
  L->ConnectTimer = Timers.after(Options.ConnectTimeout, [Guard, L] {
    if (auto Self = Guard.lock())
      Self->connected(L, ConnectEnd::Failed);
  });
  L->Socket->connect(To, [Guard, L](ConnectEnd How) {
    if (auto Self = Guard.lock())
      Self->connected(L, How);
  });
  return L;
}

void UpstreamPool::Impl::connected(const LinkPtr &L, ConnectEnd How) {
  Timers.cancel(L->ConnectTimer);
  if (auto Trial = std::exchange(L->Trial, nullptr))
    Trial(How);
  if (How != ConnectEnd::Opened) {
    UpstreamReply Reply;
    Reply.How = CallEnd::NotSent;
    Reply.Why = "no connection";
    close(L);
    finish(L, std::move(Reply));
    return;
  }
  L->Connected = true;
  L->Opened = Timers.now() - L->OpenedAt;
  L->LastHeard = Timers.now();
  std::weak_ptr<Impl> Guard = weak_from_this();
  L->Socket->read(
      [Guard, L](std::string_view Bytes) {
        if (auto Self = Guard.lock())
          Self->data(L, Bytes);
      },
      [Guard, L](StreamEnd How) {
        if (auto Self = Guard.lock())
          Self->ended(L, How);
      });
  if (L->Call)
    transmit(L);
  else
    keep(L);
}

void UpstreamPool::Impl::transmit(const LinkPtr &L) {
  if (L->Request.ToHead)
    L->Reader->expectNoBody();
  L->SentAt = Timers.now();
  L->Sent = L->Socket->write(std::move(L->Request.Bytes));
  if (L->Sent)
    return;
  // Nothing was taken. The caller of send() has not returned yet, perhaps.
  std::weak_ptr<Impl> Guard = weak_from_this();
  Loop.post([Guard, L] {
    if (auto Self = Guard.lock())
      Self->lose(L, "closed before sending");
  });
}

void UpstreamPool::Impl::data(const LinkPtr &L, std::string_view Bytes) {
  L->LastHeard = Timers.now();
  if (!L->Call || !L->Sent) {
    ++Counters.Stray;
    close(L);
    lose(L, "bytes before the request");
    return;
  }
  std::size_t Used = L->Reader->feed(Bytes);
  switch (L->Reader->state()) {
  case ReadState::Whole:
    whole(L, Used < Bytes.size());
    return;
  case ReadState::Malformed:
    logEvent(LogLevel::Warn, "bad_reply",
             {{"from", L->To.str()},
              {"id", L->Request.EchoValue},
              {"why", L->Reader->fault()}});
    lose(L, "bad bytes");
    return;
  case ReadState::HeadersTooLarge:
  case ReadState::BodyTooLarge:
    ++Counters.TooLarge;
    lose(L, TooLarge);
    return;
  default:
    hold(*L, L->Reader->heldBytes());
    if (Buffered > Options.MaxBufferedBytes)
      loseLargest();
    return;
  }
}

void UpstreamPool::Impl::hold(Link &L, std::size_t Bytes) {
  Buffered += Bytes - L.Held;
  L.Held = Bytes;
}

/// Of the replies whose end is not in sight, if there are any: those without
/// end are among them.
void UpstreamPool::Impl::loseLargest() {
  auto Rank = [](const auto &Call) {
    const Link &L = *Call.second;
    bool Endless = L.Held >= LeastEndless && !L.Reader->lengthKnown();
    return std::pair(Endless, L.Held);
  };
  auto Largest = std::ranges::max_element(Calls, {}, Rank);
  if (Largest == Calls.end())
    return;
  ++Counters.TooLarge;
  lose(LinkPtr(Largest->second), TooLarge);
}

void UpstreamPool::Impl::ended(const LinkPtr &L, StreamEnd How) {
  if (!L->Call) {
    close(L);
    return;
  }
  // A reply without a length is whole only when the other end closed in order.
  if (How == StreamEnd::Closed)
    L->Reader->feedEnd();
  if (L->Reader->state() == ReadState::Whole)
    whole(L, true);
  else
    lose(L, How == StreamEnd::Closed ? ClosedEarly : Reset);
}

/// \p Rest: the connection is of no further use whatever the reply says.
void UpstreamPool::Impl::whole(const LinkPtr &L, bool Rest) {
  Message M = L->Reader->take();
  hold(*L, 0);
  std::string_view Echo = headerValue(M.Headers, L->Request.EchoName);
  if (!L->Request.EchoName.empty() && !Echo.empty() &&
      Echo != L->Request.EchoValue) {
    ++Counters.Stray;
    lose(L, "another request's reply");
    return;
  }
  UpstreamReply Reply;
  Reply.How = CallEnd::Answered;
  Reply.Status = M.Status;
  // A reply that came before the whole request was out: the replica may read
  // the rest as it likes, but nothing else may follow on this connection.
  bool Keep = M.KeepAlive && !Rest && L->Socket->unsent() == 0;
  L->UsableUntil = Timers.now() + keepAliveOf(M.Headers);
  Reply.Opened = std::exchange(L->Opened, std::nullopt);
  Reply.Headers = std::move(M.Headers);
  Reply.Body = std::move(M.Body);
  L->Fresh = false;
  Callback Done = std::move(L->Done);
  Calls.erase(std::exchange(L->Call, 0));
  L->Sent = false;
  if (Keep)
    keep(L);
  else
    close(L);
  Done(std::move(Reply));
}

void UpstreamPool::Impl::lose(const LinkPtr &L, std::string_view Why) {
  UpstreamReply Reply;
  Reply.How = L->Sent ? CallEnd::Lost : CallEnd::NotSent;
  Reply.Why = Why;
  Reply.ClosedByPeer = Why == Reset || Why == ClosedEarly;
  Reply.ConnectionRefused =
      Why == Reset && L->Fresh && L->Reader->state() == ReadState::Waiting;
  close(L);
  finish(L, std::move(Reply));
}

void UpstreamPool::Impl::finish(const LinkPtr &L, UpstreamReply Reply) {
  if (!L->Call)
    return;
  Calls.erase(std::exchange(L->Call, 0));
  Callback Done = std::move(L->Done);
  Done(std::move(Reply));
}

void UpstreamPool::Impl::keep(const LinkPtr &L) {
  std::vector<LinkPtr> &Kept = Idle[L->To];
  Kept.push_back(L);
  ++IdleCount;
  if (IdleCount > Options.MaxIdle || Kept.size() > L->Request.MostKept) {
    LinkPtr Oldest = Kept.front(); // close() takes it out of Kept.
    close(Oldest);
  }
}

void UpstreamPool::Impl::close(const LinkPtr &L) {
  Timers.cancel(L->ConnectTimer);
  hold(*L, 0);
  L->Socket->close();
  forget(L);
}

/// Takes \p L out of the idle connections, if it is one.
void UpstreamPool::Impl::forget(const LinkPtr &L) {
  auto Found = Idle.find(L->To);
  if (Found == Idle.end())
    return;
  std::size_t Gone = std::erase(Found->second, L);
  IdleCount -= Gone;
  if (Found->second.empty())
    Idle.erase(Found);
}

/// The failure: a path forgets open connections and tells nobody. Each request
/// that is given a kept one waits in vain while new ones would work. When one
/// fell silent, the others to the same place that were not heard from since are
/// as old and as doubtful.
void UpstreamPool::Impl::dropSilent(const Link &Lost) {
  auto Found = Idle.find(Lost.To);
  if (Found == Idle.end())
    return;
  std::vector<LinkPtr> Doubtful;
  for (const LinkPtr &L : Found->second)
    if (L->LastHeard < Lost.SentAt)
      Doubtful.push_back(L);
  for (const LinkPtr &L : Doubtful)
    close(L);
}

std::size_t liveConnections() { return StreamSocket::live(); }

UpstreamPool::UpstreamPool(EventLoop &Loop, TimerQueue &Timers,
                           UpstreamPoolOptions O)
    : I(std::make_shared<Impl>(Loop, Timers, O)) {}

UpstreamPool::~UpstreamPool() {
  auto Calls = std::move(I->Calls);
  for (auto &[Id, L] : Calls)
    I->close(L);
  closeIdle();
}

UpstreamPool::CallId UpstreamPool::send(UpstreamRequest Request,
                                        Callback Done) {
  Impl::LinkPtr L = I->takeIdle(Request);
  if (L)
    ++I->Counters.Reused;
  else
    L = I->connect(Request.To);
  CallId Id = ++I->LastCall;
  L->Call = Id;
  L->Request = std::move(Request);
  L->Done = std::move(Done);
  L->Sent = false;
  I->Calls.emplace(Id, L);
  if (L->Connected)
    I->transmit(L);
  return Id;
}

void UpstreamPool::drop(CallId Id) {
  auto Found = I->Calls.find(Id);
  if (Found == I->Calls.end())
    return;
  Impl::LinkPtr L = Found->second;
  I->Calls.erase(Found);
  L->Call = 0;
  L->Done = nullptr;
  bool Silent = L->Sent && !L->Fresh && L->LastHeard < L->SentAt;
  I->close(L);
  if (Silent)
    I->dropSilent(*L);
}

void UpstreamPool::tryConnect(const Endpoint &To,
                              std::function<void(ConnectEnd)> Done) {
  I->connect(To)->Trial = std::move(Done);
}

bool UpstreamPool::connectedTo(const Endpoint &To) const {
  return I->Idle.contains(To) ||
         std::ranges::any_of(I->Calls, [&](const auto &Item) {
           return Item.second->To == To && Item.second->Connected;
         });
}

void UpstreamPool::trimIdle(Instant Since) {
  std::vector<Impl::LinkPtr> Unneeded;
  for (const auto &[To, Links] : I->Idle) {
    std::size_t Left = Links.size();
    // The last used are at the back.
    for (const Impl::LinkPtr &L : Links) {
      if (L->LastHeard >= Since || Left <= L->Request.LeastKept)
        break;
      Unneeded.push_back(L);
      --Left;
    }
  }
  for (const Impl::LinkPtr &L : Unneeded)
    I->close(L);
}

void UpstreamPool::closeIdle() {
  auto Links = std::move(I->Idle);
  I->Idle.clear();
  I->IdleCount = 0;
  for (auto &[To, List] : Links)
    for (const Impl::LinkPtr &L : List)
      I->close(L);
}

std::size_t UpstreamPool::idle() const { return I->IdleCount; }

std::size_t UpstreamPool::bufferedBytes() const { return I->Buffered; }

const UpstreamPoolCounters &UpstreamPool::counters() const {
  return I->Counters;
}

} // namespace shallot
