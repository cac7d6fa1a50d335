//===- DatagramPacking.cpp ------------------------------------------------===//
#include "peer/DatagramPacking.h"

#include <zlib.h>

namespace shallot::internal {

namespace {

/// A probe without news has 200 to 280 bytes.
constexpr std::size_t LeastPackedBytes = 320;
/// Raw deflate with a window of 2 KB, which is more than a datagram, and little
/// memory: 16 KB for the time of a call.
constexpr int WindowBits = -11;
constexpr int MemoryLevel = 4;

const Bytef *input(std::span<const std::byte> Bytes) {
  return reinterpret_cast<const Bytef *>(Bytes.data());
}

/// Deflates \p From into \p To; the number of bytes, or 0 when it does not fit.
std::size_t deflated(std::span<const std::byte> From, std::span<std::byte> To) {
  z_stream S{};
  if (deflateInit2(&S, Z_BEST_SPEED, Z_DEFLATED, WindowBits, MemoryLevel,
                   Z_DEFAULT_STRATEGY) != Z_OK)
    return 0;
  S.next_in = const_cast<Bytef *>(input(From)); // zlib only reads it.
  S.avail_in = static_cast<uInt>(From.size());
  S.next_out = reinterpret_cast<Bytef *>(To.data());
  S.avail_out = static_cast<uInt>(To.size());
  bool Whole = deflate(&S, Z_FINISH) == Z_STREAM_END;
  std::size_t Size = S.total_out;
  deflateEnd(&S);
  return Whole ? Size : 0;
}

} // namespace

std::vector<std::byte> packDatagram(std::vector<std::byte> Plain) {
  if (Plain.size() < LeastPackedBytes)
    return Plain;
  std::vector<std::byte> Packed(Plain.size());
  Packed.front() = PackedMark;
  std::size_t Size = deflated(Plain, std::span(Packed).subspan(1));
  if (Size == 0)
    return Plain;
  Packed.resize(1 + Size);
  return Packed;
}

Result<std::vector<std::byte>>
unpackDatagram(std::span<const std::byte> Datagram, std::size_t MostBytes) {
  if (Datagram.empty() || Datagram.front() != PackedMark)
    return std::vector<std::byte>(Datagram.begin(), Datagram.end());
  z_stream S{};
  if (inflateInit2(&S, WindowBits) != Z_OK)
    return fail(ResultCode::PeerBadMessage, "no memory to unpack a datagram");
  std::vector<std::byte> Plain(MostBytes);
  S.next_in = const_cast<Bytef *>(input(Datagram.subspan(1)));
  S.avail_in = static_cast<uInt>(Datagram.size() - 1);
  S.next_out = reinterpret_cast<Bytef *>(Plain.data());
  S.avail_out = static_cast<uInt>(Plain.size());
  bool Whole = inflate(&S, Z_FINISH) == Z_STREAM_END && S.avail_in == 0;
  Plain.resize(S.total_out);
  inflateEnd(&S);
  if (!Whole)
    return fail(ResultCode::PeerBadMessage,
                "a packed datagram that cannot be unpacked, or is too large");
  return Plain;
}

} // namespace shallot::internal
