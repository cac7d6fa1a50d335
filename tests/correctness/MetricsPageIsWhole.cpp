// Every metric that the daemon's source names stands in docs/METRICS.md, and
// the page names none that the daemon does not have.
#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

namespace {

std::string contentOf(const std::filesystem::path &Path) {
  std::ifstream In(Path);
  std::stringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

std::set<std::string> namesIn(const std::string &Text, const char *Quote) {
  std::regex Name(std::string(Quote) + "(shallot_[a-z_]+)" + Quote);
  std::set<std::string> Found;
  for (std::sregex_iterator At(Text.begin(), Text.end(), Name), End; At != End;
       ++At)
    Found.insert((*At)[1]);
  return Found;
}

} // namespace

namespace {

/// Metrics that the sources of \p Package name.
std::set<std::string> metricsOf(const std::filesystem::path &Package) {
  std::set<std::string> Found;
  for (const auto &File : std::filesystem::directory_iterator(Package))
    if (File.path().extension() == ".cpp")
      Found.merge(namesIn(contentOf(File.path()), "\""));
  return Found;
}

} // namespace

TEST_CASE("docs/METRICS.md lists exactly the daemon's metrics") {
  std::filesystem::path Root = SHALLOT_SOURCE_DIR;
  std::set<std::string> InCode = metricsOf(Root / "packages/daemon");
  InCode.merge(metricsOf(Root / "packages/crashguard"));
  CHECK(InCode.size() > 10);
  CHECK(InCode == namesIn(contentOf(Root / "docs/METRICS.md"), "`"));
}

TEST_CASE("docs/operators/front.md lists exactly the front daemon's metrics") {
  std::filesystem::path Root = SHALLOT_SOURCE_DIR;
  std::set<std::string> InCode = metricsOf(Root / "packages/front");
  InCode.merge(metricsOf(Root / "packages/crashguard"));
  CHECK(InCode.size() > 8);
  CHECK(InCode == namesIn(contentOf(Root / "docs/operators/front.md"), "`"));
}
