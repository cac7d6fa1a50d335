// Record objects may be written by other programs. A malformed one is rejected
// with the name of the faulty field; overlong values are truncated.
#include "shallotshift/quarantine.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace shallot;

namespace {

const std::string RecordName(32, 'a');

nlohmann::json good() {
  return {{"crashed", {"i-1"}}, {"trials", 0u}, {"proven", false},
          {"seen_at", 5},       {"route", "r"}, {"path", "/x"}};
}

Attempt<QuarantineRecord> read(const std::string &Of, const nlohmann::json &C) {
  return attempt([&] { return readRecord(Of, C); });
}

} // namespace

TEST_CASE("a name that is not a fingerprint is rejected") {
  CHECK(read(RecordName, good()));
  for (const char *Bad :
       {"", "abc", "../main", "ZZZZZZZZZZZZZZZZZZZZZZZZZZZZZZZZ"})
    CHECK(read(Bad, good()).error().Code == ResultCode::BadName);
}

TEST_CASE("a missing or mistyped field is named in the error") {
  for (const char *Field :
       {"crashed", "trials", "proven", "seen_at", "route", "path"}) {
    nlohmann::json Less = good();
    Less.erase(Field);
    CHECK(read(RecordName, Less).error().Code == ResultCode::MissingField);
    CHECK(read(RecordName, Less).error().Detail == Field);
    nlohmann::json Other = good();
    Other[Field] = nlohmann::json::object();
    CHECK(read(RecordName, Other).error().Code == ResultCode::WrongType);
    CHECK(read(RecordName, Other).error().Detail == Field);
  }
  CHECK_FALSE(read(RecordName, nullptr));
  CHECK_FALSE(read(RecordName, "text"));
}

TEST_CASE("values from another writer are bounded") {
  nlohmann::json Large = good();
  Large["crashed"] = nlohmann::json::array();
  for (int N = 0; N < 5000; ++N)
    Large["crashed"].push_back(std::string(1000, 'x') + std::to_string(N));
  Large["trials"] = 1'000'000u;
  Large["path"] = std::string(100'000, 'p');
  auto R = read(RecordName, Large);
  REQUIRE(R);
  CHECK(R->Crashed.size() <= CrashThreshold);
  CHECK(R->Trials == MaxTrials);
  CHECK(R->Path.size() < 1000);
}
