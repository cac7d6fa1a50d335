//===- CallerServer.h - Callers' connections --------------------*- C++ -*-===//
//
// Takes whole requests from callers and gives each an Exchange to answer it
// with. It goes on reading while a request is being answered, so that a caller
// that leaves is noticed at once and its work can be ended.
//
// A stop in order: closeAfterReply() tells callers with kept connections to go
// elsewhere, stopAccepting() closes the listening socket once the connections
// that the kernel already took are served, closeIdle() closes connections that
// wait for nothing, refuseUnfinished() answers half requests. None of these
// cuts off a request that was read.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_HTTP1_CALLERSERVER_H
#define SHALLOTSHIFT_HTTP1_CALLERSERVER_H

#include "http1/CallerMessages.h"
#include "http1/TimerQueue.h"

#include <functional>
#include <memory>

namespace shallot {

struct CallerServerOptions {
  std::size_t MaxHeaderBytes = 16 << 10;
  std::size_t MaxBodyBytes = 1 << 20;
  Duration HeaderTimeout = Seconds(5);
  Duration IdleTimeout = Seconds(30);
  std::size_t MaxConnections = 3000;
  /// Memory of requests and of answers that their callers have not taken.
  /// Beyond it the connection that holds most, besides a request that was
  /// handed on, is ended: with BuffersFull if its request has not been read
  /// whole.
  std::size_t MaxBufferedBytes = 16 << 20;

  friend bool operator==(const CallerServerOptions &,
                         const CallerServerOptions &) = default;
};

/// One request and the way to answer it. May outlive its connection.
class Exchange {
public:
  virtual ~Exchange() = default;
  virtual const CallerRequest &request() const = 0;
  /// Answers, once; later calls do nothing.
  virtual void reply(CallerReply Reply) = 0;
  /// \p Fn is called once if the caller closes before it is answered.
  virtual void whenGone(std::function<void()> Fn) = 0;
};

using ExchangePtr = std::shared_ptr<Exchange>;

class CallerServer {
public:
  using Handler = std::function<void(ExchangePtr)>;

  /// Listens on \p At. Fails with AddressInUse.
  static Result<std::unique_ptr<CallerServer>>
  open(EventLoop &Loop, TimerQueue &Timers, const Endpoint &At,
       CallerServerOptions Options, Handler OnRequest);
  ~CallerServer(); // NOLINT(bugprone-exception-escape): see its definition.
  CallerServer(const CallerServer &) = delete;
  CallerServer &operator=(const CallerServer &) = delete;

  /// For requests that begin from now on.
  void setOptions(CallerServerOptions Options);
  void closeAfterReply();
  void stopAccepting();
  /// Closes connections that wait for a request; returns how many are left.
  std::size_t closeIdle();
  /// Answers requests that were read in part with \p Code, which must prove
  /// "not run", and closes their connections.
  void refuseUnfinished(ResultCode Code, std::string_view Detail);
  std::size_t connections() const;
  std::size_t inFlight() const;
  /// Memory that counts toward MaxBufferedBytes.
  std::size_t bufferedBytes() const;

  struct Impl;

private:
  explicit CallerServer(std::shared_ptr<Impl> I) : I(std::move(I)) {}
  std::shared_ptr<Impl> I;
};

} // namespace shallot

#endif // SHALLOTSHIFT_HTTP1_CALLERSERVER_H
