//===- ProcessFigures.cpp -------------------------------------------------===//
#include "net/ProcessFigures.h"

#include <ctime>
#include <sys/resource.h>

namespace shallot {

std::size_t peakMemoryBytes() {
  rusage Used{};
  if (::getrusage(RUSAGE_SELF, &Used) != 0)
    return 0;
  return static_cast<std::size_t>(Used.ru_maxrss) << 10;
}

Duration processorTime() {
  timespec Used{};
  ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Used);
  return Seconds(Used.tv_sec) + Duration(Used.tv_nsec);
}

} // namespace shallot
