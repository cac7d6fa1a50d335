//===- Log.cpp ------------------------------------------------------------===//
#include "telemetry/Log.h"

#include <array>
#include <atomic>
#include <chrono>
#include <ctime>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <mutex>
#include <poll.h>
#include <unistd.h>

namespace shallot {

namespace {

constexpr std::string_view CutMark = "...";
/// Room for the time stamp, which is written in front of an event's object.
constexpr std::size_t StampBytes = 40;

std::atomic<LogLevel> Least{LogLevel::Info};
/// Guards Host and Throttle.
std::mutex Lock;
std::string Host;
LogThrottle Throttle;

/// Copy of Host that may be read while Lock is held. It is written once, before
/// anything is served.
std::array<char, 64> HostCopy;
std::size_t HostCopySize = 0;

std::string_view levelName(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return "debug";
  case LogLevel::Info:
    return "info";
  case LogLevel::Warn:
    return "warn";
  case LogLevel::Error:
    break;
  }
  return "error";
}

/// A byte that may stand in a JSON string as it is. Others, valid UTF-8 too,
/// are escaped: a log line is then ASCII whatever came from outside.
bool isPlain(char C) {
  auto Byte = static_cast<unsigned char>(C);
  return Byte >= 0x20 && Byte < 0x7f && C != '"' && C != '\\';
}

void appendEscaped(std::string &Line, char C) {
  if (C == '"' || C == '\\')
    Line.append(1, '\\').append(1, C);
  else if (C == '\n')
    Line += "\\n";
  else
    Line += fmt::format("\\u{:04x}", static_cast<unsigned char>(C));
}

/// Appends as much of \p Value as leaves \p Line within \p Most bytes.
void appendValue(std::string &Line, std::string_view Value, std::size_t Most) {
  for (char C : Value) {
    std::size_t Before = Line.size();
    if (isPlain(C))
      Line += C;
    else
      appendEscaped(Line, C);
    if (Line.size() + CutMark.size() > Most) {
      Line.resize(Before);
      Line += CutMark;
      return;
    }
  }
}

void appendField(std::string &Line, std::string_view Key,
                 std::string_view Value) {
  // What the field needs besides its value, and the closing brace.
  std::size_t Frame = Key.size() + std::string_view(",\"\":\"\"}").size();
  std::size_t Room = MaxLogLineBytes - StampBytes;
  if (Line.size() + Frame + CutMark.size() > Room)
    return;
  Line += Line.size() > 1 ? ",\"" : "\"";
  Line += Key;
  Line += "\":\"";
  appendValue(Line, Value, Room - 2);
  Line += '"';
}

std::string timeStamp() {
  auto Now = std::chrono::system_clock::now();
  auto Whole = std::chrono::time_point_cast<std::chrono::seconds>(Now);
  auto Ms = std::chrono::duration_cast<std::chrono::milliseconds>(Now - Whole);
  std::time_t Since = std::chrono::system_clock::to_time_t(Whole);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(Since),
                     Ms.count());
}

Instant steadyNow() {
  return Instant(std::chrono::steady_clock::now().time_since_epoch());
}

/// One piece of at most a pipe's atomic size: lines of two threads don't mix,
/// and after poll() it doesn't block.
bool writeLine(const std::string &Line) {
  pollfd Out{STDOUT_FILENO, POLLOUT, 0};
  if (::poll(&Out, 1, 0) <= 0 || !(Out.revents & POLLOUT))
    return false;
  return ::write(STDOUT_FILENO, Line.data(), Line.size()) ==
         static_cast<ssize_t>(Line.size());
}

} // namespace

void setLogLevel(LogLevel NewLeast) { Least = NewLeast; }

void setLogHost(std::string NewHost) {
  std::lock_guard Guard(Lock);
  Host = std::move(NewHost);
  HostCopySize = 0;
  for (char C : Host)
    if (isPlain(C) && HostCopySize < HostCopy.size())
      HostCopy.at(HostCopySize++) = C;
}

std::string_view crashHost() { return {HostCopy.data(), HostCopySize}; }

std::string formatEvent(LogLevel Level, std::string_view Event,
                        std::initializer_list<LogField> Fields) {
  std::string Line = "{";
  appendField(Line, "level", levelName(Level));
  {
    std::lock_guard Guard(Lock);
    if (!Host.empty())
      appendField(Line, "host", Host);
  }
  appendField(Line, "event", Event);
  for (const LogField &F : Fields)
    appendField(Line, F.Key, F.Value);
  Line += '}';
  return Line;
}

void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields) {
  if (Level < Least.load())
    return;
  std::optional<std::uint64_t> LeftOut;
  {
    std::lock_guard Guard(Lock);
    LeftOut = Throttle.admit(Level, Event, steadyNow());
  }
  if (!LeftOut)
    return;
  std::string Line = formatEvent(Level, Event, Fields);
  std::string Prefix = fmt::format("{{\"ts\":\"{}\",", timeStamp());
  if (*LeftOut > 0)
    Prefix += fmt::format("\"left_out\":{},", *LeftOut);
  Line.replace(0, 1, Prefix);
  Line += '\n';
  if (writeLine(Line))
    return;
  std::lock_guard Guard(Lock);
  Throttle.lost(Event);
}

std::optional<std::uint64_t>
LogThrottle::admit(LogLevel Level, std::string_view Event, Instant Now) {
  std::int64_t Second =
      std::chrono::duration_cast<Seconds>(Now.time_since_epoch()).count();
  auto Found = Rows.find(Event);
  if (Found == Rows.end())
    Found = Rows.emplace(std::string(Event), Row()).first;
  Row &One = Found->second;
  for (Row *R : {&One, &All}) {
    if (R->Second != Second) {
      R->Second = Second;
      R->Lines = 0;
    }
  }
  bool Room = One.Lines < LinesASecond && All.Lines < MaxLinesASecond;
  if (!Room && Level != LogLevel::Error) {
    ++One.LeftOut;
    return std::nullopt;
  }
  ++One.Lines;
  ++All.Lines;
  return std::exchange(One.LeftOut, 0);
}

void LogThrottle::lost(std::string_view Event) {
  auto Found = Rows.find(Event);
  if (Found != Rows.end())
    ++Found->second.LeftOut;
}

} // namespace shallot
