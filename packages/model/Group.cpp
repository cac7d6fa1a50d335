#include "model/Group.h"

#include <algorithm>
#include <fmt/format.h>

namespace shallot {
namespace {

/// Returns the length of the UTF-8 sequence that starts with \p Lead, or 0 if
/// \p Lead is not a valid first byte.
std::size_t sequenceLength(unsigned char Lead) {
  if (Lead < 0x80)
    return 1;
  if (Lead >= 0xC2 && Lead <= 0xDF)
    return 2;
  if (Lead >= 0xE0 && Lead <= 0xEF)
    return 3;
  return Lead >= 0xF0 && Lead <= 0xF4 ? 4 : 0;
}

/// True for UTF-8 text without ASCII control characters.
bool isPrintable(std::string_view Text) {
  for (std::size_t I = 0; I < Text.size();) {
    auto Lead = static_cast<unsigned char>(Text[I]);
    std::size_t Length = sequenceLength(Lead);
    if (Length == 0 || I + Length > Text.size() || Lead < 0x20 || Lead == 0x7F)
      return false;
    for (std::size_t J = 1; J < Length; ++J)
      if ((static_cast<unsigned char>(Text[I + J]) & 0xC0) != 0x80)
        return false;
    I += Length;
  }
  return true;
}

/// Book and pool names are chosen by people and may be any text on one line.
Result<void> checkBooks(const ServiceFields &F) {
  const std::string &Name = F.Name.str();
  if (F.Books.empty() || F.Books.size() > MaxBooksPerService)
    return fail(ResultCode::OutOfRange,
                fmt::format("service {}: has {} books, allowed are 1 to {}",
                            Name, F.Books.size(), MaxBooksPerService));
  for (const std::string &Book : F.Books)
    if (Book.empty() || Book.size() > MaxNameBytes || !isPrintable(Book))
      return fail(
          ResultCode::BadName,
          fmt::format("service {}: the book '{}' has {} bytes, allowed are 1 "
                      "to {} of UTF-8 text without control characters",
                      Name, isPrintable(Book) ? Book : "(unprintable)",
                      Book.size(), MaxNameBytes));
  std::vector<std::string> Sorted = F.Books;
  std::ranges::sort(Sorted);
  auto Duplicate = std::ranges::adjacent_find(Sorted);
  if (Duplicate != Sorted.end())
    return fail(ResultCode::AlreadyExists,
                fmt::format("service {}: the book '{}' is listed twice", Name,
                            *Duplicate));
  return {};
}

/// The head joins tenant and group with '/', so neither may contain one: "a/b"
/// + "c" and "a" + "b/c" would be the same group.
Result<void> checkPart(std::string_view Text, std::string_view What) {
  BOOST_LEAF_CHECK(checkName(Text, What));
  if (Text.find('/') != std::string_view::npos)
    return fail(
        ResultCode::BadName,
        fmt::format("{}: '{}' contains a '/', which is not allowed here", What,
                    Text));
  return {};
}

/// Sorts \p All by the key that \p Of returns. Returns the first element with a
/// duplicate key, or null.
template <typename T, typename Key>
const T *sortUnique(std::vector<T> &All, Key Of) {
  std::ranges::sort(All, {}, Of);
  auto Duplicate = std::ranges::adjacent_find(All, {}, Of);
  return Duplicate == All.end() ? nullptr : &*Duplicate;
}

/// Returns the element with key \p Wanted of \p All, which is sorted by the key
/// that \p Of returns, or null.
template <typename T, typename Key, typename K>
const T *findSorted(const std::vector<T> &All, Key Of, const K &Wanted) {
  auto It = std::ranges::lower_bound(All, Wanted, {}, Of);
  return It != All.end() && Of(*It) == Wanted ? &*It : nullptr;
}

const UpstreamId &idOf(const Upstream &U) { return U->Id; }
const ServiceName &nameOf(const Service &S) { return S->Name; }

} // namespace

Result<Service> Service::make(ServiceFields F) {
  BOOST_LEAF_CHECK(checkName(F.Name.str(), "service name"));
  BOOST_LEAF_CHECK(checkBooks(F));
  if (F.Upstreams.size() > MaxUpstreamsPerService)
    return fail(ResultCode::OutOfRange,
                fmt::format("service {}: has {} upstreams, allowed are 0 to {}",
                            F.Name.str(), F.Upstreams.size(),
                            MaxUpstreamsPerService));
  if (const Upstream *Duplicate = sortUnique(F.Upstreams, idOf))
    return fail(ResultCode::AlreadyExists,
                fmt::format("service {}: the upstream {} is listed twice",
                            F.Name.str(), (*Duplicate)->Id.str()));
  return Service(std::move(F));
}

const Upstream *Service::find(const UpstreamId &Id) const {
  return findSorted((*this)->Upstreams, idOf, Id);
}

Result<Group> Group::make(GroupFields F) {
  BOOST_LEAF_CHECK(checkPart(F.Owner.str(), "tenant"));
  BOOST_LEAF_CHECK(checkPart(F.Name.str(), "group name"));
  if (F.Services.size() > MaxServicesPerGroup)
    return fail(ResultCode::OutOfRange,
                fmt::format("group {}: has {} services, allowed are 0 to {}",
                            F.Name.str(), F.Services.size(),
                            MaxServicesPerGroup));
  if (const Service *Duplicate = sortUnique(F.Services, nameOf))
    return fail(ResultCode::AlreadyExists,
                fmt::format("group {}: the service {} is listed twice",
                            F.Name.str(), (*Duplicate)->Name.str()));
  return Group(std::move(F));
}

const Service *Group::find(const ServiceName &Name) const {
  return findSorted((*this)->Services, nameOf, Name);
}

} // namespace shallot
