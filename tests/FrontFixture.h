//===- FrontFixture.h - A front daemon among stand-ins ----------*- C++ -*-===//
//
// A whole daemon on loopback among stand-ins in the deployment's wire form: the
// store, replicas that answer with records, and callers. All on one loop.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_TESTS_FRONTFIXTURE_H
#define SHALLOTSHIFT_TESTS_FRONTFIXTURE_H

#include "NetFixture.h"
#include "platform/DeploymentAdapter.h"
#include "platform/WireStore.h"
#include "standins/RegisteredReplica.h"

#include <nlohmann/json.hpp>

namespace shallot::test {

struct FrontFixture : NetFixture {
  FrontFixture();

  /// Starts the daemon.
  void open();
  /// The same, and waits until it is ready.
  void start();
  HttpReply get(const std::string &Path, const std::string &Id = "q-1",
                const std::string &Method = "GET", std::string Body = {});
  HttpReply ask(const Endpoint &To, const std::string &Path);
  /// The configuration with a search over s1 and s2 and an action on p.
  nlohmann::json config(int Version, double MinCoverage = 0.5) const;

  FrontSettings Set;
  standins::KindService Store;
  standins::ArrivalLog Log;
  standins::RegisteredReplica One, Two, Pay;
  HttpClient Http{Loop};
  wire::WireStore Client;
  std::unique_ptr<FrontDaemon> Daemon;
  std::unique_ptr<ServingFeed<wire::WireStore>> Feed;

private:
  static FrontSettings settings();
  static standins::ReplicaShape shape(const char *Id, const char *Service,
                                      char Record);
};

} // namespace shallot::test

#endif // SHALLOTSHIFT_TESTS_FRONTFIXTURE_H
