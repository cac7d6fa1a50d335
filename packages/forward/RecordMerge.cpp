//===- RecordMerge.cpp - Merging of the shards' records -------------------===//
#include "forward/RecordMerge.h"

#include <algorithm>
#include <functional>

namespace shallot {

std::string greatestRecords(const std::vector<std::string_view> &Parts,
                            std::size_t Max) {
  std::vector<std::string_view> Records;
  for (std::string_view Part : Parts)
    for (std::size_t At = 0; At + RecordBytes <= Part.size(); At += RecordBytes)
      Records.push_back(Part.substr(At, RecordBytes));
  std::size_t Count = std::min(Max, Records.size());
  auto End = Records.begin() + static_cast<std::ptrdiff_t>(Count);
  // string_view compares bytes as unsigned char.
  std::ranges::partial_sort(Records, End, std::greater<>());
  std::string Out;
  Out.reserve(Count * RecordBytes);
  for (auto I = Records.begin(); I != End; ++I)
    Out += *I;
  return Out;
}

} // namespace shallot
