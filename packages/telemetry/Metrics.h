//===- Metrics.h - Histograms and counters by tenant and class --*- C++ -*-===//
//
// Counters, gauges and Boost.Histogram latency histograms with labels, written
// as Prometheus text. One thread owns a Metrics. The number of label sets of a
// metric is bounded (MaxSeries): beyond it, further ones are counted together
// as tenant="other", so that callers cannot fill the memory with names.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_TELEMETRY_METRICS_H
#define SHALLOTSHIFT_TELEMETRY_METRICS_H

#include "shallotshift/base.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace shallot {

inline constexpr std::size_t MaxSeries = 512;

/// Label names and values of one series, e.g. {{"tenant","a"},{"class","b"}}.
using Labels = std::vector<std::pair<std::string, std::string>>;

class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// Adds \p By to the counter.
  void count(std::string_view Metric, const Labels &L = {}, double By = 1);
  /// Sets the gauge.
  void gauge(std::string_view Metric, const Labels &L, double Value);
  /// Records a latency; exported in seconds.
  void latency(std::string_view Metric, const Labels &L, Duration D);
  /// Records a share from 0 to 1, such as coverage.
  void share(std::string_view Metric, const Labels &L, double Value);

  /// All series as Prometheus text, sorted.
  std::string text() const;
  /// The value of a counter or gauge; 0 when there is none.
  double value(std::string_view Metric, const Labels &L = {}) const;

private:
  struct Impl;
  std::unique_ptr<Impl> I;
};

} // namespace shallot

#endif // SHALLOTSHIFT_TELEMETRY_METRICS_H
