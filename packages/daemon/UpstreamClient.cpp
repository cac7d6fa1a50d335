#include "daemon/UpstreamClient.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace shallot {
namespace {

/// More servable snapshots than this in one reply are not read: an upstream
/// holds a handful, and the table that learns from them is bounded.
constexpr std::size_t MaxServable = 16;

/// How long a cancelled call may take to end before its connection is closed:
/// a few round trips between availability zones.
constexpr Duration CancelGrace = Millis(25);

template <typename T> std::optional<T> number(std::string_view Text) {
  T Value{};
  auto [End, Err] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Err != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

std::optional<Snapshot> readSnapshot(std::string_view Index,
                                     std::string_view Partition) {
  auto I = number<std::uint64_t>(Index);
  auto P = number<std::uint64_t>(Partition);
  if (!I || !P)
    return std::nullopt;
  return Snapshot{*I, *P};
}

Duration readRetryAfter(const HttpHeaders &Headers) {
  auto Whole = number<std::uint32_t>(headerValue(Headers, "Retry-After"));
  return Whole ? Duration(Seconds(std::min<std::uint32_t>(*Whole, 3600)))
               : Duration(0);
}

ResultCode refusalOf(const HttpReply &Reply) {
  if (!headerValue(Reply.Headers, "X-Draining").empty())
    return ResultCode::UpstreamDraining;
  if (!headerValue(Reply.Headers, "X-Shed").empty())
    return ResultCode::UpstreamShed;
  return ResultCode::UpstreamBadReply;
}

bool isAction(const SubRequest &Request) {
  return !Request.IdempotencyKey.empty();
}

ResultCode codeOf(const SubRequest &Request, const HttpReply &Reply) {
  if (!Reply.arrived())
    return Reply.Failure;
  // The echo is what ties a reply to its request: an upstream that answers an
  // earlier request on this connection would otherwise be believed.
  if (headerValue(Reply.Headers, "X-Attempt-Id") != Request.AttemptId)
    return ResultCode::UpstreamMismatch;
  if (Reply.Status == 200)
    return ResultCode::Ok;
  if (Reply.Status == 503) {
    ResultCode Refusal = refusalOf(Reply);
    // Only a published refusal proves that an action did not run.
    if (Refusal != ResultCode::UpstreamBadReply || !isAction(Request))
      return Refusal;
  }
  if (isAction(Request))
    return ResultCode::Ok; // A whole reply: it ran, Status says how it ended.
  return Reply.Status == 409 ? ResultCode::UpstreamVersionGone
                             : ResultCode::UpstreamBadReply;
}

void addPin(HttpHeaders &Headers, const std::optional<Snapshot> &Pin) {
  if (!Pin)
    return;
  Headers.push_back({"X-Index-Version", fmt::to_string(Pin->IndexVersion)});
  Headers.push_back(
      {"X-Partition-Version", fmt::to_string(Pin->PartitionVersion)});
}

} // namespace

std::vector<Snapshot> readSnapshots(std::string_view Text) {
  std::vector<Snapshot> All;
  while (!Text.empty() && All.size() < MaxServable) {
    std::string_view One = Text.substr(0, Text.find(','));
    Text.remove_prefix(std::min(Text.size(), One.size() + 1));
    auto Dot = One.find('.');
    if (Dot == std::string_view::npos)
      continue;
    if (auto S = readSnapshot(One.substr(0, Dot), One.substr(Dot + 1)))
      All.push_back(*S);
  }
  return All;
}

HttpRequest upstreamRequest(const SubRequest &Request, const Endpoint &To) {
  HttpRequest H;
  H.Method = "POST";
  H.To = To;
  H.Path = isAction(Request) ? "/action" : "/search";
  H.Headers = {{"Content-Type", "application/json"},
               {"X-Request-Id", Request.Request.str()},
               {"X-Attempt-Id", Request.AttemptId},
               {"X-Service", Request.Service.str()},
               {"X-Upstream", Request.Target.str()},
               {"X-Deadline-Ms", fmt::to_string(toMillis(Request.Remaining))}};
  addPin(H.Headers, Request.Pin);
  if (isAction(Request)) {
    H.Headers.push_back({"Idempotency-Key", Request.IdempotencyKey});
    // libcurl sends a request again by itself when a reused connection closes
    // before the reply: the booking would be made twice.
    H.Rule = Repeat::Never;
  }
  if (!Request.TraceParent.empty())
    H.Headers.push_back({"traceparent", Request.TraceParent});
  H.Body = Request.Body;
  H.Timeout = Request.Remaining;
  H.ConnectTimeout = std::min(H.ConnectTimeout, Request.Remaining);
  return H;
}

SubReply readUpstreamReply(const SubRequest &Request, HttpReply Reply) {
  SubReply S;
  S.Code = codeOf(Request, Reply);
  S.UpstreamTook = Reply.Took;
  if (!Reply.arrived())
    return S;
  S.Servable = readSnapshots(headerValue(Reply.Headers, "X-Servable"));
  S.Load = number<double>(headerValue(Reply.Headers, "X-Load")).value_or(0);
  S.Cold = !headerValue(Reply.Headers, "X-Cold").empty();
  S.Draining = !headerValue(Reply.Headers, "X-Draining").empty();
  S.RetryAfter = readRetryAfter(Reply.Headers);
  S.Status = Reply.Status;
  if (S.Code != ResultCode::Ok)
    return S;
  if (isAction(Request)) {
    S.Body = std::move(Reply.Body);
    return S;
  }
  auto Served = readSnapshot(headerValue(Reply.Headers, "X-Index-Version"),
                             headerValue(Reply.Headers, "X-Partition-Version"));
  if (!Served) {
    S.Code = ResultCode::UpstreamBadReply;
    return S;
  }
  // Records go into the answer as text: one broken body would break the whole
  // answer, so it is refused here, where only its own books are lost.
  if (!nlohmann::json::accept(Reply.Body)) {
    S.Code = ResultCode::UpstreamBadReply;
    return S;
  }
  S.Served = *Served;
  S.Body = std::move(Reply.Body);
  return S;
}

UpstreamClient::CallId UpstreamClient::send(const SubRequest &Request,
                                            const Endpoint &To, Callback Done) {
  CallId Id = ++LastId;
  Call &C = Calls[Id];
  C = {Request, To, std::move(Done)};
  C.Transfer =
      Http.send(upstreamRequest(Request, To),
                [this, Id](HttpReply Reply) { ended(Id, std::move(Reply)); });
  return Id;
}

/// A connection that broke with a search on it may mean that the search crashed
/// its upstream. That is found out before anybody sends it to the next one.
void UpstreamClient::ended(CallId Id, HttpReply Reply) {
  auto At = Calls.find(Id);
  if (At == Calls.end())
    return;
  if (Reply.Failure != ResultCode::ConnectionClosed ||
      isAction(At->second.Request))
    return finish(Id, std::move(Reply));
  Probe(At->second.To, [this, Id, Reply = std::move(Reply)](bool Ended) {
    finish(Id, Reply, Ended);
  });
}

void UpstreamClient::finish(CallId Id, HttpReply Reply, bool Crashed) {
  auto Node = Calls.extract(Id);
  if (Node.empty())
    return;
  Call &C = Node.mapped();
  SubReply S = readUpstreamReply(C.Request, std::move(Reply));
  S.Crashed = Crashed;
  if (C.Cancelled)
    S.Code = ResultCode::Cancelled;
  C.Done(std::move(S));
}

void UpstreamClient::close(CallId Id) {
  auto At = Calls.find(Id);
  if (At == Calls.end())
    return;
  Http.cancel(At->second.Transfer);
  finish(Id, HttpReply{.Failure = ResultCode::Cancelled});
}

void UpstreamClient::cancel(CallId Id) {
  auto At = Calls.find(Id);
  if (At == Calls.end() || At->second.Cancelled)
    return;
  // An action that was sent is left alone: nobody could say whether stopping
  // it came in time, and its outcome is worth keeping.
  if (isAction(At->second.Request))
    return;
  At->second.Cancelled = true;
  // Closing the connection at once would cancel too, but the next request
  // would pay for a new one (6 ms at the users' upstreams). So the upstream is
  // told on the spare connection and given a moment to answer the first.
  HttpRequest Stop;
  Stop.Method = "DELETE";
  Stop.To = At->second.To;
  Stop.Path = "/requests/" + At->second.Request.AttemptId;
  Stop.Timeout = CancelGrace;
  Http.send(std::move(Stop), [](const HttpReply &) {});
  Loop.after(CancelGrace, [this, Id] { close(Id); });
}

} // namespace shallot
