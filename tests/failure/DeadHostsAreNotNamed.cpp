// Guards against directory replies that contain hosts which failed long ago.
#include "FleetBag.h"
#include "front/EntryAddresses.h"
#include "shallotshift/front.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;

namespace {

/// Hosts that have been down for longer may not be returned: the detection time
/// of an otherwise stable fleet plus a margin.
constexpr Duration MaxListed = Seconds(9);

struct DirectoryFleet : FleetBag {
  explicit DirectoryFleet(std::size_t Count)
      : FleetBag(Count, 7, frontMembershipOptions()) {
    startMet();
    run(Seconds(3));
  }

  /// Counts the addresses of hosts that are down in the replies of all hosts
  /// that are up.
  std::size_t deadListed() const {
    std::size_t Dead = 0;
    for (std::size_t By = 0; By < Nodes.size(); ++By) {
      if (!up(By))
        continue;
      for (std::size_t N = 0; N < Nodes.size(); ++N)
        if (!up(N))
          Dead += lists(By, N);
    }
    return Dead;
  }

  bool lists(std::size_t By, std::size_t Of) const {
    Member M = member(Of);
    std::vector<Endpoint> Listed =
        entryAddresses(at(By).view(), {M.Zone, M.Reg});
    return std::ranges::find(Listed, M.Http) != Listed.end();
  }
};

const auto Sizes = {6, 48, 83};

} // namespace

TEST_CASE("hosts that fail together are soon removed from replies") {
  for (int Count : Sizes) {
    CAPTURE(Count);
    DirectoryFleet F(static_cast<std::size_t>(Count));
    for (std::size_t N = 0; N < F.Nodes.size(); N += 3)
      F.crash(N);
    F.run(MaxListed);
    CHECK(F.deadListed() == 0);
  }
}

TEST_CASE("a starting daemon does not learn of failed hosts as alive") {
  for (int Count : Sizes) {
    CAPTURE(Count);
    DirectoryFleet F(static_cast<std::size_t>(Count));
    std::size_t Last = F.Nodes.size() - 1;
    F.crash(Last);
    for (std::size_t N = 3; N < F.Nodes.size(); N += 4)
      F.crash(N);
    F.run(Millis(300));
    F.start(Last);
    F.run(MaxListed - Millis(300));
    CHECK(F.deadListed() == 0);
  }
}

TEST_CASE("hosts that failed during a partition are not returned after it") {
  for (int Count : Sizes) {
    CAPTURE(Count);
    DirectoryFleet F(static_cast<std::size_t>(Count));
    auto Half = [](std::size_t N) { return N % 2 == 0; };
    F.Faults.Cut = [=](std::size_t A, std::size_t B) {
      return Half(A) != Half(B);
    };
    F.run(Seconds(4));
    for (std::size_t N = 4; N < F.Nodes.size(); N += 5)
      F.crash(N);
    F.run(Seconds(3));
    F.Faults.Cut = nullptr;
    F.run(MaxListed);
    CHECK(F.deadListed() == 0);
  }
}
