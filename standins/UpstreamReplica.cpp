#include "standins/UpstreamReplica.h"

#include "standins/Later.h"
#include "standins/UpstreamRecords.h"

#include <algorithm>
#include <asio/post.hpp>
#include <chrono>
#include <cmath>
#include <fmt/format.h>
#include <numbers>

namespace shallot::standins {

namespace {

using Clock = std::chrono::steady_clock;

/// A second copy of a reply comes this much after the first.
constexpr Duration LateCopyAfter = Millis(50);
constexpr std::string_view CancelPrefix = "/requests/";

/// A standard normal number (Box-Muller).
double normal(Random &Rng) {
  double Radius = std::sqrt(-2 * std::log(1 - uniform01(Rng)));
  return Radius * std::cos(2 * std::numbers::pi * uniform01(Rng));
}

template <typename T> bool holds(const std::vector<T> &All, const T &One) {
  return std::find(All.begin(), All.end(), One) != All.end();
}

template <typename T> T newest(const std::vector<T> &All) {
  return *std::max_element(All.begin(), All.end());
}

} // namespace

struct UpstreamReplica::Work {
  explicit Work(asio::io_context &Io) : Timer(Io) {}
  WireConnectionPtr Connection;
  WireRequest Request;
  bool Action = false;
  Snapshot At;
  Clock::time_point Deadline = Clock::time_point::max();
  asio::steady_timer Timer;
  bool Dropped = false;

  std::string attempt() const {
    return std::string(Request.header("X-Attempt-Id"));
  }
};

UpstreamReplica::UpstreamReplica(asio::io_context &Io, UpstreamSettings S)
    : Io(Io), S(std::move(S)), Rng(this->S.Seed, hash64(this->S.Name)),
      Server(
          Io, this->S.Address,
          {.OnOpen = [this] { return admitConnection(); },
           .OnRequest = [this](const WireConnectionPtr &C,
                               WireRequest R) { onRequest(C, std::move(R)); },
           .OnClose = [this](const WireConnectionPtr &C) { onClose(C); }}) {}

bool UpstreamReplica::admitConnection() {
  ++Counts.ConnectionsOpened;
  std::uint64_t Now = Server.openConnections() + 1;
  Counts.ConnectionsMax = std::max(Counts.ConnectionsMax, Now);
  if (Now <= S.Connections)
    return true;
  ++Counts.ConnectionsRefused;
  return false;
}

void UpstreamReplica::onRequest(const WireConnectionPtr &C, WireRequest R) {
  if (Faults.Freeze)
    return C->silence();
  if (R.OnConnection > 1 || S.ConnectMs <= 0)
    return take(C, std::move(R));
  later(Io, fromMillisF(S.ConnectMs), [this, C, R = std::move(R)] {
    if (C->open())
      take(C, R);
  });
}

void UpstreamReplica::take(const WireConnectionPtr &C, WireRequest R) {
  if (R.Method == "POST" && R.Path == "/search")
    return onWork(C, std::move(R), false);
  if (R.Method == "POST" && R.Path == "/action")
    return onWork(C, std::move(R), true);
  if (R.Method == "DELETE" && R.Path.starts_with(CancelPrefix))
    return onCancel(C, R);
  WireReply Reply;
  if (R.Method == "GET" && R.Path == "/load") {
    ++Counts.LoadReads;
    Reply.Body =
        Json{{"load", load()}, {"draining", Faults.DrainAnnounce}}.dump();
  } else {
    Reply.Status = 404;
  }
  C->reply(Reply);
}

void UpstreamReplica::remember(const WireRequest &R) {
  if (Seen.size() < MaxSeenRequests)
    Seen.insert(hash64(R.header("X-Request-Id")));
}

bool UpstreamReplica::sawRequest(const std::string &RequestId) const {
  return Seen.contains(hash64(RequestId));
}

bool UpstreamReplica::refuse(const WireConnectionPtr &C, const WireRequest &R) {
  bool Leaving = Faults.DrainRefuse;
  bool Full = Waiting.size() >= MaxReplicaQueue;
  if (!Leaving && !Faults.Shed && !Full)
    return false;
  ++Counts.Refused;
  WireReply Reply = labelled(R, 503);
  if (!Leaving)
    Reply.Headers.push_back({"X-Shed", "1"});
  Reply.Headers.push_back({"Retry-After", "1"});
  C->reply(Reply);
  return true;
}

std::optional<Snapshot> UpstreamReplica::chosen(const WireRequest &R) const {
  Snapshot At{
      R.headerNumber("X-Index-Version", newest(S.IndexVersions)),
      R.headerNumber("X-Partition-Version", newest(S.PartitionVersions))};
  if (holds(S.IndexVersions, At.IndexVersion) &&
      holds(S.PartitionVersions, At.PartitionVersion))
    return At;
  return std::nullopt;
}

void UpstreamReplica::onWork(const WireConnectionPtr &C, WireRequest R,
                             bool Action) {
  ++(Action ? Counts.Actions : Counts.Searches);
  Counts.WhileDraining += Faults.DrainAnnounce || Faults.DrainRefuse;
  remember(R);
  if (refuse(C, R))
    return;
  std::optional<Snapshot> At = chosen(R);
  if (!At) {
    ++Counts.VersionGone;
    return C->reply(labelled(R, 409));
  }
  auto W = std::make_shared<Work>(Io);
  W->Connection = C;
  W->Action = Action;
  W->At = *At;
  if (std::uint64_t Ms = R.headerNumber("X-Deadline-Ms", 0))
    W->Deadline = Clock::now() + Millis(Ms);
  W->Request = std::move(R);
  Counts.SlotsExceeded += Running.size() >= S.Slots;
  Waiting.push_back(W);
  Counts.BusyMax =
      std::max<std::uint64_t>(Counts.BusyMax, Running.size() + Waiting.size());
  startNext();
}

void UpstreamReplica::startNext() {
  while (!Waiting.empty() && Running.size() < S.Slots) {
    WorkPtr W = Waiting.front();
    Waiting.pop_front();
    start(W);
  }
}

Duration UpstreamReplica::serviceTime() {
  double Ms = S.ServiceMs * std::exp(S.Sigma * normal(Rng));
  if (S.StraggleOneIn && below(Rng, S.StraggleOneIn) == 0) {
    ++Counts.Stragglers;
    Ms *= S.StraggleFrom + (S.StraggleTo - S.StraggleFrom) * uniform01(Rng);
  }
  if (Faults.Cold)
    Ms *= S.ColdFactor;
  return fromMillisF(Ms);
}

void UpstreamReplica::start(const WorkPtr &W) {
  if (Clock::now() >= W->Deadline) {
    ++Counts.DeadlinePassed;
    WireReply Reply = labelled(W->Request, 503);
    Reply.Headers.push_back({"X-Shed", "1"});
    return W->Connection->reply(Reply);
  }
  Running.insert(W);
  if (!Faults.EndedBy.empty() &&
      W->Request.Body.find(Faults.EndedBy) != std::string::npos)
    return crash();
  Clock::time_point Ready = Clock::now() + serviceTime();
  // An action once begun is run to its end; a search stops at its deadline.
  W->Timer.expires_at(W->Action ? Ready : std::min(Ready, W->Deadline));
  W->Timer.async_wait([this, W](std::error_code Err) {
    if (!Err && !W->Dropped)
      finish(W);
  });
}

void UpstreamReplica::crash() {
  ++Counts.Ended;
  // Not from within a connection's own callback.
  asio::post(Io, [this] {
    if (!Server.listening())
      return; // Two of them were begun together.
    Server.shut();
    later(Io, Millis(Faults.BackAfterMs), [this] {
      if (!attempt([&] { return Server.listen(); }))
        fmt::print(stderr, "upstream-standin: {} cannot listen\n", S.Name);
    });
  });
}

void UpstreamReplica::finish(const WorkPtr &W) {
  Running.erase(W);
  if (W->Action)
    runAction(W);
  else if (Clock::now() >= W->Deadline) {
    ++Counts.DeadlinePassed;
    W->Connection->reply(labelled(W->Request, 504));
  } else
    answer(W);
  startNext();
}

void UpstreamReplica::answer(const WorkPtr &W) {
  if (Faults.CloseBeforeReply > 0) {
    --Faults.CloseBeforeReply;
    return W->Connection->close();
  }
  ++Counts.Answered;
  WireReply Reply = labelled(W->Request, 200);
  Reply.Headers.push_back(
      {"X-Index-Version", std::to_string(W->At.IndexVersion)});
  Reply.Headers.push_back(
      {"X-Partition-Version", std::to_string(W->At.PartitionVersion)});
  Reply.Body = recordsFor(S, W->At, W->Request.Body).dump();
  W->Connection->reply(Reply);
  if (Faults.ReplyTwiceLate == 0)
    return;
  --Faults.ReplyTwiceLate;
  later(Io, LateCopyAfter, [W, Reply] { W->Connection->reply(Reply); });
}

void UpstreamReplica::runAction(const WorkPtr &W) {
  std::string Key(W->Request.header("Idempotency-Key"));
  Ran.push_back({{"upstream", S.Name},
                 {"service", S.Service},
                 {"key", Key},
                 {"attempt", W->attempt()},
                 {"request", std::string(W->Request.header("X-Request-Id"))},
                 {"action", Json::parse(W->Request.Body, nullptr, false)}});
  if (Faults.DieBeforeReplyNextAction > 0) {
    --Faults.DieBeforeReplyNextAction;
    return W->Connection->close();
  }
  ++Counts.Answered;
  WireReply Reply = labelled(W->Request, 200);
  Reply.Body = Json{{"service", S.Service},
                    {"reference", fmt::format("{:08x}", hash64(Key) >> 32)}}
                   .dump();
  W->Connection->reply(Reply);
}

void UpstreamReplica::drop(const WorkPtr &W) {
  W->Dropped = true;
  W->Timer.cancel();
  Running.erase(W);
  std::erase(Waiting, W);
}

void UpstreamReplica::onCancel(const WireConnectionPtr &C,
                               const WireRequest &R) {
  ++Counts.Cancels;
  std::string Attempt = R.Path.substr(CancelPrefix.size());
  std::vector<WorkPtr> All(Waiting.begin(), Waiting.end());
  All.insert(All.end(), Running.begin(), Running.end());
  for (const WorkPtr &W : All) {
    bool Begun = W->Action && Running.contains(W);
    if (W->attempt() != Attempt || Begun)
      continue;
    ++Counts.CancelledById;
    drop(W);
    W->Connection->reply(labelled(W->Request, 499));
  }
  C->reply({});
  startNext();
}

void UpstreamReplica::onClose(const WireConnectionPtr &C) {
  std::vector<WorkPtr> All(Waiting.begin(), Waiting.end());
  All.insert(All.end(), Running.begin(), Running.end());
  for (const WorkPtr &W : All) {
    bool Begun = W->Action && Running.contains(W);
    if (W->Connection != C || Begun)
      continue;
    ++Counts.CancelledByClose;
    drop(W);
  }
  startNext();
}

} // namespace shallot::standins
