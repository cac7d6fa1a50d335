// Encoding and decoding returns the same value and the same bytes, so that
// equal values always have equal content hashes.
#include "ConfigFixture.h"

using namespace shallot;
using namespace shallot::test;

namespace {

constexpr unsigned Rounds = 300;

std::string randomBook(Random &Rng, unsigned Number) {
  static const char *const Names[] = {"legacy arrears", "Götaland 50 m",
                                      "Улаанбаатар", "a\"b\\c", "x"};
  return fmt::format("{} {}", Names[below(Rng, 5)], Number);
}

Group randomGroup(Random &Rng) {
  GroupFields G{Tenant("banlangd"), GroupName("hall-desk"), {}};
  for (unsigned S = 0, Count = 1 + below(Rng, 6); S < Count; ++S) {
    ServiceFields F;
    F.Name = ServiceName(fmt::format("s/{}", S));
    for (unsigned B = 0, Books = 1 + below(Rng, 4); B < Books; ++B)
      F.Books.push_back(randomBook(Rng, B));
    for (unsigned U = 0, Ups = below(Rng, 4); U < Ups; ++U) {
      UpstreamFields Up =
          upstreamFields(fmt::format("{}-{}", S, U), below(Rng, 60000));
      Up.Slots = 1 + below(Rng, MaxSlots);
      Up.Connections = Up.Slots + below(Rng, MaxConnections - Up.Slots);
      Up.Leaving = below(Rng, 2) == 1;
      F.Upstreams.push_back(good([&] { return Upstream::make(Up); }));
    }
    G.Services.push_back(good([&] { return Service::make(F); }));
  }
  return good([&] { return Group::make(G); });
}

Preset randomPreset(Random &Rng) {
  PresetFields P;
  P.Name = PresetName("peak");
  P.HedgeQuantile = 0.5 + 0.49 * uniform01(Rng);
  P.EjectMaxPercent = below(Rng, 51);
  for (unsigned C = 0, Count = 1 + below(Rng, 5); C < Count; ++C) {
    ClassPolicy Policy;
    Policy.Priority = below(Rng, LowestPriority + 1);
    Policy.Deadline = Micros(1000 + below(Rng, 29000000));
    Policy.PartialAfter = Policy.Deadline / (1 + below(Rng, 9));
    Policy.Coverage =
        below(Rng, 2) == 1 ? CoverageRule::Full : CoverageRule::Partial;
    Policy.HedgeBudgetPercent = 100 * uniform01(Rng);
    P.Classes[CallerClass(fmt::format("class-{}", C))] = Policy;
  }
  return good([&] { return Preset::make(P); });
}

} // namespace

TEST_CASE("groups and presets round-trip") {
  Random Rng(11);
  for (unsigned Round = 0; Round < Rounds; ++Round) {
    Group G = randomGroup(Rng);
    Group BackG = good([&] { return decodeGroup(encode(G)); });
    CHECK(BackG == G);
    CHECK(encode(BackG) == encode(G));
    Preset P = randomPreset(Rng);
    Preset BackP = good([&] { return decodePreset(encode(P)); });
    CHECK(BackP == P);
    CHECK(encode(BackP) == encode(P));
  }
}

TEST_CASE("a head round-trips") {
  ConfigPtr C = configOf(draftOfSize(3, 2));
  Head Back = good([&] { return decodeHead(encode(C->head())); });
  CHECK(Back == C->head());
  REQUIRE(Back.find(ChangeId("first")));
  CHECK(Back.find(ChangeId("first"))->Operator == "bat");
}

TEST_CASE("a displayed object can be applied again") {
  Draft D = draftOfSize(2, 2);
  std::map<std::string, std::string> All = documentsOf(D);
  CHECK(All.size() == 4 + 12 + 2);
  for (const char *Path : {"service/khan-uul/group-00/g00-s01",
                           "upstream/g01-s00-b", "preset/peak"}) {
    std::string Shown = All.at(Path);
    auto Docs = good([&] { return decodeDocuments(Shown); });
    REQUIRE(Docs.size() == 1);
    CHECK(good([&] { return applyDocuments(D, Docs); }) == D);
  }
}

TEST_CASE("the encoding does not depend on the order of services") {
  Draft D = draftOfSize(1, 3);
  GroupFields F = *D.Groups[0];
  std::reverse(F.Services.begin(), F.Services.end());
  Group Reversed = good([&] { return Group::make(F); });
  CHECK(encode(Reversed) == encode(D.Groups[0]));
}
