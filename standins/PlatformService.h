//===- PlatformService.h - The platform's HTTP interface --------*- C++ -*-===//
//
// Objects, watches and hosts as docs/PLATFORM.md gives them, counted call by
// call, with the faults that the platform is known for: down, slow, a reply
// lost after the write took effect, a request lost before it, a rate limit, a
// lagging list of hosts. POST /control sets faults; GET /control/counters reads
// the counts; neither is itself counted, delayed or lost.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_STANDINS_PLATFORMSERVICE_H
#define SHALLOTSHIFT_STANDINS_PLATFORMSERVICE_H

#include "standins/PlatformHosts.h"
#include "standins/PlatformStore.h"
#include "standins/Wire.h"

#include <list>

namespace shallot::standins {

/// The longest that a watch waits, in milliseconds, whatever it asks for.
inline constexpr std::uint64_t MaxWatchWaitMs = 60000;

struct PlatformFaults {
  bool Down = false;        ///< Connections are dropped without a reply.
  bool Unavailable = false; ///< Every call is answered with 503.
  unsigned SlowMs = 0;      ///< Added to every reply.
  unsigned LoseWriteReplies = 0;
  unsigned LoseWriteRequests = 0;
  unsigned HostsLagMs = 0;
  unsigned MaxWritesPerSecond = 0; ///< 0: no limit.
  unsigned MaxReadsPerSecond = 0;  ///< A watch counts as one.
};

struct PlatformCounters {
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Deletes = 0;
  std::uint64_t Watches = 0;
  std::uint64_t HostReads = 0;
  std::uint64_t HostWatches = 0;
  std::uint64_t WatchesWaiting = 0;
  std::uint64_t WatchesWaitingMax = 0;
  std::uint64_t WatchesFired = 0;
  std::uint64_t Conflicts = 0;
  std::uint64_t TooLarge = 0;
  std::uint64_t Throttled = 0;
  std::uint64_t LostReplies = 0;
  std::uint64_t LostRequests = 0;
  std::uint64_t RefusedDown = 0;
  std::uint64_t BytesIn = 0;
  std::uint64_t BytesOut = 0;

  std::uint64_t calls() const;
};

class PlatformService {
public:
  PlatformService(asio::io_context &Io, const Endpoint &At);

  Result<void> listen() { return Server.listen(); }
  PlatformHosts &hosts() { return Hosts; }
  const PlatformCounters &counters() const { return Counts; }

private:
  struct Watch;
  using WatchPtr = std::shared_ptr<Watch>;
  /// Which second a rate is counted in, and how many calls it had.
  struct RateWindow {
    std::int64_t Second = -1;
    unsigned Calls = 0;
    bool admits(unsigned Limit);
  };

  void onRequest(const WireConnectionPtr &C, const WireRequest &R);
  bool refused(const WireConnectionPtr &C, const WireRequest &R);
  void onControl(const WireConnectionPtr &C, const WireRequest &R);
  Result<void> control(const Json &Orders);
  Result<void> controlHosts(const Json &Orders);
  Json countersJson() const;

  void readObject(const WireConnectionPtr &C, const WireRequest &R,
                  const std::string &Path);
  std::optional<WriteCondition> takeWrite(const WireConnectionPtr &C,
                                          const WireRequest &R);
  void writeObject(const WireConnectionPtr &C, const WireRequest &R,
                   const std::string &Path);
  void removeObject(const WireConnectionPtr &C, const WireRequest &R,
                    const std::string &Path);
  void readHosts(const WireConnectionPtr &C, const WireRequest &R);
  void answerWrite(const WireConnectionPtr &C, WriteOutcome Outcome,
                   std::uint64_t Version);

  void wait(const WireConnectionPtr &C, const WireRequest &R,
            const std::string &Key, std::uint64_t After);
  void fire(const std::string &Key);
  void endWatch(const WatchPtr &W, const WireReply &Reply);
  void dropWatches();
  /// What a reader of \p Key gets now, if it is newer than \p After.
  std::optional<WireReply> newer(const std::string &Key,
                                 std::uint64_t After) const;

  void reply(const WireConnectionPtr &C, WireReply Reply);

  asio::io_context &Io;
  PlatformStore Store;
  PlatformHosts Hosts;
  PlatformFaults Faults;
  PlatformCounters Counts;
  RateWindow WriteRate;
  RateWindow ReadRate;
  std::list<WatchPtr> Watches;
  WireServer Server;
};

} // namespace shallot::standins

#endif // SHALLOTSHIFT_STANDINS_PLATFORMSERVICE_H
