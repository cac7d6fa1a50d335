//===- Rendezvous.h - How parts of a fleet find each other ------*- C++ -*-===//
//
// Membership finds the daemons that the seeds lead to. When the seeds are gone,
// or two groups of daemons have forgotten each other, nothing leads from one
// group to the other, and each takes itself for the whole fleet. So the
// platform's store holds one small record, the rendezvous, with the addresses
// of a few daemons that run.
//
//   - In each region one daemon watches the record, and whoever knows of no
//     other daemon reads it. The addresses are asked as seeds are. They add
//     members and never remove any, so a record that is old, lost or restored
//     from a copy splits nothing.
//   - One daemon of a group writes the record when too few of its group are in
//     it: at once when there is none, since another group has written it then,
//     which cannot know of this one.
//   - A daemon that knows of no other writes itself in place of all that did
//     not answer. Any other group that runs answers that write. So when the
//     record stands for AnswerTime, the daemon is alone, and only then may it
//     act for the fleet.
//
// A state machine without I/O; front/RendezvousLink.h joins it to the store.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FLEET_RENDEZVOUS_H
#define SHALLOTSHIFT_FLEET_RENDEZVOUS_H

#include "fleet/Membership.h"
#include "shallotshift/base.h"

#include <optional>
#include <vector>

namespace shallot {

/// The most addresses in a record: of two groups, some of each.
inline constexpr std::size_t MaxContacts = 6;

/// The content of the record.
struct RendezvousRecord {
  std::vector<ListedHost> Contacts; ///< Oldest first.
  DaemonId Writer;
  /// Grows by one with each write, so that each one changes the record.
  std::uint64_t Number = 0;

  friend bool operator==(const RendezvousRecord &,
                         const RendezvousRecord &) = default;
};

class Rendezvous {
public:
  /// How long another group that watches the record may take to answer a write
  /// of a daemon that seems alone.
  static constexpr Duration AnswerTime = Millis(1000);

  explicit Rendezvous(Instant Now) : StartedAt(Now) {}

  /// Applies the fleet as \p Self, a daemon in this view, sees it. Call it when
  /// the view has changed, and after read() and written().
  void setView(const FleetView &View, const Member &Self, Instant Now);
  /// Whether it waits for changes of the record, instead of reading it from
  /// time to time.
  bool watches() const { return Watches && !Alone; }
  bool mustRead(Instant Now) const;
  /// Whether what is read may be some seconds old, as the store offers for
  /// less. It will do for addresses to ask, and a write fails if the record has
  /// changed; only that a write stands is told by the record as it is.
  bool mayBeStale() const { return Alone && !WrittenAt; }
  bool mustWrite(Instant Now) const;
  /// What to write.
  RendezvousRecord proposal(Instant Now) const;

  void readStarted(Instant Now);
  /// The record as the store has it; nothing: there is none. \p Asked is when
  /// the store was asked.
  void read(const std::optional<RendezvousRecord> &Found, Instant Asked,
            Instant Now);
  void readFailed(Instant Now);
  void writeStarted(Instant Now);
  /// The record was written as proposed.
  void written(RendezvousRecord R, Instant Now);
  void writeFailed(Instant Now);

  /// The addresses to ask besides the seeds.
  const std::vector<ListedHost> &contacts() const { return Record.Contacts; }
  /// No other daemon is known, and none has answered this one's write.
  bool confirmedAlone() const { return Alone && Confirmed; }

private:
  /// An address in the record.
  struct Contact {
    ListedHost At;
    Instant Since;     ///< When it was first seen there.
    bool Live = false; ///< It is a live member of this daemon's view.
  };

  void take(RendezvousRecord R, Instant Now);
  std::size_t ownContacts() const;

  Instant StartedAt;
  DaemonId SelfId;
  std::size_t LiveCount = 1; ///< Live members of the view.
  /// Live members to propose: this daemon first, then some of other zones.
  std::vector<ListedHost> Candidates;
  bool Alone = true;
  bool Watches = false;
  bool Writes = false;
  bool Known = false; ///< The record has been read.
  RendezvousRecord Record;
  std::vector<Contact> Seen; ///< The contacts of Record.
  Instant AloneSince;
  Instant NextReadAt;
  Instant NextWriteAt;
  std::optional<Instant> WrittenAt; ///< By this daemon, as the last one.
  bool Confirmed = false;
  unsigned Answered = 0; ///< Writes that another group has answered.
};

} // namespace shallot

#endif // SHALLOTSHIFT_FLEET_RENDEZVOUS_H
