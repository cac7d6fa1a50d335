//===- Hash.h - Hashing -----------------------------------------*- C++ -*-===//
//
// Rendezvous hashing and content names, over XXH3. Every daemon must compute
// the same numbers from the same input, so nothing here depends on the process,
// the machine or a seed chosen at start.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_BASE_HASH_H
#define SHALLOTSHIFT_BASE_HASH_H

#include <cstdint>
#include <string>
#include <string_view>

namespace shallot {

/// A well mixed 64-bit hash of \p Text.
std::uint64_t hash64(std::string_view Text, std::uint64_t Seed = 0);

/// The weight of \p Node for \p Key in rendezvous hashing: the node with the
/// highest weight owns the key, and a node that leaves moves only its own keys.
std::uint64_t rendezvousWeight(std::string_view Key, std::string_view Node);

/// 32 hexadecimal digits that name \p Content (128-bit XXH3). It guards against
/// mix-ups and truncation, not against an attacker.
std::string contentHash(std::string_view Content);

} // namespace shallot

#endif // SHALLOTSHIFT_BASE_HASH_H
