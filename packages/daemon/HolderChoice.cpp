#include "daemon/HolderChoice.h"

#include <algorithm>

namespace shallot {
namespace {

/// The most pairs of upstream and peer that are remembered. A daemon relays to
/// the holders of what it is asked for; far more than that is forgotten whole.
constexpr std::size_t MaxRemembered = 65536;

} // namespace

HolderChoice::Rank HolderChoice::rankOf(const Wish &W, const Holder &H,
                                        Instant Now) const {
  if (H.Daemon->Id == W.Self) {
    double Load = double(W.Mine.InWork + W.Mine.Waiting) / W.Mine.Slots;
    return {false, Load, 0};
  }
  int Far = H.Daemon->Zone == W.Near ? 1 : 2;
  auto At = Peers.find({W.Id, H.Daemon->Id});
  if (At == Peers.end())
    return {false, 0, Far};
  const Seen &S = At->second;
  unsigned Queue = Now - S.At < QueueReportAge ? S.Queue : 0;
  double Load = double(S.Outstanding + Queue) / H.Slots;
  return {S.RefusedUntil > Now, Load, Far};
}

const Holder *HolderChoice::choose(const Wish &W, Instant Now) const {
  const Holder *Best = nullptr;
  Rank BestRank;
  for (const Holder &H : W.Holders) {
    bool Unusable = H.Daemon->Id == W.Self && W.Mine.Slots == 0;
    bool Tried = std::ranges::find(W.Tried, H.Daemon->Id) != W.Tried.end();
    if (H.Slots == 0 || Unusable || Tried)
      continue;
    Rank R = rankOf(W, H, Now);
    if (Best && R >= BestRank)
      continue;
    Best = &H;
    BestRank = R;
  }
  return Best;
}

void HolderChoice::onRelayed(const UpstreamId &Id, const DaemonId &To) {
  if (Peers.size() >= MaxRemembered)
    std::erase_if(Peers,
                  [](const auto &P) { return P.second.Outstanding == 0; });
  ++Peers[{Id, To}].Outstanding;
}

void HolderChoice::onRelayEnded(const UpstreamId &Id, const DaemonId &To,
                                std::optional<unsigned> Queue, Instant Now) {
  auto At = Peers.find({Id, To});
  if (At == Peers.end())
    return;
  Seen &S = At->second;
  if (S.Outstanding > 0)
    --S.Outstanding;
  if (Queue) {
    S.Queue = *Queue;
    S.At = Now;
  }
}

void HolderChoice::onRefused(const UpstreamId &Id, const DaemonId &To,
                             Instant Now) {
  Peers[{Id, To}].RefusedUntil = Now + RefusalAge;
}

} // namespace shallot
