#!/usr/bin/env python3
"""The product's own interface: three daemons, fifteen services of three upstreams.

One caller's search ends every upstream that begins it; each listens again a second
later. The caller asks again, each time at the next daemon. A lost sub-request is
held against its upstream only and is sent on to the next one, and a daemon does not
know what another has seen, so one search empties all services at each repetition.
Four seconds after its third upstream has ended it may end three more at most,
also where daemons are killed meanwhile and start again with an empty memory, and
where the platform was away while one daemon saw it all.

    searches_that_end_upstreams.py BUILD [SCENARIO]
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
DAEMONS = (1, 2, 3)


def ended(fleet):
    stats = call(fleet.upstreams, "GET", "/control/stats")[1]
    return stats["totals"]["ended"]


def search(fleet, daemon, query):
    body = {"tenant": TENANT, "class": CLASS, "group": GROUP, "query": query}
    return call(fleet.entry(daemon), "POST", "/v1/search", body)[0]


def restart(fleet, daemons):
    for n in daemons:
        fleet.kill(n)
    for n in daemons:
        fleet.start_daemon(n)
    for n in daemons:
        wait_until(f"entry-{n} is ready", 60,
                   lambda n=n: call(fleet.entry(n), "GET", "/readyz")[0] == 200)


def repeat(fleet, daemon_of=lambda turn: turn % 3 + 1, between=lambda turn: None):
    """The search comes again until a second after the window. Gives how many
    upstreams had ended when the window closed."""
    known = None
    before = 0
    turn = 0
    while known is None or time.monotonic() < known + 5:
        search(fleet, daemon_of(turn), {"builder": WORD})
        turn += 1
        if known is None and ended(fleet) >= ENOUGH_CRASHES:
            known = time.monotonic() + WINDOW_S
        if known is not None and time.monotonic() < known:
            before = ended(fleet)
        assert turn < 20, f"only {ended(fleet)} upstreams ended"
        time.sleep(PAUSE_S)
        between(turn)
    return before


def check_bound(fleet, before):
    later = ended(fleet) - before
    print(f"{ended(fleet)} upstreams ended, {later} later")
    assert later <= MOST_ENDED_LATER, f"{later} ended after all had to know"


def repeated(fleet):
    """It comes to every daemon in turn."""
    check_bound(fleet, repeat(fleet))


def restarted(fleet):
    """Daemons are killed while it comes, at last all of them at once."""
    def kill_one(turn):
        if turn in (2, 4):
            restart(fleet, [turn % 3 + 1])

    before = repeat(fleet, between=kill_one)
    restart(fleet, DAEMONS)
    for daemon in DAEMONS:
        search(fleet, daemon, {"builder": WORD})
    check_bound(fleet, before)
    fleet.settle(TENANT, CLASS, [GROUP])  # Gained slots rest first.


def store_away(fleet):
    """The platform does not answer while it comes to one daemon; when it is back
    the others have to know within the window."""
    fleet.control(down=True)
    for _ in range(4):
        search(fleet, 1, {"builder": WORD})
        time.sleep(PAUSE_S)
    assert ended(fleet) >= ENOUGH_CRASHES, f"{ended(fleet)} upstreams ended"
    fleet.control(down=False)
    time.sleep(WINDOW_S)
    before = ended(fleet)
    for daemon in (2, 3, 1, 2, 3):
        search(fleet, daemon, {"builder": WORD})
        time.sleep(PAUSE_S)
    check_bound(fleet, before)


def release(fleet):
    """The upstreams are mended and an operator lets the search through again."""
    fleet.upstream_control(upstream="*", ended_by="")
    listed = json.loads(fleet.ctl("quarantine", "list", "-o", "json").stdout)
    assert [r["proven"] for r in listed["records"]] == [True], listed
    fleet.ctl("quarantine", "release", listed["records"][0]["fingerprint"])
    for daemon in DAEMONS:
        wait_until(f"entry-{daemon} sends it again", WINDOW_S,
                   lambda d=daemon: search(fleet, d, {"builder": WORD}) == 200)


SCENARIOS = {f.__name__: f for f in (repeated, restarted, store_away)}


def main():
    name = sys.argv[2] if len(sys.argv) > 2 else "repeated"
    net = f"127.0.{55 + 2 * sorted(SCENARIOS).index(name)}"
    with Fleet(sys.argv[1], daemons=len(DAEMONS), net=net, zones=3) as fleet:
        fleet.configure()
        fleet.settle(TENANT, CLASS, [GROUP])
        fleet.upstream_control(upstream="*", ended_by=WORD)
        SCENARIOS[name](fleet)
        assert search(fleet, 1, {"builder": "usual"}) == 200
        assert search(fleet, 1, {"builder": WORD}) == 400
        release(fleet)


if __name__ == "__main__":
    main()
