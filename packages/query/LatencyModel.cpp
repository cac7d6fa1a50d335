#include "query/LatencyModel.h"

#include <algorithm>
#include <cmath>

namespace shallot {
namespace {

constexpr Duration LowestEdge = Micros(16);
constexpr std::size_t BucketCount =
    LatencyHistogram::BucketsPerOctave * LatencyHistogram::Octaves;

std::size_t bucketOf(Duration Took) {
  if (Took <= LowestEdge)
    return 0;
  double Ratio = static_cast<double>(Took.count()) /
                 static_cast<double>(LowestEdge.count());
  auto Bucket = static_cast<std::size_t>(std::log2(Ratio) *
                                         LatencyHistogram::BucketsPerOctave);
  return std::min(Bucket, BucketCount - 1);
}

/// Returns the latency at the fraction \p Part of \p Bucket, on a log scale.
Duration interpolate(std::size_t Bucket, double Part) {
  double Octaves =
      (static_cast<double>(Bucket) + Part) / LatencyHistogram::BucketsPerOctave;
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(LowestEdge.count()) * std::exp2(Octaves)));
}

} // namespace

void LatencyHistogram::add(Duration Took) {
  ++Counts[bucketOf(Took)];
  if (++Total < DecayThreshold)
    return;
  Total = 0;
  for (std::uint16_t &C : Counts) {
    C /= 2;
    Total += C;
  }
}

std::optional<Duration> LatencyHistogram::quantile(double Q) const {
  if (Total < MinSamples)
    return std::nullopt;
  double TargetCount = Q * Total;
  double Cumulative = 0;
  for (std::size_t Bucket = 0; Bucket < BucketCount; ++Bucket) {
    if (Counts[Bucket] > 0 && Cumulative + Counts[Bucket] >= TargetCount)
      return interpolate(Bucket, (TargetCount - Cumulative) / Counts[Bucket]);
    Cumulative += Counts[Bucket];
  }
  return interpolate(BucketCount - 1, 1);
}

void LatencyModel::add(const Tenant &Owner, const ServiceName &Service,
                       Duration Took) {
  auto &TenantServices = Services[Owner];
  auto It = TenantServices.find(Service);
  if (It == TenantServices.end()) {
    if (Count >= MaxServices)
      return;
    It = TenantServices.try_emplace(Service).first;
    ++Count;
  }
  It->second.add(Took);
}

const LatencyHistogram *LatencyModel::find(const Tenant &Owner,
                                           const ServiceName &Service) const {
  auto TenantServices = Services.find(Owner);
  if (TenantServices == Services.end())
    return nullptr;
  auto It = TenantServices->second.find(Service);
  return It == TenantServices->second.end() ? nullptr : &It->second;
}

std::optional<Duration> LatencyModel::quantile(const Tenant &Owner,
                                               const ServiceName &Service,
                                               double Q) const {
  const LatencyHistogram *H = find(Owner, Service);
  return H ? H->quantile(Q) : std::nullopt;
}

void LatencyModel::retain(const Config &C) {
  for (auto &[Owner, TenantServices] : Services)
    std::erase_if(TenantServices, [&, &T = Owner](const auto &Entry) {
      return C.find(T, Entry.first).Svc == nullptr;
    });
  std::erase_if(Services, [](const auto &E) { return E.second.empty(); });
  Count = 0;
  for (const auto &[Owner, TenantServices] : Services)
    Count += TenantServices.size();
}

} // namespace shallot
