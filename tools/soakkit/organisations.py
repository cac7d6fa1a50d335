"""The organisations of the soak's callers, and what must hold for them."""

from soakkit.records import windows

# Name: keys, requests per second, burst. 0 requests per second: no limit. The
# callers of the last send more than it may.
ORGANISATIONS = {"acme": (["key-acme"], 0, 0),
                 "blue": (["key-blue-1", "key-blue-2"], 0, 0),
                 "nord": (["key-nord"], 8, 8)}
SOMETIMES = "key-blue-2"  # Half of the versions have it.
NEVER = "key-of-nobody"
QUOTA_WINDOW_S, QUOTA_OVERAGE, QUOTA_SLACK = 5, 0.1, 20


def documents(version):
    """What the configuration says of them."""
    return [{"name": name,
             "api_keys": [k for k in keys if k != SOMETIMES or version % 2],
             "rate_per_s": rate, "burst": burst}
            for name, (keys, rate, burst) in ORGANISATIONS.items()]


def keys_of(number):
    """The keys that caller \\p number uses."""
    names = list(ORGANISATIONS)
    return ORGANISATIONS[names[number % len(names)]][0]


def holder(document, key):
    for organisation in document.get("tenants", []):
        if key in organisation["api_keys"]:
            return organisation["name"]
    return None


def keys_are_not_passed_on(case):
    for arrival in case.arrivals:
        ask = case.asks.get(arrival["request"])
        if ask is None or not ask.key:
            continue
        if arrival["credentials"]:
            yield f"{ask.id}: {arrival['replica']} was shown its key"
        wanted = {holder(doc, ask.key) for _, doc in case.history.versions}
        if arrival["organisation"] not in wanted - {None}:
            yield (f"{ask.id} arrived as of {arrival['organisation']!r}, "
                   f"its key is held by {wanted}")


def keys_taken_away_end(case, possible_versions):
    for ask in case.history.asks:
        if not ask.key or ask.id not in case.runs:
            continue
        known = any(holder(doc, ask.key) for doc in possible_versions(case, ask))
        if not known and case.calm(ask, ask.ended_at):
            yield f"{ask.id} ran with a key that was taken away"


def known_keys_are_served(case, possible_versions):
    for ask in case.history.asks:
        if ask.how != "answered" or ask.status != 401:
            continue
        if all(holder(doc, ask.key) for doc in possible_versions(case, ask)):
            yield f"{ask.id}: 401 for a key that every version has"


def quotas_hold(case):
    """In every window, over all daemons, the requests that ran."""
    times = {}
    for request, runs in case.runs.items():
        ask = case.asks.get(request)
        if ask is not None and ask.key:
            first = min(run["began_at"] for run in runs) / 1000
            times.setdefault(runs[0]["organisation"], []).append(first)
    for name, (_, rate, burst) in ORGANISATIONS.items():
        most = ((rate * QUOTA_WINDOW_S + burst) * (1 + QUOTA_OVERAGE)
                + QUOTA_SLACK)
        for start, count in windows(times.get(name, []), QUOTA_WINDOW_S):
            if rate and count > most:
                yield f"{name}: {count} requests ran from {start:.2f} on"
                break
