// Lesson 1: from documents to a configuration.
//
// Operators write documents: services, the upstreams behind them, and presets.
// This lesson takes three such documents all the way to the objects that the
// platform would store, and then makes the mistakes that operators make.
//
// Nothing here opens a file or a socket. Package model only computes, so all of
// it can be tried at a desk.
#include "Lesson.h"

#include "shallotshift/model.h"

using namespace shallot;
using namespace shallot::tutorial;

namespace {

// A service is one shard: it says which books it holds. An upstream is one
// replica of it: slots are how many requests it works on at a time, connections
// how many it accepts, from all of us together.
constexpr std::string_view FirstDay = R"([
  {"kind": "service", "tenant": "khan-uul", "group": "underwriting-desk",
   "name": "uw-01", "books": ["bonds", "arrears"]},
  {"kind": "upstream", "tenant": "khan-uul", "group": "underwriting-desk",
   "service": "uw-01", "name": "uw-01-a", "address": "127.0.0.1:8001",
   "zone": "darkhan", "slots": 2, "connections": 25},
  {"kind": "preset", "name": "ordinary-day",
   "classes": {"tender-clerk": {"priority": 1, "deadline_ms": 800,
     "coverage": "full", "partial_after_ms": 0, "queue_limit": 64,
     "queue_wait_ms": 100, "hedge_budget_percent": 5,
     "retry_budget_percent": 10}},
   "hedge_quantile": 0.95, "eject_max_percent": 34}
])";

// The same upstream with one more slot.
constexpr std::string_view MoreSlots = R"(
  {"kind": "upstream", "tenant": "khan-uul", "group": "underwriting-desk",
   "service": "uw-01", "name": "uw-01-a", "address": "127.0.0.1:8001",
   "zone": "darkhan", "slots": 3, "connections": 25})";

// Who makes a change, and why, is kept with it. The id lets an operator whose
// reply was lost find out whether the change landed.
Change change(std::string Id, std::string Summary) {
  return {ChangeId(std::move(Id)), 0, "bold", std::move(Summary), 0};
}

// Documents become a Draft, which is plain data that may still be wrong as a
// whole; prepare() checks the whole and gives a Config, which is never wrong
// and never changes.
PreparedChange firstDay() {
  std::vector<OperatorDoc> Docs =
      good([] { return decodeDocuments(FirstDay); });
  for (const OperatorDoc &D : Docs)
    fmt::print("   read {}\n", objectPath(D));
  Draft D = good([&] { return applyDocuments(Draft(), Docs); });
  return good([&] { return prepare(nullptr, D, change("c1", "first day")); });
}

PreparedChange moreSlots(const ConfigPtr &Before) {
  Draft Was = draftOf(*Before);
  Draft Is = good([&] {
    return applyDocuments(Was, good([] { return decodeDocuments(MoreSlots); }));
  });
  for (const std::string &Line : differences(Was, Is))
    fmt::print("   {}\n", Line);
  return good([&] { return prepare(Before, Is, change("c2", "more slots")); });
}

// An error has a number for programs and a text for the person who can mend it.
Error errorOf(std::string_view Json, const Draft &D = {}) {
  auto Outcome = attempt([&]() -> Result<Draft> {
    BOOST_LEAF_AUTO(Docs, decodeDocuments(Json));
    return applyDocuments(D, Docs);
  });
  fmt::print("   {} {}\n", codeLabel(Outcome.error().Code),
             Outcome.error().Detail);
  return Outcome.error();
}

bool names(const Error &E, std::string_view Word) {
  return E.Detail.find(Word) != std::string::npos;
}

} // namespace

int main() {
  Lesson L;

  Lesson::part("three documents become a configuration");
  PreparedChange First = firstDay();
  L.claim(First.After->generation() == 1, "It is generation 1.");
  // In an empty configuration the first preset comes into force by itself.
  L.claim(First.After->preset()->Name == PresetName("ordinary-day"),
          "The preset ordinary-day is in force.");
  L.claim(First.NewBlobs.size() == 2,
          "Two objects are written: the group and the preset.");

  Lesson::part("a change writes only what differs");
  PreparedChange Second = moreSlots(First.After);
  L.claim(Second.After->generation() == 2, "It is generation 2.");
  // Objects are named by a hash of their content, so the preset, which did not
  // change, is already there. The head is swapped last: a change is in force
  // whole or not at all.
  L.claim(Second.NewBlobs.size() == 1, "Only the group is written anew.");
  const Upstream *Was = First.After->findUpstream(UpstreamId("uw-01-a"));
  L.claim((*Was)->Slots == 2, "A query that began before still sees 2 slots.");

  Lesson::part("an operator's errors");
  Error Extra = errorOf(R"({"kind": "service", "tenant": "khan-uul",
      "group": "underwriting-desk", "name": "uw-02", "books": ["bonds"],
      "slots": 2})");
  L.claim(Extra.Code == ResultCode::UnknownField && names(Extra, "slots"),
          "A field that a service does not have is refused, not ignored.");
  Error Nobody = errorOf(
      R"({"kind": "upstream", "tenant": "khan-uul",
          "group": "underwriting-desk", "service": "uw-07", "name": "uw-07-a",
          "address": "127.0.0.1:8002", "zone": "darkhan", "slots": 2,
          "connections": 25})",
      draftOf(*Second.After));
  L.claim(Nobody.Code == ResultCode::DanglingReference &&
              names(Nobody, "uw-07"),
          "An upstream of a service that is not there is refused by name.");
  return L.end();
}
