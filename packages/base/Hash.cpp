#include "base/Hash.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace shallot {

std::uint64_t hash64(std::string_view Text, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

std::uint64_t rendezvousWeight(std::string_view Key, std::string_view Node) {
  return hash64(Node, hash64(Key));
}

std::string contentHash(std::string_view Content) {
  XXH128_hash_t H = XXH3_128bits(Content.data(), Content.size());
  return fmt::format("{:016x}{:016x}", H.high64, H.low64);
}

} // namespace shallot
