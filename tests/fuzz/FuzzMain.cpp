//===- FuzzMain.cpp - Seeded fuzzing of every decoder -----------*- C++ -*-===//
//
//   shallot_fuzz --runs 20000                 every target, from seed 1
//   shallot_fuzz --seconds 600 --seed 77      as many runs as there is time for
//   shallot_fuzz --target gossip --only 4711  one run again, by its number
//   shallot_fuzz --corpus tests/fuzz/corpus   inputs that were found before
//
// Run N of a target depends on the seed, the target's name and N alone, so a
// finding is repeated by its number. A finding is printed with the input, which
// belongs into the corpus, and the exit code is 1; a crash names its run too.
//
//===----------------------------------------------------------------------===//
#include "fuzz/FuzzTarget.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <getopt.h>
#include <iterator>
#include <optional>
#include <unistd.h>

using namespace shallot;
using namespace shallot::fuzz;

namespace {

constexpr std::uint64_t UsualRuns = 20000;
constexpr int BadUsage = 2;

struct FuzzOptions {
  std::string Target; ///< Empty: all of them.
  std::uint64_t Seed = 1;
  std::uint64_t Runs = UsualRuns; ///< Of each target, unless Seconds is given.
  std::optional<std::uint64_t> Seconds;
  std::optional<std::uint64_t> Only;
  std::string Corpus;
};

/// For the signal handler: what runs now.
char RunningNow[160] = "nothing ran yet\n";

extern "C" void tellRun(int Signal) {
  ssize_t Ignored = write(STDERR_FILENO, RunningNow, std::strlen(RunningNow));
  (void)Ignored;
  std::signal(Signal, SIG_DFL);
  std::raise(Signal);
}

[[noreturn]] void usage(const std::string &Why) {
  fmt::print(stderr,
             "error: {}\nusage: shallot_fuzz [--target NAME] [--seed N] "
             "[--runs N | --seconds S] [--only RUN] [--corpus FOLDER]\n",
             Why);
  std::exit(BadUsage);
}

std::uint64_t number(const char *Option, std::string_view Text) {
  std::uint64_t Value = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc() || End != Text.data() + Text.size())
    usage(fmt::format("{}: '{}' is no whole number", Option, Text));
  return Value;
}

FuzzOptions readOptions(int Argc, char **Argv) {
  static const option Known[] = {{"target", required_argument, nullptr, 't'},
                                 {"seed", required_argument, nullptr, 's'},
                                 {"runs", required_argument, nullptr, 'r'},
                                 {"seconds", required_argument, nullptr, 'w'},
                                 {"only", required_argument, nullptr, 'o'},
                                 {"corpus", required_argument, nullptr, 'c'},
                                 {nullptr, 0, nullptr, 0}};
  FuzzOptions O;
  for (int Got; (Got = getopt_long(Argc, Argv, "", Known, nullptr)) != -1;) {
    switch (Got) {
    case 't':
      O.Target = optarg;
      break;
    case 's':
      O.Seed = number("--seed", optarg);
      break;
    case 'r':
      O.Runs = number("--runs", optarg);
      break;
    case 'w':
      O.Seconds = number("--seconds", optarg);
      break;
    case 'o':
      O.Only = number("--only", optarg);
      break;
    case 'c':
      O.Corpus = optarg;
      break;
    default:
      usage("an option is not known or lacks its value");
    }
  }
  if (optind != Argc)
    usage(fmt::format("'{}' is not expected", Argv[optind]));
  return O;
}

std::string inputOf(const FuzzTarget &T, std::uint64_t Seed,
                    std::uint64_t Run) {
  Random Rng(Seed * 0x9e3779b97f4a7c15ULL ^ Run ^
             std::hash<std::string>()(T.Name));
  const std::string &Good = T.Examples[below(Rng, T.Examples.size())];
  return mutated(Good, T.Form, Rng);
}

/// False, and it is printed, when \p Input breaks the target's property.
bool holds(const FuzzTarget &T, const std::string &Input,
           const std::string &Which) {
  std::string Label = fmt::format("{} {}\n", T.Name, Which);
  std::snprintf(RunningNow, sizeof(RunningNow), "crashed in %s", Label.c_str());
  try {
    T.Run(Input);
    return true;
  } catch (const std::exception &E) {
    fmt::print("FOUND {}: {}: {}\ninput of {} bytes:\n{}\n", T.Name, Which,
               E.what(), Input.size(), Input);
    return false;
  }
}

bool replayCorpus(const FuzzTarget &T, const std::string &Folder,
                  std::uint64_t &Runs) {
  std::filesystem::path Place = std::filesystem::path(Folder) / T.Name;
  if (!std::filesystem::is_directory(Place))
    return true;
  bool Good = true;
  for (const auto &Entry : std::filesystem::directory_iterator(Place)) {
    std::ifstream File(Entry.path(), std::ios::binary);
    std::string Input{std::istreambuf_iterator<char>(File), {}};
    Good &= holds(T, Input, Entry.path().filename().string());
    ++Runs;
  }
  return Good;
}

/// Runs of one target: the corpus, then as many as are asked for.
bool play(const FuzzTarget &T, const FuzzOptions &O, double Seconds,
          std::uint64_t &Runs) {
  using Clock = std::chrono::steady_clock;
  bool Good = O.Corpus.empty() || replayCorpus(T, O.Corpus, Runs);
  if (O.Only)
    return holds(T, inputOf(T, O.Seed, *O.Only),
                 fmt::format("run {}", *O.Only));
  auto Until = Clock::now() + std::chrono::duration<double>(Seconds);
  for (std::uint64_t Run = 0; O.Seconds ? Clock::now() < Until : Run < O.Runs;
       ++Run, ++Runs)
    if (!holds(T, inputOf(T, O.Seed, Run), fmt::format("run {}", Run)))
      return false;
  return Good;
}

} // namespace

int main(int Argc, char **Argv) {
  FuzzOptions O = readOptions(Argc, Argv);
  for (int Signal : {SIGSEGV, SIGABRT, SIGBUS, SIGFPE})
    std::signal(Signal, &tellRun);
  std::vector<FuzzTarget> Targets = documentTargets();
  std::ranges::move(messageTargets(), std::back_inserter(Targets));
  std::erase_if(Targets, [&](const FuzzTarget &T) {
    return !O.Target.empty() && T.Name != O.Target;
  });
  if (Targets.empty())
    usage(fmt::format("--target: there is no '{}'", O.Target));
  bool Good = true;
  for (const FuzzTarget &T : Targets) {
    std::uint64_t Runs = 0;
    double Share = static_cast<double>(O.Seconds.value_or(0)) /
                   static_cast<double>(Targets.size());
    bool Fine = play(T, O, Share, Runs);
    fmt::print("{}: seed {}, {} runs, {}\n", T.Name, O.Seed, Runs,
               Fine ? "nothing found" : "FOUND");
    Good &= Fine;
  }
  return Good ? 0 : 1;
}
