// Hostile input is rejected with an error and does no other harm: deep nesting,
// oversized bodies, and valid documents damaged by a fuzzer with a fixed seed.
#include "ConfigFixture.h"

using namespace shallot;
using namespace shallot::test;

namespace {

constexpr unsigned Rounds = 20000;

std::string damaged(std::string Text, Random &Rng) {
  static constexpr char Bytes[] = "\"{}[],:0-9eE.\\\xff\x00tfn u";
  for (unsigned N = 0, Count = 1 + below(Rng, 4); N < Count; ++N) {
    std::size_t At = below(Rng, Text.size());
    switch (below(Rng, 3)) {
    case 0:
      Text[At] = Bytes[below(Rng, sizeof(Bytes) - 1)];
      break;
    case 1:
      Text.erase(At, 1 + below(Rng, 9));
      break;
    default:
      Text.insert(At, Text.substr(below(Rng, Text.size()), below(Rng, 20)));
    }
    if (Text.empty())
      Text = "[";
  }
  return Text;
}

} // namespace

TEST_CASE("nesting and size are checked before parsing") {
  std::string Deep(100000, '[');
  CHECK(bad([&] { return decodeDocuments(Deep); }).Code ==
        ResultCode::MalformedJson);
  std::string Large(MaxObjectBytes + 1, ' ');
  CHECK(bad([&] { return decodeHead(Large); }).Code ==
        ResultCode::BodyTooLarge);
  // Brackets in a string do not count as nesting.
  std::string Doc = R"({"kind":"service","tenant":"t","group":"g","name":"s",)"
                    R"("books":["[[[[[[[[[[[[[[[[[[[[\"{{{"]})";
  CHECK(good([&] { return decodeDocuments(Doc); }).size() == 1);
}

TEST_CASE("a damaged document is rejected or decodes to a valid value") {
  ConfigPtr C = configOf(draftOfSize(1, 1));
  std::string GroupText = encode(C->groups()[0]);
  std::string HeadText = encode(C->head());
  std::string PresetText = encode(C->presets()[0]);
  Random Rng(5);
  unsigned Accepted = 0;
  for (unsigned Round = 0; Round < Rounds; ++Round) {
    auto G = attempt([&] { return decodeGroup(damaged(GroupText, Rng)); });
    auto H = attempt([&] { return decodeHead(damaged(HeadText, Rng)); });
    auto P = attempt([&] { return decodePreset(damaged(PresetText, Rng)); });
    // An accepted value round-trips, so it was validated completely.
    if (G)
      CHECK(good([&] { return decodeGroup(encode(*G)); }) == *G);
    if (H)
      CHECK(good([&] { return decodeHead(encode(*H)); }) == *H);
    if (P)
      CHECK(good([&] { return decodePreset(encode(*P)); }) == *P);
    Accepted += G || H || P;
    for (const Error &E : {G.error(), H.error(), P.error()})
      CHECK(static_cast<unsigned>(E.Code) < 9000);
  }
  CHECK(Accepted > 0);
  CHECK(Accepted < Rounds / 2);
}
