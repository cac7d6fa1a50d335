//===- RecordDocument.cpp -------------------------------------------------===//
#include "crashguard/RecordDocument.h"

#include <nlohmann/json.hpp>

namespace shallot {

namespace {

using Json = nlohmann::json;

constexpr char RevisionField[] = "revision";
constexpr char RecordsField[] = "records";
constexpr char ContentField[] = "content";

Result<std::uint64_t> revisionIn(const Json &Doc) {
  auto Found = Doc.find(RevisionField);
  if (Found == Doc.end())
    return fail(ResultCode::MissingField, RevisionField);
  if (!Found->is_number_unsigned())
    return fail(ResultCode::WrongType, RevisionField);
  return Found->get<std::uint64_t>();
}

Result<KindObject> readObject(const std::string &Name, const Json &Doc) {
  if (!Doc.is_object())
    return fail(ResultCode::WrongType, Name);
  BOOST_LEAF_AUTO(Revision, revisionIn(Doc));
  auto Content = Doc.find(ContentField);
  if (Content == Doc.end())
    return fail(ResultCode::MissingField, ContentField);
  return KindObject{Name, {0, Revision}, *Content};
}

} // namespace

Result<RecordSet> parseRecordSet(std::string_view Text) {
  Json Doc = Json::parse(Text, nullptr, false);
  if (Doc.is_discarded())
    return fail(ResultCode::MalformedJson,
                "a record document must be valid JSON");
  if (!Doc.is_object())
    return fail(ResultCode::WrongType,
                "a record document must be a JSON object");
  RecordSet P;
  BOOST_LEAF_ASSIGN(P.Revision, revisionIn(Doc));
  auto Records = Doc.find(RecordsField);
  if (Records == Doc.end())
    return fail(ResultCode::MissingField, RecordsField);
  if (!Records->is_object())
    return fail(ResultCode::WrongType, RecordsField);
  for (const auto &[Name, One] : Records->items()) {
    BOOST_LEAF_AUTO(Object, readObject(Name, One));
    P.Objects.emplace(Name, std::move(Object));
  }
  return P;
}

std::string formatRecordSet(const RecordSet &P) {
  Json Records = Json::object();
  for (const auto &[Name, O] : P.Objects)
    Records[Name] = {{RevisionField, O.Revision.Number},
                     {ContentField, O.Content}};
  return Json{{RevisionField, P.Revision}, {RecordsField, std::move(Records)}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace shallot
