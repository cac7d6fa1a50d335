//===- ActionKey.h - Identity of an action ----------------------*- C++ -*-===//
//
// A key that this system minted names the one daemon incarnation that may run
// it (the minter), the one that has to know beforehand (the witness) and when
// it expires:
//
//   st1.HOST@INC.HOST@INC.EXPIRY_MS.NONCE.CHECK
//
// Any other key is the caller's own. The form alone decides which of the two
// paths a key takes, so that one identity never has two.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_ACTION_ACTIONKEY_H
#define SHALLOTSHIFT_ACTION_ACTIONKEY_H

#include "shallotshift/base.h"

#include <optional>
#include <string>

namespace shallot {

/// How every minted key begins, and no caller's own key may.
inline constexpr std::string_view MintedPrefix = "st1.";
/// The longest key. Two of the longest host names fit into a minted one.
inline constexpr std::size_t MaxKeyBytes = 320;
/// How long a minted key is valid unless the caller asks for less. It bounds
/// how long the minter and the witness have to remember it.
inline constexpr Duration DefaultKeyValidity = Seconds(120);
inline constexpr Duration MaxKeyValidity = Seconds(600);

class ActionKey {
public:
  /// Mints a key. \p Witness is nothing when no other daemon is alive; then the
  /// loss of the minter leaves the outcome unknown.
  static ActionKey mint(const DaemonId &Minter,
                        const std::optional<DaemonId> &Witness, WallTime Expiry,
                        Random &Rng);

  /// Reads what a caller sent. Fails with MissingIdempotencyKey when empty and
  /// with BadName when too long, not printable ASCII, or a minted key that is
  /// damaged: a truncated ticket must not become somebody's own key.
  static Result<ActionKey> parse(std::string_view Text);

  const std::string &str() const { return Text; }
  bool minted() const { return IsMinted; }
  /// The following are set for minted keys only.
  const DaemonId &minter() const { return Minter; }
  const std::optional<DaemonId> &witness() const { return Witness; }
  WallTime expiry() const { return Expiry; }

  friend bool operator==(const ActionKey &, const ActionKey &) = default;

private:
  ActionKey() = default;

  std::string Text;
  bool IsMinted = false;
  DaemonId Minter;
  std::optional<DaemonId> Witness;
  WallTime Expiry = 0;
};

/// The witness for a new key of \p Minter: an Alive member, in another
/// availability zone if there is one (a zone that goes must not take both),
/// spread by \p Salt. Nothing when the minter is alone.
std::optional<DaemonId> chooseWitness(const FleetView &Fleet,
                                      const DaemonId &Minter,
                                      std::uint64_t Salt);

} // namespace shallot

#endif // SHALLOTSHIFT_ACTION_ACTIONKEY_H
