// What a replica says of itself, and how tests steer it.
#include "standins/UpstreamReplica.h"

#include <algorithm>
#include <fmt/format.h>

namespace shallot::standins {

namespace {

/// The loads that stand for "idle" and "every slot busy and as many waiting".
constexpr double FullLoadPerSlot = 2;

} // namespace

WireReply UpstreamReplica::labelled(const WireRequest &R, int Status) {
  WireReply Reply;
  Reply.Status = Status;
  std::string Attempt(R.header("X-Attempt-Id"));
  if (Faults.Mislabel > 0) {
    --Faults.Mislabel;
    Attempt += "-of-another";
  }
  Reply.Headers.push_back({"X-Attempt-Id", Attempt});
  Reply.Headers.push_back({"X-Servable", servable()});
  Reply.Headers.push_back({"X-Load", fmt::format("{:.2f}", load())});
  if (Faults.Cold)
    Reply.Headers.push_back({"X-Cold", "1"});
  if (Faults.DrainAnnounce || Faults.DrainRefuse)
    Reply.Headers.push_back({"X-Draining", "1"});
  return Reply;
}

std::string UpstreamReplica::servable() const {
  std::string Out;
  for (std::uint64_t Index : S.IndexVersions)
    for (std::uint64_t Partition : S.PartitionVersions)
      Out += fmt::format("{}{}.{}", Out.empty() ? "" : ",", Index, Partition);
  return Out;
}

double UpstreamReplica::load() const {
  if (Faults.ReportLoad >= 0)
    return Faults.ReportLoad;
  double Busy = static_cast<double>(Running.size() + Waiting.size());
  return std::min(1.0, Busy / (FullLoadPerSlot * S.Slots));
}

Result<void> UpstreamReplica::control(const Json &Orders) {
  BOOST_LEAF_CHECK(checkFields(
      Orders,
      {"upstream", "freeze", "silent_existing", "shed", "drain", "cold", "die",
       "index_versions", "partition_version", "partition_versions", "mislabel",
       "reply_twice_late", "die_before_reply_next_action", "close_before_reply",
       "report_load", "service_ms", "straggle_one_in", "ended_by",
       "back_after_ms"}));
  ReplicaFaults F = Faults;
  std::string Drain = F.DrainRefuse     ? "refuse"
                      : F.DrainAnnounce ? "announce"
                                        : "no";
  BOOST_LEAF_CHECK(readField(Orders, "freeze", F.Freeze));
  BOOST_LEAF_CHECK(readField(Orders, "shed", F.Shed));
  BOOST_LEAF_CHECK(readField(Orders, "drain", Drain));
  BOOST_LEAF_CHECK(readField(Orders, "cold", F.Cold));
  BOOST_LEAF_CHECK(readField(Orders, "mislabel", F.Mislabel));
  BOOST_LEAF_CHECK(readField(Orders, "reply_twice_late", F.ReplyTwiceLate));
  BOOST_LEAF_CHECK(readField(Orders, "die_before_reply_next_action",
                             F.DieBeforeReplyNextAction));
  BOOST_LEAF_CHECK(readField(Orders, "close_before_reply", F.CloseBeforeReply));
  BOOST_LEAF_CHECK(readField(Orders, "report_load", F.ReportLoad));
  BOOST_LEAF_CHECK(readField(Orders, "ended_by", F.EndedBy));
  BOOST_LEAF_CHECK(readField(Orders, "back_after_ms", F.BackAfterMs));
  BOOST_LEAF_CHECK(readField(Orders, "service_ms", S.ServiceMs));
  BOOST_LEAF_CHECK(readField(Orders, "straggle_one_in", S.StraggleOneIn));
  if (Drain != "no" && Drain != "announce" && Drain != "refuse")
    return fail(ResultCode::OutOfRange, "drain: no, announce or refuse");
  F.DrainRefuse = Drain == "refuse";
  F.DrainAnnounce = Drain == "announce";
  Faults = F;
  BOOST_LEAF_CHECK(controlVersions(Orders));
  return controlConnections(Orders);
}

Result<void> UpstreamReplica::controlVersions(const Json &Orders) {
  std::vector<std::uint64_t> Index = S.IndexVersions;
  std::vector<std::uint64_t> Partition = S.PartitionVersions;
  BOOST_LEAF_CHECK(readField(Orders, "index_versions", Index));
  if (Orders.contains("partition_version")) {
    Partition.assign(1, 0);
    BOOST_LEAF_CHECK(readField(Orders, "partition_version", Partition.front()));
  }
  BOOST_LEAF_CHECK(readField(Orders, "partition_versions", Partition));
  if (Index.empty() || Partition.empty())
    return fail(ResultCode::OutOfRange, "index_versions: none is held");
  S.IndexVersions = std::move(Index);
  S.PartitionVersions = std::move(Partition);
  return {};
}

Result<void> UpstreamReplica::controlConnections(const Json &Orders) {
  bool Silent = false;
  BOOST_LEAF_CHECK(readField(Orders, "silent_existing", Silent));
  if (Silent || (Faults.Freeze && Orders.contains("freeze")))
    Server.silenceAll();
  bool Die = !Server.listening();
  BOOST_LEAF_CHECK(readField(Orders, "die", Die));
  if (Die) {
    Server.shut();
    return {};
  }
  if (Server.listening())
    return {};
  return Server.listen();
}

Json UpstreamReplica::stats() const {
  return {{"searches", Counts.Searches},
          {"actions", Counts.Actions},
          {"actions_run", Ran.size()},
          {"cancels", Counts.Cancels},
          {"load_reads", Counts.LoadReads},
          {"answered", Counts.Answered},
          {"connections_opened", Counts.ConnectionsOpened},
          {"connections_now", Server.openConnections()},
          {"connections_max", Counts.ConnectionsMax},
          {"connections_refused", Counts.ConnectionsRefused},
          {"busy_now", Running.size() + Waiting.size()},
          {"busy_max", Counts.BusyMax},
          {"slots_exceeded", Counts.SlotsExceeded},
          {"cancelled_by_id", Counts.CancelledById},
          {"cancelled_by_close", Counts.CancelledByClose},
          {"deadline_passed", Counts.DeadlinePassed},
          {"version_gone", Counts.VersionGone},
          {"ended", Counts.Ended},
          {"refused", Counts.Refused},
          {"while_draining", Counts.WhileDraining},
          {"stragglers", Counts.Stragglers}};
}

} // namespace shallot::standins
