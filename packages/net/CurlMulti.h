//===- CurlMulti.h - libcurl's multi handle on the Asio loop ----*- C++ -*-===//
//
// Drives a libcurl multi handle from an EventLoop and keeps a table of its
// connections. libcurl's sockets are watched by an epoll set of our own, and
// Asio watches only that set: libcurl opens and closes its descriptors itself,
// and Asio would need each one handed over and taken back. Many events are
// taken in one turn, and a kept connection stays in the set, so that its close
// by the other end is seen at once (docs/design/net.md has the cost).
//
// This header is not for other packages.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_NET_CURLMULTI_H
#define SHALLOTSHIFT_NET_CURLMULTI_H

#include "net/EventLoop.h"

#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>
#include <curl/curl.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace shallot::internal {

class CurlMulti {
public:
  using DoneFn = std::function<void(CURL *, CURLcode)>;

  /// \p OnDone is called once for each transfer that ends; the handle has left
  /// the multi handle by then. It may destroy this object.
  CurlMulti(EventLoop &Loop, unsigned MaxIdle, DoneFn OnDone);
  ~CurlMulti();
  CurlMulti(const CurlMulti &) = delete;
  CurlMulti &operator=(const CurlMulti &) = delete;

  /// Where a transfer goes, for the table of connections.
  struct Target {
    CurlMulti *Multi = nullptr;
    Endpoint To;
  };

  /// Sets the options that let this object know \p Easy's connections. \p T
  /// must stay valid as long as \p Easy.
  void prepare(CURL *Easy, Target &T);
  void add(CURL *Easy);
  /// Drops a running transfer. libcurl closes the connection of one that has
  /// not ended, so a late reply meets nobody.
  void remove(CURL *Easy);

  /// Makes the idle connections to \p To that were last used before \p Limit
  /// useless: libcurl finds them dead and opens new ones.
  void dropIdle(const Endpoint &To, Instant Limit);
  unsigned openConnections(const Endpoint &To) const;

private:
  /// What we know of one of libcurl's sockets, by its descriptor.
  struct Connection {
    bool Open = false;    ///< Opened by openSocket() and not yet closed.
    bool Dead = false;    ///< Shut by us or by the other end while idle.
    CURL *User = nullptr; ///< The transfer that waits on it.
    unsigned Watched = 0; ///< EPOLL bits registered now.
    Instant LastUsed{};   ///< When a transfer on it last ended.
    Endpoint To;
  };

  static int socketChanged(CURL *Easy, curl_socket_t Fd, int What, void *Self,
                           void *);
  static int timerChanged(CURLM *, long Ms, void *Self);
  static curl_socket_t openSocket(void *Where, curlsocktype Purpose,
                                  curl_sockaddr *Address);
  static int closeSocket(void *Self, curl_socket_t Fd);

  Connection &connection(curl_socket_t Fd);
  void watch(curl_socket_t Fd, unsigned Events);
  void markDead(Connection &C);
  void countDown(Connection &C);
  void waitForEvents();
  void takeEvents();
  void actSoon();
  void armTimer();
  void timerFired();
  void act(curl_socket_t Fd, int Mask);
  /// Reports ended transfers. False when a callback destroyed this object.
  bool reportDone();

  EventLoop &Loop;
  DoneFn OnDone;
  CURLM *Multi;
  int EpollFd;
  asio::posix::stream_descriptor EpollEvents;
  asio::steady_timer Timer;
  std::optional<Instant> Deadline; ///< When libcurl wants to be called.
  std::optional<Instant> Armed;    ///< When Timer goes off.
  bool ActPosted = false;
  std::vector<Connection> Connections; ///< By descriptor.
  std::map<Endpoint, unsigned> OpenCount;
  /// Callbacks hold it weakly, so that none runs after the destructor.
  std::shared_ptr<char> Alive = std::make_shared<char>();
};

} // namespace shallot::internal

#endif // SHALLOTSHIFT_NET_CURLMULTI_H
