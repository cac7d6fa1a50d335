//===- Log.h - Structured logs on standard output ---------------*- C++ -*-===//
//
// One line an event, as a JSON object:
//
//   {"ts":"2026-03-01T08:00:00.123Z","level":"info","event":"config_installed",
//    "gen":"12","from":".."}
//
//   logEvent(LogLevel::Info, "config_installed", {{"gen", "12"}});
//
// The volume is bounded: at most LinesASecond of one event and of all together
// MaxLinesASecond; the next line of that event says how many were left out. A
// reader that does not keep up never blocks a daemon: a line that standard
// output would not take at once is left out and counted as well. A line is cut
// at MaxLogLineBytes so that a hostile name cannot fill the log.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_TELEMETRY_LOG_H
#define SHALLOTSHIFT_TELEMETRY_LOG_H

#include "shallotshift/base.h"

#include <cstdint>
#include <initializer_list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace shallot {

enum class LogLevel : std::uint8_t { Debug, Info, Warn, Error };

/// Also the most that a pipe takes in one piece.
inline constexpr std::size_t MaxLogLineBytes = 4096;

struct LogField {
  std::string_view Key;
  std::string Value;
};

/// Events below \p Least are dropped. The default is Info.
void setLogLevel(LogLevel Least);

/// Puts \p Host on every later line.
void setLogHost(std::string Host);

/// The same name for the handler of a signal: without characters that would
/// need an escape, and cut at 64 bytes.
std::string_view crashHost();

/// The JSON object of one event, without its time stamp. Bytes that are not
/// UTF-8 and characters outside of ASCII stand as escapes.
std::string formatEvent(LogLevel Level, std::string_view Event,
                        std::initializer_list<LogField> Fields);

/// Writes one event to standard output. Safe from any thread.
void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields = {});

/// Decides which lines are left out.
class LogThrottle {
public:
  /// Enough to see each of a burst's first failures; a daemon that fails 1,000
  /// requests a second must not spend its processor on saying so.
  static constexpr unsigned LinesASecond = 20;
  static constexpr unsigned MaxLinesASecond = 100;

  /// Nothing: leave it out. Else how many were left out since the last line of
  /// \p Event. Errors are never left out.
  std::optional<std::uint64_t> admit(LogLevel Level, std::string_view Event,
                                     Instant Now);
  /// A line that was admitted could not be written.
  void lost(std::string_view Event);

private:
  struct Row {
    std::int64_t Second = -1;
    unsigned Lines = 0;
    std::uint64_t LeftOut = 0;
  };

  std::map<std::string, Row, std::less<>> Rows;
  Row All;
};

} // namespace shallot

#endif // SHALLOTSHIFT_TELEMETRY_LOG_H
