// ConfigSync machines with a bag of messages: virtual time, delays, losses and
// a platform that can lag or be down. Only the fetches and announcements that
// the machines ask for, no sockets and no membership protocol; what probes
// carry is played by one announcement a machine and period.
#pragma once

#include "ConfigFixture.h"
#include "shallotshift/fleet.h"

#include <queue>

namespace shallot::test {

inline constexpr Duration ProbePeriod = Seconds(1);
inline constexpr Duration TickPeriod = Millis(100);
/// A datagram that only says a generation.
inline constexpr std::uint64_t AnnounceBytes = 300;

struct BagOptions {
  std::size_t Zones = 3;
  std::size_t ZonesPerRegion = 3;
  double Loss = 0.0;
  Duration InRegion = Micros(1500);
  Duration BetweenRegions = Millis(8);
};

class ConfigBag {
public:
  ConfigBag(std::size_t Count, std::uint64_t Seed, BagOptions O = {})
      : Rng(Seed), Options(O) {
    for (std::size_t I = 0; I < Count; ++I) {
      Member M;
      M.Id = {HostId(fmt::format("entry-{:04}", I)), 1};
      M.Zone = AvailabilityZone(fmt::format("zone-{:02}", I % O.Zones));
      M.State = MemberState::Alive;
      View.Members.push_back(M);
      Nodes.push_back({});
    }
    for (std::size_t I = 0; I < Count; ++I) {
      restart(I);
      at(Micros(below(Rng, 100000)), [this, I] { tick(I); });
      at(Micros(below(Rng, 1000000)), [this, I] { probe(I); });
    }
  }

  struct Node {
    std::unique_ptr<Random> Rng;
    std::unique_ptr<ConfigSync> Sync;
    bool Watching = false;
    bool Up = true;
    std::uint64_t Floor = 0; ///< Highest installed by this run.
    Instant InstalledAt{};
  };

  void restart(std::size_t I) {
    Node &N = Nodes[I];
    ++Epoch;
    N.Rng = std::make_unique<Random>(Rng());
    N.Sync = std::make_unique<ConfigSync>(View.Members[I].Id,
                                          View.Members[I].Zone, *N.Rng);
    N.Watching = false;
    N.Floor = 0;
    N.Sync->members(View, Now);
    carryOut(I);
  }

  /// From now on an answer with parts takes as long as its bytes at this rate.
  void setBytesPerSecond(std::uint64_t Rate) { BytesPerSecond = Rate; }

  /// Writes the next configuration to the platform and tells its watchers.
  void change(const std::function<Draft(Draft)> &Edit) {
    ConfigPtr Before = Stored;
    Draft D = Edit(Before ? draftOf(*Before) : Draft{});
    PreparedChange P = good([&] {
      return prepare(Before, D, test::change(fmt::format("c{}", ++Changes)));
    });
    Stored = P.After;
    Old = Head;
    Head = P.HeadJson;
    for (auto &[Hash, Json] : P.NewBlobs)
      Blobs[Hash] = Json;
    for (std::size_t I = 0; I < Nodes.size(); ++I)
      if (Nodes[I].Watching)
        notifyWatcher(I);
  }

  void run(Duration For) {
    Instant End = Now + For;
    while (!Events.empty() && Events.top().At <= End) {
      Event E = Events.top();
      Events.pop();
      Now = E.At;
      E.Run();
    }
    Now = End;
  }

  std::size_t behind() const {
    std::size_t Count = 0;
    for (const Node &N : Nodes)
      Count += N.Up && N.Sync->generation() != Stored->generation();
    return Count;
  }
  std::size_t watchers() const {
    std::size_t Count = 0;
    for (const Node &N : Nodes)
      Count += N.Up && N.Watching;
    return Count;
  }

  std::vector<Node> Nodes;
  FleetView View;
  ConfigPtr Stored;
  bool PlatformUp = true;
  bool PlatformLags = false; ///< Reads give the head before the last.
  std::uint64_t PlatformCalls = 0;
  std::uint64_t Messages = 0;
  std::uint64_t Bytes = 0;
  std::uint64_t Reversions = 0;
  Instant Now{};
  Random Rng;
  /// Changes parts on their way when set.
  std::function<void(ConfigParts &)> Garble;

private:
  struct Event {
    Instant At;
    std::uint64_t Order;
    std::function<void()> Run;
    bool operator<(const Event &O) const {
      return At != O.At ? At > O.At : Order > O.Order;
    }
  };

  void at(Duration After, std::function<void()> Run) {
    Events.push({Now + After, ++LastOrder, std::move(Run)});
  }

  std::size_t indexOf(const DaemonId &Id) const {
    return static_cast<std::size_t>(
        std::ranges::lower_bound(View.Members, Id, {}, &Member::Id) -
        View.Members.begin());
  }

  Duration hop(std::size_t A, std::size_t B) {
    auto RegionOf = [&](std::size_t I) {
      return I % Options.Zones / Options.ZonesPerRegion;
    };
    Duration Base =
        RegionOf(A) == RegionOf(B) ? Options.InRegion : Options.BetweenRegions;
    return Base + Micros(below(Rng, 1000));
  }
  Duration transferTime(std::uint64_t Size) const {
    return BytesPerSecond ? Micros(Size * 1000000 / BytesPerSecond)
                          : Duration(0);
  }
  bool lost() { return uniform01(Rng) < Options.Loss; }

  void send(std::size_t From, std::size_t To, std::uint64_t Size,
            std::function<void()> Run) {
    ++Messages;
    Bytes += Size;
    if (lost())
      return;
    at(hop(From, To), [this, To, Run = std::move(Run)] {
      if (!Nodes[To].Up)
        return;
      Run();
      carryOut(To);
    });
  }

  void announce(std::size_t From, std::size_t To) {
    std::uint64_t G = Nodes[From].Sync->generation();
    DaemonId Who = View.Members[From].Id;
    send(From, To, AnnounceBytes,
         [this, To, Who, G] { Nodes[To].Sync->announced(Who, G, Now); });
  }

  void probe(std::size_t I) {
    at(ProbePeriod, [this, I] { probe(I); });
    if (!Nodes[I].Up)
      return;
    std::size_t To = below(Rng, Nodes.size());
    announce(I, To);
    if (Nodes[To].Up)
      announce(To, I);
  }

  void tick(std::size_t I) {
    at(TickPeriod, [this, I] { tick(I); });
    if (!Nodes[I].Up)
      return;
    Nodes[I].Sync->tick(Now);
    carryOut(I);
  }

  void notifyWatcher(std::size_t I) {
    ++PlatformCalls;
    at(Millis(3), [this, I, Json = Head] {
      if (!PlatformUp || !Nodes[I].Up || !Nodes[I].Watching)
        return;
      Nodes[I].Sync->watched(Json, Now);
      carryOut(I);
    });
  }

  void carryOut(std::size_t I) {
    for (ConfigCommand &C : Nodes[I].Sync->take())
      std::visit([&](auto &What) { act(I, What); }, C);
  }

  void act(std::size_t I, const FetchFromPeer &F) {
    std::size_t To = indexOf(F.From);
    std::uint64_t Run = Epoch;
    auto Fail = [this, I, T = F.Ticket](const Error &Why) {
      Nodes[I].Sync->fetchFailed(T, Why, Now);
    };
    send(I, To, 64 + 40 * F.Have.size(), [this, I, To, F, Fail, Run] {
      auto Parts = attempt(
          [&] { return Nodes[To].Sync->serve(F.Have, F.MinGeneration); });
      if (!Parts)
        return send(To, I, 64, [Fail, E = Parts.error()] { Fail(E); });
      std::uint64_t Size = Parts->HeadJson.size();
      for (auto &[Hash, Json] : Parts->Blobs)
        Size += Hash.size() + Json.size();
      if (Garble)
        Garble(*Parts);
      at(transferTime(Size),
         [this, I, To, Size, T = F.Ticket, P = *Parts, Run] {
           send(To, I, Size, [this, I, T, P, Run] {
             if (Run <= Epoch)
               Nodes[I].Sync->fetched(T, P, Now);
           });
         });
    });
  }

  void act(std::size_t I, const FetchFromPlatform &F) {
    PlatformCalls += F.KnownHead.empty() ? 1 : 0;
    if (!PlatformUp)
      return at(Millis(500), [this, I, T = F.Ticket] {
        Nodes[I].Sync->fetchFailed(T, {ResultCode::PlatformDown, "down"}, Now);
        carryOut(I);
      });
    ConfigParts P;
    P.HeadJson = !F.KnownHead.empty() ? F.KnownHead : PlatformLags ? Old : Head;
    if (!P.HeadJson.empty()) {
      class Head H = good([&] { return decodeHead(P.HeadJson); });
      std::set<std::string> Have(F.Have.begin(), F.Have.end());
      auto Add = [&](const auto &Map) {
        for (auto &[Key, Hash] : Map)
          if (!Have.contains(Hash) && !P.Blobs.contains(Hash)) {
            ++PlatformCalls;
            P.Blobs[Hash] = Blobs[Hash];
          }
      };
      Add(H->Groups);
      Add(H->Presets);
    }
    at(Millis(5), [this, I, T = F.Ticket, P] {
      if (P.HeadJson.empty())
        Nodes[I].Sync->platformEmpty(T, Now);
      else
        Nodes[I].Sync->fetched(T, P, Now);
      carryOut(I);
    });
  }

  void act(std::size_t I, const StartWatch &) { Nodes[I].Watching = true; }
  void act(std::size_t I, const StopWatch &) { Nodes[I].Watching = false; }
  void act(std::size_t I, const AnnounceTo &A) {
    for (const DaemonId &Id : A.Peers)
      announce(I, indexOf(Id));
  }
  void act(std::size_t I, const InstalledConfig &C) {
    Node &N = Nodes[I];
    Reversions += C.Installed->generation() <= N.Floor;
    N.Floor = C.Installed->generation();
    N.InstalledAt = Now;
  }
  void act(std::size_t, const RejectedConfig &) {}

  BagOptions Options;
  std::uint64_t BytesPerSecond = 0; ///< 0: without limit.
  std::priority_queue<Event> Events;
  std::uint64_t LastOrder = 0;
  std::uint64_t Epoch = 0;
  std::uint64_t Changes = 0;
  std::string Head;
  std::string Old;
  std::map<std::string, std::string> Blobs;
};

/// Puts "peak" or "ordinary" in force in turns.
inline Draft switched(Draft D) {
  PresetName Next(D.PresetInForce.str() == "peak" ? "ordinary" : "peak");
  return good([&] { return withPresetInForce(std::move(D), Next); });
}

} // namespace shallot::test
