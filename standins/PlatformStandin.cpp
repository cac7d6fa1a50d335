//===- PlatformStandin.cpp - A stand-in of the platform's service ---------===//
//
// platform-standin --listen 127.0.1.200:7300 [--hosts FILE]
// The file is {"hosts":[{"host":..,"ip":..,...}]}. All is lost when it ends.
//
//===----------------------------------------------------------------------===//
#include "standins/PlatformService.h"
#include "standins/StandinMain.h"

#include <fmt/format.h>

using namespace shallot;
using namespace shallot::standins;

namespace {

Result<void> loadHosts(PlatformHosts &Into, const std::string &Path) {
  BOOST_LEAF_AUTO(Doc, readJsonFile(Path));
  if (!Doc.is_object() || !Doc.contains("hosts") || !Doc["hosts"].is_array())
    return fail(ResultCode::MissingField, "hosts");
  for (const Json &Host : Doc["hosts"]) {
    BOOST_LEAF_CHECK(Into.put(Host));
  }
  Into.publish();
  return {};
}

Result<void> serve(const StandinOptions &O) {
  BOOST_LEAF_AUTO(At, Endpoint::parse(O.Listen, "--listen"));
  asio::io_context Io;
  PlatformService Service(Io, At);
  if (!O.File.empty()) {
    BOOST_LEAF_CHECK(loadHosts(Service.hosts(), O.File));
  }
  BOOST_LEAF_CHECK(Service.listen());
  fmt::print(stderr, "platform-standin: listening on {}\n", At.str());
  runUntilSignal(Io);
  return {};
}

} // namespace

int main(int Argc, char **Argv) {
  return standinMain(Argc, Argv, "hosts", serve);
}
