"""Stand-ins for a script: the platform's store, replicas, clients, and the
processes of the daemons.

All of it speaks what PROTOCOL.md says and runs in one asyncio loop. Every
address is a loopback address of a network 127.A.B.0/24 that is free when the
script starts. Daemon N has the address NET.N, the store NET.200, the replicas
NET.101 and on. The daemons are started with the command of deploy/system.toml.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "search.example"
ZONES = [("z-south", "r-south"), ("z-mid", "r-mid"), ("z-north", "r-north")]
CALLERS, READINESS, DIRECTORY, PEERS = 8226, 8227, 8225, 8224
GOSSIP, QUOTAS, REPORTS, METRICS, STORE, REPLICA = (
    7740, 7741, 7755, 9180, 8229, 8080)
GRACE_S = 6
REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict",
           410: "Gone", 421: "Misdirected Request", 429: "Too Many Requests",
           500: "Internal Server Error", 503: "Service Unavailable",
           504: "Gateway Timeout"}


class CannotRun(Exception):
    """The case could not run; nothing is said of the rule."""


def free_net():
    """A loopback network with nothing on the ports that are used."""
    for _ in range(50):
        net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        try:
            for n, ports in ((1, (CALLERS, READINESS, DIRECTORY, PEERS,
                                  GOSSIP, QUOTAS, METRICS)),
                             (200, (STORE,)), (101, (REPLICA,))):
                for port in ports:
                    with socket.socket() as probe:
                        probe.bind((f"{net}.{n}", port))
            return net
        except OSError:
            continue
    raise CannotRun("no free loopback network")


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def line(self, *words):
        at = time.monotonic() - self.began
        self.file.write(f"{at:9.3f} " + " ".join(str(w) for w in words) + "\n")

    def close(self):
        self.file.close()


# HTTP/1.1 -------------------------------------------------------------------


class Message:
    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    def header(self, name, otherwise=""):
        return self.headers.get(name.lower(), otherwise)

    @property
    def status(self):
        return int(self.start.split(" ")[1])

    @property
    def method(self):
        return self.start.split(" ")[0]

    @property
    def target(self):
        return self.start.split(" ")[1]


async def read_message(reader, to_head=False):
    """The next message, or None where the other end closed before one."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("broken off in the headers") from error
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.setdefault(name.strip().lower(), value.strip())
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += piece[:-2]
    elif not to_head:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(lines[0], headers, body)


def reply_bytes(status, headers=(), body=b""):
    head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
    for name, value in headers:
        head += f"{name}: {value}\r\n"
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


def request_bytes(method, target, headers=(), body=b""):
    head = f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n"
    for name, value in headers:
        head += f"{name}: {value}\r\n"
    if body or method in ("POST", "PUT"):
        head += f"Content-Length: {len(body)}\r\n"
    return (head + "\r\n").encode() + body


async def call(ip, port, method, target, headers=(), body=b"", seconds=2.0):
    """One request on a connection of its own."""
    async def whole():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            writer.write(request_bytes(method, target, headers, body))
            return await read_message(reader)
        finally:
            writer.close()
    return await asyncio.wait_for(whole(), seconds)


# The platform's store -------------------------------------------------------


class Store:
    """Objects by kind and name, with lists, watches and conditional writes."""

    HISTORY = 20000

    def __init__(self, ip):
        self.ip = ip
        self.revision = 1
        self.objects = {}  # kind -> name -> object
        self.events = {}   # kind -> [(revision, event)]
        self.changed = asyncio.Condition()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, STORE)

    async def put(self, kind, name, spec):
        self.revision += 1
        before = self.objects.setdefault(kind, {}).get(name)
        created = before["meta"]["created"] if before else self.revision
        self.objects[kind][name] = {
            "meta": {"name": name, "revision": self.revision,
                     "created": created, "finalizers": [], "deleting": False},
            "spec": spec, "status": before["status"] if before else {}}
        await self.note(kind, self.objects[kind][name], False)
        return self.objects[kind][name]

    async def remove(self, kind, name):
        gone = self.objects.get(kind, {}).pop(name, None)
        if gone is None:
            return
        self.revision += 1
        gone = {**gone, "meta": {**gone["meta"], "revision": self.revision}}
        await self.note(kind, gone, True)

    async def note(self, kind, value, deleted):
        log = self.events.setdefault(kind, [])
        log.append((self.revision, {"object": value, "deleted": deleted}))
        del log[:-self.HISTORY]
        async with self.changed:
            self.changed.notify_all()

    def since(self, kind, revision):
        return [e for r, e in self.events.get(kind, []) if r > revision]

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (request := await read_message(reader)) is not None:
                status, doc = await self.answer(request)
                writer.write(reply_bytes(
                    status, [("Content-Type", "application/json")],
                    json.dumps(doc).encode()))
                await writer.drain()
        writer.close()

    async def answer(self, request):
        path, _, query = request.target.partition("?")
        asked = dict(urllib.parse.parse_qsl(query))
        words = [urllib.parse.unquote(w) for w in path.split("/")[2:]]
        kind, name = words[0], words[1] if len(words) > 1 else None
        known = self.objects.setdefault(kind, {})
        if request.method == "GET" and name is None and "watch" in asked:
            return await self.watch(kind, int(asked["watch"]),
                                    int(asked.get("wait_ms", 0)) / 1000)
        if request.method == "GET" and name is None:
            names = sorted(n for n in known if n > asked.get("after", ""))
            return 200, {"items": [known[n] for n in names[:500]],
                         "more": len(names) > 500,
                         "current_rev": self.revision}
        if request.method == "GET":
            return (200, known[name]) if name in known else (404, {})
        doc = json.loads(request.body) if request.body else {}
        wanted = doc.get("meta", {}).get("revision", asked.get("revision"))
        if request.method == "POST":
            name = doc["meta"]["name"]
            if name in known:
                return 409, known[name]
            return 201, await self.put(kind, name, doc.get("spec"))
        if name not in known:
            return 404, {}
        if wanted is not None and int(wanted) != known[name]["meta"]["revision"]:
            return 409, known[name]
        if request.method == "DELETE":
            await self.remove(kind, name)
            return 200, {}
        return 200, await self.put(kind, name, doc.get("spec"))

    async def watch(self, kind, revision, wait):
        until = time.monotonic() + wait
        while not (found := self.since(kind, revision)):
            left = until - time.monotonic()
            if left <= 0:
                break
            async with self.changed:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), left)
        return 200, {"events": found, "current_rev": self.revision}


# Replicas -------------------------------------------------------------------


class Replica:
    """One replica. A subclass changes what it does with a request in run()."""

    def __init__(self, ip, identity, service, zone, record, work_ms=5, slots=4):
        self.ip = ip
        self.identity = identity
        self.service = service
        self.zone = zone
        self.record = record
        self.work_ms = work_ms
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.running = 0
        self.runs = 0
        self.server = None

    async def start(self, store):
        self.server = await asyncio.start_server(self.serve, self.ip, REPLICA,
                                                 backlog=1000)
        await self.announce(store, "ready")

    async def announce(self, store, state):
        await store.put("servers", self.identity, {
            "service": self.service, "address": f"{self.ip}:{REPLICA}",
            "zone": self.zone, "version": "v1", "slots": self.slot_count,
            "state": state, "warmup_left_ms": 0, "sequence": 1})

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (request := await read_message(reader)) is not None:
                wanted = request.header("Target-Instance")
                if wanted and wanted != self.identity:
                    writer.write(reply_bytes(421, self.headers(request)))
                    continue
                async with self.slots:
                    answer = await self.run(request)
                writer.write(answer)
                await writer.drain()
        writer.close()

    def headers(self, request):
        return [("Request-Id", request.header("Request-Id")),
                ("Server-Load", f"{self.running},0,{self.slot_count}")]

    def began(self, request):
        self.runs += 1
        self.record.line("run", self.identity, request.header("Request-Id"),
                         request.method, request.target)

    async def run(self, request):
        self.began(request)
        self.running += 1
        try:
            await asyncio.sleep(self.work_ms / 1000)
        finally:
            self.running -= 1
        return self.success(request)

    def success(self, request):
        stamp = f"{self.identity}.{request.header('Request-Id')}.{self.runs}"
        return reply_bytes(200, [*self.headers(request),
                                 ("Server-Stamp", stamp)],
                           self.body(request))

    def body(self, request):
        return f"body of {request.header('Request-Id')}".encode()


# The deployment -------------------------------------------------------------


def route(name, kind, timeout, objective, **target):
    return {"name": name, "host": HOST, "path_prefix": f"/{name}/",
            "kind": kind, "timeout_ms": timeout, "target_latency_ms": objective,
            "priority": 1, "max_attempts": 2, **target}


class Deployment:
    """The store, the replicas and the daemons, ended and removed on exit."""

    def __init__(self, record, daemons=3):
        self.record = record
        self.net = free_net()
        self.daemons = daemons
        self.work = pathlib.Path(tempfile.mkdtemp())
        self.children = {}
        self.store = Store(f"{self.net}.200")
        self.replicas = []
        self.version = 0
        with open(ROOT / "deploy/system.toml", "rb") as file:
            role = tomllib.load(file)["roles"]["entry"]
        self.command = role["run"].split()

    async def __aenter__(self):
        if not (ROOT / self.command[0]).exists():
            raise CannotRun(f"{self.command[0]} isn't built")
        await self.store.start()
        return self

    async def __aexit__(self, *_):
        for child in self.children.values():
            with contextlib.suppress(ProcessLookupError):
                child.send_signal(signal.SIGCONT)
                child.kill()
        for child in self.children.values():
            child.wait()
        shutil.rmtree(self.work)

    def ip(self, n):
        return f"{self.net}.{n}"

    async def add_replica(self, kind, identity, service, zone=0, **more):
        at = self.ip(101 + len(self.replicas))
        replica = kind(at, identity, service, ZONES[zone % len(ZONES)][0],
                       self.record, **more)
        self.replicas.append(replica)
        await replica.start(self.store)
        return replica

    async def put_config(self, routes, services, **more):
        self.version += 3
        await self.store.put("config", "main", {
            "version": self.version, "routes": routes,
            "services": [{"name": s, "health_path": "/health",
                          "max_connections": 60} for s in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            **more})
        self.record.line("operator", "version", self.version, "acknowledged")

    def settings(self, n, **more):
        """As platform/settings.json has them."""
        zone, region = ZONES[(n - 1) % len(ZONES)]
        at = self.ip(n)
        return {"host": f"front-{n}", "zone": zone, "region": region,
                "callers": f"{at}:{CALLERS}", "readiness": f"{at}:{READINESS}",
                "directory": f"{at}:{DIRECTORY}", "peers": f"{at}:{PEERS}",
                "gossip": f"{at}:{GOSSIP}", "quotas": f"{at}:{QUOTAS}",
                "internal_ports": [GOSSIP, REPORTS],
                "metrics": f"{at}:{METRICS}", "store": f"{self.store.ip}:{STORE}",
                "seeds": [f"{self.ip(s)}:{PEERS}"
                          for s in range(1, min(3, self.daemons) + 1)],
                "zones": dict(ZONES), "stop_grace_s": GRACE_S,
                "drain_ms": 3000, "entry_validity_s": 5, "cpu_share": 0.25,
                "cores": 1, "retry_ratio": 0.2, "retry_window_s": 10,
                "retry_constant": 52, **more}

    def start_daemon(self, n, **more):
        path = self.work / f"front-{n}.json"
        path.write_text(json.dumps(self.settings(n, **more)))
        command = [str(ROOT / self.command[0]),
                   *[str(path) if word.startswith("/etc/") else word
                     for word in self.command[1:]]]
        with open(self.work / f"front-{n}.log", "ab") as log:
            self.children[n] = subprocess.Popen(command, cwd=ROOT, stdout=log,
                                                stderr=log)
        self.record.line("daemon", n, "started")

    async def ready(self, n, seconds=15):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                answer = await call(self.ip(n), READINESS, "GET", "/readiness")
                if answer is not None and answer.status == 200:
                    self.record.line("daemon", n, "ready")
                    return
            await asyncio.sleep(0.1)
        raise CannotRun(f"daemon {n} did not become ready")

    async def start_daemons(self, **more):
        for n in range(1, self.daemons + 1):
            self.start_daemon(n, **more)
        for n in range(1, self.daemons + 1):
            await self.ready(n)

    def resident_mb(self, n):
        """Resident memory of the daemon's process; None if it has ended."""
        if self.children[n].poll() is not None:
            return None
        text = pathlib.Path(f"/proc/{self.children[n].pid}/statm").read_text()
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6

    def log(self, n):
        return (self.work / f"front-{n}.log").read_text(errors="replace")


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(folder, case, seconds=115):
    """Runs the coroutine \p case(record), which returns whether the rule held,
    and exits with 0, 1 or 2."""
    record = Record(pathlib.Path(folder) / "record.txt")
    code = 2

    async def whole():
        # Connections that end with the loop are no news.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        return await asyncio.wait_for(case(record), seconds)

    try:
        held = asyncio.run(whole())
        code = 0 if held else 1
        record.line("result", "the rule held" if held else "the rule was broken")
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        record.line("result", "the case could not run:", repr(error))
        print("the case could not run:", repr(error), file=sys.stderr)
    finally:
        record.close()
    sys.exit(code)
