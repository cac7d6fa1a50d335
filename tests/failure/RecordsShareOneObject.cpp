// What callers see: a search that crashes upstreams is refused everywhere,
// though the store of this deployment knows single objects only. What happens:
// daemons write their records into one document at the same moment, replies are
// lost after the write was done, and daemons are behind. Why nothing is lost: a
// write replaces the version that it was made from, and one that meets another
// is made anew on top of it, as long as its own record is as it was.
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
              std::uint64_t Revision) {
    auto Said = std::make_shared<std::optional<Attempt<KindWriteReply>>>();
    D.writeObject("records", Name, Value, Revision,
                  [Said](Attempt<KindWriteReply> R) { *Said = std::move(R); });
    return Said;
  }
  /// All that the store has, by a daemon that has just started.
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

TEST_CASE_FIXTURE(Fixture, "records of daemons that write at once all stay") {
  Reply First = write(A, "x", 1, 0);
  Reply Second = write(B, "y", 2, 0);
  Reply Third = write(B, "z", 3, 0);
  Store.run();
  CHECK(applied(First));
  CHECK(applied(Second));
  CHECK(applied(Third));
  CHECK(stored() == std::map<std::string, int>{{"x", 1}, {"y", 2}, {"z", 3}});
}

TEST_CASE_FIXTURE(Fixture, "of two writes of one record one is done") {
  Reply First = write(A, "x", 1, 0);
  Reply Second = write(B, "x", 2, 0);
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

TEST_CASE_FIXTURE(Fixture, "a daemon that is behind reads before it says so") {
  Reply First = write(A, "x", 1, 0);
  Store.run();
  REQUIRE(applied(First));
  // Told of the revision, by a peer's record, before of the document.
  Reply Next = write(B, "x", 2, (**First)->Now->Revision);
  Store.run();
  CHECK(applied(Next));
}

TEST_CASE_FIXTURE(Fixture, "a write whose reply is lost is found to be done") {
  Store.OnCall = [](const FakeCall &C) {
    return C.Number == 1 ? Fault::LostReply : Fault::None;
  };
  Reply First = write(A, "x", 1, 0);
  Store.run();
  REQUIRE(*First);
  CHECK_FALSE(**First); // Whether it was done is not known.
  Reply Again = write(A, "x", 1, 0);
  Store.run();
  CHECK_FALSE(applied(Again));
  CHECK((**Again)->Now->Content == 1);
  CHECK(stored() == std::map<std::string, int>{{"x", 1}});
}

TEST_CASE_FIXTURE(Fixture,
                  "each newer state is news, and an older one is not") {
  std::vector<std::uint64_t> Seen;
  B.onChange([&](const RecordSet &P) { Seen.push_back(P.Revision); });
  write(A, "x", 1, 0);
  Store.run();
  StoredObject Old = A.stored();
  write(A, "y", 1, 0);
  Store.run();
  B.update(A.stored());
  B.update(Old);
  B.update(A.stored());
  CHECK(Seen == std::vector<std::uint64_t>{2});
}

TEST_CASE_FIXTURE(Fixture, "a document that was removed begins anew") {
  write(A, "x", 1, 0);
  Store.run();
  Store.remove("q/r", Precondition::ifAbsent(), [](const Attempt<Done> &) {});
  Reply Next = write(A, "y", 2, 0);
  Store.run();
  CHECK(applied(Next));
  CHECK(stored() == std::map<std::string, int>{{"y", 2}});
}

TEST_CASE_FIXTURE(Fixture, "a document that cannot be read gives way") {
  Store.write("q/r", "no JSON", Precondition::ifAbsent(),
              [](const Attempt<std::uint64_t> &) {});
  Reply Next = write(A, "x", 1, 0);
  Store.run();
  CHECK(applied(Next));
  CHECK(stored() == std::map<std::string, int>{{"x", 1}});
}
