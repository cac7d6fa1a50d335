//===- Route.cpp - Checks and matching of routes --------------------------===//
#include "forward/Route.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>
#include <tuple>

namespace shallot {

namespace {

std::vector<ServiceName> servicesOf(const Route &R) {
  if (const auto *One = std::get_if<ServiceName>(&R.Target))
    return {*One};
  if (const ShardFanOut *Fan = R.fanOut())
    return Fan->Shards;
  std::vector<ServiceName> Names;
  for (const WeightedService &W : std::get<WeightedSplit>(R.Target))
    Names.push_back(W.Service);
  return Names;
}

Result<void> checkTarget(const Route &R) {
  auto Bad = [&](std::string_view What) {
    return fail(ResultCode::ConfigInvalid,
                fmt::format("route {}: {}", R.Name, What));
  };
  if (servicesOf(R).empty())
    return Bad("name at least one service");
  if (const auto *Split = std::get_if<WeightedSplit>(&R.Target)) {
    double Sum = 0;
    for (const WeightedService &W : *Split) {
      if (W.Weight < 0)
        return Bad("a weight is below 0");
      Sum += W.Weight;
    }
    if (Sum <= 0)
      return Bad("the weights add up to 0");
  }
  if (const ShardFanOut *Fan = R.fanOut()) {
    std::set<ServiceName> Distinct(Fan->Shards.begin(), Fan->Shards.end());
    if (Distinct.size() != Fan->Shards.size())
      return Bad("a shard is named twice");
    if (R.Kind != RetrySemantics::Idempotent)
      return Bad("a fan-out must be idempotent");
  }
  return {};
}

Result<void> checkRoute(const Route &R,
                        const std::map<ServiceName, ServiceInfo> &Services) {
  auto Bad = [&](std::string What) {
    return fail(ResultCode::ConfigInvalid,
                fmt::format("route {}: {}", R.Name, What));
  };
  if (R.Host.empty())
    return Bad("name a host");
  if (!R.PathPrefix.starts_with('/') || !R.PathPrefix.ends_with('/'))
    return Bad(fmt::format("the prefix \"{}\" must begin and end with a slash",
                           R.PathPrefix));
  if (R.Timeout <= Duration(0) || R.Objective <= Duration(0))
    return Bad("timeout and objective must be above 0");
  if (R.MaxAttempts == 0)
    return Bad("allow at least one attempt");
  for (const ServiceName &S : servicesOf(R))
    if (!Services.contains(S))
      return Bad(fmt::format("service {} is not listed", S.str()));
  return checkTarget(R);
}

} // namespace

Result<ServingConfig> ServingConfig::make(std::uint64_t Version,
                                          std::vector<Route> Routes,
                                          std::vector<ServiceInfo> Services,
                                          CallerLimits Limits,
                                          Organisations Callers) {
  ServingConfig C;
  C.Version = Version;
  C.Limits = Limits;
  for (ServiceInfo &S : Services)
    C.Services.insert_or_assign(S.Name, S);
  for (const Route &R : Routes)
    BOOST_LEAF_CHECK(checkRoute(R, C.Services));
  std::ranges::stable_sort(Routes, [](const Route &A, const Route &B) {
    return std::tuple(std::string_view(A.Host), B.PathPrefix.size()) <
           std::tuple(std::string_view(B.Host), A.PathPrefix.size());
  });
  for (Route &R : Routes)
    if (const Organisation *O = R.Owner ? Callers.find(*R.Owner) : nullptr)
      R.Regions = R.Regions.intersect(O->Regions);
  C.Routes = std::move(Routes);
  C.Callers = std::move(Callers);
  return C;
}

const Route *ServingConfig::match(std::string_view Host,
                                  std::string_view Path) const {
  auto ByHost = [](const Route &R) { return std::string_view(R.Host); };
  auto At = std::ranges::lower_bound(Routes, Host, {}, ByHost);
  for (; At != Routes.end() && At->Host == Host; ++At)
    if (Path.starts_with(At->PathPrefix))
      return &*At;
  return nullptr;
}

bool ServingConfig::keeps(const Route &R, const Organisation *Caller) const {
  if (std::ranges::find(Routes, R) == Routes.end())
    return false;
  if (!Caller)
    return true;
  const Organisation *Now = Callers.find(Caller->Name);
  return Now && Now->Priority == Caller->Priority;
}

AllowedRegions ServingConfig::regionsOf(std::string_view Host) const {
  auto ByHost = [](const Route &R) { return std::string_view(R.Host); };
  AllowedRegions OfAll = AllowedRegions::anywhere();
  std::set<Region> OfAny;
  auto At = std::ranges::lower_bound(Routes, Host, {}, ByHost);
  for (; At != Routes.end() && At->Host == Host; ++At) {
    OfAll = OfAll.intersect(At->Regions);
    OfAny.insert(At->Regions.regions().begin(), At->Regions.regions().end());
  }
  return OfAll.none() ? AllowedRegions::only(std::move(OfAny)) : OfAll;
}

const ServiceName &drawService(const WeightedSplit &Split, double Draw) {
  double Sum = 0;
  for (const WeightedService &W : Split)
    Sum += W.Weight;
  double Left = Draw * Sum;
  for (const WeightedService &W : Split) {
    Left -= W.Weight;
    if (Left < 0)
      return W.Service;
  }
  return Split.back().Service;
}

} // namespace shallot
