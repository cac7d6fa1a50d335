//===- RequestReading.h - What a caller's request says ----------*- C++ -*-===//
//
// The headers of a caller's request as what they mean, and what of them is
// passed on. The counterpart of AnswerWriting.h.
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

/// Milliseconds that the caller waits, 300 s at most; nothing when \p Text is
/// no such number.
std::optional<Duration> readDeadline(std::string_view Text);

/// "search.example" of "Search.Example:80".
std::string hostOf(std::string_view Value);

/// Method, target and headers as a replica gets them with every send, without
/// those that this daemon sets itself and those of one connection.
std::string forwardedHead(const CallerRequest &R, const HeaderNames &Names);

/// Names an attempt for \p Host on the route \p Route.
RequestAttempt nameRequest(const CallerRequest &R, std::string_view Host,
                           std::string Route, std::string Id);

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_REQUESTREADING_H
