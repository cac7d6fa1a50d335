#include "query/QueryRun.h"

#include "query/QueryMachine.h"

#include <algorithm>
#include <fmt/format.h>

namespace shallot {

struct QueryRun::Impl {
  QueryMachine Machine;
};

StrategyParts StrategyParts::of(Strategy S) {
  if (S == Strategy::Full)
    return {};
  return {.Pick = {.ByLoad = false, .ByZone = false, .Eject = false},
          .Hedge = false,
          .Retry = false};
}

namespace {

Result<std::vector<const Service *>> findServices(const QuerySpec &Spec) {
  std::vector<const Service *> Targets;
  Targets.reserve(Spec.Services.size());
  for (const ServiceName &Name : Spec.Services) {
    const Service *Svc = Spec.Conf->find(Spec.Owner, Name).Svc;
    if (!Svc)
      return fail(ResultCode::UnknownService,
                  fmt::format("tenant {} has no service '{}'", Spec.Owner.str(),
                              Name.str()));
    Targets.push_back(Svc);
  }
  return Targets;
}

bool hasDuplicates(std::vector<const Service *> Targets) {
  std::ranges::sort(Targets);
  return std::ranges::adjacent_find(Targets) != Targets.end();
}

} // namespace

Result<QueryRun> QueryRun::make(QuerySpec Spec, QueryContext Context) {
  if (Spec.Services.empty())
    return fail(ResultCode::MissingField,
                "services: list at least one service to search");
  if (Spec.Services.size() > MaxServicesPerQuery)
    return fail(ResultCode::TooManyServices,
                fmt::format("services: {} given, at most {} are allowed",
                            Spec.Services.size(), MaxServicesPerQuery));
  BOOST_LEAF_AUTO(Targets, findServices(Spec));
  if (hasDuplicates(Targets))
    return fail(ResultCode::AlreadyExists,
                "services: a service is listed twice; list each once");
  return QueryRun(std::unique_ptr<Impl>(
      new Impl{{std::move(Spec), Context, std::move(Targets)}}));
}

QueryRun::QueryRun(std::unique_ptr<Impl> I) : I(std::move(I)) {}
QueryRun::QueryRun(QueryRun &&) noexcept = default;
QueryRun &QueryRun::operator=(QueryRun &&) noexcept = default;
QueryRun::~QueryRun() = default;

QueryCommands QueryRun::start(Instant Now) { return I->Machine.start(Now); }

QueryCommands QueryRun::onReply(const AttemptKey &Key, const SubReply &Reply,
                                Instant Now) {
  return I->Machine.onReply(Key, Reply, Now);
}

QueryCommands QueryRun::onWake(Instant Now) { return I->Machine.onWake(Now); }

QueryCommands QueryRun::onCallerGone(Instant Now) {
  return I->Machine.onCallerGone(Now);
}

bool QueryRun::finished() const { return I->Machine.finished(); }
const QuerySpec &QueryRun::spec() const { return I->Machine.spec(); }

} // namespace shallot
