//===- QuotaFleet.h - Quota agents in virtual time --------------*- C++ -*-===//
//
// A fleet of QuotaAgents without I/O: messages take time, are lost and come
// twice, daemons learn of a change at different times, are killed, start again
// and are cut off. Records when requests start and checks the bound of the
// quota in every window.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_TESTS_QUOTAFLEET_H
#define SHALLOTSHIFT_TESTS_QUOTAFLEET_H

#include "VirtualTime.h"
#include "shallotshift/limits.h"
#include "shallotshift/peer.h"

#include <map>
#include <optional>
#include <vector>

namespace shallot::test {

struct QuotaFleetOptions {
  std::size_t Daemons = 12;
  std::size_t Regions = 3;
  Quota Limit{40, 40};
  QuotaTolerance Tolerated{Seconds(5), 0.1, 20};
  double LossRate = 0.01;
  double DuplicateRate = 0.01;
  /// The longest time in which a daemon learns of a change.
  Duration ViewDelay = Seconds(2);
  /// How long a request waits for a token.
  Duration MaxWait = Millis(75);
  std::uint64_t Seed = 1;
};

class QuotaFleet {
public:
  explicit QuotaFleet(QuotaFleetOptions O);

  /// Lets time pass; requests arrive at \p Rate per second, each at one of
  /// \p At, chosen at random.
  void run(Duration For, double Rate, const std::vector<std::size_t> &At);
  void kill(std::size_t Daemon);
  /// The daemon has a configuration \p Configuration after its start, and gets
  /// no requests before that.
  void start(std::size_t Daemon, Duration Configuration = Duration(0));
  /// All but \p Left lose power.
  void killAllBut(const std::vector<std::size_t> &Left);
  /// All that do not run start within 400 ms and have a configuration 800 to
  /// 1,300 ms after that.
  void startAll();
  /// The daemon gets a later incarnation without a restart.
  void rejoin(std::size_t Daemon);
  /// Cuts \p Daemons off from the others.
  void cutOff(const std::vector<std::size_t> &Daemons);
  void heal();
  /// The daemon that owns the organisation in the view of \p Daemon.
  std::size_t ownerSeenBy(std::size_t Daemon) const;

  std::size_t offered() const { return Offers.size(); }
  std::size_t started() const { return Starts.size(); }
  std::size_t refused() const { return Refused; }
  /// Refusals without an answer of an owner.
  std::size_t unknown() const { return Unknown; }
  /// When a daemon first had its configuration after the last startAll().
  Instant configuredAt() const { return ConfiguredAt; }
  /// Requests that arrived, and that started, in the time \p For after
  /// \p From.
  std::size_t offeredIn(Instant From, Duration For) const;
  std::size_t startedIn(Instant From, Duration For) const;
  /// The most starts in any window.
  std::size_t mostInWindow() const;
  /// The most that the quota allows there.
  double bound() const;
  /// Messages between daemons, and their bytes as datagrams.
  std::size_t sent() const { return Sent; }
  std::size_t sentBytes() const { return SentBytes; }
  void resetCounts();

  static const Tenant &name();

private:
  struct Daemon {
    std::optional<QuotaAgent> Agent;
    std::uint64_t Incarnation = 0;
    int Side = 0;
    Instant HeardAt; ///< From another daemon.
    Instant StartedAt;
    Instant ConfiguredAt;
    Instant StartsAt = Instant::max();
    bool Configured = false;
    FleetView View;
    std::multimap<Instant, std::size_t> Pending; ///< Daemons to look at again.
  };
  struct Flight {
    std::size_t From = 0;
    std::size_t To = 0;
    std::uint64_t ToIncarnation = 0;
    QuotaMessage Message;
  };

  DaemonId idOf(std::size_t N) const;
  Member seen(std::size_t Observer, std::size_t N) const;
  void announce(std::size_t Changed, Duration Least);
  void updateViews();
  void updateRuns(std::size_t N);
  void hearOthers();
  void perform(std::size_t From, const QuotaOutput &Out);
  void request(std::size_t At);
  void decided(const AdmissionDecision &Decision);
  bool mayGrant(const Daemon &D) const;

  QuotaFleetOptions O;
  Random Rng;
  Instant Now;
  std::vector<Daemon> Daemons;
  std::multimap<Instant, Flight> Flights;
  Instant ConfiguredAt;
  std::vector<Instant> Offers;
  std::vector<Instant> Starts;
  std::size_t Refused = 0;
  std::size_t Unknown = 0;
  std::size_t Sent = 0;
  std::size_t SentBytes = 0;
  TicketId LastTicket = 0;
  double Owed = 0; ///< Requests that are due.
};

} // namespace shallot::test

#endif // SHALLOTSHIFT_TESTS_QUOTAFLEET_H
