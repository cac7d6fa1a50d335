//===- Config.h - A complete configuration ----------------------*- C++ -*-===//
//
// The configuration that a daemon serves: a head with every group and preset
// that it references. It is immutable and shared by pointer; a query keeps the
// pointer it started with, so that it uses one configuration until it ends.
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

/// A service and the group that contains it.
struct ServiceRef {
  const Group *InGroup = nullptr;
  const Service *Svc = nullptr;
};

class Config;
using ConfigPtr = std::shared_ptr<const Config>;

class Config {
public:
  /// Assembles a configuration. Fails with ContentMismatch if the groups and
  /// presets are not exactly those that the head references, DanglingReference
  /// if the preset in force is absent, and AlreadyExists if two groups of one
  /// tenant contain a service of the same name, or any two services contain an
  /// upstream of the same name.
  static Result<ConfigPtr> make(Head H, std::vector<Group> Groups,
                                std::vector<Preset> Presets);

  const Head &head() const { return H; }
  std::uint64_t generation() const { return H->Generation; }
  const std::vector<Group> &groups() const { return Groups; }
  const std::vector<Preset> &presets() const { return Presets; }
  /// The preset in force.
  const Preset &preset() const { return *InForce; }

  bool hasTenant(const Tenant &T) const;
  /// Finds a service by tenant and name; Svc is null if there is none.
  ServiceRef find(const Tenant &T, const ServiceName &Name) const;
  /// Returns the group, or null.
  const Group *findGroup(const Tenant &T, const GroupName &Name) const;
  /// Finds an upstream by name in all services and stores its service in
  /// \p Where; null if there is none.
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
