//===- Config.h - One whole configuration -----------------------*- C++ -*-===//
//
// What a daemon serves from: a head together with every group and preset that
// it names. It is one immutable value behind a shared pointer; a query keeps
// the pointer it started with, so that it sees one configuration to its end.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_MODEL_CONFIG_H
#define SHALLOTSHIFT_MODEL_CONFIG_H

#include "model/Group.h"
#include "model/Head.h"
#include "model/Preset.h"

#include <memory>
#include <unordered_map>

namespace shallot {

/// A service with the group that it belongs to.
struct ServiceRef {
  const Group *InGroup = nullptr;
  const Service *Svc = nullptr;
};

class Config;
using ConfigPtr = std::shared_ptr<const Config>;

class Config {
public:
  /// Puts a configuration together. Fails with ContentMismatch when a group or
  /// preset that the head names is absent, DanglingReference when the preset
  /// in force is absent, AlreadyExists when two groups of one tenant have a
  /// service, or any two services have an upstream, of the same name.
  static Result<ConfigPtr> make(Head H, std::vector<Group> Groups,
                                std::vector<Preset> Presets);

  const Head &head() const { return H; }
  std::uint64_t generation() const { return H->Generation; }
  const std::vector<Group> &groups() const { return Groups; }
  const std::vector<Preset> &presets() const { return Presets; }
  /// The preset in force.
  const Preset &preset() const { return *InForce; }

  bool hasTenant(const Tenant &T) const;
  /// The service of this tenant and name; Svc is null when there is none.
  ServiceRef find(const Tenant &T, const ServiceName &Name) const;
  /// Services of a whole group, or null.
  const Group *findGroup(const Tenant &T, const GroupName &Name) const;
  /// The upstream of this name anywhere, with its service, or nulls.
  const Upstream *findUpstream(const UpstreamId &Id,
                               ServiceRef *Where = nullptr) const;

private:
  Config(Head H, std::vector<Group> Groups, std::vector<Preset> Presets);

  Head H;
  std::vector<Group> Groups;
  std::vector<Preset> Presets;
  const Preset *InForce = nullptr;
  std::unordered_map<std::string, ServiceRef> ByName; ///< "tenant\0service".
  std::unordered_map<UpstreamId, std::pair<ServiceRef, const Upstream *>>
      ByUpstream;
};

} // namespace shallot

#endif // SHALLOTSHIFT_MODEL_CONFIG_H
