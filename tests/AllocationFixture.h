//===- AllocationFixture.h - Configurations and fleets ----------*- C++ -*-===//
//
// Made-up services, upstreams and daemons for the tests and benches of package
// limits.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_TESTS_ALLOCATIONFIXTURE_H
#define SHALLOTSHIFT_TESTS_ALLOCATIONFIXTURE_H

#include "shallotshift/limits.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>

namespace shallot::fixture {

/// Shape of a made-up configuration.
struct Shape {
  unsigned Services = 25;
  unsigned Replicas = 3;
  unsigned Slots = 2;
  unsigned Connections = 25;
  unsigned Zones = 3;
};

inline AvailabilityZone zone(unsigned I) {
  return AvailabilityZone(fmt::format("zone-{}", I));
}

inline Upstream upstream(const Shape &S, unsigned Svc, unsigned Replica) {
  UpstreamFields F;
  F.Id = UpstreamId(fmt::format("svc-{:04}-{}", Svc, Replica));
  F.Address = {"127.0.0.1", 9000};
  F.Zone = zone((Svc + Replica) % S.Zones);
  F.Slots = S.Slots;
  F.Connections = S.Connections;
  return Upstream::make(F).value();
}

inline Preset preset(std::map<CallerClass, ClassPolicy> Classes) {
  PresetFields F;
  F.Name = PresetName("ordinary-day");
  F.Classes = std::move(Classes);
  return Preset::make(F).value();
}

inline ConfigPtr config(const Shape &S) {
  constexpr unsigned PerGroup = 500;
  const std::string AnyHash(32, '0');
  HeadFields H{.Generation = 1, .PresetInForce = PresetName("ordinary-day")};
  H.Presets["ordinary-day"] = AnyHash;
  std::vector<Group> Groups;
  for (unsigned First = 0; First < S.Services; First += PerGroup) {
    GroupFields G{Tenant("khan-uul"), GroupName(fmt::format("g{}", First)), {}};
    for (unsigned I = First; I < std::min(First + PerGroup, S.Services); ++I) {
      ServiceFields F{ServiceName(fmt::format("svc-{:04}", I)), {"book"}, {}};
      for (unsigned R = 0; R < S.Replicas; ++R)
        F.Upstreams.push_back(upstream(S, I, R));
      G.Services.push_back(Service::make(F).value());
    }
    H.Groups["khan-uul/" + G.Name.str()] = AnyHash;
    Groups.push_back(Group::make(G).value());
  }
  std::vector<Preset> Presets{preset({{CallerClass("desk"), ClassPolicy()}})};
  return Config::make(Head::make(H).value(), Groups, Presets).value();
}

inline Member daemon(unsigned I, unsigned Zones) {
  Member M;
  M.Id = {HostId(fmt::format("entry-{:04}", I)), 1};
  M.Zone = zone(I % Zones);
  M.State = MemberState::Alive;
  return M;
}

inline FleetView fleet(unsigned Daemons, unsigned Zones) {
  FleetView V;
  for (unsigned I = 0; I < Daemons; ++I)
    V.Members.push_back(daemon(I, Zones));
  return V;
}

inline void eachUpstream(const Config &C,
                         const std::function<void(const Upstream &)> &Fn) {
  for (const Group &G : C.groups())
    for (const Service &S : G->Services)
      for (const Upstream &U : S->Upstreams)
        Fn(U);
}

/// Slots of each host over all upstreams.
inline std::map<HostId, unsigned> loads(const Config &C,
                                        const SlotAllocation &A) {
  std::map<HostId, unsigned> Out;
  eachUpstream(C, [&](const Upstream &U) {
    for (const Holder &H : A.holders(U->Id))
      Out[H.Daemon->Id.Host] += H.Slots;
  });
  return Out;
}

/// Slots that \p After deals to a host which did not have them in \p Before.
inline unsigned moved(const Config &C, const SlotAllocation &Before,
                      const SlotAllocation &After) {
  unsigned Out = 0;
  eachUpstream(C, [&](const Upstream &U) {
    std::map<HostId, unsigned> Had;
    for (const Holder &H : Before.holders(U->Id))
      Had[H.Daemon->Id.Host] = H.Slots;
    for (const Holder &H : After.holders(U->Id)) {
      unsigned Old = Had[H.Daemon->Id.Host];
      Out += H.Slots > Old ? H.Slots - Old : 0;
    }
  });
  return Out;
}

} // namespace shallot::fixture

#endif // SHALLOTSHIFT_TESTS_ALLOCATIONFIXTURE_H
