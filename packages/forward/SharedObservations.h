//===- SharedObservations.h - What other daemons told of replicas -*- C++ -*-=//
//
// Holds what other daemons told of slow replicas and decides how much of it
// this daemon uses. It is used as a prior, only where this daemon knows little:
//
//   - It raises the predicted duration of a replica. It never lowers one and
//     never ejects a replica.
//   - Own evidence wins: it is not used for a replica with enough own recent
//     answers, and an own timely answer voids all that was observed before.
//   - One source is not believed: two daemons (this one may be one of them)
//     must have had late answers, over a longer time than a pause lasts. A
//     daemon that lies, or is slow itself, changes nothing alone.
//   - It fades from the time of the observation, somewhat faster than own
//     evidence, unless some daemon observes it again. Ages are told instead
//     of times, so clocks need not agree.
//   - A send is kept away with a probability that grows with the slowness, so
//     that the replica keeps a part of its requests. Some daemon notices when
//     it is fast again, and daemons that hold the same reports do not all do
//     the same.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FORWARD_SHAREDOBSERVATIONS_H
#define SHALLOTSHIFT_FORWARD_SHAREDOBSERVATIONS_H

#include "forward/AnswerEvidence.h"

#include <unordered_map>
#include <vector>

namespace shallot {

/// With this many own recent answers a daemon detects a slow replica within a
/// few more of them, before a report would arrive, and needs none.
inline constexpr double EnoughOwnAnswers = 8;
/// Reports are exchanged only among at least this many daemons of a region.
/// With fewer, each sees a good part of the answers itself.
inline constexpr std::size_t MinReportingDaemons = 8;

/// What is known of a replica from reports.
struct ToldSlowness {
  double Slowness = 1;  ///< Now; 1 if nothing is known or believed.
  bool Queued = false;  ///< The replica had a queue: it has too much to do.
  unsigned Sources = 0; ///< Daemons that it rests on, at most four.
  Duration Age{};       ///< Since the latest of their late answers.

  bool slow() const { return Slowness > 1; }
  /// Probability with which a send is to be kept away from the replica.
  double holdProbability() const;
  friend bool operator==(const ToldSlowness &, const ToldSlowness &) = default;
};

class SharedObservations {
public:
  /// Returns false if the report is outdated.
  bool receive(const ReplicaObservationReport &R, Instant Now);
  /// What to assume of a replica of which this daemon has the evidence \p Own.
  ToldSlowness told(ReplicaKey Key, const AnswerEvidence &Own,
                    Instant Now) const;
  /// Drops what has faded; call about once per second.
  void expire(Instant Now);
  /// Nothing is held: told() would return nothing for any replica.
  bool empty() const { return ByReplica.empty(); }
  std::size_t replicas() const { return ByReplica.size(); }

private:
  struct Source {
    std::uint64_t Host = 0; ///< Hash of its name.
    double Slowness = 1;
    bool Queued = false;
    Instant LateAt;
    Instant FirstLateAt;
  };
  struct Reporter {
    std::uint64_t Incarnation = 0;
    std::uint64_t Sequence = 0;
    Instant At;
  };

  void put(ReplicaKey Key, const Source &New, Instant Now);

  std::unordered_map<ReplicaKey, std::vector<Source>> ByReplica;
  std::unordered_map<std::uint64_t, Reporter> Reporters;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FORWARD_SHAREDOBSERVATIONS_H
