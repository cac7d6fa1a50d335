#!/usr/bin/env python3
"""A check that can't fail proves nothing: each promise of the soak is broken
once in a made-up history, and exactly that check must say so."""

import copy
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools"))

from soakkit.organisations import NEVER, documents  # noqa: E402
from soakkit.promises import CHECKS, Case, records_of  # noqa: E402
from soakkit.records import Ask, Disturbance, History  # noqa: E402

SHARDS = ["s1", "s2", "s3", "s4"]
ROUTES = [{"name": "pull", "service": "archive",
           "allowed_regions": ["r-south"]}]


class FakeWorld:
    shards = SHARDS
    replicas = [{"id": f"{s}-a", "address": f"127.0.0.1:{n}",
                 "zone": "z-south"}
                for n, s in enumerate([*SHARDS, "archive", "booking"])]

    def __init__(self):
        self.lines = [(1, '{"event":"started"}'),
                      (1, '{"event":"config_installed","version":"3"}')]

    def log_lines(self):
        return self.lines


def sweep(n, at):
    ask = Ask(f"q-{n}", "sweep", "GET", f"/sweep/{n}", "", 1, 0.8, at,
              at + 0.05, "answered", 200)
    records = [r for s in SHARDS for r in records_of(s, ask.id)]
    ask.headers = {"part-stamps": ", ".join(f"{s}-a.{ask.id}.1" for s in SHARDS)}
    ask.content = b"".join(sorted(records, reverse=True)[:10])
    return ask


def plain(n, at, route, service):
    ask = Ask(f"q-{n}", route, "POST" if route == "book" else "GET",
              f"/{route}/{n}", "lane" if route == "book" else "", 1, 1.5,
              at, at + 0.05, "answered", 200)
    ask.headers = {"server-stamp": f"{service}-a.{ask.id}.1"}
    ask.content = b"".join(records_of(service, ask.id))
    return ask


def arrival(ask, service, copy_name="a", began=True):
    at = (ask.sent_at + 0.01) * 1000
    return {"request": ask.id, "service": service, "method": ask.method,
            "replica": f"{service}-{copy_name}", "target": ask.target,
            "body": ask.body, "read_at": at, "began_at": at if began else 0,
            "ended_at": at + 5, "waits_ms": 700, "how": "answered",
            "organisation": "nord", "credentials": False}


def good_case():
    history = History()
    history.versions = [(1.0, {"routes": ROUTES, "tenants": documents(1)})]
    arrivals = []
    for n in range(60):
        at = 100 + n * 0.2
        kind = n % 3
        ask = [sweep(n, at), plain(n, at, "pull", "archive"),
               plain(n, at, "book", "booking")][kind]
        ask.key = "key-nord"
        history.asks.append(ask)
        services = [SHARDS, ["archive"], ["booking"]][kind]
        arrivals += [arrival(ask, s) for s in services]
    return Case(history, FakeWorld(), arrivals)


def first(case, route):
    return next(a for a in case.history.asks if a.route == route)


def runs_of(case, ask):
    return [a for a in case.arrivals if a["request"] == ask.id]


def lost(case, took):
    ask = first(case, "pull")
    ask.how, ask.ended_at = "closed", ask.sent_at + took


def overdue(case):
    ask = first(case, "pull")
    ask.how, ask.ended_at = "answered", ask.sent_at + 3


def not_run_but_ran(case):
    ask = first(case, "book")
    ask.status = 503


def storm(case):
    ask = first(case, "book")
    case.arrivals += [arrival(ask, "booking", began=False) for _ in range(80)]


def unasked(case):
    case.arrivals.append({**case.arrivals[0], "request": "stranger"})


def changed(case):
    case.arrivals[0]["target"] += "x"


def twice(case):
    ask = first(case, "book")
    case.arrivals.append(arrival(ask, "booking"))


def three_replicas(case):
    ask = first(case, "pull")
    case.arrivals += [arrival(ask, "archive", c) for c in "bc"]


def foreign_signature(case):
    ask = first(case, "sweep")
    ask.headers["part-stamps"] = ask.headers["part-stamps"].replace(
        f"s1-a.{ask.id}", "s1-a.q-other")


def hidden_gap(case):
    ask = first(case, "sweep")
    ask.headers["part-stamps"] = ", ".join(
        ask.headers["part-stamps"].split(", ")[1:])


def stray(case):
    first(case, "sweep").extra = b"HTTP/1.1 200"


def long_deadlines(case):
    for line in case.arrivals:
        line["waits_ms"] = 9000


def after_leaving(case):
    for ask in [a for a in case.history.asks if a.route == "pull"][:6]:
        ask.how, ask.ended_at = "left", ask.sent_at + 0.02
        for line in runs_of(case, ask):
            line["read_at"] = (ask.ended_at + 0.7) * 1000


def old_version(case):
    moved = {"routes": [{"name": "pull", "service": "s1"}]}
    case.history.versions.append((90.0, moved))


def denied(case):
    first(case, "pull").status = 404


def reverted(case):
    case.world.lines.append((1, '{"event":"config_installed","version":"2"}'))


def drained(case):
    case.history.draining["archive-a"] = 90.0


def evacuated(case):
    case.history.evacuations.append(("z-south", 90.0, 200.0))


def abroad(case):
    case.world.replicas = [{**r, "zone": "z-north"} for r in case.world.replicas]


def foreign_service(case):
    runs_of(case, first(case, "book"))[0]["service"] = "archive"


def key_shown(case):
    case.arrivals[0]["credentials"] = True


def organisation_forged(case):
    case.arrivals[0]["organisation"] = "forged"


def key_of_nobody(case):
    first(case, "pull").key = NEVER


def key_refused(case):
    first(case, "pull").status = 401


def above_quota(case):
    for n in range(80):
        ask = plain(1000 + n, 105, "pull", "archive")
        ask.key = "key-nord"
        case.history.asks.append(ask)
        case.arrivals.append(arrival(ask, "archive"))


def never_recovered(case):
    case.history.disturbances = [Disturbance("kill", "front-2", 80, 95)]
    for ask in case.history.asks:
        ask.status, ask.how = 502, "answered"


def nonsense_logged(case):
    case.world.lines.append((1, "Segmentation fault"))


def fault_logged(case):
    case.world.lines.append((1, '{"event": "internal_error", "why": "x"}'))


LIES = {
    "answers_are_right": [foreign_signature, hidden_gap, stray],
    "nothing_runs_unasked": [unasked, changed],
    "actions_run_at_most_once": [twice],
    "not_run_is_true": [not_run_but_ran],
    "attempts_are_bounded": [three_replicas],
    "retries_are_bounded": [storm],
    "deadlines_are_handed_on": [long_deadlines],
    "work_ends_when_the_caller_leaves": [after_leaving],
    "every_request_is_answered": [overdue],
    "planned_work_cuts_nobody": [lambda case: lost(case, 0.6),
                                 lambda case: lost(case, 0.1)],
    "configuration_is_in_force": [old_version, denied],
    "configuration_never_goes_back": [reverted],
    "leaving_replicas_are_left_alone": [drained],
    "evacuated_zones_get_nothing": [evacuated],
    "regions_are_kept": [abroad],
    "services_are_those_of_a_route": [foreign_service],
    "keys_are_not_passed_on": [key_shown, organisation_forged],
    "keys_taken_away_end": [key_of_nobody],
    "known_keys_are_served": [key_refused],
    "quotas_hold": [above_quota],
    "the_fleet_recovers": [never_recovered],
    "logs_can_be_read": [nonsense_logged],
    "no_fault_is_met": [fault_logged],
}


def said_by(check, case):
    return list(check(Case(case.history, case.world, case.arrivals)))


def main():
    bad = []
    checks = {check.__name__: check for check in CHECKS}
    if set(checks) != set(LIES):
        bad.append(f"checks without a lie: {set(checks) ^ set(LIES)}")
    for name, check in checks.items():
        said = said_by(check, good_case())
        if said:
            bad.append(f"{name} complains of a good history: {said[:2]}")
        for lie in LIES[name]:
            case = good_case()
            lie(case)
            if not said_by(check, case):
                bad.append(f"{name} did not see {lie.__name__}")
    if not said_while_disturbed():
        bad.append("a cut by an unplanned trouble is held against the daemon")
    print("\n".join(bad) or f"{len(checks)} checks see their lies")
    return 1 if bad else 0


def said_while_disturbed():
    """A connection lost to a kill is nobody's broken promise."""
    case = good_case()
    lost(case, 0.6)
    at = first(case, "pull").sent_at
    case.history.disturbances = [Disturbance("kill", "front-1", at, at + 1)]
    checks = {check.__name__: check for check in CHECKS}
    return not said_by(checks["planned_work_cuts_nobody"], copy.deepcopy(case))


if __name__ == "__main__":
    sys.exit(main())
