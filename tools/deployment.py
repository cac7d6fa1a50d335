"""Front daemons with the stand-ins of the users' platform, on loopback.

    with Deployment(build, "127.0.41", daemons=3) as deployment:
        deployment.put_config(deployment.config(7))
        deployment.start_daemons()

Daemon N has the address NET.N, the store NET.200, replica N NET.(100+N). Zones
are dealt in turn. A subclass may put a proxy between any two parties: it overrides
store_for(), registered() and caller_address().
"""

import json
import pathlib

from fleet import call, wait_until
from processes import Processes

ZONES = [("z-south", "r-south"), ("z-mid", "r-mid"), ("z-north", "r-north")]
CALLERS, READINESS, DIRECTORY, PEERS = 8226, 8227, 8225, 8224
GOSSIP, QUOTAS, METRICS, STORE, CONTROL, REPLICA = (
    7740, 7741, 9180, 8229, 7300, 8080)
READY_SECONDS = 30
HOST = "search.example"

# What the users' platform promises its callers; the daemons are told the same.
GRACE_S, DRAIN_MS, EVACUATION_MS = 6, 3000, 2000
HEARTBEAT_S = 1.2
RETRY_RATIO, RETRY_WINDOW_S, RETRY_CONSTANT = 0.2, 10, 52


class Deployment(Processes):
    def __init__(self, build, net, daemons=3, shards=4, copies=3, work_ms=5,
                 pause_ms=0, seed=1):
        super().__init__()
        self.build = pathlib.Path(build)
        self.net = net
        self.daemons = daemons
        self.shards = [f"s{n}" for n in range(1, shards + 1)]
        self.copies = copies
        self.work_ms = work_ms
        self.pause_ms = pause_ms
        self.seed = seed
        self.store = f"{net}.200:{STORE}"
        self.control_at = f"{net}.200:{CONTROL}"
        self.replicas = self.plan_replicas()

    # Addresses ------------------------------------------------------------

    def ip(self, n):
        return f"{self.net}.{n}"

    def store_for(self, _daemon):
        return self.store

    def registered(self, _replica, address):
        return address

    def caller_address(self, n):
        return f"{self.ip(n)}:{CALLERS}"

    def zone(self, n):
        return ZONES[(n - 1) % len(ZONES)]

    # Files ----------------------------------------------------------------

    def services(self):
        return [*self.shards, "archive", "booking"]

    def plan_replicas(self):
        plan = []
        for service in self.services():
            for copy in range(self.copies):
                number = len(plan) + 1
                address = f"{self.ip(100 + number)}:{REPLICA}"
                plan.append({"id": f"{service}-{'abcdef'[copy]}",
                             "service": service, "address": address,
                             "zone": ZONES[copy % len(ZONES)][0],
                             "work_ms": self.work_ms, "seed": self.seed,
                             "pause_ms": self.pause_ms})
        for replica in plan:
            replica["registered"] = self.registered(replica, replica["address"])
        return plan

    def settings(self, n):
        zone, region = self.zone(n)
        at = self.ip(n)
        doc = {"host": f"front-{n}", "zone": zone, "region": region,
               "callers": f"{at}:{CALLERS}", "readiness": f"{at}:{READINESS}",
               "directory": f"{at}:{DIRECTORY}", "peers": f"{at}:{PEERS}",
               "gossip": f"{at}:{GOSSIP}", "quotas": f"{at}:{QUOTAS}",
               "metrics": f"{at}:{METRICS}",
               "store": self.store_for(n),
               "seeds": [f"{self.ip(s)}:{PEERS}"
                         for s in range(1, min(3, self.daemons) + 1)],
               "zones": dict(ZONES), "stop_grace_s": GRACE_S,
               "drain_ms": DRAIN_MS, "entry_validity_s": 5, "cpu_share": 0.25,
               "cores": 1, "retry_ratio": RETRY_RATIO,
               "retry_window_s": RETRY_WINDOW_S,
               "retry_constant": RETRY_CONSTANT,
               "evacuation_ms": EVACUATION_MS, **self.limits()}
        path = self.path(f"front-{n}.json")
        path.write_text(json.dumps(doc))
        return str(path)

    def limits(self):
        """Further bounds in the settings of the daemons."""
        return {}

    def config(self, version, archive="archive", more=()):
        """Two searches over all shards, a read of one replica, an action."""
        def route(name, kind, timeout, objective, **target):
            return {"name": name, "host": HOST, "path_prefix": f"/{name}/",
                    "kind": kind, "timeout_ms": timeout,
                    "target_latency_ms": objective, "priority": 1,
                    "max_attempts": 2, **target}
        routes = [
            route("sweep", "safe", 800, 120, fan_out_services=self.shards,
                  top_k=10, min_shard_share=0.75),
            route("check", "safe", 500, 80, fan_out_services=self.shards,
                  top_k=3, min_shard_share=0.5),
            route("pull", "safe", 2500, 400, service=archive),
            route("book", "unsafe", 1500, 300, service="booking"),
            *(route(name, "safe", 2500, 400, service="archive")
              for name in more)]
        return {"version": version, "routes": routes,
                "services": [{"name": name, "health_path": "/health",
                              "max_connections": 25, "protocol": "h1",
                              "tls": False} for name in self.services()],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                           "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}

    # Processes ------------------------------------------------------------

    def start(self):
        config = self.path("standin.json")
        config.write_text(json.dumps(
            {"store": self.store, "replicas": self.replicas}))
        self.spawn("standin", self.build / "standins/deployment-standin",
                   "--listen", self.control_at, "--config", config)
        wait_until("stand-ins", 10, lambda: self.get("counts"))

    def start_daemon(self, n, settings=None):
        self.spawn(f"front-{n}", self.build / "programs/shallotshiftd",
                   "--front", settings or self.settings(n))

    def ready(self, n):
        return call(f"{self.ip(n)}:{READINESS}", "GET", "/readiness",
                    seconds=1)[0] == 200

    def start_daemons(self):
        for n in range(1, self.daemons + 1):
            self.start_daemon(n)
        for n in range(1, self.daemons + 1):
            wait_until(f"front-{n} is ready", READY_SECONDS,
                       lambda n=n: self.ready(n))

    def signal(self, n, what):
        self.children[f"front-{n}"].send_signal(what)

    # The operator and the platform ------------------------------------------

    def put_config(self, doc):
        status, answer = call(self.store, "PUT", "/objects/config/main",
                              {"meta": {"name": "main"}, "spec": doc})
        if status != 200:
            raise RuntimeError(f"the store refused a configuration: {answer}")

    def evacuate(self, zone):
        status, answer = call(self.store, "PUT", f"/objects/evacuations/{zone}",
                              {"meta": {"name": zone}, "spec": {}})
        if status != 200:
            raise RuntimeError(f"the store refused an evacuation: {answer}")

    def take_back(self, zone):
        status, answer = call(self.store, "DELETE",
                              f"/objects/evacuations/{zone}")
        if status not in (200, 404):
            raise RuntimeError(f"the store kept an evacuation: {answer}")

    def get(self, what):
        return call(self.control_at, "GET", f"/control/{what}", seconds=30)[1]

    def order(self, what, **fields):
        status, answer = call(self.control_at, "POST", f"/control/{what}", fields)
        if status != 200:
            raise RuntimeError(f"{what} {fields}: {answer}")

    def order_store(self, **fields):
        self.order("store", **fields)

    def order_replica(self, replica, **fields):
        self.order("replicas", replica=replica, **fields)

    def arrivals(self, since=0):
        return self.get(f"arrivals?since={since}")

    def resolve(self, n, zone, region):
        return call(f"{self.ip(n)}:{DIRECTORY}", "GET",
                    f"/resolve?name={HOST}&region={region}&zone={zone}",
                    seconds=1)
