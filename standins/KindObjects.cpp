//===- KindObjects.cpp ----------------------------------------------------===//
#include "standins/KindObjects.h"

namespace shallot::standins {

namespace {

std::uint64_t revisionOf(const Json &Object) {
  return Object["meta"]["revision"].get<std::uint64_t>();
}

} // namespace

const Json *KindObjects::find(const std::string &Kind,
                              const std::string &Name) const {
  auto Of = Objects.find(Kind);
  if (Of == Objects.end())
    return nullptr;
  auto At = Of->second.find(Name);
  return At == Of->second.end() ? nullptr : &At->second;
}

void KindObjects::note(const std::string &Kind, const Json &Object,
                       bool Deleted) {
  History.push_back({Kind, Object, Deleted, Revision});
  if (History.size() <= MaxKindHistory)
    return;
  HistoryFrom = History.front().Revision;
  History.pop_front();
}

KindWrite KindObjects::put(const std::string &Kind, const std::string &Name,
                           Json Spec, std::optional<std::uint64_t> If) {
  const Json *Before = find(Kind, Name);
  if (If && *If == 0 && Before)
    return KindWrite::Exists;
  if (If && *If != 0 && (!Before || revisionOf(*Before) != *If))
    return Before ? KindWrite::Conflict : KindWrite::NotFound;
  if (Before && (*Before)["spec"] == Spec)
    return KindWrite::Done;
  std::uint64_t Created =
      Before ? (*Before)["meta"]["created"].get<std::uint64_t>() : Revision + 1;
  Json Object{{"meta",
               {{"name", Name},
                {"revision", ++Revision},
                {"created", Created},
                {"finalizers", Json::array()},
                {"deleting", false}}},
              {"spec", std::move(Spec)},
              {"status", nullptr}};
  note(Kind, Object, false);
  Objects[Kind][Name] = std::move(Object);
  return KindWrite::Done;
}

KindWrite KindObjects::remove(const std::string &Kind, const std::string &Name,
                              std::optional<std::uint64_t> If) {
  const Json *Before = find(Kind, Name);
  if (!Before)
    return KindWrite::NotFound;
  if (If && revisionOf(*Before) != *If)
    return KindWrite::Conflict;
  Json Object = *Before;
  Object["meta"]["revision"] = ++Revision;
  Objects[Kind].erase(Name);
  note(Kind, Object, true);
  return KindWrite::Done;
}

Json KindObjects::page(const std::string &Kind, const std::string &After,
                       bool &More) const {
  Json Items = Json::array();
  More = false;
  auto Of = Objects.find(Kind);
  if (Of == Objects.end())
    return Items;
  auto At = Of->second.upper_bound(After);
  for (; At != Of->second.end() && Items.size() < KindPageSize; ++At)
    Items.push_back(At->second);
  More = At != Of->second.end();
  return Items;
}

std::optional<Json> KindObjects::changes(const std::string &Kind,
                                         std::uint64_t Since) const {
  if (Since < HistoryFrom || Since > Revision)
    return std::nullopt;
  Json Found = Json::array();
  for (const Event &E : History)
    if (E.Kind == Kind && E.Revision > Since)
      Found.push_back({{"object", E.Object}, {"deleted", E.Deleted}});
  return Found;
}

void KindObjects::dropHistory() {
  HistoryFrom = Revision;
  History.clear();
}

void KindObjects::restore(const KindObjects &Copy) {
  std::uint64_t Next = Era + 1;
  *this = Copy;
  Era = Next;
}

} // namespace shallot::standins
