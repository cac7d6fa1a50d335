//===- StreamSocket.h - One TCP connection with a write queue ---*- C++ -*-===//
//
// Reads whatever comes and hands it on at once; writes at once as far as the
// kernel takes it and queues the rest. One system call a read and one a write
// when nothing is in the way.
//
// This header is not for other packages.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_HTTP1_STREAMSOCKET_H
#define SHALLOTSHIFT_HTTP1_STREAMSOCKET_H

#include "http1/ConnectEnd.h"
#include "shallotshift/net.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string_view>

namespace shallot::internal {

/// How a stream ended.
enum class StreamEnd : std::uint8_t {
  Closed, ///< The other end closed it in order.
  Broken, ///< It was reset, or the kernel gave it up.
};

class StreamSocket : public std::enable_shared_from_this<StreamSocket> {
public:
  using DataFn = std::function<void(std::string_view)>;
  using EndFn = std::function<void(StreamEnd)>;
  using ConnectFn = std::function<void(ConnectEnd)>;

  explicit StreamSocket(EventLoop &Loop);
  /// Takes over an accepted connection.
  StreamSocket(EventLoop &Loop, asio::ip::tcp::socket Socket);
  ~StreamSocket() { --Live; }
  StreamSocket(const StreamSocket &) = delete;
  StreamSocket &operator=(const StreamSocket &) = delete;

  /// How many exist in this process, open or not.
  static std::size_t live() { return Live; }

  /// \p Done is called once; not after close().
  void connect(const Endpoint &To, ConnectFn Done);
  /// Calls \p OnData for each piece and \p OnEnd once when nothing more comes;
  /// neither after close(), which drops both: they usually own what owns this
  /// object.
  void read(DataFn OnData, EndFn OnEnd);
  /// False when the connection is already broken and none of it was taken.
  bool write(std::string Bytes);
  /// Bytes that the kernel has not taken yet.
  std::size_t unsent() const { return Queue.size() - QueueAt; }
  /// Calls \p Fn when unsent() has come to 0; at once when it is. Not after
  /// close() if it is not.
  void whenSent(std::function<void()> Fn);
  /// Ends the sending side; the other end sees all that was written.
  void closeSending();
  void close();
  bool open() const { return !Ended; }

private:
  /// Enough for a request or a reply of these services in one read.
  static constexpr std::size_t ReadBytes = 4096;

  void setUp();
  void readMore();
  void received(const asio::error_code &E, std::size_t Size);
  void flush();
  void ended(StreamEnd How);

  static inline std::size_t Live = 0;

  EventLoop &Loop;
  asio::ip::tcp::socket Socket;
  std::array<char, ReadBytes> Buffer;
  std::string Queue;
  std::size_t QueueAt = 0;
  bool Writing = false;
  bool Ended = false;
  DataFn OnData;
  EndFn OnEnd;
  std::function<void()> OnSent;
};

} // namespace shallot::internal

#endif // SHALLOTSHIFT_HTTP1_STREAMSOCKET_H
