#!/usr/bin/env python3
"""Guards against messages without end that cost a daemon its memory.

    messages_without_end.py BUILD
"""

import asyncio
import collections
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tools"))

from deployment import CALLERS, HOST, REPLICA, STORE, Deployment  # noqa: E402

MEMORY_MB = 112     # Of the smallest host, which a process has without memory_mb.
PLAY_S = 2.0        # For each form of a message.
READERS, BOOKERS, SEARCHERS, SENDERS = 60, 12, 4, 120
DEADLINE_S, LATE_S = 2.5, 0.5
SERVED = 0.9        # Of those whose replicas are sound.
PIECE = 16 << 10
TRICKLE_S = 0.5

HEAD = b"HTTP/1.1 200 OK\r\n"
# What comes first, and what comes then until the other end closes.
REPLIES = {
    "chunks": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
               b"4000\r\n" + b"x" * PIECE + b"\r\n"),
    "no length": (HEAD + b"Connection: close\r\n\r\n", b"x" * PIECE),
    "a length far beyond": (HEAD + b"Content-Length: 99999999999\r\n\r\n",
                            b"x" * PIECE),
    "header lines": (HEAD, b"a:\r\n" * (PIECE // 4)),
    "one header line": (HEAD + b"a: ", b"x" * PIECE),
    "heads of class 1xx": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 600),
    "no head": (b"", b"x" * PIECE),
    "no head, in lines": (b"", b"ok\r\n" * (PIECE // 4)),
    "one status line": (b"HTTP/1.1 200 ", b"x" * PIECE),
    "a folded line": (HEAD + b"a: b\r\n", b" x\r\n" * (PIECE // 4)),
    "a size of a chunk": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
                          b"0" * PIECE),
    "extensions of chunks": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
                             b"1;" + b"a" * 4096 + b"\r\nx\r\n"),
    "trailers": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
                 b"a:\r\n" * (PIECE // 4)),
    "bytes that are no chunk": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
                                b"2\r\nok\r\n", b"x" * PIECE),
    "bytes behind an answer": (HEAD + b"Content-Length: 2\r\n\r\nok",
                               b"x" * PIECE),
    "a byte now and then": (HEAD + b"Content-Length: 1000\r\n\r\n", b"x"),
}
# The same of callers, beside replicas that send chunks.
REQUESTS = {
    "header lines": (f"GET /pull/1 HTTP/1.1\r\nHost: {HOST}\r\n".encode(),
                     b"a:\r\n" * (PIECE // 4)),
    "a body": (f"POST /upload/1 HTTP/1.1\r\nHost: {HOST}\r\n"
               "Content-Length: 262144\r\n\r\n".encode(), b"x" * PIECE),
}


class EndlessDeployment(Deployment):
    """All replicas of `archive`, the first of `booking` and the store of the
    second daemon send without end."""

    def registered(self, replica, address):
        if replica["service"] == "archive" or replica["id"] == "booking-a":
            return f"{self.ip(250)}:{REPLICA}"
        return address

    def services(self):
        return [*super().services(), "uploads"]

    def config(self, version, **kinds):
        """With an action of a service of its own, so that callers who send
        bodies take no places of the replicas of `booking`."""
        doc = super().config(version, **kinds)
        book = next(r for r in doc["routes"] if r["name"] == "book")
        doc["routes"].append({**book, "name": "upload",
                              "path_prefix": "/upload/", "service": "uploads"})
        return doc

    def store_for(self, daemon):
        return self.store if daemon == 1 else f"{self.ip(250)}:{STORE}"

    def rose_to_mb(self, daemon):
        """The most memory that a daemon ever had."""
        child = self.children[f"front-{daemon}"]
        assert child.poll() is None, f"front-{daemon}: {child.returncode}"
        status = pathlib.Path(f"/proc/{child.pid}/status").read_text()
        return int(status.split("VmHWM:")[1].split()[0]) / 1024


async def pour(reader, writer, first, then):
    """Sends `first`, and `then` until the other end closes."""
    try:
        writer.write(first)
        while not reader.at_eof():
            writer.write(then)
            await writer.drain()
            await asyncio.sleep(0 if len(then) > 1 else TRICKLE_S)
    except OSError:
        pass
    finally:
        writer.close()


class Play:
    def __init__(self, deployment, reply):
        self.address = (deployment.ip(1), CALLERS)
        self.endless = deployment.ip(250)
        self.reply = reply
        self.outcomes = collections.defaultdict(collections.Counter)
        self.late = []  # Time beyond the deadline, and which request.
        self.lag = 0.0  # How late this process itself was at most.
        self.asked = 0

    async def serve(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            await pour(reader, writer, *self.reply)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def ask(self, method, route, deadline_s):
        """The status of one request; 0: its connection closed unanswered."""
        self.asked += 1
        began = time.monotonic()
        reader, writer = await asyncio.open_connection(*self.address)
        writer.write(f"{method} /{route}/1 HTTP/1.1\r\nHost: {HOST}\r\n"
                     f"Request-Id: {self.asked:016x}\r\n"
                     f"Deadline-Ms: {int(deadline_s * 1000)}\r\n"
                     "Content-Length: 0\r\nConnection: close\r\n\r\n".encode())
        try:
            answer = await reader.read()
        except OSError:
            answer = b""
        writer.close()
        self.late.append((time.monotonic() - began - deadline_s, route))
        return int(answer.split(b" ")[1]) if answer else 0

    async def caller(self, method, route, deadline_s, until):
        while time.monotonic() < until:
            status = await self.ask(method, route, deadline_s)
            self.outcomes[route][status] += 1
            await asyncio.sleep(0.02)

    async def sender(self, request, until):
        while time.monotonic() < until:
            reader, writer = await asyncio.open_connection(*self.address)
            try:
                await asyncio.wait_for(pour(reader, writer, *request),
                                       until - time.monotonic())
            except (asyncio.TimeoutError, TimeoutError):
                pass

    async def measure_lag(self, until):
        while (before := time.monotonic()) < until:
            await asyncio.sleep(0.1)
            self.lag = max(self.lag, time.monotonic() - before - 0.1)

    async def run(self, request=None):
        servers = [await asyncio.start_server(self.serve, self.endless, port)
                   for port in (REPLICA, STORE)]
        until = time.monotonic() + PLAY_S
        callers = [*(("GET", "pull", DEADLINE_S) for _ in range(READERS)),
                   *(("POST", "book", 1.5) for _ in range(BOOKERS)),
                   *(("GET", "sweep", 0.8) for _ in range(SEARCHERS))]
        jobs = [self.caller(*c, until) for c in callers]
        jobs.append(self.measure_lag(until + DEADLINE_S))
        if request:
            jobs += [self.sender(request, until) for _ in range(SENDERS)]
        await asyncio.gather(*jobs)
        for server in servers:
            server.close()


def judge(deployment, form, play):
    rose_to = [deployment.rose_to_mb(n) for n in (1, 2)]
    print(f"{form}: rose to {rose_to[0]:.0f} and {rose_to[1]:.0f} MB; "
          f"this process was late by {play.lag:.2f} s; "
          f"{({r: dict(c) for r, c in play.outcomes.items()})}", flush=True)
    assert max(rose_to) < MEMORY_MB, f"{form}: {rose_to} MB"
    late = max(play.late)
    assert late[0] <= LATE_S + play.lag, f"{form}: late: {late}"
    assert play.outcomes["pull"][0] == 0, f"{form}: reads lost"
    sweeps, books = play.outcomes["sweep"], play.outcomes["book"]
    assert sweeps[200] >= SERVED * sweeps.total(), f"{form}: {sweeps}"
    # Its callers have met the replica that sends without end once at most.
    assert books.total() - books[200] <= BOOKERS, f"{form}: {books}"


def main():
    with EndlessDeployment(sys.argv[1], "127.0.62", daemons=1) as deployment:
        deployment.put_config(deployment.config(7))
        deployment.start_daemons()
        deployment.start_daemon(2)
        for form, reply in REPLIES.items():
            play = Play(deployment, reply)
            asyncio.run(play.run())
            judge(deployment, form, play)
        for form, request in REQUESTS.items():
            play = Play(deployment, REPLIES["chunks"])
            asyncio.run(play.run(request))
            judge(deployment, f"callers send {form}", play)


if __name__ == "__main__":
    main()
