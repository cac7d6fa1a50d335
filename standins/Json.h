//===- Json.h - JSON in the stand-ins ---------------------------*- C++ -*-===//
//
// Reads of optional fields, and files. A wrong type or a field that is not
// known is an error with the field's name, so that a test's typing mistake does
// not pass for a fault that never came.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_STANDINS_JSON_H
#define SHALLOTSHIFT_STANDINS_JSON_H

#include "shallotshift/base.h"

#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>

namespace shallot::standins {

using Json = nlohmann::json;

/// Fails with MalformedJson.
Result<Json> parseJson(std::string_view Text);
/// Fails with FileUnreadable or MalformedJson.
Result<Json> readJsonFile(const std::string &Path);
/// Fails with UnknownField when \p Object has a field not in \p Known, and with
/// WrongType when it is not an object.
Result<void> checkFields(const Json &Object,
                         std::initializer_list<std::string_view> Known);

/// Sets \p Into from field \p Name when it is there. Fails with WrongType.
template <typename T>
Result<void> readField(const Json &Object, const char *Name, T &Into) {
  auto Found = Object.find(Name);
  if (Found == Object.end())
    return {};
  try {
    Into = Found->get<T>();
  } catch (const Json::exception &) {
    return fail(ResultCode::WrongType,
                std::string(Name) + ": not " + Found->dump());
  }
  return {};
}

} // namespace shallot::standins

#endif // SHALLOTSHIFT_STANDINS_JSON_H
