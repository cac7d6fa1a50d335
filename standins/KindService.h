//===- KindService.h - The metadata store over HTTP -------------*- C++ -*-===//
//
// Lists, watches and writes of KindObjects in the users' wire form, with the
// faults that their store is known for: down in three manners, slow, replies
// that are lost after the write was done, history that is forgotten, a restore
// from a copy that is some seconds old. Calls are counted, since each is paid
// for.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_STANDINS_KINDSERVICE_H
#define SHALLOTSHIFT_STANDINS_KINDSERVICE_H

#include "standins/KindObjects.h"
#include "standins/Wire.h"

#include <list>
#include <map>

namespace shallot::standins {

/// The longest that a watch waits, whatever it asks for.
inline constexpr std::uint64_t MaxKindWaitMs = 30000;

enum class StoreMode : std::uint8_t {
  Serving,
  Busy,      ///< Every call is answered 503.
  Throttled, ///< Every call is answered 429.
  Silent,    ///< Calls are read and never answered, on connections for good.
  Reset,     ///< Connections are closed at once.
};

struct KindFaults {
  StoreMode Mode = StoreMode::Serving;
  std::string BusyKind; ///< Calls for this kind alone are answered 503.
  unsigned SlowMs = 0;  ///< Added to each answer.
  unsigned LoseWriteReplies = 0;
  bool HideEra = false; ///< Answers do not name the era, as in old versions.
};

class KindService {
public:
  KindService(asio::io_context &Io, const Endpoint &At);

  Result<void> listen() { return Server.listen(); }
  void put(const std::string &Kind, const std::string &Name, Json Spec);
  void remove(const std::string &Kind, const std::string &Name);
  /// Forgets the history and cuts the watches that wait.
  void dropHistory();
  /// Keeps a copy for restoreCopy().
  void takeCopy() { Copy = Objects; }
  /// Returns to the copy, in the next era. Watches from revisions that it has
  /// go on, the others are told that their history is gone.
  void restoreCopy();
  /// Takes effect at once, also on calls that wait.
  void setFaults(const KindFaults &F);
  const KindFaults &faults() const { return Faults; }
  /// All open connections fall silent for good; new ones work.
  void silenceConnections() { Server.silenceAll(); }
  /// Obeys the fields of one order of a test. Fails with UnknownField,
  /// WrongType or OutOfRange.
  Result<void> control(const Json &Orders);
  std::uint64_t calls() const { return Calls; }
  /// Watches of \p Kind that have been asked for.
  std::uint64_t watches(const std::string &Kind) const {
    auto Found = Watches.find(Kind);
    return Found == Watches.end() ? 0 : Found->second;
  }

private:
  struct Waiter {
    std::uint64_t Id = 0;
    std::string Kind;
    std::uint64_t Since = 0;
    WireConnectionPtr Caller;
  };
  using Waiters = std::list<Waiter>;

  void onRequest(const WireConnectionPtr &C, const WireRequest &R);
  bool misbehaves(const WireConnectionPtr &C, const std::string &Kind);
  void read(const WireConnectionPtr &C, const WireRequest &R,
            const std::string &Kind, const std::string &Name);
  void write(const WireConnectionPtr &C, const WireRequest &R,
             const std::string &Kind, const std::string &Name);
  void watch(const WireConnectionPtr &C, const WireRequest &R,
             const std::string &Kind);
  bool tryAnswer(const Waiter &W, bool Anyway);
  void wake();
  void reply(const WireConnectionPtr &C, int Status, const Json &Body);
  Result<void> putText(const Json &Order);

  asio::io_context &Io;
  KindObjects Objects;
  KindObjects Copy;
  KindFaults Faults;
  Waiters Waiting;
  std::uint64_t LastWaiter = 0;
  std::uint64_t Calls = 0;
  std::map<std::string, std::uint64_t> Watches; ///< By kind.
  /// What answers hold in place of these strings, quotes included.
  std::map<std::string, std::string> Texts;
  WireServer Server;
};

} // namespace shallot::standins

#endif // SHALLOTSHIFT_STANDINS_KINDSERVICE_H
