// The second half of ConfigSync: validating, installing and announcing.
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

/// Builds the configuration of \p H from its blobs. Groups that have not
/// changed since \p Before are copied instead of parsed again.
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

/// Appends \p Count members chosen at random from \p From to \p To.
void appendRandom(std::vector<DaemonId> From, std::size_t Count, Random &Rng,
                  std::vector<DaemonId> &To) {
  for (std::size_t I = 0; I < Count && I < From.size(); ++I) {
    std::swap(From[I], From[I + below(Rng, From.size() - I)]);
    To.push_back(From[I]);
  }
}

} // namespace

// Validation.

void ConfigSync::fetched(std::uint64_t Ticket, const ConfigParts &Parts,
                         Instant Now) {
  if (!ActiveFetch || ActiveFetch->Ticket != Ticket)
    return fetchedLate(Ticket, Parts, Now);
  ConfigSource From = ActiveFetch->From;
  ActiveFetch.reset();
  evaluate(Parts, From, Now);
  fetchIfNeeded(Now);
}

/// Accepts a reply that arrives after the fetch timeout. On a slow link every
/// reply may be late. If they were discarded, each retry would cost the link
/// the same bytes again, and the daemon would keep its old configuration
/// forever. Generation and hashes prove what a reply is worth at any time; one
/// that is not newer says nothing about the current state of its sender.
void ConfigSync::fetchedLate(std::uint64_t Ticket, const ConfigParts &Parts,
                             Instant Now) {
  auto Late = TimedOut.extract(Ticket);
  if (Late.empty())
    return;
  Attempt<Head> H = attempt([&] { return decodeHead(Parts.HeadJson); });
  if (!H)
    return reject(0, Late.mapped(), H.error());
  if ((*H)->Generation > generation())
    evaluateNewer(*H, Parts, Late.mapped(), Now);
  fetchIfNeeded(Now);
}

void ConfigSync::evaluate(const ConfigParts &Parts, const ConfigSource &From,
                          Instant Now) {
  Attempt<Head> H = attempt([&] { return decodeHead(Parts.HeadJson); });
  if (!H) {
    reject(0, From, H.error());
    return failed(From, Now);
  }
  std::uint64_t Generation = (*H)->Generation;
  updateClaim(From, Generation);
  noteGeneration(From, Generation, Now);
  if (Generation > generation())
    return evaluateNewer(*H, Parts, From, Now);
  if (Generation == generation())
    return evaluateSame(Parts, From, Now);
  reject(Generation, From,
         {ResultCode::StaleGeneration,
          fmt::format("received generation {}, but {} is in force", Generation,
                      generation())});
  failed(From, Now);
}

void ConfigSync::evaluateSame(const ConfigParts &Parts,
                              const ConfigSource &From, Instant Now) {
  if (Parts.HeadJson != HeadJson) {
    reject(generation(), From,
           {ResultCode::ContentMismatch,
            fmt::format("different head with generation {}", generation())});
    return failed(From, Now);
  }
  addConfirmation(From);
  if (behind())
    return failed(From, Now);
  succeeded();
}

void ConfigSync::evaluateNewer(const Head &H, const ConfigParts &Parts,
                               const ConfigSource &From, Instant Now) {
  std::size_t Added = storeBlobs(H, Parts, From);
  BlobMap All = collectBlobs(H);
  if (All.empty()) {
    // Large configurations arrive in several replies. As long as each adds
    // something, the rest is requested at once.
    if (Added == 0)
      failed(From, Now);
    return;
  }
  Attempt<ConfigPtr> C = attempt([&] { return assemble(H, Current, All); });
  if (C)
    return install(*C, Parts.HeadJson, std::move(All), From, Now);
  rejectInvalid(H, Parts.HeadJson, From, C.error());
  failed(From, Now);
}

std::size_t ConfigSync::storeBlobs(const Head &H, const ConfigParts &Parts,
                                   const ConfigSource &From) {
  BlobMap Kept;
  std::size_t Added = 0;
  forEachHash(H, [&](const std::string &Hash) {
    if (auto Old = PendingBlobs.find(Hash); Old != PendingBlobs.end())
      Kept.insert(*Old);
    auto New = Parts.Blobs.find(Hash);
    if (New == Parts.Blobs.end() || Kept.contains(Hash))
      return;
    // A truncated or mixed-up blob would put a configuration in force that
    // nobody wrote. Blobs are named by their hash, which detects it.
    if (contentHash(New->second) != Hash)
      return reject(H->Generation, From,
                    {ResultCode::ContentMismatch, "blob " + Hash});
    Kept[Hash] = std::make_shared<const std::string>(New->second);
    ++Added;
  });
  PendingBlobs = std::move(Kept);
  return Added;
}

/// Returns all blobs that \p H names, or none if any is missing.
ConfigSync::BlobMap ConfigSync::collectBlobs(const Head &H) const {
  BlobMap All;
  bool Whole = true;
  forEachHash(H, [&](const std::string &Hash) {
    if (auto It = ActiveBlobs.find(Hash); It != ActiveBlobs.end())
      All.insert(*It);
    else if (auto New = PendingBlobs.find(Hash); New != PendingBlobs.end())
      All.insert(*New);
    else
      Whole = false;
  });
  return Whole ? All : BlobMap{};
}

void ConfigSync::install(ConfigPtr C, std::string Json, BlobMap All,
                         const ConfigSource &From, Instant Now) {
  Current = std::move(C);
  HeadJson = std::move(Json);
  ActiveBlobs = std::move(All);
  PendingBlobs.clear();
  PlatformHead.clear();
  Status.Since = Now;
  Status.Source = From;
  ++Status.Installs;
  Confirming.clear();
  PlatformConfirms = PlatformClaim == generation();
  for (const auto &[Peer, Claim] : PeersAhead)
    if (Claim == generation())
      addConfirmation({ConfigSource::Kind::Peer, Peer});
  std::erase_if(PeersAhead, [&](const auto &Claim) {
    return Claim.second <= generation();
  });
  addConfirmation(From);
  succeeded();
  NextTry = Now;
  Out.emplace_back(InstalledConfig{Current, From});
  announce();
}

void ConfigSync::rejectInvalid(const Head &H, const std::string &Json,
                               const ConfigSource &From, Error Why) {
  std::string Hash = contentHash(Json);
  // One peer may have corrupted its head. If the platform, or a second peer
  // with the same bytes, has it too, the change itself is invalid. From then on
  // it is ignored, so that it blocks neither readiness nor later changes.
  if (From.From != ConfigSource::Kind::Peer || InvalidHeadHash == Hash)
    InvalidGeneration = H->Generation;
  if (InvalidHeadHash != Hash)
    reject(H->Generation, From, std::move(Why));
  InvalidHeadHash = Hash;
}

void ConfigSync::reject(std::uint64_t Generation, const ConfigSource &From,
                        Error Why) {
  ++Status.Rejections;
  Status.LastRejection = Why;
  Out.push_back(RejectedConfig{Generation, From, std::move(Why)});
}

// Announcement and replies to peers.

void ConfigSync::announce() {
  std::vector<DaemonId> SameZone;
  std::vector<DaemonId> OtherZone;
  for (const Member &M : Members) {
    if (M.Id == Self || !reachable(M) || Confirming.contains(M.Id))
      continue;
    (M.Zone == Zone ? SameZone : OtherZone).push_back(M.Id);
  }
  AnnounceTo A{generation(), {}};
  appendRandom(std::move(SameZone), Options.SameZoneFanout, Rng, A.Peers);
  appendRandom(std::move(OtherZone), Options.OtherZoneFanout, Rng, A.Peers);
  if (!A.Peers.empty())
    Out.push_back(std::move(A));
}

std::vector<std::string> ConfigSync::have() const {
  std::vector<std::string> Hashes;
  for (const BlobMap *Map : {&ActiveBlobs, &PendingBlobs})
    for (const auto &[Hash, Bytes] : *Map)
      if (Hashes.size() < MaxHaveHashes)
        Hashes.push_back(Hash);
  std::ranges::sort(Hashes);
  return Hashes;
}

Result<ConfigParts> ConfigSync::serve(const std::vector<std::string> &Have,
                                      std::uint64_t MinGeneration) const {
  if (!Current)
    return fail(ResultCode::NoConfiguration, "no configuration installed yet");
  if (generation() < MinGeneration)
    return fail(ResultCode::StaleGeneration,
                fmt::format("generation {} requested, but {} is in force here",
                            MinGeneration, generation()));
  std::set<std::string_view> Known(Have.begin(), Have.end());
  ConfigParts Parts{HeadJson, {}};
  std::size_t Bytes = 0;
  for (const auto &[Hash, Content] : ActiveBlobs) {
    if (Known.contains(Hash) || Bytes >= MaxConfigReplyBytes)
      continue;
    Bytes += Content->size();
    Parts.Blobs[Hash] = *Content;
  }
  return Parts;
}

} // namespace shallot
