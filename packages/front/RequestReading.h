//===- RequestReading.h - Interpretation of caller requests -----*- C++ -*-===//
//
// Parses the headers of a caller's request and selects those that are
// forwarded. The counterpart of AnswerWriting.h.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_REQUESTREADING_H
#define SHALLOTSHIFT_FRONT_REQUESTREADING_H

#include "front/HeaderNames.h"
#include "shallotshift/crashguard.h"
#include "shallotshift/http1.h"

#include <optional>
#include <string>
#include <string_view>

namespace shallot {

/// Time that the caller waits, given in milliseconds, 300 s at most. Returns
/// nothing if \p Text does not start with a number or the number is negative.
std::optional<Duration> readDeadline(std::string_view Text);

/// "search.example" of "Search.Example:80".
std::string hostOf(std::string_view Value);

/// Method, target and headers that are sent to replicas, without hop-by-hop
/// headers and those that this daemon sets itself.
std::string forwardedHead(const CallerRequest &R, const HeaderNames &Names);

/// Identifies an attempt for \p Host on the route \p Route.
RequestAttempt nameRequest(const CallerRequest &R, std::string_view Host,
                           std::string Route, std::string Id);

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_REQUESTREADING_H
