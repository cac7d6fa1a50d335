//===- StoreClient.h - The platform over HTTP -------------------*- C++ -*-===//
//
// The platform's object service and host list. Its endpoints are tried in turn
// and the one that last worked is kept. A read goes on to the next endpoint
// after any failure; a write only when nothing was sent, because a conditional
// write that is sent twice can be told "conflict" by its own first copy.
//
// Waiting before another try is the caller's (Backoff.h): only the caller knows
// what the call is worth.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_STORE_STORECLIENT_H
#define SHALLOTSHIFT_STORE_STORECLIENT_H

#include "shallotshift/net.h"
#include "store/HostList.h"
#include "store/ObjectStore.h"

#include <memory>
#include <vector>

namespace shallot {

struct StoreSettings {
  /// Endpoints of the service, the preferred ones first. At least one.
  std::vector<Endpoint> Endpoints;
  /// One try of one call. The service answers in milliseconds; a second is an
  /// outage.
  Duration CallTimeout = Seconds(1);
  Duration ConnectTimeout = Millis(250);
  /// Further calls are refused with PlatformThrottled: an outage must not pile
  /// up calls in memory and let them loose on the service when it returns.
  unsigned MaxCallsInFlight = 64;
  /// Watches wait for long, so they have a bound of their own.
  unsigned MaxWatchesInFlight = 4;
};

/// What was sent, by kind; each try counts, as it does in the platform.
struct StoreCounters {
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Removes = 0;
  std::uint64_t Watches = 0;
  std::uint64_t HostReads = 0;
  std::uint64_t Conflicts = 0;
  std::uint64_t Failures = 0; ///< Tries without a usable reply.
  std::uint64_t Refused = 0;  ///< Not sent: too many in flight.

  std::uint64_t sent() const {
    return Reads + Writes + Removes + Watches + HostReads;
  }
  friend bool operator==(const StoreCounters &,
                         const StoreCounters &) = default;
};

class StoreClient {
public:
  using CallId = std::uint64_t;

  /// Fails with SettingsInvalid when there is no endpoint. \p Loop and \p Http
  /// must outlive the client.
  static Result<std::unique_ptr<StoreClient>>
  make(EventLoop &Loop, HttpClient &Http, StoreSettings Settings);
  /// Drops what is in flight; no callback is called any more.
  ~StoreClient();
  StoreClient(const StoreClient &) = delete;
  StoreClient &operator=(const StoreClient &) = delete;

  CallId read(const std::string &Path, StoreCallback<StoredObject> OnDone);
  /// Gives the new version.
  CallId write(const std::string &Path, std::string Value, Precondition If,
               StoreCallback<std::uint64_t> OnDone);
  CallId remove(const std::string &Path, Precondition If,
                StoreCallback<Done> OnDone);
  /// Waits up to \p Wait for a version above \p After; nothing: there was none.
  /// With \p After 0 an absent object is waited for; with another it was
  /// removed, which is PlatformNotFound at once.
  CallId watch(const std::string &Path, std::uint64_t After, Duration Wait,
               StoreCallback<std::optional<StoredObject>> OnDone);
  /// The hosts, once their version is above \p After; nothing: it was not.
  CallId hosts(std::uint64_t After, Duration Wait,
               StoreCallback<std::optional<HostList>> OnDone);

  /// Drops a call; its callback will not be called. A write may have taken
  /// effect.
  void cancel(CallId Id);

  const StoreCounters &counters() const;
  std::size_t inFlight() const;

private:
  struct Impl;
  explicit StoreClient(std::shared_ptr<Impl> I);
  std::shared_ptr<Impl> I;
};

static_assert(ObjectStore<StoreClient>);

} // namespace shallot

#endif // SHALLOTSHIFT_STORE_STORECLIENT_H
