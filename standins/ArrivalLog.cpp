//===- ArrivalLog.cpp -----------------------------------------------------===//
#include "standins/ArrivalLog.h"

#include <chrono>

namespace shallot::standins {

namespace {

const char *textOf(Fate F) {
  switch (F) {
  case Fate::Waiting:
    return "waiting";
  case Fate::Running:
    return "running";
  case Fate::Answered:
    return "answered";
  case Fate::Failed:
    return "failed";
  case Fate::Rejected:
    return "rejected";
  case Fate::Misled:
    return "misled";
  case Fate::Cancelled:
    return "cancelled";
  case Fate::Lost:
    return "lost";
  case Fate::Crashed:
    return "crashed";
  }
  return "";
}

} // namespace

double monotonicMs() {
  auto Now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration<double, std::milli>(Now).count();
}

std::size_t ArrivalLog::add(Arrival A) {
  All.push_back(std::move(A));
  return All.size() - 1;
}

Json ArrivalLog::since(std::size_t First) const {
  Json Lines = Json::array();
  for (std::size_t I = First; I < All.size(); ++I) {
    const Arrival &A = All[I];
    Lines.push_back({{"request", A.Request},
                     {"service", A.Service},
                     {"replica", A.Replica},
                     {"method", A.Method},
                     {"target", A.Target},
                     {"body", A.Body},
                     {"organisation", A.Organisation},
                     {"credentials", A.Credentials},
                     {"read_at", A.ReadAt},
                     {"began_at", A.BeganAt},
                     {"ended_at", A.EndedAt},
                     {"waits_ms", A.WaitsMs},
                     {"how", textOf(A.How)}});
  }
  return Lines;
}

} // namespace shallot::standins
