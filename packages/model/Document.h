//===- Document.h - JSON encoding of the model ------------------*- C++ -*-===//
//
// Every error gives the field, the value and the allowed values. Unknown fields
// are errors. The encoding is canonical (sorted keys, no spaces), so that equal
// values have equal bytes and therefore equal content hashes.
//
// Operators write documents with a "kind" of "service", "upstream" or "preset";
// docs/PLATFORM.md lists the fields. Stored objects are groups, presets and the
// head.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_MODEL_DOCUMENT_H
#define SHALLOTSHIFT_MODEL_DOCUMENT_H

#include "model/Config.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace shallot {

std::string encode(const Group &G);
std::string encode(const Preset &P);
std::string encode(const Head &H);

/// Fail with BodyTooLarge, MalformedJson, UnknownKind, UnknownField,
/// MissingField, WrongType, OutOfRange or an error of the type's make().
Result<Group> decodeGroup(std::string_view Json);
Result<Preset> decodePreset(std::string_view Json);
Result<Head> decodeHead(std::string_view Json);

/// A service as written by an operator, without its upstreams.
struct ServiceDoc {
  Tenant Owner;
  GroupName InGroup;
  ServiceName Name;
  std::vector<std::string> Books;

  friend bool operator==(const ServiceDoc &, const ServiceDoc &) = default;
};

/// An upstream as written by an operator, with the service it belongs to.
struct UpstreamDoc {
  Tenant Owner;
  GroupName InGroup;
  ServiceName InService;
  UpstreamFields Fields;

  friend bool operator==(const UpstreamDoc &, const UpstreamDoc &) = default;
};

using OperatorDoc = std::variant<ServiceDoc, UpstreamDoc, PresetFields>;

/// "service/T/G/S", "upstream/U" or "preset/P".
std::string objectPath(const OperatorDoc &Doc);

/// Limit on the size of a file of documents: 9,900 upstreams need 2.2 MB.
inline constexpr std::size_t MaxDocumentBytes = 16 << 20;

/// Parses one document or an array of documents of at most MaxDocumentBytes.
Result<std::vector<OperatorDoc>> decodeDocuments(std::string_view Json);

/// A complete configuration in editable form. An operator's change is applied
/// to a draft, which is then validated and stored.
struct Draft {
  PresetName PresetInForce;
  std::vector<Group> Groups;
  std::vector<Preset> Presets;

  friend bool operator==(const Draft &, const Draft &) = default;
};

/// Returns \p C as a draft.
Draft draftOf(const Config &C);

/// Returns \p D with \p Docs added or replaced. If \p D has no preset in force,
/// the first preset of \p Docs becomes the preset in force. Fails with
/// DanglingReference if an upstream refers to a service that is in neither,
/// AlreadyExists if \p Docs contains an object twice, or an error of make() of
/// an object.
Result<Draft> applyDocuments(Draft D, const std::vector<OperatorDoc> &Docs);

/// Returns \p D without the object "service/T/G/S", "upstream/U" or "preset/P".
/// Fails with UnknownObject, UnknownKind or StillReferenced.
Result<Draft> removeObject(Draft D, std::string_view ObjectPath);

/// Returns \p D with \p Name as the preset in force. Fails with UnknownObject.
Result<Draft> withPresetInForce(Draft D, const PresetName &Name);

/// A validated change: the resulting configuration and the objects to write.
struct PreparedChange {
  ConfigPtr After;
  std::string HeadJson;
  /// Content hash to JSON, of the blobs that \p Before does not reference.
  std::map<std::string, std::string> NewBlobs;
};

/// Validates \p D and prepares the objects that make it the successor of
/// \p Before (null: there is no configuration yet). \p What has the change's
/// id, operator, summary and time; its generation is set here. Fails with
/// PlatformTooLarge if an object exceeds MaxObjectBytes, BadName or OutOfRange
/// if \p What is invalid, or an error of Head::make() or Config::make().
Result<PreparedChange> prepare(const ConfigPtr &Before, const Draft &D,
                               Change What);

/// Returns one line per changed object, such as
/// "upstream uw-03-a: slots 2 -> 3".
std::vector<std::string> differences(const Draft &From, const Draft &To);

/// Represents the selection of the preset in force in changedObjects().
inline constexpr std::string_view InForceObject = "preset-in-force";

/// Returns the objects that differ, as "service/T/G/S", "upstream/U",
/// "preset/P" and InForceObject. Two changes to one configuration with disjoint
/// sets do not conflict.
std::set<std::string> changedObjects(const Draft &From, const Draft &To);

/// Returns every object by its path, as the document an operator would write.
std::map<std::string, std::string> documentsOf(const Draft &D);

} // namespace shallot

#endif // SHALLOTSHIFT_MODEL_DOCUMENT_H
