#include "ctl/QuarantineCommands.h"

#include "shallotshift/crashguard.h"
#include "shallotshift/quarantine.h"

#include <fmt/format.h>

namespace shallot {
namespace {

using nlohmann::json;

/// The document of all records. Without one there are no records.
Result<RecordSet> readPage(Session &S) {
  using Read = Attempt<StoredObject>;
  Read Stored = S.await<Read>([&](const std::function<void(Read)> &Go) {
    S.platform().read(std::string(RecordsPath), Go);
  });
  if (!Stored && Stored.error().Code == ResultCode::PlatformNotFound)
    return RecordSet();
  BOOST_LEAF_AUTO(Object, resultOf(std::move(Stored)));
  return parseRecordSet(Object.Value);
}

json recordDoc(const QuarantineRecord &R) {
  json Doc = recordContent(R);
  Doc["fingerprint"] = R.Request.str();
  Doc["standing"] = quarantineStateName(R.quarantineState());
  return Doc;
}

std::string recordLine(const QuarantineRecord &R) {
  return fmt::format("{}  {:<11}  {} crashed, {} trials  last {}  {} {}\n",
                     R.Request.str(), quarantineStateName(R.quarantineState()),
                     R.Crashed.size(), R.Trials, shownTime(R.SeenAt), R.Route,
                     R.Path);
}

} // namespace

Result<Report> runQuarantineList(Session &S) {
  BOOST_LEAF_AUTO(Page, readPage(S));
  Report R;
  json Records = json::array();
  for (const auto &[Name, Object] : Page.Objects) {
    BOOST_LEAF_AUTO(Record, readRecord(Name, Object.Content));
    R.Text += recordLine(Record);
    Records.push_back(recordDoc(Record));
  }
  if (Records.empty())
    R.Text = "no search is suspected or kept from upstreams\n";
  R.Doc = {{"revision", Page.Revision}, {"records", std::move(Records)}};
  return R;
}

Result<Report> runQuarantineRelease(Session &S) {
  const std::string &Name = S.options().Arguments[0];
  BOOST_LEAF_CHECK(RequestFingerprint::parse(Name));
  BOOST_LEAF_AUTO(Page, readPage(S));
  auto Found = Page.Objects.find(Name);
  if (Found == Page.Objects.end())
    return fail(ResultCode::UnknownObject,
                fmt::format("there is no record of {}; `shallotctl quarantine "
                            "list` shows all",
                            Name));
  RecordDocument<StoreClient> Records(S.platform(), std::string(RecordsPath));
  using Written = Attempt<KindWriteReply>;
  Written Reply = S.await<Written>([&](const std::function<void(Written)> &Go) {
    Records.removeObject("", Name, Found->second.Revision, Go);
  });
  BOOST_LEAF_AUTO(Outcome, resultOf(std::move(Reply)));
  if (!Outcome.Applied && Outcome.Now)
    return fail(ResultCode::PlatformConflict,
                fmt::format("the record of {} has just changed; look at it and "
                            "try again",
                            Name));
  Report R;
  R.Text = fmt::format("released: {}\n", Name);
  R.Doc = {{"released", Name}};
  return R;
}

} // namespace shallot
