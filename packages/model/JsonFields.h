//===- JsonFields.h - Strict parsing of external JSON -----------*- C++ -*-===//
//
// Strict, bounded parsing of external JSON: size and depth are checked before
// parsing, duplicate keys during it, each field is read by name with its type
// and range, and finish() rejects fields that were not read. Every error gives
// the location, the field, the value and the allowed values; nothing here
// throws.
//
//   BOOST_LEAF_AUTO(Doc, parseJson(Text, "the settings", {}));
//   BOOST_LEAF_AUTO(F, JsonFields::open(Doc, "upstream"));
//   BOOST_LEAF_AUTO(Slots, F.integer("slots", 1, MaxSlots));
//   BOOST_LEAF_CHECK(F.finish());
//
// Users include <nlohmann/json.hpp> themselves; this header only declares the
// type, to keep compile times low for the many users of package model.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_MODEL_JSONFIELDS_H
#define SHALLOTSHIFT_MODEL_JSONFIELDS_H

#include "shallotshift/base.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <string_view>

namespace shallot {

struct JsonLimits {
  std::size_t MaxBytes = 1000000;
  /// The memory cost of deep nesting is out of proportion to its size in bytes;
  /// no document of this project nests deeper than 8 levels.
  unsigned MaxDepth = 16;
};

/// Parses \p Text. Fails with BodyTooLarge or MalformedJson; \p What starts the
/// error message.
Result<nlohmann::json> parseJson(std::string_view Text, std::string_view What,
                                 JsonLimits Limits = {});

/// Returns \p Doc in canonical form: sorted keys, no spaces. Never throws.
std::string canonicalJson(const nlohmann::json &Doc);

/// Formats \p Value for an error message, truncated to fit on a line.
std::string formatForError(const nlohmann::json &Value);

/// Reads the fields of one JSON object by name. The object must outlive it.
class JsonFields {
public:
  /// Fails with WrongType if \p Object is not an object. \p Where starts each
  /// error message.
  static Result<JsonFields> open(const nlohmann::json &Object,
                                 std::string Where);

  bool has(std::string_view Key) const;
  const std::string &where() const { return Where; }

  /// Each fails with MissingField or WrongType, numbers also with OutOfRange.
  Result<std::string> string(std::string_view Key);
  Result<std::uint64_t> integer(std::string_view Key, std::uint64_t Min,
                                std::uint64_t Max);
  Result<double> number(std::string_view Key, double Min, double Max);
  Result<bool> boolean(std::string_view Key);
  Result<const nlohmann::json *> array(std::string_view Key);
  Result<const nlohmann::json *> object(std::string_view Key);
  /// Reads a string that satisfies checkName(); else also fails with BadName.
  Result<std::string> name(std::string_view Key);

  /// Fails with UnknownField if a field has not been read; lists the known
  /// fields.
  Result<void> finish() const;

private:
  JsonFields(const nlohmann::json &Object, std::string Where)
      : Object(&Object), Where(std::move(Where)) {}
  Result<const nlohmann::json *> take(std::string_view Key);

  const nlohmann::json *Object;
  std::string Where;
  std::set<std::string, std::less<>> Known;
};

} // namespace shallot

#endif // SHALLOTSHIFT_MODEL_JSONFIELDS_H
