//===- RecordMerge.h - Merging of the shards' records -----------*- C++ -*-===//
//
// A shard replies with records of RecordBytes each, in no order. An answer
// holds the greatest of them in descending order, compared byte by byte.
// Duplicates are kept. Trailing bytes that are no whole record are ignored.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FORWARD_RECORDMERGE_H
#define SHALLOTSHIFT_FORWARD_RECORDMERGE_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace shallot {

inline constexpr std::size_t RecordBytes = 16;

/// Returns the \p Max greatest records of \p Parts, concatenated.
std::string greatestRecords(const std::vector<std::string_view> &Parts,
                            std::size_t Max);

} // namespace shallot

#endif // SHALLOTSHIFT_FORWARD_RECORDMERGE_H
