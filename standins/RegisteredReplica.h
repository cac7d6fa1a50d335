//===- RegisteredReplica.h - A replica in the users' wire form --*- C++ -*-===//
//
// Registers itself in the metadata store and serves as the users' replicas do:
// slots with a queue before them, a cap on connections, pauses, deadlines, work
// that ends when its connection closes, a signature on each run. Troubles are
// switched on by orders. What reached it stands in the ArrivalLog.
//
// Records are a function of service, request and number (recordOf), so that
// whoever checks an answer knows them without asking.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_STANDINS_REGISTEREDREPLICA_H
#define SHALLOTSHIFT_STANDINS_REGISTEREDREPLICA_H

#include "standins/ArrivalLog.h"
#include "standins/KindService.h"

#include <deque>
#include <set>

namespace shallot::standins {

struct ReplicaShape {
  std::string Id;
  std::string Service;
  Endpoint At;
  Endpoint Registered; ///< Where others are told to find it: At, or a proxy.
  std::string Zone = "z";
  unsigned Slots = 2;
  unsigned Queue = 12;
  unsigned Connections = 25;
  double WorkMs = 5;
  double PauseMs = 0;
  double PauseEveryMs = 3600;
  unsigned Records = 4;
  std::string FixedRecord; ///< Instead of the records by recordOf.
  std::uint64_t Seed = 1;
};

/// Reads one replica of a list. Fails with UnknownField, MissingField,
/// WrongType or AddressInvalid.
Result<ReplicaShape> readReplicaShape(const Json &Object);

/// 16 bytes: hexadecimal digits of a hash of the three.
std::string recordOf(std::string_view Service, std::string_view Request,
                     unsigned Number);

/// Counts go down by one with each use.
struct ReplicaTroubles {
  bool Shed = false;   ///< Rejects all work.
  bool Errors = false; ///< Runs it and answers 500.
  bool Hang = false;   ///< Reads requests and says nothing, for good.
  double Slow = 1;     ///< Work takes this many times as long.
  unsigned LoseReplies = 0;
  unsigned ExtraReplies = 0; ///< A second reply behind the first.
  unsigned ShortReplies = 0; ///< Half a body, then the connection closes.
  unsigned BareReplies = 0;  ///< No length; ends with the connection.
  /// Ends when it begins a request whose path contains this, and starts again
  /// under another id after BackAfterMs. Empty: nothing ends it.
  std::string EndedBy;
  unsigned BackAfterMs = 300;
};

class RegisteredReplica {
public:
  /// True when it has answered; then nothing else happens.
  using InsteadFn =
      std::function<bool(const WireConnectionPtr &, const WireRequest &)>;

  RegisteredReplica(asio::io_context &Io, KindService &Store, ArrivalLog &Log,
                    ReplicaShape Shape);

  Result<void> listen() { return Server.listen(); }
  const std::string &id() const { return Shape.Id; }
  const ReplicaShape &shape() const { return Shape; }
  Json registration(const std::string &State) const;
  /// Writes its registration: "ready" or "draining".
  void announce(const std::string &State);
  /// Obeys the fields of one order of a test.
  Result<void> control(const Json &Orders);
  /// How often it ended by a request (ReplicaTroubles::EndedBy).
  unsigned crashes() const { return Starts - 1; }

  /// For tests that want another reply.
  InsteadFn Instead;
  std::vector<WireRequest> Seen;

private:
  struct Work;
  using WorkPtr = std::shared_ptr<Work>;

  void onRequest(const WireConnectionPtr &C, const WireRequest &R);
  void onClose(const WireConnectionPtr &C);
  void take(const WireConnectionPtr &C, const WireRequest &R);
  void startNext();
  void start(const WorkPtr &W);
  void finish(const WorkPtr &W);
  void answer(const WorkPtr &W);
  void reject(const WorkPtr &W);
  void end(const WorkPtr &W, Fate How);
  Duration workTime();
  WireReply replyTo(const WireRequest &R) const;
  std::string body(const WireRequest &R) const;
  Result<void> controlLife(const Json &Orders);
  void become(const std::string &Id, const std::string &Service);
  void vanish();
  void crash();
  void startAgain();

  asio::io_context &Io;
  KindService &Store;
  ArrivalLog &Log;
  ReplicaShape Shape;
  Random Rng;
  ReplicaTroubles Troubles;
  std::deque<WorkPtr> Waiting;
  std::set<WorkPtr> Running;
  std::uint64_t Runs = 0;
  unsigned Starts = 1;
  bool Crashing = false;
  WireServer Server;
};

} // namespace shallot::standins

#endif // SHALLOTSHIFT_STANDINS_REGISTEREDREPLICA_H
