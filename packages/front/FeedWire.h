//===- FeedWire.h - Requests between daemons for store data -----*- C++ -*-===//
//
// GET /feed/KIND?after=NAME&wait_ms=N  a page of the objects, as soon as
//                                      anything was read
// GET /feed/KIND?since=REV&wait_ms=N   changes after REV, as soon as there are
//   &relays=1                          also without a change, whenever the
//                                      store has answered the peer
//
// JSON, because the objects are JSON in the store and are passed on as they
// are. 503: nothing was read yet; 410: that history is not kept, list anew. The
// age of the data is in the header Feed-Age-Ms, beside a body that may have
// been made for another peer, and in the body for peers that do not know the
// header.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_FEEDWIRE_H
#define SHALLOTSHIFT_FRONT_FEEDWIRE_H

#include "shallotshift/net.h"
#include "shallotshift/store.h"

namespace shallot {

struct FeedRequest {
  std::string Kind;
  std::string After;                  ///< Of a list.
  std::optional<std::uint64_t> Since; ///< Of a watch.
  Duration Wait{};
  /// Other daemons read from the sender, so it must know how old its data is.
  bool Relays = false;

  friend bool operator==(const FeedRequest &, const FeedRequest &) = default;
};

/// Path and query of \p Q.
std::string feedTarget(const FeedRequest &Q);
/// Nothing when the request is not of this form.
std::optional<FeedRequest> parseFeedRequest(std::string_view Path,
                                            std::string_view Query);

/// Reports that the store last answered \p Age ago.
HttpHeader ageHeader(Duration Age);
std::string writePage(const KindPage &P);
std::string writeChanges(const KindChanges &C);
/// Fail with PlatformBadReply, or with the code of the reply's status.
Attempt<KindPage> readPage(const HttpReply &R);
Attempt<KindChanges> readChanges(const HttpReply &R);

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_FEEDWIRE_H
