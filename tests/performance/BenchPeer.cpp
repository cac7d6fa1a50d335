// What calls between daemons cost: CPU of a relayed sub-request on both ends
// together, bytes of a gossip message, and bytes of a configuration change that
// is fetched by what is lacking against whole, at 9,900 upstreams. Prints
// "name value unit bound" lines; "-" where nothing is judged, which is all that
// depends on the machine.
// The fixtures use doctest's checks; this program has a main() of its own.
#define DOCTEST_CONFIG_IMPLEMENT
#include "ConfigFixture.h"
#include "performance/BenchReport.h"
#include "shallotshift/net.h"
#include "shallotshift/peer.h"

#include <ctime>

using namespace shallot;
using namespace shallot::test;

namespace {

test::BenchReport Out("");

double cpuMicros() {
  timespec T{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &T);
  return static_cast<double>(T.tv_sec) * 1e6 +
         static_cast<double>(T.tv_nsec) / 1e3;
}

Member member(const char *Host, std::uint16_t Port) {
  Member M;
  M.Id = {HostId(Host), 1};
  M.Rpc = {"127.0.15.2", Port};
  return M;
}

SubRequest subRequest() {
  SubRequest R;
  R.Request = RequestId("4bf92f3577b34da6");
  R.AttemptId = "4bf92f3577b34da6-17";
  R.Owner = Tenant("khan-uul");
  R.Class = CallerClass("reception-desk");
  R.Service = ServiceName("claims-ledger-07");
  R.Target = UpstreamId("claims-ledger-07-a");
  R.Remaining = Millis(64);
  R.Body.assign(200, 'q');
  return R;
}

/// \p Calls searches, \p AtOnce of them under way at a time.
void measureRelay(const char *Name, int Calls, int AtOnce) {
  EventLoop Loop;
  Member A = member("entry-a", 41051);
  Member B = member("entry-b", 41052);
  PeerHandlers H;
  H.Search = [](const DaemonId &, const SubRequest &,
                const PeerResponder<SubReply> &To) {
    SubReply R;
    R.Body.assign(800, 'r');
    To.reply(std::move(R));
  };
  auto Caller = good([&] { return PeerNode::open(Loop, A.Id, A.Rpc, {}); });
  auto Holder = good([&] { return PeerNode::open(Loop, B.Id, B.Rpc, H); });
  int Started = 0;
  int Failed = 0;
  int Ended = 0;
  std::function<void()> Next = [&] {
    if (Started == Calls)
      return;
    ++Started;
    Caller->search(B, subRequest(), Seconds(5),
                   [&](const Attempt<SubReply> &R) {
                     Failed += !R;
                     if (++Ended == Calls)
                       return Loop.stop();
                     Next();
                   });
  };
  double Before = cpuMicros();
  for (int I = 0; I < AtOnce; ++I)
    Next();
  Loop.run();
  Out.print(Name, (cpuMicros() - Before) / Calls, "us/call");
  Out.require(Failed == 0);
}

void measureGossip() {
  GossipMessage M;
  M.Sender.Who.Id = {HostId("entry-0001"), 0x123456789abcdef0};
  M.Sender.Who.Zone = AvailabilityZone("svealand-1");
  M.Sender.Who.Reg = Region("svealand");
  M.Sender.Who.Http = {"10.0.0.1", 8080};
  M.Sender.Who.Gossip = {"10.0.0.1", 8081};
  M.Sender.Who.Rpc = {"10.0.0.1", 8082};
  Out.atMost("gossip_bytes_bare", static_cast<double>(encodeGossip(M).size()),
             "bytes", 320);
  M.Updates.assign(1, M.Sender);
  double One = static_cast<double>(encodeGossip(M).size());
  M.Updates.assign(2, M.Sender);
  Out.atMost("gossip_bytes_an_update",
             static_cast<double>(encodeGossip(M).size()) - One, "bytes", 144);
  constexpr int Rounds = 20000;
  double Before = cpuMicros();
  for (int I = 0; I < Rounds; ++I)
    Out.require(bool(attempt([&] { return decodeGossip(encodeGossip(M)); })));
  Out.print("gossip_encode_decode", (cpuMicros() - Before) / Rounds,
            "us/message");
}

std::size_t bytesOf(const ConfigParts &P) {
  std::size_t Bytes = P.HeadJson.size();
  for (const auto &[Hash, Json] : P.Blobs)
    Bytes += Hash.size() + Json.size();
  return Bytes;
}

/// 9,900 upstreams in 132 groups of 25 services of 3.
void measureConfig() {
  Random Rng(1);
  ConfigSync Sync({HostId("a"), 1}, AvailabilityZone("z"), Rng);
  Draft D = draftOfSize(132, 25);
  auto One = good([&] { return prepare(nullptr, D, change("one")); });
  Sync.accepted({One.HeadJson, One.NewBlobs}, {});
  std::vector<std::string> Have;
  for (const auto &[Hash, Json] : One.NewBlobs)
    Have.push_back(Hash);
  Draft Edited = good([&] {
    return applyDocuments(D,
                          {upstreamDoc("group-07", "g07-s03", "g07-s03-a", 9)});
  });
  auto Two = good([&] { return prepare(One.After, Edited, change("two")); });
  double Before = cpuMicros();
  Sync.accepted({Two.HeadJson, Two.NewBlobs}, {});
  Out.print("config_install_change", cpuMicros() - Before, "us");
  auto Some = good([&] { return Sync.serve(Have, 2); });
  // The hashes that the asker names are part of the price.
  Out.atMost("config_change_bytes_tree",
             static_cast<double>(bytesOf(Some) + Have.size() * 40), "bytes",
             48000);
  std::size_t Whole = Two.HeadJson.size();
  for (const auto &[Hash, Json] : One.NewBlobs)
    Whole += Json.size();
  Out.print("config_change_bytes_whole", static_cast<double>(Whole), "bytes");
}

} // namespace

// A bench that runs out of memory may end by an exception.
// NOLINTNEXTLINE(bugprone-exception-escape)
int main() {
  measureRelay("relay_cpu_both_ends_64_at_once", 40000, 64);
  measureRelay("relay_cpu_both_ends_1_at_once", 5000, 1);
  measureGossip();
  measureConfig();
  return Out.exitCode();
}
