//===- RegisteredReplica.cpp ----------------------------------------------===//
#include "standins/RegisteredReplica.h"

#include "standins/Later.h"

#include <algorithm>
#include <asio/post.hpp>
#include <cmath>
#include <fmt/format.h>

namespace shallot::standins {

namespace {

constexpr char ReplicaKind[] = "servers";
/// How work spreads about its mean, to either side.
constexpr double WorkSpread = 0.3;

double numberOr(std::string_view Text, double Otherwise) {
  try {
    return Text.empty() ? Otherwise : std::stod(std::string(Text));
  } catch (const std::exception &) {
    return Otherwise;
  }
}

} // namespace

std::string recordOf(std::string_view Service, std::string_view Request,
                     unsigned Number) {
  // FNV-1a, which a checker in any language has in three lines.
  std::uint64_t Hash = 0xcbf29ce484222325ULL;
  for (char C : fmt::format("{}/{}/{}", Service, Request, Number)) {
    Hash ^= static_cast<unsigned char>(C);
    Hash *= 0x100000001b3ULL;
  }
  return fmt::format("{:016x}", Hash);
}

Result<ReplicaShape> readReplicaShape(const Json &O) {
  BOOST_LEAF_CHECK(
      checkFields(O, {"id", "service", "address", "registered", "zone", "slots",
                      "queue", "connections", "work_ms", "pause_ms",
                      "pause_every_ms", "records", "seed"}));
  ReplicaShape S;
  std::string At;
  std::string Registered;
  BOOST_LEAF_CHECK(readField(O, "id", S.Id));
  BOOST_LEAF_CHECK(readField(O, "service", S.Service));
  BOOST_LEAF_CHECK(readField(O, "address", At));
  BOOST_LEAF_CHECK(readField(O, "registered", Registered));
  BOOST_LEAF_CHECK(readField(O, "zone", S.Zone));
  BOOST_LEAF_CHECK(readField(O, "slots", S.Slots));
  BOOST_LEAF_CHECK(readField(O, "queue", S.Queue));
  BOOST_LEAF_CHECK(readField(O, "connections", S.Connections));
  BOOST_LEAF_CHECK(readField(O, "work_ms", S.WorkMs));
  BOOST_LEAF_CHECK(readField(O, "pause_ms", S.PauseMs));
  BOOST_LEAF_CHECK(readField(O, "pause_every_ms", S.PauseEveryMs));
  BOOST_LEAF_CHECK(readField(O, "records", S.Records));
  BOOST_LEAF_CHECK(readField(O, "seed", S.Seed));
  BOOST_LEAF_ASSIGN(S.At, Endpoint::parse(At, "address"));
  S.Registered = S.At;
  if (!Registered.empty()) {
    BOOST_LEAF_ASSIGN(S.Registered, Endpoint::parse(Registered, "registered"));
  }
  if (S.Id.empty() || S.Service.empty())
    return fail(ResultCode::MissingField, "id or service");
  return S;
}

struct RegisteredReplica::Work {
  explicit Work(asio::io_context &Io) : Timer(Io) {}
  WireConnectionPtr Caller;
  WireRequest Request;
  std::size_t Line = 0; ///< Of the ArrivalLog.
  double Deadline = 0;  ///< As monotonicMs().
  asio::steady_timer Timer;
  bool Ended = false;
};

RegisteredReplica::RegisteredReplica(asio::io_context &Io, KindService &Store,
                                     ArrivalLog &Log, ReplicaShape S)
    : Io(Io), Store(Store), Log(Log), Shape(std::move(S)),
      Rng(Shape.Seed, hash64(Shape.Id)),
      Server(
          Io, Shape.At,
          {.OnOpen =
               [this] { return Server.openConnections() < Shape.Connections; },
           .OnRequest = [this](const WireConnectionPtr &C,
                               const WireRequest &R) { onRequest(C, R); },
           .OnClose = [this](const WireConnectionPtr &C) { onClose(C); }}) {}

Json RegisteredReplica::registration(const std::string &State) const {
  return {{"service", Shape.Service}, {"address", Shape.Registered.str()},
          {"zone", Shape.Zone},       {"version", "v1"},
          {"slots", Shape.Slots},     {"state", State},
          {"warmup_left_ms", 0},      {"sequence", 1}};
}

void RegisteredReplica::announce(const std::string &State) {
  Store.put(ReplicaKind, Shape.Id, registration(State));
}

void RegisteredReplica::onRequest(const WireConnectionPtr &C,
                                  const WireRequest &R) {
  Seen.push_back(R);
  if (Instead && Instead(C, R))
    return;
  if (Troubles.Hang)
    return C->silence();
  take(C, R);
}

void RegisteredReplica::take(const WireConnectionPtr &C, const WireRequest &R) {
  Arrival A;
  A.Request = R.header("Request-Id");
  A.Service = Shape.Service;
  A.Replica = Shape.Id;
  A.Method = R.Method;
  A.Target = R.Query.empty() ? R.Path : R.Path + "?" + R.Query;
  A.Body = R.Body;
  A.Organisation = R.header("Tenant");
  A.Credentials = !R.header("Authorization").empty();
  A.ReadAt = monotonicMs();
  A.WaitsMs = numberOr(R.header("Deadline-Ms"), -1);
  auto W = std::make_shared<Work>(Io);
  W->Caller = C;
  W->Request = R;
  W->Deadline = A.ReadAt + (A.WaitsMs < 0 ? 60000 : A.WaitsMs);
  W->Line = Log.add(std::move(A));
  std::string_view Wanted = R.header("Target-Instance");
  if (!Wanted.empty() && Wanted != Shape.Id) {
    end(W, Fate::Misled);
    WireReply Reply = replyTo(R);
    Reply.Status = 421;
    Reply.Headers.push_back({"Instance-Id", Shape.Id});
    return C->reply(Reply);
  }
  bool Full = Running.size() >= Shape.Slots && Waiting.size() >= Shape.Queue;
  if (Troubles.Shed || Full)
    return reject(W);
  Waiting.push_back(W);
  startNext();
}

void RegisteredReplica::startNext() {
  while (!Waiting.empty() && Running.size() < Shape.Slots) {
    WorkPtr W = Waiting.front();
    Waiting.pop_front();
    start(W);
  }
}

/// Work that meets a pause takes as much longer.
Duration RegisteredReplica::workTime() {
  double Ms = Shape.WorkMs * Troubles.Slow;
  Ms *= 1 + WorkSpread * (2 * uniform01(Rng) - 1);
  if (Shape.PauseMs <= 0)
    return fromMillisF(Ms);
  auto Phase = static_cast<double>(hash64(Shape.Id) % 1000) / 1000;
  double Since =
      std::fmod(monotonicMs() + Phase * Shape.PauseEveryMs, Shape.PauseEveryMs);
  bool Meets = Since < Shape.PauseMs || Since + Ms > Shape.PauseEveryMs;
  return fromMillisF(Meets ? Ms + Shape.PauseMs : Ms);
}

void RegisteredReplica::start(const WorkPtr &W) {
  double Now = monotonicMs();
  if (Now >= W->Deadline)
    return reject(W);
  Running.insert(W);
  Log.at(W->Line).BeganAt = Now;
  Log.at(W->Line).How = Fate::Running;
  if (!Troubles.EndedBy.empty() &&
      W->Request.Path.find(Troubles.EndedBy) != std::string::npos)
    return crash();
  Duration Left = fromMillisF(W->Deadline - Now);
  W->Timer.expires_after(std::min(workTime(), Left));
  W->Timer.async_wait([this, W](std::error_code Err) {
    if (!Err && !W->Ended)
      finish(W);
  });
}

void RegisteredReplica::finish(const WorkPtr &W) {
  bool TooLate = monotonicMs() >= W->Deadline;
  if (Troubles.LoseReplies > 0) {
    --Troubles.LoseReplies;
    end(W, Fate::Lost);
    W->Caller->close();
  } else if (TooLate || Troubles.Errors) {
    end(W, Fate::Failed);
    WireReply Reply = replyTo(W->Request);
    Reply.Status = TooLate ? 504 : 500;
    Reply.Headers.push_back({"Server-Stamp", Shape.Id + ".failed"});
    W->Caller->reply(Reply);
  } else {
    answer(W);
  }
  startNext();
}

void RegisteredReplica::answer(const WorkPtr &W) {
  WireReply Reply = replyTo(W->Request);
  Reply.Headers.push_back(
      {"Server-Stamp",
       fmt::format("{}.{}.{}", Shape.Id, Log.at(W->Line).Request, ++Runs)});
  Reply.Body = body(W->Request);
  std::string Bytes = Reply.bytes();
  if (Troubles.ShortReplies > 0) {
    --Troubles.ShortReplies;
    end(W, Fate::Lost);
    Bytes.resize(Bytes.size() - Reply.Body.size() / 2);
    W->Caller->sendRaw(std::move(Bytes));
    return W->Caller->closeWhenSent();
  }
  end(W, Fate::Answered);
  if (Troubles.BareReplies > 0) {
    --Troubles.BareReplies;
    Reply.Headers.push_back({"Connection", "close"});
    W->Caller->sendRaw(Reply.bytesWithoutLength());
    return W->Caller->closeWhenSent();
  }
  W->Caller->sendRaw(Bytes);
  if (Troubles.ExtraReplies == 0)
    return;
  --Troubles.ExtraReplies;
  W->Caller->sendRaw(std::move(Bytes));
}

void RegisteredReplica::reject(const WorkPtr &W) {
  end(W, Fate::Rejected);
  WireReply Reply = replyTo(W->Request);
  Reply.Status = 503;
  Reply.Headers.push_back({"Not-Executed", "1"});
  W->Caller->reply(Reply);
}

void RegisteredReplica::end(const WorkPtr &W, Fate How) {
  W->Ended = true;
  W->Timer.cancel();
  Running.erase(W);
  std::erase(Waiting, W);
  Log.at(W->Line).How = How;
  Log.at(W->Line).EndedAt = monotonicMs();
}

void RegisteredReplica::onClose(const WireConnectionPtr &C) {
  std::vector<WorkPtr> All(Waiting.begin(), Waiting.end());
  All.insert(All.end(), Running.begin(), Running.end());
  for (const WorkPtr &W : All)
    if (W->Caller == C)
      end(W, Fate::Cancelled);
  startNext();
}

WireReply RegisteredReplica::replyTo(const WireRequest &R) const {
  WireReply Reply;
  Reply.ContentType = "application/octet-stream";
  Reply.Headers = {{"Request-Id", std::string(R.header("Request-Id"))},
                   {"Server-Load", fmt::format("{},{},{}", Running.size(),
                                               Waiting.size(), Shape.Slots)}};
  return Reply;
}

std::string RegisteredReplica::body(const WireRequest &R) const {
  if (!Shape.FixedRecord.empty())
    return Shape.FixedRecord;
  std::string Out;
  for (unsigned N = 0; N < Shape.Records; ++N)
    Out += recordOf(Shape.Service, R.header("Request-Id"), N);
  return Out;
}

Result<void> RegisteredReplica::control(const Json &Orders) {
  BOOST_LEAF_CHECK(checkFields(
      Orders, {"replica", "shed", "errors", "hang", "slow", "lose_replies",
               "extra_replies", "short_replies", "bare_replies", "ended_by",
               "back_after_ms", "work_ms", "state", "die", "become"}));
  ReplicaTroubles T = Troubles;
  BOOST_LEAF_CHECK(readField(Orders, "shed", T.Shed));
  BOOST_LEAF_CHECK(readField(Orders, "errors", T.Errors));
  BOOST_LEAF_CHECK(readField(Orders, "hang", T.Hang));
  BOOST_LEAF_CHECK(readField(Orders, "slow", T.Slow));
  BOOST_LEAF_CHECK(readField(Orders, "lose_replies", T.LoseReplies));
  BOOST_LEAF_CHECK(readField(Orders, "extra_replies", T.ExtraReplies));
  BOOST_LEAF_CHECK(readField(Orders, "short_replies", T.ShortReplies));
  BOOST_LEAF_CHECK(readField(Orders, "bare_replies", T.BareReplies));
  BOOST_LEAF_CHECK(readField(Orders, "ended_by", T.EndedBy));
  BOOST_LEAF_CHECK(readField(Orders, "back_after_ms", T.BackAfterMs));
  BOOST_LEAF_CHECK(readField(Orders, "work_ms", Shape.WorkMs));
  Troubles = T;
  return controlLife(Orders);
}

Result<void> RegisteredReplica::controlLife(const Json &Orders) {
  std::string State;
  BOOST_LEAF_CHECK(readField(Orders, "state", State));
  if (State == "gone")
    vanish();
  else if (!State.empty())
    announce(State);
  if (Orders.contains("become")) {
    std::string Id;
    std::string Service;
    BOOST_LEAF_CHECK(readField(Orders["become"], "id", Id));
    BOOST_LEAF_CHECK(readField(Orders["become"], "service", Service));
    become(Id, Service);
  }
  bool Die = !Server.listening() && !Crashing;
  BOOST_LEAF_CHECK(readField(Orders, "die", Die));
  if (Die)
    Server.shut();
  else if (!Server.listening() && !Crashing)
    return Server.listen();
  return {};
}

/// Its registration stays until it would have lapsed; here, until the successor
/// replaces it.
void RegisteredReplica::crash() {
  if (std::exchange(Crashing, true))
    return;
  ++Starts;
  // Not from within a connection's own callback.
  asio::post(Io, [this] {
    std::vector<WorkPtr> All(Waiting.begin(), Waiting.end());
    All.insert(All.end(), Running.begin(), Running.end());
    for (const WorkPtr &W : All)
      end(W, Fate::Crashed);
    Server.shut();
    later(Io, Millis(Troubles.BackAfterMs), [this] { startAgain(); });
  });
}

void RegisteredReplica::startAgain() {
  Crashing = false;
  Store.remove(ReplicaKind, Shape.Id);
  Shape.Id =
      fmt::format("{}.{}", Shape.Id.substr(0, Shape.Id.find('.')), Starts);
  if (attempt([&] { return Server.listen(); }))
    announce("ready");
}

void RegisteredReplica::vanish() {
  Store.remove(ReplicaKind, Shape.Id);
  Server.shut();
}

/// Another replica starts where this one ended.
void RegisteredReplica::become(const std::string &Id,
                               const std::string &Service) {
  Server.shut();
  Shape.Id = Id;
  Shape.Service = Service;
  Troubles = {};
  announce("ready");
}

} // namespace shallot::standins
