//===- ProcessFigures.cpp -------------------------------------------------===//
#include "net/ProcessFigures.h"

#include <ctime>
#include <fstream>
#include <string>

namespace shallot {

/// Not from getrusage(): its figure includes that of the process that started
/// this one.
std::size_t peakMemoryBytes() {
  std::ifstream Status("/proc/self/status");
  for (std::string Word; Status >> Word;) {
    std::size_t KiloBytes = 0;
    if (Word == "VmHWM:" && Status >> KiloBytes)
      return KiloBytes << 10;
  }
  return 0;
}

Duration processorTime() {
  timespec Used{};
  ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Used);
  return Seconds(Used.tv_sec) + Duration(Used.tv_nsec);
}

} // namespace shallot
