//===- QueryText.h - The query of a URL, written and read -------*- C++ -*-===//
//
//   std::string Path = "/objects?after=" + percentEncoded(Name);
//   auto Zone = queryParameter("name=a&zone=hall+1", "zone"); // "hall 1"
//
// Names that others chose may hold any byte; unescaped, an "&" or a space in
// one would end the value, or the request line.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_BASE_QUERYTEXT_H
#define SHALLOTSHIFT_BASE_QUERYTEXT_H

#include <optional>
#include <string>
#include <string_view>

namespace shallot {

/// \p Text with "%XX" for all but letters, digits and "-._~".
std::string percentEncoded(std::string_view Text);

/// The reverse; "+" stands for a space. An escape that is none stays as it is.
std::string percentDecoded(std::string_view Text);

/// The decoded value of the first parameter \p Key of \p Query.
std::optional<std::string> queryParameter(std::string_view Query,
                                          std::string_view Key);

} // namespace shallot

#endif // SHALLOTSHIFT_BASE_QUERYTEXT_H
