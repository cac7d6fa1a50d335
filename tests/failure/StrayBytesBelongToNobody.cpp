// What must never reach a caller: bytes behind a reply, a second reply where
// the next one is due, a reply that broke off, another request's reply. What
// happens: a faulty replica sends these on kept connections; each is told apart
// as "lost", or dropped with its connection, and nothing is ever sent again by
// itself.
#include "NetFixture.h"
#include "RawServer.h"
#include "shallotshift/http1.h"

#include <doctest/doctest.h>

using namespace shallot;

namespace {

struct PoolFixture : NetFixture {
  TimerQueue Timers{Loop};
  Endpoint At = freeEndpoint("127.0.0.1");
  UpstreamPool Pool{Loop, Timers, {}};
  std::function<RawAct(const RawRequest &)> Act = [](const RawRequest &) {
    return RawAct::Answer;
  };
  RawServer Server{Loop, At, [this](const RawRequest &R) { return Act(R); }};

  UpstreamRequest request(const std::string &Id = "1") {
    UpstreamRequest R;
    R.To = At;
    R.Bytes = requestText(requestHead("GET", "/", {{"Id", Id}}), {}, "");
    R.EchoName = "Id";
    R.EchoValue = Id;
    return R;
  }
  UpstreamReply exchange(const std::string &Id = "1") {
    std::optional<UpstreamReply> Got;
    Pool.send(request(Id), [&](UpstreamReply R) { Got = std::move(R); });
    runUntil([&] { return Got.has_value(); });
    return std::move(*Got);
  }
};

std::string reply(const std::string &Id, const std::string &Body = "ok") {
  return "HTTP/1.1 200 OK\r\nId: " + Id +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

std::string rejection(const std::string &Id) {
  return "HTTP/1.1 503 Service Unavailable\r\nId: " + Id +
         "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

TEST_CASE_FIXTURE(PoolFixture, "a new connection that is reset says so") {
  Act = [](const RawRequest &) { return RawAct::Reset; };
  UpstreamReply R = exchange();
  CHECK(R.How == CallEnd::Lost);
  CHECK(R.ConnectionRefused);
  Act = [](const RawRequest &) { return RawAct::Answer; };
  Server.Answer = reply("1");
  CHECK_FALSE(exchange().ConnectionRefused);
  // On one that carried a reply before, a reset says nothing of a cap.
  Act = [](const RawRequest &) { return RawAct::Reset; };
  CHECK_FALSE(exchange().ConnectionRefused);
}

TEST_CASE_FIXTURE(PoolFixture, "a whole reply keeps its connection") {
  Server.Answer = reply("1");
  for (int I = 0; I < 3; ++I) {
    UpstreamReply R = exchange();
    CHECK(R.How == CallEnd::Answered);
    CHECK(R.Body == "ok");
  }
  CHECK(Server.Accepted == 1);
}

TEST_CASE_FIXTURE(PoolFixture, "no request goes to a process that is gone") {
  // The replica started again at its address; what is sent on a connection to
  // the process before would be lost, and whether it ran unknown.
  Server.Answer = reply("1");
  exchange();
  UpstreamRequest R = request();
  R.OpenedFrom = Timers.now() + Millis(1);
  std::optional<UpstreamReply> Got;
  Pool.send(R, [&](UpstreamReply A) { Got = std::move(A); });
  runUntil([&] { return Got.has_value(); });
  CHECK(Got->How == CallEnd::Answered);
  CHECK(Server.Accepted == 2);
  CHECK(Pool.idle() == 1);
}

TEST_CASE_FIXTURE(PoolFixture, "bytes behind a reply close its connection") {
  Server.Answer = reply("1") + "garbage";
  CHECK(exchange().Body == "ok");
  Server.Answer = reply("1", "next");
  CHECK(exchange().Body == "next");
  CHECK(Server.Accepted == 2);
}

TEST_CASE_FIXTURE(PoolFixture, "a second reply is not the next one's") {
  // The second reply comes late, at the moment when the next is due.
  Server.Answer = reply("1");
  CHECK(exchange("1").How == CallEnd::Answered);
  Server.Answer = reply("1", "stale") + reply("2", "mine");
  UpstreamReply R = exchange("2");
  CHECK(R.How == CallEnd::Lost);
  CHECK(R.Body.empty());
  Server.Answer = reply("3", "mine");
  CHECK(exchange("3").Body == "mine");
  CHECK(Pool.counters().Stray == 1);
}

TEST_CASE_FIXTURE(PoolFixture, "a late copy of a rejection is not the answer "
                               "to the request that is sent again") {
  Server.Answer = rejection("1");
  CHECK(exchange("1").Status == 503);
  // On the connection of the rejection its copy comes first.
  Act = [&](const RawRequest &R) {
    Server.Answer = (R.Connection == 0 ? rejection("1") : "") + reply("1");
    return RawAct::Answer;
  };
  UpstreamRequest Again = request("1");
  Again.Repeated = true;
  std::optional<UpstreamReply> Got;
  Pool.send(std::move(Again), [&](UpstreamReply R) { Got = std::move(R); });
  runUntil([&] { return Got.has_value(); });
  CHECK(Got->Status == 200);
  CHECK(Server.Accepted == 2);
  // Another request may use it, and tells the copy by its name.
  CHECK(exchange("2").How == CallEnd::Lost);
}

TEST_CASE_FIXTURE(PoolFixture, "a reply on an idle connection is nobody's") {
  Server.Answer = reply("1");
  exchange();
  CHECK(Pool.idle() == 1);
  Server.Answer = reply("1") + reply("1");
  exchange();
  runFor(Millis(20));
  CHECK(Pool.idle() == 0);
}

TEST_CASE_FIXTURE(PoolFixture, "a reply that breaks off is lost") {
  Act = [&](const RawRequest &) { return RawAct::Close; };
  UpstreamReply R = exchange();
  CHECK(R.How == CallEnd::Lost);
  CHECK(Server.Seen.size() == 1);
}

TEST_CASE_FIXTURE(PoolFixture, "bytes that are no reply are lost") {
  Server.Answer = "this is no reply\r\n\r\n";
  CHECK(exchange().How == CallEnd::Lost);
}

TEST_CASE_FIXTURE(PoolFixture,
                  "a kept connection that closed is not sent on again") {
  Server.Answer = reply("1");
  exchange();
  Act = [&](const RawRequest &R) {
    return R.Number == 0 ? RawAct::Answer : RawAct::Close;
  };
  UpstreamReply R = exchange();
  CHECK(R.How == CallEnd::Lost);
  runFor(Millis(50));
  CHECK(Server.Seen.size() == 2); // And not three: nothing repeats by itself.
}

TEST_CASE_FIXTURE(PoolFixture, "nothing listens: not sent") {
  Server.stopListening();
  runFor(Millis(5));
  CHECK(exchange().How == CallEnd::NotSent);
}

TEST_CASE_FIXTURE(PoolFixture,
                  "a dropped call closes its connection and is silent") {
  Act = [&](const RawRequest &) { return RawAct::Silent; };
  bool Called = false;
  auto Id = Pool.send(request(), [&](const UpstreamReply &) { Called = true; });
  runUntil([&] { return Server.Seen.size() == 1; });
  Pool.drop(Id);
  runFor(Millis(30));
  CHECK_FALSE(Called);
  CHECK(Pool.idle() == 0);
}

TEST_CASE_FIXTURE(PoolFixture,
                  "when one kept connection fell silent the others go") {
  Server.Answer = reply("1");
  std::vector<UpstreamReply> Got;
  auto Keep = [&](UpstreamReply R) { Got.push_back(std::move(R)); };
  for (int I = 0; I < 3; ++I)
    Pool.send(request(), Keep);
  runUntil([&] { return Got.size() == 3; });
  CHECK(Pool.idle() == 3);
  runFor(Millis(5));
  Act = [&](const RawRequest &) { return RawAct::Silent; };
  auto Id = Pool.send(request(), Keep);
  runUntil([&] { return Server.Seen.size() == 4; });
  Pool.drop(Id);
  CHECK(Pool.idle() == 0);
}

TEST_CASE_FIXTURE(PoolFixture,
                  "what may run once avoids connections quiet for long") {
  Server.Answer = reply("1");
  exchange();
  runFor(Millis(60));
  UpstreamRequest Once = request();
  Once.MostIdle = Millis(40);
  std::optional<UpstreamReply> Got;
  Pool.send(std::move(Once), [&](UpstreamReply R) { Got = std::move(R); });
  runUntil([&] { return Got.has_value(); });
  CHECK(Server.Accepted == 2);
}

TEST_CASE_FIXTURE(PoolFixture, "connections that are not needed are let go") {
  Server.Answer = reply("1");
  std::vector<UpstreamReply> Got;
  auto Burst = [&](std::size_t Count) {
    Got.clear();
    for (std::size_t I = 0; I < Count; ++I)
      Pool.send(request(),
                [&](UpstreamReply R) { Got.push_back(std::move(R)); });
    runUntil([&] { return Got.size() == Count; });
  };
  Burst(9);
  CHECK(Pool.idle() == UpstreamRequest().MostKept);
  Pool.trimIdle(Loop.now() - Seconds(1));
  CHECK(Pool.idle() == UpstreamRequest().MostKept); // Used just now.
  runFor(Millis(5));
  Pool.trimIdle(Loop.now());
  CHECK(Pool.idle() == UpstreamRequest().LeastKept);
  exchange();
  CHECK(Server.Accepted == 9); // What was kept is used.
}
