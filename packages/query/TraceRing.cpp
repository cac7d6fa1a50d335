#include "query/TraceRing.h"

#include "shallotshift/model.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace shallot {
namespace {

/// Memory of a trace besides its rows: map node, names and queue entry.
constexpr std::size_t TraceOverheadBytes = 256;

std::uint32_t micros(Duration D) {
  auto Us = std::chrono::duration_cast<Micros>(D).count();
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(Us, 0, UINT32_MAX));
}

std::string pairText(const Snapshot &S) {
  return fmt::format("{}.{}", S.IndexVersion, S.PartitionVersion);
}

bool isSend(TraceKind K) {
  return K == TraceKind::Sent || K == TraceKind::Hedged ||
         K == TraceKind::Retried || K == TraceKind::Reasked;
}

bool hasCode(TraceKind K) {
  return K == TraceKind::Replied || K == TraceKind::NotUsed ||
         K == TraceKind::GaveUp || K == TraceKind::Finished;
}

nlohmann::json toJsonObject(const TraceEvent &E) {
  nlohmann::json J{{"at_ms", toMillisF(E.At)}, {"event", nameOf(E.Kind)}};
  if (!E.Service.empty())
    J["service"] = E.Service.str();
  if (!E.Upstream.empty())
    J["upstream"] = E.Upstream.str();
  if (isSend(E.Kind)) {
    J["why"] = nameOf(E.Why);
    J["expected_ms"] = toMillisF(E.Expected);
    if (!E.Alternative.empty())
      J["over"] = E.Alternative.str();
  }
  if (hasCode(E.Kind)) {
    J["code"] = codeLabel(E.Code);
    J["text"] = infoOf(E.Code).Text;
  }
  if (E.Took > Duration{0})
    J["took_ms"] = toMillisF(E.Took);
  if (E.Pin != Snapshot())
    J["pin"] = pairText(E.Pin);
  if (E.Count > 0)
    J["count"] = E.Count;
  return J;
}

} // namespace

std::string_view nameOf(TraceKind K) {
  switch (K) {
  case TraceKind::PinChosen:
    return "pin_chosen";
  case TraceKind::AskedUnpinned:
    return "asked_unpinned";
  case TraceKind::Sent:
    return "sent";
  case TraceKind::Hedged:
    return "hedged";
  case TraceKind::Retried:
    return "retried";
  case TraceKind::Reasked:
    return "reasked";
  case TraceKind::HedgeDenied:
    return "hedge_denied";
  case TraceKind::RetryDenied:
    return "retry_denied";
  case TraceKind::Replied:
    return "replied";
  case TraceKind::NotUsed:
    return "not_used";
  case TraceKind::Cancelled:
    return "cancelled";
  case TraceKind::Silent:
    return "silent";
  case TraceKind::ReplacedConnection:
    return "replaced_connection";
  case TraceKind::BlamedReplica:
    return "blamed_replica";
  case TraceKind::HeldBack:
    return "held_back";
  case TraceKind::PinVanished:
    return "pin_vanished";
  case TraceKind::Restarted:
    return "restarted";
  case TraceKind::GaveUp:
    return "gave_up";
  case TraceKind::Finished:
    return "finished";
  }
  return "";
}

TraceRing::TraceRing(TraceLimits Limits) : Limits(Limits) {}

TraceRing::NameId TraceRing::internName(const std::string &Name) {
  if (Name.empty())
    return 0;
  auto It = NameIds.find(Name);
  if (It != NameIds.end())
    return It->second;
  if (Names.size() >= Limits.Names)
    return 0;
  auto Number = static_cast<NameId>(Names.size() + 1);
  It = NameIds.emplace(Name, Number).first;
  Names.push_back(&It->first);
  return Number;
}

TraceRing::Row TraceRing::pack(Trace &T, const TraceEvent &E) {
  Row R;
  R.AtNs = E.At.count();
  R.Service = internName(E.Service.str());
  R.Upstream = internName(E.Upstream.str());
  R.Alternative = internName(E.Alternative.str());
  R.Count = E.Count;
  R.TookUs = micros(E.Took);
  R.ExpectedUs = micros(E.Expected);
  R.Code = E.Code;
  R.Kind = E.Kind;
  R.Why = E.Why;
  if (E.Pin != Snapshot()) {
    auto It = std::ranges::find(T.Pins, E.Pin);
    if (It == T.Pins.end())
      It = T.Pins.insert(T.Pins.end(), E.Pin);
    R.PinIndex = static_cast<std::uint32_t>(It - T.Pins.begin() + 1);
  }
  return R;
}

TraceEvent TraceRing::unpack(const Trace &T, const Row &R) const {
  auto NameOf = [&](NameId N) {
    return N == 0 ? std::string() : *Names[N - 1];
  };
  TraceEvent E;
  E.Kind = R.Kind;
  E.At = Duration(R.AtNs);
  E.Service = ServiceName(NameOf(R.Service));
  E.Upstream = UpstreamId(NameOf(R.Upstream));
  E.Alternative = UpstreamId(NameOf(R.Alternative));
  E.Why = R.Why;
  E.Code = R.Code;
  E.Took = Micros(R.TookUs);
  E.Expected = Micros(R.ExpectedUs);
  E.Count = R.Count;
  if (R.PinIndex > 0)
    E.Pin = T.Pins[R.PinIndex - 1];
  return E;
}

void TraceRing::removeTrace(const RequestId &Id) {
  auto It = Traces.find(Id);
  if (It == Traces.end())
    return;
  Bytes -= TraceOverheadBytes + It->second.Rows.size() * sizeof(Row);
  Traces.erase(It);
}

void TraceRing::evictOldest() {
  while (Order.size() > 1 &&
         (Order.size() > Limits.Requests || Bytes > Limits.Bytes)) {
    removeTrace(Order.front());
    Order.pop_front();
  }
}

void TraceRing::begin(const RequestId &Id, const Tenant &Owner,
                      const CallerClass &Class) {
  if (Traces.contains(Id)) {
    removeTrace(Id);
    std::erase(Order, Id);
  }
  Traces.emplace(Id, Trace{Owner, Class, {}, {}, 0});
  Order.push_back(Id);
  Bytes += TraceOverheadBytes;
  evictOldest();
}

void TraceRing::add(const RequestId &Id, const TraceEvent &Event) {
  auto It = Traces.find(Id);
  if (It == Traces.end())
    return;
  Trace &T = It->second;
  if (T.Rows.size() >= Limits.EventsPerRequest) {
    ++T.Dropped;
    return;
  }
  T.Rows.push_back(pack(T, Event));
  Bytes += sizeof(Row);
  evictOldest();
}

std::vector<TraceEvent> TraceRing::events(const RequestId &Id) const {
  std::vector<TraceEvent> Out;
  auto It = Traces.find(Id);
  if (It != Traces.end())
    for (const Row &R : It->second.Rows)
      Out.push_back(unpack(It->second, R));
  return Out;
}

Result<std::string> TraceRing::toJson(const RequestId &Id) const {
  auto It = Traces.find(Id);
  if (It == Traces.end())
    return fail(ResultCode::UnknownRequest,
                fmt::format("request '{}' is not among the last {} traces of "
                            "this daemon; ask the daemon that answered it",
                            Id.str(), Traces.size()));
  const Trace &T = It->second;
  nlohmann::json J{{"request", Id.str()},
                   {"tenant", T.Owner.str()},
                   {"class", T.Class.str()},
                   {"events", nlohmann::json::array()}};
  for (const Row &R : T.Rows)
    J["events"].push_back(toJsonObject(unpack(T, R)));
  if (T.Dropped > 0)
    J["events_not_kept"] = T.Dropped;
  return canonicalJson(J);
}

} // namespace shallot
