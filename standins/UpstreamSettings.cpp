#include "standins/UpstreamSettings.h"

namespace shallot::standins {

namespace {

Result<void> readShape(const Json &O, UpstreamSettings &S) {
  BOOST_LEAF_CHECK(readField(O, "name", S.Name));
  BOOST_LEAF_CHECK(readField(O, "service", S.Service));
  BOOST_LEAF_CHECK(readField(O, "sibling", S.Sibling));
  BOOST_LEAF_CHECK(readField(O, "zone", S.Zone));
  BOOST_LEAF_CHECK(readField(O, "books", S.Books));
  BOOST_LEAF_CHECK(readField(O, "slots", S.Slots));
  BOOST_LEAF_CHECK(readField(O, "connections", S.Connections));
  BOOST_LEAF_CHECK(readField(O, "records_per_book", S.RecordsPerBook));
  return {};
}

Result<void> readTimes(const Json &O, UpstreamSettings &S) {
  BOOST_LEAF_CHECK(readField(O, "connect_ms", S.ConnectMs));
  BOOST_LEAF_CHECK(readField(O, "service_ms", S.ServiceMs));
  BOOST_LEAF_CHECK(readField(O, "sigma", S.Sigma));
  BOOST_LEAF_CHECK(readField(O, "seed", S.Seed));
  BOOST_LEAF_CHECK(readField(O, "cold_factor", S.ColdFactor));
  BOOST_LEAF_CHECK(readField(O, "straggle_one_in", S.StraggleOneIn));
  std::vector<double> Factor{S.StraggleFrom, S.StraggleTo};
  BOOST_LEAF_CHECK(readField(O, "straggle_factor", Factor));
  if (Factor.size() != 2)
    return fail(ResultCode::OutOfRange, "straggle_factor: not [from, to]");
  S.StraggleFrom = Factor[0];
  S.StraggleTo = Factor[1];
  return {};
}

Result<void> readVersions(const Json &O, UpstreamSettings &S) {
  BOOST_LEAF_CHECK(readField(O, "index_versions", S.IndexVersions));
  std::uint64_t Partition = S.PartitionVersions.front();
  BOOST_LEAF_CHECK(readField(O, "partition_version", Partition));
  S.PartitionVersions = {Partition};
  BOOST_LEAF_CHECK(readField(O, "partition_versions", S.PartitionVersions));
  if (S.IndexVersions.empty() || S.PartitionVersions.empty())
    return fail(ResultCode::OutOfRange, "index_versions: none is held");
  return {};
}

} // namespace

Result<UpstreamSettings> readUpstreamSettings(const Json &O) {
  BOOST_LEAF_CHECK(
      checkFields(O, {"name", "service", "sibling", "address", "zone", "books",
                      "slots", "connections", "connect_ms", "service_ms",
                      "sigma", "seed", "straggle_one_in", "straggle_factor",
                      "cold_factor", "records_per_book", "index_versions",
                      "partition_version", "partition_versions"}));
  UpstreamSettings S;
  std::string Address;
  BOOST_LEAF_CHECK(readField(O, "address", Address));
  BOOST_LEAF_ASSIGN(S.Address, Endpoint::parse(Address, "address"));
  BOOST_LEAF_CHECK(readShape(O, S));
  BOOST_LEAF_CHECK(readTimes(O, S));
  BOOST_LEAF_CHECK(readVersions(O, S));
  if (S.Name.empty() || S.Service.empty() || S.Books.empty())
    return fail(ResultCode::MissingField, "name, service or books");
  return S;
}

Result<std::vector<UpstreamSettings>> readUpstreamList(const Json &List) {
  if (!List.is_array())
    return fail(ResultCode::WrongType, "not a list of upstreams");
  std::vector<UpstreamSettings> All;
  for (const Json &Object : List) {
    BOOST_LEAF_AUTO(S, readUpstreamSettings(Object));
    All.push_back(std::move(S));
  }
  return All;
}

} // namespace shallot::standins
