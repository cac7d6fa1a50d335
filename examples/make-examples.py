#!/usr/bin/env python3
"""Writes the example configurations of the three firms, at their sizes of today.

    examples/make-examples.py            writes them
    examples/make-examples.py --check    fails when a committed file differs

For each firm: services.json and presets.json (operators' documents),
upstreams.json (for upstream-standin), hosts.json (for platform-standin) and
entry-N.json (settings of its six daemons). both/ has presets, hosts and
settings of one fleet of six that serves the first two firms, for machines where twelve
daemons are too many. The files are committed; run this again after a change
here.
"""

import json
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
PLATFORM = "127.0.1.200:7300"
HTTP_PORT, GOSSIP_PORT, RPC_PORT = 7100, 7101, 7102
FIRST_UPSTREAM_PORT = 8001
# A planned stop lasts at least this long. The default of 10 s would make the
# demo's stops dull to watch.
ENTRY_VALIDITY_MS = 3000

# group, prefix, services, replicas, slots, connections, connect_ms, service_ms
FIRMS = {
    "khan-uul": {
        "region": "mn",
        "zones": {
            "ulaanbaatar": "127.0.1.101",
            "darkhan": "127.0.1.102",
            "erdenet": "127.0.1.103",
        },
        "groups": [
            ("underwriting-desk", "uw", 10, 3, 2, 25, 6, 4),
            ("claims-ledger", "claims", 15, 3, 2, 25, 6, 4),
            ("policy-archive", "archive", 1, 5, 6, 100, 1, 8),
            ("broker-portal", "portal", 1, 3, 6, 100, 1, 8),
        ],
    },
    "banlangd": {
        "region": "se",
        "zones": {
            "svealand": "127.0.1.111",
            "gotaland": "127.0.1.112",
            "norrland": "127.0.1.113",
        },
        "groups": [
            ("swimmer-app", "swim", 10, 3, 3, 30, 6, 4),
            ("hall-desk", "hall", 15, 3, 3, 30, 6, 4),
            ("club-desk", "club", 1, 20, 3, 40, 1, 8),
            ("payments", "pay", 1, 9, 3, 40, 1, 8),
        ],
    },
    "vloerkaart": {
        "region": "za",
        "zones": {
            "wc-a": "127.0.1.121",
            "gp-a": "127.0.1.122",
            "kzn-a": "127.0.1.123",
        },
        "groups": [
            ("robot-nav", "nav", 10, 3, 2, 25, 6, 4),
            ("owner-app", "owner", 15, 3, 2, 25, 6, 4),
            ("support-desk", "support", 1, 5, 4, 96, 1, 8),
            ("map-ingest", "ingest", 1, 3, 4, 96, 1, 8),
        ],
    },
}
# One fleet for two firms, where twelve daemons are too many.
BOTH = ["khan-uul", "banlangd"]

# Names that callers read when one is missing: two books or pools a service.
BOOKS = {
    "underwriting-desk": ("bonds", "arrears"),
    "claims-ledger": ("claims", "defaults"),
    "policy-archive": ("policies", "endorsements"),
    "broker-portal": ("quotes", "commissions"),
    "swimmer-app": ("lanes", "lessons"),
    "hall-desk": ("pool", "sauna"),
    "club-desk": ("training-blocks", "meets"),
    "payments": ("bookings", "refunds"),
    "robot-nav": ("layouts", "docks"),
    "owner-app": ("floor-maps", "no-go-lines"),
    "support-desk": ("home-records", "calls"),
    "map-ingest": ("uploads", "merges"),
}
# The last three underwriting services hold books of acquired houses.
LEGACY = {8: "legacy-altai", 9: "legacy-selenge", 10: "legacy-orkhon"}


def policy(priority, deadline_ms, coverage, partial_after_ms=0, queue_limit=64,
           queue_wait_ms=100, hedges=5, retries=10):
    return {
        "priority": priority,
        "deadline_ms": deadline_ms,
        "coverage": coverage,
        "partial_after_ms": partial_after_ms,
        "queue_limit": queue_limit,
        "queue_wait_ms": queue_wait_ms,
        "hedge_budget_percent": hedges,
        "retry_budget_percent": retries,
    }


# Khan-Uul weighs coverage most, Banlangd tail latency most.
CLASSES = {
    "khan-uul": {
        "tender-clerk": policy(1, 800, "full"),
        "adjuster": policy(2, 600, "partial", 400),
        "underwriter": policy(2, 1500, "full", queue_wait_ms=300),
        "routine-pull": policy(8, 20000, "full", queue_limit=1024,
                               queue_wait_ms=10000, hedges=0),
    },
    "banlangd": {
        "reception-desk": policy(0, 250, "partial", 120, queue_wait_ms=30),
        "swimmer": policy(4, 300, "partial", 150, queue_wait_ms=50),
        "coach": policy(1, 800, "full"),
        "hall-staff": policy(3, 500, "partial", 300),
    },
    # A robot that waits bumps about blind: a near match now is worth more than
    # all of them later. A home's record is one, whole or not at all.
    "vloerkaart": {
        "robot": policy(1, 2000, "partial", 110, queue_wait_ms=30),
        "layout-match": policy(2, 2500, "partial", 140, queue_wait_ms=30),
        "home-owner": policy(3, 5000, "full", queue_wait_ms=100),
        "support": policy(4, 5000, "full", queue_wait_ms=200),
    },
}


def at_peak(name, ordinary):
    """Less waiting, fewer hedges, earlier partial answers."""
    changed = dict(ordinary)
    changed["hedge_budget_percent"] = min(2, ordinary["hedge_budget_percent"])
    changed["retry_budget_percent"] = 5
    if ordinary["coverage"] == "partial":
        changed["partial_after_ms"] = ordinary["partial_after_ms"] * 2 // 3
    if ordinary["priority"] >= 4 and name != "routine-pull":
        changed["queue_limit"] = 32
    return changed


def in_maintenance(_name, ordinary):
    """Replicas come and go: more patience, more retries, no hedges."""
    changed = dict(ordinary)
    changed["deadline_ms"] = min(30000, ordinary["deadline_ms"] * 2)
    changed["partial_after_ms"] = ordinary["partial_after_ms"] * 2
    changed["hedge_budget_percent"] = 0
    changed["retry_budget_percent"] = 20
    return changed


def presets(firms):
    classes = {}
    for firm in firms:
        classes.update(CLASSES[firm])
    kinds = [
        ("ordinary-day", lambda _n, p: dict(p), 0.95, 34),
        ("peak", at_peak, 0.98, 34),
        ("maintenance", in_maintenance, 0.99, 50),
    ]
    return [
        {
            "kind": "preset",
            "name": name,
            "classes": {c: change(c, p) for c, p in classes.items()},
            "hedge_quantile": quantile,
            "eject_max_percent": eject,
        }
        for name, change, quantile, eject in kinds
    ]


def books_of(group, service, number):
    first, second = BOOKS[group]
    if group == "underwriting-desk" and number in LEGACY:
        return [f"{LEGACY[number]}-{first}", f"{LEGACY[number]}-{second}"]
    return [f"{service}-{first}", f"{service}-{second}"]


def sibling_of(prefix, number, count):
    other = number + 1 if number % 2 else number - 1
    return f"{prefix}-{other:02}" if other <= count else ""


def firm_documents(firm):
    shape = FIRMS[firm]
    zones = list(shape["zones"].items())
    operators, standins = [], []
    port = FIRST_UPSTREAM_PORT
    for group, prefix, count, replicas, slots, conns, connect, ms in shape["groups"]:
        for number in range(1, count + 1):
            service = f"{prefix}-{number:02}" if count > 1 else group
            books = books_of(group, service, number)
            operators.append({
                "kind": "service", "tenant": firm, "group": group,
                "name": service, "books": books,
            })
            for replica in range(replicas):
                zone, address = zones[replica % len(zones)]
                name = f"{service}-{chr(ord('a') + replica)}"
                operators.append({
                    "kind": "upstream", "tenant": firm, "group": group,
                    "service": service, "name": name,
                    "address": f"{address}:{port}", "zone": zone,
                    "slots": slots, "connections": conns,
                })
                standins.append({
                    "name": name, "service": service,
                    "sibling": sibling_of(prefix, number, count) if count > 1 else "",
                    "address": f"{address}:{port}", "zone": zone,
                    "books": books, "slots": slots, "connections": conns,
                    "connect_ms": connect, "service_ms": ms, "seed": port,
                    "straggle_one_in": 100, "straggle_factor": [10, 30],
                    "index_versions": [41], "partition_version": 7,
                })
                port += 1
    return operators, standins


def fleet_of_six(firms):
    """Two daemons in each zone of one firm, or one in each zone of both."""
    places = [(zone, FIRMS[firm]["region"])
              for firm in firms for zone in FIRMS[firm]["zones"]]
    places *= 6 // len(places)
    ips = [f"127.0.1.{n}" for n in range(1, 7)]
    settings, hosts = [], []
    for (zone, region), ip in zip(places, ips):
        host = f"entry-{ip.rsplit('.', 1)[1]}"
        settings.append({
            "host": host, "zone": zone, "region": region,
            "http": f"{ip}:{HTTP_PORT}", "gossip": f"{ip}:{GOSSIP_PORT}",
            "rpc": f"{ip}:{RPC_PORT}", "platform": [PLATFORM],
            "peers": [f"{other}:{GOSSIP_PORT}" for other in ips if other != ip],
            "log_level": "info",
            "entry_validity_ms": ENTRY_VALIDITY_MS,
        })
        hosts.append({
            "host": host, "ip": ip, "http_port": HTTP_PORT,
            "gossip_port": GOSSIP_PORT, "rpc_port": RPC_PORT, "zone": zone,
            "region": region, "state": "live", "kind": "entry",
        })
    return settings, hosts


def text_of(value):
    """One line for each element of a list, so that a diff shows one object."""
    if isinstance(value, list):
        lines = ",\n".join(json.dumps(one) for one in value)
        return f"[\n{lines}\n]\n"
    return json.dumps(value, indent=2) + "\n"


def write(path, value):
    path = HERE / path
    if "--check" in sys.argv:
        if path.read_text() != text_of(value):
            sys.exit(f"{path} differs from what make-examples.py writes")
        return
    path.parent.mkdir(exist_ok=True)
    path.write_text(text_of(value))


def write_fleet(folder, firms):
    settings, hosts = fleet_of_six(firms)
    write(f"{folder}/presets.json", presets(firms))
    write(f"{folder}/hosts.json", {"hosts": hosts})
    for number, one in enumerate(settings, 1):
        write(f"{folder}/entry-{number}.json", one)


def main():
    for firm in FIRMS:
        operators, standins = firm_documents(firm)
        write(f"{firm}/services.json", operators)
        write(f"{firm}/upstreams.json", standins)
        write_fleet(firm, [firm])
    write_fleet("both", BOTH)


if __name__ == "__main__":
    main()
