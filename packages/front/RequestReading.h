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
#include "shallotshift/forward.h"
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

/// Finds the organisation of a caller by its key. A caller needs one, unless
/// \p On is public or there are no organisations in \p Config. Returns null for
/// a caller without one, and fails with UnknownKey. Credentials that are sent
/// twice are refused: another daemon might go by the other key.
Result<const Organisation *> identifyCaller(const CallerRequest &R,
                                            const HeaderNames &Names,
                                            const ServingConfig &Config,
                                            const Route &On);

/// Method, target and headers that are sent to replicas: without hop-by-hop
/// headers and those that this daemon sets itself, and with the name of the
/// organisation \p Caller in place of its credentials. \p Caller may be null.
std::string forwardedHead(const CallerRequest &R, const HeaderNames &Names,
                          const ServingConfig &Config,
                          const Organisation *Caller);

/// Identifies an attempt for \p Host on the route \p Route. Two keys of one
/// organisation make no difference.
RequestAttempt nameRequest(const CallerRequest &R, const HeaderNames &Names,
                           std::string_view Host, std::string Route,
                           std::string Id, const ServingConfig &Config,
                           const Organisation *Caller);

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_REQUESTREADING_H
