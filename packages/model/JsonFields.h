//===- JsonFields.h - Reading JSON that others wrote ------------*- C++ -*-===//
//
// Strict, bounded reading of JSON from outside: size, depth and repeated keys
// are checked while parsing, each field is taken by name with its type and
// range, and finish() refuses the fields that nobody took. Every error names
// where it is, the field, the value and what is allowed; nothing here throws.
//
//   BOOST_LEAF_AUTO(Doc, parseJson(Text, "the settings", {}));
//   BOOST_LEAF_AUTO(F, JsonFields::open(Doc, "upstream"));
//   BOOST_LEAF_AUTO(Slots, F.integer("slots", 1, MaxSlots));
//   BOOST_LEAF_CHECK(F.finish());
//
// Include <nlohmann/json.hpp> yourself; this header only names the type, so
// that the many users of package model do not pay for it.
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
  /// Deep nesting costs memory out of proportion to its bytes; no document of
  /// ours nests deeper than 8.
  unsigned MaxDepth = 16;
};

/// Parses \p Text. Fails with MalformedJson, naming \p What.
Result<nlohmann::json> parseJson(std::string_view Text, std::string_view What,
                                 JsonLimits Limits = {});

/// \p Doc in canonical form: sorted keys, no spaces. Never throws.
std::string canonicalJson(const nlohmann::json &Doc);

/// \p Value for an error message, cut to a length that fits on a line.
std::string formatForError(const nlohmann::json &Value);

/// The fields of one JSON object, taken by name. The object must outlive it.
class JsonFields {
public:
  /// Fails with WrongType when \p Object is none. \p Where starts each error.
  static Result<JsonFields> open(const nlohmann::json &Object,
                                 std::string Where);

  bool has(std::string_view Key) const;
  const std::string &where() const { return Where; }

  /// Each fails with MissingField or WrongType, numbers with OutOfRange.
  Result<std::string> string(std::string_view Key);
  Result<std::uint64_t> integer(std::string_view Key, std::uint64_t Min,
                                std::uint64_t Max);
  Result<double> number(std::string_view Key, double Min, double Max);
  Result<bool> boolean(std::string_view Key);
  Result<const nlohmann::json *> array(std::string_view Key);
  Result<const nlohmann::json *> object(std::string_view Key);
  /// A string that checkName() accepts.
  Result<std::string> name(std::string_view Key);

  /// Fails with UnknownField, listing the fields that are known.
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
