// What the tests and the bench of package query share: a small configuration,
// the tools of a run, and replies.
#ifndef SHALLOTSHIFT_TESTS_QUERYFIXTURE_H
#define SHALLOTSHIFT_TESTS_QUERYFIXTURE_H

#include "shallotshift/query.h"

#include <fmt/format.h>

namespace shallot {

inline Instant at(double Ms) {
  return Instant() + Seconds(1000) + fromMillisF(Ms);
}

struct ConfigShape {
  unsigned Services = 3;
  unsigned Upstreams = 3;
  unsigned EjectMaxPercent = 34;
};

/// Service s0 holds books b0a and b0b and has upstreams s0-u0 (zone z0) ...
inline ConfigPtr makeConfig(ConfigShape Shape = {}) {
  GroupFields G{Tenant("khan"), GroupName("desk"), {}};
  for (unsigned S = 0; S < Shape.Services; ++S) {
    ServiceFields F{ServiceName(fmt::format("s{}", S)),
                    {fmt::format("b{}a", S), fmt::format("b{}b", S)},
                    {}};
    for (unsigned U = 0; U < Shape.Upstreams; ++U)
      F.Upstreams.push_back(
          Upstream::make({.Id = UpstreamId(fmt::format("s{}-u{}", S, U)),
                          .Address = {"127.0.0.1", 9000},
                          .Zone = AvailabilityZone(fmt::format("z{}", U % 3)),
                          .Slots = 2,
                          .Connections = 25})
              .value());
    G.Services.push_back(Service::make(F).value());
  }
  Preset P = Preset::make({.Name = PresetName("day"),
                           .Classes = {{CallerClass("lookup"), {}}},
                           .EjectMaxPercent = Shape.EjectMaxPercent})
                 .value();
  HeadFields H{1, PresetName("day"), {}, {}, {}};
  H.Groups["khan/desk"] = contentHash(encode(Group::make(G).value()));
  H.Presets["day"] = contentHash(encode(P));
  return Config::make(Head::make(H).value(), {Group::make(G).value()}, {P})
      .value();
}

/// The shared tools of one daemon.
struct Daemon {
  Random Rng;
  ReplicaTable Replicas{Rng};
  LatencyModel Latency;
  BudgetTable Budgets;
  Budget Restarts{RestartBudgetPercent};
  TraceRing Traces;
  AvailabilityZone Zone;

  explicit Daemon(std::uint64_t Seed, std::string Zone = "z0")
      : Rng(Seed), Zone(std::move(Zone)) {}
  QueryContext tools() {
    return {Replicas,
            Latency,
            Budgets,
            Restarts,
            Rng,
            &Traces,
            AvailabilityZone("z0")};
  }
  /// Teaches that every upstream of \p C holds \p Held.
  void teach(const Config &C, const std::vector<Snapshot> &Held, Instant Now) {
    for (const Group &G : C.groups())
      for (const Service &S : G->Services)
        for (const Upstream &U : S->Upstreams)
          teachOne(U->Id, Held, Now);
  }
  void teachOne(const UpstreamId &Id, std::vector<Snapshot> Held, Instant Now) {
    SubReply R;
    R.Served = Held.front();
    R.Servable = std::move(Held);
    Replicas.onSent(Id, Now - Millis(5));
    Replicas.onReply(Id, Now - Millis(5), R, Now);
  }
};

inline QuerySpec makeSpec(const ConfigPtr &C, ClassPolicy Policy,
                          Instant Deadline) {
  QuerySpec S;
  S.Id = RequestId("r1");
  S.Owner = Tenant("khan");
  S.Class = CallerClass("lookup");
  S.Conf = C;
  for (const Service &Svc : C->groups().front()->Services)
    S.Services.push_back(Svc->Name);
  S.Policy = Policy;
  S.Deadline = Deadline;
  S.Body = "{}";
  return S;
}

inline SubReply okReply(Snapshot Served, std::vector<Snapshot> Held = {}) {
  SubReply R;
  R.Served = Served;
  R.Servable = Held.empty() ? std::vector{Served} : std::move(Held);
  R.Body = fmt::format(R"({{"records":[{{"v":"{}.{}"}}]}})",
                       Served.IndexVersion, Served.PartitionVersion);
  return R;
}

inline SubReply failure(ResultCode Code, std::vector<Snapshot> Held = {}) {
  SubReply R;
  R.Code = Code;
  R.Servable = std::move(Held);
  return R;
}

} // namespace shallot

#endif // SHALLOTSHIFT_TESTS_QUERYFIXTURE_H
