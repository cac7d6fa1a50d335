// A merged answer holds the greatest records of its parts in descending order.
#include "shallotshift/forward.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>

using namespace shallot;

namespace {

std::string record(unsigned char First, char Rest = 'x') {
  return std::string(1, static_cast<char>(First)) +
         std::string(RecordBytes - 1, Rest);
}

} // namespace

TEST_CASE("bytes compare as unsigned, duplicates are kept") {
  std::string A = record(0x7f) + record(0xff) + record('b');
  std::string B = record('b') + record(0x80);
  CHECK(greatestRecords({A, B}, 4) ==
        record(0xff) + record(0x80) + record(0x7f) + record('b'));
  CHECK(greatestRecords({A, B}, 9) ==
        record(0xff) + record(0x80) + record(0x7f) + record('b') + record('b'));
}

TEST_CASE("trailing bytes of a part are ignored") {
  std::string Part = record('a') + "zzzz";
  CHECK(greatestRecords({Part}, 5) == record('a'));
  CHECK(greatestRecords({"zzzz"}, 5).empty());
  CHECK(greatestRecords({}, 5).empty());
}

TEST_CASE("the result equals sorting all records, for any parts") {
  Random Rng(7);
  for (int Round = 0; Round < 200; ++Round) {
    std::vector<std::string> Parts(below(Rng, 6) + 1);
    std::vector<std::string> All;
    for (std::string &P : Parts)
      for (auto N = below(Rng, 9); N > 0; --N) {
        std::string R(RecordBytes, '\0');
        for (char &C : R)
          C = static_cast<char>(below(Rng, 3) * 127);
        P += R;
        All.push_back(R);
      }
    std::ranges::sort(All, std::greater<>(), [](const std::string &S) {
      return std::vector<unsigned char>(S.begin(), S.end());
    });
    std::size_t Most = below(Rng, 12);
    std::string Expected;
    for (std::size_t I = 0; I < std::min(Most, All.size()); ++I)
      Expected += All[I];
    std::vector<std::string_view> Views(Parts.begin(), Parts.end());
    CHECK(greatestRecords(Views, Most) == Expected);
  }
}
