#include "standins/UpstreamRecords.h"

#include <algorithm>
#include <fmt/format.h>

namespace shallot::standins {

namespace {

/// Ids need to differ between queries only so far that a checker notices an
/// answer to another query.
constexpr std::uint64_t QueryMask = 0xffffffff;

Json record(std::string Id, const std::string &Book, const Snapshot &At) {
  std::uint64_t Value = hash64(Id, At.IndexVersion) & QueryMask;
  return {{"id", std::move(Id)},
          {"book", Book},
          {"index_version", At.IndexVersion},
          {"partition_version", At.PartitionVersion},
          {"value", Value}};
}

void addShared(Json &Records, const UpstreamSettings &S, const Snapshot &At,
               std::uint64_t QueryHash) {
  std::string First = std::min(S.Service, S.Sibling);
  std::string Second = std::max(S.Service, S.Sibling);
  for (unsigned N = 0; N < SharedRecords; ++N) {
    bool OnFirst = (N + At.PartitionVersion) % 2 == 0;
    if ((OnFirst ? First : Second) != S.Service)
      continue;
    std::string Id =
        fmt::format("shared/{}+{}/{:08x}-{}", First, Second, QueryHash, N);
    Records.push_back(record(std::move(Id), S.Books.front(), At));
  }
}

} // namespace

Json recordsFor(const UpstreamSettings &S, const Snapshot &At,
                std::string_view Query) {
  std::uint64_t QueryHash = hash64(Query) & QueryMask;
  Json Records = Json::array();
  for (const std::string &Book : S.Books)
    for (unsigned N = 0; N < S.RecordsPerBook; ++N)
      Records.push_back(
          record(fmt::format("{}/{:08x}-{}", Book, QueryHash, N), Book, At));
  if (!S.Sibling.empty())
    addShared(Records, S, At, QueryHash);
  return {{"records", Records}};
}

} // namespace shallot::standins
