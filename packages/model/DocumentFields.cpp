#include "model/DocumentJson.h"
#include "model/JsonFields.h"

#include <cmath>
#include <fmt/format.h>

namespace shallot {

using nlohmann::json;

namespace {

Result<Duration> msFromJson(JsonFields &F, std::string_view Key, double MinMs) {
  BOOST_LEAF_AUTO(Ms, F.number(Key, MinMs, toMillisF(MaxDeadline)));
  constexpr double NanosPerMilli = 1e6;
  return Duration(std::llround(Ms * NanosPerMilli));
}

Result<CoverageRule> coverageFrom(JsonFields &F) {
  BOOST_LEAF_AUTO(Text, F.string("coverage"));
  if (Text == "full")
    return CoverageRule::Full;
  if (Text == "partial")
    return CoverageRule::Partial;
  return fail(ResultCode::OutOfRange,
              fmt::format("{}: \"coverage\" is {}, allowed are \"full\" and "
                          "\"partial\"",
                          F.where(), formatForError(Text)));
}

/// Omitted fields keep the defaults of ClassPolicy.
Result<ClassPolicy> policyFrom(const json &Doc, const std::string &Where) {
  BOOST_LEAF_AUTO(F, JsonFields::open(Doc, Where));
  ClassPolicy P;
  if (F.has("priority")) {
    BOOST_LEAF_ASSIGN(P.Priority, F.integer("priority", 0, LowestPriority));
  }
  if (F.has("deadline_ms")) {
    BOOST_LEAF_ASSIGN(P.Deadline, msFromJson(F, "deadline_ms", 1));
  }
  if (F.has("coverage")) {
    BOOST_LEAF_ASSIGN(P.Coverage, coverageFrom(F));
  }
  if (F.has("partial_after_ms")) {
    BOOST_LEAF_ASSIGN(P.PartialAfter, msFromJson(F, "partial_after_ms", 0));
  }
  if (F.has("queue_limit")) {
    BOOST_LEAF_ASSIGN(P.QueueLimit, F.integer("queue_limit", 0, MaxQueueLimit));
  }
  if (F.has("queue_wait_ms")) {
    BOOST_LEAF_ASSIGN(P.QueueWait, msFromJson(F, "queue_wait_ms", 0));
  }
  if (F.has("hedge_budget_percent")) {
    BOOST_LEAF_ASSIGN(P.HedgeBudgetPercent,
                      F.number("hedge_budget_percent", 0, 100));
  }
  if (F.has("retry_budget_percent")) {
    BOOST_LEAF_ASSIGN(P.RetryBudgetPercent,
                      F.number("retry_budget_percent", 0, 100));
  }
  BOOST_LEAF_CHECK(F.finish());
  return P;
}

} // namespace

namespace internal {

Result<PresetFields> presetFrom(JsonFields &F) {
  PresetFields P;
  BOOST_LEAF_CHECK(readName(F, "name", P.Name));
  if (F.has("hedge_quantile")) {
    BOOST_LEAF_ASSIGN(P.HedgeQuantile, F.number("hedge_quantile", 0.5, 0.999));
  }
  if (F.has("eject_max_percent")) {
    BOOST_LEAF_ASSIGN(P.EjectMaxPercent, F.integer("eject_max_percent", 0, 50));
  }
  BOOST_LEAF_AUTO(Classes, F.object("classes"));
  for (const auto &[Class, Policy] : Classes->items()) {
    std::string Where = fmt::format("{}: class {}", F.where(), Class);
    BOOST_LEAF_AUTO(Checked, policyFrom(Policy, Where));
    P.Classes.emplace(CallerClass(Class), Checked);
  }
  BOOST_LEAF_CHECK(F.finish());
  return P;
}

/// Reads the fields of an upstream; the caller calls finish().
Result<UpstreamFields> upstreamFrom(JsonFields &F) {
  UpstreamFields U;
  BOOST_LEAF_CHECK(readName(F, "name", U.Id));
  BOOST_LEAF_AUTO(Address, F.string("address"));
  BOOST_LEAF_ASSIGN(
      U.Address,
      Endpoint::parse(Address, fmt::format("{}: \"address\"", F.where())));
  BOOST_LEAF_CHECK(readName(F, "zone", U.Zone));
  BOOST_LEAF_ASSIGN(U.Slots, F.integer("slots", 1, MaxSlots));
  BOOST_LEAF_ASSIGN(U.Connections,
                    F.integer("connections", U.Slots, MaxConnections));
  if (F.has("leaving")) {
    BOOST_LEAF_ASSIGN(U.Leaving, F.boolean("leaving"));
  }
  return U;
}

Result<std::vector<std::string>> booksFrom(JsonFields &F) {
  BOOST_LEAF_AUTO(Array, F.array("books"));
  std::vector<std::string> Books;
  for (const json &Book : *Array) {
    if (!Book.is_string())
      return fail(ResultCode::WrongType,
                  fmt::format("{}: \"books\" has {}, allowed are strings",
                              F.where(), formatForError(Book)));
    Books.push_back(Book.get<std::string>());
  }
  return Books;
}

} // namespace internal
} // namespace shallot
