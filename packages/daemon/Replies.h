//===- Replies.h - Answers to callers and operators as JSON -----*- C++ -*-===//
#ifndef SHALLOTSHIFT_DAEMON_REPLIES_H
#define SHALLOTSHIFT_DAEMON_REPLIES_H

#include "daemon/EventLog.h"
#include "shallotshift/action.h"
#include "shallotshift/fleet.h"
#include "shallotshift/model.h"
#include "shallotshift/net.h"
#include "shallotshift/query.h"

#include <deque>

namespace shallot {

/// The answer to a search: 200 with the records and their coverage, or a
/// problem document that has the coverage too.
ServerReply searchReply(const RequestId &Id, const Config *C,
                        const QueryAnswer &Answer);
ServerReply actionReply(const RequestId &Id, const ActionOutcome &Outcome);
ServerReply keyReply(const ActionKey &Key, Duration Validity);
ServerReply entryReply(const EntryAnswer &Answer);
ServerReply membersReply(const FleetView &View);
ServerReply eventsReply(const std::deque<FleetEvent> &Events);

/// What GET /v1/status tells.
struct StatusFacts {
  DaemonId Self;
  AvailabilityZone Zone;
  std::string_view State;
  std::string Why;
  bool Ready = false;
  PresetName Preset; ///< Empty: no configuration.
  ConfigStatus Config;
  Duration ConfigAge{0};
  std::size_t Members = 0;
  std::size_t Live = 0;
  std::size_t InFlight = 0;
  std::size_t SlotsHeld = 0;
};
ServerReply statusReply(const StatusFacts &F);

} // namespace shallot

#endif // SHALLOTSHIFT_DAEMON_REPLIES_H
