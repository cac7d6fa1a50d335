//===- Document.h - JSON in and out of the checked values -------*- C++ -*-===//
//
// Every error names the field, the value and what is allowed. Unknown fields
// are errors. Encoding is canonical (sorted keys, no spaces), so that equal
// values have equal bytes and so equal content hashes.
//
// An operator writes documents with a "kind": "service", "upstream" or
// "preset"; docs/PLATFORM.md lists the fields. Stored objects are whole groups,
// presets and the head.
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

/// Fail with MalformedJson, UnknownField, MissingField, WrongType and what the
/// values' own make() says.
Result<Group> decodeGroup(std::string_view Json);
Result<Preset> decodePreset(std::string_view Json);
Result<Head> decodeHead(std::string_view Json);

/// A service as an operator writes it: without its upstreams.
struct ServiceDoc {
  Tenant Owner;
  GroupName InGroup;
  ServiceName Name;
  std::vector<std::string> Books;

  friend bool operator==(const ServiceDoc &, const ServiceDoc &) = default;
};

/// An upstream as an operator writes it: with the service it stands behind.
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

/// The largest file of documents: 9,900 upstreams need 2.2 MB.
inline constexpr std::size_t MaxDocumentBytes = 16 << 20;

/// Reads one document or an array of them, at most MaxDocumentBytes.
Result<std::vector<OperatorDoc>> decodeDocuments(std::string_view Json);

/// A whole configuration as plain parts that can be edited: what an operator's
/// change is computed on, before it is checked and stored.
struct Draft {
  PresetName PresetInForce;
  std::vector<Group> Groups;
  std::vector<Preset> Presets;

  friend bool operator==(const Draft &, const Draft &) = default;
};

/// The draft that \p C stands for.
Draft draftOf(const Config &C);

/// \p D with \p Docs added or replaced. In a configuration that has no preset
/// in force yet, the first preset of \p Docs comes into force. Fails with
/// DanglingReference when an upstream names a service that is in neither,
/// AlreadyExists when \p Docs has an object twice.
Result<Draft> applyDocuments(Draft D, const std::vector<OperatorDoc> &Docs);

/// \p D without the object "service/T/G/S", "upstream/U" or "preset/P". Fails
/// with UnknownObject, UnknownKind or StillReferenced.
Result<Draft> removeObject(Draft D, std::string_view ObjectPath);

/// \p D with another preset in force. Fails with UnknownObject.
Result<Draft> withPresetInForce(Draft D, const PresetName &Name);

/// What has to be written so that \p D becomes the configuration that follows
/// \p Before (null: none yet).
struct PreparedChange {
  ConfigPtr After;
  std::string HeadJson;
  /// Content hash to JSON of the blobs that \p Before does not name.
  std::map<std::string, std::string> NewBlobs;
};

/// Checks \p D as a whole and prepares its objects. \p What has the change's
/// id, operator, summary and time; its generation is set here. Fails with
/// PlatformTooLarge when an object exceeds MaxObjectBytes.
Result<PreparedChange> prepare(const ConfigPtr &Before, const Draft &D,
                               Change What);

/// One line for each difference, e.g. "upstream uw-03-a: slots 2 -> 3".
std::vector<std::string> differences(const Draft &From, const Draft &To);

/// Stands for the choice of the preset in force in changedObjects().
inline constexpr std::string_view InForceObject = "preset-in-force";

/// The objects that differ, as "service/T/G/S", "upstream/U", "preset/P" and
/// InForceObject. Two changes of one configuration whose sets have nothing in
/// common do not touch each other.
std::set<std::string> changedObjects(const Draft &From, const Draft &To);

/// Every object by its path, as the document that an operator would write.
std::map<std::string, std::string> documentsOf(const Draft &D);

} // namespace shallot

#endif // SHALLOTSHIFT_MODEL_DOCUMENT_H
