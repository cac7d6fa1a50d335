//===- BatchedStream.h - Fewer system calls for many messages ---*- C++ -*-===//
//
// Cap'n Proto writes each message by a system call of its own and reads each by
// two. Here all messages of one turn of the KJ loop leave in one write, and a
// read takes whatever has arrived. Also notes when something last arrived, from
// which a silent connection is told.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_PEER_BATCHEDSTREAM_H
#define SHALLOTSHIFT_PEER_BATCHEDSTREAM_H

#include <atomic>
#include <cstdint>
#include <kj/async-io.h>
#include <kj/timer.h>
#include <vector>

namespace shallot::internal {

/// Bytes of all streams of one daemon.
struct StreamCounters {
  std::atomic<std::uint64_t> Sent{0};
  std::atomic<std::uint64_t> Received{0};
};

class BatchedStream final : public kj::AsyncIoStream {
public:
  BatchedStream(kj::Own<kj::AsyncIoStream> Inner, const kj::Timer &Clock,
                StreamCounters &Counters);

  kj::TimePoint lastHeard() const { return LastHeard; }

  kj::Promise<std::size_t> tryRead(void *To, std::size_t Min,
                                   std::size_t Max) override;
  kj::Promise<void> write(const void *From, std::size_t Size) override;
  kj::Promise<void>
  write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> Pieces) override;
  kj::Promise<void> whenWriteDisconnected() override;
  void shutdownWrite() override;
  void abortRead() override;

private:
  std::size_t copyOut(kj::byte *To, std::size_t Max);
  void append(const void *From, std::size_t Size);
  kj::Promise<void> scheduleFlush();
  kj::Promise<void> flush();

  kj::Own<kj::AsyncIoStream> Inner;
  const kj::Timer &Clock;
  StreamCounters &Counters;
  kj::TimePoint LastHeard;

  std::vector<kj::byte> In;
  std::size_t InAt = 0;
  std::size_t InEnd = 0;

  std::vector<kj::byte> Waiting; ///< Written by the next flush.
  std::vector<kj::byte> Leaving; ///< Being written.
  bool Scheduled = false;
  bool ShutdownAfterFlush = false;
  kj::Maybe<kj::Exception> Broken;
  kj::Promise<void> Flushing = nullptr; ///< Destroyed first: uses the above.
};

} // namespace shallot::internal

#endif // SHALLOTSHIFT_PEER_BATCHEDSTREAM_H
