#include "model/JsonFields.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <vector>

namespace shallot {
namespace {

using nlohmann::json;

/// Keeps an error message on one line of a terminal.
constexpr std::size_t MaxErrorValueBytes = 60;

/// Counts brackets before parsing. The parser allocates a few dozen bytes per
/// open bracket, so a body of brackets would take many times its size in
/// memory.
bool nestsTooDeep(std::string_view Text, unsigned MaxDepth) {
  unsigned Depth = 0;
  bool InString = false;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    char C = Text[I];
    if (InString && C == '\\')
      ++I;
    else if (C == '"')
      InString = !InString;
    else if (!InString && (C == '{' || C == '['))
      ++Depth;
    else if (!InString && (C == '}' || C == ']') && Depth > 0)
      --Depth;
    if (Depth > MaxDepth)
      return true;
  }
  return false;
}

/// Detects a key that appears twice in one object. The parser silently keeps
/// the last one, so a repeated "slots" could take effect with a value that the
/// operator did not intend.
class DuplicateKeys {
public:
  void onEvent(json::parse_event_t Event, const json &Parsed) {
    if (Event == json::parse_event_t::object_start)
      Open.emplace_back();
    else if (Event == json::parse_event_t::object_end && !Open.empty())
      Open.pop_back();
    else if (Event == json::parse_event_t::key && !Open.empty() &&
             !Open.back().insert(Parsed.get<std::string>()).second)
      Duplicate = Parsed.get<std::string>();
  }
  const std::string &duplicate() const { return Duplicate; }

private:
  std::vector<std::set<std::string>> Open;
  std::string Duplicate;
};

std::string inQuotes(std::string_view Key) {
  return fmt::format("\"{}\"", Key);
}

} // namespace

Result<json> parseJson(std::string_view Text, std::string_view What,
                       JsonLimits Limits) {
  if (Text.size() > Limits.MaxBytes)
    return fail(ResultCode::BodyTooLarge,
                fmt::format("{}: {} bytes, allowed are {}", What, Text.size(),
                            Limits.MaxBytes));
  if (nestsTooDeep(Text, Limits.MaxDepth))
    return fail(
        ResultCode::MalformedJson,
        fmt::format("{}: nested deeper than {} levels", What, Limits.MaxDepth));
  DuplicateKeys Keys;
  try {
    json Doc =
        json::parse(Text, [&](int, json::parse_event_t Event, json &Parsed) {
          Keys.onEvent(Event, Parsed);
          return true;
        });
    if (Keys.duplicate().empty())
      return Doc;
  } catch (const json::exception &E) {
    return fail(ResultCode::MalformedJson,
                fmt::format("{}: {}", What, std::string_view(E.what())));
  }
  return fail(ResultCode::MalformedJson,
              fmt::format("{}: field {} appears twice in one object", What,
                          inQuotes(Keys.duplicate())));
}

std::string canonicalJson(const json &Doc) {
  return Doc.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string formatForError(const json &Value) {
  std::string Text = canonicalJson(Value);
  if (Text.size() <= MaxErrorValueBytes)
    return Text;
  return Text.substr(0, MaxErrorValueBytes) + "...";
}

Result<JsonFields> JsonFields::open(const json &Object, std::string Where) {
  if (!Object.is_object())
    return fail(ResultCode::WrongType,
                fmt::format("{}: is {}, allowed is an object", Where,
                            formatForError(Object)));
  return JsonFields(Object, std::move(Where));
}

bool JsonFields::has(std::string_view Key) const {
  return Object->contains(Key);
}

Result<const json *> JsonFields::take(std::string_view Key) {
  Known.emplace(Key);
  auto It = Object->find(Key);
  if (It == Object->end())
    return fail(ResultCode::MissingField,
                fmt::format("{}: field {} is missing", Where, inQuotes(Key)));
  return &*It;
}

namespace {

auto wrongType(std::string_view Where, std::string_view Key, const json &Value,
               std::string_view Allowed) {
  return fail(ResultCode::WrongType,
              fmt::format("{}: {} is {}, allowed is {}", Where, inQuotes(Key),
                          formatForError(Value), Allowed));
}

template <typename T>
auto outOfRange(std::string_view Where, std::string_view Key, const json &Value,
                T Min, T Max) {
  return fail(ResultCode::OutOfRange,
              fmt::format("{}: {} is {}, allowed are {} to {}", Where,
                          inQuotes(Key), formatForError(Value), Min, Max));
}

} // namespace

Result<std::string> JsonFields::string(std::string_view Key) {
  BOOST_LEAF_AUTO(Value, take(Key));
  if (!Value->is_string())
    return wrongType(Where, Key, *Value, "a string");
  return Value->template get<std::string>();
}

Result<std::uint64_t> JsonFields::integer(std::string_view Key,
                                          std::uint64_t Min,
                                          std::uint64_t Max) {
  BOOST_LEAF_AUTO(Value, take(Key));
  if (!Value->is_number_integer())
    return wrongType(Where, Key, *Value, "a whole number");
  if (!Value->is_number_unsigned() && Value->template get<std::int64_t>() < 0)
    return outOfRange(Where, Key, *Value, Min, Max);
  auto Number = Value->template get<std::uint64_t>();
  if (Number < Min || Number > Max)
    return outOfRange(Where, Key, *Value, Min, Max);
  return Number;
}

Result<double> JsonFields::number(std::string_view Key, double Min,
                                  double Max) {
  BOOST_LEAF_AUTO(Value, take(Key));
  if (!Value->is_number())
    return wrongType(Where, Key, *Value, "a number");
  double Number = Value->template get<double>();
  if (!(Number >= Min && Number <= Max))
    return outOfRange(Where, Key, *Value, Min, Max);
  return Number;
}

Result<bool> JsonFields::boolean(std::string_view Key) {
  BOOST_LEAF_AUTO(Value, take(Key));
  if (!Value->is_boolean())
    return wrongType(Where, Key, *Value, "true or false");
  return Value->template get<bool>();
}

Result<const json *> JsonFields::array(std::string_view Key) {
  BOOST_LEAF_AUTO(Value, take(Key));
  if (!Value->is_array())
    return wrongType(Where, Key, *Value, "an array");
  return Value;
}

Result<const json *> JsonFields::object(std::string_view Key) {
  BOOST_LEAF_AUTO(Value, take(Key));
  if (!Value->is_object())
    return wrongType(Where, Key, *Value, "an object");
  return Value;
}

Result<std::string> JsonFields::name(std::string_view Key) {
  BOOST_LEAF_AUTO(Text, string(Key));
  return checkName(Text, fmt::format("{}: {}", Where, inQuotes(Key)));
}

Result<void> JsonFields::finish() const {
  for (const auto &[Key, Value] : Object->items())
    if (!Known.contains(Key))
      return fail(ResultCode::UnknownField,
                  fmt::format("{}: field {} is not known; known are {}", Where,
                              inQuotes(Key), fmt::join(Known, ", ")));
  return {};
}

} // namespace shallot
