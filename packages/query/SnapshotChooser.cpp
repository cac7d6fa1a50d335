#include "query/SnapshotChooser.h"

#include <tuple>
#include <vector>

namespace shallot {
namespace {

/// Counters for one pair during the iteration over services.
struct Tally {
  SnapshotChoice Choice;
  std::size_t LastService = 0; ///< Last service counted, from 1; 0: none.
  unsigned Holders = 0;        ///< Upstreams of that service.
};

Tally &tallyOf(std::vector<Tally> &All, const Snapshot &S) {
  for (Tally &T : All)
    if (T.Choice.Pair == S)
      return T;
  return All.emplace_back(Tally{{S, 0, 0}, 0, 0});
}

void countHolder(Tally &T, std::size_t Service) {
  if (T.LastService != Service) {
    T.LastService = Service;
    T.Holders = 0;
    ++T.Choice.Services;
  }
  if (++T.Holders == 2)
    ++T.Choice.Redundant;
}

auto rank(const SnapshotChoice &C) {
  return std::tuple(C.Services, C.Redundant, C.Pair);
}

} // namespace

std::optional<SnapshotChoice>
SnapshotChooser::choose(std::span<const Service *const> Targets,
                        Instant Now) const {
  std::vector<Tally> Tallies;
  std::size_t Number = 0;
  for (const Service *Svc : Targets) {
    ++Number;
    for (const Upstream &U : (*Svc)->Upstreams)
      if (Table.acceptsWork(U, Now))
        for (const Snapshot &S : Table.servable(U->Id))
          countHolder(tallyOf(Tallies, S), Number);
  }
  std::optional<SnapshotChoice> Best;
  for (const Tally &T : Tallies)
    if (!Best || rank(T.Choice) > rank(*Best))
      Best = T.Choice;
  return Best;
}

} // namespace shallot
