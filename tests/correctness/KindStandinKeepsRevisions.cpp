// The stand-in for the metadata store must not be kinder than the store: a
// write on a stale revision is refused, a dropped history is said to be gone,
// a page is never the whole when there is more.
#include "standins/KindObjects.h"
#include "standins/RegisteredReplica.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::standins;

TEST_CASE("a write demands the revision that it names") {
  KindObjects S;
  CHECK(S.put("locks", "a", 1, 0) == KindWrite::Done);
  CHECK(S.put("locks", "a", 2, 0) == KindWrite::Exists);
  std::uint64_t First = S.revision();
  CHECK(S.put("locks", "a", 2, First) == KindWrite::Done);
  CHECK(S.put("locks", "a", 3, First) == KindWrite::Conflict);
  CHECK(S.put("locks", "b", 3, First) == KindWrite::NotFound);
  CHECK(S.remove("locks", "a", First) == KindWrite::Conflict);
  CHECK((*S.find("locks", "a"))["spec"] == 2);
  CHECK((*S.find("locks", "a"))["meta"]["created"] == First);
  CHECK(S.remove("locks", "a") == KindWrite::Done);
  CHECK(S.find("locks", "a") == nullptr);
}

TEST_CASE("a write that changes nothing is no event") {
  KindObjects S;
  S.put("config", "main", 1);
  std::uint64_t Before = S.revision();
  S.put("config", "main", 1);
  CHECK(S.revision() == Before);
  CHECK(S.changes("config", Before)->empty());
}

TEST_CASE("changes are of one kind, and gone when the history is") {
  KindObjects S;
  std::uint64_t Start = S.revision();
  S.put("config", "main", 1);
  S.put("servers", "i-1", 1);
  S.remove("servers", "i-1");
  auto Found = S.changes("servers", Start);
  REQUIRE(Found);
  REQUIRE(Found->size() == 2);
  CHECK((*Found)[1]["deleted"] == true);
  S.dropHistory();
  CHECK_FALSE(S.changes("servers", Start));
  CHECK(S.changes("servers", S.revision())->empty());
}

TEST_CASE("a long list comes in pages") {
  KindObjects S;
  for (std::size_t N = 0; N < KindPageSize + 10; ++N)
    S.put("servers", "i-" + std::to_string(1000 + N), N);
  bool More = false;
  Json First = S.page("servers", "", More);
  CHECK(First.size() == KindPageSize);
  CHECK(More);
  Json Rest = S.page("servers", First.back()["meta"]["name"], More);
  CHECK(Rest.size() == 10);
  CHECK_FALSE(More);
}

TEST_CASE("records are a function that a checker can repeat") {
  CHECK(recordOf("s1", "q-1", 0) == "f9f81c950b502648");
  CHECK(recordOf("s1", "q-1", 0).size() == 16);
  CHECK(recordOf("s1", "q-2", 0) != recordOf("s1", "q-1", 0));
}
