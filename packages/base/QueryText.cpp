//===- QueryText.cpp ------------------------------------------------------===//
#include "base/QueryText.h"

#include <algorithm>
#include <charconv>

namespace shallot {

namespace {

constexpr std::size_t EscapeLength = 3;

bool unreserved(char C) {
  bool Letter = (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z');
  bool Digit = C >= '0' && C <= '9';
  return Letter || Digit ||
         std::string_view("-._~").find(C) != std::string_view::npos;
}

/// The byte of an escape at the start of \p Text.
std::optional<char> escapedByte(std::string_view Text) {
  if (Text.size() < EscapeLength || Text.front() != '%')
    return std::nullopt;
  unsigned Byte = 0;
  const char *End = Text.data() + EscapeLength;
  auto [At, Error] = std::from_chars(Text.data() + 1, End, Byte, 16);
  if (Error != std::errc() || At != End)
    return std::nullopt;
  return static_cast<char>(Byte);
}

} // namespace

std::string percentEncoded(std::string_view Text) {
  constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string Out;
  for (char C : Text) {
    if (unreserved(C)) {
      Out += C;
      continue;
    }
    auto Byte = static_cast<unsigned char>(C);
    Out += '%';
    Out += Digits[Byte >> 4];
    Out += Digits[Byte & 15];
  }
  return Out;
}

std::string percentDecoded(std::string_view Text) {
  std::string Out;
  while (!Text.empty()) {
    std::optional<char> Byte = escapedByte(Text);
    Out += Byte ? *Byte : Text.front() == '+' ? ' ' : Text.front();
    Text.remove_prefix(Byte ? EscapeLength : 1);
  }
  return Out;
}

std::optional<std::string> queryParameter(std::string_view Query,
                                          std::string_view Key) {
  while (!Query.empty()) {
    std::size_t End = std::min(Query.find('&'), Query.size());
    std::string_view Pair = Query.substr(0, End);
    std::size_t Equals = Pair.find('=');
    if (Equals != std::string_view::npos && Pair.substr(0, Equals) == Key)
      return percentDecoded(Pair.substr(Equals + 1));
    Query.remove_prefix(std::min(End + 1, Query.size()));
  }
  return std::nullopt;
}

} // namespace shallot
