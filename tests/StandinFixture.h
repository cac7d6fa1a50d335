//===- StandinFixture.h - A loop and a client for stand-ins -----*- C++ -*-===//
#ifndef SHALLOTSHIFT_TESTS_STANDINFIXTURE_H
#define SHALLOTSHIFT_TESTS_STANDINFIXTURE_H

#include "standins/Json.h"
#include "standins/WireClient.h"

#include <doctest/doctest.h>
#include <optional>

namespace shallot::standins {

/// Runs the loop until the call that it makes has ended.
class StandinFixture {
public:
  asio::io_context Io;
  WireClient Client{Io};

  WireAnswer call(const WireCall &Call) {
    std::optional<WireAnswer> Got;
    Client.send(Call, [&](WireAnswer A) { Got = std::move(A); });
    Io.restart();
    while (!Got)
      Io.run_one();
    return *Got;
  }

  WireAnswer post(const Endpoint &To, std::string Path, const Json &Body,
                  HttpHeaders Headers = {}) {
    return call({.Method = "POST",
                 .To = To,
                 .Path = std::move(Path),
                 .Headers = std::move(Headers),
                 .Body = Body.dump()});
  }
};

} // namespace shallot::standins

#endif // SHALLOTSHIFT_TESTS_STANDINFIXTURE_H
