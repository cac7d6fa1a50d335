//===- FairQueue.h - Waiting requests, fair to organisations ----*- C++ -*-===//
//
// The waiting requests of one class, divided between organisations by
// start-time fair queueing. A request's tag is the virtual time at which its
// organisation is due: the cost that the organisation was served, divided by
// its weight. The lowest tag starts first, and the highest one is refused
// first. Requests of one organisation start in order of arrival.
//
// An organisation that did not wait is due now (level()): it earns nothing for
// room that it left unused, and others may use that room. Cost is charged only
// while requests wait or have waited within ContentionMemory, so that the use
// of idle room is never held against anybody.
//
// Requests that came back when they were told (PromisedPlaces.h) start before
// all others. They are charged as well.
//
// With a single organisation, or with none, this is a queue in order of
// arrival.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_LIMITS_FAIRQUEUE_H
#define SHALLOTSHIFT_LIMITS_FAIRQUEUE_H

#include "limits/AdmissionDecision.h"
#include "limits/OrganisationWeight.h"
#include "limits/StartRate.h"

#include <map>
#include <unordered_map>

namespace shallot {

/// Whose request it is, and how much work it makes. The default is a request
/// without an organisation; all of these share one place.
struct FairClaim {
  Tenant Organisation;
  double Weight = 1; ///< Above 0.
  double Cost = 1;   ///< Above 0, in any unit that all requests share.
  /// Equal for all tries of a caller's request; 0: unknown.
  std::uint64_t Key = 0;

  friend bool operator==(const FairClaim &, const FairClaim &) = default;
};

namespace internal {

/// How long use is still charged after the last request waited. Overload with
/// short queues has moments without a waiting request.
inline constexpr Duration ContentionMemory = Seconds(1);

class FairQueue {
public:
  struct Waiter {
    TicketId Id = 0;
    Instant Expires;         ///< Latest time to start.
    bool ByDeadline = false; ///< Expires by its deadline, not by QueueWait.
    double Cost = 1;
    std::uint64_t Key = 0;
    Instant Deadline;
    bool Promised = false; ///< Came back when it was told.
  };
  struct Account {
    Tenant Organisation;
    double Weight = 1;
    double Served = 0; ///< Cost by weight. Below level() if it did not wait.
    double WaitingCost = 0;
    std::map<std::uint64_t, Waiter> Waiting; ///< By arrival.
    StartRate Rate;
  };
  /// A waiting request; never of an account without one.
  struct Place {
    Account *In = nullptr;
    std::uint64_t Arrival = 0;

    const Waiter &waiter() const { return In->Waiting.at(Arrival); }
    FairClaim claim() const {
      return {In->Organisation, In->Weight, waiter().Cost, waiter().Key};
    }
  };

  std::size_t size() const { return Waiting; }
  bool empty() const { return Waiting == 0; }
  /// Organisations that have a waiting request.
  std::size_t organisations() const { return Backlogged.size(); }
  void addWaiting(std::map<Tenant, std::size_t> &Counts) const {
    for (const Account *A : Backlogged)
      Counts[A->Organisation] += A->Waiting.size();
  }

  /// How many of the waiting requests came back when they were told.
  std::size_t promised() const { return PromisedOrder.size(); }
  /// The organisation's part of \p PerSecond starts of this queue.
  double shareOf(const FairClaim &C, double PerSecond, Instant Now) const;
  /// How many waiting requests start before one that is offered now.
  std::size_t ahead(const FairClaim &C) const;
  /// How long a request that is offered now would wait behind those of its own
  /// organisation, at the rate at which these start. 0 if none of these wait,
  /// there is only one organisation, or the rate is unknown.
  Duration ownWait(const FairClaim &C, Instant Now) const;

  Place push(const FairClaim &C, std::uint64_t Arrival, const Waiter &W,
             Instant Now);
  /// Removes a waiting request, which is charged nothing.
  Waiter remove(Place At, Instant Now);
  /// Removes next(), which starts, and charges it.
  Waiter startNext(Instant Now);
  /// Charges a request that starts without having waited.
  void startedAtOnce(const FairClaim &C, Instant Now);
  /// Charges \p Times the cost of a request beyond its own cost.
  void charge(const FairClaim &C, double Times, Instant Now);

  /// The request to start next, and the one to refuse first. The queue is not
  /// empty.
  Place next() const;
  Place last() const;

  /// The virtual time of an organisation that is exactly at its share.
  double level() const { return Level; }

private:
  bool onlyOwnWaits(const Account *Own) const;
  static std::uint64_t newest(const Account &A);
  static double tagOfNewest(const Account &A);
  double startTag(const Account *A) const;
  bool contended(Instant Now) const;
  const Account *find(const Tenant &Organisation) const;
  Account &account(const FairClaim &C);
  void sweep();

  std::unordered_map<Tenant, Account> Accounts;
  std::vector<Account *> Backlogged;
  std::map<std::uint64_t, Account *> PromisedOrder; ///< By arrival.
  std::size_t Waiting = 0;
  std::size_t SweepAt = 0;
  double Level = 0;
  bool EverWaited = false;
  Instant LastWaiting; ///< When the queue was last seen with a request.
};

} // namespace internal
} // namespace shallot

#endif // SHALLOTSHIFT_LIMITS_FAIRQUEUE_H
