//===- Report.h - What a command has to say ---------------------*- C++ -*-===//
//
// A command gives a report, as text for people and as JSON for programs, with a
// result code that becomes the exit code.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_CTL_REPORT_H
#define SHALLOTSHIFT_CTL_REPORT_H

#include "shallotshift/base.h"

#include <nlohmann/json.hpp>
#include <string>

namespace shallot {

struct Report {
  ResultCode Code = ResultCode::Ok;
  std::string Text;
  nlohmann::json Doc = nlohmann::json::object();
};

/// \p E as a report.
Report errorReport(const Error &E);

/// Any JSON as indented lines of "key: value", so that fields which a later
/// daemon adds are shown too.
std::string plainText(const nlohmann::json &Doc);

/// "2026-03-01 08:00:00.123Z".
std::string shownTime(WallTime At);

} // namespace shallot

#endif // SHALLOTSHIFT_CTL_REPORT_H
