//===- LenientJson.h - JSON of which parts cannot be read -------*- C++ -*-===//
//
// A list holds values of several writers. The parser refuses a whole text for
// one of them: half of a surrogate pair, a number beyond a double, a control
// character, bytes that are not UTF-8. Here the text is then read in parts, and
// only the value that cannot be read is lost:
//
//   text with such characters     they are replaced by "?"
//   any other value               null
//   the name of a field           the field is left out
//   brackets or commas            null for the innermost list or object, as a
//                                 part of a list would be taken for all of it
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_MODEL_LENIENTJSON_H
#define SHALLOTSHIFT_MODEL_LENIENTJSON_H

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace shallot {

/// Parses \p Text into \p Value, without the values deeper than \p MaxDepth.
/// Returns how many parts could not be read.
std::size_t parseLenient(std::string_view Text, int MaxDepth,
                         nlohmann::json &Value);

} // namespace shallot

#endif // SHALLOTSHIFT_MODEL_LENIENTJSON_H
