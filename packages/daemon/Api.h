//===- Api.h - The daemon's HTTP interface ----------------------*- C++ -*-===//
//
// Routes of docs/API.md. Reads requests, passes them to the services and writes
// their answers; decides nothing.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_DAEMON_API_H
#define SHALLOTSHIFT_DAEMON_API_H

#include "daemon/ActionService.h"
#include "daemon/ControlPlane.h"
#include "daemon/SearchService.h"

namespace shallot {

class Api {
public:
  struct Parts {
    EventLoop &Loop;
    FleetState &Fleet;
    SearchService &Searches;
    ActionService &Actions;
    ControlPlane &Control;
    EventLog &Events;
    Metrics &Meter;
    /// Brings gauges up to date before metrics are read.
    std::function<void()> Refresh;
  };

  explicit Api(Parts P) : P(std::move(P)) {}

  void handle(ServerRequest Request, const Responder &Answer);

private:
  void get(const ServerRequest &Request, const Responder &Answer);
  void post(const ServerRequest &Request, const Responder &Answer);
  void search(const ServerRequest &Request, const Responder &Answer);
  void action(const ServerRequest &Request, const Responder &Answer);
  void refuseAction(const ActionRequest &R, const RequestId &Id,
                    const Error &Why, const Responder &Answer);
  void actionKey(const ServerRequest &Request, const Responder &Answer);
  void lookUp(const ServerRequest &Request, const Responder &Answer,
              std::string_view Key);
  void explain(const Responder &Answer, std::string_view Id);
  ServerReply ready() const;
  ServerReply status() const;
  ServerReply metrics() const;
  ServerReply entry(const ServerRequest &Request) const;
  std::string newId();

  Parts P;
  std::uint64_t LastId = 0;
};

} // namespace shallot

#endif // SHALLOTSHIFT_DAEMON_API_H
