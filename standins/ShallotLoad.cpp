//===- ShallotLoad.cpp - Callers for tests --------------------------------===//
#include "standins/LoadRun.h"

#include <asio/io_context.hpp>
#include <fmt/format.h>
#include <string_view>

using namespace shallot;
using namespace shallot::standins;

namespace {

Result<Catalogue> catalogueOf(const LoadOptions &O) {
  Catalogue Known;
  for (const std::string &Path : O.Documents) {
    BOOST_LEAF_AUTO(Documents, readJsonFile(Path));
    Known.add(Documents, O.Tenant);
  }
  for (const std::string &Service : O.Services)
    if (!O.Documents.empty() && !Known.Services.contains(Service))
      return fail(ResultCode::UnknownService, Service);
  return Known;
}

Result<bool> drive(int Argc, char **Argv) {
  BOOST_LEAF_AUTO(O, readLoadOptions(Argc, Argv));
  BOOST_LEAF_AUTO(Known, catalogueOf(O));
  asio::io_context Io;
  LoadRun Run(Io, O, Known);
  Run.start([&] { Io.stop(); });
  Io.run();
  std::vector<Figure> All = Run.figures().figures();
  fmt::print("{}", printed(All, O.AsJson));
  for (const std::string &Fault : Run.figures().Faults)
    fmt::print(stderr, "wrong answer: {}\n", Fault);
  bool Holds = true;
  for (const Figure &F : All)
    Holds = Holds && F.holds();
  return Holds;
}

} // namespace

int main(int Argc, char **Argv) {
  if (Argc == 2 && std::string_view(Argv[1]) == "--help") {
    fmt::print("{}", loadHelp());
    return 0;
  }
  Attempt<bool> Held = attempt([&] { return drive(Argc, Argv); });
  if (Held)
    return *Held ? 0 : 1;
  fmt::print(stderr, "shallot-load: {} {}\n", codeLabel(Held.error().Code),
             Held.error().Detail);
  return infoOf(Held.error().Code).ExitCode;
}
