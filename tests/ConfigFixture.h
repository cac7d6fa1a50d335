// Checked values for tests, without the noise of making them, and a whole
// configuration of the target's size.
#pragma once

#include "shallotshift/model.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

namespace shallot::test {

/// The value of a Result that the test knows to be good.
template <typename F> auto good(F &&Fn) {
  auto Outcome = attempt(std::forward<F>(Fn));
  if (!Outcome)
    FAIL(codeLabel(Outcome.error().Code) << " " << Outcome.error().Detail);
  return std::move(*Outcome);
}

/// The error of a Result that the test knows to be bad.
template <typename F> Error bad(F &&Fn) {
  auto Outcome = attempt(std::forward<F>(Fn));
  CHECK_FALSE(Outcome);
  return Outcome.error();
}

inline UpstreamFields upstreamFields(std::string Name, unsigned Number) {
  UpstreamFields U;
  U.Id = UpstreamId(std::move(Name));
  U.Address = {fmt::format("10.{}.{}.{}", 1 + Number / 62500,
                           Number / 250 % 250, 1 + Number % 250),
               8080};
  U.Zone = AvailabilityZone(fmt::format("zone-{}", Number % 3));
  U.Slots = 2;
  U.Connections = 25;
  return U;
}

inline UpstreamDoc upstreamDoc(std::string Group, std::string Service,
                               std::string Name, unsigned Number) {
  return {Tenant("khan-uul"), GroupName(std::move(Group)),
          ServiceName(std::move(Service)),
          upstreamFields(std::move(Name), Number)};
}

inline ServiceDoc serviceDoc(std::string Group, const std::string &Name) {
  return {Tenant("khan-uul"),
          GroupName(std::move(Group)),
          ServiceName(Name),
          {Name + "-book"}};
}

inline PresetFields presetFields(std::string Name) {
  PresetFields P;
  P.Name = PresetName(std::move(Name));
  P.Classes[CallerClass("reception-desk")] = {};
  return P;
}

/// \p Groups groups of \p Services services with 3 upstreams each, and the
/// presets ordinary (in force) and peak.
inline Draft draftOfSize(unsigned Groups, unsigned Services) {
  std::vector<OperatorDoc> Docs{presetFields("ordinary"), presetFields("peak")};
  unsigned Number = 0;
  for (unsigned G = 0; G < Groups; ++G)
    for (unsigned S = 0; S < Services; ++S) {
      std::string Group = fmt::format("group-{:02}", G);
      std::string Service = fmt::format("g{:02}-s{:02}", G, S);
      Docs.push_back(serviceDoc(Group, Service));
      for (char R : {'a', 'b', 'c'})
        Docs.push_back(upstreamDoc(Group, Service,
                                   fmt::format("{}-{}", Service, R), Number++));
    }
  return good([&] { return applyDocuments(Draft{}, Docs); });
}

inline Change change(std::string Id, std::string Summary = "test") {
  Change C;
  C.Id = ChangeId(std::move(Id));
  C.Operator = "bat";
  C.Summary = std::move(Summary);
  C.At = 1772352000000;
  return C;
}

inline ConfigPtr configOf(const Draft &D) {
  return good([&] { return prepare(nullptr, D, change("first")); }).After;
}

} // namespace shallot::test
