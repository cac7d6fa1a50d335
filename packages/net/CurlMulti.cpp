//===- CurlMulti.cpp ------------------------------------------------------===//
#include "net/CurlMulti.h"

#include "net/CurlLibrary.h"
#include "net/TcpOptions.h"

#include <array>
#include <asio/post.hpp>
#include <cerrno>
#include <chrono>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace shallot::internal {

namespace {

/// Events taken at a time; more stay in the set for the next round, so that
/// timers and servers on the same loop get their turn.
constexpr int EventsARound = 64;

int makeEpoll() {
  int Fd = epoll_create1(EPOLL_CLOEXEC);
  if (Fd < 0)
    throw std::system_error(errno, std::generic_category(), "epoll_create1");
  return Fd;
}

int curlMask(unsigned Events) {
  int Mask = 0;
  if (Events & (EPOLLIN | EPOLLHUP))
    Mask |= CURL_CSELECT_IN;
  if (Events & EPOLLOUT)
    Mask |= CURL_CSELECT_OUT;
  if (Events & EPOLLERR)
    Mask |= CURL_CSELECT_ERR;
  return Mask;
}

} // namespace

CurlMulti::CurlMulti(EventLoop &Loop, unsigned MaxIdle, DoneFn OnDone)
    : Loop(Loop), OnDone(std::move(OnDone)), Multi(curl().MultiInit()),
      EpollFd(makeEpoll()), EpollEvents(Loop.context(), EpollFd),
      Timer(Loop.context()) {
  curl().MultiSetopt(Multi, CURLMOPT_SOCKETFUNCTION, &socketChanged);
  curl().MultiSetopt(Multi, CURLMOPT_SOCKETDATA, this);
  curl().MultiSetopt(Multi, CURLMOPT_TIMERFUNCTION, &timerChanged);
  curl().MultiSetopt(Multi, CURLMOPT_TIMERDATA, this);
  curl().MultiSetopt(Multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  curl().MultiSetopt(Multi, CURLMOPT_MAXCONNECTS, static_cast<long>(MaxIdle));
  waitForEvents();
}

CurlMulti::~CurlMulti() {
  Alive.reset();
  curl().MultiCleanup(Multi); // Closes the connections, through closeSocket().
}

void CurlMulti::prepare(CURL *Easy, Target &T) {
  T.Multi = this;
  curl().EasySetopt(Easy, CURLOPT_OPENSOCKETFUNCTION, &openSocket);
  curl().EasySetopt(Easy, CURLOPT_OPENSOCKETDATA, &T);
  curl().EasySetopt(Easy, CURLOPT_CLOSESOCKETFUNCTION, &closeSocket);
  curl().EasySetopt(Easy, CURLOPT_CLOSESOCKETDATA, this);
}

void CurlMulti::add(CURL *Easy) { curl().MultiAddHandle(Multi, Easy); }
void CurlMulti::remove(CURL *Easy) { curl().MultiRemoveHandle(Multi, Easy); }

void CurlMulti::dropIdle(const Endpoint &To, Instant Limit) {
  for (std::size_t Fd = 0; Fd < Connections.size(); ++Fd) {
    Connection &C = Connections[Fd];
    if (!C.Open || C.Dead || C.User || C.LastUsed >= Limit || C.To != To)
      continue;
    // libcurl has no call to close one idle connection, but it looks whether
    // a kept one still lives before it is used again. After shutdown() that
    // look finds the end of the stream, whatever the other end does.
    ::shutdown(static_cast<int>(Fd), SHUT_RDWR);
    markDead(C);
  }
}

unsigned CurlMulti::openConnections(const Endpoint &To) const {
  auto Found = OpenCount.find(To);
  return Found == OpenCount.end() ? 0 : Found->second;
}

CurlMulti::Connection &CurlMulti::connection(curl_socket_t Fd) {
  auto Index = static_cast<std::size_t>(Fd);
  if (Index >= Connections.size())
    Connections.resize(Index + 1);
  return Connections[Index];
}

void CurlMulti::countDown(Connection &C) {
  auto Found = OpenCount.find(C.To);
  if (Found != OpenCount.end() && --Found->second == 0)
    OpenCount.erase(Found);
}

void CurlMulti::markDead(Connection &C) {
  if (!C.Open || C.Dead)
    return;
  C.Dead = true;
  countDown(C);
}

curl_socket_t CurlMulti::openSocket(void *Where, curlsocktype,
                                    curl_sockaddr *Address) {
  auto *T = static_cast<Target *>(Where);
  int Fd = ::socket(Address->family, Address->socktype | SOCK_CLOEXEC,
                    Address->protocol);
  if (Fd < 0)
    return CURL_SOCKET_BAD;
  noticeLostPeer(Fd);
  Connection &C = T->Multi->connection(Fd);
  C = Connection();
  C.Open = true;
  C.To = T->To;
  ++T->Multi->OpenCount[C.To];
  return Fd;
}

int CurlMulti::closeSocket(void *Self, curl_socket_t Fd) {
  auto *M = static_cast<CurlMulti *>(Self);
  Connection &C = M->connection(Fd);
  if (C.Open && !C.Dead)
    M->countDown(C);
  C = Connection();
  return ::close(Fd); // Leaves the epoll set with it.
}

int CurlMulti::socketChanged(CURL *Easy, curl_socket_t Fd, int What, void *Self,
                             void *) {
  auto *M = static_cast<CurlMulti *>(Self);
  Connection &C = M->connection(Fd);
  if (What == CURL_POLL_REMOVE) {
    C.User = nullptr;
    C.LastUsed = M->Loop.now();
    // A kept connection stays watched for input: its close by the other end
    // is then seen now and not when libcurl next looks, and openConnections()
    // stays true.
    if (C.Watched & EPOLLOUT)
      M->watch(Fd, EPOLLIN);
    return 0;
  }
  C.User = Easy;
  unsigned Wanted = 0;
  if (What & CURL_POLL_IN)
    Wanted |= EPOLLIN;
  if (What & CURL_POLL_OUT)
    Wanted |= EPOLLOUT;
  M->watch(Fd, Wanted);
  return 0;
}

void CurlMulti::watch(curl_socket_t Fd, unsigned Events) {
  Connection &C = connection(Fd);
  if (C.Watched == Events)
    return;
  epoll_event Event{};
  Event.events = Events;
  Event.data.fd = Fd;
  int How = Events == 0      ? EPOLL_CTL_DEL
            : C.Watched == 0 ? EPOLL_CTL_ADD
                             : EPOLL_CTL_MOD;
  epoll_ctl(EpollFd, How, Fd, &Event);
  C.Watched = Events;
}

void CurlMulti::waitForEvents() {
  EpollEvents.async_wait(
      asio::posix::stream_descriptor::wait_read,
      [this, Guard = std::weak_ptr(Alive)](const asio::error_code &Failed) {
        if (!Failed && !Guard.expired())
          takeEvents();
      });
}

void CurlMulti::takeEvents() {
  std::array<epoll_event, EventsARound> Events;
  int Count = epoll_wait(EpollFd, Events.data(), EventsARound, 0);
  for (int I = 0; I < Count; ++I) {
    int Fd = Events[I].data.fd;
    Connection &C = connection(Fd);
    if (C.User) {
      act(Fd, curlMask(Events[I].events));
      continue;
    }
    // Nobody waits on it: the other end closed a kept connection. libcurl
    // finds that out when it next looks; until then it must not spin here.
    markDead(C);
    watch(Fd, 0);
  }
  if (!reportDone())
    return;
  waitForEvents();
}

int CurlMulti::timerChanged(CURLM *, long Ms, void *Self) {
  auto *M = static_cast<CurlMulti *>(Self);
  if (Ms < 0) {
    M->Deadline.reset();
    return 0;
  }
  M->Deadline = M->Loop.now() + Millis(Ms);
  if (Ms == 0)
    M->actSoon();
  else
    M->armTimer();
  return 0;
}

void CurlMulti::actSoon() {
  if (ActPosted)
    return;
  ActPosted = true;
  asio::post(Loop.context(), [this, Guard = std::weak_ptr(Alive)] {
    if (Guard.expired())
      return;
    ActPosted = false;
    timerFired();
  });
}

void CurlMulti::armTimer() {
  // libcurl moves its deadline several times a transfer, mostly outwards. A
  // timer that goes off too early is cheaper than one that is moved each time.
  if (Armed && *Armed <= *Deadline)
    return;
  Armed = Deadline;
  Timer.expires_at(
      std::chrono::steady_clock::time_point(Armed->time_since_epoch()));
  Timer.async_wait(
      [this, Guard = std::weak_ptr(Alive)](const asio::error_code &Failed) {
        if (Failed || Guard.expired())
          return;
        Armed.reset();
        timerFired();
      });
}

void CurlMulti::timerFired() {
  if (!Deadline)
    return;
  if (Loop.now() < *Deadline) {
    armTimer();
    return;
  }
  Deadline.reset();
  act(CURL_SOCKET_TIMEOUT, 0);
  reportDone();
}

void CurlMulti::act(curl_socket_t Fd, int Mask) {
  int Running = 0;
  curl().MultiSocketAction(Multi, Fd, Mask, &Running);
}

bool CurlMulti::reportDone() {
  std::weak_ptr<char> Guard = Alive;
  int Left = 0;
  while (CURLMsg *Message = curl().MultiInfoRead(Multi, &Left)) {
    if (Message->msg != CURLMSG_DONE)
      continue;
    CURL *Easy = Message->easy_handle;
    CURLcode Code = Message->data.result;
    curl().MultiRemoveHandle(Multi, Easy);
    OnDone(Easy, Code);
    if (Guard.expired())
      return false;
  }
  return true;
}

} // namespace shallot::internal
