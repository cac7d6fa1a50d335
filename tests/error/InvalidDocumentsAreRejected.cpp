// Invalid documents are rejected with a code and a message that gives the
// field, the value and the allowed values.
#include "ConfigFixture.h"

using namespace shallot;
using namespace shallot::test;

namespace {

struct BadDocument {
  std::string Json;
  ResultCode Code;
  std::string ExpectedText;
};

/// A valid upstream document with \p Old replaced by \p New.
std::string upstreamWith(std::string_view Old, std::string_view New) {
  std::string Doc =
      R"({"kind":"upstream","tenant":"t","group":"g","service":"s","name":"u",)"
      R"("address":"10.0.0.1:80","zone":"z","slots":2,"connections":25})";
  auto At = Doc.find(Old);
  REQUIRE(At != std::string::npos);
  return Doc.replace(At, Old.size(), New);
}

std::string presetWith(std::string_view Policy) {
  return fmt::format(
      R"({{"kind":"preset","name":"p","classes":{{"desk":{{{}}}}}}})", Policy);
}

const std::vector<BadDocument> &badDocuments() {
  using enum ResultCode;
  static const std::vector<BadDocument> All{
      {"", MalformedJson, "the documents"},
      {"{\"kind\":", MalformedJson, "the documents"},
      {"[1]", WrongType, "document 1: is 1, allowed is an object"},
      {"{}", MissingField, "field \"kind\" is missing"},
      {R"({"kind":"daemon"})", UnknownKind,
       R"("kind" is "daemon", allowed are "service", "upstream" and "preset")"},
      {R"([{"kind":"service","kind":"service"}])", MalformedJson,
       "field \"kind\" appears twice"},
      {R"({"kind":7})", WrongType, "\"kind\" is 7, allowed is a string"},
      {upstreamWith("\"slots\":2", "\"slots\":0"), OutOfRange,
       "\"slots\" is 0, allowed are 1 to 1024"},
      {upstreamWith("\"slots\":2", "\"slots\":-1"), OutOfRange,
       "\"slots\" is -1, allowed are 1 to 1024"},
      {upstreamWith("\"slots\":2", "\"slots\":1.5"), WrongType,
       "\"slots\" is 1.5, allowed is a whole number"},
      {upstreamWith("\"slots\":2", "\"slots\":99999999999999999999"), WrongType,
       "allowed is a whole number"},
      {upstreamWith("\"slots\":2,", ""), MissingField,
       "document 1 (\"upstream\" \"u\"): field \"slots\" is missing"},
      {upstreamWith("\"slots\"", "\"slotz\""), MissingField, "\"slots\""},
      {upstreamWith("}", ",\"color\":1}"), UnknownField,
       "field \"color\" is not known; known are address, connections"},
      {upstreamWith("25", "1"), OutOfRange,
       "\"connections\" is 1, allowed are 2 to 4096"},
      {upstreamWith("10.0.0.1:80", "host:80"), OutOfRange,
       "'host:80' is not an address such as 10.0.0.1:8080"},
      {upstreamWith("\"u\"", "\"u u\""), BadName, "\"name\": 'u u'"},
      {upstreamWith("}", ",\"leaving\":\"yes\"}"), WrongType,
       "\"leaving\" is \"yes\", allowed is true or false"},
      {R"({"kind":"service","tenant":"t","group":"g","name":"s","books":"b"})",
       WrongType, "\"books\" is \"b\", allowed is an array"},
      {R"({"kind":"service","tenant":"t","group":"g","name":"s","books":[1]})",
       WrongType, "\"books\" has 1, allowed are strings"},
      {presetWith("\"deadline_ms\":0"), OutOfRange,
       "class desk: \"deadline_ms\" is 0, allowed are 1 to 30000"},
      {presetWith("\"deadline_ms\":60000"), OutOfRange, "1 to 30000"},
      {presetWith("\"coverage\":\"most\""), OutOfRange,
       R"("coverage" is "most", allowed are "full" and "partial")"},
      {presetWith("\"priority\":10"), OutOfRange, "0 to 9"},
      {presetWith("\"colour\":1"), UnknownField, "class desk: field"},
  };
  return All;
}

struct BadDraft {
  std::string Json;
  ResultCode Code;
  std::string ExpectedText;
};

const std::vector<BadDraft> &badDrafts() {
  using enum ResultCode;
  auto Service = [](std::string_view Books) {
    return fmt::format(
        R"({{"kind":"service","tenant":"t","group":"g","name":"s","books":{}}})",
        Books);
  };
  static const std::vector<BadDraft> All{
      {upstreamWith("u", "u"), DanglingReference,
       "there is no service t/g/s; create the service first"},
      {Service("[]"), OutOfRange, "has 0 books, allowed are 1 to 256"},
      {Service(R"(["a","a"])"), AlreadyExists, "the book 'a' is listed twice"},
      {Service(R"(["a\n"])"), BadName, "(unprintable)"},
      {fmt::format("[{0},{0}]", Service("[\"a\"]")), AlreadyExists,
       "service/t/g/s appears twice in the documents"},
      {R"({"kind":"service","tenant":"a/b","group":"g","name":"s",)"
       R"("books":["x"]})",
       BadName, "tenant: 'a/b' contains a '/'"},
      {presetWith(R"("deadline_ms":100,"partial_after_ms":200)"), OutOfRange,
       "class desk: partial_after_ms is 200, allowed are 0 to 100"},
      {R"({"kind":"preset","name":"p","classes":{}})", OutOfRange,
       "the number of classes is 0"},
  };
  return All;
}

} // namespace

TEST_CASE("an error gives the field, the value and the allowed values") {
  for (const BadDocument &B : badDocuments()) {
    CAPTURE(B.Json);
    Error E = bad([&] { return decodeDocuments(B.Json); });
    CHECK(codeLabel(E.Code) == codeLabel(B.Code));
    CHECK_MESSAGE(E.Detail.find(B.ExpectedText) != std::string::npos, E.Detail);
  }
}

TEST_CASE("inconsistent documents are rejected when they are applied") {
  for (const BadDraft &B : badDrafts()) {
    CAPTURE(B.Json);
    auto Docs = good([&] { return decodeDocuments(B.Json); });
    Error E = bad([&] { return applyDocuments(Draft{}, Docs); });
    CHECK(codeLabel(E.Code) == codeLabel(B.Code));
    CHECK_MESSAGE(E.Detail.find(B.ExpectedText) != std::string::npos, E.Detail);
  }
}

TEST_CASE("a configuration is validated as a whole") {
  Draft D = draftOfSize(2, 1);
  D = good([&] {
    return applyDocuments(D,
                          {upstreamDoc("group-01", "g01-s00", "g00-s00-a", 1)});
  });
  Error Twice = bad([&] { return prepare(nullptr, D, change("c")); });
  CHECK(Twice.Code == ResultCode::AlreadyExists);
  CHECK(Twice.Detail.find("upstream g00-s00-a of service") == 0);

  Draft None =
      good([&] { return applyDocuments(Draft{}, {serviceDoc("g", "s")}); });
  Error NoPreset = bad([&] { return prepare(nullptr, None, change("c")); });
  CHECK(NoPreset.Code == ResultCode::ConfigInvalid);

  ConfigPtr C = configOf(draftOfSize(1, 1));
  Error Absent = bad([&] { return Config::make(C->head(), {}, C->presets()); });
  CHECK(Absent.Code == ResultCode::ContentMismatch);
}

TEST_CASE("an object above the platform's limit of 1 MB is rejected") {
  std::vector<OperatorDoc> Docs{presetFields("p")};
  for (unsigned S = 0; S < 64; ++S) {
    ServiceDoc Doc = serviceDoc("big", fmt::format("s{}", S));
    Doc.Books.clear();
    for (unsigned B = 0; B < MaxBooksPerService; ++B)
      Doc.Books.push_back(fmt::format("{:090}", B));
    Docs.push_back(Doc);
  }
  Draft D = good([&] { return applyDocuments(Draft{}, Docs); });
  Error E = bad([&] { return prepare(nullptr, D, change("c")); });
  CHECK(E.Code == ResultCode::PlatformTooLarge);
  CHECK(E.Detail.find("khan-uul/big has ") == 0);
}
