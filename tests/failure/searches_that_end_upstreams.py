#!/usr/bin/env python3
"""The product's own interface: three daemons, fifteen services of three upstreams.

One caller's search ends every upstream that begins it; each listens again a second
later. The caller asks again, each time at the next daemon. A lost sub-request is
held against its upstream only and is sent on to the next one, and a daemon does not
know what another has seen, so one search empties all services at each repetition.
Four seconds after its third upstream has ended it may end three more at most.

    searches_that_end_upstreams.py BUILD
"""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tools"))

from fleet import Fleet, call  # noqa: E402

TENANT, CLASS, GROUP = "khan-uul", "adjuster", "claims-ledger"
WORD = "deadly"
ENOUGH_CRASHES = 3
WINDOW_S = 4.0
MOST_ENDED_LATER = 3
PAUSE_S = 0.7


def ended(fleet):
    stats = call(fleet.upstreams, "GET", "/control/stats")[1]
    return stats["totals"]["ended"]


def search(fleet, daemon, query):
    body = {"tenant": TENANT, "class": CLASS, "group": GROUP, "query": query}
    return call(fleet.entry(daemon), "POST", "/v1/search", body)[0]


def main():
    with Fleet(sys.argv[1], daemons=3, net="127.0.55", zones=3) as fleet:
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
        later = ended(fleet) - before
        print(f"{ended(fleet)} upstreams ended, {later} later")
        assert later <= MOST_ENDED_LATER, f"{later} ended after all had to know"
        assert search(fleet, 1, {"builder": "usual"}) == 200


if __name__ == "__main__":
    main()
