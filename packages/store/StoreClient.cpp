#include "store/StoreClient.h"

#include "shallotshift/model.h"

#include <charconv>
#include <fmt/format.h>
#include <map>

namespace shallot {
namespace {

enum class CallKind : std::uint8_t { Read, Write, Remove, Watch, Hosts };

/// One call with all its tries.
struct Call {
  CallKind Kind = CallKind::Read;
  std::string Path; ///< Without the query of a watch.
  HttpRequest Request;
  std::function<void(Attempt<HttpReply>)> OnDone;
  unsigned Tries = 0;
  bool Waits = false; ///< A watch.
  HttpClient::TransferId Transfer = 0;
};

/// Three names of the longest kind fit.
constexpr std::size_t MaxPathBytes = 320;

/// No character that HTTP would read as something else.
bool isPath(std::string_view Path) {
  constexpr std::string_view Allowed = "abcdefghijklmnopqrstuvwxyz"
                                       "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                       "0123456789._/-";
  return Path.size() <= MaxPathBytes &&
         Path.find_first_not_of(Allowed) == std::string_view::npos;
}

bool isWrite(CallKind Kind) {
  return Kind == CallKind::Write || Kind == CallKind::Remove;
}

/// The version in an ETag such as "42", with its quotes.
std::optional<std::uint64_t> versionIn(const HttpReply &Reply) {
  std::string_view Tag = headerValue(Reply.Headers, "ETag");
  if (Tag.size() < 3 || Tag.front() != '"' || Tag.back() != '"')
    return std::nullopt;
  Tag = Tag.substr(1, Tag.size() - 2);
  std::uint64_t Version = 0;
  auto [End, Failed] =
      std::from_chars(Tag.data(), Tag.data() + Tag.size(), Version);
  if (Failed != std::errc() || End != Tag.data() + Tag.size())
    return std::nullopt;
  return Version;
}

Error badReply(std::string What) {
  return {ResultCode::PlatformBadReply, std::move(What)};
}

Error statusError(const HttpRequest &Request, int Status) {
  auto With = [&](ResultCode Code) {
    return Error{Code, fmt::format("{} {}: {} (status {})", Request.Method,
                                   Request.Path, infoOf(Code).Text, Status)};
  };
  switch (Status) {
  case 404:
    return With(ResultCode::PlatformNotFound);
  case 412:
    return With(ResultCode::PlatformConflict);
  case 413:
    return With(ResultCode::PlatformTooLarge);
  case 429:
    return With(ResultCode::PlatformThrottled);
  default:
    return With(Status >= 500 ? ResultCode::PlatformDown
                              : ResultCode::PlatformBadReply);
  }
}

Attempt<StoredObject> objectIn(HttpReply Reply) {
  auto Version = versionIn(Reply);
  if (!Version)
    return badReply("the platform's reply has no version (ETag)");
  if (Reply.Body.size() > MaxObjectBytes)
    return badReply(
        fmt::format("the platform's object has {} bytes", Reply.Body.size()));
  return StoredObject{std::move(Reply.Body), *Version};
}

HttpHeaders conditionHeaders(const Precondition &If) {
  if (!If.version())
    return {{"If-None-Match", "*"}};
  return {{"If-Match", fmt::format("\"{}\"", *If.version())}};
}

std::string waitQuery(std::uint64_t After, Duration Wait) {
  return fmt::format("?after={}&wait_ms={}", After, toMillis(Wait));
}

} // namespace

struct StoreClient::Impl : std::enable_shared_from_this<Impl> {
  Impl(EventLoop &Loop, HttpClient &Http, StoreSettings Settings)
      : Loop(Loop), Http(Http), Settings(std::move(Settings)) {}

  CallId start(Call C) {
    CallId Id = ++LastId;
    if (auto Refusal = refusalOf(C)) {
      failLater(std::move(C), std::move(*Refusal));
      return Id;
    }
    if (C.Waits)
      ++WatchCount;
    Calls.emplace(Id, std::move(C));
    send(Id);
    return Id;
  }

  std::optional<Error> refusalOf(const Call &C) {
    if (!isPath(C.Path))
      return Error{ResultCode::BadName,
                   fmt::format("object path '{}': allowed are up to {} of "
                               "letters, digits, '.', '_', '/', '-'",
                               C.Path.substr(0, MaxPathBytes), MaxPathBytes)};
    bool Full = C.Waits
                    ? WatchCount >= Settings.MaxWatchesInFlight
                    : Calls.size() - WatchCount >= Settings.MaxCallsInFlight;
    if (!Full)
      return std::nullopt;
    ++Counters.Refused;
    return Error{ResultCode::PlatformThrottled,
                 fmt::format("not sent: {} calls and {} watches are in flight",
                             Calls.size() - WatchCount, WatchCount)};
  }

  void failLater(Call C, Error Err) {
    Loop.post(
        [Self = weak_from_this(), C = std::move(C), Err = std::move(Err)] {
          if (Self.lock())
            C.OnDone(Err);
        });
  }

  void count(CallKind Kind) {
    switch (Kind) {
    case CallKind::Read:
      ++Counters.Reads;
      break;
    case CallKind::Write:
      ++Counters.Writes;
      break;
    case CallKind::Remove:
      ++Counters.Removes;
      break;
    case CallKind::Watch:
      ++Counters.Watches;
      break;
    case CallKind::Hosts:
      ++Counters.HostReads;
      break;
    }
  }

  void send(CallId Id) {
    Call &C = Calls.at(Id);
    ++C.Tries;
    count(C.Kind);
    C.Request.To = Settings.Endpoints[Current];
    C.Transfer = Http.send(C.Request, [Self = weak_from_this(), Id,
                                       Used = Current](HttpReply Reply) {
      if (auto I = Self.lock())
        I->replied(Id, Used, std::move(Reply));
    });
  }

  void replied(CallId Id, std::size_t Used, HttpReply Reply) {
    auto It = Calls.find(Id);
    if (It == Calls.end())
      return;
    bool Works = Reply.arrived() && Reply.Status < 500;
    if (!Works) {
      ++Counters.Failures;
      leaveEndpoint(Used);
      if (mayTryNext(It->second, Reply))
        return send(Id);
    }
    finish(It, std::move(Reply));
  }

  void leaveEndpoint(std::size_t Used) {
    // Another call may have moved on already.
    if (Current == Used)
      Current = (Current + 1) % Settings.Endpoints.size();
  }

  bool mayTryNext(const Call &C, const HttpReply &Reply) const {
    if (C.Tries >= Settings.Endpoints.size())
      return false;
    return !isWrite(C.Kind) || Reply.Failure == ResultCode::ConnectFailed;
  }

  void finish(std::map<CallId, Call>::iterator It, HttpReply Reply) {
    Call C = std::move(It->second);
    Calls.erase(It);
    if (C.Waits)
      --WatchCount;
    if (!Reply.arrived())
      return C.OnDone(
          Error{ResultCode::PlatformDown,
                fmt::format("{} {}: {} ({} of {} endpoints tried, the last {})",
                            C.Request.Method, C.Request.Path,
                            infoOf(Reply.Failure).Text, C.Tries,
                            Settings.Endpoints.size(), C.Request.To.str())});
    if (Reply.Status == 200 || (Reply.Status == 304 && C.Waits))
      return C.OnDone(std::move(Reply));
    if (Reply.Status == 412)
      ++Counters.Conflicts;
    C.OnDone(statusError(C.Request, Reply.Status));
  }

  Call prepare(CallKind Kind, std::string Method, std::string Path) const {
    Call C;
    C.Kind = Kind;
    C.Request.Method = std::move(Method);
    C.Request.Path = Path;
    C.Path = std::move(Path);
    C.Request.Timeout = Settings.CallTimeout;
    C.Request.ConnectTimeout = Settings.ConnectTimeout;
    // libcurl sends a request again by itself when a kept connection closes
    // before the reply. A conditional write would then meet its own first copy
    // and report a conflict, that is "not done", although it was done.
    C.Request.Rule = isWrite(Kind) ? Repeat::Never : Repeat::Idempotent;
    return C;
  }

  Call prepareWatch(CallKind Kind, std::string Path, std::uint64_t After,
                    Duration Wait) const {
    Call C = prepare(Kind, "GET", std::move(Path));
    C.Request.Path += waitQuery(After, Wait);
    C.Request.Timeout = Wait + Settings.CallTimeout;
    C.Waits = true;
    return C;
  }

  EventLoop &Loop;
  HttpClient &Http;
  StoreSettings Settings;
  StoreCounters Counters;
  std::map<CallId, Call> Calls;
  std::size_t WatchCount = 0;
  std::size_t Current = 0; ///< The endpoint in use.
  CallId LastId = 0;
};

StoreClient::StoreClient(std::shared_ptr<Impl> I) : I(std::move(I)) {}

Result<std::unique_ptr<StoreClient>>
StoreClient::make(EventLoop &Loop, HttpClient &Http, StoreSettings Settings) {
  if (Settings.Endpoints.empty())
    return fail(ResultCode::SettingsInvalid,
                "the platform has no endpoint, needed is at least one");
  return std::unique_ptr<StoreClient>(
      new StoreClient(std::make_shared<Impl>(Loop, Http, std::move(Settings))));
}

StoreClient::~StoreClient() {
  for (const auto &[Id, C] : I->Calls)
    I->Http.cancel(C.Transfer);
}

StoreClient::CallId StoreClient::read(const std::string &Path,
                                      StoreCallback<StoredObject> OnDone) {
  Call C = I->prepare(CallKind::Read, "GET", "/objects/" + Path);
  C.OnDone = [OnDone = std::move(OnDone)](Attempt<HttpReply> Reply) {
    if (!Reply)
      return OnDone(Reply.error());
    OnDone(objectIn(std::move(*Reply)));
  };
  return I->start(std::move(C));
}

StoreClient::CallId StoreClient::write(const std::string &Path,
                                       std::string Value, Precondition If,
                                       StoreCallback<std::uint64_t> OnDone) {
  Call C = I->prepare(CallKind::Write, "PUT", "/objects/" + Path);
  C.Request.Headers = conditionHeaders(If);
  C.Request.Body = std::move(Value);
  std::size_t Size = C.Request.Body.size();
  C.OnDone = [OnDone = std::move(OnDone)](Attempt<HttpReply> Reply) {
    if (!Reply)
      return OnDone(Reply.error());
    if (auto Version = versionIn(*Reply))
      return OnDone(*Version);
    OnDone(badReply("the platform's reply to a write has no version (ETag)"));
  };
  if (Size <= MaxObjectBytes)
    return I->start(std::move(C));
  I->failLater(std::move(C),
               Error{ResultCode::PlatformTooLarge,
                     fmt::format("{}: {} bytes, the platform holds {}", Path,
                                 Size, MaxObjectBytes)});
  return ++I->LastId;
}

StoreClient::CallId StoreClient::remove(const std::string &Path,
                                        Precondition If,
                                        StoreCallback<Done> OnDone) {
  Call C = I->prepare(CallKind::Remove, "DELETE", "/objects/" + Path);
  C.Request.Headers = conditionHeaders(If);
  C.OnDone = [OnDone = std::move(OnDone)](const Attempt<HttpReply> &Reply) {
    if (!Reply)
      return OnDone(Reply.error());
    OnDone(Done{});
  };
  return I->start(std::move(C));
}

StoreClient::CallId
StoreClient::watch(const std::string &Path, std::uint64_t After, Duration Wait,
                   StoreCallback<std::optional<StoredObject>> OnDone) {
  Call C = I->prepareWatch(CallKind::Watch, "/objects/" + Path, After, Wait);
  C.OnDone = [After, OnDone = std::move(OnDone)](Attempt<HttpReply> Reply) {
    if (!Reply)
      return OnDone(Reply.error());
    if (Reply->Status == 304)
      return OnDone(std::optional<StoredObject>());
    auto Object = objectIn(std::move(*Reply));
    if (!Object)
      return OnDone(Object.error());
    // A lagging reply with an older version is no news.
    if (Object->Version <= After)
      return OnDone(std::optional<StoredObject>());
    OnDone(std::optional<StoredObject>(std::move(*Object)));
  };
  return I->start(std::move(C));
}

StoreClient::CallId
StoreClient::hosts(std::uint64_t After, Duration Wait,
                   StoreCallback<std::optional<HostList>> OnDone) {
  Call C = I->prepareWatch(CallKind::Hosts, "/hosts", After, Wait);
  C.OnDone = [After,
              OnDone = std::move(OnDone)](const Attempt<HttpReply> &Reply) {
    if (!Reply)
      return OnDone(Reply.error());
    if (Reply->Status == 304)
      return OnDone(std::optional<HostList>());
    auto List = attempt([&] { return decodeHostList(Reply->Body); });
    if (!List)
      return OnDone(List.error());
    if (List->Version <= After)
      return OnDone(std::optional<HostList>());
    OnDone(std::optional<HostList>(std::move(*List)));
  };
  return I->start(std::move(C));
}

void StoreClient::cancel(CallId Id) {
  auto It = I->Calls.find(Id);
  if (It == I->Calls.end())
    return;
  I->Http.cancel(It->second.Transfer);
  if (It->second.Waits)
    --I->WatchCount;
  I->Calls.erase(It);
}

const StoreCounters &StoreClient::counters() const { return I->Counters; }

std::size_t StoreClient::inFlight() const { return I->Calls.size(); }

} // namespace shallot
