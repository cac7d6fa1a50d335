//===- Mutation.cpp -------------------------------------------------------===//
#include "fuzz/Mutation.h"

#include <nlohmann/json.hpp>

namespace shallot::fuzz {

namespace {

using Json = nlohmann::json;

constexpr std::size_t MostChanges = 4;
/// Larger pieces make a run slow and find nothing that these do not.
constexpr std::size_t MostRepeats = 300;
constexpr unsigned MostNesting = 40;

std::string anyText(Random &Rng) {
  static const std::string Texts[] = {
      "",        "0",        "-1",
      "ready",   "draining", "10.0.0.1:80",
      ":",       "\xff",     std::string({'\0', 'x'}),
      "%00",     "a,b",      "1,2,3,4",
      "chunked", "close",    "keep",
      "\r\n\r",  "10.0.0.1", "99999999999999999999"};
  std::string Text = Texts[below(Rng, std::size(Texts))];
  if (below(Rng, 8) == 0)
    Text.append(below(Rng, MostRepeats), 'x');
  return Text;
}

/// Text that JSON can hold.
std::string asciiText(Random &Rng) {
  std::string Text = anyText(Rng);
  std::erase_if(Text,
                [](char C) { return static_cast<unsigned char>(C) > 126; });
  return Text;
}

Json anyValue(Random &Rng) {
  switch (below(Rng, 9)) {
  case 0:
    return nullptr;
  case 1:
    return below(Rng, 2) == 0;
  case 2:
    return -static_cast<std::int64_t>(below(Rng, 1000));
  case 3:
    return std::uint64_t(1) << below(Rng, 64);
  case 4:
    return 0.5 + static_cast<double>(below(Rng, 100));
  case 5:
    return 1e300;
  case 6:
    return Json::array();
  case 7:
    return Json::object();
  default:
    return asciiText(Rng);
  }
}

/// All values within \p Root, itself too.
void gather(Json &Root, std::vector<Json *> &Into) {
  Into.push_back(&Root);
  if (Root.is_structured())
    for (Json &Item : Root)
      gather(Item, Into);
}

void nest(Json &Value, Random &Rng) {
  for (std::size_t N = 1 + below(Rng, MostNesting); N > 0; --N)
    Value = Json::array({std::move(Value)});
}

void changeObject(Json &Object, Random &Rng) {
  if (Object.empty()) {
    Object[asciiText(Rng)] = anyValue(Rng);
    return;
  }
  auto At = Object.begin();
  std::advance(At, static_cast<std::ptrdiff_t>(below(Rng, Object.size())));
  switch (below(Rng, 3)) {
  case 0:
    Object.erase(At);
    return;
  case 1:
    At.value() = anyValue(Rng);
    return;
  default:
    Object[asciiText(Rng)] = At.value();
  }
}

void changeArray(Json &Array, Random &Rng) {
  if (Array.empty() || below(Rng, 3) == 0) {
    Array.push_back(anyValue(Rng));
    return;
  }
  std::size_t At = below(Rng, Array.size());
  if (below(Rng, 2) == 0) {
    Array.erase(At);
    return;
  }
  Json Copy = Array[At];
  for (std::size_t N = below(Rng, 4); N > 0; --N)
    Array.push_back(Copy);
}

void changeValue(Json &Root, Random &Rng) {
  std::vector<Json *> All;
  gather(Root, All);
  Json &One = *All[below(Rng, All.size())];
  if (below(Rng, 12) == 0)
    return nest(One, Rng);
  if (One.is_object())
    return changeObject(One, Rng);
  if (One.is_array())
    return changeArray(One, Rng);
  One = anyValue(Rng);
}

void changeBytes(std::string &Text, Random &Rng) {
  if (Text.empty())
    Text = "x";
  std::size_t At = below(Rng, Text.size());
  switch (below(Rng, 5)) {
  case 0:
    Text[At] = static_cast<char>(below(Rng, 256));
    return;
  case 1:
    Text[At] = static_cast<char>(Text[At] ^ (1 << below(Rng, 8)));
    return;
  case 2:
    Text.erase(At, 1 + below(Rng, 16));
    return;
  case 3:
    Text.insert(At, Text.substr(below(Rng, Text.size()), below(Rng, 40)));
    return;
  default:
    Text.insert(At, anyText(Rng));
  }
}

std::vector<std::string> linesOf(const std::string &Text) {
  std::vector<std::string> Lines;
  std::size_t From = 0;
  while (From < Text.size()) {
    std::size_t End = Text.find('\n', From);
    End = End == std::string::npos ? Text.size() : End + 1;
    Lines.push_back(Text.substr(From, End - From));
    From = End;
  }
  return Lines;
}

std::string anyHeader(Random &Rng) {
  static const char *Names[] = {
      "Content-Length", "Transfer-Encoding", "Host", "Connection",
      "Expect",         "Keep-Alive",        "X",    "Upgrade",
      "Trailer"};
  std::string Name = Names[below(Rng, std::size(Names))];
  return Name + ": " + anyText(Rng) + "\r\n";
}

void changeLines(std::string &Text, Random &Rng) {
  std::vector<std::string> Lines = linesOf(Text);
  if (Lines.empty())
    return changeBytes(Text, Rng);
  std::size_t At = below(Rng, Lines.size());
  auto Place = Lines.begin() + static_cast<std::ptrdiff_t>(At);
  switch (below(Rng, 4)) {
  case 0:
    Lines.erase(Place);
    break;
  case 1:
    Lines.insert(Place, std::string(Lines[At]));
    break;
  case 2:
    Lines.insert(Place, anyHeader(Rng));
    break;
  default:
    std::swap(Lines[At], Lines[below(Rng, Lines.size())]);
  }
  Text.clear();
  for (const std::string &L : Lines)
    Text += L;
}

} // namespace

std::string mutated(const std::string &Good, Shape Form, Random &Rng) {
  std::string Text = Good;
  std::size_t Changes = 1 + below(Rng, MostChanges);
  if (Form == Shape::Json && below(Rng, 4) != 0) {
    Json Doc = Json::parse(Text, nullptr, false);
    for (std::size_t I = 0; I < Changes; ++I)
      changeValue(Doc, Rng);
    return Doc.dump();
  }
  for (std::size_t I = 0; I < Changes; ++I)
    if (Form == Shape::Http && below(Rng, 2) == 0)
      changeLines(Text, Rng);
    else
      changeBytes(Text, Rng);
  return Text;
}

} // namespace shallot::fuzz
