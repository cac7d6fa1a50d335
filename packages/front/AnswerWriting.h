//===- AnswerWriting.h - What the caller and the log are told ---*- C++ -*-===//
//
// Converts the answer of a run into a reply in the deployment's header names,
// and leaves behind what explains it: counts of all answers, and one log line
// for each that is not whole or not in time. The counterpart of ReplyReading.h.
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

/// The reply to the request \p Id.
CallerReply writeAnswer(ForwardAnswer A, const HeaderNames &Names,
                        const std::string &Id);

/// A refusal or a failure of our own.
CallerReply writeOwnAnswer(const LocalAnswer &A, std::string Id);

/// The refusal of a request that is kept from replicas, and of one whose trial
/// was not granted.
LocalAnswer quarantinedAnswer();
LocalAnswer noTrialAnswer();

/// Counts \p A, the answer of \p Run to the request \p Name, and logs it if it
/// is not whole or came after the route's objective.
void noteAnswer(Metrics &Meter, const RequestAttempt &Name,
                const ForwardRun &Run, const ForwardAnswer &A, Instant Now);

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_ANSWERWRITING_H
