#!/usr/bin/env python3
"""Plays random troubles against real daemons and checks what was promised.

    tools/soak.py [BUILD] [--seeds 5] [--seed N] [--seconds 25] [--daemons 6]
                  [--callers 30] [--rate 60] [--regressions] [--keep DIR]

Each seed starts the programs as processes of their own on loopback addresses,
puts a proxy on every connection of callers, replicas and the store, disturbs
them for --seconds, and judges every promise (tools/soakkit/promises.py) by what
callers and replicas saw. --seed plays one seed; --regressions plays those of
tests/soak-seeds.txt, each of which failed once; otherwise --seeds fresh ones
are drawn.

One line a seed; the exit code is 1 when a promise was broken. What a failed
seed leaves (logs, requests, arrivals, troubles) is kept in --keep.
"""

import argparse
import asyncio
import json
import os
import pathlib
import random
import shutil
import sys
import time

from soakkit.callers import Caller
from soakkit.faults import Faults
from soakkit.promises import Case, judge
from soakkit.world import World

SEEDS_FILE = pathlib.Path(__file__).resolve().parents[1] / "tests/soak-seeds.txt"
LAST_ANSWERS = 4.5  # Seconds for requests that are open at the end.
SHOWN = 6


def own_net(number):
    """Loopback addresses that another run at the same time does not have."""
    return f"127.{20 + os.getpid() % 40}.{(os.getpid() // 40 + number) % 250}"


async def play(world, options, rng):
    await world.start_links()
    await world.change_config()
    for n in range(1, world.daemons + 1):
        world.start_daemon(n)
    for n in range(1, world.daemons + 1):
        if not await world.started(n):
            world.history.complaints.append(f"front-{n} never became ready")
    until = time.monotonic() + options.seconds
    faults = Faults(world, random.Random(rng.random()), options.seconds)
    rate = options.rate / options.callers
    callers = [Caller(n, world, random.Random(rng.random()), rate)
               for n in range(options.callers)]
    watch = asyncio.ensure_future(world.watch(until))
    await asyncio.gather(faults.run(), *(c.run(until) for c in callers))
    await watch
    await asyncio.sleep(LAST_ANSWERS / 3)
    return faults.notes


def keep(world, seed, notes, case, found, folder):
    """Everything that is needed to trace a failure."""
    into = pathlib.Path(folder) / f"seed-{seed}"
    shutil.rmtree(into, ignore_errors=True)
    into.mkdir(parents=True)
    for log in world.path("").glob("*.log"):
        shutil.copy(log, into / log.name)
    asks = [{**vars(a), "content": a.content.hex(), "extra": a.extra.hex()}
            for a in case.history.asks]
    (into / "asks.json").write_text(json.dumps(asks))
    (into / "arrivals.json").write_text(json.dumps(case.arrivals))
    marks = [f"{d.start:.3f} {d.end:.3f} {d.whom}: {d.kind}"
             for d in case.history.disturbances]
    (into / "troubles.txt").write_text("\n".join([*notes, "", *marks]) + "\n")
    (into / "complaints.txt").write_text(
        "\n".join(f"{name}: {text}" for name, text in found) + "\n")
    return into


def run_seed(seed, number, options):
    rng = random.Random(seed)
    shape = {"daemons": options.daemons, "seed": seed,
             "work_ms": rng.choice([3, 8, 20]),
             "pause_ms": rng.choice([0, 150, 250])}
    with World(options.build, own_net(number), f"s{seed}", **shape) as world:
        notes = asyncio.run(play(world, options, rng))
        case = Case(world.history, world, world.arrivals())
        found = judge(case)
        asks = world.history.asks
        served = sum(a.how == "answered" and a.status == 200 for a in asks)
        late = sum(end - start for start, end in world.history.lags)
        print(f"seed {seed}: {len(asks)} requests, {served} served, "
              f"{len(case.arrivals)} arrivals, {len(notes)} troubles, "
              f"this machine late for {late:.1f} s: "
              f"{'ok' if not found else f'{len(found)} BROKEN'}", flush=True)
        if found:
            for name, text in found[:SHOWN]:
                print(f"  {name}: {text}")
            print(f"  kept in {keep(world, seed, notes, case, found, options.keep)}")
    return not found


def regression_seeds():
    lines = SEEDS_FILE.read_text().splitlines()
    return [int(line.split()[0]) for line in lines
            if line.strip() and not line.startswith("#")]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build", nargs="?", default="build")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--seed", type=int, action="append")
    parser.add_argument("--regressions", action="store_true")
    parser.add_argument("--seconds", type=float, default=25)
    parser.add_argument("--daemons", type=int, default=6)
    parser.add_argument("--callers", type=int, default=30)
    parser.add_argument("--rate", type=float, default=60)
    parser.add_argument("--keep", default="soak-findings")
    options = parser.parse_args()
    seeds = list(options.seed or [])
    if options.regressions:
        seeds += regression_seeds()
    if not seeds:
        fresh = random.SystemRandom()
        seeds = [fresh.randrange(1, 10**9) for _ in range(options.seeds)]
    good = [run_seed(seed, n, options) for n, seed in enumerate(seeds)]
    print(f"{sum(good)} of {len(good)} seeds kept every promise")
    return 0 if all(good) else 1


if __name__ == "__main__":
    sys.exit(main())
