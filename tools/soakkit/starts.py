"""What may happen around the start of a daemon, and signals at any moment.

Drawn from a generator of their own: the other troubles of a seed stay as they
were before these came.
"""

import asyncio
import json
import pathlib
import random
import signal
import socket
import time

SIGNALS = [getattr(signal, f"SIG{name}") for name in (
    "HUP", "HUP", "HUP", "PIPE", "ALRM", "VTALRM", "PROF", "USR1", "USR2", "IO",
    "PWR", "XCPU", "XFSZ", "TSTP", "TTIN", "TTOU")]
FEWEST, MOST = 3, 6     # Such troubles in a run.
AWAY_S = (0.05, 0.8)    # An address or the settings are away for so long.
SERIES_S = 0.3
STREAMS = ("callers", "readiness", "directory", "peers", "metrics")
DATAGRAMS = ("gossip", "quotas")


class StartTroubles:
    """Restarts and signals for a Faults."""

    def __init__(self, faults, seed, first, last):
        self.faults = faults
        self.world = faults.world
        self.rng = random.Random(f"starts {seed}")
        self.moments = sorted(self.rng.uniform(first, last) for _ in
                              range(self.rng.randint(FEWEST, MOST)))

    async def run(self):
        began = time.monotonic()
        running = []
        for at in self.moments:
            await asyncio.sleep(max(0, began + at - time.monotonic()))
            what = self.rng.choice([self.signalled, self.restarted])
            self.faults.notes.append(f"{at:.2f} {what.__name__}")
            running.append(asyncio.ensure_future(what()))
        await asyncio.gather(*running)

    def take(self):
        free = [n for n in range(1, self.world.daemons + 1)
                if n not in self.faults.busy]
        if not free:
            return None
        n = self.rng.choice(free)
        self.faults.busy.add(n)
        return n

    async def signalled(self):
        """A series of signals to a daemon that serves or stops."""
        n = self.rng.randint(1, self.world.daemons)
        await self.send_series(n)

    async def send_series(self, n):
        for _ in range(self.rng.randint(2, 8)):
            child = self.world.child(n)
            if child.poll() is None and has_actions(child):
                child.send_signal(self.rng.choice(SIGNALS))
            await asyncio.sleep(self.rng.uniform(0, SERIES_S / 4))

    async def restarted(self):
        """A daemon is killed; its next start meets a trouble, and signals."""
        n = self.take()
        if n is None:
            return
        mark = self.faults.begin("kill", f"front-{n}")
        trouble = self.rng.choice([self.address_held, self.settings_late])
        signals = asyncio.ensure_future(self.signals_from_the_start(n))
        await self.world.kill(n, trouble)
        await signals
        mark.end = time.monotonic()
        self.faults.busy.discard(n)

    async def signals_from_the_start(self, n):
        before = self.world.child(n)
        while self.world.child(n) is before:
            await asyncio.sleep(0.001)
        await asyncio.sleep(self.rng.uniform(0, 0.05))
        await self.send_series(n)

    async def address_held(self, n):
        settings = json.loads(pathlib.Path(self.world.settings(n)).read_text())
        what = self.rng.choice(STREAMS + DATAGRAMS)
        kind = socket.SOCK_STREAM if what in STREAMS else socket.SOCK_DGRAM
        ip, port = settings[what].split(":")
        with socket.socket(socket.AF_INET, kind) as held:
            held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            held.bind((ip, int(port)))
            if kind == socket.SOCK_STREAM:
                held.listen()
            self.world.start_daemon(n)
            await asyncio.sleep(self.rng.uniform(*AWAY_S))

    async def settings_late(self, n):
        path = pathlib.Path(self.world.settings(n))
        whole = path.read_text()
        path.write_text(whole[:self.rng.randint(0, len(whole) - 1)])
        self.world.start_daemon(n, path)
        await asyncio.sleep(self.rng.uniform(*AWAY_S))
        path.write_text(whole)


def has_actions(child):
    """Whether a daemon that has just started has set its actions: a signal
    before that ends any process."""
    try:
        status = pathlib.Path(f"/proc/{child.pid}/status").read_text()
    except OSError:
        return False
    caught = int(status.split("SigCgt:")[1].split()[0], 16)
    return bool(caught >> (signal.SIGXCPU - 1) & 1)
