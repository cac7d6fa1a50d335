#include "daemon/Api.h"

#include "daemon/Replies.h"
#include "daemon/Requests.h"

#include <algorithm>
#include <fmt/format.h>

namespace shallot {
namespace {

constexpr std::string_view ExplainPath = "/v1/explain/";
constexpr std::string_view ActionPath = "/v1/action/";
constexpr std::string_view PostPaths[] = {"/v1/search", "/v1/action",
                                          "/v1/action-keys"};

ServerReply problemOf(const Error &E, const RequestId &Id = {}) {
  return problemReply(E.Code, E.Detail, Id.str(),
                      infoOf(E.Code).HttpStatus == 503 ? MinRetryAfter
                                                       : Duration(0));
}

ServerReply plain(std::string Text) {
  ServerReply R;
  R.ContentType = "text/plain; version=0.0.4";
  R.Body = std::move(Text);
  return R;
}

std::size_t liveMembers(const FleetView &V) {
  return std::ranges::count_if(V.Members, takesNewWork);
}

} // namespace

std::string Api::newId() {
  return fmt::format("{}-{:x}-{}", P.Fleet.Self.Host.str(),
                     P.Fleet.Self.Incarnation, ++LastId);
}

void Api::handle(ServerRequest Request, const Responder &Answer) {
  if (Request.Method == "GET")
    return get(Request, Answer);
  if (Request.Method == "POST")
    return post(Request, Answer);
  Answer.reply(problemReply(
      ResultCode::MethodNotAllowed,
      fmt::format("{} {}: use GET or POST", Request.Method, Request.Path)));
}

void Api::get(const ServerRequest &Request, const Responder &Answer) {
  std::string_view Path = Request.Path;
  if (Path == "/livez")
    return Answer.reply(plain("alive\n"));
  if (Path == "/readyz")
    return Answer.reply(ready());
  if (Path == "/metrics")
    return Answer.reply(metrics());
  if (Path == "/v1/entry")
    return Answer.reply(entry(Request));
  if (Path == "/v1/status")
    return Answer.reply(status());
  if (Path == "/v1/members")
    return Answer.reply(membersReply(P.Fleet.View));
  if (Path == "/v1/events")
    return Answer.reply(eventsReply(P.Events.entries()));
  if (Path.starts_with(ExplainPath))
    return explain(Answer, Path.substr(ExplainPath.size()));
  if (Path.starts_with(ActionPath))
    return lookUp(Request, Answer, Path.substr(ActionPath.size()));
  bool WrongMethod = std::ranges::find(PostPaths, Path) != std::end(PostPaths);
  Answer.reply(WrongMethod
                   ? problemReply(ResultCode::MethodNotAllowed,
                                  fmt::format("{} takes POST", Path))
                   : problemReply(ResultCode::UnknownPath,
                                  fmt::format("'{}' is not here", Path)));
}

void Api::post(const ServerRequest &Request, const Responder &Answer) {
  if (Request.Path == "/v1/search")
    return search(Request, Answer);
  if (Request.Path == "/v1/action")
    return action(Request, Answer);
  if (Request.Path == "/v1/action-keys")
    return actionKey(Request, Answer);
  Answer.reply(problemReply(ResultCode::UnknownPath,
                            fmt::format("'{}' is not here", Request.Path)));
}

void Api::search(const ServerRequest &Request, const Responder &Answer) {
  Error Why;
  if (!P.Control.takesRequests(&Why))
    return Answer.reply(problemOf(Why));
  auto Id = attempt([&] { return readRequestId(Request, newId()); });
  if (!Id)
    return Answer.reply(problemOf(Id.error()));
  ConfigPtr Conf = P.Fleet.Conf;
  auto S = attempt([&] { return readSearch(Request, *Conf, *Id); });
  if (!S)
    return Answer.reply(problemOf(S.error(), *Id));
  P.Searches.search(std::move(*S),
                    [Answer, Conf, Id = *Id](const QueryAnswer &A) {
                      Answer.reply(searchReply(Id, Conf.get(), A));
                    });
}

void Api::action(const ServerRequest &Request, const Responder &Answer) {
  auto Id = attempt([&] { return readRequestId(Request, newId()); });
  if (!Id)
    return Answer.reply(problemOf(Id.error()));
  Error Why;
  bool Open = P.Control.takesRequests(&Why);
  ConfigPtr Conf = P.Fleet.Conf;
  if (!Conf)
    return refuseAction({}, *Id, Why, Answer);
  auto R = attempt([&] { return readAction(Request, *Conf, *Id); });
  if (!R)
    return Answer.reply(problemOf(R.error(), *Id));
  if (!Open)
    return refuseAction(*R, *Id, Why, Answer);
  P.Actions.begin(std::move(*R), ActionOrigin::Caller,
                  [Answer, Id = *Id](const ActionOutcome &O) {
                    Answer.reply(actionReply(Id, O));
                  });
}

/// An earlier delivery of the same key may have run at another daemon, so a
/// refusal here says "not run" only of a first delivery.
void Api::refuseAction(const ActionRequest &R, const RequestId &Id,
                       const Error &Why, const Responder &Answer) {
  Answer.reply(
      actionReply(Id, refusal(R, Why.Code, Why.Detail, MinRetryAfter)));
}

void Api::actionKey(const ServerRequest &, const Responder &Answer) {
  Error Why;
  if (!P.Control.takesRequests(&Why))
    return Answer.reply(problemOf(Why));
  ActionKey Key = P.Actions.mint(DefaultKeyValidity);
  Answer.reply(keyReply(Key, DefaultKeyValidity));
}

void Api::lookUp(const ServerRequest &Request, const Responder &Answer,
                 std::string_view Key) {
  RequestId Id(newId());
  auto R = attempt([&] { return readLookUp(Request, Key, Id); });
  if (!R)
    return Answer.reply(problemOf(R.error(), Id));
  P.Actions.begin(std::move(*R), ActionOrigin::Caller,
                  [Answer, Id](const ActionOutcome &O) {
                    Answer.reply(actionReply(Id, O));
                  });
}

void Api::explain(const Responder &Answer, std::string_view Id) {
  auto Text = attempt(
      [&] { return P.Searches.traces().toJson(RequestId(std::string(Id))); });
  if (!Text)
    return Answer.reply(problemOf(Text.error()));
  ServerReply R;
  R.Body = std::move(*Text);
  Answer.reply(std::move(R));
}

ServerReply Api::ready() const {
  Error Why;
  const LifecycleOutput &Now = P.Control.phase();
  if (Now.Now == Phase::Ready && P.Control.takesRequests(&Why))
    return plain("ready\n");
  ResultCode Code = Now.Now == Phase::Starting || Now.Now == Phase::Ready
                        ? ResultCode::NotReady
                        : ResultCode::Leaving;
  return problemReply(Code, Why.Detail.empty() ? Now.Why : Why.Detail, {},
                      MinRetryAfter);
}

ServerReply Api::status() const {
  StatusFacts F;
  Error Why;
  F.Self = P.Fleet.Self;
  F.Zone = P.Fleet.Zone;
  F.State = phaseName(P.Control.phase().Now);
  F.Why = P.Control.phase().Why;
  F.Ready =
      P.Control.phase().Now == Phase::Ready && P.Control.takesRequests(&Why);
  F.Config = P.Control.config().status();
  F.ConfigAge = P.Loop.now() - F.Config.Since;
  if (P.Fleet.Conf)
    F.Preset = P.Fleet.Conf->preset()->Name;
  F.Members = P.Fleet.View.Members.size();
  F.Live = liveMembers(P.Fleet.View);
  F.InFlight = P.Searches.inFlight();
  for (const auto &[Id, Held] : P.Fleet.Allocation.heldBySelf())
    F.SlotsHeld += Held.Slots;
  return statusReply(F);
}

ServerReply Api::metrics() const {
  P.Refresh();
  return plain(P.Meter.text());
}

ServerReply Api::entry(const ServerRequest &Request) const {
  const EntryDirectory &Entries = P.Control.entries();
  Instant Now = P.Loop.now();
  EntryAnswer A =
      Entries.answer(P.Fleet.View, queryValue(Request.Query, "key"),
                     AvailabilityZone(queryValue(Request.Query, "zone")),
                     [&](const DaemonId &Id) {
                       return P.Control.membership().warmUpFraction(
                           Id, Entries.options().WarmUp, Now);
                     });
  if (A.Addresses.empty())
    return problemReply(ResultCode::NotReady, "no daemon is ready yet", {},
                        Duration(Seconds(1)));
  return entryReply(A);
}

} // namespace shallot
