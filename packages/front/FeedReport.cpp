//===- FeedReport.cpp -----------------------------------------------------===//
#include "front/FeedReport.h"

namespace shallot {

namespace {

/// Replies of at least this size are logged individually. A change of one
/// registration has 300 bytes; a page of registrations has 100 KB and occurs
/// only at start.
constexpr std::size_t LargeAnswer = 64 << 10;

} // namespace

void reportReply(Metrics &Meter, const FeedCallName &Call, const HttpReply &R) {
  const char *How = R.arrived() ? "arrived" : "failed";
  Meter.count("shallot_feed_answers_total",
              {{"kind", Call.Kind}, {"how", How}});
  Meter.count("shallot_feed_bytes_total", {{"kind", Call.Kind}},
              double(R.ReceivedBytes));
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
  if (P.Bytes != 0)
    logEvent(LogLevel::Info, "feed_call_replaced",
             {{"kind", Call.Kind},
              {"from", Call.From},
              {"bytes", std::to_string(P.Bytes)},
              {"ms", std::to_string(toMillis(P.Age))},
              {"silent_ms", std::to_string(toMillis(P.Silent))}});
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

} // namespace shallot
