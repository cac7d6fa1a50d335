//===- ReplyReading.h - What a replica's reply says -------------*- C++ -*-===//
#ifndef SHALLOTSHIFT_FRONT_REPLYREADING_H
#define SHALLOTSHIFT_FRONT_REPLYREADING_H

#include "front/HeaderNames.h"
#include "shallotshift/forward.h"
#include "shallotshift/http1.h"

namespace shallot {

/// What \p Reply proves about the send. \p KeepHeaders: they are passed on.
SendResult readReply(const HeaderNames &Names, UpstreamReply Reply,
                     bool KeepHeaders);

/// The load in \p Text, "running,waiting,slots"; further figures are ignored.
/// Nothing when it cannot be one: garbled replies come, and a replica without
/// slots would look full for good.
std::optional<ReportedLoad> readLoad(std::string_view Text);

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_REPLYREADING_H
