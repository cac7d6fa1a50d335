//===- Containment.cpp ----------------------------------------------------===//
#include "net/Containment.h"

#include "shallotshift/base.h"
#include "shallotshift/telemetry.h"

#include <string>

namespace shallot {

void reportFault(std::string_view Where, std::string_view What,
                 const std::exception &Fault) {
  countFault();
  logEvent(LogLevel::Error, "internal_error",
           {{"code", codeLabel(ResultCode::Internal)},
            {"where", std::string(Where)},
            {"what", std::string(What)},
            {"why", Fault.what()}});
}

} // namespace shallot
