#!/usr/bin/env python3
"""Measures what control costs and how fast changes and failures spread.

    tools/bench_fleet.py BUILD [--daemons 6] [--switches 50] [--rest 20]

Real daemons on loopback; prints one "name value unit bound" line a figure.
Wall-clock figures depend on the machine and are not judged, except that a
reversion or a change that does not arrive is an error.
"""

import argparse
import signal
import statistics
import sys
import time

from fleet import Fleet, call, wait_until

ARRIVE_SECONDS = 12
NOTICE_SECONDS = 30


def show(name, value, unit, bound="-"):
    print(f"{name} {value:.4g} {unit} {bound}", flush=True)


def totals(fleet):
    """Bytes, datagrams and processor seconds of all daemons so far."""
    sums = {"gossip": 0.0, "peer": 0.0, "datagrams": 0.0, "cpu": 0.0}
    for n in range(1, fleet.count + 1):
        sums["gossip"] += fleet.metric(n, "shallot_gossip_bytes")
        sums["peer"] += fleet.metric(n, "shallot_peer_bytes")
        sums["datagrams"] += fleet.metric(n, "shallot_gossip_datagrams")
        sums["cpu"] += fleet.cpu_seconds(f"entry-{n}")
    return sums


def platform_calls(fleet):
    return fleet.platform_counters()["calls"]


def at_rest(fleet, seconds):
    before, calls = totals(fleet), platform_calls(fleet)
    time.sleep(seconds)
    after, calls = totals(fleet), platform_calls(fleet) - calls
    each = {k: (after[k] - before[k]) / seconds / fleet.count for k in after}
    size = f"{fleet.count}_daemons"
    show(f"rest_gossip_bytes_{size}", each["gossip"], "B/s/daemon", "15000")
    show(f"rest_peer_bytes_{size}", each["peer"], "B/s/daemon", "15000")
    show(f"rest_datagrams_{size}", each["datagrams"], "1/s/daemon")
    show(f"rest_cpu_{size}", 100 * each["cpu"], "%core/daemon", "2.3")
    show(f"rest_memory_{size}",
         max(fleet.memory_bytes(f"entry-{n}")
             for n in range(1, fleet.count + 1)) / 1e6, "MB", "128")
    show(f"rest_platform_calls_{size}", calls / seconds, "1/s")


class Arrivals:
    """When each daemon had a generation, by its own word; finds reversions."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.highest = {}
        self.reversions = 0

    def read(self, n):
        status = self.fleet.status(n)
        key = (n, status["daemon"])
        if status["generation"] < self.highest.get(key, 0):
            self.reversions += 1
        self.highest[key] = status["generation"]
        return status

    def wait(self, generation, begun, nodes):
        """Seconds from the command to in force, for each of the nodes."""
        took, left = [], set(nodes)
        end = time.monotonic() + ARRIVE_SECONDS
        while left and time.monotonic() < end:
            for n in sorted(left):
                status = self.read(n)
                if status["generation"] < generation:
                    continue
                age = status.get("config_age_ms", 0) / 1000
                took.append(max(0.0, time.monotonic() - age - begun))
                left.discard(n)
            time.sleep(0.01)
        if left:
            raise RuntimeError(f"generation {generation} did not reach {left}")
        return took


def switch(fleet, number):
    """The time before the operator's command and the generation that it made.
    The command is counted in: every daemon may have the change before it ends."""
    begin = time.monotonic()
    fleet.ctl("preset", "use", "peak" if number % 2 == 0 else "ordinary-day")
    return begin, fleet.head_generation()


def switches(fleet, count):
    arrivals, worst = Arrivals(fleet), []
    everyone = set(range(1, fleet.count + 1))
    calls = platform_calls(fleet)
    for number in range(count):
        begun, generation = switch(fleet, number)
        worst.append(max(arrivals.wait(generation, begun, everyone)))
    calls = platform_calls(fleet) - calls
    size = f"{fleet.count}_daemons"
    show(f"switch_everywhere_median_{size}", statistics.median(worst), "s", "3")
    show(f"switch_everywhere_worst_{size}", max(worst), "s", "3")
    show(f"switch_platform_calls_{size}", calls / max(1, count), "1/switch")
    show(f"reversions_{size}", arrivals.reversions, "count", "0")
    return arrivals.reversions


def rough_switches(fleet, count):
    """One daemon paused, one restarting, the platform down for a part."""
    arrivals, worst = Arrivals(fleet), []
    healthy = set(range(1, fleet.count - 1))
    paused, restarted = fleet.count - 1, fleet.count
    for number in range(count):
        if number % 5 == 0:
            fleet.signal(paused, signal.SIGSTOP)
            fleet.kill(restarted)
        begun, generation = switch(fleet, number)
        if number % 5 == 1:
            fleet.control(down=True)
        worst.append(max(arrivals.wait(generation, begun, healthy)))
        if number % 5 == 1:
            fleet.control(down=False)
        if number % 5 == 3:
            fleet.signal(paused, signal.SIGCONT)
            fleet.start_daemon(restarted)
        if number % 5 == 4:
            for n in (paused, restarted):
                wait_until(f"entry-{n} has caught up", 40, lambda n=n:
                           arrivals.read(n)["generation"] >= generation)
    size = f"{fleet.count}_daemons"
    show(f"rough_switch_reachable_median_{size}", statistics.median(worst), "s",
         "3")
    show(f"rough_switch_reachable_worst_{size}", max(worst), "s", "3")
    show(f"rough_reversions_{size}", arrivals.reversions, "count", "0")
    return arrivals.reversions


def failures(fleet, count):
    """Kills one daemon after another; how long until all others know."""
    took = []
    for number in range(count):
        victim = 1 + number % fleet.count
        others = [n for n in range(1, fleet.count + 1) if n != victim]
        fleet.kill(victim)
        begin = time.monotonic()
        for n in others:
            wait_until("failure is noticed", NOTICE_SECONDS, lambda n=n: any(
                m["host"] == f"entry-{victim}" and m["state"] == "failed"
                for m in fleet.members(n)), 0.02)
        took.append(time.monotonic() - begin)
        fleet.start_daemon(victim)
        wait_until("it is back", 60, lambda: call(
            fleet.entry(victim), "GET", "/readyz")[0] == 200)
    size = f"{fleet.count}_daemons"
    show(f"failure_noticed_median_{size}", statistics.median(took), "s")
    show(f"failure_noticed_worst_{size}", max(took), "s")


def accusations(fleet, seconds):
    """Nothing fails; how many daemons were suspected or called failed?"""
    time.sleep(seconds)
    counts = {"member_suspected": 0, "member_failed": 0}
    for entry in fleet.entries():
        for event in call(entry, "GET", "/v1/events")[1]["events"]:
            if event["event"] in counts:
                counts[event["event"]] += 1
    size = f"{fleet.count}_daemons_{seconds:.0f}_s"
    show(f"false_suspicions_{size}", counts["member_suspected"], "count")
    show(f"false_failures_{size}", counts["member_failed"], "count", "0")
    return counts["member_failed"]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("--daemons", type=int, default=6)
    parser.add_argument("--switches", type=int, default=50)
    parser.add_argument("--rough", type=int, default=0)
    parser.add_argument("--failures", type=int, default=5)
    parser.add_argument("--rest", type=float, default=20)
    parser.add_argument("--watch", type=float, default=0,
                        help="seconds in which nobody should be accused")
    parser.add_argument("--net", default="127.0.31")
    options = parser.parse_args()
    with Fleet(options.build, options.daemons, options.net) as fleet:
        fleet.configure()
        time.sleep(3)
        at_rest(fleet, options.rest)
        wrong = switches(fleet, options.switches) if options.switches else 0
        if options.watch:
            wrong += accusations(fleet, options.watch)
        if options.rough:
            wrong += rough_switches(fleet, options.rough)
        if options.failures:
            failures(fleet, options.failures)
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
