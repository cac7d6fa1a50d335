//===- UpstreamClient.h - Sub-requests over HTTP to upstreams ---*- C++ -*-===//
//
// Converts a SubRequest into the HTTP request of docs/UPSTREAM.md and what
// comes back into a SubReply. It decides nothing: which upstream, when to give
// up and whether to ask again is the core's business.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_DAEMON_UPSTREAMCLIENT_H
#define SHALLOTSHIFT_DAEMON_UPSTREAMCLIENT_H

#include "shallotshift/model.h"
#include "shallotshift/net.h"

#include <functional>
#include <unordered_map>

namespace shallot {

/// The HTTP request that carries \p Request to \p To.
HttpRequest upstreamRequest(const SubRequest &Request, const Endpoint &To);

/// What \p Reply says about \p Request. A reply without the attempt's own id is
/// UpstreamMismatch, one without a readable snapshot UpstreamBadReply.
SubReply readUpstreamReply(const SubRequest &Request, HttpReply Reply);

/// Reads "41.7,42.7". Pairs that cannot be read are left out.
std::vector<Snapshot> readSnapshots(std::string_view Text);

class UpstreamClient {
public:
  using Callback = std::function<void(SubReply)>;
  using CallId = std::uint64_t;
  /// Finds out whether the process at an address ended, whose connection broke
  /// just now.
  using CrashProbe =
      std::function<void(const Endpoint &, std::function<void(bool Ended)>)>;

  UpstreamClient(EventLoop &Loop, HttpClient &Http, CrashProbe Probe)
      : Loop(Loop), Http(Http), Probe(std::move(Probe)) {}

  /// Sends one sub-request; \p Done is called exactly once, also when the call
  /// is cancelled (then with Cancelled), because only then is its slot free.
  CallId send(const SubRequest &Request, const Endpoint &To, Callback Done);
  /// Tells the upstream to stop a search. The call ends when the upstream has
  /// answered it, or is closed after a short grace. An action is not stopped.
  void cancel(CallId Id);

private:
  struct Call {
    SubRequest Request;
    Endpoint To;
    Callback Done;
    HttpClient::TransferId Transfer = 0;
    bool Cancelled = false;
  };

  void ended(CallId Id, HttpReply Reply);
  void finish(CallId Id, HttpReply Reply, bool Crashed = false);
  void close(CallId Id);

  EventLoop &Loop;
  HttpClient &Http;
  CrashProbe Probe;
  std::unordered_map<CallId, Call> Calls;
  CallId LastId = 0;
};

} // namespace shallot

#endif // SHALLOTSHIFT_DAEMON_UPSTREAMCLIENT_H
