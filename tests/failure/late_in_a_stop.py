#!/usr/bin/env python3
"""Guards against requests that are taken late in a stop and get no answer.

    late_in_a_stop.py BUILD
"""

import asyncio
import itertools
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tools"))

from deployment import CALLERS, GRACE_S, HOST, REPLICA, Deployment  # noqa: E402

SLOW_SERVICES = ("archive", "booking")
STEP_S = 0.1        # Between two requests of one kind.
# Method, route, deadline and the replica's work in seconds.
KINDS = (("POST", "book", 1.5, 0.05), ("POST", "book", 1.5, 0.7),
         ("POST", "book", 1.5, 1.3), ("GET", "pull", 2.5, 0.05),
         ("GET", "pull", 2.5, 2.0))
REPLY = (b"HTTP/1.1 200 OK\r\nServer-Stamp: 3e1b.07\r\n"
         b"Content-Length: 2\r\n\r\nok")
SIGNALS = {"one SIGTERM": (0.0,), "three in series": (0.0, 2.0, 4.5)}


class SlowDeployment(Deployment):
    def registered(self, replica, address):
        if replica["service"] in SLOW_SERVICES:
            return f"{self.ip(250)}:{REPLICA}"
        return address


class Replica:
    """Answers after the time that the path of a request names."""

    def __init__(self):
        self.ran = set()  # Ids of the requests.

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                fields = dict(line.lower().split(": ", 1)
                              for line in head.split("\r\n")[1:] if ": " in line)
                self.ran.add(fields["request-id"])
                await asyncio.sleep(float(head.split(" ")[1].split("/")[2]))
                writer.write(REPLY)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Play:
    def __init__(self, deployment, daemon):
        self.deployment = deployment
        self.daemon = daemon
        self.replica = Replica()
        self.ids = (f"{n:016x}" for n in itertools.count(daemon * 10000))
        self.answered, self.refused, self.cut, self.unread = 0, 0, [], 0

    async def ask(self, connection, kind, stop_at):
        method, route, deadline, work = kind
        reader, writer = connection
        request_id = next(self.ids)
        at = time.monotonic() - stop_at
        try:
            writer.write(f"{method} /{route}/{work} HTTP/1.1\r\nHost: {HOST}\r\n"
                         f"Request-Id: {request_id}\r\n"
                         f"Deadline-Ms: {int(deadline * 1000)}\r\n"
                         "Content-Length: 0\r\n\r\n".encode())
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            status = int(head.split(" ")[1])
        except (OSError, asyncio.IncompleteReadError):
            status = 0
        writer.close()
        ran = request_id in self.replica.ran
        if status == 0 and ran:
            self.cut.append(f"{method} of {work} s, sent {at:.2f} s after the "
                            f"signal, ran and got no answer")
        elif status == 0:
            self.unread += 1
        elif status == 503:
            self.refused += 1
            assert not ran, f"{method} at {at:.2f} s: 503 and it ran"
        else:
            self.answered += 1

    async def run(self, signals):
        deployment, daemon = self.deployment, self.daemon
        server = await asyncio.start_server(
            self.replica.serve, deployment.ip(250), REPLICA)
        # Opened before the stop, and used at any moment of it.
        moments = [n * STEP_S for n in range(int(GRACE_S / STEP_S))]
        pairs = [(at, kind) for at in moments for kind in KINDS]
        open_to = (deployment.ip(daemon), CALLERS)
        connections = [await asyncio.open_connection(*open_to) for _ in pairs]
        stop_at = time.monotonic()

        async def later(at, kind, connection):
            await asyncio.sleep(stop_at + at - time.monotonic())
            await self.ask(connection, kind, stop_at)

        async def send_signals():
            for at in signals:
                await asyncio.sleep(max(0, stop_at + at - time.monotonic()))
                deployment.signal(daemon, signal.SIGTERM)

        await asyncio.gather(send_signals(),
                             *(later(at, kind, c) for (at, kind), c
                               in zip(pairs, connections)))
        child = deployment.children[f"front-{daemon}"]
        while child.poll() is None and time.monotonic() < stop_at + GRACE_S:
            await asyncio.sleep(0.05)
        assert child.poll() == 0, f"front-{daemon}: {child.poll()} after the grace"
        server.close()


def main():
    with SlowDeployment(sys.argv[1], "127.0.68",
                        daemons=len(SIGNALS) + 1) as deployment:
        deployment.put_config(deployment.config(7))
        deployment.start_daemons()
        for daemon, (name, signals) in enumerate(SIGNALS.items(), 1):
            play = Play(deployment, daemon)
            asyncio.run(play.run(signals))
            print(f"{name}: {play.answered} answered, {play.refused} refused, "
                  f"{play.unread} closed unread, {len(play.cut)} cut off",
                  flush=True)
            assert not play.cut, play.cut
            assert play.answered and play.refused, "the play met no stop"


if __name__ == "__main__":
    main()
