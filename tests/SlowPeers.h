//===- SlowPeers.h - Daemons whose answers arrive slowly --------*- C++ -*-===//
//
// Members of a fleet that pass on what the store holds, to a daemon whose link
// is slow.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_TESTS_SLOWPEERS_H
#define SHALLOTSHIFT_TESTS_SLOWPEERS_H

#include "SlowLink.h"
#include "shallotshift/front.h"

namespace shallot::test {

/// What the peers have read of the store, and one kind's objects of it.
struct PeerStore {
  std::uint64_t Version = 0; ///< Of the configuration, told by gossip.
  KindCache Configs;
  KindCache Replicas;
};

/// One such member.
class SlowPeer {
public:
  /// \p Set names its host and addresses. \p Mode is its state in the fleet.
  SlowPeer(EventLoop &Loop, const FrontSettings &Set, SlowLink &Link,
           const PeerStore &Store);
  /// Tells the others how far it has read, and answers those who wait.
  void advance();

private:
  struct Waiter {
    SlowLink::LinePtr Line;
    FeedRequest Question;
    Instant Until;
  };

  void accept();
  void read(const SlowLink::LinePtr &L);
  void takeQuestion(const SlowLink::LinePtr &L);
  bool tryAnswer(const Waiter &W);
  const KindCache &cache(const std::string &Kind) const;
  void tick();

  EventLoop &Loop;
  SlowLink &Link;
  const PeerStore &Store;
  Random Rng{7};
  asio::ip::tcp::acceptor Acceptor;
  std::unique_ptr<FleetLink> Fleet;
  std::list<Waiter> Waiting;
};

} // namespace shallot::test

#endif // SHALLOTSHIFT_TESTS_SLOWPEERS_H
