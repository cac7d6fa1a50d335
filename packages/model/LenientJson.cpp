//===- LenientJson.cpp ----------------------------------------------------===//
#include "model/LenientJson.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace shallot {

namespace {

using nlohmann::json;

constexpr std::string_view Space = " \t\r\n";
constexpr std::size_t EscapeBytes = 6; ///< Of "\ud800".
constexpr char FirstPrintable = ' ';
constexpr char LastAscii = '~';

json parseStrict(std::string_view Text, int MaxDepth) {
  auto Keep = [MaxDepth](int Depth, json::parse_event_t, const json &) {
    return Depth <= MaxDepth;
  };
  return json::parse(Text, Keep, false);
}

/// Walks over the values of a text by its brackets and quotes only.
class Walker {
public:
  explicit Walker(std::string_view Text) : Text(Text) {}

  bool at(char C) {
    skipSpace();
    return At < Text.size() && Text[At] == C;
  }
  bool skip(char C) {
    bool Found = at(C);
    At += Found;
    return Found;
  }
  /// The next value as text; nothing if there is none.
  std::optional<std::string_view> value() {
    skipSpace();
    std::size_t Begin = At;
    std::size_t Depth = 0;
    for (; At < Text.size(); ++At) {
      char C = Text[At];
      bool Ends = C == ',' || C == ']' || C == '}' || C == ':';
      if (Depth == 0 && Ends)
        break;
      if (C == '"')
        skipString();
      else if (C == '[' || C == '{')
        ++Depth;
      else if (C == ']' || C == '}')
        --Depth;
    }
    if (At > Text.size() || Depth > 0 || At == Begin)
      return std::nullopt;
    std::string_view Found = Text.substr(Begin, At - Begin);
    return Found.substr(0, Found.find_last_not_of(Space) + 1);
  }

private:
  void skipSpace() {
    At = std::min(Text.find_first_not_of(Space, At), Text.size());
  }
  /// From the opening quote to the closing one, or behind the end.
  void skipString() {
    for (++At; At < Text.size() && Text[At] != '"'; ++At)
      At += Text[At] == '\\';
    if (At >= Text.size())
      At = Text.size() + 1;
  }

  std::string_view Text;
  std::size_t At = 0;
};

/// Replaces what no text may hold: surrogates, control characters and all
/// bytes outside ASCII, of which some were refused.
std::string readableString(std::string_view Text) {
  std::string Out;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    char C = Text[I];
    if (C != '\\') {
      Out += C < FirstPrintable || C > LastAscii ? '?' : C;
      continue;
    }
    std::string_view Escape = Text.substr(I, EscapeBytes);
    if (Escape.starts_with("\\ud") || Escape.starts_with("\\uD")) {
      Out += '?';
      I += Escape.size() - 1;
    } else {
      Out += Escape.substr(0, 2);
      ++I;
    }
  }
  return Out;
}

class Reader {
public:
  json read(std::string_view Text, int MaxDepth) {
    json Value = parseStrict(Text, MaxDepth);
    if (!Value.is_discarded())
      return Value;
    if (MaxDepth > 0 && Text.starts_with('{'))
      return object(Text, MaxDepth);
    if (MaxDepth > 0 && Text.starts_with('['))
      return array(Text, MaxDepth);
    ++Lost;
    if (Text.starts_with('"'))
      Value = parseStrict(readableString(Text), MaxDepth);
    return Value.is_discarded() ? json() : Value;
  }
  std::size_t lost() const { return Lost; }

private:
  json object(std::string_view Text, int MaxDepth) {
    json Out = json::object();
    Walker W(Text);
    bool More = W.skip('{') && !W.at('}');
    while (More) {
      auto Name = W.value();
      bool Named = Name && W.skip(':');
      auto Value = Named ? W.value() : std::nullopt;
      More = W.skip(',');
      if (!Value || (!More && !W.at('}')))
        return lose();
      json Key = parseStrict(*Name, 0);
      if (Key.is_string())
        Out[Key.get<std::string>()] = read(*Value, MaxDepth - 1);
      else
        ++Lost;
    }
    return Out;
  }
  json array(std::string_view Text, int MaxDepth) {
    json Out = json::array();
    Walker W(Text);
    bool More = W.skip('[') && !W.at(']');
    while (More) {
      auto Value = W.value();
      More = W.skip(',');
      if (!Value || (!More && !W.at(']')))
        return lose();
      Out.push_back(read(*Value, MaxDepth - 1));
    }
    return Out;
  }
  json lose() {
    ++Lost;
    return nullptr;
  }

  std::size_t Lost = 0;
};

} // namespace

std::size_t parseLenient(std::string_view Text, int MaxDepth, json &Value) {
  Reader R;
  std::size_t Begin = Text.find_first_not_of(Space);
  Value = R.read(Begin == std::string_view::npos ? "" : Text.substr(Begin),
                 MaxDepth);
  return R.lost();
}

} // namespace shallot
