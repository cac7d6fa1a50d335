#include "peer/BatchedStream.h"

#include <algorithm>
#include <cstring>
#include <kj/debug.h>

namespace shallot::internal {

namespace {

/// The read buffer of a connection at first, and when it is busy. Most of the
/// connections of a large fleet are quiet, and there may be 4,000 of them.
constexpr std::size_t FirstReadBytes = 4 << 10;
constexpr std::size_t BusyReadBytes = 64 << 10;
/// Bytes that may wait for a peer that does not read. A slow reader would
/// otherwise take all memory; with it the connection ends instead.
constexpr std::size_t MaxWaitingBytes = 64 << 20;

} // namespace

BatchedStream::BatchedStream(kj::Own<kj::AsyncIoStream> Inner,
                             const kj::Timer &Clock, StreamCounters &Counters)
    : Inner(kj::mv(Inner)), Clock(Clock), Counters(Counters),
      LastHeard(Clock.now()) {}

std::size_t BatchedStream::copyOut(kj::byte *To, std::size_t Max) {
  std::size_t Count = std::min(InEnd - InAt, Max);
  if (Count > 0)
    std::memcpy(To, In.data() + InAt, Count);
  InAt += Count;
  return Count;
}

kj::Promise<std::size_t> BatchedStream::tryRead(void *To, std::size_t Min,
                                                std::size_t Max) {
  auto *Bytes = static_cast<kj::byte *>(To);
  std::size_t Got = copyOut(Bytes, Max);
  if (Got >= Min)
    return Got;
  std::size_t Need = Min - Got;
  auto Heard = [this](std::size_t Count) {
    LastHeard = Clock.now();
    Counters.Received.fetch_add(Count, std::memory_order_relaxed);
  };
  if (Need > FirstReadBytes)
    return Inner->tryRead(Bytes + Got, Need, Max - Got)
        .then([Heard, Got](std::size_t Count) {
          Heard(Count);
          return Got + Count;
        });
  if (In.empty())
    In.resize(FirstReadBytes);
  else if (InEnd == In.size())
    In.resize(BusyReadBytes);
  return Inner->tryRead(In.data(), Need, In.size())
      .then([this, Heard, Bytes, Got, Max](std::size_t Count) {
        Heard(Count);
        InAt = 0;
        InEnd = Count;
        return Got + copyOut(Bytes + Got, Max - Got);
      });
}

void BatchedStream::append(const void *From, std::size_t Size) {
  const auto *Bytes = static_cast<const kj::byte *>(From);
  Waiting.insert(Waiting.end(), Bytes, Bytes + Size);
}

kj::Promise<void> BatchedStream::write(const void *From, std::size_t Size) {
  append(From, Size);
  return scheduleFlush();
}

kj::Promise<void>
BatchedStream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> Pieces) {
  for (kj::ArrayPtr<const kj::byte> Piece : Pieces)
    append(Piece.begin(), Piece.size());
  return scheduleFlush();
}

kj::Promise<void> BatchedStream::scheduleFlush() {
  KJ_IF_MAYBE (E, Broken)
    return kj::Exception(*E);
  if (Waiting.size() > MaxWaitingBytes)
    return KJ_EXCEPTION(DISCONNECTED, "the peer does not read");
  if (!Scheduled) {
    Scheduled = true;
    Flushing =
        kj::evalLast([this] {
          return flush();
        }).eagerlyEvaluate([this](kj::Exception &&E) { Broken = kj::mv(E); });
  }
  return kj::READY_NOW;
}

kj::Promise<void> BatchedStream::flush() {
  Leaving.clear();
  std::swap(Leaving, Waiting);
  Counters.Sent.fetch_add(Leaving.size(), std::memory_order_relaxed);
  return Inner->write(Leaving.data(), Leaving.size())
      .then([this]() -> kj::Promise<void> {
        if (!Waiting.empty())
          return flush();
        Scheduled = false;
        if (ShutdownAfterFlush)
          Inner->shutdownWrite();
        return kj::READY_NOW;
      });
}

kj::Promise<void> BatchedStream::whenWriteDisconnected() {
  return Inner->whenWriteDisconnected();
}

void BatchedStream::shutdownWrite() {
  if (Scheduled)
    ShutdownAfterFlush = true;
  else
    Inner->shutdownWrite();
}

void BatchedStream::abortRead() { Inner->abortRead(); }

} // namespace shallot::internal
