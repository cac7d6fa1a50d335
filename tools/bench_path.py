#!/usr/bin/env python3
"""Measures searches through real daemons on loopback, baseline against full.

    tools/bench_path.py BUILD [--only tail,frozen,overload,cpu] [--seconds 20]

Six daemons of three zones and the upstreams of the Khan-Uul example: each
search asks 25 services of 3 replicas with 2 slots and 25 connections, 6 ms a
connection, a median of 4 ms a reply, 1 in 100 of them 10 to 30 times slower.

  tail      latency, coverage and extra requests, with stragglers and without
  frozen    one replica in three stops to answer and keeps its connections
  overload  slower upstreams, at rates up to twice the capacity
  cpu       processor time of a sub-request, sent directly and relayed

Prints one "name value unit bound" line a figure. Wall-clock figures depend on
the machine: their bounds are targets and are not judged. Counts of what must
never happen are: the exit code is 1 when one of them is not 0.
"""

import argparse
import json
import os
import pathlib
import statistics
import subprocess
import sys
import time

from fleet import Fleet, call

TENANT = "khan-uul"
GROUPS = ["underwriting-desk", "claims-ledger"]
# Never, whatever happens: figures of shallot-load.
NEVER = ["wrong_answers", "not_run_but_seen", "actions_doubled", "actions_lost",
         "cut_off"]
CONNECTION_CAP = 25
# Overload: so slow that slots, and not this machine, are what runs out.
SLOW_MS = 60
SLOTS_A_SERVICE = 6
SHARES = [0.6, 0.8, 1.0, 1.2, 2.0]
# Runs of a second after a freeze; those from BACK_SECONDS on shall be within
# twice the usual.
FROZEN_WINDOWS = 10
BACK_SECONDS = 2

broken = []


def show(name, value, unit, bound="-"):
    print(f"{name} {value:.5g} {unit} {bound}", flush=True)


def never(name, value):
    show(name, value, "count", "0")
    if value != 0:
        broken.append(name)


def services(fleet):
    names = []
    for doc in json.load(open(fleet.path("services.json"))):
        if doc["kind"] == "service" and doc["group"] in GROUPS:
            names.append(doc["name"])
    return names


class Bed:
    """One fleet under one strategy, ready to be measured."""

    def __init__(self, options, strategy, daemons=6):
        self.options = options
        self.fleet = Fleet(options.build, daemons, options.net, zones=3,
                           strategy=strategy)
        self.seed = 100

    def __enter__(self):
        self.fleet.__enter__()
        try:
            self.fleet.configure()
            self.fleet.settle(TENANT, "adjuster", GROUPS)
        except BaseException:
            self.fleet.__exit__()
            raise
        self.names = services(self.fleet)
        return self

    def __exit__(self, *_):
        self.fleet.__exit__()

    def load(self, rate, seconds, klass="adjuster", actions=0):
        self.seed += 1
        done = subprocess.run(
            [str(self.fleet.build / "standins/shallot-load"),
             "--entry", ",".join(self.fleet.entries()), "--tenant", TENANT,
             "--class", klass, "--services", ",".join(self.names),
             "--documents", self.fleet.path("services.json"),
             "--upstream-control", self.fleet.upstreams, "--callers", "24",
             "--connections", "4000", "--rate", str(rate), "--actions-rate",
             str(actions), "--seconds", str(seconds), "--seed",
             str(self.seed), "-o", "json"], stdout=subprocess.PIPE, text=True)
        return json.loads(done.stdout)

    def stragglers(self, one_in):
        self.fleet.upstream_control(upstream="*", straggle_one_in=one_in)

    def metrics(self, *names):
        return sum(self.fleet.metric(n, name) for name in names
                   for n in range(1, self.fleet.count + 1))

    def upstream_totals(self):
        return call(self.fleet.upstreams, "GET", "/control/stats")[1]["totals"]

    def judge_caps(self, what):
        totals = self.upstream_totals()
        never(f"{what}.slots_exceeded", totals["slots_exceeded"])
        over = max(0, totals["connections_max"] - CONNECTION_CAP)
        never(f"{what}.connections_over_cap",
              over + totals["connections_refused"])
        show(f"{what}.connections_max", totals["connections_max"], "count",
             CONNECTION_CAP)


def judge(what, figures):
    for name in NEVER:
        never(f"{what}.{name}", figures.get(name, 0))


def show_latency(what, figures):
    for name, unit in [("p50", "ms"), ("p99", "ms"), ("p99.9", "ms"),
                       ("coverage", "%"), ("sent", "count"), ("ok", "count"),
                       ("partial", "count"), ("refused_not_run", "count")]:
        show(f"{what}.{name}", figures[name], unit)
    for name in sorted(figures):
        if name.startswith("error_"):
            show(f"{what}.{name}", figures[name], "count")


# What must never happen is judged in each step, the rest is printed.


def tail_step(bed, what):
    """Figures of one run; requests beyond the first of each service."""
    names = ["shallot_sub_requests_total", "shallot_hedges_total",
             "shallot_retries_total"]
    before = [bed.metrics(n) for n in names]
    seen = bed.upstream_totals()["searches"]
    figures = bed.load(bed.options.rate, bed.options.seconds, actions=2)
    first, hedges, retries = (bed.metrics(n) - b
                              for n, b in zip(names, before))
    seen = bed.upstream_totals()["searches"] - seen
    show_latency(what, figures)
    show(f"{what}.extra", 100 * (seen / first - 1), "%", "5")
    show(f"{what}.hedges", 100 * hedges / first, "%")
    show(f"{what}.retries", 100 * retries / first, "%")
    judge(what, figures)
    return figures


def tail(bed, strategy):
    what = f"path.tail.{strategy}"
    bed.load(bed.options.rate, 5)  # Daemons learn latencies, connections open.
    figures = tail_step(bed, what)
    bed.stragglers(0)
    bed.load(bed.options.rate, 3)
    clean = tail_step(bed, f"{what}.no_stragglers")
    bed.stragglers(100)
    show(f"{what}.p99_ratio", figures["p99"] / clean["p99"], "x",
         "1.3" if strategy == "full" else "-")
    bed.judge_caps(what)


def frozen(bed, strategy):
    what = f"path.frozen.{strategy}"
    bed.load(bed.options.rate, 5)
    usual = statistics.median(
        bed.load(bed.options.rate, 1)["p99"] for _ in range(5))
    show(f"{what}.p99_before", usual, "ms")
    for name in bed.names:
        bed.fleet.upstream_control(upstream=f"{name}-b", freeze=True)
    begun, windows, sums = time.monotonic(), [], {}
    for _ in range(FROZEN_WINDOWS):
        began = time.monotonic() - begun
        figures = bed.load(bed.options.rate, 1)
        windows.append((began, figures["p99"], figures["coverage"]))
        for name in NEVER:
            sums[name] = sums.get(name, 0) + figures.get(name, 0)
    for began, p99, coverage in windows:
        show(f"{what}.p99_at_{began:.1f}s", p99, "ms")
        show(f"{what}.coverage_at_{began:.1f}s", coverage, "%")
    later = [p99 / usual for began, p99, _ in windows if began >= BACK_SECONDS]
    aim = "2" if strategy == "full" else "-"
    show(f"{what}.p99_ratio_after_2s", statistics.median(later), "x", aim)
    show(f"{what}.p99_ratio_after_2s_worst", max(later), "x", aim)
    judge(what, sums)
    bed.judge_caps(what)


def overload(bed, strategy):
    """A class that wants everything, so that goodput is complete answers."""
    what = f"path.overload.{strategy}"
    bed.fleet.upstream_control(upstream="*", service_ms=SLOW_MS,
                               straggle_one_in=0)
    capacity = 1000 * SLOTS_A_SERVICE / SLOW_MS
    show(f"{what}.capacity_nominal", capacity, "1/s")
    bed.load(0.5 * capacity, 5, "underwriter")
    good = {}
    for share in SHARES:
        at = f"{what}.at_{share:.1f}x"
        figures = bed.load(share * capacity, bed.options.seconds / 2,
                           "underwriter", actions=2)
        good[share] = figures["ok"] / (bed.options.seconds / 2)
        show(f"{at}.goodput", good[share], "1/s")
        show_latency(at, figures)
        show(f"{at}.refusal_p50", figures["refusal_p50"], "ms",
             "5" if strategy == "full" else "-")
        judge(at, figures)
    show(f"{what}.goodput_of_peak", 100 * good[2.0] / max(good.values()), "%",
         "95" if strategy == "full" else "-")
    bed.judge_caps(what)


def daemons_cpu(bed):
    return sum(bed.fleet.cpu_seconds(f"entry-{n}")
               for n in range(1, bed.fleet.count + 1))


def cpu_step(bed, what):
    """Processor time a sub-request less that at rest; the share relayed."""
    bed.stragglers(0)
    bed.load(bed.options.rate, 3)
    at_rest, seconds = daemons_cpu(bed), bed.options.seconds
    time.sleep(seconds / 2)
    at_rest = (daemons_cpu(bed) - at_rest) / (seconds / 2)
    begin, cpu = time.monotonic(), daemons_cpu(bed)
    subs = bed.metrics("shallot_sub_requests_total")
    routed = [bed.metrics('shallot_routed{way="%s"}' % how)
              for how in ("direct", "relayed")]
    bed.load(bed.options.rate, seconds)
    cpu = daemons_cpu(bed) - cpu - at_rest * (time.monotonic() - begin)
    subs = bed.metrics("shallot_sub_requests_total") - subs
    direct, relayed = (bed.metrics('shallot_routed{way="%s"}' % how) - was
                       for how, was in zip(("direct", "relayed"), routed))
    cost, share = 1e6 * cpu / subs, relayed / max(1, direct + relayed)
    show(f"{what}.cpu", cost, "us/sub")
    show(f"{what}.relayed", 100 * share, "%")
    return cost, share


def bare_libcurl(build):
    """Microseconds of a transfer by libcurl alone, from bench_net."""
    done = subprocess.run([str(build / "tests/bench_net")],
                          stdout=subprocess.PIPE, text=True)
    for line in done.stdout.splitlines():
        print(line)
    values = {l.split()[0]: l.split()[1:3] for l in done.stdout.splitlines()
              if len(l.split()) >= 3}
    for name, (value, unit) in values.items():
        if "bare" in name or "curl" in name:
            return float(value) / (1000 if unit.startswith("ns") else 1)
    raise RuntimeError("bench_net gave no figure for libcurl alone")


def cpu(options):
    """One daemon sends all directly; of six, the rest of the cost is relays."""
    with Bed(options, "full", daemons=1) as bed:
        direct, _ = cpu_step(bed, "path.cpu.1_daemon")
    with Bed(options, "full") as bed:
        mixed, share = cpu_step(bed, "path.cpu.6_daemons")
    show("path.cpu.direct", direct, "us/sub")
    if share > 0:
        show("path.cpu.relayed", (mixed - (1 - share) * direct) / share,
             "us/sub")
    bare = bare_libcurl(pathlib.Path(options.build))
    show("path.cpu.libcurl_alone", bare, "us/sub")
    show("path.cpu.direct_to_libcurl", direct / bare, "x", "1.5")
    show("path.cpu.mixed_to_libcurl", mixed / bare, "x")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("--only", default="tail,frozen,overload,cpu")
    parser.add_argument("--strategies", default="baseline,full")
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--rate", type=float, default=150)
    parser.add_argument("--net", default="127.0.42")
    options = parser.parse_args()
    steps = options.only.split(",")
    show("path.machine_load_before", os.getloadavg()[0], "tasks")
    show("path.machine_cores", os.cpu_count(), "cores")
    for name in ("tail", "frozen", "overload"):
        for strategy in options.strategies.split(",") if name in steps else ():
            with Bed(options, strategy) as bed:
                {"tail": tail, "frozen": frozen, "overload": overload}[name](
                    bed, strategy)
    if "cpu" in steps:
        cpu(options)
    show("path.machine_load_after", os.getloadavg()[0], "tasks")
    if broken:
        print(f"failed: {', '.join(broken)}", file=sys.stderr)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
