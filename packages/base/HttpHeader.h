//===- HttpHeader.h - Header lines as values --------------------*- C++ -*-===//
#ifndef SHALLOTSHIFT_BASE_HTTPHEADER_H
#define SHALLOTSHIFT_BASE_HTTPHEADER_H

#include <string>
#include <string_view>
#include <vector>

namespace shallot {

struct HttpHeader {
  std::string Name;
  std::string Value;

  friend bool operator==(const HttpHeader &, const HttpHeader &) = default;
};

using HttpHeaders = std::vector<HttpHeader>;

/// True when \p A and \p B are the same header name, in any case.
bool sameHeaderName(std::string_view A, std::string_view B);

/// The value of header \p Name (any case), or an empty string.
std::string_view headerValue(const HttpHeaders &Headers, std::string_view Name);

} // namespace shallot

#endif // SHALLOTSHIFT_BASE_HTTPHEADER_H
