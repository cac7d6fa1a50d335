//===- PeerTypes.h - Calls between daemons as values ------------*- C++ -*-===//
//
// Every call may be lost after it took effect, and may be repeated: searches
// and fetches are idempotent, and the action messages are made so by the key
// that they carry (docs/design/peers.md). PeerUnreachable therefore proves
// nothing about the other side.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_PEER_PEERTYPES_H
#define SHALLOTSHIFT_PEER_PEERTYPES_H

#include "shallotshift/action.h"
#include "shallotshift/base.h"
#include "shallotshift/fleet.h"
#include "shallotshift/model.h"

#include <functional>
#include <memory>
#include <utility>

namespace shallot {

/// The largest message in either direction. Holds an upstream's largest reply
/// (4 MB) and the largest piece of configuration (2 MB) with room to spare.
inline constexpr std::size_t MaxPeerMessageBytes = 8 << 20;

/// Bounds and waits of one daemon's calls to and from peers.
struct PeerLimits {
  /// Connections that this daemon opens; beyond them the one that was idle the
  /// longest is closed. Holders of all slots at 1,700 daemons would be 1,699.
  std::size_t MaxOutbound = 2048;
  /// Connections that others open to it; further ones are closed at once.
  std::size_t MaxInbound = 2048;
  /// Calls without an answer on one connection; further ones are PeerBusy.
  std::size_t MaxCallsPerConnection = 4096;
  Duration ConnectTimeout = Millis(500);
  /// A call that is this old while its connection has said nothing since makes
  /// us ask for a sign of life.
  Duration QuietBeforePing = Millis(300);
  /// No sign of life for this long after asking: the connection is replaced
  /// and its calls fail with PeerUnreachable.
  Duration PingTimeout = Millis(700);
  /// Connections unused for this long are closed.
  Duration IdleTimeout = Seconds(60);
};

/// Called once with the answer, on the thread of the EventLoop. Errors:
/// PeerUnreachable, PeerWrongIncarnation (that daemon no longer exists),
/// PeerBusy, PeerBadMessage, and what the other daemon's handler answered.
template <typename T> using PeerCallback = std::function<void(Attempt<T>)>;

/// Answers one call of a peer, once; later answers are ignored. When the last
/// copy is dropped without an answer the peer gets Internal. May be used only
/// on the thread of the EventLoop, and may outlive the PeerNode.
template <typename T> class PeerResponder {
public:
  struct State {
    std::function<void(Attempt<T>)> Send; ///< Empty once answered.
    std::function<void()> Cancelled;

    State() = default;
    State(const State &) = delete;
    State &operator=(const State &) = delete;
    ~State() {
      if (Send)
        Send(Error{ResultCode::Internal, "a call was dropped unanswered"});
    }
  };

  explicit PeerResponder(std::shared_ptr<State> S) : S(std::move(S)) {}

  void reply(Attempt<T> Answer) const {
    S->Cancelled = nullptr;
    if (auto Send = std::exchange(S->Send, nullptr))
      Send(std::move(Answer));
  }

  /// \p Fn is called when the peer no longer wants the answer: it cancelled,
  /// timed out or is gone. Work that is still queued need not be done.
  void onCancel(const std::function<void()> &Fn) const {
    if (S->Send)
      S->Cancelled = Fn;
  }

private:
  std::shared_ptr<State> S;
};

/// What a fetch of configuration asks for.
struct ConfigQuery {
  std::vector<std::string> Have; ///< At most MaxHaveHashes content hashes.
  std::uint64_t MinGeneration = 0;

  friend bool operator==(const ConfigQuery &, const ConfigQuery &) = default;
};

/// Queries a watcher of the platform's host list what is leaving.
struct LeavingQuery {
  friend bool operator==(const LeavingQuery &, const LeavingQuery &) = default;
};

/// Most upstreams that one answer names; a rack or a zone that leaves at once
/// is far fewer.
inline constexpr std::size_t MaxLeavingUpstreams = 4096;

/// The upstreams that the host list of this version says are leaving.
struct LeavingUpstreams {
  std::uint64_t Version = 0; ///< 0: the list was not read yet.
  std::vector<UpstreamId> Ids;

  friend bool operator==(const LeavingUpstreams &,
                         const LeavingUpstreams &) = default;
};

/// Queries a watcher for the document of records of requests that crash
/// replicas.
struct RecordsQuery {
  std::uint64_t Known = 0; ///< The store's version that the asker has.

  friend bool operator==(const RecordsQuery &, const RecordsQuery &) = default;
};

struct RecordsAnswer {
  std::uint64_t Version = 0; ///< 0: the document was not read yet.
  std::string Document;      ///< Empty when the asker has this version.

  friend bool operator==(const RecordsAnswer &,
                         const RecordsAnswer &) = default;
};

template <typename Request, typename Answer>
using PeerHandler =
    std::function<void(const DaemonId &From, Request, PeerResponder<Answer>)>;

/// What this daemon does for its peers. A handler that is not set answers
/// Internal.
struct PeerHandlers {
  PeerHandler<SubRequest, SubReply> Search;
  PeerHandler<ConfigQuery, ConfigParts> FetchConfig;
  PeerHandler<ForwardAction, ActionOutcome> Forward;
  PeerHandler<RecordIntent, IntentAnswer> Intent;
  PeerHandler<RecordOutcome, Done> Outcome;
  PeerHandler<FenceKey, FenceAnswer> Fence;
  PeerHandler<LeavingQuery, LeavingUpstreams> Leaving;
  PeerHandler<RecordsQuery, RecordsAnswer> Records;
};

/// Counters since the start, for metrics.
struct PeerStats {
  std::uint64_t CallsSent = 0;
  std::uint64_t CallsServed = 0;
  std::uint64_t CallsFailed = 0;
  std::uint64_t CallsRefused = 0; ///< PeerBusy, on either side.
  std::uint64_t SilentConnections = 0;
  std::uint64_t ConnectionsOpened = 0;
  std::uint64_t OutboundOpen = 0;
  std::uint64_t InboundOpen = 0;
  std::uint64_t InboundRefused = 0;
  std::uint64_t BytesSent = 0;
  std::uint64_t BytesReceived = 0;

  friend bool operator==(const PeerStats &, const PeerStats &) = default;
};

} // namespace shallot

#endif // SHALLOTSHIFT_PEER_PEERTYPES_H
