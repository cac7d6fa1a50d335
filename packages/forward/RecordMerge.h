//===- RecordMerge.h - The greatest records of several parts ----*- C++ -*-===//
//
// A shard answers with records of RecordBytes in no order; an answer holds the
// greatest of all of them, falling, compared byte by byte. Equal records all
// count. What is left over at the end of a part is no record.
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

/// The greatest \p Most records of \p Parts, one after the other.
std::string greatestRecords(const std::vector<std::string_view> &Parts,
                            std::size_t Most);

} // namespace shallot

#endif // SHALLOTSHIFT_FORWARD_RECORDMERGE_H
