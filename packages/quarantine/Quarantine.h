//===- Quarantine.h - Requests under which replicas crashed -----*- C++ -*-===//
//
// What one daemon knows of such requests: its own evidence, and the records
// that the fleet shares through the platform's store. It says how a request is
// to be treated, and what has to be written for the others to know it too.
//
//   crashed()     a replica process ended while it had the request
//   share()       no run of the attempt ended well: the others should know
//   succeeded()   a run ended well: whatever was held against it is void
//   put(), remove(), replaceAll()   the store's records, as they change
//   nextWrite()   the next write to the store, until there is none
//
// An attempt whose replica crashed and that was then served elsewhere is
// cleared before anything is shared, so replicas that end for other reasons
// cost no write.
//
// A trial is granted by the store: the write that counts it names the revision
// that it read, so of any number of daemons one wins, and all of them together
// make MaxTrials at most. One that reached no replica is given back, by a
// write that is made once: were it repeated after a lost reply, it could give
// back two. Where the trials told nothing, for instance because their daemons
// ended, they are made anew after EvidenceLifetimeMs: the request may be
// harmless.
//
// Bounds: a flood of distinct requests costs MaxEntries entries of a few
// hundred bytes here, and MaxSharedRecords objects in the store, of which the
// oldest and least certain give way.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_QUARANTINE_QUARANTINE_H
#define SHALLOTSHIFT_QUARANTINE_QUARANTINE_H

#include "quarantine/QuarantineRecord.h"

#include <map>
#include <optional>
#include <set>

namespace shallot {

/// Records in the store: more distinct queries of death than that are a broken
/// release. A daemon that starts reads some 300 KB of them.
inline constexpr std::size_t MaxSharedRecords = 1000;
/// Requests that a daemon keeps evidence of, shared or not.
inline constexpr std::size_t MaxEntries = 4000;
/// A suspicion that is not confirmed is forgotten after this, in milliseconds,
/// and trials that told nothing are made anew. What is proven stays until an
/// operator removes it: forgotten, the request would crash as many replicas
/// again.
inline constexpr WallTime EvidenceLifetimeMs = 600'000;

/// A record as the store has it.
struct SharedRecord {
  QuarantineRecord Record;
  std::uint64_t Revision = 0;

  friend bool operator==(const SharedRecord &, const SharedRecord &) = default;
};

/// A write to the store. It takes effect only if the record is still as it was
/// read.
struct QuarantineWrite {
  QuarantineRecord Record;
  /// Of the record that it replaces or removes; 0: there must be none.
  std::uint64_t Revision = 0;
  bool Removes = false;

  friend bool operator==(const QuarantineWrite &,
                         const QuarantineWrite &) = default;
};

class Quarantine {
public:
  QuarantineState quarantineState(const RequestFingerprint &R) const;
  /// Replica processes that ended under it, CrashThreshold at most.
  unsigned crashesOf(const RequestFingerprint &R) const;

  /// \p Seen has the request, the one process that ended, the time and what
  /// operators are told.
  void crashed(const QuarantineRecord &Seen);
  void share(const RequestFingerprint &R);
  /// The send of a granted trial crashed its replica.
  void trialCrashed(const RequestFingerprint &R);
  /// A granted trial ended before anything of it reached a replica.
  void trialUnused(const RequestFingerprint &R);
  /// True when something had been held against it.
  bool succeeded(const RequestFingerprint &R);

  /// All records there are, as listed at \p Revision.
  void replaceAll(const std::vector<SharedRecord> &Now, std::uint64_t Revision);
  /// An older revision than the known one is ignored.
  void put(SharedRecord Now);
  /// The record is gone from the store: another daemon saw a run end well, an
  /// operator removed it, or it expired. Nothing is held against it any more.
  /// A removal before the known revision is ignored.
  void remove(const RequestFingerprint &R, std::uint64_t Revision);

  /// What is to be written next; nothing when the store has it all. The same
  /// again until the store's record changes.
  std::optional<QuarantineWrite> nextWrite() const;
  /// A write of the record of \p R is on its way, or has ended. A run that ends
  /// well meanwhile voids what the write leaves behind.
  void writeStarted(const RequestFingerprint &R);
  void writeEnded(const RequestFingerprint &R);
  /// The write that grants a trial; nothing when none is left.
  std::optional<QuarantineWrite> trialWrite(const RequestFingerprint &R) const;
  /// Forgets suspicions that are too old and renews trials that told nothing;
  /// \p Writes: this daemon does so in the store too.
  void expire(WallTime Now, bool Writes);

  std::size_t size() const { return Entries.size(); }
  std::size_t shared() const { return SharedCount; }
  /// Entries of this standing, for metrics.
  std::size_t count(QuarantineState S) const;

private:
  struct Entry {
    QuarantineRecord Own; ///< Seen here and not in Shared.
    std::optional<SharedRecord> Shared;
    bool Share = false;    ///< Own is to be written.
    bool Clear = false;    ///< Shared is to be removed, and counts no more.
    bool GiveBack = false; ///< One trial of Shared is to be given back.
    WallTime RenewAt = 0;  ///< Trials of Shared are to be made anew; 0: not.
    unsigned Writes = 0;   ///< On their way.
  };
  using Table = std::map<RequestFingerprint, Entry>;

  static QuarantineRecord known(const Entry &E);
  static bool needsWrite(const Entry &E);
  static QuarantineRecord wanted(const Entry &E);
  static void outdated(Entry &E, WallTime Now, bool Writes);
  void settle(Table::iterator At);
  std::optional<QuarantineWrite> makeRoom() const;

  Table Entries;
  std::set<RequestFingerprint> Unwritten; ///< Entries that need a write.
  std::size_t SharedCount = 0;
};

} // namespace shallot

#endif // SHALLOTSHIFT_QUARANTINE_QUARANTINE_H
