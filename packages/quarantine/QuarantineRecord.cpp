//===- QuarantineRecord.cpp -----------------------------------------------===//
#include "quarantine/QuarantineRecord.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <nlohmann/json.hpp>

namespace shallot {

namespace {

using Json = nlohmann::json;

constexpr char CrashedField[] = "crashed";
constexpr char TrialsField[] = "trials";
constexpr char ProvenField[] = "proven";
constexpr char SeenField[] = "seen_at";
constexpr char RouteField[] = "route";
constexpr char PathField[] = "path";

/// Maximum length of a name or path in a parsed record. Longer ones, which
/// other programs may write, are truncated: every daemon keeps them in memory.
constexpr std::size_t MaxTextBytes = 160;

Result<Json> field(const Json &Content, const char *Name,
                   bool (Json::*HasType)() const noexcept) {
  auto Found = Content.find(Name);
  if (Found == Content.end())
    return fail(ResultCode::MissingField, Name);
  if (!((*Found).*HasType)())
    return fail(ResultCode::WrongType, Name);
  return *Found;
}

Result<std::string> textField(const Json &Content, const char *Name) {
  BOOST_LEAF_AUTO(V, field(Content, Name, &Json::is_string));
  return V.get<std::string>().substr(0, MaxTextBytes);
}

Result<std::vector<std::string>> crashedField(const Json &Content) {
  BOOST_LEAF_AUTO(List, field(Content, CrashedField, &Json::is_array));
  std::vector<std::string> Names;
  for (const Json &Item : List) {
    if (!Item.is_string())
      return fail(ResultCode::WrongType, CrashedField);
    if (Names.size() < CrashThreshold)
      Names.push_back(Item.get<std::string>().substr(0, MaxTextBytes));
  }
  std::ranges::sort(Names);
  Names.erase(std::unique(Names.begin(), Names.end()), Names.end());
  return Names;
}

} // namespace

std::string_view quarantineStateName(QuarantineState S) {
  switch (S) {
  case QuarantineState::Clear:
    return "clear";
  case QuarantineState::Suspect:
    return "suspect";
  case QuarantineState::OnTrial:
    return "on trial";
  case QuarantineState::Quarantined:
    return "quarantined";
  }
  return {};
}

QuarantineState QuarantineRecord::quarantineState() const {
  if (Proven)
    return QuarantineState::Quarantined;
  if (Crashed.empty())
    return QuarantineState::Clear;
  if (Crashed.size() < CrashThreshold)
    return QuarantineState::Suspect;
  return Trials < MaxTrials ? QuarantineState::OnTrial
                            : QuarantineState::Quarantined;
}

std::string processName(const UpstreamId &Id, std::uint64_t StartedUnixMs) {
  return StartedUnixMs == 0 ? Id.str()
                            : fmt::format("{}@{}", Id.str(), StartedUnixMs);
}

QuarantineRecord merged(const QuarantineRecord &A, const QuarantineRecord &B) {
  QuarantineRecord M = A;
  M.Crashed.clear();
  std::ranges::set_union(A.Crashed, B.Crashed, std::back_inserter(M.Crashed));
  // Sorted before truncation, so that equal evidence gives equal records.
  if (M.Crashed.size() > CrashThreshold)
    M.Crashed.resize(CrashThreshold);
  M.Trials = std::max(A.Trials, B.Trials);
  M.Proven = A.Proven || B.Proven;
  M.SeenAt = std::max(A.SeenAt, B.SeenAt);
  if (M.Route.empty())
    M.Route = B.Route;
  if (M.Path.empty())
    M.Path = B.Path;
  return M;
}

Json recordContent(const QuarantineRecord &R) {
  return {{CrashedField, R.Crashed}, {TrialsField, R.Trials},
          {ProvenField, R.Proven},   {SeenField, R.SeenAt},
          {RouteField, R.Route},     {PathField, R.Path}};
}

Result<QuarantineRecord> readRecord(const std::string &Name,
                                    const Json &Content) {
  BOOST_LEAF_AUTO(Request, RequestFingerprint::parse(Name));
  if (!Content.is_object())
    return fail(ResultCode::WrongType,
                "a quarantine record must be a JSON object");
  QuarantineRecord R{std::move(Request)};
  BOOST_LEAF_ASSIGN(R.Crashed, crashedField(Content));
  BOOST_LEAF_AUTO(Trials,
                  field(Content, TrialsField, &Json::is_number_unsigned));
  R.Trials = std::min(Trials.get<std::uint64_t>(), std::uint64_t{MaxTrials});
  BOOST_LEAF_AUTO(Proven, field(Content, ProvenField, &Json::is_boolean));
  R.Proven = Proven.get<bool>();
  BOOST_LEAF_AUTO(Seen, field(Content, SeenField, &Json::is_number_integer));
  R.SeenAt = Seen.get<WallTime>();
  BOOST_LEAF_ASSIGN(R.Route, textField(Content, RouteField));
  BOOST_LEAF_ASSIGN(R.Path, textField(Content, PathField));
  return R;
}

} // namespace shallot
