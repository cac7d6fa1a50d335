"""The programs, the proxies between them, and the orders that disturb them."""

import asyncio
import signal
import time
from http.client import HTTPException

from deployment import (CALLERS, DIRECTORY, GRACE_S, HOST, READINESS, ZONES,
                        Deployment)
from soakkit import organisations
from soakkit.callers import read_addresses
from soakkit.proxy import Link
from soakkit.records import History

CALLERS_PROXY, STORE_PROXY, REPLICA_PROXY = 9226, 9229, 9080
# A planned stop may take this much longer than its grace on a busy machine.
STOP_SLACK_S = 1.5
RESTART_SECONDS = 0.3
LAG_PERIOD, LAG_LIMIT = 0.1, 0.3


def split(address):
    host, port = address.split(":")
    return host, int(port)


class World(Deployment):
    def __init__(self, build, net, run_name, **shape):
        self.links = {}
        super().__init__(build, net, **shape)
        self.run_name = run_name
        self.history = History()
        self.version = 0
        self.operator = asyncio.Lock()
        self.evacuated = set()  # Zones that the operator has ordered.
        # By id, what each replica has registered; "gone": it has left.
        self.states = {r["id"]: "ready" for r in self.replicas}
        self.expected_exit = set()

    # Proxies -----------------------------------------------------------------

    def link(self, name, listen, target):
        self.links[name] = Link(name, listen, split(target))

    def store_for(self, daemon):
        return f"{self.ip(daemon)}:{STORE_PROXY}"

    def registered(self, replica, address):
        host, _ = split(address)
        self.link(f"replica {replica['address']}", (host, REPLICA_PROXY), address)
        return f"{host}:{REPLICA_PROXY}"

    def front_door(self, daemon):
        return self.ip(daemon), CALLERS_PROXY

    def daemon_at(self, address):
        return int(split(address)[0].rsplit(".", 1)[1])

    async def start_links(self):
        for n in range(1, self.daemons + 1):
            self.link(f"store of front-{n}", split(self.store_for(n)), self.store)
            self.link(f"callers of front-{n}", self.front_door(n),
                      f"{self.ip(n)}:{CALLERS}")
        for link in self.links.values():
            await link.start()

    # Daemons -----------------------------------------------------------------

    def child(self, n):
        return self.children[f"front-{n}"]

    async def started(self, n):
        """Waits a little for a daemon that was started to be ready."""
        for _ in range(100):
            if await self.ask(n, "/readiness"):
                return True
            await asyncio.sleep(0.1)
        return False

    async def ask(self, n, path):
        status, _ = await self.fetch(f"{self.ip(n)}:{READINESS}", path)
        return status == 200

    async def fetch(self, address, path, seconds=1.0):
        """Status and text of a GET; 0 when there is no answer."""
        try:
            return await asyncio.wait_for(fetch(address, path), seconds)
        except (OSError, ValueError, asyncio.TimeoutError, EOFError):
            return 0, ""

    async def resolve(self, daemon, zone):
        path = f"/resolve?name={HOST}&zone={zone[0]}&region={zone[1]}"
        asked_at = time.monotonic()
        try:
            status, text = await asyncio.wait_for(
                fetch(f"{self.ip(daemon)}:{DIRECTORY}", path), 1.0)
        except Unanswered:
            self.judge_unanswered(daemon, asked_at)
            return []
        except (OSError, ValueError, asyncio.TimeoutError, EOFError):
            return []
        return read_addresses(status, text, self)

    def judge_unanswered(self, daemon, asked_at):
        """A daemon that ends as planned answers what it has read."""
        if not self.history.disturbed({f"front-{daemon}"}, asked_at,
                                      time.monotonic(), planned=False):
            self.history.complaints.append(
                f"front-{daemon} closed a question to its directory unanswered")

    def daemons_near(self, zone):
        all_daemons = range(1, self.daemons + 1)
        return sorted(all_daemons, key=lambda n: self.zone(n)[0] != zone)

    async def stop(self, n, again=True):
        """A planned stop; complains when it takes too long or fails."""
        child = self.child(n)
        self.expected_exit.add(n)
        child.send_signal(signal.SIGTERM)
        began = time.monotonic()
        while child.poll() is None:
            if time.monotonic() > began + GRACE_S + STOP_SLACK_S:
                if not self.history.disturbed({f"front-{n}"}, began,
                                              time.monotonic(), planned=False):
                    self.history.complaints.append(
                        f"front-{n} still ran {GRACE_S} s after SIGTERM")
                child.kill()
            await asyncio.sleep(0.05)
        if child.returncode not in (0, -signal.SIGKILL):
            self.history.complaints.append(
                f"front-{n} ended with {child.returncode} after SIGTERM")
        if again:
            await self.restart(n)

    async def kill(self, n, start=None):
        child = self.child(n)
        self.expected_exit.add(n)
        child.kill()
        child.wait()
        await self.restart(n, start)

    async def restart(self, n, start=None):
        """`start` starts it in place of start_daemon()."""
        await asyncio.sleep(RESTART_SECONDS)
        if start:
            await start(n)
        else:
            self.start_daemon(n)
        self.expected_exit.discard(n)
        await self.started(n)

    def look_for_ends(self):
        for n in range(1, self.daemons + 1):
            code = self.child(n).poll()
            if code is not None and n not in self.expected_exit:
                self.history.complaints.append(
                    f"front-{n} ended by itself with {code}")
                self.start_daemon(n)

    async def watch(self, until):
        """Notices daemons that end by themselves, and when this process or the
        machine is too slow for its times to mean anything."""
        before = time.monotonic()
        while before < until:
            await asyncio.sleep(LAG_PERIOD)
            now = time.monotonic()
            if now - before > LAG_PERIOD + LAG_LIMIT:
                self.history.lags.append((before, now))
            before = now
            self.look_for_ends()

    # The operator --------------------------------------------------------------

    async def tell(self, what, **fields):
        """order(), without holding up the loop."""
        await asyncio.to_thread(self.order, what, **fields)

    def limits(self):
        return {"quota_window_s": organisations.QUOTA_WINDOW_S,
                "quota_overage": organisations.QUOTA_OVERAGE,
                "quota_slack": organisations.QUOTA_SLACK}

    def config(self, version, archive="archive", more=()):
        """One of the searches may be served in two regions only."""
        document = super().config(version, archive, more)
        document["tenants"] = organisations.documents(version)
        for route in document["routes"]:
            if route["name"] == "check":
                route["allowed_regions"] = [r for _, r in ZONES[:2]]
        return document

    async def insist(self, what, *arguments):
        """Calls the store again and again until it has done it; the time."""
        while not await asyncio.to_thread(self.tried, what, *arguments):
            await asyncio.sleep(0.2)
        return time.monotonic()

    def tried(self, what, *arguments):
        try:
            what(*arguments)
        except (OSError, RuntimeError, HTTPException):
            return False
        return True

    async def change_config(self, archive="archive", more=()):
        """Writes the next version, again and again until the store has it."""
        async with self.operator:
            self.version += 3
            document = self.config(self.version, archive, more)
            taken_at = await self.insist(self.put_config, document)
            self.history.versions.append((taken_at, document))

    async def write_operator_again(self):
        """Writes what the operator has in force, for a store that lost it."""
        async with self.operator:
            if self.history.versions:
                await self.insist(self.put_config, self.history.versions[-1][1])
        for zone, _ in ZONES:
            order = self.evacuate if zone in self.evacuated else self.take_back
            await self.insist(order, zone)

    async def tell_replica(self, replica, **fields):
        await self.tell("replicas", replica=replica, **fields)

    def log_lines(self):
        """Every line that the daemons wrote, with the daemon's number."""
        for n in range(1, self.daemons + 1):
            path = self.path(f"front-{n}.log")
            if path.exists():
                for line in path.read_text().splitlines():
                    yield n, line


class Unanswered(EOFError):
    """The connection was closed in order, without a byte of answer."""


async def fetch(address, path):
    reader, writer = await asyncio.open_connection(*split(address))
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n"
                     "Connection: close\r\n\r\n".encode())
        text = (await reader.read()).decode()
    finally:
        writer.close()
    if not text:
        raise Unanswered(address)
    head, _, body = text.partition("\r\n\r\n")
    return int(head.split(" ")[1]), body
