// Fingerprints of requests, and the merging of the evidence of several daemons.
#include "shallotshift/quarantine.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace shallot;

namespace {

RequestFingerprint print(const RequestIdentity &R) {
  return RequestFingerprint::of(R);
}

QuarantineRecord record(std::vector<std::string> Crashed) {
  QuarantineRecord R{print({"GET", "a.example", "/x/1", "", ""})};
  R.Crashed = std::move(Crashed);
  return R;
}

} // namespace

TEST_CASE("a fingerprint covers each part of a request") {
  RequestIdentity One{"GET", "a.example", "/x/1", "me", "body"};
  CHECK(print(One) == print(One));
  CHECK(print(One) != print({"POST", "a.example", "/x/1", "me", "body"}));
  CHECK(print(One) != print({"GET", "b.example", "/x/1", "me", "body"}));
  CHECK(print(One) != print({"GET", "a.example", "/x/1?a", "me", "body"}));
  CHECK(print(One) != print({"GET", "a.example", "/x/1", "you", "body"}));
  CHECK(print(One) != print({"GET", "a.example", "/x/1", "me", "else"}));
}

TEST_CASE("parts of a request are kept apart in the fingerprint") {
  CHECK(print({"GET", "a", "/bc", "", ""}) !=
        print({"GET", "a/b", "c", "", ""}));
  CHECK(print({"GET", "a", "/b", "c", ""}) !=
        print({"GET", "a", "/bc", "", ""}));
}

TEST_CASE("evidence and trials determine the state") {
  CHECK(record({}).quarantineState() == QuarantineState::Clear);
  CHECK(record({"a", "b"}).quarantineState() == QuarantineState::Suspect);
  QuarantineRecord R = record({"a", "b", "c"});
  CHECK(R.quarantineState() == QuarantineState::OnTrial);
  R.Trials = MaxTrials;
  CHECK(R.quarantineState() == QuarantineState::Quarantined);
  R.Trials = 1;
  R.Proven = true;
  CHECK(R.quarantineState() == QuarantineState::Quarantined);
}

TEST_CASE("merging keeps the evidence of both daemons") {
  QuarantineRecord A = record({"a", "c"});
  QuarantineRecord B = record({"a", "b", "d"});
  A.Trials = 1;
  B.Proven = true;
  A.SeenAt = 5;
  B.SeenAt = 9;
  QuarantineRecord M = merged(A, B);
  CHECK(M.Crashed == std::vector<std::string>{"a", "b", "c"});
  CHECK(M.Trials == 1);
  CHECK(M.Proven);
  CHECK(M.SeenAt == 9);
  CHECK(merged(B, A) == M);
  CHECK(merged(M, B) == M);
}

TEST_CASE("a record is unchanged after writing and parsing") {
  QuarantineRecord R = record({"i-1@17", "i-2"});
  R.Trials = 1;
  R.SeenAt = 1'700'000'000'000;
  R.Route = "search";
  R.Path = "/x/1";
  auto Text = recordContent(R).dump();
  auto Read = attempt(
      [&] { return readRecord(R.Request.str(), nlohmann::json::parse(Text)); });
  REQUIRE_MESSAGE(Read, Read.error().Detail);
  CHECK(*Read == R);
}

TEST_CASE("a restarted replica is a different process") {
  CHECK(processName(UpstreamId("i-1"), 0) == "i-1");
  CHECK(processName(UpstreamId("i-1"), 7) != processName(UpstreamId("i-1"), 8));
}
