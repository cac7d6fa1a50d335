// A daemon passes on what it has read, in the store's revisions: whoever
// watches on from any revision that is kept misses nothing, and others list
// anew.
#include "shallotshift/store.h"

#include <doctest/doctest.h>

using namespace shallot;

TEST_CASE("changes since a revision, and none from before what is kept") {
  KindCache C;
  C.replaceAll({{"a", {0, 3}, 1}, {"b", {0, 5}, 2}}, {0, 7});
  CHECK(C.revision() == StoreRevision(0, 7));
  CHECK(C.lastChange() == StoreRevision(0, 5));
  CHECK_FALSE(C.since({0, 6}));
  CHECK(C.since({0, 7})->Changes.empty());
  C.apply({{"a", {0, 8}, 9}, false});
  C.apply({{"b", {0, 9}, 2}, true});
  C.advance({0, 12});
  auto Since = C.since({0, 7});
  REQUIRE(Since);
  CHECK(Since->Changes.size() == 2);
  CHECK(Since->Revision == StoreRevision(0, 12));
  CHECK(C.since({0, 8})->Changes.size() == 1);
  CHECK(C.since({0, 12})->Changes.empty());
  // One who is ahead of us is not taken back.
  CHECK(C.since({0, 40})->Revision == StoreRevision(0, 40));
  CHECK(C.lastChange() == StoreRevision(0, 9));
}

TEST_CASE("pages hold everything once, in order") {
  KindCache C;
  std::vector<KindObject> Many;
  for (std::size_t I = 0; I < 2 * PageObjects + 7; ++I)
    Many.push_back({"n" + std::to_string(100000 + I), {0, I + 1}, 0});
  C.replaceAll(Many, {0, 9999});
  std::string After;
  std::size_t Seen = 0;
  for (bool More = true; More;) {
    KindPage P = C.page(After);
    for (const KindObject &O : P.Objects)
      CHECK(O.Name > std::exchange(After, O.Name));
    Seen += P.Objects.size();
    More = P.More;
  }
  CHECK(Seen == Many.size());
}

TEST_CASE("the history that is kept is bounded") {
  KindCache C;
  C.replaceAll({}, {0, 1});
  for (std::uint64_t R = 2; R < MaxKeptChanges + 100; ++R)
    C.apply({{"n" + std::to_string(R), {0, R}, 0}, false});
  CHECK_FALSE(C.since({0, 50}));
  CHECK(C.since({0, MaxKeptChanges})->Changes.size() < 200);
}

TEST_CASE("an object that changes often is passed on once, as it is now") {
  KindCache C;
  C.replaceAll({{"a", {0, 1}, 0}}, {0, 1});
  for (std::uint64_t R = 2; R < MaxKeptChanges + 100; ++R)
    C.apply({{"a", {0, R}, R}, false});
  C.apply({{"b", {0, MaxKeptChanges + 100}, 5}, false});
  C.apply({{"b", {0, MaxKeptChanges + 101}, 5}, true});
  auto Since = C.since({0, 1});
  REQUIRE(Since);
  REQUIRE(Since->Changes.size() == 2);
  CHECK(Since->Changes[0].Object.Content == MaxKeptChanges + 99);
  CHECK(Since->Changes[1].Removed);
  CHECK(C.since({0, MaxKeptChanges + 99})->Changes.size() == 1);
}
