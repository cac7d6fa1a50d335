//===- DocumentJson.h - Documents as JSON values ----------------*- C++ -*-===//
//
// Shared by the code for stored objects, operators' documents and differences.
// Internal to package model.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_MODEL_DOCUMENTJSON_H
#define SHALLOTSHIFT_MODEL_DOCUMENTJSON_H

#include "model/Document.h"

#include "model/JsonFields.h"

#include <nlohmann/json.hpp>

namespace shallot::internal {

/// The fields of an upstream as in a stored group.
nlohmann::json toJson(const Upstream &U);
nlohmann::json toJson(const Preset &P);

/// The document that an operator would write for the object.
nlohmann::json serviceDocument(const Group &G, const Service &S);
nlohmann::json upstreamDocument(const Group &G, const Service &S,
                                const Upstream &U);

/// Reads the name under \p Key into \p Field, converted to its name type.
template <typename Tag>
Result<void> readName(JsonFields &F, std::string_view Key, Name<Tag> &Field) {
  BOOST_LEAF_AUTO(Text, F.name(Key));
  Field = Name<Tag>(std::move(Text));
  return {};
}

/// Read the fields that stored objects and operators' documents have in common.
/// The caller of upstreamFrom() and booksFrom() reads the remaining fields and
/// calls finish().
Result<PresetFields> presetFrom(JsonFields &F);
Result<UpstreamFields> upstreamFrom(JsonFields &F);
Result<std::vector<std::string>> booksFrom(JsonFields &F);

/// Returns "service/T/G/S", the path of a service in operator commands.
std::string servicePath(const Tenant &T, const GroupName &G,
                        const ServiceName &S);

} // namespace shallot::internal

#endif // SHALLOTSHIFT_MODEL_DOCUMENTJSON_H
