#include "base/ResultCode.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace shallot {
namespace {

constexpr auto Table = std::to_array<ResultCodeInfo>({
#define RESULT_CODE(Name, Number, Http, Exit, Effect, Text)                    \
  {ResultCode::Name, #Name, Http, Exit, RequestEffect::Effect, Text},
#include "base/ResultCode.def"
});

} // namespace

std::span<const ResultCodeInfo> allResultCodes() { return Table; }

const ResultCodeInfo &infoOf(ResultCode Code) {
  auto Row = std::ranges::find(Table, Code, &ResultCodeInfo::Code);
  if (Row != Table.end())
    return *Row;
  return infoOf(ResultCode::Internal);
}

std::optional<ResultCode> resultCodeFromNumber(std::uint16_t Number) {
  auto Row = std::ranges::find(Table, static_cast<ResultCode>(Number),
                               &ResultCodeInfo::Code);
  if (Row == Table.end())
    return std::nullopt;
  return Row->Code;
}

std::string codeLabel(ResultCode Code) {
  return fmt::format("SS{:04}", static_cast<unsigned>(Code));
}

bool provesNotRun(ResultCode Code) {
  return infoOf(Code).Effect == RequestEffect::NotRun;
}

} // namespace shallot
