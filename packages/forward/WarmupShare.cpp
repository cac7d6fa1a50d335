//===- WarmupShare.cpp - Owners of cold replicas --------------------------===//
#include "forward/WarmupShare.h"

#include <algorithm>

namespace shallot {

namespace {

/// The entry host with the highest hash among those that satisfy \p Matches.
template <typename Predicate>
const WarmupSender *highestHash(const WarmupSenders &S, const UpstreamId &Id,
                                Predicate Matches) {
  const WarmupSender *Best = nullptr;
  std::uint64_t BestHash = 0;
  for (const WarmupSender &Sender : S.EntryHosts) {
    if (!Matches(Sender))
      continue;
    std::uint64_t Hash = hash64(Sender.Host.str(), hash64(Id.str()));
    if (Best && Hash <= BestHash)
      continue;
    Best = &Sender;
    BestHash = Hash;
  }
  return Best;
}

} // namespace

bool ownsWarmup(const WarmupSenders &S, const UpstreamId &Id,
                const Region &Reg) {
  const WarmupSender *Owner = highestHash(
      S, Id, [&](const WarmupSender &Sender) { return Sender.Reg == Reg; });
  if (!Owner)
    Owner = highestHash(S, Id, [](const WarmupSender &) { return true; });
  return Owner && Owner->Host == S.Self;
}

double warmupRate(double Tolerated, const WarmupBound &Bound) {
  // Each owner may send one request at once in addition to its rate.
  double FleetRate = Tolerated * Bound.Overage + Bound.Slack - MaxOwners;
  return std::clamp(FleetRate / MaxOwners, 0.0, Tolerated);
}

Duration warmupReturnDelay(const HostId &Self, const UpstreamId &Id) {
  std::uint64_t Hash = hash64(Self.str(), hash64(Id.str()));
  auto Spread = static_cast<std::uint64_t>(WarmupReturnSpread.count());
  return Duration(static_cast<std::int64_t>(Hash % Spread));
}

} // namespace shallot
