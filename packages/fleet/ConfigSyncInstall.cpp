// The second half of ConfigSync: judging what came, installing it and passing
// it on.
#include "fleet/ConfigSync.h"

#include <algorithm>
#include <fmt/format.h>

namespace shallot {

namespace {

template <typename Visit> void forEachHash(const Head &H, Visit &&V) {
  for (const auto &[Key, Hash] : H->Groups)
    V(Hash);
  for (const auto &[Key, Hash] : H->Presets)
    V(Hash);
}

/// Puts \p H together from its blobs. Groups that have not changed since
/// \p Before are copied instead of parsed again.
Result<ConfigPtr>
assemble(const Head &H, const ConfigPtr &Before,
         const std::map<std::string, std::shared_ptr<const std::string>> &All) {
  std::map<std::string, const Group *> Known;
  if (Before)
    for (const Group &G : Before->groups())
      Known[G->Owner.str() + "/" + G->Name.str()] = &G;
  std::vector<Group> Groups;
  for (const auto &[Key, Hash] : H->Groups) {
    auto Old = Known.find(Key);
    if (Old != Known.end() && Before->head()->Groups.at(Key) == Hash) {
      Groups.push_back(*Old->second);
      continue;
    }
    BOOST_LEAF_AUTO(G, decodeGroup(*All.at(Hash)));
    Groups.push_back(std::move(G));
  }
  std::vector<Preset> Presets;
  for (const auto &[Key, Hash] : H->Presets) {
    BOOST_LEAF_AUTO(P, decodePreset(*All.at(Hash)));
    Presets.push_back(std::move(P));
  }
  return Config::make(H, std::move(Groups), std::move(Presets));
}

/// \p Count members drawn from \p From.
void draw(std::vector<DaemonId> From, std::size_t Count, Random &Rng,
          std::vector<DaemonId> &To) {
  for (std::size_t I = 0; I < Count && I < From.size(); ++I) {
    std::swap(From[I], From[I + below(Rng, From.size() - I)]);
    To.push_back(From[I]);
  }
}

} // namespace

// Judging what came.

void ConfigSync::fetched(std::uint64_t Ticket, const ConfigParts &Parts,
                         Instant Now) {
  if (!Running || Running->Ticket != Ticket)
    return fetchedLate(Ticket, Parts, Now);
  ConfigSource From = Running->From;
  Running.reset();
  consider(Parts, From, Now);
  pursue(Now);
}

/// The failure: on a slow link no answer comes in its time. Thrown away, each
/// one costs the link as much as the next, and the daemon keeps its old
/// configuration for good. Generation and hashes say what an answer is worth,
/// whenever it comes; one that is not newer says nothing about its sender now.
void ConfigSync::fetchedLate(std::uint64_t Ticket, const ConfigParts &Parts,
                             Instant Now) {
  auto Late = GivenUp.extract(Ticket);
  if (Late.empty())
    return;
  Attempt<Head> H = attempt([&] { return decodeHead(Parts.HeadJson); });
  if (!H)
    return reject(0, Late.mapped(), H.error());
  if ((*H)->Generation > generation())
    considerNewer(*H, Parts, Late.mapped(), Now);
  pursue(Now);
}

void ConfigSync::consider(const ConfigParts &Parts, const ConfigSource &From,
                          Instant Now) {
  Attempt<Head> H = attempt([&] { return decodeHead(Parts.HeadJson); });
  if (!H) {
    reject(0, From, H.error());
    return failed(From, Now);
  }
  std::uint64_t Generation = (*H)->Generation;
  correctClaim(From, Generation);
  heard(From, Generation, Now);
  if (Generation > generation())
    return considerNewer(*H, Parts, From, Now);
  if (Generation == generation())
    return considerSame(Parts, From, Now);
  reject(Generation, From,
         {ResultCode::StaleGeneration,
          fmt::format("generation {} was offered, {} is in force", Generation,
                      generation())});
  failed(From, Now);
}

void ConfigSync::considerSame(const ConfigParts &Parts,
                              const ConfigSource &From, Instant Now) {
  if (Parts.HeadJson != HeadJson) {
    reject(generation(), From,
           {ResultCode::ContentMismatch,
            fmt::format("another head has generation {} too", generation())});
    return failed(From, Now);
  }
  agree(From);
  if (behind())
    return failed(From, Now);
  succeeded();
}

void ConfigSync::considerNewer(const Head &H, const ConfigParts &Parts,
                               const ConfigSource &From, Instant Now) {
  std::size_t Gained = absorb(H, Parts, From);
  BlobMap All = gather(H);
  if (All.empty()) {
    // Large answers come in pieces: as long as each brings something, the rest
    // is asked for at once.
    if (Gained == 0)
      failed(From, Now);
    return;
  }
  Attempt<ConfigPtr> C = attempt([&] { return assemble(H, InForce, All); });
  if (C)
    return install(*C, Parts.HeadJson, std::move(All), From, Now);
  invalid(H, Parts.HeadJson, From, C.error());
  failed(From, Now);
}

std::size_t ConfigSync::absorb(const Head &H, const ConfigParts &Parts,
                               const ConfigSource &From) {
  BlobMap Kept;
  std::size_t Gained = 0;
  forEachHash(H, [&](const std::string &Hash) {
    if (auto Old = Pending.find(Hash); Old != Pending.end())
      Kept.insert(*Old);
    auto New = Parts.Blobs.find(Hash);
    if (New == Parts.Blobs.end() || Kept.contains(Hash))
      return;
    // A blob cut short or mixed up on its way would put a configuration in
    // force that nobody wrote; its name is its hash, so it shows.
    if (contentHash(New->second) != Hash)
      return reject(H->Generation, From,
                    {ResultCode::ContentMismatch, "blob " + Hash});
    Kept[Hash] = std::make_shared<const std::string>(New->second);
    ++Gained;
  });
  Pending = std::move(Kept);
  return Gained;
}

/// Every blob that \p H names, or none when one is missing.
ConfigSync::BlobMap ConfigSync::gather(const Head &H) const {
  BlobMap All;
  bool Whole = true;
  forEachHash(H, [&](const std::string &Hash) {
    if (auto It = Held.find(Hash); It != Held.end())
      All.insert(*It);
    else if (auto New = Pending.find(Hash); New != Pending.end())
      All.insert(*New);
    else
      Whole = false;
  });
  return Whole ? All : BlobMap{};
}

void ConfigSync::install(ConfigPtr C, std::string Json, BlobMap All,
                         const ConfigSource &From, Instant Now) {
  InForce = std::move(C);
  HeadJson = std::move(Json);
  Held = std::move(All);
  Pending.clear();
  PlatformHead.clear();
  Stat.Since = Now;
  Stat.Source = From;
  ++Stat.Installs;
  Agreeing.clear();
  PlatformAgrees = PlatformClaim == generation();
  for (const auto &[Peer, Claim] : Ahead)
    if (Claim == generation())
      agree({ConfigSource::Kind::Peer, Peer});
  std::erase_if(
      Ahead, [&](const auto &Claim) { return Claim.second <= generation(); });
  agree(From);
  succeeded();
  NextTry = Now;
  Out.emplace_back(InstalledConfig{InForce, From});
  announce();
}

void ConfigSync::invalid(const Head &H, const std::string &Json,
                         const ConfigSource &From, Error Why) {
  std::string Hash = contentHash(Json);
  // One peer may have garbled its head; the platform, or a second peer with
  // the same bytes, means that the change itself is broken. From then on it
  // counts as not there, so that it holds up neither readiness nor later
  // changes.
  if (From.From != ConfigSource::Kind::Peer || SuspectHead == Hash)
    InvalidGeneration = H->Generation;
  if (SuspectHead != Hash)
    reject(H->Generation, From, std::move(Why));
  SuspectHead = Hash;
}

void ConfigSync::reject(std::uint64_t Generation, const ConfigSource &From,
                        Error Why) {
  ++Stat.Rejections;
  Stat.LastRejection = Why;
  Out.push_back(RejectedConfig{Generation, From, std::move(Why)});
}

// Passing on.

void ConfigSync::announce() {
  std::vector<DaemonId> Near;
  std::vector<DaemonId> Far;
  for (const Member &M : Members) {
    if (M.Id == Self || !reachable(M) || Agreeing.contains(M.Id))
      continue;
    (M.Zone == Zone ? Near : Far).push_back(M.Id);
  }
  AnnounceTo A{generation(), {}};
  draw(std::move(Near), Rules.NearFanout, Rng, A.Peers);
  draw(std::move(Far), Rules.FarFanout, Rng, A.Peers);
  if (!A.Peers.empty())
    Out.push_back(std::move(A));
}

std::vector<std::string> ConfigSync::have() const {
  std::vector<std::string> Hashes;
  for (const BlobMap *Map : {&Held, &Pending})
    for (const auto &[Hash, Bytes] : *Map)
      if (Hashes.size() < MaxHaveHashes)
        Hashes.push_back(Hash);
  std::ranges::sort(Hashes);
  return Hashes;
}

Result<ConfigParts> ConfigSync::serve(const std::vector<std::string> &Have,
                                      std::uint64_t MinGeneration) const {
  if (!InForce)
    return fail(ResultCode::NoConfiguration, "this daemon has none yet");
  if (generation() < MinGeneration)
    return fail(ResultCode::StaleGeneration,
                fmt::format("generation {} asked for, {} is in force here",
                            MinGeneration, generation()));
  std::set<std::string_view> Known(Have.begin(), Have.end());
  ConfigParts Parts{HeadJson, {}};
  std::size_t Bytes = 0;
  for (const auto &[Hash, Content] : Held) {
    if (Known.contains(Hash) || Bytes >= MaxConfigReplyBytes)
      continue;
    Bytes += Content->size();
    Parts.Blobs[Hash] = *Content;
  }
  return Parts;
}

} // namespace shallot
