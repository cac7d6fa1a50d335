//===- ObjectStore.h - What the platform's store offers ---------*- C++ -*-===//
//
// Versioned objects with conditional updates. StoreClient is the store over
// HTTP; tests pass a fake. Callbacks are called exactly once and never before
// the call that asked for them has returned.
//
// What an error says of a write: PlatformConflict, PlatformTooLarge,
// PlatformThrottled: it was not done. PlatformDown, PlatformBadReply: it may
// have been done, or may yet be; read the object to find out.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_STORE_OBJECTSTORE_H
#define SHALLOTSHIFT_STORE_OBJECTSTORE_H

#include "shallotshift/base.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace shallot {

struct StoredObject {
  std::string Value;
  std::uint64_t Version = 0;

  friend bool operator==(const StoredObject &, const StoredObject &) = default;
};

/// What must hold of an object for a write to take effect.
class Precondition {
public:
  static Precondition ifVersion(std::uint64_t Version) {
    return Precondition(Version);
  }
  static Precondition ifAbsent() { return Precondition(std::nullopt); }

  /// The version asked for; none: the object must not exist.
  std::optional<std::uint64_t> version() const { return Version; }

  friend bool operator==(const Precondition &, const Precondition &) = default;

private:
  explicit Precondition(std::optional<std::uint64_t> Version)
      : Version(Version) {}

  std::optional<std::uint64_t> Version;
};

template <typename T> using StoreCallback = std::function<void(Attempt<T>)>;

/// A store: read() gives the object, write() its new version.
template <typename S>
concept ObjectStore = requires(S &Store, std::string Path, std::string Value,
                               Precondition If,
                               StoreCallback<StoredObject> OnRead,
                               StoreCallback<std::uint64_t> OnWrite,
                               StoreCallback<Done> OnRemove) {
  Store.read(Path, OnRead);
  Store.write(Path, Value, If, OnWrite);
  Store.remove(Path, If, OnRemove);
};

/// One object of a kind, as a list or a watch shows it.
// The linter takes the JSON library's move and destructor for throwing ones.
// NOLINTNEXTLINE(bugprone-exception-escape)
struct KindObject {
  std::string Name;
  StoreRevision Revision; ///< Of its last change; orders the whole store.
  nlohmann::json Content;

  friend bool operator==(const KindObject &, const KindObject &) = default;
};

/// A part of the objects of a kind, by name.
struct KindPage {
  std::vector<KindObject> Objects;
  bool More = false; ///< There are further pages, after the last one's name.
  StoreRevision Revision; ///< The store's, when the page was made.
  /// How long ago whoever answered last had word from the store itself.
  Duration Age{};
};

// NOLINTNEXTLINE(bugprone-exception-escape): as above.
struct KindChange {
  KindObject Object;
  bool Removed = false;

  friend bool operator==(const KindChange &, const KindChange &) = default;
};

/// What changed after a revision; empty when the wait ran out.
struct KindChanges {
  std::vector<KindChange> Changes;
  StoreRevision Revision; ///< To watch on from.
  Duration Age{};         ///< As in KindPage.
};

/// A store whose objects have kinds that can be listed and watched. A watch
/// fails with PlatformHistoryGone when its revision is too old, or when the
/// store was restored to a state before it. If such a store has passed the
/// number of the revision again, the watch returns changes of the new epoch.
template <typename S>
concept KindStore = requires(S &Store, std::string Kind, std::string After,
                             StoreRevision Revision, Duration Wait,
                             StoreCallback<KindPage> OnPage,
                             StoreCallback<KindChanges> OnChanges) {
  Store.list(Kind, After, OnPage);
  Store.watchKind(Kind, Revision, Wait, OnChanges);
};

/// The same, and a cheap list of the first page of a kind that may be some
/// seconds old.
template <typename S>
concept StaleReader = KindStore<S> &&
    requires(S &Store, std::string Kind, StoreCallback<KindPage> OnPage) {
  Store.listStale(Kind, OnPage);
};

/// What a conditional write of an object came to. Where the condition did not
/// hold, Now is the object as it is; nothing: there is none.
struct KindWriteReply {
  bool Applied = false;
  std::optional<KindObject> Now;
};

/// A store whose objects of kinds can be written. \p Revision is what the
/// object must have; number 0: there must be none. The revision of an earlier
/// epoch may name another state of the object now, so such a write fails. An
/// error leaves open whether the write was done (mayHaveTakenEffect).
template <typename S>
concept KindWriter = requires(S &Store, std::string Kind, std::string Name,
                              nlohmann::json Content, StoreRevision Revision,
                              StoreCallback<KindWriteReply> OnDone) {
  Store.writeObject(Kind, Name, Content, Revision, OnDone);
  Store.removeObject(Kind, Name, Revision, OnDone);
};

/// A clock with timers, such as EventLoop.
template <typename T>
concept TimerSource = requires(T &Time, Duration D, std::function<void()> Fn) {
  { Time.now() } -> std::same_as<Instant>;
  Time.after(D, Fn);
};

/// True when the same call may succeed a little later.
inline bool isTransient(ResultCode Code) {
  return Code == ResultCode::PlatformDown ||
         Code == ResultCode::PlatformBadReply ||
         Code == ResultCode::PlatformThrottled;
}

/// True when a failed write may have taken effect, or may yet.
inline bool mayHaveTakenEffect(ResultCode Code) {
  return Code == ResultCode::PlatformDown ||
         Code == ResultCode::PlatformBadReply;
}

} // namespace shallot

#endif // SHALLOTSHIFT_STORE_OBJECTSTORE_H
