//===- UpstreamPool.h - Kept connections to replicas ------------*- C++ -*-===//
//
// Sends one request on one connection at a time and says exactly how it ended:
//
//   NotSent   no byte left this process
//   Lost      bytes left and no whole reply came; the request may have run
//   Answered  a whole reply came, and it names this request
//
// It never sends anything again by itself. A request that is sent again does
// not use the connection that carried it last: a second copy of that reply
// could not be told from the reply that is due. What comes on a connection that
// waits for nothing (a second reply, bytes behind a reply) belongs to no
// request: the connection is closed and the bytes are dropped.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_HTTP1_UPSTREAMPOOL_H
#define SHALLOTSHIFT_HTTP1_UPSTREAMPOOL_H

#include "http1/ConnectEnd.h"
#include "http1/TimerQueue.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace shallot {

/// A request's bytes, and how to recognise its reply.
struct UpstreamRequest {
  Endpoint To;
  std::string Bytes;
  bool ToHead = false; ///< The method is HEAD: the reply has no body.
  /// Header that a reply repeats, and the value that it must have then.
  std::string EchoName;
  std::string EchoValue;
  bool Repeated = false; ///< The same request was sent before.
  /// A kept connection is used only if something came on it this lately. The
  /// other end may close an idle one at any moment, and a request that crosses
  /// the close may or may not have run.
  Duration MostIdle = Seconds(60);
  /// A connection that was opened before this is not used, and closed: the
  /// process behind it is gone.
  Instant OpenedFrom = Instant::min();
  /// Connections to this place that stay open with nothing to do: so many at
  /// most, and so few once they were not needed for a while. A host that loses
  /// power leaves its connections behind at the replica, which counts them for
  /// many seconds: what is kept idle now is missing after the restart.
  std::size_t MostKept = 4;
  std::size_t LeastKept = 2;
};

enum class CallEnd : std::uint8_t { NotSent, Lost, Answered };

struct UpstreamReply {
  CallEnd How = CallEnd::Lost;
  int Status = 0;
  HttpHeaders Headers;
  std::string Body;
  /// How long the connection took to open, if it was opened for this call.
  std::optional<Duration> Opened;
  /// The connection was new and was reset with nothing read from it.
  bool ConnectionRefused = false;
  /// The other end closed or reset the connection before the reply was whole.
  bool ClosedByPeer = false;
  std::string_view Why; ///< For logs: "reset", "closed early", "bad bytes", ..
};

struct UpstreamPoolOptions {
  Duration ConnectTimeout = Millis(250);
  std::size_t MaxReplyBytes = 16 << 20;
  /// Memory of all replies that are being read. Beyond it the largest is given
  /// up, which is not an honest one when replicas send without end.
  std::size_t MaxBufferedBytes = 16 << 20;
  /// Idle connections that are kept over all replicas.
  std::size_t MaxIdle = 1500;

  friend bool operator==(const UpstreamPoolOptions &,
                         const UpstreamPoolOptions &) = default;
};

/// Connections to callers and to replicas that this process holds in memory,
/// open or not.
std::size_t liveConnections();

struct UpstreamPoolCounters {
  std::uint64_t Opened = 0;
  std::uint64_t Reused = 0;
  std::uint64_t Stray = 0;    ///< Bytes that belonged to no request.
  std::uint64_t TooLarge = 0; ///< Replies given up for their size.
};

class UpstreamPool {
public:
  using Callback = std::function<void(UpstreamReply)>;
  using CallId = std::uint64_t;

  UpstreamPool(EventLoop &Loop, TimerQueue &Timers, UpstreamPoolOptions O);
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool &) = delete;
  UpstreamPool &operator=(const UpstreamPool &) = delete;

  /// \p Done is called once, never before this returns, unless the call is
  /// dropped.
  CallId send(UpstreamRequest Request, Callback Done);
  /// Nobody waits for it: its connection is closed, so that the replica stops.
  void drop(CallId Id);
  /// Opens a connection and keeps it if it works.
  void tryConnect(const Endpoint &To, std::function<void(ConnectEnd)> Done);
  /// A connection to \p To is open, idle or not.
  bool connectedTo(const Endpoint &To) const;
  /// Closes idle connections beyond LeastKept that were not used since \p
  /// Since.
  void trimIdle(Instant Since);
  /// Closes every idle connection: after this process was suspended, or when
  /// the paths may have forgotten them.
  void closeIdle();
  std::size_t idle() const;
  /// Memory of the replies that are being read.
  std::size_t bufferedBytes() const;
  const UpstreamPoolCounters &counters() const;

private:
  struct Impl;
  std::shared_ptr<Impl> I;
};

} // namespace shallot

#endif // SHALLOTSHIFT_HTTP1_UPSTREAMPOOL_H
