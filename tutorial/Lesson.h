//===- Lesson.h - A lesson checks what it says ------------------*- C++ -*-===//
//
// What the lessons share: claim() prints a sentence and remembers whether it
// was so, and the exit code of the lesson tells. A lesson that has become
// untrue fails instead of misleading its reader.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_TUTORIAL_LESSON_H
#define SHALLOTSHIFT_TUTORIAL_LESSON_H

#include "shallotshift/base.h"

#include <cstdlib>
#include <fmt/format.h>
#include <string_view>

namespace shallot::tutorial {

class Lesson {
public:
  /// Starts a part of the lesson.
  static void part(std::string_view Title) { fmt::print("\n-- {}\n", Title); }

  /// Prints \p Sentence, marked when \p True is false.
  void claim(bool True, std::string_view Sentence) {
    fmt::print("{} {}\n", True ? "  " : "!!", Sentence);
    AllTrue = AllTrue && True;
  }

  /// What main() returns: not 0 when a claim was untrue.
  int end() const {
    fmt::print("\n{}\n", AllTrue ? "All of this was so."
                                 : "The lines marked !! were not so.");
    return AllTrue ? EXIT_SUCCESS : EXIT_FAILURE;
  }

private:
  bool AllTrue = true;
};

/// The value of a Result that cannot fail in a lesson; ends it otherwise.
template <typename F> auto good(F &&Fn) {
  auto Outcome = attempt(std::forward<F>(Fn));
  if (!Outcome) {
    fmt::print("!! {} {}\n", codeLabel(Outcome.error().Code),
               Outcome.error().Detail);
    std::exit(EXIT_FAILURE);
  }
  return std::move(*Outcome);
}

} // namespace shallot::tutorial

#endif // SHALLOTSHIFT_TUTORIAL_LESSON_H
