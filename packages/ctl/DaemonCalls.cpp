#include "ctl/DaemonCalls.h"

#include <charconv>
#include <fmt/format.h>

namespace shallot {
namespace {

using nlohmann::json;

constexpr Duration AskTimeout = Seconds(2);
constexpr JsonLimits ReplyLimits{4 << 20};

HttpRequest requestTo(const Endpoint &To, const std::string &Path) {
  HttpRequest R;
  R.To = To;
  R.Path = Path;
  R.Timeout = AskTimeout;
  return R;
}

/// The code in "SS2003".
std::optional<ResultCode> codeIn(const json &Problem) {
  auto It = Problem.find("code");
  if (It == Problem.end() || !It->is_string())
    return std::nullopt;
  std::string Label = It->get<std::string>();
  std::uint16_t Number = 0;
  if (Label.size() < 3 || Label.compare(0, 2, "SS") != 0)
    return std::nullopt;
  auto [End, Failed] =
      std::from_chars(Label.data() + 2, Label.data() + Label.size(), Number);
  if (Failed != std::errc() || End != Label.data() + Label.size())
    return std::nullopt;
  return resultCodeFromNumber(Number);
}

Error problemIn(const json &Doc, const HttpReply &Reply, const Endpoint &From) {
  std::string Detail;
  std::optional<ResultCode> Code;
  if (Doc.is_object()) {
    Code = codeIn(Doc);
    auto It = Doc.find("detail");
    if (It != Doc.end() && It->is_string())
      Detail = It->get<std::string>();
  }
  return {Code.value_or(ResultCode::PeerBadMessage),
          fmt::format("{} answered with status {}: {}", From.str(),
                      Reply.Status, Detail)};
}

Result<MemberEntry> memberFrom(const json &Doc) {
  BOOST_LEAF_AUTO(F, JsonFields::open(Doc, "member"));
  MemberEntry M;
  BOOST_LEAF_ASSIGN(M.Daemon, F.string("daemon"));
  BOOST_LEAF_ASSIGN(M.State, F.string("state"));
  BOOST_LEAF_ASSIGN(M.Zone, F.string("zone"));
  BOOST_LEAF_AUTO(Http, F.string("http"));
  BOOST_LEAF_ASSIGN(M.Http, Endpoint::parse(Http, "member: \"http\""));
  return M;
}

/// Queries many daemons, a bounded number at a time.
struct Round {
  Session &S;
  const std::vector<Endpoint> &Whom;
  const std::string &Path;
  std::function<void(Done)> OnEnd;
  std::vector<Attempt<json>> Answers;
  std::size_t Next = 0;
  std::size_t InFlight = 0;

  void askMore() {
    while (Next < Whom.size() && InFlight < MaxAskedAtOnce) {
      std::size_t Index = Next++;
      ++InFlight;
      S.http().send(requestTo(Whom[Index], Path),
                    [this, Index](const HttpReply &R) {
                      --InFlight;
                      Answers[Index] = answerIn(R, Whom[Index]);
                      askMore();
                    });
    }
    if (InFlight == 0)
      OnEnd(Done{});
  }
};

} // namespace

Result<std::vector<MemberEntry>> membersIn(const json &Doc) {
  BOOST_LEAF_AUTO(F, JsonFields::open(Doc, "the daemon's members"));
  BOOST_LEAF_AUTO(Array, F.array("members"));
  std::vector<MemberEntry> All;
  for (const json &One : *Array) {
    BOOST_LEAF_AUTO(M, memberFrom(One));
    All.push_back(std::move(M));
  }
  return All;
}

Attempt<json> answerIn(const HttpReply &Reply, const Endpoint &From) {
  if (!Reply.arrived())
    return Error{ResultCode::PeerUnreachable,
                 fmt::format("{}: {}", From.str(), infoOf(Reply.Failure).Text)};
  auto Doc = attempt([&] {
    return parseJson(Reply.Body, From.str() + "'s reply", ReplyLimits);
  });
  if (Reply.Status != 200)
    return problemIn(Doc ? *Doc : json(), Reply, From);
  if (!Doc)
    return Error{ResultCode::PeerBadMessage, Doc.error().Detail};
  return std::move(*Doc);
}

Result<json> askAny(Session &S, const std::string &Path) {
  Error Last{ResultCode::PeerUnreachable, "no daemon was given"};
  for (const Endpoint &To : S.options().Daemons) {
    auto Reply =
        S.await<HttpReply>([&](const std::function<void(HttpReply)> &Go) {
          S.http().send(requestTo(To, Path), Go);
        });
    Attempt<json> Answer = answerIn(Reply, To);
    if (Answer)
      return std::move(*Answer);
    Last = Answer.error();
  }
  return fail(Last.Code, Last.Detail);
}

std::vector<Attempt<json>> askAll(Session &S, const std::vector<Endpoint> &Whom,
                                  const std::string &Path) {
  Round R{S, Whom, Path, {}, {}};
  R.Answers.assign(Whom.size(),
                   Error{ResultCode::PeerUnreachable, "not asked"});
  if (Whom.empty())
    return R.Answers;
  S.await<Done>([&](std::function<void(Done)> Go) {
    R.OnEnd = std::move(Go);
    R.askMore();
  });
  return std::move(R.Answers);
}

Result<std::vector<MemberEntry>> askMembers(Session &S) {
  BOOST_LEAF_AUTO(Doc, askAny(S, "/v1/members"));
  return membersIn(Doc);
}

} // namespace shallot
