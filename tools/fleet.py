"""A fleet of daemons with its stand-ins on loopback, for experiments.

    with Fleet(build, daemons=12, net="127.0.31") as fleet:
        fleet.configure()
        fleet.use_preset("peak")

Daemons get the addresses NET.1, NET.2, ...; zones and regions are dealt in
turn. The programs start no processes; this does, and it ends each by its id.
"""

import http.client
import json
import os
import pathlib
import signal
import subprocess
import time

from processes import Processes

ROOT = pathlib.Path(__file__).resolve().parents[1]
ZONES = [("ulaanbaatar", "mn"), ("darkhan", "mn"), ("erdenet", "mn"),
         ("svealand", "se"), ("gotaland", "se"), ("norrland", "se")]
EXAMPLE_NET = "127.0.1."
CALL_SECONDS = 5
TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")


def call(address, method, path, body=None, headers=None, seconds=CALL_SECONDS):
    """Status and parsed body (or text) of one request."""
    connection = http.client.HTTPConnection(address, timeout=seconds)
    try:
        payload = None if body is None else json.dumps(body)
        connection.request(method, path, payload, {
            "Content-Type": "application/json", **(headers or {})})
        reply = connection.getresponse()
        text = reply.read().decode()
    finally:
        connection.close()
    try:
        return reply.status, json.loads(text)
    except ValueError:
        return reply.status, text


def wait_until(what, seconds, check, pause=0.05):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if check():
                return
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(pause)
    raise RuntimeError(f"not within {seconds} s: {what}")


class Fleet(Processes):
    def __init__(self, build, daemons=6, net="127.0.31", zones=6,
                 validity_ms=3000, firm="khan-uul", strategy="full"):
        super().__init__()
        self.build = pathlib.Path(build)
        self.net = net
        self.count = daemons
        self.firm = firm
        self.zones = ZONES[:zones]
        self.validity_ms = validity_ms
        self.strategy = strategy
        self.platform = f"{net}.200:7300"
        self.upstreams = f"{net}.201:7400"

    # Names and files ------------------------------------------------------

    def entry(self, n):
        return f"{self.net}.{n}:7100"

    def entries(self):
        return [self.entry(n) for n in range(1, self.count + 1)]

    def settings(self, n):
        zone, region = self.zones[(n - 1) % len(self.zones)]
        seeds = [f"{self.net}.{p}:7101" for p in range(1, min(self.count, 6) + 1)
                 if p != n]
        doc = {"host": f"entry-{n}", "zone": zone, "region": region,
               "http": self.entry(n), "gossip": f"{self.net}.{n}:7101",
               "rpc": f"{self.net}.{n}:7102", "platform": [self.platform],
               "peers": seeds, "log_level": "info",
               "entry_validity_ms": self.validity_ms,
               "strategy": self.strategy}
        path = self.path(f"entry-{n}.json")
        path.write_text(json.dumps(doc))
        return path

    def hosts(self):
        hosts = []
        for n in range(1, self.count + 1):
            zone, region = self.zones[(n - 1) % len(self.zones)]
            hosts.append({"host": f"entry-{n}", "ip": f"{self.net}.{n}",
                          "http_port": 7100, "gossip_port": 7101,
                          "rpc_port": 7102, "zone": zone, "region": region,
                          "state": "live", "kind": "entry"})
        for replica in json.loads(
                pathlib.Path(self.example("upstreams.json")).read_text()):
            hosts.append({"host": replica["name"],
                          "ip": replica["address"].split(":")[0],
                          "http_port": int(replica["address"].split(":")[1]),
                          "gossip_port": 0, "rpc_port": 0,
                          "zone": replica["zone"], "region": "mn",
                          "state": "live", "kind": "upstream"})
        path = self.path("hosts.json")
        path.write_text(json.dumps({"hosts": hosts}))
        return path

    def example(self, name):
        """A copy of an example file with this fleet's addresses."""
        text = (ROOT / "examples" / self.firm / name).read_text()
        path = self.path(name)
        path.write_text(text.replace(EXAMPLE_NET, self.net + "."))
        return path

    # Processes ------------------------------------------------------------

    def start(self):
        self.spawn("platform", self.build / "standins/platform-standin",
                   "--listen", self.platform, "--hosts", self.hosts())
        self.spawn("upstreams", self.build / "standins/upstream-standin",
                   "--listen", self.upstreams, "--config",
                   self.example("upstreams.json"))
        wait_until("stand-ins", 10,
                   lambda: call(self.platform, "GET", "/control/counters"))
        for n in range(1, self.count + 1):
            self.start_daemon(n)
        for entry in self.entries():
            wait_until(f"{entry} lives", 40,
                       lambda e=entry: call(e, "GET", "/livez")[0] == 200)

    def start_daemon(self, n):
        self.spawn(f"entry-{n}", self.build / "programs/shallotshiftd",
                   "--settings", self.settings(n))

    def signal(self, n, what):
        self.children[f"entry-{n}"].send_signal(what)

    def stop(self, n, seconds=60):
        """A planned stop; returns the exit code."""
        child = self.children.pop(f"entry-{n}")
        child.send_signal(signal.SIGTERM)
        return child.wait(seconds)

    def kill(self, n):
        child = self.children.pop(f"entry-{n}")
        child.kill()
        child.wait()

    # Acts -----------------------------------------------------------------

    def ctl(self, *arguments, check=True):
        done = subprocess.run(
            [str(self.build / "packages/ctl/shallotctl"), *arguments],
            capture_output=True, text=True,
            env={**os.environ, "SHALLOT_PLATFORM": self.platform,
                 "SHALLOT_DAEMONS": ",".join(self.entries()[:3]),
                 "SHALLOT_OPERATOR": "bench"})
        if check and done.returncode != 0:
            raise RuntimeError(f"{arguments}: {done.stdout}{done.stderr}")
        return done

    def configure(self):
        self.ctl("apply", "-f", self.example("presets.json"))
        self.ctl("preset", "use", "ordinary-day")
        self.ctl("apply", "-f", self.example("services.json"))
        for entry in self.entries():
            wait_until(f"{entry} is ready", 60,
                       lambda e=entry: call(e, "GET", "/readyz")[0] == 200)

    def settle(self, tenant, klass, groups, seconds=40):
        """Until every daemon answers completely: gained slots rest first."""
        for entry in self.entries():
            for group in groups:
                body = {"tenant": tenant, "class": klass, "group": group,
                        "query": {}}
                wait_until(f"{entry} answers {group}", seconds, lambda e=entry:
                           call(e, "POST", "/v1/search", body)[0] == 200, 0.2)

    def control(self, **what):
        return call(self.platform, "POST", "/control", what)

    def upstream_control(self, **what):
        return call(self.upstreams, "POST", "/control", what)

    def platform_counters(self):
        return call(self.platform, "GET", "/control/counters")[1]

    def head_generation(self):
        return call(self.platform, "GET", "/objects/config/head")[1]["generation"]

    def status(self, n):
        return call(self.entry(n), "GET", "/v1/status")[1]

    def members(self, n):
        return call(self.entry(n), "GET", "/v1/members")[1]["members"]

    def metric(self, n, name):
        """The sum of a metric's series."""
        total = 0.0
        for line in call(self.entry(n), "GET", "/metrics")[1].splitlines():
            if line.startswith(name) and line[len(name)] in "{ ":
                total += float(line.rsplit(" ", 1)[1])
        return total

    # What a process costs -------------------------------------------------

    def cpu_seconds(self, name):
        pid = self.children[name].pid
        fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
        parts = fields.split()
        return (int(parts[11]) + int(parts[12])) / TICKS

    def memory_bytes(self, name):
        pid = self.children[name].pid
        return int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE
