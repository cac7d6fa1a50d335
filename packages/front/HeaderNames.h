//===- HeaderNames.h - Header names of a deployment -------------*- C++ -*-===//
//
// Names of the headers through which callers and replicas exchange data with
// this tier. The names belong to the deployment; its adapter fills in this
// struct once.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_HEADERNAMES_H
#define SHALLOTSHIFT_FRONT_HEADERNAMES_H

#include <string>

namespace shallot {

struct HeaderNames {
  std::string RequestId;     ///< ID of one caller attempt; replicas echo it.
  std::string Deadline;      ///< Milliseconds that the sender waits.
  std::string Signature;     ///< Proof of a replica that it ran the request.
  std::string TargetReplica; ///< The only replica that may run it.
  std::string Load;          ///< Running, waiting, slots of a replica.
  std::string NotRun;        ///< The replica did not run the request.
  std::string Signatures;    ///< Signatures of the parts of a merged answer.
  std::string MissingParts;  ///< Number of missing parts in a merged answer.
  std::string Organisation;  ///< Organisation of the caller, for replicas.
  std::string Credentials;   ///< Scheme and key of the caller.
  std::string KeyScheme;     ///< The scheme that a key is sent with.

  friend bool operator==(const HeaderNames &, const HeaderNames &) = default;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_HEADERNAMES_H
