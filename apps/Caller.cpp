#include "Caller.h"

#include <algorithm>
#include <fmt/format.h>

using namespace shallot;

namespace apps {

namespace {

/// A daemon answers this from memory.
constexpr Duration EntryTimeout = Seconds(1);
/// More addresses than any answer has; the rest is not looked at.
constexpr std::size_t MaxAddresses = 16;

std::string textOf(const Json &Object, const char *Field) {
  if (!Object.is_object() || !Object.contains(Field))
    return {};
  const Json &Value = Object.at(Field);
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

std::int64_t numberOf(const Json &Object, const char *Field) {
  if (!Object.is_object() || !Object.contains(Field))
    return 0;
  const Json &Value = Object.at(Field);
  return Value.is_number_integer() ? Value.get<std::int64_t>() : 0;
}

} // namespace

const Json &listIn(const Json &Object, const char *Field) {
  static const Json Empty = Json::array();
  auto It = Object.find(Field);
  return It != Object.end() && It->is_array() ? *It : Empty;
}

std::string Reply::text(const char *Field) const { return textOf(Body, Field); }

std::string Reply::problem() const {
  if (!arrived())
    return fmt::format("{}", infoOf(Failure).Text);
  std::string Detail = text("detail");
  return fmt::format("{} {}{}{}", text("code"), text("title"),
                     Detail.empty() ? "" : "; ", Detail);
}

Duration retryAfter(const Reply &R, Duration Most) {
  return std::min<Duration>(Millis(numberOf(R.Body, "retry_after_ms")), Most);
}

const std::vector<Endpoint> &Caller::addresses() {
  if (!Use.empty() && Loop.now() < ValidUntil)
    return Use;
  // The daemons used until now know the fleet best; the known ones come after.
  std::vector<Endpoint> Ask = std::exchange(Use, {});
  Ask.insert(Ask.end(), S.Known.begin(), S.Known.end());
  std::string Path =
      "/v1/entry?key=" + urlEscaped(S.Key) + "&zone=" + urlEscaped(S.Zone);
  ++Lookups;
  for (const Endpoint &To : Ask)
    if (learn(get(To, Path, EntryTimeout)))
      break;
  return Use;
}

bool Caller::learn(const Reply &R) {
  if (R.Status != 200)
    return false;
  for (const Json &A : listIn(R.Body, "addresses")) {
    auto Read =
        attempt([&] { return Endpoint::parse(textOf(A, "address"), "entry"); });
    if (Read && Use.size() < MaxAddresses)
      Use.push_back(*Read);
  }
  // A daemon that is stopped as planned serves for at least this long after its
  // address was given out. Counted from now, the reply's way is on our side.
  ValidUntil = Loop.now() + Millis(numberOf(R.Body, "valid_ms"));
  return !Use.empty();
}

Reply Caller::ask(HttpRequest Request) {
  Reply Out;
  Client.send(std::move(Request), [&](const HttpReply &R) {
    Out.Failure = R.Failure;
    Out.Status = R.Status;
    Out.Body = Json::parse(R.Body, nullptr, /*allow_exceptions=*/false);
    Loop.stop();
  });
  Loop.run();
  return Out;
}

Reply Caller::post(const Endpoint &To, std::string Path, const Json &Body,
                   Duration Timeout) {
  HttpRequest R;
  R.Method = "POST";
  R.To = To;
  R.Path = std::move(Path);
  R.Headers = {{"Content-Type", "application/json"}};
  R.Body = Body.dump();
  R.Timeout = Timeout;
  return ask(std::move(R));
}

Reply Caller::get(const Endpoint &To, std::string Path, Duration Timeout) {
  HttpRequest R;
  R.To = To;
  R.Path = std::move(Path);
  R.Timeout = Timeout;
  return ask(std::move(R));
}

void Caller::wait(Duration For) {
  Loop.after(For, [&] { Loop.stop(); });
  Loop.run();
}

Result<std::vector<Endpoint>> readAddresses(std::string_view Text) {
  std::vector<Endpoint> Out;
  while (!Text.empty()) {
    std::string_view One = Text.substr(0, Text.find(','));
    BOOST_LEAF_AUTO(To, Endpoint::parse(One, "--entry"));
    Out.push_back(To);
    Text.remove_prefix(std::min(Text.size(), One.size() + 1));
  }
  return Out;
}

std::string urlEscaped(std::string_view Text) {
  std::string Out;
  for (char C : Text) {
    bool Plain = (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
                 (C >= '0' && C <= '9') ||
                 std::string_view("-._~").find(C) != std::string_view::npos;
    Out += Plain ? std::string(1, C)
                 : fmt::format("%{:02X}", static_cast<unsigned char>(C));
  }
  return Out;
}

std::string coverageLines(const Json &Body, std::string_view Unit) {
  if (!Body.is_object() || !Body.contains("coverage"))
    return {};
  const Json &C = Body.at("coverage");
  std::string Out =
      fmt::format("  {} of {} {} answered\n", numberOf(C, "answered"),
                  numberOf(C, "asked"), Unit);
  for (const Json &M : listIn(C, "missing"))
    Out += fmt::format("  missing: {} ({})\n", textOf(M, "book"),
                       textOf(M, "reason"));
  return Out;
}

} // namespace apps
