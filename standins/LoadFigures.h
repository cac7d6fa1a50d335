//===- LoadFigures.h - What a load run has measured -------------*- C++ -*-===//
#ifndef SHALLOTSHIFT_STANDINS_LOADFIGURES_H
#define SHALLOTSHIFT_STANDINS_LOADFIGURES_H

#include "standins/Json.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace shallot::standins {

struct Figure {
  std::string Name;
  double Value = 0;
  std::string Unit;
  std::optional<double> Bound; ///< The most that is allowed.

  bool holds() const { return !Bound || Value <= *Bound; }
};

struct LoadFigures {
  std::uint64_t Sent = 0;
  std::uint64_t Ok = 0;
  std::uint64_t Partial = 0;
  std::uint64_t RefusedNotRun = 0;
  std::uint64_t CutOff = 0;
  std::uint64_t NoAnswer = 0;
  std::uint64_t ConnectFailed = 0; ///< At every address of the caller's list.
  std::uint64_t MovedOn = 0;       ///< To the next address, nothing sent.
  std::uint64_t NotSent = 0;       ///< Too many under way already.
  std::uint64_t WrongAnswers = 0;
  std::uint64_t ActionsSent = 0;
  std::uint64_t ActionsRan = 0;
  std::uint64_t ActionsNotRun = 0;
  std::uint64_t ActionsUnknown = 0; ///< Also after asking again.
  std::uint64_t ActionsAskedAgain = 0;
  std::uint64_t ActionsDoubled = 0;
  std::uint64_t ActionsLost = 0;   ///< "Ran", and no upstream ran it.
  std::uint64_t NotRunButSeen = 0; ///< "Not run", and an upstream saw it.
  std::uint64_t EntryReads = 0;
  std::map<std::string, std::uint64_t> Errors;  ///< By code.
  std::map<std::string, std::uint64_t> Missing; ///< Books, by code.
  std::vector<double> LatencyMs;                ///< Of answers.
  std::vector<double> RefusalMs;
  double CoverageSum = 0;
  double Seconds = 0;
  std::vector<std::string> Faults; ///< The first few wrong answers.

  /// Sorts the latencies and works the figures out.
  std::vector<Figure> figures();
};

/// The value below which \p Share of \p Sorted lie; 0 when it is empty.
double quantile(const std::vector<double> &Sorted, double Share);

/// "name value unit bound" lines, or one JSON object.
std::string printed(const std::vector<Figure> &All, bool AsJson);

} // namespace shallot::standins

#endif // SHALLOTSHIFT_STANDINS_LOADFIGURES_H
