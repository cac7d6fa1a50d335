//===- Caller.h - How a program finds and asks the daemons ------*- C++ -*-===//
//
// What the example programs share. No balancer stands in front of the fleet: a
// caller knows a few addresses, asks any of them which ones to use, keeps the
// answer for as long as it is valid, and connects there itself.
//
// It waits for each reply; a program with a screen would use HttpClient's
// callbacks as they are.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_APPS_CALLER_H
#define SHALLOTSHIFT_APPS_CALLER_H

#include "shallotshift/net.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace apps {

using Json = nlohmann::json;

/// Exit codes of the example programs.
enum ExitCode : int {
  ExitDone = 0,       ///< Complete, or ran.
  ExitPartial = 1,    ///< Something is missing, and it was said what.
  ExitUsage = 2,      ///< The command line.
  ExitNotRun = 3,     ///< Refused: it did not run.
  ExitNoAnswer = 4,   ///< Asked, and no answer that may be shown.
  ExitUnknown = 5,    ///< It may or may not have run.
  ExitNoDaemon = 6,   ///< No daemon could be reached.
  ExitFailedThere = 7 ///< It ran, and the service reported a failure.
};

/// What a daemon said, or why it said nothing.
// The JSON library declares its moves noexcept and keeps to it.
// NOLINTNEXTLINE(bugprone-exception-escape)
struct Reply {
  shallot::ResultCode Failure = shallot::ResultCode::Ok; ///< Of the transfer.
  int Status = 0;
  Json Body;

  bool arrived() const { return Failure == shallot::ResultCode::Ok; }
  /// Nothing was sent, so nothing ran.
  bool neverSent() const {
    return Failure == shallot::ResultCode::ConnectFailed;
  }
  /// The daemon says that the request did not run.
  bool saysNotRun() const { return arrived() && text("effect") == "not run"; }
  /// A field as text; empty when it is absent.
  std::string text(const char *Field) const;
  /// One line for people: the code, the title and the detail.
  std::string problem() const;
};

/// The list in a field of \p Object; an empty one when there is none.
const Json &listIn(const Json &Object, const char *Field);

/// How long to wait before asking again, as the reply says; at most \p Most.
shallot::Duration retryAfter(const Reply &R, shallot::Duration Most);

struct CallerSettings {
  std::vector<shallot::Endpoint> Known; ///< Any daemons of the fleet.
  std::string Key;                      ///< A stable name of this caller.
  std::string Zone;                     ///< Where this caller is.
};

class Caller {
public:
  explicit Caller(CallerSettings S) : S(std::move(S)) {}

  /// The addresses to use, best first; asks for them when none are held or
  /// those held are no longer valid. Empty: nobody could be asked.
  const std::vector<shallot::Endpoint> &addresses();
  /// Forgets the addresses: none of them could be reached.
  void forget() { Use.clear(); }
  /// How often the addresses were asked for.
  unsigned lookups() const { return Lookups; }

  /// Sends one request and waits for what becomes of it. An action is passed
  /// with Repeat::Never, so that no library sends it a second time.
  Reply ask(shallot::HttpRequest Request);
  /// POST of \p Body as JSON.
  Reply post(const shallot::Endpoint &To, std::string Path, const Json &Body,
             shallot::Duration Timeout);
  Reply get(const shallot::Endpoint &To, std::string Path,
            shallot::Duration Timeout);
  void wait(shallot::Duration For);

private:
  bool learn(const Reply &R);

  CallerSettings S;
  shallot::EventLoop Loop;
  shallot::HttpClient Client{Loop};
  std::vector<shallot::Endpoint> Use;
  shallot::Instant ValidUntil;
  unsigned Lookups = 0;
};

/// Reads "ADDR,ADDR". Fails with OutOfRange, naming the address.
shallot::Result<std::vector<shallot::Endpoint>>
readAddresses(std::string_view Text);

/// \p Text with everything but letters, digits and "-._~" escaped for a URL.
std::string urlEscaped(std::string_view Text);

/// The covered share and the missing names of an answer or a refusal, a line
/// each; empty when the body says nothing of coverage.
std::string coverageLines(const Json &Body, std::string_view Unit);

} // namespace apps

#endif // SHALLOTSHIFT_APPS_CALLER_H
