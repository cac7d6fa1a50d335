//===- FeedWire.h - Wire format of the feed between daemons -----*- C++ -*-===//
//
// GET /feed/KIND?after=NAME&wait_ms=N  a page of objects, once the peer has
//                                      read any
// GET /feed/KIND?since=REV&wait_ms=N   changes after REV, once there are any
//   &epoch=E                           the epoch that REV is of
//   &relays=1                          also without changes, whenever the
//                                      store has answered the peer
//
// The format is JSON because objects are JSON in the store and are relayed
// unchanged. Status 503: nothing has been read yet, or only data of an earlier
// epoch; 410: that history is no longer available, so the client must list
// again. The age of the data is in the header Feed-Age-Ms, since a body may
// have been created for another peer, and also in the body for peers that do
// not know the header.
//
// Versions without epochs name none. A request without one is taken for one of
// the server's epoch, because an older client that is told to list again would
// send the same request right after it. A reply without one is of epoch 0.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_FEEDWIRE_H
#define SHALLOTSHIFT_FRONT_FEEDWIRE_H

#include "shallotshift/net.h"
#include "shallotshift/store.h"

namespace shallot {

struct FeedRequest {
  std::string Kind;
  std::string After;                  ///< For a list.
  std::optional<std::uint64_t> Since; ///< For a watch: number of a revision.
  std::optional<std::uint64_t> Epoch; ///< For a watch: epoch of Since.
  Duration Wait{};
  /// Other daemons read from the requester, so it must know how old its data
  /// is.
  bool Relays = false;

  friend bool operator==(const FeedRequest &, const FeedRequest &) = default;
};

/// Path and query of \p Q.
std::string feedTarget(const FeedRequest &Q);
/// Returns nothing if \p Path does not start with /feed/. Missing or malformed
/// numbers are ignored; the wait is limited to 30 s.
std::optional<FeedRequest> parseFeedRequest(std::string_view Path,
                                            std::string_view Query);

/// Header that reports the time since the store last answered.
HttpHeader ageHeader(Duration Age);
std::string writePage(const KindPage &P);
std::string writeChanges(const KindChanges &C);
/// Fail with PeerBadMessage for a malformed body, PlatformHistoryGone for
/// status 410 or a reply that exceeds the size limit, or PeerUnreachable for
/// other failures.
Attempt<KindPage> readPage(const HttpReply &R);
Attempt<KindChanges> readChanges(const HttpReply &R);

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_FEEDWIRE_H
