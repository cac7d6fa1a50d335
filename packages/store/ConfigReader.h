//===- ConfigReader.h - Reading a whole configuration -----------*- C++ -*-===//
//
// Reads the head and the blobs that it names. Blobs that a known configuration
// already has are not read again, so a change of one upstream costs the head
// and one group. Every blob is held against its hash, so a truncated or
// exchanged one is never taken in.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_STORE_CONFIGREADER_H
#define SHALLOTSHIFT_STORE_CONFIGREADER_H

#include "shallotshift/model.h"
#include "store/ObjectStore.h"

#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace shallot {

/// Blobs that are read at a time: a first read of 53 groups takes 7 rounds and
/// never fills a client's bound on calls.
inline constexpr std::size_t MaxBlobReads = 8;

struct StoredConfig {
  ConfigPtr Config; ///< Null: nothing has been configured yet.
  std::uint64_t HeadVersion = 0;
};

/// Content by hash of blobs that a failed read got, for the next try: a read of
/// many blobs under losses would else start from nothing each time and never
/// end. It holds one configuration's blobs at most.
using BlobCache = std::map<std::string, std::string>;

/// Puts a head and its blobs together without any I/O.
class ConfigAssembly {
public:
  struct Blob {
    std::string Hash;
    bool IsGroup = false;
  };

  /// \p Known may be null.
  ConfigAssembly(Head H, const ConfigPtr &Known);

  /// What is still to be read.
  const std::vector<Blob> &missing() const { return Missing; }
  /// Takes the content of one blob. Fails with ContentMismatch.
  Result<void> add(const Blob &What, std::string_view Content);
  Result<ConfigPtr> finish() &&;

private:
  Head H;
  std::vector<Group> Groups;
  std::vector<Preset> Presets;
  std::vector<Blob> Missing;
};

namespace internal {

template <ObjectStore Store>
class ConfigRead : public std::enable_shared_from_this<ConfigRead<Store>> {
public:
  ConfigRead(Store &S, ConfigPtr Known, std::shared_ptr<BlobCache> Cache,
             StoreCallback<StoredConfig> OnDone)
      : S(S), Known(std::move(Known)), Cache(std::move(Cache)),
        OnDone(std::move(OnDone)) {}

  void start() {
    S.read(std::string(HeadPath),
           [Self = this->shared_from_this()](
               const Attempt<StoredObject> &Object) { Self->onHead(Object); });
  }

private:
  void onHead(const Attempt<StoredObject> &Object) {
    if (!Object && Object.error().Code == ResultCode::PlatformNotFound)
      return finish(StoredConfig{});
    if (!Object)
      return finish(Object.error());
    auto H = attempt([&] { return decodeHead(Object->Value); });
    if (!H)
      return finish(H.error());
    HeadVersion = Object->Version;
    Assembly = std::make_unique<ConfigAssembly>(std::move(*H), Known);
    readMore();
  }

  void readMore() {
    const auto &Missing = Assembly->missing();
    while (Next < Missing.size() && InFlight < MaxBlobReads) {
      const ConfigAssembly::Blob &What = Missing[Next++];
      if (Cache->contains(What.Hash)) {
        if (!take(What, Cache->at(What.Hash)))
          return;
        continue;
      }
      ++InFlight;
      S.read(std::string(BlobPrefix) + What.Hash,
             [Self = this->shared_from_this(),
              &What](const Attempt<StoredObject> &Object) {
               Self->onBlob(What, Object);
             });
    }
    if (InFlight == 0)
      assemble();
  }

  void onBlob(const ConfigAssembly::Blob &What,
              const Attempt<StoredObject> &Object) {
    --InFlight;
    if (Object && contentHash(Object->Value) == What.Hash)
      Cache->emplace(What.Hash, Object->Value);
    if (!OnDone)
      return; // An earlier blob failed.
    if (!Object)
      return finish(Object.error());
    if (take(What, Object->Value))
      readMore();
  }

  /// False when the content was bad and the read has ended.
  bool take(const ConfigAssembly::Blob &What, const std::string &Content) {
    auto Added = attempt([&] { return Assembly->add(What, Content); });
    if (!Added)
      finish(Added.error());
    return static_cast<bool>(Added);
  }

  void assemble() {
    auto C = attempt([&] { return std::move(*Assembly).finish(); });
    if (!C)
      return finish(C.error());
    Cache->clear();
    finish(StoredConfig{std::move(*C), HeadVersion});
  }

  void finish(Attempt<StoredConfig> Outcome) {
    std::exchange(OnDone, nullptr)(std::move(Outcome));
  }

  Store &S;
  ConfigPtr Known;
  std::shared_ptr<BlobCache> Cache;
  StoreCallback<StoredConfig> OnDone;
  std::unique_ptr<ConfigAssembly> Assembly;
  std::uint64_t HeadVersion = 0;
  std::size_t Next = 0;
  std::size_t InFlight = 0;
};

} // namespace internal

/// Reads the configuration in \p S; the store must outlive the read. Fails with
/// the store's errors, ContentMismatch and what decoding says; \p Cache then
/// keeps what was read.
template <ObjectStore Store>
void readConfig(
    Store &S, ConfigPtr Known, StoreCallback<StoredConfig> OnDone,
    std::shared_ptr<BlobCache> Cache = std::make_shared<BlobCache>()) {
  std::make_shared<internal::ConfigRead<Store>>(
      S, std::move(Known), std::move(Cache), std::move(OnDone))
      ->start();
}

} // namespace shallot

#endif // SHALLOTSHIFT_STORE_CONFIGREADER_H
