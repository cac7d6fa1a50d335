// Cost of quarantine records in a fleet of the target size: memory, bytes and
// store calls during a flood in which every request is distinct and crashes its
// replica. Runs in virtual time; the bounds are fractions of a daemon's budget
// for control work.
#include "VirtualTime.h"
#include "shallotshift/crashguard.h"

#include <chrono>
#include <fmt/format.h>
#include <malloc.h>
#include <map>
#include <memory>
#include <vector>

using namespace shallot;

namespace {

constexpr std::size_t Daemons = 1669;
constexpr std::size_t MaxHeapBytes = (128 << 20) / 16;
constexpr double MaxBytesPerSecond = 15'000;
constexpr int FloodSeconds = 120;
/// Distinct crashing requests per second at each daemon.
constexpr int FloodPerSecond = 2;

RequestFingerprint request(int N) {
  return RequestFingerprint::of(
      {"GET", "search.example", fmt::format("/sweep/{:08x}", N), "", ""});
}

QuarantineRecord record(int N) {
  QuarantineRecord R{request(N)};
  for (unsigned P = 0; P < CrashThreshold; ++P)
    R.Crashed.push_back(
        fmt::format("i-{:010x}@1780172519{:03}", N * 7919 + int(P), P));
  R.SeenAt = 1'780'172'520'131 + N;
  R.Route = "underwriting-sweep";
  R.Path = fmt::format("/sweep/{:08x}", N);
  return R;
}

/// A store that counts the writes and bytes it distributes to all daemons.
struct Store : test::VirtualTime {
  std::map<std::string, KindObject> Objects;
  std::uint64_t Revision = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Bytes = 0;

  void writeObject(const std::string &, const std::string &Name,
                   const nlohmann::json &Content, StoreRevision,
                   StoreCallback<KindWriteReply> Done) {
    ++Writes;
    Bytes += Name.size() + Content.dump().size();
    Objects[Name] = {Name, {0, ++Revision}, Content};
    after(Millis(4), [Done = std::move(Done), Now = Objects[Name]] {
      Done(KindWriteReply{true, Now});
    });
  }
  void removeObject(const std::string &, const std::string &Name, StoreRevision,
                    StoreCallback<KindWriteReply> Done) {
    ++Writes;
    Bytes += Name.size();
    Objects.erase(Name);
    after(Millis(4), [Done = std::move(Done)] {
      Done(KindWriteReply{true, {}});
    });
  }
};

/// A daemon with its own table of evidence.
struct SimulatedDaemon {
  explicit SimulatedDaemon(Store &S) : Sync(S, S, "records", Table, Rng) {
    Sync.setMembers(Daemons);
  }
  Random Rng{7};
  Quarantine Table;
  QuarantineSync<Store, Store> Sync;
};

std::size_t heapInUse() { return mallinfo2().uordblks; }

bool withinBound(const char *What, double Value, double Max, const char *Unit) {
  bool Good = Value <= Max;
  fmt::print("{:<52} {:>12.1f} {:<6} at most {:.0f}{}\n", What, Value, Unit,
             Max, Good ? "" : "  BROKEN");
  return Good;
}

bool memoryOfOneDaemon() {
  std::size_t Before = heapInUse();
  auto Table = std::make_unique<Quarantine>();
  for (int N = 0; N < int(MaxQuarantineEntries) * 2; ++N) {
    Table->crashed(record(N));
    if (N < int(MaxSharedRecords))
      Table->put({record(N), {0, std::uint64_t(N) + 1}});
  }
  double Bytes = double(heapInUse() - Before);
  fmt::print("entries of one daemon: {}\n", Table->size());
  auto Start = std::chrono::steady_clock::now();
  constexpr int Rounds = 100;
  for (int Round = 0; Round < Rounds; ++Round)
    Table->expire(1'780'172'520'131, true);
  auto Took = std::chrono::steady_clock::now() - Start;
  fmt::print("one pass over the table for expired evidence: {:.3f} ms\n",
             toMillisF(std::chrono::duration_cast<Duration>(Took)) / Rounds);
  return withinBound("heap of a full table", Bytes, double(MaxHeapBytes), "B");
}

bool bytesOfARecord() {
  RecordSet Page{1, {}};
  for (int N = 0; N < int(MaxSharedRecords); ++N) {
    QuarantineRecord R = record(N);
    Page.Objects[R.Request.str()] = {R.Request.str(), {0, 1}, recordContent(R)};
  }
  double Bytes = double(formatRecordSet(Page).size());
  fmt::print("bytes of a record in the store: {:.0f}\n",
             Bytes / double(MaxSharedRecords));
  // The platform's limit on the size of one object.
  return withinBound("one object with all records", Bytes, 1'000'000, "B");
}

bool flood() {
  Store S;
  std::vector<std::unique_ptr<SimulatedDaemon>> Fleet;
  for (std::size_t N = 0; N < Daemons; ++N)
    Fleet.push_back(std::make_unique<SimulatedDaemon>(S));
  int Next = 0;
  std::uint64_t LastWrites = 0;
  std::uint64_t LastBytes = 0;
  for (int Second = 0; Second < FloodSeconds; ++Second) {
    if (Second == FloodSeconds / 2) { // The initial bursts are over.
      LastWrites = S.Writes;
      LastBytes = S.Bytes;
    }
    for (auto &C : Fleet)
      for (int N = 0; N < FloodPerSecond; ++N) {
        QuarantineRecord R = record(Next++);
        C->Table.crashed(R);
        C->Table.share(R.Request);
        C->Sync.pump();
      }
    S.runFor(Seconds(1));
  }
  double HalfSeconds = double(FloodSeconds) / 2;
  fmt::print("writes in the first minute: {}\n", LastWrites);
  bool Writes = withinBound("writes to the store in a flood, a second",
                            double(S.Writes - LastWrites) / HalfSeconds,
                            FleetWritesPerSecond, "/s");
  bool Bytes = withinBound("record bytes sent to each daemon in a flood",
                           double(S.Bytes - LastBytes) / HalfSeconds,
                           MaxBytesPerSecond, "B/s");
  return Writes && Bytes;
}

} // namespace

int main() {
  setLogLevel(LogLevel::Error);
  bool Good = memoryOfOneDaemon();
  Good &= bytesOfARecord();
  Good &= flood();
  return Good ? 0 : 1;
}
