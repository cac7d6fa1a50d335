// Bytes that one change of one upstream costs, for each way of cutting the
// configuration into objects, at 9,900 upstreams in 53 groups (or the numbers
// of groups and of services a group given as arguments). Every daemon reads
// these bytes, so this is what the choice of the cut decides.
//
// Prints "name value unit bound"; "-" where nothing is judged. Bytes are exact;
// times are of this machine and are not judged.
// The fixture fails through doctest.
#define DOCTEST_CONFIG_IMPLEMENT
#include "ConfigFixture.h"
#include "performance/BenchReport.h"

#include <chrono>
#include <cstdlib>
#include <optional>

using namespace shallot;
using namespace shallot::test;

namespace {

constexpr double ChangesPerDay = 2900;
constexpr double SecondsPerDay = 86400;

test::BenchReport Out("config_");

/// A group of one service: the object that a finer cut would store.
Group onlyService(const Group &G, const Service &S) {
  return good([&] { return Group::make({G->Owner, G->Name, {S}}); });
}

/// A head of the same changes with other tables.
std::size_t headBytes(const Config &C,
                      std::map<std::string, std::string> Groups) {
  HeadFields F = *C.head();
  F.Groups = std::move(Groups);
  return encode(good([&] { return Head::make(F); })).size();
}

std::map<std::string, std::string> serviceHashes(const Config &C) {
  std::map<std::string, std::string> Hashes;
  for (const Group &G : C.groups())
    for (const Service &S : G->Services)
      Hashes.emplace(
          fmt::format("{}/{}/{}", G->Owner.str(), G->Name.str(), S->Name.str()),
          contentHash(encode(onlyService(G, S))));
  return Hashes;
}

/// One object with everything in it.
std::size_t wholeBytes(const Config &C) {
  std::size_t Bytes = headBytes(C, {});
  for (const Group &G : C.groups())
    Bytes += encode(G).size();
  for (const Preset &P : C.presets())
    Bytes += encode(P).size();
  return Bytes;
}

struct Cut {
  std::size_t HeadBytes = 0;    ///< Rewritten by every change.
  std::size_t BlobBytes = 0;    ///< Rewritten by a change of one upstream.
  std::size_t LargestBytes = 0; ///< The largest object.
};

void printCut(const std::string &Name, const Cut &C,
              std::optional<double> Bound = std::nullopt) {
  auto Change = static_cast<double>(C.HeadBytes + C.BlobBytes);
  if (Bound)
    Out.atMost(Name + "_change", Change, "bytes", *Bound);
  else
    Out.print(Name + "_change", Change, "bytes");
  Out.print(Name + "_head", static_cast<double>(C.HeadBytes), "bytes");
  Out.print(Name + "_largest_object", static_cast<double>(C.LargestBytes),
            "bytes");
  Out.print(Name + "_a_daemon", Change * ChangesPerDay / SecondsPerDay,
            "bytes/s");
}

/// One object for each service, all named by the head.
Cut oneLevel(const Config &C, const Group &G) {
  std::size_t Head = headBytes(C, serviceHashes(C));
  std::size_t Blob = encode(onlyService(G, G->Services[0])).size();
  return {Head, Blob, Head};
}

/// Head, one index a group, one object a service.
Cut threeLevels(const Config &C, const Group &G) {
  std::map<std::string, std::string> Index;
  for (const Service &S : G->Services)
    Index.emplace(S->Name.str(), contentHash(encode(onlyService(G, S))));
  std::size_t Head = encode(C.head()).size();
  // An index is a table of names and hashes, as the head's is.
  std::size_t IndexBytes = headBytes(C, Index) - headBytes(C, {});
  std::size_t Blob = encode(onlyService(G, G->Services[0])).size();
  return {Head, IndexBytes + Blob, Head};
}

template <typename F> double millisOf(F &&Fn) {
  auto Start = std::chrono::steady_clock::now();
  Fn();
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - Start)
      .count();
}

/// A configuration whose head remembers all the changes that it can.
ConfigPtr seasoned(const Draft &D) {
  ConfigPtr C = configOf(D);
  for (std::size_t N = 1; N < MaxRecentChanges; ++N)
    C = good([&] {
          return prepare(C, D,
                         change(fmt::format("c-0195c2a1f00-{:010x}", N),
                                "apply 1 documents"));
        }).After;
  return C;
}

} // namespace

// A failure ends the bench by an exception, and so by a non-zero exit.
// NOLINTNEXTLINE(bugprone-exception-escape)
int main(int Argc, char **Argv) {
  unsigned Groups = Argc > 1 ? std::strtoul(Argv[1], nullptr, 10) : 53;
  unsigned Services = Argc > 2 ? std::strtoul(Argv[2], nullptr, 10) : 62;
  if (Groups == 0 || Services == 0)
    return 2;
  // 53 x 62 x 3 are 9,858 upstreams; 14 services more make the 9,900.
  Draft D = draftOfSize(Groups, Services);
  if (Groups == 53 && Services == 62) {
    std::vector<OperatorDoc> More;
    for (unsigned S = 0; S < 14; ++S) {
      std::string Name = fmt::format("g00-t{:02}", S);
      More.push_back(serviceDoc("group-00", Name));
      for (unsigned R = 0; R < 3; ++R)
        More.push_back(upstreamDoc("group-00", Name,
                                   fmt::format("{}-{}", Name, R),
                                   20000 + S * 3 + R));
    }
    D = good([&] { return applyDocuments(D, More); });
  }
  ConfigPtr Before = seasoned(D);
  std::size_t Upstreams = 0;
  for (const Group &G : Before->groups())
    for (const Service &S : G->Services)
      Upstreams += S->Upstreams.size();
  Out.print("upstreams", static_cast<double>(Upstreams), "count");

  // What really happens: one upstream's slots change.
  UpstreamDoc U = upstreamDoc("group-01", "g01-s00", "g01-s00-a", 1);
  U.Fields.Slots = 3;
  PreparedChange Change;
  double PrepareMs = millisOf([&] {
    Draft After = good([&] { return applyDocuments(draftOf(*Before), {U}); });
    Change = good([&] {
      return prepare(Before, After,
                     change("c-0195c2a1f01-0000000001", "apply 1 documents"));
    });
  });
  Cut Two{Change.HeadJson.size(), 0, Change.HeadJson.size()};
  for (const auto &[Hash, Json] : Change.NewBlobs)
    Two.BlobBytes += Json.size();
  for (const Group &G : Before->groups())
    Two.LargestBytes = std::max(Two.LargestBytes, encode(G).size());

  std::size_t Whole = wholeBytes(*Before);
  const Group &G = Before->groups()[1];
  printCut("whole", {Whole, 0, Whole});
  printCut("one_level", oneLevel(*Before, G));
  // A daemon may spend 15,000 bytes/s on all control; a tenth of it for the
  // changes of a day is 44,690 bytes a change.
  printCut("two_levels", Two, 45000);
  printCut("three_levels", threeLevels(*Before, G));
  Out.atMost("blobs_a_change", static_cast<double>(Change.NewBlobs.size()),
             "count", 1);

  Out.print("prepare", PrepareMs, "ms");
  Out.print("read_head", millisOf([&] {
              good([&] { return decodeHead(Change.HeadJson); });
            }),
            "ms");
  Out.print("read_group", millisOf([&] {
              good(
                  [&] { return decodeGroup(Change.NewBlobs.begin()->second); });
            }),
            "ms");
  Out.print("install", millisOf([&] {
              good([&] {
                return Config::make(Change.After->head(),
                                    Change.After->groups(),
                                    Change.After->presets());
              });
            }),
            "ms");
  return Out.exitCode();
}
