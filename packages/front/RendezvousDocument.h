//===- RendezvousDocument.h - The rendezvous as JSON ------------*- C++ -*-===//
//
// The content of the one object in which the store holds a RendezvousRecord
// (package fleet):
//
//   {"writer": "front-1/1700000000000", "number": 3,
//    "contacts": [{"host": "front-1", "gossip": "10.1.0.39:7740",
//                  "zone": "ub-hall-a"}]}
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_RENDEZVOUSDOCUMENT_H
#define SHALLOTSHIFT_FRONT_RENDEZVOUSDOCUMENT_H

#include "shallotshift/fleet.h"
#include "shallotshift/store.h"

#include <optional>
#include <string_view>

namespace shallot {

/// The name of the object.
inline constexpr std::string_view RendezvousName = "contacts";

nlohmann::json rendezvousContent(const RendezvousRecord &R);

/// Reads the content of \p O. Leaves out contacts that cannot be read; nothing
/// if the record as a whole cannot. Logs what it leaves out.
std::optional<RendezvousRecord> readRendezvous(const KindObject &O);

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_RENDEZVOUSDOCUMENT_H
