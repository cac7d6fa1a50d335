#!/usr/bin/env python3
"""The product's own interface: three daemons, fifteen services of three upstreams.

One caller's search ends every upstream that begins it; each listens again a second
later. The caller asks again, each time at the next daemon. A lost sub-request is
held against its upstream only and is sent on to the next one, and a daemon does not
know what another has seen, so one search empties all services at each repetition.
Four seconds after its third upstream has ended it may end three more at most,
also where daemons are killed meanwhile and start again with an empty memory.

    searches_that_end_upstreams.py BUILD [restarted]
"""

import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tools"))

from fleet import Fleet, call, wait_until  # noqa: E402

TENANT, CLASS, GROUP = "khan-uul", "adjuster", "claims-ledger"
WORD = "deadly"
ENOUGH_CRASHES = 3
WINDOW_S = 4.0
MOST_ENDED_LATER = 3
PAUSE_S = 0.7


def ended(fleet):
    stats = call(fleet.upstreams, "GET", "/control/stats")[1]
    return stats["totals"]["ended"]


def restart(fleet, daemons):
    for n in daemons:
        fleet.kill(n)
    for n in daemons:
        fleet.start_daemon(n)
    for n in daemons:
        wait_until(f"entry-{n} is ready", 60,
                   lambda n=n: call(fleet.entry(n), "GET", "/readyz")[0] == 200)


def search(fleet, daemon, query):
    body = {"tenant": TENANT, "class": CLASS, "group": GROUP, "query": query}
    return call(fleet.entry(daemon), "POST", "/v1/search", body)[0]


def release(fleet):
    """The upstreams are mended and an operator lets the search through again."""
    fleet.upstream_control(upstream="*", ended_by="")
    listed = json.loads(fleet.ctl("quarantine", "list", "-o", "json").stdout)
    assert [r["proven"] for r in listed["records"]] == [True], listed
    fleet.ctl("quarantine", "release", listed["records"][0]["fingerprint"])
    for daemon in (1, 2, 3):
        wait_until(f"entry-{daemon} sends it again", WINDOW_S,
                   lambda d=daemon: search(fleet, d, {"builder": WORD}) == 200)


def main():
    restarted = sys.argv[2:] == ["restarted"]
    net = "127.0.56" if restarted else "127.0.55"
    with Fleet(sys.argv[1], daemons=3, net=net, zones=3) as fleet:
        fleet.configure()
        fleet.settle(TENANT, CLASS, [GROUP])
        fleet.upstream_control(upstream="*", ended_by=WORD)
        known = None
        before = 0
        turn = 0
        while known is None or time.monotonic() < known + 5:
            search(fleet, turn % 3 + 1, {"builder": WORD})
            turn += 1
            if known is None and ended(fleet) >= ENOUGH_CRASHES:
                known = time.monotonic() + WINDOW_S
            if known is not None and time.monotonic() < known:
                before = ended(fleet)
            assert turn < 20, f"only {ended(fleet)} upstreams ended"
            time.sleep(PAUSE_S)
            if restarted and turn in (2, 4):
                restart(fleet, [turn % 3 + 1])
        if restarted:
            restart(fleet, [1, 2, 3])
            for daemon in (1, 2, 3):
                search(fleet, daemon, {"builder": WORD})
        later = ended(fleet) - before
        print(f"{ended(fleet)} upstreams ended, {later} later")
        assert later <= MOST_ENDED_LATER, f"{later} ended after all had to know"
        if restarted:  # Gained slots rest first.
            fleet.settle(TENANT, CLASS, [GROUP])
        assert search(fleet, 1, {"builder": "usual"}) == 200
        assert search(fleet, 1, {"builder": WORD}) == 400
        release(fleet)


if __name__ == "__main__":
    main()
