#include "daemon/Replies.h"

#include <nlohmann/json.hpp>

namespace shallot {
namespace {

using Json = nlohmann::json;

ServerReply ok(const Json &Doc) {
  ServerReply R;
  R.Body = canonicalJson(Doc);
  return R;
}

Json coverageDoc(const Coverage &C) {
  Json Missing = Json::array();
  for (const MissingBook &M : C.Missing)
    Missing.push_back({{"book", M.Book},
                       {"service", M.Service.str()},
                       {"reason", M.Text},
                       {"code", codeLabel(M.Reason)}});
  return {{"asked", C.BooksAsked},
          {"answered", C.BooksAnswered},
          {"services_asked", C.ServicesAsked},
          {"services_answered", C.ServicesAnswered},
          {"missing", std::move(Missing)}};
}

/// The elements of an upstream's {"records":[...]} as text, so that records
/// pass through without being parsed. Whether they are well formed was checked
/// when the reply was taken in.
std::string_view recordsText(std::string_view Body) {
  auto Open = Body.find('[');
  auto Close = Body.rfind(']');
  if (Open == std::string_view::npos || Close == std::string_view::npos ||
      Close < Open)
    return {};
  return Body.substr(Open + 1, Close - Open - 1);
}

std::string recordsArray(const std::vector<ServiceRecords> &All) {
  std::string Out = "[";
  for (const ServiceRecords &One : All) {
    std::string_view Text = recordsText(One.Body);
    if (Text.find_first_not_of(" \t\r\n") == std::string_view::npos)
      continue;
    if (Out.size() > 1)
      Out += ',';
    Out += Text;
  }
  return Out + "]";
}

/// A problem document with more members.
ServerReply problemWith(ServerReply Problem, const Json &More) {
  Json Doc = Json::parse(Problem.Body, nullptr, false);
  Doc.update(More);
  Problem.Body = canonicalJson(Doc);
  return Problem;
}

bool isAnswer(ResultCode Code) {
  return Code == ResultCode::Ok || Code == ResultCode::PartialCoverage;
}

} // namespace

ServerReply searchReply(const RequestId &Id, const Config *C,
                        const QueryAnswer &Answer) {
  if (!isAnswer(Answer.Code)) {
    ServerReply Problem =
        problemReply(Answer.Code, Answer.Text, Id.str(), Answer.RetryAfter);
    Json More{{"request_id", Id.str()}};
    if (Answer.Covered.ServicesAsked > 0)
      More["coverage"] = coverageDoc(Answer.Covered);
    return problemWith(std::move(Problem), More);
  }
  Json Doc{{"request_id", Id.str()},
           {"outcome", Answer.Covered.complete() ? "complete" : "partial"},
           {"code", codeLabel(Answer.Code)},
           {"snapshot",
            {{"index_version", Answer.Served.IndexVersion},
             {"partition_version", Answer.Served.PartitionVersion}}},
           {"coverage", coverageDoc(Answer.Covered)}};
  if (C) {
    Doc["preset"] = C->preset()->Name.str();
    Doc["generation"] = C->generation();
  }
  ServerReply R = ok(Doc);
  R.Body.pop_back();
  R.Body += ",\"records\":" + recordsArray(Answer.Records) + "}";
  return R;
}

ServerReply actionReply(const RequestId &Id, const ActionOutcome &Outcome) {
  bool Ran =
      Outcome.Code == ResultCode::Ok || Outcome.Code == ResultCode::AlreadyRan;
  Json Result = Json::parse(Outcome.Body, nullptr, false);
  if (Result.is_discarded())
    Result = Outcome.Body;
  if (!Ran) {
    Json More{{"request_id", Id.str()}};
    if (Outcome.Code == ResultCode::ActionFailed) {
      More["upstream_status"] = Outcome.UpstreamStatus;
      More["result"] = std::move(Result);
    }
    return problemWith(problemReply(Outcome.Code, Outcome.Detail, Id.str(),
                                    Outcome.RetryAfter),
                       More);
  }
  Json Doc{{"request_id", Id.str()},
           {"outcome", "ran"},
           {"code", codeLabel(Outcome.Code)},
           {"replayed", Outcome.Replayed},
           {"upstream_status", Outcome.UpstreamStatus},
           {"result", std::move(Result)}};
  if (Outcome.BodyDropped)
    Doc["result_dropped"] = true;
  return ok(Doc);
}

ServerReply keyReply(const ActionKey &Key, Duration Validity) {
  return ok({{"key", Key.str()}, {"valid_ms", toMillis(Validity)}});
}

ServerReply entryReply(const EntryAnswer &Answer) {
  Json Addresses = Json::array();
  for (const EntryAddress &A : Answer.Addresses)
    Addresses.push_back({{"address", A.Http.str()},
                         {"host", A.Id.Host.str()},
                         {"zone", A.Zone.str()},
                         {"why", A.Why}});
  return ok({{"addresses", std::move(Addresses)},
             {"valid_ms", toMillis(Answer.Validity)}});
}

ServerReply membersReply(const FleetView &View) {
  Json All = Json::array();
  for (const Member &M : View.Members)
    All.push_back({{"daemon", M.Id.str()},
                   {"host", M.Id.Host.str()},
                   {"zone", M.Zone.str()},
                   {"region", M.Reg.str()},
                   {"http", M.Http.str()},
                   {"state", stateName(M.State)}});
  return ok({{"view", View.Number}, {"members", std::move(All)}});
}

ServerReply eventsReply(const std::deque<FleetEvent> &Events) {
  Json All = Json::array();
  for (const FleetEvent &E : Events)
    All.push_back({{"at_ms", E.At},
                   {"event", E.Name},
                   {"who", E.Who},
                   {"evidence", E.Evidence}});
  return ok({{"events", std::move(All)}});
}

ServerReply statusReply(const StatusFacts &F) {
  Json Doc{{"daemon", F.Self.str()},
           {"zone", F.Zone.str()},
           {"state", F.State},
           {"why", F.Why},
           {"ready", F.Ready},
           {"generation", F.Config.Generation},
           {"preset", F.Preset.str()},
           {"members", F.Members},
           {"live", F.Live},
           {"in_flight", F.InFlight},
           {"slots_held", F.SlotsHeld},
           {"watching", F.Config.Watching},
           {"highest_heard", F.Config.HighestHeard},
           {"rejections", F.Config.Rejections}};
  if (F.Config.Generation > 0) {
    Doc["config_source"] = F.Config.Source.str();
    Doc["config_age_ms"] = toMillis(F.ConfigAge);
  }
  return ok(Doc);
}

} // namespace shallot
