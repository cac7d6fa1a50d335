#include "ctl/Report.h"

#include "shallotshift/model.h"

#include <ctime>
#include <fmt/chrono.h>
#include <fmt/format.h>

namespace shallot {
namespace {

using nlohmann::json;

std::string scalarText(const json &Value) {
  return Value.is_string() ? Value.get<std::string>() : canonicalJson(Value);
}

bool isScalar(const json &Value) { return !Value.is_structured(); }

void addLines(const json &Doc, const std::string &Indent, std::string &Out) {
  for (const auto &[Key, Value] : Doc.items()) {
    std::string Label = Doc.is_array() ? "-" : Key + ":";
    if (isScalar(Value)) {
      Out += fmt::format("{}{} {}\n", Indent, Label, scalarText(Value));
      continue;
    }
    Out += fmt::format("{}{}\n", Indent, Label);
    addLines(Value, Indent + "  ", Out);
  }
}

} // namespace

Report errorReport(const Error &E) {
  const ResultCodeInfo &Info = infoOf(E.Code);
  Report R;
  R.Code = E.Code;
  R.Text = fmt::format("shallotctl: {} {}: {}\n", codeLabel(E.Code), Info.Text,
                       E.Detail);
  R.Doc = {{"error",
            {{"code", codeLabel(E.Code)},
             {"name", Info.Name},
             {"title", Info.Text},
             {"detail", E.Detail}}}};
  return R;
}

std::string plainText(const json &Doc) {
  if (isScalar(Doc))
    return scalarText(Doc) + "\n";
  std::string Out;
  addLines(Doc, "", Out);
  return Out;
}

std::string shownTime(WallTime At) {
  constexpr WallTime PerSecond = 1000;
  std::time_t Whole = At / PerSecond;
  std::tm Utc{};
  gmtime_r(&Whole, &Utc);
  return fmt::format("{:%Y-%m-%d %H:%M:%S}.{:03}Z", Utc, At % PerSecond);
}

} // namespace shallot
