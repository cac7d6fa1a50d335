//===- ActionMemory.h - What a daemon remembers of actions ------*- C++ -*-===//
//
// Two bounded tables. ActionMemory is kept by the daemon that may run a key: it
// joins duplicates and replays outcomes. WitnessMemory is kept for other
// daemons' minted keys: intents, fences and outcomes.
//
// Times are this daemon's own clock, which the caller keeps from going back.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_ACTION_ACTIONMEMORY_H
#define SHALLOTSHIFT_ACTION_ACTIONMEMORY_H

#include "action/ActionTypes.h"
#include "action/ExpiringTable.h"

#include "action/ActionKey.h"

#include <optional>

namespace shallot {

/// How long a minted key is remembered after it expired. A caller that asks
/// again within it learns the outcome; later it learns OutcomeUnknown, never
/// "not run".
inline constexpr Duration KeyRetention = Seconds(600);
/// How long the runner of a caller's own key remembers it. After that the claim
/// in the platform speaks alone.
inline constexpr Duration ClaimRetention = Seconds(600);
/// A key whose expiry lies further ahead than any that is minted is a forgery
/// that would hold its place in a table for as long. Clocks may differ by this.
inline constexpr Duration MaxClockSkew = Seconds(60);
/// All kept reply bodies of one table together; further ones are dropped and
/// say so.
inline constexpr std::size_t MaxKeptBytes = 8388608;

/// "tenant\0key": what makes two deliveries the same action.
std::string identityOf(const Tenant &Owner, const std::string &Key);

/// Whether a key that expires at \p Expiry may have been forgotten at \p Now.
bool mayBeForgotten(WallTime Expiry, WallTime Now);

/// Whether a key that expires at \p Expiry cannot have been minted yet.
bool tooFarAhead(WallTime Expiry, WallTime Now);

/// \p O as it may be kept beside \p KeptBytes of others.
ActionOutcome keepable(ActionOutcome O, std::size_t KeptBytes);

/// One key at the daemon that may run it.
struct Remembered {
  enum class Kind : std::uint8_t {
    Running, ///< Never forgotten while it is.
    NotRun,  ///< No upstream ran it, nobody was promised so; it may go on.
    Final,   ///< It ran, or may have, or the caller was told "not run".
  };
  Kind What = Kind::Running;
  std::uint64_t Run = 0; ///< With Running.
  std::string Digest;
  /// Names our claim, so that it is told from one of a run that we forgot.
  std::string Nonce;
  /// Set once the claim is proven to be ours.
  std::optional<std::uint64_t> ClaimVersion;
  ActionOutcome Outcome; ///< With Final.
};

class ActionMemory {
public:
  explicit ActionMemory(std::size_t Limit) : Table(Limit) {}

  Remembered *find(const std::string &Identity) { return Table.find(Identity); }
  Remembered *add(const std::string &Identity, WallTime Until) {
    return Table.add(Identity, Until);
  }
  void settle(const std::string &Identity, ActionOutcome O, WallTime Until);
  void settleNotRun(const std::string &Identity, WallTime Until);
  void remove(const std::string &Identity);
  void forget(WallTime Now);
  std::size_t size() const { return Table.size(); }

private:
  internal::ExpiringTable<Remembered> Table;
  std::size_t KeptBytes = 0;
};

class WitnessMemory {
public:
  explicit WitnessMemory(std::size_t Limit) : Table(Limit) {}

  IntentAnswer onIntent(const RecordIntent &M, WallTime Now);
  void onOutcome(const RecordOutcome &M, WallTime Now);
  FenceAnswer onFence(const FenceKey &M, WallTime Now);
  void forget(WallTime Now);
  std::size_t size() const { return Table.size(); }

private:
  struct Entry {
    enum class Kind : std::uint8_t { Intent, Fenced, Outcome };
    Kind What = Kind::Intent;
    std::string Digest;
    ActionOutcome Outcome;
  };

  internal::ExpiringTable<Entry> Table;
  std::size_t KeptBytes = 0;
};

} // namespace shallot

#endif // SHALLOTSHIFT_ACTION_ACTIONMEMORY_H
