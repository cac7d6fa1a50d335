#include "standins/PlatformService.h"

#include "standins/Later.h"

#include <algorithm>
#include <chrono>
#include <fmt/format.h>

namespace shallot::standins {

namespace {

constexpr std::string_view ObjectsPrefix = "/objects/";
/// The key of the host list among the watched paths; no object path is empty.
const std::string HostsKey;

std::string etagOf(std::uint64_t Version) {
  return fmt::format("\"{}\"", Version);
}

WireReply statusReply(int Status, std::string_view Title = {}) {
  WireReply R;
  R.Status = Status;
  if (!Title.empty())
    R.Body = Json{{"title", Title}, {"status", Status}}.dump();
  return R;
}

WireReply objectReply(const PlatformObject &Object) {
  WireReply R;
  R.Headers.push_back({"ETag", etagOf(Object.Version)});
  R.Body = Object.Body;
  R.ContentType = "application/octet-stream";
  return R;
}

/// Reads If-Match and If-None-Match; nothing when one cannot be understood.
std::optional<WriteCondition> conditionOf(const WireRequest &R) {
  WriteCondition If;
  If.MustBeAbsent = R.header("If-None-Match") == "*";
  std::string_view Match = R.header("If-Match");
  if (Match.empty())
    return If;
  if (Match.size() < 3 || Match.front() != '"' || Match.back() != '"')
    return std::nullopt;
  std::string Digits(Match.substr(1, Match.size() - 2));
  if (Digits.find_first_not_of("0123456789") != std::string::npos)
    return std::nullopt;
  If.MustBeVersion = std::stoull(Digits);
  return If;
}

bool isWrite(const WireRequest &R) {
  return R.Method == "PUT" || R.Method == "DELETE";
}

} // namespace

struct PlatformService::Watch {
  explicit Watch(asio::io_context &Io) : Timer(Io) {}
  WireConnectionPtr Connection;
  std::string Key;
  std::uint64_t After = 0;
  asio::steady_timer Timer;
  bool Ended = false;
};

std::uint64_t PlatformCounters::calls() const {
  return Reads + Writes + Deletes + Watches + HostReads + HostWatches;
}

bool PlatformService::RateWindow::admits(unsigned Limit) {
  auto Now = std::chrono::steady_clock::now().time_since_epoch();
  std::int64_t This = std::chrono::duration_cast<Seconds>(Now).count();
  if (This != Second) {
    Second = This;
    Calls = 0;
  }
  ++Calls;
  return Limit == 0 || Calls <= Limit;
}

PlatformService::PlatformService(asio::io_context &Io, const Endpoint &At)
    : Io(Io),
      Server(Io, At,
             {.OnOpen = [] { return true; },
              .OnRequest = [this](const WireConnectionPtr &C,
                                  const WireRequest &R) { onRequest(C, R); },
              .OnClose =
                  [this](const WireConnectionPtr &C) {
                    std::list<WatchPtr> Now = Watches;
                    for (const WatchPtr &W : Now)
                      if (W->Connection == C)
                        endWatch(W, {});
                  }}) {}

void PlatformService::reply(const WireConnectionPtr &C, WireReply Reply) {
  Counts.BytesOut += Reply.Body.size();
  if (Faults.SlowMs == 0)
    return C->reply(Reply);
  later(Io, Millis(Faults.SlowMs), [this, C, Reply = std::move(Reply)] {
    if (Faults.Down)
      return C->close();
    C->reply(Reply);
  });
}

void PlatformService::onRequest(const WireConnectionPtr &C,
                                const WireRequest &R) {
  if (R.Path.starts_with("/control"))
    return onControl(C, R);
  Counts.BytesIn += R.Body.size();
  if (refused(C, R))
    return;
  if (R.Path == "/hosts" && R.Method == "GET")
    return readHosts(C, R);
  if (!R.Path.starts_with(ObjectsPrefix) ||
      R.Path.size() == ObjectsPrefix.size())
    return reply(C, statusReply(404, "no such resource"));
  std::string Path = R.Path.substr(ObjectsPrefix.size());
  if (R.Method == "GET")
    return readObject(C, R, Path);
  if (R.Method == "PUT")
    return writeObject(C, R, Path);
  if (R.Method == "DELETE")
    return removeObject(C, R, Path);
  reply(C, statusReply(405, "GET, PUT or DELETE"));
}

bool PlatformService::refused(const WireConnectionPtr &C,
                              const WireRequest &R) {
  if (Faults.Down || Faults.Unavailable)
    ++Counts.RefusedDown;
  if (Faults.Down) {
    C->close();
    return true;
  }
  if (Faults.Unavailable) {
    reply(C, statusReply(503, "the platform is down"));
    return true;
  }
  bool Admitted = isWrite(R) ? WriteRate.admits(Faults.MaxWritesPerSecond)
                             : ReadRate.admits(Faults.MaxReadsPerSecond);
  if (Admitted)
    return false;
  ++Counts.Throttled;
  WireReply Slow = statusReply(429, "over the rate");
  Slow.Headers.push_back({"Retry-After", "1"});
  reply(C, Slow);
  return true;
}

void PlatformService::readObject(const WireConnectionPtr &C,
                                 const WireRequest &R,
                                 const std::string &Path) {
  if (!R.parameter("after").empty()) {
    ++Counts.Watches;
    return wait(C, R, Path, R.parameterNumber("after", 0));
  }
  ++Counts.Reads;
  const PlatformObject *Object = Store.find(Path);
  reply(C, Object ? objectReply(*Object) : statusReply(404, "no such object"));
}

void PlatformService::readHosts(const WireConnectionPtr &C,
                                const WireRequest &R) {
  if (!R.parameter("after").empty()) {
    ++Counts.HostWatches;
    return wait(C, R, HostsKey, R.parameterNumber("after", 0));
  }
  ++Counts.HostReads;
  reply(C, *newer(HostsKey, 0));
}

/// The condition of a write or removal; nothing when it was lost or refused
/// here, which is then done.
std::optional<WriteCondition>
PlatformService::takeWrite(const WireConnectionPtr &C, const WireRequest &R) {
  if (Faults.LoseWriteRequests > 0) {
    --Faults.LoseWriteRequests;
    ++Counts.LostRequests;
    C->close();
    return std::nullopt;
  }
  std::optional<WriteCondition> If = conditionOf(R);
  if (!If)
    reply(C, statusReply(400, "If-Match: not a quoted number"));
  return If;
}

void PlatformService::writeObject(const WireConnectionPtr &C,
                                  const WireRequest &R,
                                  const std::string &Path) {
  ++Counts.Writes;
  std::optional<WriteCondition> If = takeWrite(C, R);
  if (!If)
    return;
  std::uint64_t Version = 0;
  WriteOutcome Outcome = Store.put(Path, R.Body, *If, Version);
  answerWrite(C, Outcome, Version);
  if (Outcome == WriteOutcome::Done)
    fire(Path);
}

void PlatformService::removeObject(const WireConnectionPtr &C,
                                   const WireRequest &R,
                                   const std::string &Path) {
  ++Counts.Deletes;
  std::optional<WriteCondition> If = takeWrite(C, R);
  if (!If)
    return;
  WriteOutcome Outcome = Store.remove(Path, *If);
  answerWrite(C, Outcome, 0);
  if (Outcome == WriteOutcome::Done)
    fire(Path);
}

void PlatformService::answerWrite(const WireConnectionPtr &C,
                                  WriteOutcome Outcome, std::uint64_t Version) {
  if (Outcome == WriteOutcome::Done && Faults.LoseWriteReplies > 0) {
    --Faults.LoseWriteReplies;
    ++Counts.LostReplies;
    return C->close();
  }
  switch (Outcome) {
  case WriteOutcome::Done: {
    WireReply R;
    if (Version)
      R.Headers.push_back({"ETag", etagOf(Version)});
    return reply(C, R);
  }
  case WriteOutcome::Conflict:
    ++Counts.Conflicts;
    return reply(C, statusReply(412, "the object changed"));
  case WriteOutcome::TooLarge:
    ++Counts.TooLarge;
    return reply(C, statusReply(413, "over 1000000 bytes"));
  case WriteOutcome::NotFound:
    return reply(C, statusReply(404, "no such object"));
  }
}

std::optional<WireReply> PlatformService::newer(const std::string &Key,
                                                std::uint64_t After) const {
  if (Key == HostsKey) {
    if (Hosts.version() <= After)
      return std::nullopt;
    WireReply R;
    R.Headers.push_back({"ETag", etagOf(Hosts.version())});
    R.Body = Hosts.shown().dump();
    return R;
  }
  const PlatformObject *Object = Store.find(Key);
  if (!Object)
    return After > 0 ? std::optional(statusReply(404, "no such object"))
                     : std::nullopt;
  if (Object->Version <= After)
    return std::nullopt;
  return objectReply(*Object);
}

void PlatformService::wait(const WireConnectionPtr &C, const WireRequest &R,
                           const std::string &Key, std::uint64_t After) {
  if (std::optional<WireReply> Now = newer(Key, After))
    return reply(C, *Now);
  auto W = std::make_shared<Watch>(Io);
  W->Connection = C;
  W->Key = Key;
  W->After = After;
  std::uint64_t WaitMs =
      std::min(R.parameterNumber("wait_ms", 0), MaxWatchWaitMs);
  W->Timer.expires_after(Millis(WaitMs));
  W->Timer.async_wait([this, W](std::error_code Err) {
    if (!Err)
      endWatch(W, statusReply(304));
  });
  Watches.push_back(W);
  Counts.WatchesWaiting = Watches.size();
  Counts.WatchesWaitingMax =
      std::max(Counts.WatchesWaitingMax, Counts.WatchesWaiting);
}

void PlatformService::endWatch(const WatchPtr &W, const WireReply &Reply) {
  if (W->Ended)
    return;
  W->Ended = true;
  W->Timer.cancel();
  Watches.remove(W);
  Counts.WatchesWaiting = Watches.size();
  if (W->Connection->open())
    reply(W->Connection, Reply);
}

void PlatformService::fire(const std::string &Key) {
  std::list<WatchPtr> Now = Watches;
  for (const WatchPtr &W : Now) {
    if (W->Key != Key)
      continue;
    if (std::optional<WireReply> Reply = newer(Key, W->After)) {
      ++Counts.WatchesFired;
      endWatch(W, *Reply);
    }
  }
}

void PlatformService::dropWatches() {
  std::list<WatchPtr> Now = Watches;
  for (const WatchPtr &W : Now)
    W->Connection->close();
}

void PlatformService::onControl(const WireConnectionPtr &C,
                                const WireRequest &R) {
  WireReply Reply;
  if (R.Path == "/control/counters") {
    Reply.Body = countersJson().dump();
    return C->reply(Reply);
  }
  Attempt<Done> Outcome = attempt([&]() -> Result<void> {
    BOOST_LEAF_AUTO(Orders, parseJson(R.Body));
    return control(Orders);
  });
  Reply = Outcome ? statusReply(200) : statusReply(400, Outcome.error().Detail);
  C->reply(Reply);
}

Result<void> PlatformService::control(const Json &Orders) {
  BOOST_LEAF_CHECK(checkFields(
      Orders, {"down", "unavailable", "slow_ms", "lose_next_write_replies",
               "lose_next_write_requests", "hosts_lag_ms", "max_writes_per_s",
               "max_reads_per_s", "set_host_state", "put_host"}));
  PlatformFaults F = Faults;
  BOOST_LEAF_CHECK(readField(Orders, "down", F.Down));
  BOOST_LEAF_CHECK(readField(Orders, "unavailable", F.Unavailable));
  BOOST_LEAF_CHECK(readField(Orders, "slow_ms", F.SlowMs));
  BOOST_LEAF_CHECK(
      readField(Orders, "lose_next_write_replies", F.LoseWriteReplies));
  BOOST_LEAF_CHECK(
      readField(Orders, "lose_next_write_requests", F.LoseWriteRequests));
  BOOST_LEAF_CHECK(readField(Orders, "hosts_lag_ms", F.HostsLagMs));
  BOOST_LEAF_CHECK(readField(Orders, "max_writes_per_s", F.MaxWritesPerSecond));
  BOOST_LEAF_CHECK(readField(Orders, "max_reads_per_s", F.MaxReadsPerSecond));
  Faults = F;
  if (Faults.Down || Faults.Unavailable)
    dropWatches();
  return controlHosts(Orders);
}

Result<void> PlatformService::controlHosts(const Json &Orders) {
  if (Orders.contains("put_host")) {
    BOOST_LEAF_CHECK(Hosts.put(Orders["put_host"]));
  }
  if (Orders.contains("set_host_state")) {
    std::string Host;
    std::string State;
    BOOST_LEAF_CHECK(readField(Orders["set_host_state"], "host", Host));
    BOOST_LEAF_CHECK(readField(Orders["set_host_state"], "state", State));
    BOOST_LEAF_CHECK(Hosts.setState(Host, State));
  }
  later(Io, Millis(Faults.HostsLagMs), [this] {
    Hosts.publish();
    fire(HostsKey);
  });
  return {};
}

Json PlatformService::countersJson() const {
  return {{"calls", Counts.calls()},
          {"reads", Counts.Reads},
          {"writes", Counts.Writes},
          {"deletes", Counts.Deletes},
          {"watches", Counts.Watches},
          {"host_reads", Counts.HostReads},
          {"host_watches", Counts.HostWatches},
          {"watches_waiting", Counts.WatchesWaiting},
          {"watches_waiting_max", Counts.WatchesWaitingMax},
          {"watches_fired", Counts.WatchesFired},
          {"conflicts", Counts.Conflicts},
          {"too_large", Counts.TooLarge},
          {"throttled", Counts.Throttled},
          {"lost_replies", Counts.LostReplies},
          {"lost_requests", Counts.LostRequests},
          {"refused_down", Counts.RefusedDown},
          {"bytes_in", Counts.BytesIn},
          {"bytes_out", Counts.BytesOut},
          {"objects", Store.size()}};
}

} // namespace shallot::standins
