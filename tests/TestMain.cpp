// The main() of every doctest program. Fails if a fault of the program was
// contained that no test has asked for.
#define DOCTEST_CONFIG_IMPLEMENT
#include "shallotshift/base.h"

#include <doctest/doctest.h>
#include <iostream>

int main(int Count, char **Words) {
  doctest::Context Tests(Count, Words);
  int Failed = Tests.run();
  if (std::uint64_t Faults = shallot::takeFaults(); Faults > 0) {
    std::cerr << Faults
              << " faults were contained (see internal_error above)\n";
    Failed = 1;
  }
  return Failed;
}
