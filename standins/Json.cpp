#include "standins/Json.h"

#include <algorithm>
#include <fstream>
#include <iterator>

namespace shallot::standins {

Result<Json> parseJson(std::string_view Text) {
  Json Value = Json::parse(Text, nullptr, false);
  if (Value.is_discarded())
    return fail(ResultCode::MalformedJson, "not valid JSON");
  return Value;
}

Result<Json> readJsonFile(const std::string &Path) {
  std::ifstream In(Path);
  if (!In)
    return fail(ResultCode::FileUnreadable, Path);
  std::string Text{std::istreambuf_iterator<char>(In), {}};
  return parseJson(Text);
}

Result<void> checkFields(const Json &Object,
                         std::initializer_list<std::string_view> Known) {
  if (!Object.is_object())
    return fail(ResultCode::WrongType, "not an object: " + Object.dump());
  for (const auto &[Name, Value] : Object.items())
    if (std::find(Known.begin(), Known.end(), Name) == Known.end())
      return fail(ResultCode::UnknownField, Name);
  return {};
}

} // namespace shallot::standins
