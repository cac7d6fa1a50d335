//===- UpstreamReplica.h - One stand-in replica -----------------*- C++ -*-===//
//
// A replica of a service as docs/UPSTREAM.md gives it: a cap on connections, a
// few slots and a queue before them, seeded service times with stragglers,
// pinned versions, cancellation, deadlines. It counts whatever a client should
// not have done (connections over the cap, more requests at once than slots) so
// that tests can judge the system by it, and keeps a list of the actions it
// ran, in which a doubled one shows.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_STANDINS_UPSTREAMREPLICA_H
#define SHALLOTSHIFT_STANDINS_UPSTREAMREPLICA_H

#include "standins/UpstreamSettings.h"
#include "standins/Wire.h"

#include <deque>
#include <set>
#include <unordered_set>

namespace shallot::standins {

/// Requests that wait in one replica; above it the replica sheds.
inline constexpr std::size_t MaxReplicaQueue = 4096;
/// Request ids that one replica remembers having seen.
inline constexpr std::size_t MaxSeenRequests = 1 << 20;

/// Faults that a test switches on. Counts go down by one with each use.
struct ReplicaFaults {
  bool Freeze = false;        ///< Takes connections and requests, says nothing.
  bool Shed = false;          ///< Refuses all work.
  bool DrainAnnounce = false; ///< Serves, but says that it is leaving.
  bool DrainRefuse = false;   ///< Refuses all work because it is leaving.
  bool Cold = false;          ///< Slow, and says so.
  double ReportLoad = -1;     ///< The load it claims; below 0: the true one.
  unsigned Mislabel = 0;      ///< Replies with another attempt's id.
  unsigned ReplyTwiceLate = 0;
  unsigned DieBeforeReplyNextAction = 0; ///< Runs it, then closes unanswered.
  unsigned CloseBeforeReply = 0;         ///< The same for any request.
  /// Ends when it begins a request whose body contains this, and listens again
  /// after BackAfterMs. Empty: nothing ends it.
  std::string EndedBy;
  unsigned BackAfterMs = 1000;
};

struct ReplicaCounts {
  std::uint64_t Searches = 0;
  std::uint64_t Actions = 0;
  std::uint64_t Cancels = 0;
  std::uint64_t LoadReads = 0;
  std::uint64_t Answered = 0;
  std::uint64_t ConnectionsOpened = 0;
  std::uint64_t ConnectionsMax = 0;
  std::uint64_t ConnectionsRefused = 0; ///< Over the cap.
  std::uint64_t BusyMax = 0;            ///< In work or waiting at once.
  std::uint64_t SlotsExceeded = 0;      ///< Came while every slot was busy.
  std::uint64_t CancelledById = 0;
  std::uint64_t CancelledByClose = 0;
  std::uint64_t DeadlinePassed = 0;
  std::uint64_t VersionGone = 0;
  std::uint64_t Refused = 0; ///< Shed or draining.
  std::uint64_t WhileDraining = 0;
  std::uint64_t Stragglers = 0;
  std::uint64_t Ended = 0; ///< By a request (ReplicaFaults::EndedBy).
};

class UpstreamReplica {
public:
  UpstreamReplica(asio::io_context &Io, UpstreamSettings S);

  Result<void> listen() { return Server.listen(); }
  const UpstreamSettings &settings() const { return S; }
  /// Obeys the fields of one POST /control.
  Result<void> control(const Json &Orders);
  Json stats() const;
  const Json &actions() const { return Ran; }
  bool sawRequest(const std::string &RequestId) const;

private:
  struct Work;
  using WorkPtr = std::shared_ptr<Work>;

  bool admitConnection();
  void onRequest(const WireConnectionPtr &C, WireRequest R);
  void take(const WireConnectionPtr &C, WireRequest R);
  void onWork(const WireConnectionPtr &C, WireRequest R, bool Action);
  void onCancel(const WireConnectionPtr &C, const WireRequest &R);
  void onClose(const WireConnectionPtr &C);

  bool refuse(const WireConnectionPtr &C, const WireRequest &R);
  std::optional<Snapshot> chosen(const WireRequest &R) const;
  void startNext();
  void start(const WorkPtr &W);
  void finish(const WorkPtr &W);
  void answer(const WorkPtr &W);
  void runAction(const WorkPtr &W);
  void drop(const WorkPtr &W);
  void crash();
  Duration serviceTime();
  WireReply labelled(const WireRequest &R, int Status);
  std::string servable() const;
  double load() const;
  void remember(const WireRequest &R);
  Result<void> controlVersions(const Json &Orders);
  Result<void> controlConnections(const Json &Orders);

  asio::io_context &Io;
  UpstreamSettings S;
  Random Rng;
  ReplicaFaults Faults;
  ReplicaCounts Counts;
  std::deque<WorkPtr> Waiting;
  std::set<WorkPtr> Running;
  Json Ran = Json::array();
  std::unordered_set<std::uint64_t> Seen;
  WireServer Server;
};

} // namespace shallot::standins

#endif // SHALLOTSHIFT_STANDINS_UPSTREAMREPLICA_H
