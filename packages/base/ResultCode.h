//===- ResultCode.h - Numbered result codes ---------------------*- C++ -*-===//
//
// Every refusal, failure and outcome that leaves this program carries one of
// these numbers, so that a caller's program, an operator and a log search all
// speak of the same thing. The rows are in ResultCode.def.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_BASE_RESULTCODE_H
#define SHALLOTSHIFT_BASE_RESULTCODE_H

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace shallot {

/// What a result code proves about the request it answers.
enum class RequestEffect : std::uint8_t {
  Complete,   ///< It ran to its end.
  NotRun,     ///< No upstream saw it, and none will.
  Idempotent, ///< Parts may have run; asking again is harmless.
  Unknown,    ///< It may or may not have run.
};

enum class ResultCode : std::uint16_t {
#define RESULT_CODE(Name, Number, Http, Exit, Effect, Text) Name = Number,
#include "base/ResultCode.def"
};

/// One row of the table of codes.
struct ResultCodeInfo {
  ResultCode Code;
  std::string_view Name;
  int HttpStatus;
  int ExitCode;
  RequestEffect Effect;
  std::string_view Text;
};

/// The row of \p Code.
const ResultCodeInfo &infoOf(ResultCode Code);

/// All rows, in the order of their numbers.
std::span<const ResultCodeInfo> allResultCodes();

/// The code whose number is \p Number, or nothing.
std::optional<ResultCode> resultCodeFromNumber(std::uint16_t Number);

/// "SS2001" for Overloaded: the form used in logs, bodies and docs.
std::string codeLabel(ResultCode Code);

/// True when the code proves that the request did not run.
bool provesNotRun(ResultCode Code);

} // namespace shallot

#endif // SHALLOTSHIFT_BASE_RESULTCODE_H
