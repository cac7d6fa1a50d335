//===- EntryDirectory.h - Addresses for callers -----------------*- C++ -*-===//
//
// There is no load balancer in front of the fleet. A caller asks any daemon for
// addresses, caches the answer for its validity and connects to them. The
// answer is a pure function of the fleet view, the caller's key, its zone and
// the weights of members, so every daemon with the same view gives the same
// one, also while the platform is down. Only the weights of members that are
// warming up may differ between daemons.
//
//   - Members are ranked by weighted rendezvous hashing. When a member fails,
//     only its own callers move, spread evenly over the remaining members.
//   - Members of the caller's zone rank first, then those of its region, then
//     all others.
//   - If several addresses are returned, they are in at least two zones where
//     possible (the last address is replaced if need be), so that a caller can
//     fail over without asking again when a zone fails.
//   - The validity varies from caller to caller, so that callers do not all ask
//     again at the same time.
//   - Only Alive members and, after them, suspected ones are returned; never
//     one that is Starting, Leaving, Failed or Left.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FLEET_ENTRYDIRECTORY_H
#define SHALLOTSHIFT_FLEET_ENTRYDIRECTORY_H

#include "shallotshift/base.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace shallot {

struct EntryOptions {
  std::size_t Addresses = 3;
  /// The validity of each caller is within a quarter of this. A leaving daemon
  /// keeps serving for the longest validity.
  Duration Validity = Seconds(20);
  /// The weight of a member grows to 1 over this time after it became Alive.
  Duration WarmUp = Seconds(30);
};

/// Returns the longest validity that \p Options allow for any caller.
Duration longestValidity(const EntryOptions &Options);

struct EntryAddress {
  DaemonId Id;
  Endpoint Http;
  AvailabilityZone Zone;
  std::string_view Why; ///< "same zone", "same region", "another region".

  friend bool operator==(const EntryAddress &, const EntryAddress &) = default;
};

struct EntryAnswer {
  std::vector<EntryAddress> Addresses; ///< In order of preference.
  Duration Validity{};
  std::uint64_t ViewNumber = 0;

  friend bool operator==(const EntryAnswer &, const EntryAnswer &) = default;
};

/// The weight of a member from 0 to 1 (Membership::warmUpFraction).
using EntryWeight = std::function<double(const DaemonId &)>;

class EntryDirectory {
public:
  /// Fails with SettingsInvalid when an option is out of its range.
  static Result<EntryDirectory> make(EntryOptions Options);

  /// Returns the addresses for one caller. A caller whose zone is unknown or
  /// empty is spread over the whole fleet. The list is empty when no member
  /// takes new work.
  EntryAnswer answer(const FleetView &View, std::string_view CallerKey,
                     const AvailabilityZone &Zone,
                     const EntryWeight &Weight = {}) const;

  const EntryOptions &options() const { return Options; }

private:
  explicit EntryDirectory(EntryOptions Options) : Options(Options) {}

  EntryOptions Options;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FLEET_ENTRYDIRECTORY_H
