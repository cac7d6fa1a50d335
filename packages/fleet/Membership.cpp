#include "fleet/Membership.h"

#include "fleet/MembershipState.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace shallot {
namespace {

/// Members notified at once of a new state.
constexpr std::size_t NotifiedPeers = 4;
/// A daemon that stops cannot notify more members later, so it notifies more
/// at once.
constexpr std::size_t NotifiedPeersAtEnd = 8;

constexpr auto EventNames = std::to_array<std::string_view>(
    {"member_joined", "member_restarted", "member_ended", "member_suspected",
     "member_refuted", "member_failed", "member_recovered", "member_ready",
     "member_leaving", "member_left", "member_forgotten", "self_accused",
     "self_paused", "self_caught_up", "self_superseded", "member_table_full"});

Result<void> checkOptions(const MembershipOptions &O) {
  if (O.MinPeriod < TickPeriod || O.MaxPeriod < O.MinPeriod)
    return fail(ResultCode::SettingsInvalid,
                fmt::format("membership: probe period {} to {} ms must be an "
                            "ascending range of at least {} ms",
                            toMillis(O.MinPeriod), toMillis(O.MaxPeriod),
                            toMillis(TickPeriod)));
  if (O.PauseThreshold < 5 * TickPeriod)
    return fail(ResultCode::SettingsInvalid,
                fmt::format("membership: pause threshold {} ms is below five "
                            "ticks",
                            toMillis(O.PauseThreshold)));
  return {};
}

} // namespace

std::string_view stateName(MemberState S) {
  switch (S) {
  case MemberState::Starting:
    return "starting";
  case MemberState::Alive:
    return "alive";
  case MemberState::Suspect:
    return "suspect";
  case MemberState::Leaving:
    return "leaving";
  case MemberState::Failed:
    return "failed";
  case MemberState::Left:
    return "left";
  }
  return "unknown";
}

std::string_view eventName(MembershipEventKind Kind) {
  return EventNames.at(static_cast<std::size_t>(Kind));
}

bool isWarning(MembershipEventKind Kind) {
  switch (Kind) {
  case MembershipEventKind::Ended:
  case MembershipEventKind::Failed:
  case MembershipEventKind::Accused:
  case MembershipEventKind::Paused:
  case MembershipEventKind::Superseded:
  case MembershipEventKind::TableFull:
    return true;
  default:
    return false;
  }
}

Result<Membership> Membership::make(const MembershipOptions &Options,
                                    Member Self, std::vector<Endpoint> Seeds,
                                    Random &Rng, Instant Now) {
  auto Checked = checkOptions(Options);
  if (!Checked)
    return Checked.error();
  return Membership(std::make_unique<Impl>(Options, std::move(Self),
                                           std::move(Seeds), Rng(), Now));
}

Membership::Membership(std::unique_ptr<Impl> I) : I(std::move(I)) {}
Membership::~Membership() = default;
Membership::Membership(Membership &&) noexcept = default;
Membership &Membership::operator=(Membership &&) noexcept = default;

MembershipOutput Membership::onTick(Instant Now) {
  std::uint64_t Before = I->Table.view().Number;
  I->detectPause(Now);
  if (I->Self.Who.State != MemberState::Left)
    I->tick(Now);
  return I->take(Before);
}

MembershipOutput Membership::onMessage(const GossipMessage &M, Instant Now) {
  std::uint64_t Before = I->Table.view().Number;
  I->detectPause(Now);
  bool Valid = static_cast<bool>(attempt([&] { return checkMessage(M); }));
  if (Valid && I->Self.Who.State != MemberState::Left)
    I->receive(M, Now);
  return I->take(Before);
}

MembershipOutput Membership::onHostList(const std::vector<ListedHost> &Hosts,
                                        Instant Now) {
  std::uint64_t Before = I->Table.view().Number;
  I->detectPause(Now);
  I->applyHostList(Hosts);
  return I->take(Before);
}

void Membership::setSeeds(std::vector<Endpoint> Seeds, Instant Now) {
  I->Seeds = std::move(Seeds);
  I->NextSeed = 0;
  I->NextSeedAt = Now;
}

MembershipOutput Membership::setSelfState(MemberState State, Instant Now) {
  std::uint64_t Before = I->Table.view().Number;
  I->detectPause(Now);
  MemberState Was = I->Self.Who.State;
  if (Was != State && Was != MemberState::Left) {
    I->updateSelf(State, I->Self.Version + 1, Now);
    I->notify(State == MemberState::Left ? NotifiedPeersAtEnd : NotifiedPeers);
  }
  return I->take(Before);
}

MembershipOutput Membership::setSelfLoad(std::uint32_t Load, Instant Now) {
  std::uint64_t Before = I->Table.view().Number;
  I->detectPause(Now);
  if (I->Self.Who.Load != Load && I->Self.Who.State != MemberState::Left) {
    I->Self.Who.Load = Load;
    I->updateSelf(I->Self.Who.State, I->Self.Version + 1, Now);
  }
  return I->take(Before);
}

MembershipOutput Membership::setSelfStoreAccess(
    StoreAccess Access, const std::vector<DaemonId> &First, Instant Now) {
  std::uint64_t Before = I->Table.view().Number;
  I->detectPause(Now);
  if (I->Self.Who.Store != Access && I->Self.Who.State != MemberState::Left) {
    I->Self.Who.Store = Access;
    I->updateSelf(I->Self.Who.State, I->Self.Version + 1, Now);
    I->notify(First);
  }
  return I->take(Before);
}

MembershipOutput Membership::announce(const std::vector<DaemonId> &Peers,
                                      Instant Now) {
  std::uint64_t Before = I->Table.view().Number;
  I->detectPause(Now);
  I->notify(Peers);
  return I->take(Before);
}

void Membership::setConfig(std::uint64_t Generation, std::uint64_t Head) {
  I->ConfigGeneration = Generation;
  I->ConfigHead = Head;
}

void Membership::setRevisions(const StoreRevisions &Read) {
  I->Revisions = Read;
}

const FleetView &Membership::view() const { return I->Table.view(); }
const Member &Membership::self() const { return I->Self.Who; }
bool Membership::mayAct(Instant Now) const {
  return I->refusalReason(Now).empty();
}
std::string Membership::refusalReason(Instant Now) const {
  return I->refusalReason(Now);
}
bool Membership::settled(Instant Now) const { return I->settled(Now); }
Instant Membership::lastJoinAt() const { return I->LastJoinAt; }

Instant Membership::heardAt() const { return I->LastHeardAt; }

std::size_t Membership::peersHeard() const { return I->peersHeard(); }
std::size_t Membership::peersKnown() const { return I->peersKnown(); }
unsigned Membership::localHealth() const { return I->HealthScore; }

std::vector<PeerConfig> Membership::peerConfigs() const {
  std::vector<PeerConfig> Configs;
  for (const auto &[Host, R] : I->Table.records())
    if (internal::isLive(R) && Host != I->Self.Who.Id.Host)
      Configs.push_back({R.Update.Who.Id, R.ConfigGeneration, R.ConfigHead,
                         R.Revisions, R.HeardAt});
  return Configs;
}

double Membership::warmUpFraction(const DaemonId &Who, Duration WarmUp,
                                  Instant Now) const {
  const internal::MemberRecord *R = I->Table.find(Who.Host);
  if (!R || !R->AliveSince || WarmUp <= Duration(0))
    return 1;
  double Share = toMillisF(Now - *R->AliveSince) / toMillisF(WarmUp);
  return std::clamp(Share, 0.0, 1.0);
}

std::size_t Membership::memoryBytes() const {
  constexpr std::size_t TreeNodeBytes = 48; // Links, colour and allocator.
  std::size_t Record =
      sizeof(internal::MemberRecord) + sizeof(HostId) + TreeNodeBytes;
  std::size_t BroadcastEntry = 2 * (2 * sizeof(HostId) + TreeNodeBytes);
  return sizeof(Impl) + I->Table.records().size() * Record +
         I->Table.view().Members.capacity() * sizeof(Member) +
         I->Order.capacity() * sizeof(HostId) +
         I->Broadcasts.size() * BroadcastEntry +
         I->Listed.capacity() * sizeof(ListedHost);
}

} // namespace shallot
