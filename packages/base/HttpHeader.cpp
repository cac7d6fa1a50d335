//===- HttpHeader.cpp -----------------------------------------------------===//
#include "base/HttpHeader.h"

#include <algorithm>

namespace shallot {

namespace {

/// Header names are ASCII; the locale has no say in them.
char lowerAscii(char C) {
  return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
}

} // namespace

bool sameHeaderName(std::string_view A, std::string_view B) {
  return std::equal(A.begin(), A.end(), B.begin(), B.end(), [](char X, char Y) {
    return lowerAscii(X) == lowerAscii(Y);
  });
}

std::string_view headerValue(const HttpHeaders &Headers,
                             std::string_view Name) {
  for (const HttpHeader &H : Headers)
    if (sameHeaderName(H.Name, Name))
      return H.Value;
  return {};
}

} // namespace shallot
