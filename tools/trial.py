#!/usr/bin/env python3
"""Callers go on while something happens to the fleet; what did they see?

    tools/trial.py NAME [BUILD] [--rate 60] [--actions-rate 5] [--net 127.0.32]

Names:
  rolling-restart   every daemon is stopped as planned and started again
  kill              daemons are killed one after another and started again
  pause             daemons are stopped by SIGSTOP for seconds, one at a time
  zone-lost         all daemons and upstreams of one zone go at once
  platform-down     the platform is down for most of the time
  upstream-leaving  the host list says that some upstreams leave; they must get
                    no new work after a few seconds, from any of the daemons
  operators-race    presets are switched by two operators at once, all the time
  everything        platform down, a zone's daemons killed, a rolling restart

Prints the callers' figures, one "name value unit bound" line each, and ends
non-zero when a planned stop cut anyone off, an answer was wrong, an action was
doubled, or "not run" was said of something that ran.
"""

import argparse
import json
import os
import signal
import subprocess
import sys
import threading
import time

from fleet import Fleet, call, wait_until

TENANT, CLASS, GROUP = "khan-uul", "adjuster", "claims-ledger"
ZONE_LOST = "erdenet"
# After this long an upstream on the list as leaving gets no new work.
LEAVING_SECONDS = 5
# Figures of shallot-load that must be 0, whatever happens to the fleet.
NEVER = ["wrong_answers", "actions_doubled", "actions_lost", "not_run_but_seen"]


class Callers:
    def __init__(self, fleet, options, seconds):
        self.command = [
            str(fleet.build / "standins/shallot-load"),
            "--entry", ",".join(fleet.entries()), "--tenant", TENANT,
            "--class", CLASS, "--group", GROUP, "--zone", "darkhan",
            "--documents", fleet.example("services.json"),
            "--upstream-control", fleet.upstreams, "--callers", "24",
            "--rate", str(options.rate), "--actions-rate",
            str(options.actions_rate),
            *(["--minted-keys"] if options.minted_keys else []), "--seconds", str(seconds),
            "--seed", str(options.seed), "-o", "json"]
        self.process = subprocess.Popen(self.command, stdout=subprocess.PIPE,
                                        text=True)

    def figures(self):
        text, _ = self.process.communicate()
        return json.loads(text)


def restart(fleet, n):
    if fleet.stop(n) != 0:
        raise RuntimeError(f"entry-{n} ended with an error")
    fleet.start_daemon(n)
    wait_until(f"entry-{n} is ready again", 60,
               lambda: call(fleet.entry(n), "GET", "/readyz")[0] == 200)


def rolling_restart(fleet):
    for n in range(1, fleet.count + 1):
        restart(fleet, n)


def kill(fleet):
    for n in range(1, fleet.count + 1):
        fleet.kill(n)
        time.sleep(4)
        fleet.start_daemon(n)
        wait_until("it is back", 60, lambda n=n: call(
            fleet.entry(n), "GET", "/readyz")[0] == 200)


def pause(fleet):
    for n in range(1, fleet.count + 1):
        fleet.signal(n, signal.SIGSTOP)
        time.sleep(4)
        fleet.signal(n, signal.SIGCONT)
        time.sleep(3)


def in_zone(fleet, zone):
    return [n for n in range(1, fleet.count + 1)
            if fleet.zones[(n - 1) % len(fleet.zones)][0] == zone]


def zone_lost(fleet):
    replicas = json.load(open(fleet.path("upstreams.json")))
    gone = [r["name"] for r in replicas if r["zone"] == ZONE_LOST]
    time.sleep(3)
    for n in in_zone(fleet, ZONE_LOST):
        fleet.kill(n)
    for name in gone:
        fleet.upstream_control(upstream=name, die=True)
    time.sleep(15)


def platform_down(fleet):
    time.sleep(2)
    fleet.control(down=True)
    time.sleep(25)
    fleet.control(down=False)
    time.sleep(5)


def operators_race(fleet):
    counts = {"won": 0, "lost": 0, "nothing": 0, "other": 0}

    def operator(name):
        for number in range(15):
            preset = ["ordinary-day", "peak"][number % 2]
            done = fleet.ctl("preset", "use", preset, "--operator", name,
                             check=False)
            kind = {0: "won", 6: "lost"}.get(done.returncode, "other")
            if kind == "won" and "nothing to change" in done.stdout:
                kind = "nothing"
            counts[kind] += 1

    threads = [threading.Thread(target=operator, args=(f"operator-{i}",))
               for i in range(2)]
    before = fleet.head_generation()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    landed = fleet.head_generation() - before
    print(f"changes_won {counts['won']} count -")
    print(f"changes_without_effect {counts['nothing']} count -")
    print(f"changes_lost {counts['lost']} count -")
    print(f"changes_landed {landed} count {counts['won']}")
    print(f"changes_other {counts['other']} count 0")
    if landed != counts["won"] or counts["other"]:
        raise RuntimeError("what operators were told is not what landed")


def requests_at(fleet, names):
    stats = call(fleet.upstreams, "GET", "/control/stats")[1]["upstreams"]
    return {name: stats[name]["searches"] + stats[name]["actions"]
            for name in names}


def upstream_leaving(fleet):
    """Two zones, three daemons in each: the third does not watch the list."""
    watching = [n for n in range(1, fleet.count + 1)
                if fleet.status(n)["watching"]]
    print(f"daemons_that_watch {len(watching)} count 4")
    gone = ["claims-01-a", "claims-07-b", "claims-15-c"]
    for name in gone:
        fleet.control(set_host_state={"host": name, "state": "leaving"})
    time.sleep(LEAVING_SECONDS)
    before = requests_at(fleet, gone)
    time.sleep(8)
    after = requests_at(fleet, gone)
    new = sum(after[name] - before[name] for name in gone)
    print(f"new_requests_at_leaving {new} count 0")
    if new or len(watching) != 4:
        raise RuntimeError("an upstream that is leaving got new work")


def everything(fleet):
    fleet.control(down=True)
    time.sleep(2)
    for n in in_zone(fleet, ZONE_LOST):
        fleet.kill(n)
    time.sleep(6)
    for n in range(1, fleet.count + 1):
        if n not in in_zone(fleet, ZONE_LOST):
            restart(fleet, n)
    fleet.control(down=False)
    for n in in_zone(fleet, ZONE_LOST):
        fleet.start_daemon(n)
    time.sleep(5)


# Act, seconds of load, and whether nobody at all may be cut off.
TRIALS = {
    "rolling-restart": (rolling_restart, 90, True),
    "kill": (kill, 75, False),
    "pause": (pause, 50, False),
    "zone-lost": (zone_lost, 25, False),
    "platform-down": (platform_down, 40, True),
    "upstream-leaving": (upstream_leaving, 20, True),
    "operators-race": (operators_race, 20, True),
    "everything": (everything, 110, False),
}


def run(name, fleet, options):
    act, seconds, planned = TRIALS[name]
    callers = Callers(fleet, options, seconds)
    time.sleep(2)
    act(fleet)
    figures = callers.figures()
    bad = []
    for key, value in figures.items():
        never = key in NEVER or (planned and key in ("cut_off", "no_answer"))
        # A minted key needs no platform, so an outage leaves nothing unknown.
        if name == "platform-down" and options.minted_keys:
            never = never or key in ("actions_unknown", "actions_not_run")
        print(f"{key} {value:.6g} - {0 if never else '-'}")
        if never and value != 0:
            bad.append(key)
    if bad:
        print(f"failed: {', '.join(bad)}", file=sys.stderr)
    return 1 if bad else 0


def own_net():
    """Loopback addresses that another run at the same time does not have."""
    return f"127.{60 + os.getpid() % 150}.{os.getpid() // 150 % 250}"


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("name", choices=TRIALS)
    parser.add_argument("build", nargs="?", default="build")
    parser.add_argument("--rate", type=float, default=60)
    parser.add_argument("--actions-rate", type=float, default=5)
    parser.add_argument("--minted-keys", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--net", default=own_net())
    options = parser.parse_args()
    zones = 2 if options.name == "upstream-leaving" else 6
    with Fleet(options.build, 6, options.net, zones) as fleet:
        fleet.configure()
        fleet.settle(TENANT, CLASS, [GROUP])
        return run(options.name, fleet, options)


if __name__ == "__main__":
    sys.exit(main())
