#include "action/ActionKey.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace shallot {

namespace {

constexpr std::string_view NoWitness = "-";
constexpr std::size_t CheckDigits = 8;

std::string checkOf(std::string_view Text) {
  return contentHash(Text).substr(0, CheckDigits);
}

/// Cuts what follows the last dot off \p Text and returns it.
std::string_view cutLast(std::string_view &Text) {
  std::size_t Dot = Text.rfind('.');
  if (Dot == std::string_view::npos)
    return {};
  std::string_view Last = Text.substr(Dot + 1);
  Text = Text.substr(0, Dot);
  return Last;
}

leaf::error_id damaged() {
  return fail(ResultCode::BadName,
              "Idempotency-Key: begins with 'st1.' but is not a whole key of "
              "this system; send it exactly as POST /v1/action-keys gave it");
}

/// The position of the dot between minter and witness. A host name may have
/// dots, but after '@' come hexadecimal digits only.
std::size_t splitPoint(std::string_view Names) {
  std::size_t At = Names.find('@');
  return At == std::string_view::npos ? At : Names.find('.', At);
}

bool isPrintable(char C) { return C > ' ' && C <= '~'; }

} // namespace

ActionKey ActionKey::mint(const DaemonId &Minter,
                          const std::optional<DaemonId> &Witness,
                          WallTime Expiry, Random &Rng) {
  ActionKey K;
  K.IsMinted = true;
  K.Minter = Minter;
  K.Witness = Witness;
  K.Expiry = Expiry;
  std::string Seen = Witness ? Witness->str() : std::string(NoWitness);
  std::string Text = fmt::format("{}{}.{}.{}.{:016x}", MintedPrefix,
                                 Minter.str(), Seen, Expiry, Rng());
  K.Text = Text + "." + checkOf(Text);
  return K;
}

Result<ActionKey> ActionKey::parse(std::string_view Text) {
  if (Text.empty())
    return fail(ResultCode::MissingIdempotencyKey,
                "Idempotency-Key: missing; send one of your own or one from "
                "POST /v1/action-keys");
  if (Text.size() > MaxKeyBytes || !std::ranges::all_of(Text, isPrintable))
    return fail(ResultCode::BadName,
                fmt::format("Idempotency-Key: must be 1 to {} printable ASCII "
                            "characters without spaces",
                            MaxKeyBytes));
  ActionKey K;
  K.Text = Text;
  if (!Text.starts_with(MintedPrefix))
    return K;
  std::string_view Rest = Text;
  std::string_view Check = cutLast(Rest);
  if (Check != checkOf(Rest))
    return damaged();
  cutLast(Rest); // The nonce.
  std::string_view Expiry = cutLast(Rest);
  auto [End, Bad] =
      std::from_chars(Expiry.data(), Expiry.data() + Expiry.size(), K.Expiry);
  if (Bad != std::errc() || End != Expiry.data() + Expiry.size())
    return damaged();
  std::string_view Names = Rest.substr(MintedPrefix.size());
  std::size_t Dot = splitPoint(Names);
  if (Dot == std::string_view::npos)
    return damaged();
  BOOST_LEAF_ASSIGN(K.Minter, DaemonId::parse(Names.substr(0, Dot)));
  std::string_view Witness = Names.substr(Dot + 1);
  if (Witness != NoWitness) {
    BOOST_LEAF_ASSIGN(K.Witness, DaemonId::parse(Witness));
  }
  K.IsMinted = true;
  return K;
}

std::optional<DaemonId> chooseWitness(const FleetView &Fleet,
                                      const DaemonId &Minter,
                                      std::uint64_t Salt) {
  AvailabilityZone Home;
  for (const Member &M : Fleet.Members)
    if (M.Id == Minter)
      Home = M.Zone;
  std::string Key = std::to_string(Salt);
  const Member *Best = nullptr;
  std::pair<bool, std::uint64_t> BestRank;
  for (const Member &M : Fleet.Members) {
    if (M.State != MemberState::Alive || M.Id.Host == Minter.Host)
      continue;
    std::pair Rank(M.Zone != Home, rendezvousWeight(Key, M.Id.Host.str()));
    if (Best && Rank <= BestRank)
      continue;
    Best = &M;
    BestRank = Rank;
  }
  if (!Best)
    return std::nullopt;
  return Best->Id;
}

} // namespace shallot
