// Guards against losing records when all share one document because the store
// has only single objects. Daemons write their records at the same moment,
// replies are lost after the write was applied, and daemons have outdated
// state. A write is conditional on the version it is based on; after a conflict
// it is repeated on top of the other write if its own record is unchanged.
#include "FakeObjectStore.h"
#include "shallotshift/crashguard.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;

namespace {

using Document = RecordDocument<FakeObjectStore>;

struct Fixture {
  using Reply = std::shared_ptr<std::optional<Attempt<KindWriteReply>>>;

  Reply write(Document &D, const std::string &Name, int Value,
              StoreRevision Revision) {
    auto Result = std::make_shared<std::optional<Attempt<KindWriteReply>>>();
    D.writeObject(
        "records", Name, Value, Revision,
        [Result](Attempt<KindWriteReply> R) { *Result = std::move(R); });
    return Result;
  }
  /// The records in the store, as read by a newly started daemon.
  std::map<std::string, int> stored() {
    std::map<std::string, int> Values;
    Store.read("q/r", [&](const Attempt<StoredObject> &Now) {
      if (!Now)
        return;
      auto Page = attempt([&] { return parseRecordSet(Now->Value); });
      REQUIRE(Page);
      for (const auto &[Name, O] : Page->Objects)
        Values[Name] = O.Content.get<int>();
    });
    Store.run();
    return Values;
  }
  static bool applied(const Reply &R) { return *R && **R && (**R)->Applied; }

  FakeObjectStore Store;
  Document A{Store, "q/r"};
  Document B{Store, "q/r"};
};

} // namespace

TEST_CASE_FIXTURE(Fixture,
                  "concurrent writes of different records are all kept") {
  Reply First = write(A, "x", 1, {});
  Reply Second = write(B, "y", 2, {});
  Reply Third = write(B, "z", 3, {});
  Store.run();
  CHECK(applied(First));
  CHECK(applied(Second));
  CHECK(applied(Third));
  CHECK(stored() == std::map<std::string, int>{{"x", 1}, {"y", 2}, {"z", 3}});
}

TEST_CASE_FIXTURE(Fixture,
                  "of two concurrent writes of one record one is applied") {
  Reply First = write(A, "x", 1, {});
  Reply Second = write(B, "x", 2, {});
  Store.run();
  CHECK(applied(First));
  CHECK_FALSE(applied(Second));
  REQUIRE((**Second)->Now);
  CHECK((**Second)->Now->Content == 1);
  Reply Third = write(B, "x", 2, (**Second)->Now->Revision);
  Store.run();
  CHECK(applied(Third));
  CHECK(stored() == std::map<std::string, int>{{"x", 2}});
}

TEST_CASE_FIXTURE(Fixture,
                  "an outdated daemon rereads before it reports a conflict") {
  Reply First = write(A, "x", 1, {});
  Store.run();
  REQUIRE(applied(First));
  // It learned the revision from a peer's record before the document.
  Reply Next = write(B, "x", 2, (**First)->Now->Revision);
  Store.run();
  CHECK(applied(Next));
}

TEST_CASE_FIXTURE(Fixture,
                  "a write whose reply is lost is found to be applied") {
  Store.OnCall = [](const FakeCall &C) {
    return C.Number == 1 ? Fault::LostReply : Fault::None;
  };
  Reply First = write(A, "x", 1, {});
  Store.run();
  REQUIRE(*First);
  CHECK_FALSE(**First); // Unknown whether it was applied.
  Reply Again = write(A, "x", 1, {});
  Store.run();
  CHECK_FALSE(applied(Again));
  CHECK((**Again)->Now->Content == 1);
  CHECK(stored() == std::map<std::string, int>{{"x", 1}});
}

TEST_CASE_FIXTURE(Fixture,
                  "each newer state is reported, an older one is not") {
  std::vector<std::uint64_t> Seen;
  B.onChange([&](const RecordSet &P) { Seen.push_back(P.Revision); });
  write(A, "x", 1, {});
  Store.run();
  StoredObject Old = A.stored();
  write(A, "y", 1, {});
  Store.run();
  B.update(A.stored());
  B.update(Old);
  B.update(A.stored());
  CHECK(Seen == std::vector<std::uint64_t>{2});
}

TEST_CASE_FIXTURE(Fixture, "a removed document is created again") {
  write(A, "x", 1, {});
  Store.run();
  Store.remove("q/r", Precondition::ifAbsent(), [](const Attempt<Done> &) {});
  Reply Next = write(A, "y", 2, {});
  Store.run();
  CHECK(applied(Next));
  CHECK(stored() == std::map<std::string, int>{{"y", 2}});
}

TEST_CASE_FIXTURE(Fixture, "a malformed document is replaced") {
  Store.write("q/r", "no JSON", Precondition::ifAbsent(),
              [](const Attempt<std::uint64_t> &) {});
  Reply Next = write(A, "x", 1, {});
  Store.run();
  CHECK(applied(Next));
  CHECK(stored() == std::map<std::string, int>{{"x", 1}});
}
