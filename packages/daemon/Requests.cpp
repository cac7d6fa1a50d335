#include "daemon/Requests.h"

#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace shallot {
namespace {

using Json = nlohmann::json;

/// How long a look-up may take; it asks one peer or reads one object.
constexpr Duration LookUpTime = Seconds(2);

std::string traceParent(const ServerRequest &Request) {
  std::string_view Value = headerValue(Request.Headers, "traceparent");
  return Value.size() <= MaxTraceParentBytes ? std::string(Value)
                                             : std::string();
}

Result<void> checkTenant(const Config &C, const Tenant &T) {
  if (C.hasTenant(T))
    return {};
  return fail(ResultCode::UnknownTenant,
              fmt::format("tenant: there is no '{}'", T.str()));
}

Result<const ClassPolicy *> policyFor(const Config &C,
                                      const CallerClass &Class) {
  if (const ClassPolicy *P = C.preset().find(Class))
    return P;
  std::string Known;
  for (const auto &[Name, Policy] : C.preset()->Classes)
    Known += (Known.empty() ? "" : ", ") + Name.str();
  return fail(ResultCode::UnknownClass,
              fmt::format("class: '{}' is not in preset {}; it has {}",
                          Class.str(), C.preset()->Name.str(), Known));
}

Result<Duration> readDeadline(JsonFields &F, const ClassPolicy &Policy) {
  if (!F.has("deadline_ms"))
    return Policy.Deadline;
  auto Most = static_cast<std::uint64_t>(toMillis(Policy.Deadline));
  auto Ms = attempt([&] { return F.integer("deadline_ms", 1, Most); });
  if (Ms)
    return Duration(Millis(*Ms));
  ResultCode Code = Ms.error().Code == ResultCode::OutOfRange
                        ? ResultCode::BadDeadline
                        : Ms.error().Code;
  return fail(Code, Ms.error().Detail);
}

Result<std::vector<ServiceName>> namedServices(JsonFields &F, const Config &C,
                                               const Tenant &Owner) {
  BOOST_LEAF_AUTO(List, F.array("services"));
  if (List->empty())
    return fail(ResultCode::OutOfRange, "services: name at least one");
  if (List->size() > MaxServicesPerQuery)
    return fail(ResultCode::TooManyServices,
                fmt::format("services: {} are named, allowed are {}",
                            List->size(), MaxServicesPerQuery));
  std::vector<ServiceName> Names;
  for (const Json &One : *List) {
    if (!One.is_string())
      return fail(ResultCode::WrongType, "services: each is a string");
    ServiceName Name(One.get<std::string>());
    if (!C.find(Owner, Name).Svc)
      return fail(ResultCode::UnknownService,
                  fmt::format("services: tenant {} has no service {}",
                              Owner.str(), formatForError(One)));
    Names.push_back(std::move(Name));
  }
  return Names;
}

Result<std::vector<ServiceName>> groupServices(JsonFields &F, const Config &C,
                                               const Tenant &Owner) {
  BOOST_LEAF_AUTO(Name, F.name("group"));
  const Group *G = C.findGroup(Owner, GroupName(Name));
  if (!G)
    return fail(
        ResultCode::UnknownService,
        fmt::format("group: tenant {} has no group '{}'", Owner.str(), Name));
  std::vector<ServiceName> Names;
  for (const Service &S : (*G)->Services)
    Names.push_back(S->Name);
  return Names;
}

Result<std::vector<ServiceName>> readServices(JsonFields &F, const Config &C,
                                              const Tenant &Owner) {
  if (F.has("group") == F.has("services"))
    return fail(ResultCode::MissingField,
                "name either a group or services, and not both");
  return F.has("group") ? groupServices(F, C, Owner)
                        : namedServices(F, C, Owner);
}

/// What a search and an action have in common.
struct Common {
  Tenant Owner;
  CallerClass Class;
  const ClassPolicy *Policy = nullptr;
  Duration Remaining{0};
};

Result<Common> readCommon(JsonFields &F, const Config &C) {
  Common Got;
  BOOST_LEAF_AUTO(Owner, F.name("tenant"));
  Got.Owner = Tenant(Owner);
  BOOST_LEAF_CHECK(checkTenant(C, Got.Owner));
  BOOST_LEAF_AUTO(Class, F.name("class"));
  Got.Class = CallerClass(Class);
  BOOST_LEAF_ASSIGN(Got.Policy, policyFor(C, Got.Class));
  BOOST_LEAF_ASSIGN(Got.Remaining, readDeadline(F, *Got.Policy));
  return Got;
}

} // namespace

std::string queryValue(std::string_view Query, std::string_view Key) {
  return queryParameter(Query, Key).value_or("");
}

Result<RequestId> readRequestId(const ServerRequest &Request,
                                const std::string &Made) {
  std::string_view Sent = headerValue(Request.Headers, "X-Request-Id");
  if (Sent.empty())
    return RequestId(Made);
  BOOST_LEAF_AUTO(Id, checkName(Sent, "X-Request-Id"));
  return RequestId(Id);
}

Result<Search> readSearch(const ServerRequest &Request, const Config &C,
                          RequestId Id) {
  BOOST_LEAF_AUTO(Doc, parseJson(Request.Body, "the search"));
  BOOST_LEAF_AUTO(F, JsonFields::open(Doc, "search"));
  BOOST_LEAF_AUTO(Got, readCommon(F, C));
  BOOST_LEAF_AUTO(Services, readServices(F, C, Got.Owner));
  BOOST_LEAF_AUTO(Query, F.object("query"));
  BOOST_LEAF_CHECK(F.finish());
  Search S;
  S.Id = std::move(Id);
  S.Owner = Got.Owner;
  S.Class = Got.Class;
  S.Services = std::move(Services);
  S.Policy = *Got.Policy;
  S.Remaining = Got.Remaining;
  S.Body = canonicalJson(*Query);
  S.TraceParent = traceParent(Request);
  return S;
}

Result<ActionRequest> readAction(const ServerRequest &Request, const Config &C,
                                 RequestId Id) {
  std::string_view Sent = headerValue(Request.Headers, "Idempotency-Key");
  BOOST_LEAF_AUTO(Key, ActionKey::parse(Sent));
  BOOST_LEAF_AUTO(Doc, parseJson(Request.Body, "the action"));
  BOOST_LEAF_AUTO(F, JsonFields::open(Doc, "action"));
  BOOST_LEAF_AUTO(Got, readCommon(F, C));
  BOOST_LEAF_AUTO(Name, F.name("service"));
  BOOST_LEAF_AUTO(Body, F.object("action"));
  bool First = false;
  if (F.has("first_attempt")) {
    BOOST_LEAF_ASSIGN(First, F.boolean("first_attempt"));
  }
  BOOST_LEAF_CHECK(F.finish());
  ServiceName Service(Name);
  if (!C.find(Got.Owner, Service).Svc)
    return fail(ResultCode::UnknownService,
                fmt::format("service: tenant {} has no service '{}'",
                            Got.Owner.str(), Name));
  ActionRequest R;
  R.Request = std::move(Id);
  R.Owner = Got.Owner;
  R.Class = Got.Class;
  R.Service = Service;
  R.Key = Key.str();
  R.Body = canonicalJson(*Body);
  if (R.Body.size() > MaxActionBodyBytes)
    return fail(ResultCode::BodyTooLarge,
                fmt::format("action: it has {} bytes, allowed are {}",
                            R.Body.size(), MaxActionBodyBytes));
  R.Digest = actionDigest(Service, R.Body);
  R.TraceParent = traceParent(Request);
  R.Remaining = Got.Remaining;
  R.FirstAttempt = First;
  return R;
}

Result<ActionRequest> readLookUp(const ServerRequest &Request,
                                 std::string_view Key, RequestId Id) {
  BOOST_LEAF_AUTO(Parsed, ActionKey::parse(percentDecoded(Key)));
  BOOST_LEAF_AUTO(Owner,
                  checkName(queryValue(Request.Query, "tenant"), "tenant"));
  ActionRequest R;
  R.Request = std::move(Id);
  R.Owner = Tenant(Owner);
  R.Key = Parsed.str();
  R.Remaining = LookUpTime;
  R.Aim = ActionAim::LookUp;
  return R;
}

} // namespace shallot
