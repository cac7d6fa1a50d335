//===- Metrics.cpp --------------------------------------------------------===//
#include "telemetry/Metrics.h"

#include <algorithm>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <chrono>
#include <fmt/format.h>
#include <tuple>
#include <variant>

namespace shallot {

namespace {

namespace bh = boost::histogram;

/// Latencies below and above fall into the outer buckets. Six buckets a decade
/// place a quantile to within half its value, at 40 lines a series.
constexpr double LeastLatency = 100e-6; // seconds
constexpr double MostLatency = 100;     // seconds
constexpr unsigned LatencyBins = 36;
constexpr unsigned ShareBins = 20;
/// A share of exactly 1 is the whole; the bucket below it holds all that is
/// short of it, so that "how many were incomplete" can be read off.
constexpr double JustBelowWhole = 0.999999;

/// A longer label value is cut: a caller must not fill the page with a name.
constexpr std::size_t MaxLabelBytes = 128;
constexpr std::string_view OverflowLabel = "other";

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using LinearAxis = bh::axis::regular<double>;

template <typename Axis>
using Counts = decltype(bh::make_histogram(std::declval<Axis>()));

/// A histogram with the sum of its values, as Prometheus wants it.
template <typename Axis> struct Distribution {
  explicit Distribution(Axis A) : Bins(bh::make_histogram(std::move(A))) {}

  void record(double Value) {
    Bins(Value);
    Sum += Value;
  }

  Counts<Axis> Bins;
  double Sum = 0;
};

struct Counter {
  double Value = 0;
};
struct Gauge {
  double Value = 0;
};
struct Latency : Distribution<LogAxis> {
  Latency() : Distribution(LogAxis(LatencyBins, LeastLatency, MostLatency)) {}
};
struct Share : Distribution<LinearAxis> {
  Share() : Distribution(LinearAxis(ShareBins, 0, 1)) {}
};

std::string_view typeName(const Counter &) { return "counter"; }
std::string_view typeName(const Gauge &) { return "gauge"; }
std::string_view typeName(const Latency &) { return "histogram"; }
std::string_view typeName(const Share &) { return "histogram"; }

template <typename Cell> using Series = std::map<Labels, Cell>;
using Family = std::variant<Series<Counter>, Series<Gauge>, Series<Latency>,
                            Series<Share>>;

/// Without escapes a name from outside could forge a series, and one byte that
/// is not UTF-8 makes a reader refuse the whole page. Checked names are ASCII.
std::string escaped(std::string_view Value) {
  std::string Out;
  for (char C : Value) {
    if (static_cast<unsigned char>(C) >= 0x80)
      C = '?';
    if (C == '\\' || C == '"')
      Out += '\\';
    if (C == '\n')
      Out += "\\n";
    else
      Out += C;
  }
  return Out;
}

/// Renders labels, with room for one more such as le.
std::string renderLabels(const Labels &L, std::string_view ExtraName = {},
                         std::string_view ExtraValue = {}) {
  std::string Out;
  auto Add = [&Out](std::string_view Name, std::string_view Value) {
    Out += fmt::format("{}{}=\"{}\"", Out.empty() ? "" : ",", Name,
                       escaped(Value));
  };
  for (const auto &[Name, Value] : L)
    Add(Name, Value);
  if (!ExtraName.empty())
    Add(ExtraName, ExtraValue);
  return Out.empty() ? Out : "{" + Out + "}";
}

void render(std::string &Out, std::string_view Metric, const Labels &L,
            const Counter &C) {
  Out += fmt::format("{}{} {}\n", Metric, renderLabels(L), C.Value);
}

void render(std::string &Out, std::string_view Metric, const Labels &L,
            const Gauge &G) {
  Out += fmt::format("{}{} {}\n", Metric, renderLabels(L), G.Value);
}

void renderBucket(std::string &Out, std::string_view Metric, const Labels &L,
                  std::string_view UpTo, double Count) {
  Out += fmt::format("{}_bucket{} {}\n", Metric, renderLabels(L, "le", UpTo),
                     Count);
}

/// Writes cumulative buckets; \p UpperBound gives the end of bin I.
template <typename Axis, typename F>
void renderBins(std::string &Out, std::string_view Metric, const Labels &L,
                const Distribution<Axis> &D, F UpperBound) {
  const Axis &A = D.Bins.axis();
  double Below = D.Bins.at(-1);
  for (int I = 0; I < A.size(); ++I) {
    Below += D.Bins.at(I);
    renderBucket(Out, Metric, L, fmt::format("{:.6g}", UpperBound(I)), Below);
  }
  double All = Below + D.Bins.at(A.size());
  renderBucket(Out, Metric, L, "+Inf", All);
  std::string Plain = renderLabels(L);
  Out += fmt::format("{}_sum{} {}\n", Metric, Plain, D.Sum);
  Out += fmt::format("{}_count{} {}\n", Metric, Plain, All);
}

void render(std::string &Out, std::string_view Metric, const Labels &L,
            const Latency &D) {
  const LogAxis &A = D.Bins.axis();
  renderBins(Out, Metric, L, D, [&A](int I) { return A.value(I + 1); });
}

void render(std::string &Out, std::string_view Metric, const Labels &L,
            const Share &D) {
  const LinearAxis &A = D.Bins.axis();
  renderBins(Out, Metric, L, D, [&A](int I) {
    return I + 1 == A.size() ? JustBelowWhole : A.value(I + 1);
  });
}

template <typename Cell>
void renderFamily(std::string &Out, std::string_view Metric,
                  const Series<Cell> &All) {
  if (All.empty())
    return;
  Out += fmt::format("# TYPE {} {}\n", Metric, typeName(All.begin()->second));
  for (const auto &[L, C] : All)
    render(Out, Metric, L, C);
}

bool tooLong(const Labels &L) {
  return std::any_of(L.begin(), L.end(), [](const auto &Label) {
    return Label.second.size() > MaxLabelBytes;
  });
}

Labels shortened(Labels L) {
  for (auto &[Name, Value] : L)
    Value.resize(std::min(Value.size(), MaxLabelBytes));
  return L;
}

Labels overflowed(Labels L) {
  for (auto &[Name, Value] : L)
    Value = OverflowLabel;
  return L;
}

/// The cell for \p L, made on first use; once the bound is reached, the one
/// that counts all further label sets together.
template <typename Cell> Cell &cellOf(Series<Cell> &All, const Labels &L) {
  auto Found = All.find(L);
  if (Found != All.end())
    return Found->second;
  if (tooLong(L))
    return cellOf(All, shortened(L));
  // One place stays free for the overflow series itself.
  if (All.size() + 1 < MaxSeries)
    return All[L];
  return All[overflowed(L)];
}

} // namespace

struct Metrics::Impl {
  std::map<std::string, Family, std::less<>> Families;

  /// The cell, or null when the metric is already of another type.
  template <typename Cell>
  Cell *cell(std::string_view Metric, const Labels &L) {
    auto Found = Families.find(Metric);
    if (Found == Families.end())
      Found = Families.emplace(std::string(Metric), Series<Cell>()).first;
    auto *All = std::get_if<Series<Cell>>(&Found->second);
    return All ? &cellOf(*All, L) : nullptr;
  }
};

Metrics::Metrics() : I(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

void Metrics::count(std::string_view Metric, const Labels &L, double By) {
  if (Counter *C = I->cell<Counter>(Metric, L))
    C->Value += By;
}

void Metrics::gauge(std::string_view Metric, const Labels &L, double Value) {
  if (Gauge *G = I->cell<Gauge>(Metric, L))
    G->Value = Value;
}

void Metrics::latency(std::string_view Metric, const Labels &L, Duration D) {
  if (Latency *C = I->cell<Latency>(Metric, L))
    C->record(std::chrono::duration<double>(D).count());
}

void Metrics::share(std::string_view Metric, const Labels &L, double Value) {
  if (Share *C = I->cell<Share>(Metric, L))
    C->record(std::clamp(Value, 0.0, 1.0));
}

std::string Metrics::text() const {
  std::string Out;
  for (const auto &[Metric, F] : I->Families)
    std::visit(
        [&, &Name = Metric](const auto &All) { renderFamily(Out, Name, All); },
        F);
  return Out;
}

double Metrics::value(std::string_view Metric, const Labels &L) const {
  auto Found = I->Families.find(Metric);
  if (Found == I->Families.end())
    return 0;
  auto Read = [&L](const auto &All) -> double {
    auto Cell = All.find(L);
    if constexpr (requires { Cell->second.Value; })
      return Cell == All.end() ? 0 : Cell->second.Value;
    else
      return 0;
  };
  return std::visit(Read, Found->second);
}

} // namespace shallot
