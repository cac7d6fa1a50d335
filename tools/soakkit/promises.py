"""The promises of the users' pages, judged by what callers and replicas saw.

Each check takes a Case and yields complaints. A promise with a time bound is
judged only where nothing unplanned happened to those concerned in the seconds
before, and where this machine itself was not late.
"""

import dataclasses
import json

from deployment import (DRAIN_MS, EVACUATION_MS, RETRY_CONSTANT, RETRY_RATIO,
                        RETRY_WINDOW_S, ZONES)
from soakkit import organisations
from soakkit.records import links_of, windows

NOT_RUN = (408, 421, 429, 503)
CALM_BEFORE = 4.0       # Seconds without disturbance before a bound holds.
CONFIG_SECONDS = 3.0
REGRESS_SECONDS = 0.25
LOSS_SLACK = 0.2        # A request that crosses a close may be lost.
GONE_SECONDS = 0.5
ANSWER_SLACK = 0.8      # After the deadline, with the ways to and from.
HANDED_SLACK = 0.5      # A replica may be told this much more than is left.
FEW = 3                 # Chance events that the pages allow.
RECORD = 16
LEAST_SERVED = 0.5      # Part of the requests, once the troubles are over.


@dataclasses.dataclass
class Case:
    history: object
    world: object
    arrivals: list

    def __post_init__(self):
        self.asks = {ask.id: ask for ask in self.history.asks}
        self.runs = {}
        for arrival in self.arrivals:
            if arrival["began_at"] > 0:
                self.runs.setdefault(arrival["request"], []).append(arrival)

    def calm(self, ask, end, planned=True, more=()):
        """Nothing happened to the request's daemon or its links, and the
        machine was in time."""
        whom = links_of(ask.daemon).union(more)
        start = ask.sent_at - CALM_BEFORE
        return not (self.history.disturbed(whom, start, end, planned)
                    or self.history.late_machine(start, end))


def hash_of(text):
    value = 0xcbf29ce484222325
    for byte in text.encode():
        value = (value ^ byte) * 0x100000001b3 & 0xffffffffffffffff
    return value


def records_of(service, request, count=4):
    return [f"{hash_of(f'{service}/{request}/{n}'):016x}".encode()
            for n in range(count)]


def service_of(replica):
    return replica.split("-")[0]


def route_of(document, name):
    return next((r for r in document["routes"] if r["name"] == name), None)


# Answers ---------------------------------------------------------------------


def answers_are_right(case):
    for ask in case.history.asks:
        if ask.extra:
            yield f"{ask.id}: {len(ask.extra)} bytes behind its answer"
        if ask.how != "answered" or not 200 <= ask.status < 300:
            continue
        wrong = (wrong_merge(case, ask) if ask.route in ("sweep", "check")
                 else wrong_pass(case, ask))
        if wrong:
            yield f"{ask.id}: {wrong}"


def signatures(ask, name):
    return [s.strip() for s in ask.headers.get(name, "").split(",") if s.strip()]


def wrong_merge(case, ask):
    shards = set(case.world.shards)
    top = 10 if ask.route == "sweep" else 3
    least = 0.75 if ask.route == "sweep" else 0.5
    named = signatures(ask, "part-stamps")
    parts = [s.split(".") for s in named]
    if any(len(p) != 3 or p[1] != ask.id for p in parts):
        return f"signatures of other requests: {named}"
    services = [service_of(p[0]) for p in parts]
    missing = int(ask.headers.get("missing-parts", 0))
    if len(set(services)) != len(services) or not set(services) <= shards:
        return f"parts of {services}"
    if len(services) + missing != len(shards):
        return f"{len(services)} parts and {missing} missing"
    if not services or len(services) / len(shards) < least:
        return f"a success of {len(services)} parts"
    all_records = [r for s in services for r in records_of(s, ask.id)]
    if ask.content != b"".join(sorted(all_records, reverse=True)[:top]):
        return "not the greatest records of the parts that it names"
    return None


def wrong_pass(_case, ask):
    stamp = ask.headers.get("server-stamp", "").split(".")
    if len(stamp) != 3 or stamp[1] != ask.id:
        return f"the signature {stamp}"
    wanted = b"".join(records_of(service_of(stamp[0]), ask.id))
    return None if ask.content == wanted else "not the replica's whole body"


# Runs ------------------------------------------------------------------------


def nothing_runs_unasked(case):
    for arrival in case.arrivals:
        ask = case.asks.get(arrival["request"])
        if ask is None:
            yield f"nobody sent {arrival['request']}"
        elif ((arrival["method"], arrival["target"], arrival["body"])
              != (ask.method, ask.target, ask.body)):
            yield f"{ask.id} arrived changed: {arrival}"


def actions_run_at_most_once(case):
    for ask in case.history.asks:
        runs = len(case.runs.get(ask.id, []))
        if ask.route == "book" and runs > 1:
            yield f"{ask.id} ran {runs} times"


def not_run_is_true(case):
    for ask in case.history.asks:
        runs = case.runs.get(ask.id, [])
        if ask.how == "answered" and ask.status in NOT_RUN and runs:
            yield (f"{ask.id} was answered {ask.status} and ran at "
                   f"{[run['replica'] for run in runs]}")


def attempts_are_bounded(case):
    for request, runs in case.runs.items():
        for service in {run["service"] for run in runs}:
            replicas = {r["replica"] for r in runs if r["service"] == service}
            if len(replicas) > 2:
                yield f"{request} ran at {sorted(replicas)}"


def retries_are_bounded(case):
    """In every window, over all daemons: arrivals beyond the first of each
    request against a part of the requests and a constant."""
    requests = {}
    for ask in case.history.asks:
        for service in wanted_services(case, ask):
            requests.setdefault(service, []).append(ask.sent_at)
    seen, extra = set(), {}
    for arrival in sorted(case.arrivals, key=lambda a: a["read_at"]):
        key = (arrival["request"], arrival["service"])
        if key in seen:
            extra.setdefault(key[1], []).append(arrival["read_at"] / 1000)
        seen.add(key)
    for service, times in extra.items():
        sent = requests.get(service, [])
        for start, count in windows(times, RETRY_WINDOW_S):
            base = max(sum(begin <= at <= begin + RETRY_WINDOW_S for at in sent)
                       for begin in (start, start - RETRY_WINDOW_S / 2,
                                     start - RETRY_WINDOW_S))
            if count > RETRY_RATIO * base + RETRY_CONSTANT:
                yield f"{service}: {count} extra arrivals for {base} requests"
                break


def wanted_services(case, ask):
    if ask.route in ("sweep", "check"):
        return case.world.shards
    if ask.route == "book":
        return ["booking"]
    return ["archive", "s1"]


def deadlines_are_handed_on(case):
    late = []
    for arrival in case.arrivals:
        ask = case.asks.get(arrival["request"])
        if ask is None:
            continue
        end = arrival["read_at"] / 1000 + arrival["waits_ms"] / 1000
        over = end > ask.sent_at + ask.deadline + HANDED_SLACK
        if arrival["waits_ms"] < 0 or over and case.calm(
                ask, arrival["read_at"] / 1000, more=link_of(case, arrival)):
            late.append(arrival)
    if len(late) > FEW:
        yield f"{len(late)} sends with too long a deadline: {late[:3]}"


def link_of(case, arrival):
    return {f"replica {r['address']}" for r in case.world.replicas
            if r["id"].split("-", 1)[0] == arrival["service"]}


def work_ends_when_the_caller_leaves(case):
    late = []
    for ask in case.history.asks:
        if ask.how != "left":
            continue
        for arrival in case.arrivals:
            if arrival["request"] != ask.id:
                continue
            after = arrival["read_at"] / 1000 - ask.ended_at
            if after > GONE_SECONDS and case.calm(
                    ask, ask.ended_at + after, more=link_of(case, arrival)):
                late.append(arrival)
    if len(late) > FEW:
        yield f"{len(late)} sends after their callers had left: {late[:3]}"


# Connections -----------------------------------------------------------------


def every_request_is_answered(case):
    """In time, unless something unplanned happened to the daemon."""
    for ask in case.history.asks:
        took = ask.ended_at - ask.sent_at
        if ask.how in ("left", "open"):
            continue
        if took > ask.deadline + ANSWER_SLACK and case.calm(
                ask, ask.ended_at, planned=False):
            yield f"{ask.id}: {ask.how} after {took:.2f} s by front-{ask.daemon}"


def planned_work_cuts_nobody(case):
    """A connection that ends without an answer, later than a close can cross a
    request, with nothing unplanned near the daemon."""
    for ask in case.history.asks:
        if ask.how not in ("closed", "reset"):
            continue
        took = ask.ended_at - ask.sent_at
        ran = case.runs.get(ask.id)
        if (took > LOSS_SLACK or ran) and case.calm(ask, ask.ended_at,
                                                    planned=False):
            yield (f"{ask.id}: {ask.how} after {took:.2f} s by "
                   f"front-{ask.daemon}, ran: {bool(ran)}")


# Configuration and replicas ---------------------------------------------------


def configuration_is_in_force(case):
    for ask in case.history.asks:
        if ask.how != "answered" or ask.route != "pull":
            continue
        if ask.status == 404:
            yield f"{ask.id}: 404 for a route that every version has"
        allowed = {route_of(doc, "pull")["service"]
                   for doc in possible_versions(case, ask)}
        for run in case.runs.get(ask.id, []):
            if run["service"] not in allowed and case.calm(ask, ask.ended_at):
                yield f"{ask.id} ran at {run['service']}, not of {allowed}"


def possible_versions(case, ask):
    """The versions by which a request may be handled: the newest that was
    acknowledged long enough before, and all later ones."""
    due = [doc for at, doc in case.history.versions
           if at < ask.sent_at - CONFIG_SECONDS]
    later = [doc for at, doc in case.history.versions
             if at >= ask.sent_at - CONFIG_SECONDS]
    return due[-1:] + later


def configuration_never_goes_back(case):
    """By what the daemons wrote of themselves: versions installed only grow in
    one life."""
    newest = {}
    for n, line in case.world.log_lines():
        event = read_line(line)
        if event.get("event") == "started":
            newest[n] = 0
        if event.get("event") != "config_installed":
            continue
        version = int(event["version"])
        if version <= newest.get(n, 0):
            yield f"front-{n} went from version {newest[n]} to {version}"
        newest[n] = version


def leaving_replicas_are_left_alone(case):
    for arrival in case.arrivals:
        since = case.history.draining.get(arrival["replica"])
        ask = case.asks.get(arrival["request"])
        if since is None or ask is None or arrival["how"] == "misled":
            continue
        late = arrival["read_at"] / 1000 - since - DRAIN_MS / 1000
        if late > 0 and case.calm(ask, arrival["read_at"] / 1000,
                                  more=link_of(case, arrival)):
            yield f"{ask.id} reached {arrival['replica']} {late:.2f} s too late"


def evacuated_zones_get_nothing(case):
    zones = {r["id"]: r["zone"] for r in case.world.replicas}
    for arrival in case.arrivals:
        ask = case.asks.get(arrival["request"])
        if ask is None or arrival["how"] == "misled":
            continue
        at = arrival["read_at"] / 1000
        for zone, ordered_at, back_from in case.history.evacuations:
            late = at - ordered_at - EVACUATION_MS / 1000
            if (zones.get(arrival["replica"]) == zone and late > 0
                    and at < back_from
                    and case.calm(ask, at, more=link_of(case, arrival))):
                yield f"{ask.id} reached {arrival['replica']} {late:.2f} s too late"


def regions_are_kept(case):
    regions = {r["id"]: dict(ZONES)[r["zone"]] for r in case.world.replicas}
    allowed = {route["name"]: route.get("allowed_regions")
               for _, document in case.history.versions
               for route in document["routes"]}
    for arrival in case.arrivals:
        ask = case.asks.get(arrival["request"])
        region = regions.get(arrival["replica"])
        if ask is None or region is None or not allowed.get(ask.route):
            continue
        if region not in allowed[ask.route] and arrival["how"] != "misled":
            yield f"{ask.id} on {ask.route} reached {arrival['replica']} in {region}"


def services_are_those_of_a_route(case):
    for request, runs in case.runs.items():
        ask = case.asks.get(request)
        if ask is None:
            continue
        wrong = {r["service"] for r in runs} - set(wanted_services(case, ask))
        if wrong:
            yield f"{request} ran at {wrong}"


# Organisations ---------------------------------------------------------------


def keys_taken_away_end(case):
    yield from organisations.keys_taken_away_end(case, possible_versions)


def known_keys_are_served(case):
    yield from organisations.known_keys_are_served(case, possible_versions)


# The fleet -------------------------------------------------------------------


def the_fleet_recovers(case):
    """Some seconds after the last disturbance requests are served again."""
    calm_from = max([d.end for d in case.history.disturbances
                     if d.end != float("inf")], default=0) + CALM_BEFORE
    last = [a for a in case.history.asks if a.sent_at > calm_from
            and a.how not in ("open", "left") and a.status not in (401, 429)]
    served = sum(a.how == "answered" and a.status == 200 for a in last)
    if len(last) >= 20 and served < LEAST_SERVED * len(last):
        yield f"only {served} of {len(last)} served after the last disturbance"


def logs_can_be_read(case):
    for n, line in case.world.log_lines():
        event = read_line(line)
        if "event" not in event:
            yield f"front-{n} wrote a line that is no event: {line[:200]}"


def no_fault_is_met(case):
    """A fault costs one request instead of the process, and is a fault still."""
    for n, line in case.world.log_lines():
        if read_line(line).get("event") == "internal_error":
            yield f"front-{n} met a fault of its own: {line[:300]}"


def read_line(line):
    try:
        value = json.loads(line)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


CHECKS = (answers_are_right, nothing_runs_unasked, actions_run_at_most_once,
          not_run_is_true, attempts_are_bounded, retries_are_bounded,
          deadlines_are_handed_on, work_ends_when_the_caller_leaves,
          every_request_is_answered, planned_work_cuts_nobody,
          configuration_is_in_force, configuration_never_goes_back,
          leaving_replicas_are_left_alone, evacuated_zones_get_nothing,
          regions_are_kept, services_are_those_of_a_route,
          organisations.keys_are_not_passed_on, keys_taken_away_end,
          known_keys_are_served, organisations.quotas_hold,
          the_fleet_recovers, logs_can_be_read, no_fault_is_met)


def judge(case):
    """(check's name, complaint) of every promise that was broken."""
    found = [("while running", text) for text in case.history.complaints]
    for check in CHECKS:
        found += [(check.__name__, text) for text in check(case)]
    return found
