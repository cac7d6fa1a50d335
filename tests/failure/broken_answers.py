#!/usr/bin/env python3
"""Guards against broken answers that reach a client, or end a daemon.

    broken_answers.py BUILD
"""

import asyncio
import collections
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tools"))

from deployment import CALLERS, HOST, REPLICA, STORE, Deployment  # noqa: E402

BROKEN_SERVICES = ("archive", "booking", "s1")
PLAY_S = 15         # At most for each form, until each kind of request met it.
DEADLINE_S = 2.0
MARK = "of-a-broken-answer"
PROMISES_NOT_RUN = (408, 421, 429, 503)
ROUTES = {"pull": "GET", "book": "POST", "sweep": "GET"}

OK = "HTTP/1.1 200 OK\r\n"
FIELDS = f"Server-Stamp: 3e1b.07\r\nX-Mark: {MARK}\r\n"
BODY = "Content-Length: 2\r\n\r\nok"


def with_status(line):
    return f"{line}\r\n{FIELDS}{BODY}"


def with_field(line, body=BODY):
    return f"{OK}{line}\r\n{FIELDS}{body}"


CHUNKS = "Transfer-Encoding: chunked\r\n\r\n"
BROKEN = {
    **{line: with_status(line) for line in (
        "HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 20 OK",
        "HTTP/1.1 0200 OK", "HTTP/1.1 600 OK", "HTTP/1.1 101 OK",
        "HTTP/2.0 200 OK")},
    **{line: with_field(line) for line in (
        "X A: b", "X-A : b", " X-A: b", "X\x01: b", "X\0A: b",
        "Content-Length : 3", "Content-Encoding : gzip", "Not-Executed : 1",
        "Request-Id : other")},
    "a coding before chunked": with_field(
        "Transfer-Encoding: gzip, chunked", "\r\n2\r\nok\r\n0\r\n\r\n"),
    "a blank before chunked": with_field(
        "Transfer-Encoding : chunked", "\r\n2\r\nok\r\n0\r\n\r\n"),
    "bytes behind a chunk": with_field("A: b", CHUNKS + "2\r\nokxx0\r\n\r\n"),
    "a blank in a trailer's name": with_field(
        "A: b", CHUNKS + "2\r\nok\r\n0\r\nX A: b\r\n\r\n"),
    "a blank in a name of a 1xx head":
        f"HTTP/1.1 103 Early\r\nX A: b\r\n\r\n{OK}{FIELDS}{BODY}",
}
SOUND = {
    "as usual": with_field("X-A: b"),
    "an empty value": with_field("X-A:"),
    "high bytes": with_field("X-A: \xe9\xff"),
    "a folded line": with_field("X-A: a\r\n b"),
    "no reason": with_status("HTTP/1.1 200 "),
    "any reason": with_status("HTTP/1.1 200 100% well, \xe9"),
    "trailers": with_field("A: b", CHUNKS + "2\r\nok\r\n0\r\nX-A: b\r\n\r\n"),
    "1xx heads": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\n"
                 "X-A: b\r\n\r\n" + with_field("X-A: b"),
}


class BrokenDeployment(Deployment):
    """All replicas of some services are one raw server, and so is the store of
    the second daemon."""

    def registered(self, replica, address):
        if replica["service"] in BROKEN_SERVICES:
            return f"{self.ip(250)}:{REPLICA}"
        return address

    def store_for(self, daemon):
        return self.store if daemon == 1 else f"{self.ip(250)}:{STORE}"

    def reasons(self, daemon):
        """What a daemon has said of broken replies."""
        lines = self.path(f"front-{daemon}.log").read_text().splitlines()
        return [json.loads(line)["why"] for line in lines
                if '"event":"bad_reply"' in line]


class Replica:
    """Sends one reply for each request, or `first` when its id is new."""

    def __init__(self):
        self.reply = b""
        self.first = None
        self.seen = collections.Counter()  # Sends, by the request's id.
        self.closed = 0    # Connections that the other end closed.

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                request_id = next((
                    line.split(":")[1].strip() for line in head.split("\r\n")
                    if line.lower().startswith("request-id:")), "")
                self.seen[request_id] += 1
                new = self.seen[request_id] == 1
                writer.write(self.first if self.first and new else self.reply)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            self.closed += 1
        finally:
            writer.close()


class Play:
    def __init__(self, deployment):
        self.address = (deployment.ip(1), CALLERS)
        self.replica = Replica()
        self.asked = 0

    async def ask(self, route):
        """The id, status and bytes of one answer."""
        self.asked += 1
        request_id = f"{self.asked:016x}"
        reader, writer = await asyncio.open_connection(*self.address)
        writer.write(f"{ROUTES[route]} /{route}/1 HTTP/1.1\r\nHost: {HOST}\r\n"
                     f"Request-Id: {request_id}\r\n"
                     f"Deadline-Ms: {int(DEADLINE_S * 1000)}\r\n"
                     "Content-Length: 0\r\nConnection: close\r\n\r\n".encode())
        answer = (await reader.read()).decode("latin-1")
        writer.close()
        code = answer.split(" ", 2)[1] if " " in answer else ""
        assert len(code) == 3 and code.isdigit(), f"{route}: {answer!r}"
        return request_id, int(code), answer

    def judge_broken(self, route, request_id, status, answer):
        assert MARK not in answer, f"{route}: passed on: {answer!r}"
        assert 200 <= status <= 599, f"{route}: {answer!r}"
        sent = request_id in self.replica.seen
        if route == "book" and sent:
            assert status not in PROMISES_NOT_RUN, f"{route}: {answer!r}"
        if route != "sweep":
            assert status >= 500, f"{route}: {answer!r}"
        elif status == 200:
            assert "Missing-Parts: 1" in answer, \
                f"{route}: a broken part was taken: {answer!r}"

    async def until_met(self, form, check):
        """Asks until a request of each route has met the replica."""
        until = time.monotonic() + PLAY_S
        left = set(ROUTES)
        while left:
            assert time.monotonic() < until, f"{form}: {left} never met it"
            for route in sorted(left):
                request_id, status, answer = await self.ask(route)
                if check(route, request_id, status, answer):
                    left.discard(route)
            await asyncio.sleep(0.02)

    async def meet_broken(self, form, reply):
        def met(route, request_id, status, answer):
            self.judge_broken(route, request_id, status, answer)
            return request_id in self.replica.seen
        self.replica.reply = reply.encode("latin-1")
        closed = self.replica.closed
        await self.until_met(form, met)
        await asyncio.sleep(0.05)
        assert self.replica.closed > closed, f"{form}: connections stay open"

    async def meet_sound(self, form, reply):
        def served(route, request_id, status, answer):
            if route == "sweep":
                return status == 200 and "Missing-Parts" not in answer
            return (status == 200 and answer.endswith("ok") and MARK in answer
                    and request_id in self.replica.seen)
        self.replica.reply = reply.encode("latin-1")
        await self.until_met(form, served)

    async def meet_broken_first(self):
        """A read goes on to another replica; an action is sent once."""
        def met(route, request_id, status, answer):
            sends = self.replica.seen[request_id]
            if route == "book":
                assert sends <= 1, f"{route}: sent {sends} times"
                return sends == 1 and status == 504
            if route == "pull":
                return sends == 2 and status == 200 and answer.endswith("ok")
            return True
        self.replica.first = BROKEN["HTTP/1.1 000 OK"].encode()
        self.replica.reply = SOUND["as usual"].encode()
        await self.until_met("broken at first", met)
        self.replica.first = None

    async def run(self, deployment):
        replicas = await asyncio.start_server(
            self.replica.serve, deployment.ip(250), REPLICA)
        await self.meet_sound("as usual", SOUND["as usual"])
        for form, reply in BROKEN.items():
            await self.meet_broken(form, reply)
            await self.meet_sound("as usual", SOUND["as usual"])
        await self.meet_broken_first()
        for form, reply in SOUND.items():
            await self.meet_sound(form, reply)
        replicas.close()


async def break_store(deployment):
    """Every call of the second daemon to its store meets the next form."""
    store = Replica()
    servers = await asyncio.start_server(store.serve, deployment.ip(250), STORE)
    deployment.start_daemon(2)
    for reply in [*BROKEN.values(), *SOUND.values()] * 4:
        store.reply = reply.encode("latin-1")
        await asyncio.sleep(0.05)
    servers.close()


def main():
    with BrokenDeployment(sys.argv[1], "127.0.67", daemons=1) as deployment:
        deployment.put_config(deployment.config(7))
        deployment.start_daemons()
        play = Play(deployment)
        asyncio.run(play.run(deployment))
        asyncio.run(break_store(deployment))
        for daemon in (1, 2):
            code = deployment.children[f"front-{daemon}"].poll()
            assert code is None, f"front-{daemon} ended with {code}"
            reasons = deployment.reasons(daemon)
            print(f"front-{daemon}: {len(reasons)} broken replies, "
                  f"{len(set(reasons))} reasons", flush=True)
            assert reasons, f"front-{daemon} says nothing of broken replies"


if __name__ == "__main__":
    main()
