"""Stand-ins for the review's scripts: the platform's store, replicas, clients.

All run in one event loop of one process; the daemons are processes of their
own, started with the command of deploy/system.toml. Names and figures are those
of the platform's pages (PROTOCOL.md, DEPLOY.md). Nothing here sends to an
address outside 127.0.0.0/8.
"""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
CALLERS, READINESS, DIRECTORY, PEERS, STORE, REPLICA = (
    8226, 8227, 8225, 8224, 8229, 8080)
FIRST_INTERNAL, LAST_INTERNAL = 7740, 7755
HOST = "maps.example"


class CannotRun(Exception):
    """The case could not run: exit code 2."""


def free_net():
    """A prefix 127.A.B whose addresses nobody listens on."""
    rng = random.Random(os.getpid() ^ time.time_ns())
    for _ in range(50):
        net = f"127.{rng.randrange(16, 250)}.{rng.randrange(1, 250)}"
        try:
            for last in (1, 200):
                for port in (CALLERS, STORE):
                    with socket.socket() as probe:
                        probe.bind((f"{net}.{last}", port))
            return net
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


# HTTP/1.1 ---------------------------------------------------------------------

class Message:
    """A request or an answer as it was read."""

    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers  # Pairs of a name in lower case and a value.
        self.body = body

    def header(self, name):
        return next((v for n, v in self.headers if n == name.lower()), "")

    @property
    def status(self):
        return int(self.start.split(" ")[1])


def parse_head(head):
    first, *rest = head.decode("latin-1").split("\r\n")
    pairs = []
    for line in rest:
        name, _, value = line.partition(":")
        pairs.append((name.strip().lower(), value.strip()))
    return first, pairs


async def read_message(reader, head_only=False):
    """One whole message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, headers = parse_head(head[:-4])
    message = Message(start, headers, b"")
    if head_only:
        return message
    try:
        if message.header("transfer-encoding").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    return message
                message.body += chunk[:-2]
        length = int(message.header("content-length") or 0)
        message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return message


REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           410: "Gone", 421: "Misdirected Request", 429: "Too Many Requests",
           500: "Internal Server Error", 503: "Service Unavailable",
           504: "Gateway Timeout"}


def answer_bytes(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def request_bytes(method, target, request_id, deadline_ms, body=b"", more=()):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}",
             f"Request-Id: {request_id}", f"Deadline-Ms: {deadline_ms}"]
    lines += [f"{name}: {value}" for name, value in more]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


# The record -------------------------------------------------------------------

class Record:
    """What was sent, answered and run, in the order of the steady clock."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w")

    def now(self):
        return time.monotonic() - self.began

    def line(self, event, /, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():9.4f} {event} {text}\n")

    def close(self):
        self.file.close()


# The platform's store -----------------------------------------------------------

class Store:
    """GET (list, watch, one), POST, PUT and DELETE on /objects/KIND[/NAME]."""

    PAGE = 500
    HISTORY_S = 20

    def __init__(self, address, record):
        self.address = address
        self.record = record
        self.revision = 1
        self.objects = {}  # Kind to name to object.
        self.raw = {}  # (kind, name) to the JSON text that is told as it is.
        self.events = []  # (time, revision, kind, object, deleted).
        self.changed = asyncio.Condition()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address,
                                                 STORE)

    async def put(self, kind, name, spec, raw=None):
        self.revision += 1
        was = self.objects.setdefault(kind, {}).get(name)
        made = {"meta": {"name": name, "revision": self.revision,
                         "created": was["meta"]["created"] if was
                         else self.revision,
                         "finalizers": [], "deleting": False},
                "spec": spec, "status": None}
        self.objects[kind][name] = made
        self.raw.pop((kind, name), None)
        if raw is not None:
            self.raw[(kind, name)] = raw
        await self.tell(kind, made, False)
        return made

    async def remove(self, kind, name):
        was = self.objects.get(kind, {}).pop(name, None)
        if was:
            self.revision += 1
            was = {**was, "meta": {**was["meta"], "revision": self.revision}}
            await self.tell(kind, was, True)
        return was

    async def tell(self, kind, made, deleted):
        now = time.monotonic()
        self.events = [e for e in self.events if e[0] > now - self.HISTORY_S]
        self.events.append((now, self.revision, kind, made, deleted))
        async with self.changed:
            self.changed.notify_all()

    def text(self, kind, made):
        raw = self.raw.get((kind, made["meta"]["name"]))
        if raw is None:
            return json.dumps(made)
        return json.dumps({**made, "spec": "@"}).replace('"@"', raw)

    async def serve(self, reader, writer):
        try:
            while request := await read_message(reader):
                writer.write(await self.answer(request))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def answer(self, request):
        method, target, _ = request.start.split(" ")
        path, _, query = target.partition("?")
        asked = dict(urllib.parse.parse_qsl(query))
        parts = [urllib.parse.unquote(p) for p in path.split("/")[2:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        if method == "GET" and not name:
            if "watch" in asked:
                return await self.watch(kind, asked)
            return self.list(kind, asked.get("after", ""))
        return await self.one(method, kind, name, asked, request)

    @staticmethod
    def reply(status, text):
        return answer_bytes(status, [("Content-Type", "application/json")],
                            text.encode())

    def list(self, kind, after):
        names = sorted(n for n in self.objects.get(kind, {}) if n > after)
        items = ",".join(self.text(kind, self.objects[kind][n])
                         for n in names[:self.PAGE])
        more = "true" if len(names) > self.PAGE else "false"
        return self.reply(200, f'{{"items":[{items}],"more":{more},'
                               f'"current_rev":{self.revision}}}')

    async def watch(self, kind, asked):
        since = int(asked["watch"])
        end = time.monotonic() + int(asked.get("wait_ms", 0)) / 1000
        # What was before the first event that is kept is gone.
        if self.events and since + 1 < self.events[0][1] and since > 1:
            return self.reply(410, "{}")
        while True:
            found = [e for e in self.events if e[1] > since and e[2] == kind]
            left = end - time.monotonic()
            if found or left <= 0:
                break
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except (asyncio.TimeoutError, TimeoutError):
                pass
        events = ",".join(
            f'{{"deleted":{"true" if gone else "false"},'
            f'"object":{self.text(kind, made)}}}'
            for _, _, _, made, gone in found)
        return self.reply(200, f'{{"events":[{events}],'
                               f'"current_rev":{self.revision}}}')

    async def one(self, method, kind, name, asked, request):
        sent = json.loads(request.body or b"{}")
        name = name or sent.get("meta", {}).get("name", "")
        held = self.objects.get(kind, {}).get(name)
        wanted = sent.get("meta", {}).get("revision") or \
            int(asked.get("revision", 0))
        self.record.line("store", call=method, object=f"{kind}/{name}")
        if method == "GET":
            return self.reply(200 if held else 404, json.dumps(held))
        if method == "POST" and held:
            return self.reply(409, json.dumps(held))
        if method != "POST" and not held:
            return self.reply(404, "{}")
        if wanted and held and held["meta"]["revision"] != wanted:
            return self.reply(409, json.dumps(held))
        if method == "DELETE":
            return self.reply(200, json.dumps(await self.remove(kind, name)))
        return self.reply(200, json.dumps(
            await self.put(kind, name, sent.get("spec"))))


# Replicas -----------------------------------------------------------------------

class Replica:
    """Runs `slots` requests at a time and queues a few more; the others are
    rejected with Not-Executed. It answers on a connection in order."""

    def __init__(self, record, name, service, address, zone, slots=4, queue=16,
                 work=lambda request: 0.06, body=lambda request: b"x" * 3000):
        self.record = record
        self.name, self.service, self.zone = name, service, zone
        self.address = address
        self.slots, self.queue = slots, queue
        self.work, self.body = work, body
        self.running = self.waiting = self.count = 0
        self.free = asyncio.Semaphore(slots)
        self.runs = []  # (time, request id, method, target, body).
        self.server = None
        # Called with a request and its answer; returns the copy that is sent
        # late, at the point where the next answer is expected.
        self.late = lambda request, answer: None
        self.late_sent = 0

    def entry(self, state="ready"):
        return {"service": self.service, "address": f"{self.address}:{REPLICA}",
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": state, "warmup_left_ms": 0, "sequence": 1}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address,
                                                 REPLICA, limit=1 << 20)

    async def serve(self, reader, writer):
        extra = None
        try:
            while request := await read_message(reader):
                if extra:
                    writer.write(extra)
                    self.late_sent += 1
                    self.record.line("late-copy", replica=self.name,
                                     before=request.header("request-id"))
                    extra = None
                answer = await self.answer(request, reader)
                extra = self.late(request, answer)
                writer.write(answer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    def common(self, request):
        return [("Request-Id", request.header("request-id")),
                ("Server-Load",
                 f"{self.running},{self.waiting},{self.slots}")]

    def reject(self, request, status, more):
        self.record.line("rejected", replica=self.name, status=status,
                         id=request.header("request-id"))
        return answer_bytes(status, self.common(request) + more)

    async def answer(self, request, reader):
        method, target, _ = request.start.split(" ")
        request_id = request.header("request-id")
        if target == "/health":
            return answer_bytes(200, [("Instance-Id", self.name)])
        wanted = request.header("target-instance")
        if wanted and wanted != self.name:
            return self.reject(request, 421, [("Instance-Id", self.name)])
        if not request_id:
            return self.reject(request, 400, [("Not-Executed", "1")])
        if self.running >= self.slots and self.waiting >= self.queue:
            return self.reject(request, 503, [("Not-Executed", "1")])
        deadline = time.monotonic() + \
            float(request.header("deadline-ms") or 60000) / 1000
        self.waiting += 1
        await self.free.acquire()
        self.waiting -= 1
        try:
            if time.monotonic() >= deadline:
                return self.reject(request, 503, [("Not-Executed", "1")])
            self.running += 1
            self.count += 1
            stamp = f"{self.name}.{self.count}"
            self.runs.append((time.monotonic(), request_id, method, target,
                              request.body))
            self.record.line("run", replica=self.name, id=request_id,
                             method=method, target=target,
                             body=len(request.body))
            try:
                await asyncio.sleep(self.work(request))
            finally:
                self.running -= 1
        finally:
            self.free.release()
        self.record.line("ran", replica=self.name, id=request_id)
        return answer_bytes(200, self.common(request) +
                            [("Server-Stamp", stamp)], self.body(request))


# A deployment ---------------------------------------------------------------------

class Deployment:
    """Daemons with settings as platform/settings.json gives them."""

    def __init__(self, folder, zones, daemons, bounds):
        self.folder = pathlib.Path(folder)
        self.record = Record(folder)
        self.net = free_net()
        self.zones = zones  # Pairs of a zone and its region.
        self.count = daemons
        self.bounds = bounds
        self.work = tempfile.TemporaryDirectory()
        self.children = {}
        self.store = Store(f"{self.net}.200", self.record)
        self.replicas = []
        self.command = self.deployed_command()

    @staticmethod
    def deployed_command():
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = next(iter(deploy["roles"].values()))["run"].split(" ")
        program = ROOT / words[0]
        if not program.exists():
            raise CannotRun(f"{words[0]} is not built")
        return [str(program), *words[1:]]

    def ip(self, n):
        return f"{self.net}.{n}"

    def zone_of(self, n):
        return self.zones[(n - 1) % len(self.zones)]

    def settings(self, n):
        """platform/settings.json, filled in for daemon n."""
        zone, region = self.zone_of(n)
        at = self.ip(n)
        doc = {
            "host": f"front-{n}", "zone": zone, "region": region,
            "callers": f"{at}:{CALLERS}", "readiness": f"{at}:{READINESS}",
            "directory": f"{at}:{DIRECTORY}", "peers": f"{at}:{PEERS}",
            "gossip": f"{at}:{FIRST_INTERNAL}",
            "quotas": f"{at}:{LAST_INTERNAL}",
            "internal_ports": [FIRST_INTERNAL, LAST_INTERNAL],
            "metrics": f"{at}:9180", "store": f"{self.net}.200:{STORE}",
            "seeds": [f"{self.ip(s)}:{PEERS}"
                      for s in range(1, min(3, self.count) + 1)],
            "zones": dict(self.zones), "stop_grace_s": self.bounds["grace_s"],
            "drain_ms": self.bounds["drain_ms"],
            "entry_validity_s": self.bounds["ttl_max_s"],
            "cpu_share": 0.25, "cores": 1, "retry_ratio": 0.2,
            "retry_window_s": 10, "retry_constant": 52}
        path = pathlib.Path(self.work.name) / f"front-{n}.json"
        path.write_text(json.dumps(doc))
        return str(path)

    def add_replicas(self, service, count, **shape):
        for _ in range(count):
            number = len(self.replicas) + 1
            zone = self.zones[number % len(self.zones)][0]
            self.replicas.append(Replica(
                self.record, f"i-{service}-{number}", service,
                self.ip(100 + number), zone, **shape))

    async def start(self, config):
        await self.store.start()
        for replica in self.replicas:
            await replica.start()
            await self.store.put("servers", replica.name, replica.entry())
        await self.store.put("config", "main", config)
        for n in range(1, self.count + 1):
            self.spawn(n)
        for n in range(1, self.count + 1):
            await self.until_ready(n, 20)

    def spawn(self, n):
        command = [*self.command[:-1], self.settings(n)]
        log = open(pathlib.Path(self.work.name) / f"front-{n}.log", "ab")
        self.children[n] = subprocess.Popen(
            command, cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "HOME": self.work.name})
        log.close()
        self.record.line("start", daemon=n)

    def signal(self, n, what):
        self.record.line("signal", daemon=n, what=what.name)
        self.children[n].send_signal(what)

    async def call(self, address, port, target, seconds=1):
        """An answer to GET; None if there was none in time."""
        async def exchange():
            reader, writer = await asyncio.open_connection(address, port)
            try:
                writer.write(f"GET {target} HTTP/1.1\r\nHost: {address}\r\n"
                             "Connection: close\r\n\r\n".encode())
                return await read_message(reader)
            finally:
                writer.close()
        try:
            return await asyncio.wait_for(exchange(), seconds)
        except (OSError, asyncio.TimeoutError, TimeoutError):
            return None

    async def ready(self, n):
        answer = await self.call(self.ip(n), READINESS, "/readiness")
        return answer is not None and answer.status == 200

    async def until_ready(self, n, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.ready(n):
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"daemon {n} was not ready within {seconds} s")

    async def resolve(self, n, zone, region):
        answer = await self.call(
            self.ip(n), DIRECTORY,
            f"/resolve?name={HOST}&region={region}&zone={zone}")
        if answer is None or answer.status != 200:
            return None
        return json.loads(answer.body)

    def stop(self):
        for child in self.children.values():
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
        for child in self.children.values():
            child.wait()
        self.record.close()
        logs = os.environ.get("KEEP_LOGS")
        if logs:
            for path in pathlib.Path(self.work.name).glob("*.log"):
                (pathlib.Path(logs) / path.name).write_bytes(path.read_bytes())
        self.work.cleanup()


def route(name, kind, timeout_ms, target_latency_ms, service, max_attempts=2):
    return {"name": name, "host": HOST, "path_prefix": f"/{name}/",
            "kind": kind, "timeout_ms": timeout_ms,
            "target_latency_ms": target_latency_ms, "priority": 2,
            "service": service, "max_attempts": max_attempts}


def configuration(version, routes, services):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/health",
                          "max_connections": connections, "protocol": "h1",
                          "tls": False} for name, connections in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def main(case):
    """Runs `case(trouble)`, which returns what broke the rule, as texts."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        # Connections that are open at the end are cancelled without a word.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        return await asyncio.wait_for(case(trouble), 115)

    try:
        broken = asyncio.run(run())
    except Exception as why:  # Whatever it is, the rule was not judged.
        print(f"cannot run: {type(why).__name__}: {why}")
        sys.exit(2)
    for text in broken[:20]:
        print(text)
    print(f"{'broken' if broken else 'held'}: {len(broken)} violations")
    sys.exit(1 if broken else 0)
