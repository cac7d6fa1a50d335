//===- RouteAdmission.h - Admission of requests by route --------*- C++ -*-===//
//
// Limits how many requests start while callers send several times the usual
// traffic. A query over ten shards needs all of them. When each shard rejects
// one send in three, hardly any query is complete, the work that replicas did
// for the others is wasted, and callers that retry at once add to the load. A
// query is therefore started only while its shards have capacity; the rest is
// refused before anything is sent, with a Retry-After time.
//
// Routes that have services in common share the capacity of these: they form a
// group with one Admission (package limits). Within a group the most urgent
// requests start first. The capacity of a group is estimated from the queue
// lengths that replicas report (LoadSample::Queued) and from sends that a full
// replica rejected. Both indicate overload only; latency does not, since it
// also rises with a pause or a slow replica.
//
// Inside a group and a class of requests, organisations share the capacity by
// their weights (limits/FairQueue.h).
//
// A configuration may move routes to other services. A group's estimate is kept
// with its routes.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FORWARD_ROUTEADMISSION_H
#define SHALLOTSHIFT_FORWARD_ROUTEADMISSION_H

#include "forward/Route.h"
#include "shallotshift/limits.h"

#include <memory>
#include <unordered_map>

namespace shallot {

class RouteAdmission {
public:
  void install(const ServingConfig &C);

  /// Returns Start, Wait, or Refuse with a code that proves "not run" and a
  /// Retry-After time. \p R is a route of the installed configuration, and
  /// \p Priority its own or that of one of the organisations; with another
  /// route or priority, refuses with RouteChanged.
  AdmissionDecision offer(const Route &R, unsigned Priority, TicketId Id,
                          Instant Deadline, Instant Now,
                          const FairClaim &Claim = {});
  /// A started request was answered, or waits for stragglers only.
  void done(TicketId Id, const LoadSample &S, Instant Now);
  /// The caller closed its connection, or the request was dropped.
  void cancel(TicketId Id);
  /// Returns starts and refusals that are due. Call it after done(), cancel()
  /// and install(), and at nextExpiry().
  AdmissionEvents poll(Instant Now);
  std::optional<Instant> nextExpiry() const;

  /// The state of the group of \p R.
  AdmissionReport report(const Route &R) const;
  /// Work started and requests refused since the last call, by organisation.
  /// Empty if the configuration has no organisations.
  OrganisationTally &tally() { return Tally; }
  /// Numbers of waiting requests by organisation, over all groups.
  std::map<Tenant, std::size_t> waiting() const;

private:
  using GroupPtr = std::shared_ptr<Admission>;
  using GroupMap = std::unordered_map<std::string, GroupPtr>;

  struct Ticket {
    GroupPtr Group;
    Tenant Organisation;
    double Cost = 0;
  };

  void count(AdmissionAction What, const Tenant &Organisation, double Cost);
  GroupPtr existingGroup(const GroupMap &Before,
                         const std::vector<const Route *> &Routes) const;

  GroupMap ByRoute; ///< Keyed by route name.
  /// Each group of ByRoute once, and removed groups that have waiting requests.
  std::vector<GroupPtr> Groups;
  /// The group of each admitted or waiting request; it may have been removed
  /// from Groups.
  std::unordered_map<TicketId, Ticket> Tickets;
  bool HasOrganisations = false;
  OrganisationTally Tally;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FORWARD_ROUTEADMISSION_H
