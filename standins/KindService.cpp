//===- KindService.cpp ----------------------------------------------------===//
#include "standins/KindService.h"

#include "standins/Later.h"

#include <array>

namespace shallot::standins {

namespace {

constexpr std::string_view ObjectsPath = "/objects/";
constexpr char EraHeader[] = "Store-Era";

struct ModeName {
  std::string_view Text;
  StoreMode Mode;
};
constexpr std::array<ModeName, 5> ModeNames = {
    {{"serving", StoreMode::Serving},
     {"busy", StoreMode::Busy},
     {"throttled", StoreMode::Throttled},
     {"silent", StoreMode::Silent},
     {"reset", StoreMode::Reset}}};

Result<StoreMode> modeOf(std::string_view Text) {
  for (const ModeName &N : ModeNames)
    if (N.Text == Text)
      return N.Mode;
  return fail(ResultCode::OutOfRange,
              "mode: serving, busy, throttled, silent or reset");
}

std::string_view textOf(StoreMode Mode) {
  for (const ModeName &N : ModeNames)
    if (N.Mode == Mode)
      return N.Text;
  return {};
}

int statusOf(KindWrite W) {
  switch (W) {
  case KindWrite::Done:
    return 200;
  case KindWrite::Exists:
  case KindWrite::Conflict:
    return 409;
  case KindWrite::NotFound:
    return 404;
  }
  return 500;
}

/// What a write demands of the object as it is: by the query, the body's meta,
/// or, for a creation, that there is none.
std::optional<std::uint64_t> conditionOf(const WireRequest &R,
                                         const Json &Body) {
  if (R.Method == "POST")
    return 0;
  if (std::uint64_t Asked = R.parameterNumber("revision", 0))
    return Asked;
  auto Meta = Body.find("meta");
  if (Meta == Body.end() || !Meta->is_object())
    return std::nullopt;
  std::uint64_t Asked = Meta->value("revision", std::uint64_t{0});
  return Asked == 0 ? std::nullopt : std::optional(Asked);
}

} // namespace

KindService::KindService(asio::io_context &Io, const Endpoint &At)
    : Io(Io),
      Server(Io, At,
             {.OnOpen = [this] { return Faults.Mode != StoreMode::Reset; },
              .OnRequest = [this](const WireConnectionPtr &C,
                                  const WireRequest &R) { onRequest(C, R); },
              .OnClose =
                  [this](const WireConnectionPtr &C) {
                    Waiting.remove_if(
                        [&](const Waiter &W) { return W.Caller == C; });
                  }}) {}

void KindService::put(const std::string &Kind, const std::string &Name,
                      Json Spec) {
  Objects.put(Kind, Name, std::move(Spec));
  wake();
}

void KindService::remove(const std::string &Kind, const std::string &Name) {
  Objects.remove(Kind, Name);
  wake();
}

void KindService::dropHistory() {
  Objects.dropHistory();
  Waiters Cut;
  Cut.swap(Waiting);
  for (const Waiter &W : Cut)
    W.Caller->close();
}

void KindService::restoreCopy() {
  Objects.restore(Copy);
  wake();
}

void KindService::setFaults(const KindFaults &F) {
  Faults = F;
  Waiters Struck;
  if (F.Mode != StoreMode::Serving)
    Struck.swap(Waiting);
  for (const Waiter &W : Struck)
    misbehaves(W.Caller, W.Kind);
}

Result<void> KindService::control(const Json &Orders) {
  BOOST_LEAF_CHECK(
      checkFields(Orders, {"mode", "busy_kind", "slow_ms", "lose_write_replies",
                           "hide_era", "drop_history", "take_copy",
                           "restore_copy", "remove", "put_text"}));
  KindFaults F = Faults;
  std::string Mode(textOf(F.Mode));
  bool Drop = false;
  bool Take = false;
  bool Restore = false;
  std::vector<std::string> Gone;
  BOOST_LEAF_CHECK(readField(Orders, "mode", Mode));
  BOOST_LEAF_CHECK(readField(Orders, "busy_kind", F.BusyKind));
  BOOST_LEAF_CHECK(readField(Orders, "slow_ms", F.SlowMs));
  BOOST_LEAF_CHECK(readField(Orders, "lose_write_replies", F.LoseWriteReplies));
  BOOST_LEAF_CHECK(readField(Orders, "hide_era", F.HideEra));
  BOOST_LEAF_CHECK(readField(Orders, "drop_history", Drop));
  BOOST_LEAF_CHECK(readField(Orders, "take_copy", Take));
  BOOST_LEAF_CHECK(readField(Orders, "restore_copy", Restore));
  BOOST_LEAF_CHECK(readField(Orders, "remove", Gone));
  BOOST_LEAF_ASSIGN(F.Mode, modeOf(Mode));
  if (Orders.contains("put_text"))
    BOOST_LEAF_CHECK(putText(Orders["put_text"]));
  if (Take)
    takeCopy();
  if (Restore)
    restoreCopy();
  setFaults(F);
  if (Drop)
    dropHistory();
  for (const std::string &Name : Gone)
    remove("servers", Name);
  return {};
}

/// Puts an object whose content is any text, which need not be JSON.
Result<void> KindService::putText(const Json &Order) {
  std::string Kind;
  std::string Name;
  std::string Text;
  BOOST_LEAF_CHECK(checkFields(Order, {"kind", "name", "text"}));
  BOOST_LEAF_CHECK(readField(Order, "kind", Kind));
  BOOST_LEAF_CHECK(readField(Order, "name", Name));
  BOOST_LEAF_CHECK(readField(Order, "text", Text));
  std::string Mark = "@text " + std::to_string(Texts.size());
  Texts.emplace("\"" + Mark + "\"", std::move(Text));
  put(Kind, Name, Mark);
  return {};
}

void KindService::reply(const WireConnectionPtr &C, int Status,
                        const Json &Body) {
  WireReply R;
  R.Status = Status;
  R.Body = Body.dump();
  for (const auto &[Mark, Text] : Texts)
    if (std::size_t At = R.Body.find(Mark); At != std::string::npos)
      R.Body.replace(At, Mark.size(), Text);
  if (!Faults.HideEra)
    R.Headers.push_back({EraHeader, std::to_string(Objects.era())});
  if (Faults.SlowMs == 0)
    return C->reply(R);
  later(Io, Millis(Faults.SlowMs), [C, R] { C->reply(R); });
}

bool KindService::misbehaves(const WireConnectionPtr &C,
                             const std::string &Kind) {
  switch (Faults.Mode) {
  case StoreMode::Serving:
    if (Kind != Faults.BusyKind)
      return false;
    reply(C, 503, {{"error", "busy"}});
    return true;
  case StoreMode::Busy:
    reply(C, 503, {{"error", "busy"}});
    return true;
  case StoreMode::Throttled:
    reply(C, 429, {{"error", "over the rate"}});
    return true;
  case StoreMode::Silent:
    C->silence();
    return true;
  case StoreMode::Reset:
    C->close();
    return true;
  }
  return false;
}

void KindService::onRequest(const WireConnectionPtr &C, const WireRequest &R) {
  ++Calls;
  if (!R.Path.starts_with(ObjectsPath))
    return reply(C, 404, {{"error", "no such path"}});
  std::string Rest = R.Path.substr(ObjectsPath.size());
  std::size_t Slash = Rest.find('/');
  std::string Kind = Rest.substr(0, Slash);
  std::string Name =
      Slash == std::string::npos ? std::string() : Rest.substr(Slash + 1);
  if (!R.parameter("watch").empty())
    ++Watches[Kind];
  if (misbehaves(C, Kind))
    return;
  if (R.Method != "GET")
    write(C, R, Kind, Name);
  else if (!R.parameter("watch").empty())
    watch(C, R, Kind);
  else
    read(C, R, Kind, Name);
}

void KindService::read(const WireConnectionPtr &C, const WireRequest &R,
                       const std::string &Kind, const std::string &Name) {
  if (!Name.empty()) {
    const Json *Found = Objects.find(Kind, Name);
    return reply(C, Found ? 200 : 404, Found ? *Found : Json::object());
  }
  bool More = false;
  Json Items = Objects.page(Kind, R.parameter("after"), More);
  reply(
      C, 200,
      {{"items", Items}, {"more", More}, {"current_rev", Objects.revision()}});
}

void KindService::write(const WireConnectionPtr &C, const WireRequest &R,
                        const std::string &Kind, const std::string &Name) {
  Json Body = Json::parse(R.Body.empty() ? "{}" : R.Body, nullptr, false);
  if (!Body.is_object())
    return reply(C, 400, {{"error", "the body is no JSON object"}});
  std::string Of = Name;
  if (Of.empty() && Body.contains("meta"))
    Of = Body["meta"].value("name", "");
  if (Of.empty())
    return reply(C, 400, {{"error", "no name"}});
  auto If = conditionOf(R, Body);
  KindWrite Outcome = R.Method == "DELETE"
                          ? Objects.remove(Kind, Of, If)
                          : Objects.put(Kind, Of, Body["spec"], If);
  wake();
  if (Faults.LoseWriteReplies > 0) {
    --Faults.LoseWriteReplies;
    return C->silence();
  }
  const Json *Now = Objects.find(Kind, Of);
  reply(C, statusOf(Outcome), Now ? *Now : Json::object());
}

void KindService::watch(const WireConnectionPtr &C, const WireRequest &R,
                        const std::string &Kind) {
  Waiter W{++LastWaiter, Kind, R.parameterNumber("watch", 0), C};
  if (tryAnswer(W, false))
    return;
  Waiting.push_back(W);
  std::uint64_t Wait = std::min(R.parameterNumber("wait_ms", 0), MaxKindWaitMs);
  later(Io, Millis(Wait), [this, Id = W.Id] {
    Waiting.remove_if([&](const Waiter &Still) {
      return Still.Id == Id && tryAnswer(Still, true);
    });
  });
}

bool KindService::tryAnswer(const Waiter &W, bool Anyway) {
  std::optional<Json> Found = Objects.changes(W.Kind, W.Since);
  if (!Found) {
    reply(W.Caller, 410, {{"error", "this history is gone"}});
    return true;
  }
  if (Found->empty() && !Anyway)
    return false;
  reply(W.Caller, 200,
        {{"events", *Found}, {"current_rev", Objects.revision()}});
  return true;
}

void KindService::wake() {
  Waiting.remove_if([&](const Waiter &W) { return tryAnswer(W, false); });
}

} // namespace shallot::standins
