// A store in memory with virtual time and scripted losses. A call takes a
// millisecond each way; one whose request or reply is lost is reported as
// PlatformDown after a second, as StoreClient does.
#pragma once

#include "VirtualTime.h"
#include "shallotshift/store.h"

#include <functional>
#include <map>
#include <string>

namespace shallot::test {

enum class Fault : std::uint8_t {
  None,
  LostRequest, ///< Never arrives.
  LostReply,   ///< Takes effect; the caller hears nothing.
  Late,        ///< Arrives and takes effect after the caller gave up.
  Throttled,
  LaggingRead, ///< A read that gives the object's oldest version.
};

/// One call to the store, as a test's script sees it.
struct FakeCall {
  bool IsWrite = false;
  std::string Path;
  unsigned Number = 0; ///< Of the calls so far.
};

class FakeObjectStore : public VirtualTime {
public:
  FakeObjectStore() : VirtualTime(Instant{}) {}

  using Script = std::function<Fault(const FakeCall &)>;

  Script OnCall = [](const FakeCall &) { return Fault::None; };
  unsigned Calls = 0;
  unsigned HeadSwaps = 0; ///< That took effect.

  void read(const std::string &Path,
            const StoreCallback<StoredObject> &OnDone) {
    Fault F = OnCall({false, Path, ++Calls});
    if (F == Fault::LostRequest || F == Fault::LostReply || F == Fault::Late)
      return failLater(OnDone, ResultCode::PlatformDown, Timeout);
    if (F == Fault::Throttled)
      return failLater(OnDone, ResultCode::PlatformThrottled, Way);
    after(Way, [this, Path, F, OnDone] {
      auto &Versions = Objects[Path];
      if (Versions.empty())
        return failLater(OnDone, ResultCode::PlatformNotFound, Way);
      StoredObject Object =
          F == Fault::LaggingRead ? Versions.front() : Versions.back();
      after(Way, [Object, OnDone] { OnDone(Object); });
    });
  }

  void write(const std::string &Path, const std::string &Value, Precondition If,
             const StoreCallback<std::uint64_t> &OnDone) {
    Fault F = OnCall({true, Path, ++Calls});
    if (F == Fault::LostRequest)
      return failLater(OnDone, ResultCode::PlatformDown, Timeout);
    if (F == Fault::Throttled)
      return failLater(OnDone, ResultCode::PlatformThrottled, Way);
    if (F == Fault::LostReply || F == Fault::Late) {
      after(F == Fault::Late ? Timeout * 2 : Way,
            [this, Path, Value, If] { store(Path, Value, If); });
      return failLater(OnDone, ResultCode::PlatformDown, Timeout);
    }
    after(Way, [this, Path, Value, If, OnDone] {
      if (!store(Path, Value, If))
        return failLater(OnDone, ResultCode::PlatformConflict, Way);
      std::uint64_t Version = Objects[Path].back().Version;
      after(Way, [Version, OnDone] { OnDone(Version); });
    });
  }

  void remove(const std::string &Path, Precondition,
              const StoreCallback<Done> &OnDone) {
    Objects.erase(Path);
    after(Way, [OnDone] { OnDone(Done{}); });
  }

  bool has(const std::string &Path) const { return Objects.contains(Path); }
  std::size_t objects() const { return Objects.size(); }

private:
  static constexpr Duration Way = Millis(1);
  static constexpr Duration Timeout = Seconds(1);

  template <typename T>
  void failLater(StoreCallback<T> OnDone, ResultCode Code, Duration D) {
    after(D, [OnDone, Code] { OnDone(Error{Code, "the fake store"}); });
  }

  bool store(const std::string &Path, const std::string &Value,
             const Precondition &If) {
    auto &Versions = Objects[Path];
    std::uint64_t Held = Versions.empty() ? 0 : Versions.back().Version;
    if (Held != If.version().value_or(0))
      return false;
    Versions.push_back({Value, ++LastVersion});
    HeadSwaps += Path == HeadPath;
    return true;
  }

  std::map<std::string, std::vector<StoredObject>> Objects;
  std::uint64_t LastVersion = 0;
};

static_assert(ObjectStore<FakeObjectStore>);

/// The outcome of one change, once its callback was called.
using Ending = std::shared_ptr<std::optional<Attempt<ChangeOutcome>>>;

inline Ending begin(FakeObjectStore &S, ChangeRequest Request,
                    std::uint64_t Seed = 1) {
  auto End = std::make_shared<std::optional<Attempt<ChangeOutcome>>>();
  writeChange(S, S, Seed, {}, std::move(Request),
              [End](const Attempt<ChangeOutcome> &Outcome) { *End = Outcome; });
  return End;
}

/// The configuration that the store holds, read without faults.
inline ConfigPtr storedConfig(FakeObjectStore &S) {
  auto Script =
      std::exchange(S.OnCall, [](const FakeCall &) { return Fault::None; });
  ConfigPtr Config;
  readConfig(S, nullptr, [&](const Attempt<StoredConfig> &Read) {
    if (Read)
      Config = Read->Config;
  });
  S.run();
  S.OnCall = Script;
  return Config;
}

} // namespace shallot::test
