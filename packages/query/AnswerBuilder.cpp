#include "query/AnswerBuilder.h"

#include <fmt/format.h>

namespace shallot {
namespace {

/// Number of names in the human-readable text; Coverage lists all.
constexpr std::size_t MaxNamesInText = 8;

std::string waitingText(const SubQuery &Sub, Duration Waited) {
  std::string From;
  for (const UpstreamId &Id : Sub.Tried)
    From += (From.empty() ? "" : ", ") + Id.str();
  return fmt::format("no usable reply from {} within {:.1f} ms", From,
                     toMillisF(Waited));
}

void addMissing(Coverage &C, const SubQuery &Sub, Duration Waited) {
  bool Abandoned = Sub.State == SubState::Missing;
  ResultCode Reason = Abandoned ? Sub.Reason : ResultCode::TransferTimeout;
  std::string Text = Abandoned ? Sub.Text : waitingText(Sub, Waited);
  for (const std::string &Book : (*Sub.Svc)->Books)
    C.Missing.push_back({Book, Sub.name(), Reason, Text});
}

} // namespace

Coverage coverageOf(std::span<const SubQuery> Subs, Duration Waited) {
  Coverage C;
  for (const SubQuery &Sub : Subs) {
    std::size_t Books = (*Sub.Svc)->Books.size();
    ++C.ServicesAsked;
    C.BooksAsked += Books;
    if (Sub.State != SubState::Answered) {
      addMissing(C, Sub, Waited);
      continue;
    }
    ++C.ServicesAnswered;
    C.BooksAnswered += Books;
  }
  return C;
}

std::vector<ServiceRecords> takeRecords(std::span<SubQuery> Subs) {
  std::vector<ServiceRecords> Out;
  Out.reserve(Subs.size());
  for (SubQuery &Sub : Subs)
    if (Sub.State == SubState::Answered)
      Out.push_back({Sub.name(), Sub.From, std::move(Sub.Body)});
  return Out;
}

std::string missingText(const Coverage &C) {
  std::string Names;
  std::size_t Listed = std::min(C.Missing.size(), MaxNamesInText);
  for (std::size_t I = 0; I < Listed; ++I)
    Names += (I == 0 ? "" : ", ") + C.Missing[I].Book;
  if (Listed < C.Missing.size())
    Names += fmt::format(" and {} more", C.Missing.size() - Listed);
  return fmt::format("{} of {} books or pools are missing: {}",
                     C.Missing.size(), C.BooksAsked, Names);
}

} // namespace shallot
