//===- Requests.h - Callers' requests, checked ------------------*- C++ -*-===//
//
// Converts what a caller sent (docs/API.md) into checked values, or into an
// error that names the field, the value and what is allowed. Checked against
// the configuration in force; nothing is started before all of it is right.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_DAEMON_REQUESTS_H
#define SHALLOTSHIFT_DAEMON_REQUESTS_H

#include "daemon/SearchService.h"
#include "shallotshift/action.h"
#include "shallotshift/net.h"

namespace shallot {

/// Longest traceparent that is passed on; the W3C form has 55 bytes.
inline constexpr std::size_t MaxTraceParentBytes = 128;

/// The id in X-Request-Id, or \p Made when there is none. Fails with BadName.
Result<RequestId> readRequestId(const ServerRequest &Request,
                                const std::string &Made);

/// POST /v1/search. Fails with the 1xxx codes.
Result<Search> readSearch(const ServerRequest &Request, const Config &C,
                          RequestId Id);

/// POST /v1/action. Fails with the 1xxx codes.
Result<ActionRequest> readAction(const ServerRequest &Request, const Config &C,
                                 RequestId Id);

/// GET /v1/action/KEY?tenant=T: what became of an action.
Result<ActionRequest> readLookUp(const ServerRequest &Request,
                                 std::string_view Key, RequestId Id);

/// The value of \p Key in a query string, decoded; empty when absent.
std::string queryValue(std::string_view Query, std::string_view Key);

} // namespace shallot

#endif // SHALLOTSHIFT_DAEMON_REQUESTS_H
