//===- FeedAnswers.h - One reply for many peers -----------------*- C++ -*-===//
//
// The load that it answers: sixteen peers request the same configuration within
// a moment. Sixteen times 0.7 MB are 6 s of a link of 14 Mbit/s, longer than a
// change may take to be in force. A configuration repeats the same keys, so it
// deflates well; it is deflated once for all peers.
//
//   FeedReplyCache Answers;
//   A.reply(Answers.reply(Key, Now, [&] { return writePage(P); }));
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_FEEDANSWERS_H
#define SHALLOTSHIFT_FRONT_FEEDANSWERS_H

#include "shallotshift/net.h"

#include <compare>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace shallot {

/// Identifies the content of an answer. The age of the data is not part of it
/// and is sent beside the body: a cached answer would report too young an age,
/// and two daemons that lost the store would take each other's data for fresh.
struct FeedReplyKey {
  std::string Kind;
  std::string After;                  ///< Of a page.
  std::optional<std::uint64_t> Since; ///< Of changes.
  std::uint64_t Revision = 0;         ///< Newest one that it covers.

  friend auto operator<=>(const FeedReplyKey &, const FeedReplyKey &) = default;
};

class FeedReplyCache {
public:
  /// How long an answer is kept: daemons that start together send their
  /// requests within this time.
  static constexpr Duration KeepTime = Seconds(2);
  /// Smaller bodies are not deflated.
  static constexpr std::size_t MinDeflateSize = 1024;
  /// The newest answers are kept; peers at the same revision share one.
  static constexpr std::size_t MaxEntries = 32;

  /// The answer for \p Key, made by \p Write if none is kept. Only for peers
  /// that accept deflated bodies.
  ServerReply reply(const FeedReplyKey &Key, Instant Now,
                    const std::function<std::string()> &Write);
  /// Forgets what was made too long ago.
  void expire(Instant Now);
  std::size_t size() const { return Entries.size(); }

private:
  struct Answer {
    ServerReply Reply;
    Instant MadeAt;
  };

  void keep(const FeedReplyKey &Key, const ServerReply &R, Instant Now);

  std::map<FeedReplyKey, Answer> Entries;
};

/// True when the peer accepts a deflated body.
bool acceptsDeflated(const ServerRequest &R);

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_FEEDANSWERS_H
