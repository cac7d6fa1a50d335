// Measures cost and speed of the membership protocol by running its state
// machines in simulated time with 6 to 1,700 members. Prints lines of the form
// "name value unit bound", with "-" as the bound where there is none. Sizes may
// be given as arguments.
#include "FleetBag.h"
#include "performance/BenchReport.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdlib>

using namespace shallot;
using namespace shallot::test;

namespace {

test::BenchReport Out("membership_");

double secondsOf(Duration D) { return toMillisF(D) / 1000; }

/// Datagrams and bytes sent per member and second, the wall-clock time that one
/// member takes per simulated second (including the simulation itself), and the
/// memory of the largest member.
void measureRest(FleetBag &Bag, std::size_t Members) {
  constexpr double RunSeconds = 60;
  std::uint64_t Datagrams = Bag.datagrams();
  std::uint64_t Bytes = Bag.bytes();
  auto Start = std::chrono::steady_clock::now();
  Bag.run(Seconds(60));
  auto Took = std::chrono::steady_clock::now() - Start;
  double MemberSeconds = RunSeconds * static_cast<double>(Members);
  Out.atMost("rest_sent",
             static_cast<double>(Bag.datagrams() - Datagrams) / MemberSeconds,
             "datagrams/s", 6);
  Out.atMost("rest_bytes",
             static_cast<double>(Bag.bytes() - Bytes) / MemberSeconds,
             "bytes/s", 7500);
  double MemberMicros =
      std::chrono::duration<double, std::micro>(Took).count() / MemberSeconds;
  Out.print("rest_cpu_with_bag", MemberMicros, "us/s");
  std::size_t Max = 0;
  for (std::size_t N = 0; N < Members; ++N)
    Max = std::max(Max, Bag.at(N).memoryBytes());
  Out.atMost("memory", static_cast<double>(Max) / 1024, "KiB", 8192);
}

/// Time from a crash until the member is Failed everywhere.
void measureFailures(std::size_t Members, int Crashes) {
  FleetBag Bag(Members, 7);
  Bag.startMet();
  Bag.run(Seconds(15));
  std::vector<double> All;
  std::vector<double> First;
  std::size_t FalseAccusations = 0;
  for (int C = 0; C < Crashes; ++C) {
    std::size_t Victim = 3 + below(Bag.Rng, Members - 3);
    Bag.Events.clear();
    Bag.crash(Victim);
    Instant Start = Bag.Now;
    bool Agreed = false;
    while (!Agreed && Bag.Now - Start < Seconds(60)) {
      Bag.run(Millis(100));
      Agreed = Bag.agreed();
    }
    All.push_back(secondsOf(Bag.Now - Start));
    Instant Earliest = Bag.Now;
    for (const BagEvent &E : Bag.Events)
      if (E.Event.Kind == MembershipEventKind::Failed) {
        FalseAccusations += E.Event.Who.Host != FleetBag::host(Victim);
        Earliest = std::min(Earliest, E.At);
      }
    First.push_back(secondsOf(Earliest - Start));
    Bag.start(Victim);
    Bag.untilAgreed(Seconds(60));
    Bag.run(Seconds(2));
  }
  std::ranges::sort(All);
  double Log =
      std::log10(static_cast<double>(std::max<std::size_t>(Members, 10)));
  Out.atMost("failed_everywhere_median", All[All.size() / 2], "s", 4 + 5 * Log);
  Out.atMost("failed_everywhere_worst", All.back(), "s", 7 + 6 * Log);
  std::ranges::sort(First);
  Out.print("failed_first_median", First[First.size() / 2], "s");
  Out.atMost("false_failures", static_cast<double>(FalseAccusations), "members",
             0);
}

/// An ordinary day (69 failures and 800 restarts) has one event in 99 s. This
/// runs one in 10 s, ten times that rate, for two minutes.
void measureChurn(FleetBag &Bag, std::size_t Members) {
  constexpr int Events = 12;
  std::uint64_t Datagrams = Bag.datagrams();
  std::uint64_t Bytes = Bag.bytes();
  for (int E = 0; E < Events; ++E) {
    std::size_t Victim = 3 + below(Bag.Rng, Members - 3);
    Bag.crash(Victim);
    Bag.run(Seconds(E % 4 == 0 ? 9 : 3));
    Bag.start(Victim);
    Bag.run(Seconds(E % 4 == 0 ? 1 : 7));
  }
  double MemberSeconds = 120 * static_cast<double>(Members);
  Out.atMost("churn_x10_sent",
             static_cast<double>(Bag.datagrams() - Datagrams) / MemberSeconds,
             "datagrams/s", 10);
  Out.atMost("churn_x10_bytes",
             static_cast<double>(Bag.bytes() - Bytes) / MemberSeconds,
             "bytes/s", 10000);
}

struct Peak {
  double Mean = 0; ///< Mean over all members in the busiest second.
  double Max = 0;  ///< Maximum of any member in any second.
  double MaxBytes = 0;
};

Peak measurePeak(FleetBag &Bag, int ForSeconds,
                 const std::function<bool()> &Stop = {}) {
  Peak P;
  for (int S = 0; S < ForSeconds && !(Stop && Stop()); ++S) {
    std::vector<std::uint64_t> Datagrams;
    std::vector<std::uint64_t> Bytes;
    for (const BagNode &N : Bag.Nodes) {
      Datagrams.push_back(N.Datagrams);
      Bytes.push_back(N.Bytes);
    }
    std::uint64_t Before = Bag.datagrams();
    Bag.run(Seconds(1));
    double Mean = static_cast<double>(Bag.datagrams() - Before) /
                  static_cast<double>(Bag.Nodes.size());
    P.Mean = std::max(P.Mean, Mean);
    for (std::size_t N = 0; N < Bag.Nodes.size(); ++N) {
      P.Max = std::max(
          P.Max, static_cast<double>(Bag.Nodes[N].Datagrams - Datagrams[N]));
      P.MaxBytes = std::max(P.MaxBytes,
                            static_cast<double>(Bag.Nodes[N].Bytes - Bytes[N]));
    }
  }
  return P;
}

/// Partitions the members into two halves, which then merge.
void measureSplit(std::size_t Members, int SplitSeconds) {
  FleetBag Bag(Members, 11);
  Bag.startMet();
  Bag.run(Seconds(15));
  Bag.Faults.Cut = [](std::size_t A, std::size_t B) { return A % 2 != B % 2; };
  Peak Apart = measurePeak(Bag, SplitSeconds);
  Out.atMost("split_peak_mean", Apart.Mean, "datagrams/s", 25);
  Bag.Faults.Cut = nullptr;
  Bag.Events.clear();
  Instant Start = Bag.Now;
  Peak Heal = measurePeak(Bag, 120, [&] { return Bag.agreed(); });
  Out.atMost("heal_time", secondsOf(Bag.Now - Start), "s", 60);
  Out.atMost("heal_peak_mean", Heal.Mean, "datagrams/s", 25);
  Out.atMost("heal_peak_one", Heal.Max, "datagrams/s", 120);
  Out.print("heal_peak_one_bytes", Heal.MaxBytes, "bytes/s");
  Out.atMost("heal_false_failures",
             static_cast<double>(Bag.countEvents(MembershipEventKind::Failed)),
             "events", 0);
}

/// A daemon with three seeds starts and has to learn of all other members.
void measureJoin(FleetBag &Bag, std::size_t Members) {
  Bag.crash(Members - 1);
  Bag.run(Seconds(2));
  Bag.start(Members - 1);
  Instant Start = Bag.Now;
  while (!Bag.agrees(Members - 1) && Bag.Now - Start < Seconds(90))
    Bag.run(Millis(100));
  Out.atMost("join_knows_all", secondsOf(Bag.Now - Start), "s", 40);
}

void measureAnswer(FleetBag &Bag) {
  constexpr int Ticks = 20000;
  Membership &M = *Bag.Nodes[5].Machine;
  Instant Now = Bag.Now;
  std::size_t Sent = 0;
  GossipMessage Probe;
  Probe.Kind = GossipKind::Probe;
  Probe.Sender.Who = Bag.member(4);
  auto Start = std::chrono::steady_clock::now();
  for (int T = 0; T < Ticks; ++T) {
    Now += Millis(30);
    Sent += M.onMessage(Probe, Now).Sends.size();
  }
  auto Took = std::chrono::steady_clock::now() - Start;
  Out.print("cpu_answer_probe",
            std::chrono::duration<double, std::micro>(Took).count() / Ticks,
            "us");
  if (Sent == 0)
    std::abort();
}

void measureEntry(const FleetBag &Bag) {
  constexpr int Answers = 2000;
  EntryDirectory D = attempt([] { return EntryDirectory::make({}); }).value();
  std::size_t Given = 0;
  auto Start = std::chrono::steady_clock::now();
  for (int A = 0; A < Answers; ++A)
    Given += D.answer(Bag.at(5).view(), "caller-" + std::to_string(A),
                      AvailabilityZone("zone-1"))
                 .Addresses.size();
  auto Took = std::chrono::steady_clock::now() - Start;
  Out.print("cpu_entry_answer",
            std::chrono::duration<double, std::micro>(Took).count() / Answers,
            "us");
  if (Given == 0)
    std::abort();
}

void measure(std::size_t Members) {
  FleetBag Bag(Members, 5);
  Bag.startMet();
  // Wait until the updates of the start have been spread.
  Bag.run(Seconds(100));
  measureRest(Bag, Members);
  measureJoin(Bag, Members);
  measureChurn(Bag, Members);
  measureAnswer(Bag);
  measureEntry(Bag);
  measureFailures(Members, Members > 500 ? 8 : 30);
  // An hour, except for the largest sizes: a long partition only repeats its
  // last minutes.
  measureSplit(Members, Members > 100 ? 120 : 3600);
}

} // namespace

int main(int Argc, char **Argv) {
  std::vector<std::size_t> Sizes;
  for (int A = 1; A < Argc; ++A)
    Sizes.push_back(std::strtoul(Argv[A], nullptr, 10));
  if (Sizes.empty())
    Sizes = {6, 12, 24, 48, 200, 600, 1700};
  for (std::size_t Size : Sizes) {
    std::size_t Members = std::max<std::size_t>(Size, 6);
    Out.setSize(Members);
    measure(Members);
  }
  return Out.exitCode();
}
