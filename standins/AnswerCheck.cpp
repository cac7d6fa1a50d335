#include "standins/AnswerCheck.h"

#include "standins/UpstreamRecords.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace shallot::standins {

namespace {

constexpr std::string_view SharedPrefix = "shared/";

/// Gathers the faults of one answer.
class Checker {
public:
  Checker(const Json &Answer, const Asked &What, const Catalogue &Known)
      : Answer(Answer), What(What), Known(Known) {}

  AnswerVerdict run() {
    if (Answer.value("request_id", "") != What.RequestId)
      fault("the answer is for request " + Answer.value("request_id", "?"));
    checkRecords();
    checkShared();
    readMissing();
    checkOutcome();
    if (!What.Services.empty()) {
      checkBooks();
      checkCounts();
    }
    return std::move(Verdict);
  }

private:
  void fault(std::string Text) { Verdict.Faults.push_back(std::move(Text)); }

  void checkRecords() {
    Snapshot At{
        Answer["snapshot"].value("index_version", std::uint64_t{0}),
        Answer["snapshot"].value("partition_version", std::uint64_t{0})};
    std::string Own = fmt::format("/{:08x}-", hash64(What.Query) & 0xffffffff);
    for (const Json &R : Answer["records"]) {
      std::string Id = R.value("id", "");
      Snapshot Of{R.value("index_version", std::uint64_t{0}),
                  R.value("partition_version", std::uint64_t{0})};
      if (Of != At)
        fault(fmt::format("{} is of {}.{}, the answer says {}.{}", Id,
                          Of.IndexVersion, Of.PartitionVersion, At.IndexVersion,
                          At.PartitionVersion));
      if (!Ids.insert(Id).second)
        fault(Id + " is there twice");
      if (Id.find(Own) == std::string::npos)
        fault(Id + " answers another query");
      Seen.insert(R.value("book", ""));
    }
  }

  /// Every shared id is on one of its two services; with both answered and one
  /// partition version, all of them are there.
  void checkShared() {
    std::map<std::string, unsigned> Pairs;
    for (const std::string &Id : Ids)
      if (Id.starts_with(SharedPrefix))
        ++Pairs[Id.substr(0, Id.rfind('/'))];
    for (const auto &[Pair, Count] : Pairs) {
      std::string Names = Pair.substr(SharedPrefix.size());
      std::size_t Plus = Names.find('+');
      bool Both =
          answered(Names.substr(0, Plus)) && answered(Names.substr(Plus + 1));
      if (Both && Count != SharedRecords)
        fault(fmt::format("{}: {} of {} shared records", Names, Count,
                          SharedRecords));
    }
  }

  bool answered(const std::string &Service) const {
    auto Found = Known.Services.find(Service);
    return Found != Known.Services.end() &&
           Seen.contains(Found->second.Books.front());
  }

  void readMissing() {
    for (const Json &M : Answer["coverage"]["missing"]) {
      std::string Book = M.value("book", "");
      if (!Missing.insert(Book).second)
        fault(Book + " is missing twice");
      if (Seen.contains(Book))
        fault(Book + " is called missing and has records");
      if (M.value("reason", "").empty() || M.value("code", "").empty())
        fault(Book + " is missing without a reason");
    }
  }

  void checkOutcome() {
    std::string Outcome = Answer.value("outcome", "");
    Verdict.Partial = Outcome == "partial";
    if (Outcome != (Missing.empty() ? "complete" : "partial"))
      fault(fmt::format("'{}' with {} books missing", Outcome, Missing.size()));
  }

  void checkBooks() {
    std::size_t Expected = 0;
    for (const std::string &Service : What.Services)
      for (const std::string &Book : Known.Services.at(Service).Books) {
        ++Expected;
        if (!Seen.contains(Book) && !Missing.contains(Book))
          fault(Book + " is neither there nor called missing");
      }
    if (Seen.size() + Missing.size() != Expected)
      fault(fmt::format("{} books there, {} missing, {} asked", Seen.size(),
                        Missing.size(), Expected));
    Verdict.Coverage = Expected == 0 ? 1
                                     : static_cast<double>(Seen.size()) /
                                           static_cast<double>(Expected);
  }

  /// The counts may be of services or of books, but of one of them.
  void checkCounts() {
    std::size_t Services = 0;
    std::size_t Books = 0;
    for (const std::string &Service : What.Services) {
      Services += answered(Service);
      Books += Known.Services.at(Service).Books.size();
    }
    const Json &C = Answer["coverage"];
    std::size_t Asked = C.value("asked", std::size_t{0});
    std::size_t Got = C.value("answered", std::size_t{0});
    bool ByService = Asked == What.Services.size() && Got == Services;
    bool ByBook = Asked == Books && Got == Seen.size();
    if (!ByService && !ByBook)
      fault(fmt::format("coverage says {} of {}", Got, Asked));
  }

  const Json &Answer;
  const Asked &What;
  const Catalogue &Known;
  AnswerVerdict Verdict;
  std::set<std::string> Ids;
  std::set<std::string> Seen; ///< Books with records.
  std::set<std::string> Missing;
};

bool wellFormed(const Json &A) {
  return A.is_object() && A.contains("snapshot") && A.contains("coverage") &&
         A["snapshot"].is_object() && A["coverage"].is_object() &&
         A["coverage"].contains("missing") && A.contains("records") &&
         A["records"].is_array();
}

} // namespace

void Catalogue::add(const Json &Documents, const std::string &Owner) {
  for (const Json &D : Documents)
    if (D.value("kind", "") == "service" && D.value("tenant", "") == Owner)
      Services[D.value("name", "")] = {
          D.value("group", ""), D.value("books", std::vector<std::string>())};
}

std::vector<std::string> Catalogue::servicesOf(const std::string &Group) const {
  std::vector<std::string> Names;
  for (const auto &[Name, S] : Services)
    if (S.Group == Group)
      Names.push_back(Name);
  return Names;
}

AnswerVerdict checkAnswer(const Json &Answer, const Asked &What,
                          const Catalogue &Known) {
  if (!wellFormed(Answer))
    return {{"snapshot, coverage or records are not there"}, false, 0};
  return Checker(Answer, What, Known).run();
}

} // namespace shallot::standins
