//===- FeedReport.cpp -----------------------------------------------------===//
#include "front/FeedReport.h"

#include "front/CatchUp.h"

namespace shallot {

namespace {

/// Replies of at least this size are logged individually. A change of one
/// registration has 300 bytes; a page of registrations has 100 KB and occurs
/// only at start.
constexpr std::size_t LargeAnswer = 64 << 10;

const char *accessName(StoreAccess A) {
  switch (A) {
  case StoreAccess::Untried:
    return "untried";
  case StoreAccess::Reads:
    return "reads";
  case StoreAccess::Refused:
    return "refused";
  }
  return "unknown";
}

/// Why this daemon takes over the feed of its region, or hands it over.
const char *handoverReason(const FeedTree &T) {
  if (T.IsWatcher)
    return T.Own == StoreAccess::Reads && T.Access.Refused != 0
               ? "reads_in_place_of_refused"
               : "first_by_rank";
  if (T.Own == StoreAccess::Refused)
    return "refused";
  return T.Access.Refused != 0 ? "another_reads" : "larger_host";
}

const char *connectionName(bool New) { return New ? "new" : "kept"; }

} // namespace

void reportReply(Metrics &Meter, const FeedCallName &Call, const HttpReply &R) {
  const char *How = R.arrived() ? "arrived" : "failed";
  Meter.count("shallot_feed_answers_total",
              {{"kind", Call.Kind}, {"how", How}});
  Meter.count("shallot_feed_bytes_total", {{"kind", Call.Kind}},
              double(R.ReceivedBytes));
  if (!R.arrived())
    logEvent(LogLevel::Info, "feed_call_failed",
             {{"kind", Call.Kind},
              {"from", Call.From},
              {"why", codeLabel(R.Failure)},
              {"ms", std::to_string(toMillis(R.Took))},
              {"connection", connectionName(R.NewConnection)}});
  if (R.Body.size() >= LargeAnswer)
    logEvent(LogLevel::Info, "feed_answer",
             {{"kind", Call.Kind},
              {"from", Call.From},
              {"how", How},
              {"bytes", std::to_string(R.ReceivedBytes)},
              {"unpacked", std::to_string(R.Body.size())},
              {"ms", std::to_string(toMillis(R.Took))}});
}

void reportCancelled(Metrics &Meter, const FeedCallName &Call,
                     const TransferProgress &P) {
  Meter.count("shallot_feed_replaced_total", {{"kind", Call.Kind}});
  Meter.count("shallot_feed_replaced_bytes_total", {{"kind", Call.Kind}},
              double(P.Bytes));
  if (P.Bytes != 0 || P.Age > CatchUpTimeout)
    logEvent(LogLevel::Info, "feed_call_replaced",
             {{"kind", Call.Kind},
              {"from", Call.From},
              {"bytes", std::to_string(P.Bytes)},
              {"ms", std::to_string(toMillis(P.Age))},
              {"silent_ms", std::to_string(toMillis(P.Silent))},
              {"connection", connectionName(P.NewConnection)}});
}

void reportRestore(Metrics &Meter, const char *Watch, const RestoreReport &R) {
  Meter.count("shallot_store_restores_total", {{"watch", Watch}});
  logEvent(LogLevel::Warn, "store_restored",
           {{"watch", Watch},
            {"listed", R.Listed.str()},
            {"read", R.Read.str()},
            {"kept", std::to_string(R.Kept)},
            {"withheld", std::to_string(R.Withheld)}});
}

void reportOutdatedList(const char *Watch, StoreRevision Listed,
                        StoreRevision Read) {
  logEvent(LogLevel::Warn, "list_outdated",
           {{"watch", Watch}, {"listed", Listed.str()}, {"read", Read.str()}});
}

void reportTrial(Metrics &Meter, const TrialReport &R) {
  const char *How = R.Answered ? "answered" : "failed";
  Meter.count("shallot_store_trials_total", {{"how", How}});
  logEvent(
      LogLevel::Info, "store_trial",
      {{"how", How}, {"ms", std::to_string(toMillis(R.Took))}, {"why", R.Why}});
}

void reportAccess(Metrics &Meter, StoreAccess Now, const FeedTree &T) {
  Meter.count("shallot_store_access_changes_total", {{"to", accessName(Now)}});
  logEvent(Now == StoreAccess::Refused ? LogLevel::Warn : LogLevel::Info,
           "store_access",
           {{"to", accessName(Now)},
            {"watcher", T.IsWatcher ? "yes" : "no"},
            {"region_readers", std::to_string(T.Access.Readers)},
            {"region_refused", std::to_string(T.Access.Refused)}});
}

void reportHandover(Metrics &Meter, const FeedTree &T) {
  const char *Why = handoverReason(T);
  Meter.count("shallot_feed_handovers_total",
              {{"what", T.IsWatcher ? "taken" : "handed"}, {"why", Why}});
  logEvent(LogLevel::Info, T.IsWatcher ? "feed_taken_over" : "feed_handed_over",
           {{"why", Why},
            {"to", T.IsWatcher || T.Peers.empty() ? std::string()
                                                  : T.Peers.front().Id.str()},
            {"region_readers", std::to_string(T.Access.Readers)},
            {"region_refused", std::to_string(T.Access.Refused)}});
}

} // namespace shallot
