//===- Quarantine.h - A daemon's table of suspected requests ----*- C++ -*-===//
//
// Holds one daemon's evidence against requests during which replicas crashed,
// and the records that the fleet shares through the platform's store. Tells how
// a request may be sent and which records have to be written.
//
//   crashed()     a replica process ended while it ran the request
//   share()       no run of the attempt succeeded: other daemons should know
//   succeeded()   a run succeeded: all evidence against the request is void
//   put(), remove(), replaceAll()   changes of the store's records
//   putRemoved()  the store holds a record again after its removal
//   nextWrite()   the next write to the store, if any
//
// An attempt whose replica crashed but that another replica served is cleared
// before its evidence is shared, so replicas that end for other reasons cause
// no writes.
//
// The store grants trials: the write that counts a trial is conditional on the
// revision that was read, so one of any number of daemons wins and the fleet
// makes at most MaxTrials. A trial that reached no replica is returned by a
// write that is made only once: repeated after a lost reply, it could return
// two trials. If the trials were inconclusive, for instance because their
// daemons ended, they are renewed after EvidenceLifetimeMs: the request may be
// harmless.
//
// A restore of the store takes back changes of its last seconds. The evidence
// stands, since every daemon has read it: a record that the store lost, or
// holds with less evidence, is written again, and one that had been removed is
// removed again, by the daemons that read from the store.
//
// A flood of distinct requests is bounded to MaxQuarantineEntries entries of a
// few hundred bytes in the daemon, which then ignores crashes under further
// requests, and to MaxSharedRecords objects in the store, where the oldest
// unproven record is evicted first and proven ones only if there is no other.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_QUARANTINE_QUARANTINE_H
#define SHALLOTSHIFT_QUARANTINE_QUARANTINE_H

#include "quarantine/QuarantineRecord.h"

#include <map>
#include <optional>
#include <set>

namespace shallot {

/// Maximum number of records in the store. More distinct queries of death mean
/// a broken release. A starting daemon reads about 300 KB of records.
inline constexpr std::size_t MaxSharedRecords = 1000;
/// Number of requests with evidence in one daemon, shared or not, from which on
/// crashes under further requests are not recorded.
inline constexpr std::size_t MaxQuarantineEntries = 4000;
/// Time in milliseconds without a crash after which evidence that is not in the
/// store and shared records in the state Suspect expire, and inconclusive
/// trials are renewed. A shared record on trial does not expire. A proven one
/// stays until an operator removes it: without it the request would crash as
/// many replicas again.
inline constexpr WallTime EvidenceLifetimeMs = 600'000;

/// A record in the store.
struct SharedRecord {
  QuarantineRecord Record;
  StoreRevision Revision;

  friend bool operator==(const SharedRecord &, const SharedRecord &) = default;
};

/// A write to the store, conditional on the revision of the record.
struct QuarantineWrite {
  QuarantineRecord Record;
  /// Revision of the record to replace or remove; number 0: none may exist.
  StoreRevision Revision;
  bool Removes = false;

  friend bool operator==(const QuarantineWrite &,
                         const QuarantineWrite &) = default;
};

class Quarantine {
public:
  QuarantineState quarantineState(const RequestFingerprint &R) const;
  /// Number of replica processes that crashed under it, at most CrashThreshold.
  unsigned crashesOf(const RequestFingerprint &R) const;

  /// Records a crash. \p Seen holds the request, the process that ended, the
  /// time, and the route and path for operators.
  void crashed(const QuarantineRecord &Seen);
  /// Marks this daemon's evidence to be written to the store.
  void share(const RequestFingerprint &R);
  /// Records that a granted trial crashed its replica.
  void trialCrashed(const RequestFingerprint &R);
  /// Returns a granted trial that ended before it reached a replica.
  void trialUnused(const RequestFingerprint &R);
  /// Clears the request. Returns true if there was evidence against it.
  bool succeeded(const RequestFingerprint &R);

  /// Applies the store's list of all records at \p Revision. Local evidence
  /// that is not in the store, newer records and, in the first list of an
  /// epoch, evidence of records that the store lost are kept.
  void replaceAll(const std::vector<SharedRecord> &Now, StoreRevision Revision);
  /// Applies a record from the store unless its revision is already known or
  /// outdated.
  void put(SharedRecord Now);
  /// Applies a record that the store holds again after its removal was read: it
  /// is void and must be removed once more. Counts like any other record if
  /// there has been evidence against the request since.
  void putRemoved(SharedRecord Now);
  /// Applies the removal of a record from the store, which also voids the local
  /// evidence: another daemon saw a run succeed, an operator removed the
  /// record, or it expired. A removal older than the known revision is ignored.
  void remove(const RequestFingerprint &R, StoreRevision Revision);

  /// The next write to make; empty if the store is up to date. Returns the same
  /// write until the store's record changes, but the return of a trial only
  /// until writeStarted().
  std::optional<QuarantineWrite> nextWrite() const;
  /// Reports the start and the end of a write of the record of \p R. If a run
  /// succeeds in between, the written record is removed again.
  void writeStarted(const RequestFingerprint &R);
  void writeEnded(const RequestFingerprint &R);
  /// The write that grants a trial; empty if none is left.
  std::optional<QuarantineWrite> trialWrite(const RequestFingerprint &R) const;
  /// Removes expired evidence and renews inconclusive trials; in the store only
  /// if \p Writes is set. Until the next call, \p Writes also decides whether
  /// this daemon writes what a restore of the store took back.
  void expire(WallTime Now, bool Writes);

  std::size_t size() const { return Entries.size(); }
  std::size_t shared() const { return SharedCount; }
  /// Number of requests in state \p S, for metrics.
  std::size_t count(QuarantineState S) const;

private:
  struct Entry {
    QuarantineRecord Own; ///< Local evidence.
    std::optional<SharedRecord> Shared;
    bool Share = false;       ///< Own must be written.
    bool Clear = false;       ///< Shared is void and must be removed.
    bool ReturnTrial = false; ///< One trial of Shared must be returned.
    /// A restore of the store took back a change of its record.
    bool Restored = false;
    WallTime RenewAt = 0; ///< Time of a due renewal of trials; 0: none.
    unsigned Writes = 0;  ///< Writes in progress.
  };
  using Table = std::map<RequestFingerprint, Entry>;

  static QuarantineRecord combined(const Entry &E);
  bool needsWrite(const Entry &E) const;
  static QuarantineRecord recordToWrite(const Entry &E);
  static void expireEntry(Entry &E, WallTime Now, bool Writes);
  void refreshEntry(Table::iterator At);
  void keepLost(Table::iterator At);
  void setRestores(bool Writes);
  std::optional<QuarantineWrite> evictionWrite() const;

  Table Entries;
  std::set<RequestFingerprint> PendingWrites; ///< Entries that need a write.
  std::size_t SharedCount = 0;
  bool Restores = false; ///< This daemon writes entries that are Restored.
};

} // namespace shallot

#endif // SHALLOTSHIFT_QUARANTINE_QUARANTINE_H
