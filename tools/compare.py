#!/usr/bin/env python3
"""Compares two checkouts of this repository on the users' bench.

    compare.py --bench FLEETBENCH --a DIR --b DIR --why "..." \\
        --day SITE:DAY [--day ...] [--seeds 1,2,3] [--jobs 4] [--out rows.jsonl]

Plays each day with each seed in both checkouts (0 stands for the day's own seed), writes a
JSON line for each run and prints, for each day and over all, the mean worth of A and
B, the mean of the paired differences and half the width of its 95% interval. DAY is a
day's name or a TOML file. Exit code 1 if a run gave no worth, 2 for bad arguments.
"""

import argparse
import concurrent.futures
import json
import math
import pathlib
import re
import statistics
import subprocess
import sys

WORTH = re.compile(r"^worth (-?[0-9.]+) = whole day ([0-9.]+)", re.M)
NINES = re.compile(r"nines ([0-9.]+)")
CLASS = re.compile(r"^(\S+) +(\d+) +(\d+) +(\d+) +(\d+) +(\d+) +(\d+) +([0-9.]+)"
                   r" +([0-9.]+) +([0-9.]+)$", re.M)
PRICE = re.compile(r"^ +-([0-9.]+) +[0-9.]+ (GB between regions|cloud calls)", re.M)
BROKEN = re.compile(r"^rules broken: (.*)$", re.M)
# Two-sided 95% of Student's t by degrees of freedom; beyond the table 1.96.
T95 = [0, 12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23]


def play(bench, checkout, site, day, seed, why):
    command = [bench, "run", site, day, "--jobs", "1", "--why", why]
    if seed:
        command += ["--seed", str(seed)]
    run = subprocess.run(command, cwd=checkout, capture_output=True, text=True,
                         check=False)
    return read_report(run.stdout + run.stderr)


def read_report(text):
    worth = WORTH.search(text)
    if not worth:
        return {"worth": None, "error": text[-500:]}
    classes = text[text.find("\nclass "):text.find("\nclients' zone")]
    nines = NINES.search(text)
    broken = BROKEN.search(text)
    return {"worth": float(worth[1]), "day": float(worth[2]),
            "nines": float(nines[1]) if nines else None,
            "prices": {name: float(price) for price, name in PRICE.findall(text)},
            "classes": {m[0]: {"late": int(m[3]), "failed": int(m[5]),
                               "p50_ms": float(m[8]), "p99_ms": float(m[9])}
                        for m in CLASS.findall(classes)},
            "broken": broken[1] if broken else ""}


def half_width(differences):
    n = len(differences)
    if n < 2:
        return float("nan")
    t = T95[n - 1] if n - 1 < len(T95) else 1.96
    return t * statistics.stdev(differences) / math.sqrt(n)


def table(rows):
    """Lines for each day and for all, from rows with a run of A and of B."""
    days = sorted({row["day"] for row in rows})
    yield f"{'day':44} runs      A      B   B - A  +-95%  broken in A, B"
    for day in [*days, "all"]:
        mine = [r for r in rows if day in ("all", r["day"])
                and r["a"]["worth"] is not None and r["b"]["worth"] is not None]
        if not mine:
            yield f"{day:44}    0  no run gave a worth"
            continue
        a = statistics.mean(r["a"]["worth"] for r in mine)
        b = statistics.mean(r["b"]["worth"] for r in mine)
        apart = [r["b"]["worth"] - r["a"]["worth"] for r in mine]
        broken = [sum(bool(r[side]["broken"]) for r in mine) for side in "ab"]
        yield (f"{day:44} {len(mine):4} {a:6.3f} {b:6.3f} {b - a:+7.3f}"
               f" {half_width(apart):6.3f}  {broken[0]}, {broken[1]}")


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("--bench", required=True)
    parser.add_argument("--a", required=True, type=pathlib.Path)
    parser.add_argument("--b", required=True, type=pathlib.Path)
    parser.add_argument("--why", required=True)
    parser.add_argument("--day", action="append", required=True,
                        help="SITE:DAY, may be given more than once")
    parser.add_argument("--seeds", default="0")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--out", type=pathlib.Path)
    options = parser.parse_args()
    for checkout in (options.a, options.b):
        if not (checkout / "deploy/system.toml").exists():
            parser.error(f"{checkout}: no checkout of this repository")
    if any(":" not in day for day in options.day):
        parser.error("--day: SITE:DAY")
    for checkout in (options.a, options.b):
        subprocess.run([options.bench, "build"], cwd=checkout, check=True,
                       stdout=subprocess.DEVNULL)
    plan = [(site, day, int(seed)) for site, day in
            (text.rsplit(":", 1) for text in options.day)
            for seed in options.seeds.split(",")]
    rows = []
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        runs = [(site, day, seed,
                 [pool.submit(play, options.bench, checkout, site, day, seed,
                              f"{options.why} ({name})")
                  for name, checkout in (("A", options.a), ("B", options.b))])
                for site, day, seed in plan]
        for site, day, seed, (a, b) in runs:
            name = f"{pathlib.Path(site).stem} {pathlib.Path(day).stem}"
            row = {"day": name, "seed": seed, "a": a.result(), "b": b.result()}
            rows.append(row)
            print(json.dumps(row), file=sys.stderr)
    if options.out:
        options.out.write_text("".join(json.dumps(r) + "\n" for r in rows))
    print("\n".join(table(rows)))
    return any(r[s]["worth"] is None for r in rows for s in "ab")


if __name__ == "__main__":
    sys.exit(main())
