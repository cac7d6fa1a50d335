#include "fleet/EntryDirectory.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace shallot {
namespace {

/// The validity of a caller varies by this fraction around the base.
constexpr double ValiditySpread = 0.25;

/// The weight of a member that has just become Alive. Above zero, so that a
/// fleet of new members still serves and the score stays finite.
constexpr double MinWeight = 0.01;

constexpr std::size_t MaxAddresses = 8;

/// Maps 53 bits of \p Hash to the open interval (0, 1).
double toUnitInterval(std::uint64_t Hash) {
  return (static_cast<double>(Hash >> 11) + 0.5) * 0x1p-53;
}

enum class Proximity : std::uint8_t { Zone, Region, Far };

std::string_view reasonFor(Proximity N) {
  switch (N) {
  case Proximity::Zone:
    return "same zone";
  case Proximity::Region:
    return "same region";
  case Proximity::Far:
    return "another region";
  }
  return "";
}

struct Candidate {
  const Member *Who = nullptr;
  Proximity Distance = Proximity::Far;
  double Score = 0; ///< Lower is better.

  /// Orders by suspicion, then by proximity, then by rendezvous score.
  auto rank() const {
    return std::tuple(Who->State == MemberState::Suspect, Distance, Score);
  }
};

/// The region of a zone, taken from any member seen there, including Failed
/// ones, so that a zone without live members still has a region.
const Region *regionOf(const FleetView &View, const AvailabilityZone &Zone) {
  if (Zone.empty())
    return nullptr;
  for (const Member &M : View.Members)
    if (M.Zone == Zone)
      return &M.Reg;
  return nullptr;
}

double weightOf(const EntryWeight &Weight, const DaemonId &Id) {
  return Weight ? std::clamp(Weight(Id), MinWeight, 1.0) : 1.0;
}

Proximity proximityOf(const Member &M, const AvailabilityZone &Zone,
                      const Region *Reg) {
  if (M.Zone == Zone)
    return Proximity::Zone;
  return Reg && M.Reg == *Reg ? Proximity::Region : Proximity::Far;
}

/// Scores every member that takes new work by weighted rendezvous hashing.
/// Only a share of the callers equal to the mean weight of their zone prefers
/// that zone. When a whole zone comes back at once, weights within it do not
/// tell its members apart, and all of its callers would be sent to cold members
/// at the same time.
std::vector<Candidate> candidates(const FleetView &View, std::uint64_t KeyHash,
                                  const AvailabilityZone &Zone,
                                  const EntryWeight &Weight) {
  const Region *Reg = regionOf(View, Zone);
  std::vector<Candidate> Found;
  Found.reserve(View.Members.size());
  double ZoneWeight = 0;
  std::size_t InZone = 0;
  for (const Member &M : View.Members) {
    if (!takesNewWork(M))
      continue;
    double W = weightOf(Weight, M.Id);
    Candidate C{&M, proximityOf(M, Zone, Reg)};
    C.Score = -std::log(toUnitInterval(hash64(M.Id.Host.str(), KeyHash))) / W;
    InZone += C.Distance == Proximity::Zone;
    ZoneWeight += C.Distance == Proximity::Zone ? W : 0;
    Found.push_back(C);
  }
  bool ZoneIsWarm =
      InZone == 0 || toUnitInterval(hash64(Zone.str(), KeyHash)) <=
                         ZoneWeight / static_cast<double>(InZone);
  for (Candidate &C : Found)
    if (!ZoneIsWarm && C.Distance == Proximity::Zone)
      C.Distance = Proximity::Region;
  return Found;
}

/// Sorts the best candidates into the first \p Places. If all of these are in
/// one zone, the best candidate of any other zone takes the last place.
void moveBestToFront(std::vector<Candidate> &All, std::size_t Places) {
  auto Last = All.begin() + static_cast<std::ptrdiff_t>(Places);
  std::ranges::partial_sort(All, Last, {}, &Candidate::rank);
  if (Places < 2)
    return;
  auto InOtherZone = [&](const Candidate &C) {
    return C.Who->Zone != All.front().Who->Zone;
  };
  if (std::any_of(All.begin(), Last, InOtherZone))
    return;
  auto Rest = std::partition(Last, All.end(), InOtherZone);
  auto Best = std::ranges::min_element(Last, Rest, {}, &Candidate::rank);
  if (Best != Rest)
    std::iter_swap(Last - 1, Best);
}

} // namespace

Duration longestValidity(const EntryOptions &Options) {
  return fromMillisF(toMillisF(Options.Validity) * (1 + ValiditySpread));
}

Result<EntryDirectory> EntryDirectory::make(EntryOptions Options) {
  if (Options.Addresses < 1 || Options.Addresses > MaxAddresses)
    return fail(ResultCode::SettingsInvalid,
                fmt::format("entry: {} addresses, allowed are 1 to {}",
                            Options.Addresses, MaxAddresses));
  if (Options.Validity < Seconds(1) || Options.Validity > Seconds(3600))
    return fail(ResultCode::SettingsInvalid,
                fmt::format("entry: validity {} ms, allowed are 1 s to 1 h",
                            toMillis(Options.Validity)));
  return EntryDirectory(Options);
}

EntryAnswer EntryDirectory::answer(const FleetView &View,
                                   std::string_view CallerKey,
                                   const AvailabilityZone &Zone,
                                   const EntryWeight &Weight) const {
  std::uint64_t KeyHash = hash64(CallerKey);
  std::vector<Candidate> Sorted = candidates(View, KeyHash, Zone, Weight);
  std::size_t Places = std::min(Options.Addresses, Sorted.size());
  moveBestToFront(Sorted, Places);
  EntryAnswer A;
  A.ViewNumber = View.Number;
  double Jitter = 2 * toUnitInterval(hash64("validity", KeyHash)) - 1;
  A.Validity =
      fromMillisF(toMillisF(Options.Validity) * (1 + ValiditySpread * Jitter));
  for (std::size_t N = 0; N < Places; ++N) {
    const Member &M = *Sorted[N].Who;
    A.Addresses.push_back(
        {M.Id, M.Http, M.Zone, reasonFor(Sorted[N].Distance)});
  }
  return A;
}

} // namespace shallot
