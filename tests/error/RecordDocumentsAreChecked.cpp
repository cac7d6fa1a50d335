// Another program or an older release may leave a malformed document at the
// path of the records. Each kind of error has its own code, and nothing throws.
#include "shallotshift/crashguard.h"

#include <doctest/doctest.h>

using namespace shallot;

namespace {

ResultCode codeOf(std::string_view Text) {
  auto P = attempt([&] { return parseRecordSet(Text); });
  return P ? ResultCode::Ok : P.error().Code;
}

} // namespace

TEST_CASE("a malformed record document is rejected with its code") {
  CHECK(codeOf("") == ResultCode::MalformedJson);
  CHECK(codeOf("{\"revision\":") == ResultCode::MalformedJson);
  CHECK(codeOf("[]") == ResultCode::WrongType);
  CHECK(codeOf("{}") == ResultCode::MissingField);
  CHECK(codeOf(R"({"revision":1})") == ResultCode::MissingField);
  CHECK(codeOf(R"({"revision":-1,"records":{}})") == ResultCode::WrongType);
  CHECK(codeOf(R"({"revision":1,"records":[]})") == ResultCode::WrongType);
  CHECK(codeOf(R"({"revision":1,"records":{"a":7}})") == ResultCode::WrongType);
  CHECK(codeOf(R"({"revision":1,"records":{"a":{"revision":1}}})") ==
        ResultCode::MissingField);
  CHECK(codeOf(R"({"revision":1,"records":{}})") == ResultCode::Ok);
}

TEST_CASE("a document is unchanged after formatting and parsing") {
  RecordSet P{7, {}};
  P.Objects["a"] = {"a", {0, 5}, {{"trials", 1}}};
  P.Objects["b"] = {"b", {0, 7}, "anything"};
  auto Back = attempt([&] { return parseRecordSet(formatRecordSet(P)); });
  REQUIRE(Back);
  CHECK(*Back == P);
}
