//===- StoreEntries.h - Store objects to daemon -----------------*- C++ -*-===//
//
// Reads the objects that the store's watches deliver and hands them to a
// FrontDaemon: configurations, replicas' registrations and evacuations. What
// the objects look like is the deployment's: it gives the functions that read
// them. An object that cannot be read is logged and left out; the configuration
// in force stays.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_STOREENTRIES_H
#define SHALLOTSHIFT_FRONT_STOREENTRIES_H

#include "front/FrontDaemon.h"
#include "shallotshift/store.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace shallot {

struct StoreSchema {
  std::string ConfigKind;
  std::string ConfigName; ///< The one object of that kind that counts.
  std::string ReplicaKind;
  std::string QuarantineKind; ///< Of our own.
  /// Objects named after zones; empty where zones are not evacuated.
  std::string EvacuationKind;
  std::function<Result<ServingConfig>(const KindObject &)> ReadConfig;
  std::function<Result<ReplicaEntry>(const KindObject &)> ReadReplica;
};

class StoreObjectApplier {
public:
  StoreObjectApplier(EventLoop &Loop, FrontDaemon &D, const StoreSchema &Forms)
      : Loop(Loop), D(D), Forms(Forms) {}

  /// Installs \p O if it is the configuration that counts.
  void takeConfig(const KindObject &O);
  /// All registrations, as the store listed them at \p Revision.
  void listReplicas(const std::vector<KindObject> &Now, std::uint64_t Revision);
  void takeReplica(const KindChange &C);
  /// All evacuations, as the store listed them at \p Revision.
  void listEvacuations(const std::vector<KindObject> &Now,
                       std::uint64_t Revision);
  void takeEvacuation(const KindChange &C);

private:
  std::optional<ReplicaEntry> read(const KindObject &O) const;

  EventLoop &Loop;
  FrontDaemon &D;
  const StoreSchema &Forms;
  std::set<AvailabilityZone> Evacuated;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_STOREENTRIES_H
