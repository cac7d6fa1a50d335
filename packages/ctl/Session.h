//===- Session.h - The connections of one command ---------------*- C++ -*-===//
//
// A command is written as a sequence of steps; await() runs the event loop
// until the callback of the step under way has been called.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_CTL_SESSION_H
#define SHALLOTSHIFT_CTL_SESSION_H

#include "ctl/Options.h"
#include "ctl/Report.h"
#include "shallotshift/net.h"
#include "shallotshift/store.h"

#include <functional>
#include <memory>
#include <optional>

namespace shallot {

class Session {
public:
  /// Fails with BadOption when the command needs an address that is not given.
  static Result<std::unique_ptr<Session>> open(CtlOptions Options);

  const CtlOptions &options() const { return Options; }
  EventLoop &loop() { return Loop; }
  HttpClient &http() { return Http; }
  /// Only for commands that need the platform.
  StoreClient &platform() { return *Platform; }

  /// Calls \p Start with a callback and runs the loop until it is called.
  template <typename T>
  T await(const std::function<void(std::function<void(T)>)> &Start) {
    std::optional<T> Value;
    Start([&](T Given) {
      Value = std::move(Given);
      Loop.stop();
    });
    while (!Value)
      Loop.run();
    return std::move(*Value);
  }

  /// Lets \p D pass.
  void pause(Duration D);

  /// The configuration in force. Fails with NoConfiguration.
  Result<StoredConfig> config();

  /// The text of the file named by -f. Fails with FileUnreadable.
  Result<std::string> fileText() const;

  /// Prints part of a report at once; for commands that go on.
  void print(const Report &R) const;

private:
  explicit Session(CtlOptions Options)
      : Options(std::move(Options)), Http(Loop) {}

  CtlOptions Options;
  EventLoop Loop;
  HttpClient Http;
  std::unique_ptr<StoreClient> Platform;
};

/// Prints \p R on standard output, or its error on standard error.
void printReport(const Report &R, bool Json);

/// The value of \p A as a Result.
template <typename T> Result<T> resultOf(Attempt<T> A) {
  if (!A)
    return fail(A.error().Code, A.error().Detail);
  return std::move(*A);
}

} // namespace shallot

#endif // SHALLOTSHIFT_CTL_SESSION_H
