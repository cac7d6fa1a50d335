//===- FrontBed.h - A front daemon among stand-ins --------------*- C++ -*-===//
//
// A whole daemon on loopback: a stand-in for the store in the deployment's wire
// form, replicas that answer with records, and callers. Everything on one loop.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_TESTS_FRONTBED_H
#define SHALLOTSHIFT_TESTS_FRONTBED_H

#include "NetFixture.h"
#include "platform/Joining.h"
#include "platform/WireStore.h"

#include <nlohmann/json.hpp>

namespace shallot::test {

/// The store: objects by kind, lists and watches in the deployment's form.
class StoreStandin {
public:
  StoreStandin(EventLoop &Loop, const Endpoint &At);

  void put(const std::string &Kind, const std::string &Name,
           nlohmann::json Spec);
  void remove(const std::string &Kind, const std::string &Name);
  /// Calls are answered 503 from now on, or as usual.
  void setDown(bool IsDown) { Down = IsDown; }
  /// Calls for this kind alone are answered 503; empty: for none.
  void setDownFor(std::string Kind) { DownKind = std::move(Kind); }
  unsigned Calls = 0;

private:
  struct Event {
    std::string Kind;
    nlohmann::json Object;
    bool Deleted = false;
    std::uint64_t Revision = 0;
  };
  struct Waiter {
    std::string Kind;
    std::uint64_t From = 0;
    Responder Answer;
  };

  void handle(const ServerRequest &R, const Responder &A);
  bool tryAnswer(const Waiter &W, bool Anyway);
  void wake();

  EventLoop &Loop;
  std::map<std::string, std::map<std::string, nlohmann::json>> Objects;
  std::vector<Event> Events;
  std::uint64_t Revision = 100;
  std::list<Waiter> Waiting;
  bool Down = false;
  std::string DownKind;
  std::unique_ptr<HttpServer> Server;
};

/// A replica that answers with its record, or as a test says.
class ReplicaStandin {
public:
  using Fn = std::function<void(const ServerRequest &, const Responder &)>;

  ReplicaStandin(EventLoop &Loop, std::string Id, char Record);

  const std::string &id() const { return Id; }
  const Endpoint &at() const { return At; }
  nlohmann::json registration(const std::string &Service,
                              const std::string &State = "ready") const;
  /// Answers instead of the usual reply.
  Fn Instead;
  std::vector<ServerRequest> Seen;

private:
  void usual(const ServerRequest &R, const Responder &A) const;

  std::string Id;
  char Record;
  Endpoint At;
  std::unique_ptr<HttpServer> Server;
};

struct FrontBed : NetFixture {
  FrontBed();

  /// Starts the daemon and waits until it is ready.
  void start();
  HttpReply get(const std::string &Path, const std::string &Id = "q-1",
                const std::string &Method = "GET", std::string Body = {});
  HttpReply ask(const Endpoint &To, const std::string &Path);
  /// The configuration with a search over s1 and s2 and an action on p.
  nlohmann::json config(int Version, double LeastShare = 0.5) const;

  FrontSettings Set;
  StoreStandin Store;
  ReplicaStandin One, Two, Pay;
  HttpClient Http{Loop};
  wire::WireStore Client;
  std::unique_ptr<FrontDaemon> Daemon;
  std::unique_ptr<ServingFeed<wire::WireStore>> Feed;

private:
  static FrontSettings settings();
};

} // namespace shallot::test

#endif // SHALLOTSHIFT_TESTS_FRONTBED_H
