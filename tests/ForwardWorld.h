//===- ForwardWorld.h - Shards with troubles, in virtual time ---*- C++ -*-===//
//
// Daemons that drive ForwardRun against modelled replicas: slots, a queue,
// pauses, and troubles that a test switches on. No sockets, no clock; a seed
// repeats a run exactly.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_TESTS_FORWARDWORLD_H
#define SHALLOTSHIFT_TESTS_FORWARDWORLD_H

#include "shallotshift/forward.h"

#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace shallot::test {

struct WorldShape {
  unsigned Shards = 10;
  unsigned Zones = 3; ///< One replica of each shard in each.
  unsigned DaemonsPerZone = 1;
  unsigned Slots = 2;
  unsigned QueueLimit = 12;
  unsigned MaxConnections = 25;
  double QueriesPerSecond = 60; ///< In each zone.
  double WorkMs = 11;
  double WorkSpread = 0.35; ///< Of a log-normal.
  double PauseMs = 150;
  double PauseEveryMs = 3600; ///< 0: none.
  double ObjectiveMs = 120;
  double DeadlineMs = 800;
  double MinCoverage = 0.89;
  double FarMs = 8; ///< One way between zones.
  unsigned MaxAttempts = 2;
  RetrySemantics Kind = RetrySemantics::Idempotent;
  bool Admission = true; ///< Requests start only while replicas can take them.
  unsigned CallerTries = 2; ///< A refused caller comes back, when it was told.
  RetryAllowance Retries{0.2, 52, Seconds(10)};
  /// The daemons of a zone report slow replicas to each other.
  bool ShareObservations = false;
  /// Every send goes to the replica that would answer it first, which only a
  /// model can know.
  bool Oracle = false;
};

/// What is wrong with a replica now.
struct Trouble {
  double Slow = 1;     ///< Work takes this many times as long.
  double Lose = 0;     ///< Part of the replies that are lost after the work.
  double Shed = 0;     ///< Part of the requests that are rejected at once.
  bool Dark = false;   ///< Neither connections nor requests are answered.
  bool Refuse = false; ///< Connections are refused at once.
};

/// Counts over a span of time.
struct WorldFigures {
  unsigned Asked = 0;
  unsigned InTime = 0; ///< A success within the objective.
  unsigned Late = 0;
  unsigned Failed = 0;
  unsigned Refused = 0; ///< Tries that were turned away with nothing sent.
  double Credit = 0;    ///< The square of the share in time, a tenth if late.
  unsigned FirstSends = 0;
  unsigned ExtraSends = 0;
  unsigned FarSends = 0;
  unsigned Resets = 0;    ///< Connections above a replica's cap.
  unsigned SlowSends = 0; ///< To replicas that were slow (Trouble::Slow).
  std::size_t ReportBytes = 0;
  std::vector<double> LatencyMs; ///< Of each answer.

  /// The latency that the fraction \p Q of the answers did not exceed.
  double latencyMs(double Q) const;

  double worth() const { return Asked == 0 ? 0 : Credit / Asked; }
};

class ForwardWorld {
public:
  ForwardWorld(WorldShape Shape, std::uint64_t Seed);

  /// Runs the clock on to \p Until, with queries coming in.
  void runUntil(Duration Until);
  Instant now() const { return Now; }
  /// Queries come this many times as often from now on.
  void burst(double Times) { Burst = Times; }
  /// Trouble of the replica of \p Shard in \p Zone, from now on.
  Trouble &trouble(unsigned Shard, unsigned Zone) {
    return Replicas[Shard * Shape.Zones + Zone]->What;
  }
  /// The figures since the last call.
  WorldFigures takeFigures() { return std::exchange(Figures, {}); }
  /// Arrivals beyond the first of each request, with their times, by shard.
  const std::vector<std::vector<Instant>> &extras() const { return Extras; }
  const std::vector<std::vector<Instant>> &firsts() const { return Firsts; }
  ReplicaRegistry &book(unsigned Daemon) { return Daemons[Daemon]->Replicas; }
  std::size_t daemons() const { return Daemons.size(); }
  /// Sends that reached the replica of \p Shard in \p Zone so far.
  std::size_t sends(unsigned Shard, unsigned Zone) const {
    return Replicas[Shard * Shape.Zones + Zone]->Sends;
  }
  /// Called with each report before it is delivered, with the number of the
  /// daemon that sends it; returns false if it is lost.
  using ReportFilter =
      std::function<bool(unsigned, ReplicaObservationReport &)>;
  void filterReports(ReportFilter Fn) { Filter = std::move(Fn); }

private:
  struct ModelReplica;
  struct Work {
    std::function<void(SendStatus, ReportedLoad)> Done;
    double Ms = 0;
    bool Dropped = false;
    ModelReplica *On = nullptr; ///< It holds a connection there.
  };
  struct ModelReplica {
    UpstreamId Id;
    unsigned Shard = 0;
    unsigned Zone = 0;
    unsigned Running = 0;
    unsigned Connections = 0;
    std::deque<std::shared_ptr<Work>> Queue;
    Duration PausePhase{};
    Trouble What;
    std::size_t Sends = 0;
    std::vector<Instant> Ends; ///< Of what runs.
  };
  /// One try of a caller.
  struct Job {
    Job(ForwardRequest A) : Run(std::move(A)) {}
    ForwardRun Run;
    unsigned Home = 0;
    Instant Began; ///< The caller's first try.
    Instant Tried; ///< This one.
    unsigned Try = 1;
    TicketId Ticket = 0; ///< 0: it has been answered.
    std::map<unsigned, std::shared_ptr<Work>> Works;
    std::map<unsigned, unsigned> SendsOfShard;
  };
  using JobPtr = std::shared_ptr<Job>;
  struct Daemon {
    Daemon(Location Here, std::uint64_t Seed, ReplicaRegistryOptions O)
        : Replicas(std::move(Here), O),
          Rng(Seed), Shared{Replicas, Budgets, Works, Rng, {}} {}
    unsigned Zone = 0;
    std::uint64_t Reports = 0;
    ReplicaRegistry Replicas;
    BudgetMap Budgets;
    ServiceTimeEstimates Works;
    Random Rng;
    ForwardShared Shared;
    RouteAdmission Admit;
    std::map<TicketId, JobPtr> Waiting; ///< For their turn.
  };
  void at(Instant When, std::function<void()> Fn) {
    Events.emplace(When, std::move(Fn));
  }
  void query(unsigned Zone);
  void tryOnce(unsigned Home, Instant Began, unsigned Try);
  void begin(const JobPtr &J);
  void refused(const JobPtr &J, Duration RetryAfter);
  void pollAdmission(unsigned Home);
  void apply(const JobPtr &J, RunOutput Out);
  void count(const Job &J, const ForwardAnswer &A);
  void start(const JobPtr &J, const StartSend &S);
  void report(unsigned From);
  ModelReplica &soonest(const Job &J, unsigned Home, const Replica &Instead);
  Duration wait(const ModelReplica &R) const;
  ReportedLoad loadOf(const ModelReplica &R) const;
  static void hangUp(Work &W);
  void arrive(ModelReplica &R, const std::shared_ptr<Work> &W);
  void pump(ModelReplica &R);
  Instant awake(const ModelReplica &R, Instant From) const;
  double workMs();
  Duration way(unsigned ZoneA, unsigned ZoneB) const {
    return ZoneA == ZoneB ? Micros(100) : fromMillisF(Shape.FarMs);
  }

  WorldShape Shape;
  Random Rng;
  Random ReportRng{7}; ///< Reports change no other draw.
  ReportFilter Filter;
  Instant Now{Seconds(1000)};
  double Burst = 1;
  TicketId LastTicket = 0;
  std::multimap<Instant, std::function<void()>> Events;
  std::shared_ptr<const ServingConfig> Config;
  std::vector<std::unique_ptr<ModelReplica>> Replicas;
  std::vector<std::unique_ptr<Daemon>> Daemons;
  std::vector<std::vector<Instant>> Extras;
  std::vector<std::vector<Instant>> Firsts;
  WorldFigures Figures;
};

} // namespace shallot::test

#endif // SHALLOTSHIFT_TESTS_FORWARDWORLD_H
