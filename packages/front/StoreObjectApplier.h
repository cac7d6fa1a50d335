//===- StoreObjectApplier.h - Applies store objects -------------*- C++ -*-===//
//
// Decodes the objects that the store watches deliver and applies them to a
// FrontDaemon: configurations, registrations of replicas and evacuations. The
// deployment defines the format and supplies the decoding functions. An object
// that cannot be decoded is logged and skipped; the configuration in force
// stays.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_STOREOBJECTAPPLIER_H
#define SHALLOTSHIFT_FRONT_STOREOBJECTAPPLIER_H

#include "front/FrontDaemon.h"
#include "shallotshift/store.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace shallot {

struct StoreSchema {
  std::string ConfigKind;
  std::string ConfigName; ///< The only object of that kind in use.
  std::string ReplicaKind;
  std::string QuarantineKind; ///< Defined by this project.
  /// The same, of the record in which daemons find each other; empty: none.
  std::string RendezvousKind;
  /// Objects are named after zones; empty where zones are not evacuated.
  std::string EvacuationKind;
  std::function<Result<ServingConfig>(const KindObject &)> ReadConfig;
  /// The operator's version of a configuration, without reading the rest; 0 if
  /// it has none.
  std::function<std::uint64_t(const KindObject &)> ConfigVersion;
  std::function<Result<ReplicaEntry>(const KindObject &)> ReadReplica;
};

class StoreObjectApplier {
public:
  StoreObjectApplier(EventLoop &Loop, FrontDaemon &D, const StoreSchema &Schema)
      : Loop(Loop), D(D), Schema(Schema) {}

  /// Installs \p O if it is the configuration in use.
  void applyConfig(const KindObject &O);
  /// Replaces all replicas with the registrations listed at \p Revision. What
  /// changed, changed at any time from \p Since on.
  void applyReplicaList(const std::vector<KindObject> &Now,
                        StoreRevision Revision, Instant Since);
  void applyReplica(const KindChange &C, Instant Since);
  /// Replaces all evacuations with those listed at \p Revision.
  void applyEvacuationList(const std::vector<KindObject> &Now,
                           StoreRevision Revision);
  void applyEvacuation(const KindChange &C);
  /// Whether a configuration stays although the store holds \p Stored: one with
  /// a lower version, or none. See RestoreRecovery::OutlivesFn.
  bool configOutlives(const KindObject &Held, const KindObject *Stored) const;
  /// The same for a registration: a replica that was leaving before a restore
  /// of the store does not become ready by it.
  bool replicaOutlives(const KindObject &Held, const KindObject *Stored) const;

private:
  std::optional<ReplicaEntry> read(const KindObject &O) const;
  /// \p Last is the removed object in its last state.
  void removeReplica(const KindObject &Last, Instant Since);

  EventLoop &Loop;
  FrontDaemon &D;
  const StoreSchema &Schema;
  std::set<AvailabilityZone> Evacuated;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_STOREOBJECTAPPLIER_H
