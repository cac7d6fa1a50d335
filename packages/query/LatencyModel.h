//===- LatencyModel.h - Latency distribution of each service ----*- C++ -*-===//
//
// One log-spaced histogram per service. Its counts are halved at a fixed number
// of samples, so that quantiles follow the last few thousand replies. The hedge
// delay is a quantile of it.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_QUERY_LATENCYMODEL_H
#define SHALLOTSHIFT_QUERY_LATENCYMODEL_H

#include "shallotshift/model.h"

#include <array>
#include <optional>
#include <unordered_map>

namespace shallot {

/// Latencies of one service; recent samples weigh more than old ones.
class LatencyHistogram {
public:
  /// quantile() returns nothing below this many samples.
  static constexpr unsigned MinSamples = 20;
  /// Number of samples at which all counts are halved: about 5 s of a service
  /// that receives 400 requests per second.
  static constexpr unsigned DecayThreshold = 2048;
  static constexpr std::size_t BucketsPerOctave = 8; ///< Bucket width about 9%.
  static constexpr std::size_t Octaves = 21;         ///< 16 us to 33 s.

  void add(Duration Took);
  /// Returns the \p Q quantile, interpolated within its bucket, or nothing
  /// below MinSamples.
  std::optional<Duration> quantile(double Q) const;
  unsigned samples() const { return Total; }

private:
  std::array<std::uint16_t, BucketsPerOctave * Octaves> Counts{};
  unsigned Total = 0;
};

class LatencyModel {
public:
  static constexpr std::size_t MaxServices = 8192;

  void add(const Tenant &Owner, const ServiceName &Service, Duration Took);
  std::optional<Duration> quantile(const Tenant &Owner,
                                   const ServiceName &Service, double Q) const;
  /// Removes services that are not in \p C.
  void retain(const Config &C);

private:
  const LatencyHistogram *find(const Tenant &, const ServiceName &) const;

  std::unordered_map<Tenant, std::unordered_map<ServiceName, LatencyHistogram>>
      Services;
  std::size_t Count = 0;
};

} // namespace shallot

#endif // SHALLOTSHIFT_QUERY_LATENCYMODEL_H
