//===- FeedWire.cpp -------------------------------------------------------===//
#include "front/FeedWire.h"

#include "shallotshift/model.h"

#include <charconv>
#include <fmt/format.h>

namespace shallot {

namespace {

using Json = nlohmann::json;

constexpr std::string_view PathPrefix = "/feed/";
constexpr std::uint64_t MaxWaitMs = 30000;
constexpr std::string_view AgeHeader = "Feed-Age-Ms";
/// About thirty years; a daemon that never heard from the store reports the
/// uptime of its machine.
constexpr std::uint64_t MaxAgeMs = 1000000000000;
/// A full page of registrations is about 100 KB; a configuration with thousands
/// of routes is a few MB.
constexpr JsonLimits ReplyLimits{16 << 20, 16};

std::optional<std::uint64_t>
parseNumber(const std::optional<std::string> &Text) {
  std::uint64_t Value = 0;
  if (!Text)
    return std::nullopt;
  const char *End = Text->data() + Text->size();
  auto [At, Error] = std::from_chars(Text->data(), End, Value);
  if (Error != std::errc() || At != End)
    return std::nullopt;
  return Value;
}

Json objectJson(const KindObject &O) {
  return {{"name", O.Name},
          {"revision", O.Revision.Number},
          {"content", O.Content}};
}

/// \p Epoch is that of the reply; all objects in it are of the same.
Result<KindObject> readObject(const Json &Doc, std::uint64_t Epoch) {
  BOOST_LEAF_AUTO(F, JsonFields::open(Doc, "object"));
  KindObject O;
  BOOST_LEAF_ASSIGN(O.Name, F.string("name"));
  BOOST_LEAF_AUTO(Number, F.integer("revision", 0, UINT64_MAX));
  O.Revision = {Epoch, Number};
  if (!Doc.contains("content"))
    return fail(ResultCode::MissingField, "object: content");
  O.Content = Doc["content"];
  return O;
}

/// Revision of a whole reply.
Result<StoreRevision> readRevision(JsonFields &F) {
  std::uint64_t Epoch = 0;
  if (F.has("epoch")) {
    BOOST_LEAF_ASSIGN(Epoch, F.integer("epoch", 0, UINT64_MAX));
  }
  BOOST_LEAF_AUTO(Number, F.integer("revision", 0, UINT64_MAX));
  return StoreRevision(Epoch, Number);
}

Result<Duration> readAge(JsonFields &F) {
  BOOST_LEAF_AUTO(Ms, F.number("age_ms", 0, double(MaxAgeMs)));
  return fromMillisF(Ms);
}

Result<KindPage> parsePage(const std::string &Body) {
  BOOST_LEAF_AUTO(Doc, parseJson(Body, "a page", ReplyLimits));
  BOOST_LEAF_AUTO(F, JsonFields::open(Doc, "page"));
  KindPage P;
  BOOST_LEAF_ASSIGN(P.Revision, readRevision(F));
  BOOST_LEAF_AUTO(Objects, F.array("objects"));
  for (const Json &Item : *Objects) {
    BOOST_LEAF_AUTO(O, readObject(Item, P.Revision.Epoch));
    P.Objects.push_back(std::move(O));
  }
  BOOST_LEAF_ASSIGN(P.More, F.boolean("more"));
  BOOST_LEAF_ASSIGN(P.Age, readAge(F));
  return P;
}

Result<KindChanges> parseChanges(const std::string &Body) {
  BOOST_LEAF_AUTO(Doc, parseJson(Body, "changes", ReplyLimits));
  BOOST_LEAF_AUTO(F, JsonFields::open(Doc, "changes"));
  KindChanges C;
  BOOST_LEAF_ASSIGN(C.Revision, readRevision(F));
  BOOST_LEAF_AUTO(List, F.array("changes"));
  for (const Json &Item : *List) {
    BOOST_LEAF_AUTO(I, JsonFields::open(Item, "change"));
    BOOST_LEAF_AUTO(ObjectDoc, I.object("object"));
    KindChange One;
    BOOST_LEAF_ASSIGN(One.Object, readObject(*ObjectDoc, C.Revision.Epoch));
    BOOST_LEAF_ASSIGN(One.Removed, I.boolean("removed"));
    C.Changes.push_back(std::move(One));
  }
  BOOST_LEAF_ASSIGN(C.Age, readAge(F));
  return C;
}

/// Age from the header; nothing if it is not a valid number.
std::optional<Duration> headerAge(const HttpReply &R) {
  auto Ms = parseNumber(std::string(headerValue(R.Headers, AgeHeader)));
  if (!Ms || *Ms > MaxAgeMs)
    return std::nullopt;
  return Millis(*Ms);
}

template <typename T>
Attempt<T> readBody(const HttpReply &R,
                    Result<T> (*Read)(const std::string &)) {
  if (R.TooLarge)
    return Error{ResultCode::PlatformHistoryGone,
                 "reply exceeds the size limit"};
  if (!R.arrived())
    return Error{ResultCode::PeerUnreachable, codeLabel(R.Failure)};
  if (R.Status == infoOf(ResultCode::PlatformHistoryGone).HttpStatus)
    return Error{ResultCode::PlatformHistoryGone,
                 "peer no longer has this history"};
  if (R.Status != 200)
    return Error{ResultCode::PeerUnreachable,
                 fmt::format("status {}", R.Status)};
  auto Found = attempt([&] { return Read(R.Body); });
  if (!Found)
    return Error{ResultCode::PeerBadMessage, Found.error().Detail};
  T Value = std::move(*Found);
  Value.Age = headerAge(R).value_or(Value.Age);
  return Value;
}

} // namespace

std::string feedTarget(const FeedRequest &Q) {
  std::string What = Q.Since ? fmt::format("since={}", *Q.Since)
                             : "after=" + percentEncoded(Q.After);
  if (Q.Epoch)
    What += fmt::format("&epoch={}", *Q.Epoch);
  return fmt::format("{}{}?{}&wait_ms={}{}", PathPrefix, Q.Kind, What,
                     toMillis(Q.Wait), Q.Relays ? "&relays=1" : "");
}

std::optional<FeedRequest> parseFeedRequest(std::string_view Path,
                                            std::string_view Query) {
  if (!Path.starts_with(PathPrefix))
    return std::nullopt;
  FeedRequest Q;
  Q.Kind = std::string(Path.substr(PathPrefix.size()));
  Q.After = queryParameter(Query, "after").value_or("");
  Q.Since = parseNumber(queryParameter(Query, "since"));
  Q.Epoch = parseNumber(queryParameter(Query, "epoch"));
  auto WaitMs = parseNumber(queryParameter(Query, "wait_ms")).value_or(0);
  Q.Wait = Millis(std::min(WaitMs, MaxWaitMs));
  Q.Relays = queryParameter(Query, "relays") == "1";
  return Q;
}

HttpHeader ageHeader(Duration Age) {
  // Rounded up: data relayed in a loop between daemons must not appear to stay
  // fresh.
  return {std::string(AgeHeader), std::to_string(toMillis(Age) + 1)};
}

std::string writePage(const KindPage &P) {
  Json Doc{{"objects", Json::array()},
           {"more", P.More},
           {"revision", P.Revision.Number},
           {"epoch", P.Revision.Epoch},
           {"age_ms", toMillisF(P.Age)}};
  for (const KindObject &O : P.Objects)
    Doc["objects"].push_back(objectJson(O));
  return canonicalJson(Doc);
}

std::string writeChanges(const KindChanges &C) {
  Json Doc{{"changes", Json::array()},
           {"revision", C.Revision.Number},
           {"epoch", C.Revision.Epoch},
           {"age_ms", toMillisF(C.Age)}};
  for (const KindChange &One : C.Changes)
    Doc["changes"].push_back(
        {{"object", objectJson(One.Object)}, {"removed", One.Removed}});
  return canonicalJson(Doc);
}

Attempt<KindPage> readPage(const HttpReply &R) {
  return readBody(R, &parsePage);
}

Attempt<KindChanges> readChanges(const HttpReply &R) {
  return readBody(R, &parseChanges);
}

} // namespace shallot
