//===- StoreObjectApplier.cpp ---------------------------------------------===//
#include "front/StoreObjectApplier.h"

namespace shallot {

namespace {

/// Names written by other clients of the store can be of any length.
constexpr std::size_t MaxLoggedName = 80;

std::string loggedName(const KindObject &O) {
  return O.Name.substr(0, MaxLoggedName);
}

void logUnreadable(const KindObject &O, const Error &Why) {
  logEvent(LogLevel::Error, "object_unreadable",
           {{"object", loggedName(O)},
            {"revision", O.Revision.str()},
            {"code", codeLabel(Why.Code)},
            {"why", Why.Detail}});
}

} // namespace

void StoreObjectApplier::applyConfig(const KindObject &O) {
  if (O.Name != Schema.ConfigName)
    return;
  auto C = attempt([&] { return Schema.ReadConfig(O); });
  if (C)
    D.install(std::move(*C));
  else
    logUnreadable(O, C.error());
}

std::optional<ReplicaEntry>
StoreObjectApplier::read(const KindObject &O) const {
  auto E = attempt([&] { return Schema.ReadReplica(O); });
  if (E)
    return std::move(*E);
  logUnreadable(O, E.error());
  return std::nullopt;
}

void StoreObjectApplier::applyReplicaList(const std::vector<KindObject> &Now,
                                          StoreRevision Revision,
                                          Instant Since) {
  std::vector<ReplicaEntry> Entries;
  for (const KindObject &O : Now)
    if (auto E = read(O))
      Entries.push_back(std::move(*E));
  logEvent(LogLevel::Info, "replicas_listed",
           {{"count", std::to_string(Entries.size())},
            {"revision", Revision.str()}});
  D.replicas().replaceAll(std::move(Entries), Loop.now(), Since);
  D.replicasListed();
}

void StoreObjectApplier::applyReplica(const KindChange &C, Instant Since) {
  if (C.Removed) {
    removeReplica(C.Object, Since);
    return;
  }
  auto E = read(C.Object);
  if (!E) {
    // As in a list, an entry that cannot be decoded names no replica.
    D.replicas().remove(UpstreamId(C.Object.Name), Loop.now(), Since);
    return;
  }
  logEvent(LogLevel::Info, E->Leaving ? "replica_leaving" : "replica_ready",
           {{"replica", C.Object.Name},
            {"service", E->Service.str()},
            {"address", E->At.str()},
            {"started_unix_ms", std::to_string(E->StartedUnixMs)},
            {"warmup_ms", std::to_string(toMillis(E->WarmupLeft))},
            {"revision", C.Object.Revision.str()}});
  D.replicas().put(std::move(*E), Loop.now());
}

/// A peer's reply shows only the last change of an object, so the change to
/// leaving may have been missed. The removed object tells: a replica that was
/// leaving has left, and its entry did not lapse.
void StoreObjectApplier::removeReplica(const KindObject &Last, Instant Since) {
  auto E = attempt([&] { return Schema.ReadReplica(Last); });
  bool WasLeaving = E && E->Leaving;
  logEvent(LogLevel::Info, "replica_vanished",
           {{"replica", Last.Name},
            {"revision", Last.Revision.str()},
            {"was_leaving", WasLeaving ? "yes" : "no"},
            {"at_most_ms_ago", std::to_string(toMillis(Loop.now() - Since))}});
  if (WasLeaving)
    D.replicas().put(std::move(*E), Loop.now());
  D.replicas().remove(UpstreamId(Last.Name), Loop.now(), Since);
}

bool StoreObjectApplier::configOutlives(const KindObject &Held,
                                        const KindObject *Stored) const {
  if (Held.Name != Schema.ConfigName)
    return false;
  return !Stored || Schema.ConfigVersion(Held) > Schema.ConfigVersion(*Stored);
}

bool StoreObjectApplier::replicaOutlives(const KindObject &Held,
                                         const KindObject *Stored) const {
  if (!Stored || Stored->Revision.Epoch <= Held.Revision.Epoch)
    return false;
  auto Was = attempt([&] { return Schema.ReadReplica(Held); });
  auto Is = attempt([&] { return Schema.ReadReplica(*Stored); });
  return Was && Is && Was->Leaving && !Is->Leaving &&
         Was->StartedUnixMs == Is->StartedUnixMs;
}

void StoreObjectApplier::applyEvacuationList(const std::vector<KindObject> &Now,
                                             StoreRevision Revision) {
  Evacuated.clear();
  for (const KindObject &O : Now)
    Evacuated.insert(AvailabilityZone(O.Name));
  logEvent(LogLevel::Info, "evacuations_listed",
           {{"count", std::to_string(Evacuated.size())},
            {"revision", Revision.str()}});
  D.evacuate(Evacuated);
}

void StoreObjectApplier::applyEvacuation(const KindChange &C) {
  AvailabilityZone Zone(C.Object.Name);
  bool Known = D.settings().Zones.contains(Zone);
  logEvent(Known ? LogLevel::Info : LogLevel::Warn,
           C.Removed ? "evacuation_ended" : "evacuation_begun",
           {{"zone", loggedName(C.Object)},
            {"known", Known ? "yes" : "no"},
            {"revision", C.Object.Revision.str()}});
  if (C.Removed)
    Evacuated.erase(Zone);
  else
    Evacuated.insert(Zone);
  D.evacuate(Evacuated);
}

} // namespace shallot
