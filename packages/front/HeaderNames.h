//===- HeaderNames.h - What callers and replicas call their headers C++ -*-===//
//
// The headers by which callers and replicas say what this tier needs to know.
// Their names are the deployment's; the adapter to it fills this in once.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_HEADERNAMES_H
#define SHALLOTSHIFT_FRONT_HEADERNAMES_H

#include <string>

namespace shallot {

struct HeaderNames {
  std::string RequestId; ///< Names one attempt of a caller; replicas repeat it.
  std::string Deadline;  ///< Milliseconds that the sender will wait.
  std::string Signature; ///< A replica's proof that it ran the request.
  std::string Wanted;    ///< The only replica that may run the request.
  std::string Load;      ///< A replica's running, waiting, slots.
  std::string NotRun;    ///< The replica did not run the request.
  std::string Signatures; ///< Of the parts of a merged answer.
  std::string Missing;    ///< How many parts a merged answer lacks.

  friend bool operator==(const HeaderNames &, const HeaderNames &) = default;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_HEADERNAMES_H
