//===- AnswerCheck.h - Is an answer true? -----------------------*- C++ -*-===//
//
// Judges a search answer by what the stand-ins' records say of themselves
// (UpstreamRecords.h): one snapshot only, no record twice and none lost between
// siblings, coverage that agrees with the records' books, records of the own
// query only.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_STANDINS_ANSWERCHECK_H
#define SHALLOTSHIFT_STANDINS_ANSWERCHECK_H

#include "standins/Json.h"

#include <map>
#include <vector>

namespace shallot::standins {

/// The services of one tenant, from the operators' documents.
struct Catalogue {
  struct Entry {
    std::string Group;
    std::vector<std::string> Books;
  };
  std::map<std::string, Entry> Services;

  /// Adds the services of \p Owner in \p Documents; other documents are passed
  /// over.
  void add(const Json &Documents, const std::string &Owner);
  std::vector<std::string> servicesOf(const std::string &Group) const;
};

/// What was asked.
struct Asked {
  std::string RequestId;
  std::vector<std::string> Services; ///< Empty: not known, fewer checks.
  std::string Query;                 ///< As JSON text.
};

struct AnswerVerdict {
  std::vector<std::string> Faults; ///< Empty: the answer is true.
  bool Partial = false;
  double Coverage = 0; ///< Share of the asked books that were answered.
};

/// Judges the body of a 200 answer.
AnswerVerdict checkAnswer(const Json &Answer, const Asked &What,
                          const Catalogue &Known);

} // namespace shallot::standins

#endif // SHALLOTSHIFT_STANDINS_ANSWERCHECK_H
