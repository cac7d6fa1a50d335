#include "model/Document.h"
#include "model/DocumentJson.h"
#include "model/JsonFields.h"

#include <fmt/format.h>

namespace shallot {

using internal::booksFrom;
using internal::presetFrom;
using internal::readName;
using internal::upstreamFrom;
using nlohmann::json;

namespace {

/// Limit on documents in one file; a larger number is a mistake.
constexpr std::size_t MaxDocuments = 50000;
Result<OperatorDoc> serviceDocFrom(JsonFields &F) {
  ServiceDoc Doc;
  BOOST_LEAF_CHECK(readName(F, "tenant", Doc.Owner));
  BOOST_LEAF_CHECK(readName(F, "group", Doc.InGroup));
  BOOST_LEAF_CHECK(readName(F, "name", Doc.Name));
  BOOST_LEAF_ASSIGN(Doc.Books, booksFrom(F));
  BOOST_LEAF_CHECK(F.finish());
  return OperatorDoc(std::move(Doc));
}

Result<OperatorDoc> upstreamDocFrom(JsonFields &F) {
  UpstreamDoc Doc;
  BOOST_LEAF_CHECK(readName(F, "tenant", Doc.Owner));
  BOOST_LEAF_CHECK(readName(F, "group", Doc.InGroup));
  BOOST_LEAF_CHECK(readName(F, "service", Doc.InService));
  BOOST_LEAF_ASSIGN(Doc.Fields, upstreamFrom(F));
  BOOST_LEAF_CHECK(F.finish());
  return OperatorDoc(std::move(Doc));
}

/// Returns, for example, "document 3 (upstream uw-03-a)", to locate an error in
/// a long file.
std::string locationOf(const json &Doc, std::size_t Number) {
  std::string Where = fmt::format("document {}", Number);
  if (!Doc.is_object())
    return Where;
  auto Kind = Doc.find("kind");
  auto Name = Doc.find("name");
  if (Kind == Doc.end() || Name == Doc.end() || !Kind->is_string() ||
      !Name->is_string())
    return Where;
  return fmt::format("{} ({} {})", Where, formatForError(*Kind),
                     formatForError(*Name));
}

Result<OperatorDoc> presetDocFrom(JsonFields &F) {
  BOOST_LEAF_AUTO(P, presetFrom(F));
  return OperatorDoc(std::move(P));
}

Result<OperatorDoc> documentOfKind(std::string_view Kind, JsonFields &F) {
  if (Kind == "service")
    return serviceDocFrom(F);
  if (Kind == "upstream")
    return upstreamDocFrom(F);
  if (Kind == "preset")
    return presetDocFrom(F);
  return fail(ResultCode::UnknownKind,
              fmt::format("{}: \"kind\" is {}, allowed are \"service\", "
                          "\"upstream\" and \"preset\"",
                          F.where(), formatForError(Kind)));
}

Result<OperatorDoc> documentFrom(const json &Doc, std::size_t Number) {
  BOOST_LEAF_AUTO(F, JsonFields::open(Doc, locationOf(Doc, Number)));
  BOOST_LEAF_AUTO(Kind, F.string("kind"));
  return documentOfKind(Kind, F);
}

} // namespace

namespace internal {

json serviceDocument(const Group &G, const Service &S) {
  return {{"kind", "service"},
          {"tenant", G->Owner.str()},
          {"group", G->Name.str()},
          {"name", S->Name.str()},
          {"books", S->Books}};
}

json upstreamDocument(const Group &G, const Service &S, const Upstream &U) {
  json Doc = toJson(U);
  Doc["kind"] = "upstream";
  Doc["tenant"] = G->Owner.str();
  Doc["group"] = G->Name.str();
  Doc["service"] = S->Name.str();
  return Doc;
}

} // namespace internal

Result<std::vector<OperatorDoc>> decodeDocuments(std::string_view Json) {
  BOOST_LEAF_AUTO(Doc, parseJson(Json, "the documents", {MaxDocumentBytes}));
  std::vector<OperatorDoc> Docs;
  if (!Doc.is_array()) {
    BOOST_LEAF_AUTO(One, documentFrom(Doc, 1));
    Docs.push_back(std::move(One));
    return Docs;
  }
  if (Doc.size() > MaxDocuments)
    return fail(ResultCode::OutOfRange,
                fmt::format("the documents: there are {}, allowed are {}",
                            Doc.size(), MaxDocuments));
  for (const json &Each : Doc) {
    BOOST_LEAF_AUTO(One, documentFrom(Each, Docs.size() + 1));
    Docs.push_back(std::move(One));
  }
  return Docs;
}

} // namespace shallot
