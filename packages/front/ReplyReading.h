//===- ReplyReading.h - Interpretation of replica replies -------*- C++ -*-===//
#ifndef SHALLOTSHIFT_FRONT_REPLYREADING_H
#define SHALLOTSHIFT_FRONT_REPLYREADING_H

#include "front/HeaderNames.h"
#include "shallotshift/forward.h"
#include "shallotshift/http1.h"

namespace shallot {

/// Outcome of a send as shown by \p Reply. \p KeepHeaders: the headers are
/// forwarded to the caller.
SendResult readReply(const HeaderNames &Names, UpstreamReply Reply,
                     bool KeepHeaders);

/// Parses the load from \p Text, "running,waiting,slots"; further numbers are
/// ignored. Returns nothing for an invalid value: garbled replies occur, and a
/// replica without slots would look full permanently.
std::optional<ReportedLoad> readLoad(std::string_view Text);

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_REPLYREADING_H
