//===- QuotaWorld.h - A few quota agents whose fate is chosen ---*- C++ -*-===//
//
// A copyable world of few QuotaAgents for the model checker: time passes in
// steps, and nothing is random. What goes wrong, and when, is an Event that the
// caller chooses; a sequence of events replays exactly.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_TESTS_QUOTAWORLD_H
#define SHALLOTSHIFT_TESTS_QUOTAWORLD_H

#include "shallotshift/limits.h"

#include <optional>
#include <string>
#include <vector>

namespace shallot::test {

/// The safeguards of the bound; each can be taken out.
struct QuotaSafeguards {
  QuotaPolicy Policy;
  /// A daemon that hears from nobody stops to grant.
  bool StopsWhenCutOff = true;
  /// A daemon that was not the owner has nothing to release.
  bool ReleasesEmpty = true;
  /// A release tells the tokens that are still at daemons.
  bool ReservesReleased = true;
};

struct QuotaWorldOptions {
  std::size_t Daemons = 3;
  std::size_t Zones = 3;
  Quota Limit{6, 8};
  /// The least slack with which a standby grants a token at once.
  QuotaTolerance Tolerated{Seconds(3), 0, 6};
  /// A request arrives at each daemon every second, so that it keeps tokens.
  bool Trickle = true;
  QuotaSafeguards Safeguards;
};

enum class QuotaEventKind : std::uint8_t {
  None,
  Kill,       ///< Ends without notice.
  Start,      ///< A killed daemon starts again.
  Restart,    ///< Ends and starts again before the others notice.
  RestartAll, ///< All lose power and start again.
  CutOff,     ///< Reaches no other daemon.
  Split,      ///< Daemon Who and the next but one reach only each other.
  Doubt,      ///< The others take it for failed; it learns so ViewLag later.
  Heal,       ///< All reach each other again.
  Lose,       ///< Quota messages from it are lost for EventPeriod.
  Delay,      ///< Quota messages from it take EventPeriod longer.
  Burst,      ///< BurstSize requests arrive at it.
  Flood,      ///< From now on requests arrive everywhere without end.
};

struct QuotaEvent {
  QuotaEventKind Kind = QuotaEventKind::None;
  std::size_t Who = 0;
  /// Bit N: daemon N learns of it ViewLag later than it could.
  unsigned Late = 0;
};

class QuotaWorld {
public:
  /// Events can take place once in this time.
  static constexpr Duration EventPeriod = Seconds(1);

  /// All daemons run and agree, and the bucket is full.
  explicit QuotaWorld(const QuotaWorldOptions &O);
  /// Lets time pass until the fleet is calm again.
  void calm();

  /// Whether \p E can take place now.
  bool possible(const QuotaEvent &E) const;
  void perform(const QuotaEvent &E);
  /// Lets EventPeriod pass. Returns false if the last event changed nothing
  /// since no message was under way that it could have touched.
  bool run();

  /// The most requests that started in any window so far.
  std::size_t most() const { return Most; }
  double bound() const;
  bool holds() const { return double(Most) <= bound(); }
  std::string describe(const QuotaEvent &E) const;

private:
  struct News {
    Instant At;
    std::size_t About = 0;
    std::uint64_t Number = 0; ///< Later news have greater ones.
    Member Is;
  };
  struct Daemon {
    std::optional<QuotaAgent> Agent;
    std::uint64_t Incarnation = 0;
    unsigned Side = 0;
    Instant StartedAt;
    Instant HeardAt;
    FleetView View;
    std::vector<News> Pending;
    std::vector<std::uint64_t> Known; ///< Number of the last news of each.
    std::size_t Waiting = 0;
  };
  struct Flight {
    Instant At;
    std::size_t From = 0;
    std::size_t To = 0;
    QuotaMessage Message;
  };

  DaemonId idOf(std::size_t N) const;
  Member member(std::size_t N, bool Reached) const;
  bool reaches(std::size_t A, std::size_t B) const;
  void tell(std::size_t Observer, std::size_t About, bool Reached,
            Duration After, unsigned Late);
  void start(std::size_t N, unsigned Late);
  void kill(std::size_t N, unsigned Late);
  void tellReach(const std::vector<unsigned> &Before, unsigned Late);
  void learn(std::size_t N);
  bool mayGrant(std::size_t N) const;
  void step();
  void deliver();
  void arrive();
  void offer(std::size_t At, Duration MaxWait);
  void send(std::size_t From, const QuotaOutput &Out);
  void countWindow();

  QuotaWorldOptions O;
  Instant Now;
  std::vector<Daemon> Daemons;
  std::vector<Flight> Flights;
  std::vector<std::uint16_t> Starts; ///< In each step.
  std::size_t Most = 0;
  std::uint64_t LastNews = 0;
  TicketId LastTicket = 0;
  bool Flooded = false;
  bool Quiet = false;                                ///< No requests arrive.
  QuotaEventKind Disturbance = QuotaEventKind::None; ///< Lose or Delay.
  std::size_t DisturbedAt = 0;
  bool Touched = true;
};

} // namespace shallot::test

#endif // SHALLOTSHIFT_TESTS_QUOTAWORLD_H
