#include "fleet/Lifecycle.h"

#include <algorithm>
#include <fmt/format.h>

namespace shallot {
namespace {

/// Returns why a daemon with these facts is not ready; empty if it is.
std::string notReadyReason(const LifecycleFacts &F, unsigned ConfirmingPeers) {
  bool Heard = F.PlatformAnswered || F.PeersHeard > 0;
  if (!F.ConfigInstalled && !Heard)
    return "neither the platform nor any peer has answered";
  if (!F.ConfigInstalled)
    return "no configuration is installed yet";
  if (F.PeerIsAhead)
    return "a peer has a newer configuration than the installed one";
  if (!F.ViewSettled)
    return fmt::format("the picture of the fleet has not settled ({} of {} "
                       "peers answered)",
                       F.PeersHeard, F.PeersKnown);
  if (F.PlatformConfirms)
    return {};
  if (F.PeersKnown == 0)
    return "the platform has not confirmed the configuration and no peer is "
           "known";
  std::size_t Needed = std::min<std::size_t>(ConfirmingPeers, F.PeersKnown);
  if (F.PeersConfirm < Needed)
    return fmt::format("the configuration is confirmed by {} peers, {} are "
                       "needed while the platform does not answer",
                       F.PeersConfirm, Needed);
  return {};
}

MemberState memberStateFor(Phase P) {
  switch (P) {
  case Phase::Starting:
    return MemberState::Starting;
  case Phase::Ready:
    return MemberState::Alive;
  case Phase::Leaving:
  case Phase::Draining:
    return MemberState::Leaving;
  case Phase::Gone:
    return MemberState::Left;
  }
  return MemberState::Left;
}

} // namespace

std::string_view phaseName(Phase P) {
  switch (P) {
  case Phase::Starting:
    return "starting";
  case Phase::Ready:
    return "ready";
  case Phase::Leaving:
    return "leaving";
  case Phase::Draining:
    return "draining";
  case Phase::Gone:
    return "gone";
  }
  return "";
}

Result<Lifecycle> Lifecycle::make(LifecycleOptions Options) {
  if (Options.EntryValidity < Duration(0) || Options.LeaveMargin < Duration(0))
    return fail(ResultCode::SettingsInvalid,
                "stop: the validity and the margin cannot be negative");
  if (Options.DrainLimit <= MaxDeadline)
    return fail(ResultCode::SettingsInvalid,
                fmt::format("stop: the drain limit is {} ms; it must exceed "
                            "the longest deadline of a request, {} ms",
                            toMillis(Options.DrainLimit),
                            toMillis(MaxDeadline)));
  return Lifecycle(Options);
}

Lifecycle::Lifecycle(LifecycleOptions Options)
    : Options(Options), Why("daemon started") {}

LifecycleOutput Lifecycle::onTick(const LifecycleFacts &Facts, Instant Now) {
  Phase Before = P;
  if (P == Phase::Starting)
    tickStarting(Facts);
  else if (Stop)
    tickStopping(Facts, Now);
  return output(Before);
}

/// A daemon that was never ready was never handed out to callers, so it skips
/// Leaving.
LifecycleOutput Lifecycle::requestStop(Instant Now) {
  Phase Before = P;
  if (P == Phase::Starting) {
    beginStop(Duration(0), Now);
    enter(Phase::Draining, "stopped before it was ready");
  } else if (P == Phase::Ready) {
    beginStop(Options.EntryValidity + Options.LeaveMargin, Now);
    enter(Phase::Leaving, "planned stop");
  } else if (P == Phase::Leaving) {
    beginStop(Duration(0), Now);
    enter(Phase::Draining, "asked to stop a second time");
  }
  return output(Before);
}

Instant Lifecycle::latestEnd(Instant Now) const {
  return Now + Options.EntryValidity + Options.LeaveMargin + Options.DrainLimit;
}

/// Accepts requests for \p Serving. All are answered by their deadlines, and
/// none of these is later than the end, because DrainLimit exceeds MaxDeadline.
void Lifecycle::beginStop(Duration Serving, Instant Now) {
  StopTimes T;
  T.ServeAtLeast = T.ServeUntil = Now + Serving;
  T.AnswerUntil = T.ServeUntil + MaxDeadline;
  T.End = T.ServeUntil + Options.DrainLimit;
  Stop.emplace(attempt([&] { return StopPlan::make(T); }).value());
}

void Lifecycle::tickStarting(const LifecycleFacts &Facts) {
  std::string Reason = notReadyReason(Facts, Options.ConfirmingPeers);
  if (!Reason.empty()) {
    Why = std::move(Reason);
    return;
  }
  enter(Phase::Ready,
        Facts.PlatformConfirms
            ? std::string("configuration confirmed by the platform")
            : fmt::format("configuration confirmed by {} of {} peers",
                          Facts.PeersConfirm, Facts.PeersKnown));
}

void Lifecycle::tickStopping(const LifecycleFacts &Facts, Instant Now) {
  StopPhase Step = Stop->advance({Facts.InFlight, 0, 0}, Now);
  if (P == Phase::Leaving && Step != StopPhase::Serving)
    enter(Phase::Draining,
          fmt::format("all cached entry addresses have expired; {} requests "
                      "in flight",
                      Facts.InFlight));
  if (P != Phase::Draining || Step != StopPhase::Gone)
    return;
  if (Facts.InFlight == 0)
    return enter(Phase::Gone, "all requests have finished");
  enter(Phase::Gone, fmt::format("{} requests did not finish within {} ms",
                                 Facts.InFlight, toMillis(Options.DrainLimit)));
}

void Lifecycle::enter(Phase Next, std::string Reason) {
  P = Next;
  Why = std::move(Reason);
}

LifecycleOutput Lifecycle::output(Phase Before) const {
  LifecycleOutput Out;
  Out.Changed = P != Before;
  Out.Now = P;
  Out.Declare = memberStateFor(P);
  Out.AcceptConnections = P < Phase::Draining;
  Out.TakeRequests = P == Phase::Ready || P == Phase::Leaving;
  Out.CloseAfterReply = P >= Phase::Leaving;
  Out.Exit = P == Phase::Gone;
  Out.Why = Why;
  return Out;
}

} // namespace shallot
