"""Callers as the users' pages describe them: they ask the directory, keep its
answer for a while, and hold connections open for as long as they work."""

import asyncio
import json
import time

from deployment import HOST, ZONES
from soakkit.organisations import NEVER, keys_of
from soakkit.records import Ask

# Route: share of the requests, deadline in seconds, method.
MIX = {"sweep": (5, 0.8, "GET"), "check": (2, 0.5, "GET"),
       "pull": (2, 2.5, "GET"), "book": (2, 1.5, "POST")}
# A caller that hears nothing waits this much longer than its deadline.
OVERDUE = 1.5
LEAVES_EARLY = 0.04  # Part of the callers' requests.
UNKNOWN_KEY = 0.02
CONNECT_SECONDS = 1.0
AVOID_SECONDS = 2.0


class Connection(asyncio.Protocol):
    """One connection of a caller; a request at a time."""

    def __init__(self):
        self.transport = None
        self.bytes = b""
        self.ended = None  # "closed" or "reset".
        self.waiter = None

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.bytes += data
        self.wake()

    def connection_lost(self, error):
        self.ended = "reset" if error else "closed"
        self.wake()

    def wake(self):
        if self.waiter and not self.waiter.done():
            self.waiter.set_result(None)

    async def until(self, done):
        """Waits until \p done(); False when the connection ends first."""
        while not done():
            if self.ended:
                return False
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter
        return True

    def take(self, size):
        taken, self.bytes = self.bytes[:size], self.bytes[size:]
        return taken

    async def reply(self, ask):
        """Reads an answer into \p ask."""
        if not await self.until(lambda: b"\r\n\r\n" in self.bytes):
            ask.how = self.ended
            return
        head = self.take(self.bytes.index(b"\r\n\r\n") + 4).decode()
        first, *rest = head.strip().split("\r\n")
        ask.status = int(first.split(" ")[1])
        ask.headers = {name.lower(): value.strip() for name, _, value in
                       (line.partition(":") for line in rest)}
        size = int(ask.headers["content-length"])
        if not await self.until(lambda: len(self.bytes) >= size):
            ask.how = self.ended
            return
        ask.content = self.take(size)
        ask.how = "answered"


class Caller:
    def __init__(self, number, world, rng, rate):
        self.number = number
        self.world = world
        self.rng = rng
        self.rate = rate
        self.zone = ZONES[number % len(ZONES)]
        # Some keep the directory's answer three times as long.
        self.keeps = 2.0 * (3 if number % 4 == 0 else 1)
        self.addresses = []
        self.asked_at = 0.0
        self.avoided = {}
        self.daemon = 0
        self.line = None
        self.last = None  # The request that the connection carried last.
        self.count = 0

    async def run(self, until):
        while time.monotonic() < until:
            await asyncio.sleep(self.rng.expovariate(self.rate))
            await self.find_addresses()
            ask = await self.attempt()
            if ask and ask.status in (429, 503) and "retry-after" in ask.headers:
                wait = float(ask.headers["retry-after"])
                if wait < ask.deadline / 3:
                    await asyncio.sleep(wait)
                    await self.attempt(ask.route)
        self.hang_up()

    # Where to connect ----------------------------------------------------

    async def find_addresses(self):
        now = time.monotonic()
        if now < self.asked_at + self.keeps:
            return
        order = self.world.daemons_near(self.zone[0])
        for daemon in order[:3]:
            found = await self.world.resolve(daemon, self.zone)
            if found:
                self.addresses = found
                self.asked_at = now
                if self.daemon not in found:
                    self.hang_up()
                return

    def pick(self):
        now = time.monotonic()
        good = [d for d in self.addresses if self.avoided.get(d, 0) < now]
        return self.rng.choice(good or self.addresses or [1])

    def hang_up(self):
        if self.line:
            self.note_extra()
            self.line.transport.close()
        self.line = None

    def note_extra(self):
        """Nothing may follow an answer that nobody asked for."""
        if self.last and self.last.how == "answered":
            self.last.extra = self.line.bytes

    async def connect(self):
        self.daemon = self.pick()
        try:
            _, self.line = await asyncio.wait_for(
                asyncio.get_running_loop().create_connection(
                    Connection, *self.world.front_door(self.daemon)),
                CONNECT_SECONDS)
        except (OSError, asyncio.TimeoutError):
            self.avoided[self.daemon] = time.monotonic() + AVOID_SECONDS
            return False
        self.last = None
        return True

    # One request -----------------------------------------------------------

    def new_ask(self, route):
        if route is None:
            route = self.rng.choices(
                list(MIX), [share for share, _, _ in MIX.values()])[0]
        _, deadline, method = MIX[route]
        self.count += 1
        number = f"{self.number}-{self.count}"
        body = f"lane {number}" if method == "POST" else ""
        ask = Ask(f"{self.world.run_name}-{number}", route, method,
                  f"/{route}/{number}?q=%2f", body, self.daemon, deadline)
        ask.key = (NEVER if self.rng.random() < UNKNOWN_KEY
                   else self.rng.choice(keys_of(self.number)))
        self.world.history.asks.append(ask)
        return ask

    async def attempt(self, route=None):
        if self.line and self.line.ended:
            self.hang_up()
        if not self.line and not await self.connect():
            return None
        self.note_extra()
        ask = self.new_ask(route)
        self.last = ask
        leaves = self.rng.random() < LEAVES_EARLY
        patience = (self.rng.uniform(0.01, 0.15) if leaves
                    else ask.deadline + OVERDUE)
        self.send(ask)
        try:
            await asyncio.wait_for(self.line.reply(ask), patience)
        except asyncio.TimeoutError:
            ask.how = "left" if leaves else "overdue"
        ask.ended_at = time.monotonic()
        if ask.how != "answered" and not leaves:
            self.avoided[ask.daemon] = ask.ended_at + AVOID_SECONDS
        if ask.how != "answered" or ask.headers.get("connection") == "close":
            self.hang_up()
        return ask

    def send(self, ask):
        text = (f"{ask.method} {ask.target} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"Request-Id: {ask.id}\r\n"
                f"Authorization: Token {ask.key}\r\nTenant: forged\r\n"
                f"Deadline-Ms: {int(ask.deadline * 1000)}\r\n")
        if ask.body:
            text += f"Content-Length: {len(ask.body)}\r\n"
        ask.sent_at = time.monotonic()
        self.line.transport.write(f"{text}\r\n{ask.body}".encode())


def read_addresses(status, text, world):
    """The daemons that a directory's answer names; empty: a failure."""
    if status != 200:
        return []
    try:
        document = json.loads(text)
        return [world.daemon_at(address) for address in document["addrs"]]
    except (ValueError, KeyError, TypeError):
        return []
