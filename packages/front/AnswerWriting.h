//===- AnswerWriting.h - Replies to callers and request log -----*- C++ -*-===//
//
// Converts the answer of a ForwardRun into a reply with the header names of the
// deployment. Counts all answers and logs each one that is incomplete or late.
// The counterpart of ReplyReading.h.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_ANSWERWRITING_H
#define SHALLOTSHIFT_FRONT_ANSWERWRITING_H

#include "front/HeaderNames.h"
#include "shallotshift/crashguard.h"
#include "shallotshift/forward.h"
#include "shallotshift/http1.h"
#include "shallotshift/telemetry.h"

#include <string>

namespace shallot {

/// Reply to the request \p Id.
CallerReply writeAnswer(ForwardAnswer A, const HeaderNames &Names,
                        const std::string &Id);

/// Reply for a refusal or failure that originates in this daemon.
CallerReply writeOwnAnswer(const LocalAnswer &A, std::string Id);

/// Refusal of a quarantined request, and of a request whose trial was not
/// granted.
LocalAnswer quarantinedAnswer();
LocalAnswer trialUnavailableAnswer();

/// Counts \p A, the answer of \p Run to the request \p Name, and logs it if it
/// is incomplete or exceeded the latency objective of the route.
void recordAnswer(Metrics &Meter, const RequestAttempt &Name,
                  const ForwardRun &Run, const ForwardAnswer &A, Instant Now);

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_ANSWERWRITING_H
