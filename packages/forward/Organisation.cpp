//===- Organisation.cpp ---------------------------------------------------===//
#include "forward/Organisation.h"

#include <algorithm>
#include <fmt/format.h>

namespace shallot {

namespace {

/// Names are sent to replicas as the value of a header.
bool isHeaderValue(std::string_view Text) {
  return std::ranges::all_of(Text, [](char C) { return C >= ' ' && C <= '~'; });
}

Result<void> checkOrganisation(const Organisation &O) {
  auto Bad = [&](std::string_view What) {
    return fail(ResultCode::ConfigInvalid,
                fmt::format("organisation {}: {}", O.Name.str(), What));
  };
  if (O.Name.empty() || O.Name.str().size() > MaxNameBytes ||
      !isHeaderValue(O.Name.str()))
    return Bad(fmt::format(
        "the name must be 1 to {} printable ASCII characters", MaxNameBytes));
  if (O.Limit.Rate < 0 || O.Limit.Burst < 0)
    return Bad(fmt::format("rate {} and burst {} must not be below 0",
                           O.Limit.Rate, O.Limit.Burst));
  if (!(O.Share.Weight > 0 && O.Share.Weight <= MaxOrganisationWeight))
    return Bad(fmt::format("weight {} must be above 0 and at most {}",
                           O.Share.Weight, MaxOrganisationWeight));
  if (std::ranges::any_of(O.Keys, &std::string::empty))
    return Bad("a key is empty");
  return {};
}

/// Compares in a time that depends on the lengths only.
bool sameText(std::string_view A, std::string_view B) {
  if (A.size() != B.size())
    return false;
  unsigned Difference = 0;
  for (std::size_t I = 0; I < A.size(); ++I)
    Difference |= static_cast<unsigned char>(A[I] ^ B[I]);
  return Difference == 0;
}

} // namespace

Result<Organisations> Organisations::make(std::vector<Organisation> All) {
  Organisations O;
  O.All = std::move(All);
  std::ranges::sort(O.All, {}, &Organisation::Name);
  for (std::size_t I = 0; I < O.All.size(); ++I) {
    const Organisation &One = O.All[I];
    BOOST_LEAF_CHECK(checkOrganisation(One));
    if (I > 0 && O.All[I - 1].Name == One.Name)
      return fail(ResultCode::ConfigInvalid,
                  fmt::format("organisation {} is listed twice; list it once "
                              "with all its keys",
                              One.Name.str()));
    for (const std::string &Key : One.Keys) {
      const Organisation *Holder = O.findByKey(Key);
      if (Holder && Holder != &One)
        return fail(ResultCode::ConfigInvalid,
                    fmt::format("organisations {} and {} hold the same key; "
                                "remove it from one of them",
                                Holder->Name.str(), One.Name.str()));
      if (!Holder)
        O.ByKey.emplace(hash64(Key), HeldKey{Key, I});
    }
  }
  return O;
}

const Organisation *Organisations::find(const Tenant &Name) const {
  auto At = std::ranges::lower_bound(All, Name, {}, &Organisation::Name);
  return At != All.end() && At->Name == Name ? &*At : nullptr;
}

const Organisation *Organisations::findByKey(std::string_view Key) const {
  auto [Begin, End] = ByKey.equal_range(hash64(Key));
  for (auto At = Begin; At != End; ++At)
    if (sameText(At->second.Text, Key))
      return &All[At->second.Holder];
  return nullptr;
}

} // namespace shallot
