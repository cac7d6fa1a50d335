"""A version removes a route while requests on it wait for their quota.

Two tenants. The callers of the first ask for half of what its limit allows, on
the route `report`, over three daemons, and for some seconds for three times its
limit; some of its requests then wait a moment for their turn. The callers of the second, which has no limit, keep a connection
each and read slowly on the route `pull`. With trouble, a new version of the
configuration removes `report`. Counted are reads of the second tenant that were
passed on to a sound replica and whose kept connection closed unanswered.
"""

import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
import kit  # noqa: E402

DAEMONS = 3
READERS = 8        # For each daemon.
REPORTERS = 8      # For each daemon.
RATE, BURST = 30, 3  # Of the first tenant.
READ_MS = 300
USUAL, HOT = 0.5, 3.0  # Parts of its limit that the first tenant asks for.
HOT_AT_S, HOT_FOR_S = 3, 6
CHANGE_AT_S, WATCHED_S = 5, 12
MOST_LOST = 3  # LOST: "more than three times" breaks the rule.


def tenants():
    return [{"name": "ministry", "api_keys": ["key-m"], "rate_per_s": RATE,
             "burst": BURST},
            {"name": "school", "api_keys": ["key-s"], "rate_per_s": 0,
             "burst": 0}]


def routes(with_report):
    kept = [kit.route("pull", "safe", 2500, 1000, service="archive"),
            kit.route("other", "safe", 2500, 400, service="console")]
    if with_report:
        kept.append(kit.route("report", "safe", 2500, 400, service="console"))
    return kept


class Caller:
    """Sends one request after another on one connection, and opens a new one
    when that closes."""

    def __init__(self, deployment, daemon, name, key, path):
        self.deployment = deployment
        self.daemon = daemon
        self.name = name
        self.key = key
        self.path = path
        self.count = 0
        self.answers = {}
        self.lost = 0

    async def exchange(self, reader, writer):
        self.count += 1
        name = f"{self.name}-{self.count}"
        writer.write(kit.request_bytes(
            "GET", f"/{self.path}/{name}",
            [("Request-Id", name), ("Deadline-Ms", "2500"),
             ("Authorization", f"Token {self.key}")]))
        answer = await asyncio.wait_for(kit.read_message(reader), 4)
        if answer is None:
            raise ConnectionError("closed")
        self.answers[answer.status] = self.answers.get(answer.status, 0) + 1
        self.deployment.record.line("answer", name, answer.status)
        return answer

    async def work(self, until, pause):
        while time.monotonic() < until:
            answered = 0
            try:
                reader, writer = await asyncio.open_connection(
                    self.deployment.ip(self.daemon), kit.CALLERS)
            except OSError:
                await asyncio.sleep(0.5)
                continue
            try:
                while time.monotonic() < until:
                    answer = await self.exchange(reader, writer)
                    answered += 1
                    if answer.header("Connection").lower() == "close":
                        break
                    await asyncio.sleep(pause())
            except (OSError, asyncio.IncompleteReadError,
                    asyncio.TimeoutError):
                self.deployment.record.line(
                    "closed", f"{self.name}-{self.count}", "no answer")
                self.lost += answered > 0
            writer.close()


async def case(record):
    async with kit.Deployment(record, daemons=DAEMONS) as deployment:
        for copy in range(3):
            await deployment.add_replica(
                kit.Replica, f"archive-{copy}", "archive", copy, slots=16,
                work_ms=READ_MS)
            await deployment.add_replica(
                kit.Replica, f"console-{copy}", "console", copy, slots=8,
                work_ms=20)
        services = ["archive", "console"]
        await deployment.put_config(routes(True), services, tenants=tenants())
        await deployment.start_daemons(quota_window_s=5, quota_overage=0.1,
                                       quota_slack=20)
        await asyncio.sleep(4)
        began = time.monotonic()
        until = began + WATCHED_S

        def pause():
            hot = 0 <= time.monotonic() - began - HOT_AT_S < HOT_FOR_S
            wanted = RATE * (HOT if hot else USUAL)
            return random.expovariate(wanted / (DAEMONS * REPORTERS))

        readers, reporters, work = [], [], []
        for n in range(1, DAEMONS + 1):
            for number in range(READERS):
                readers.append(Caller(deployment, n, f"s{n}{number}", "key-s",
                                      "pull"))
                work.append(readers[-1].work(until, lambda: 0))
            for number in range(REPORTERS):
                reporters.append(Caller(deployment, n, f"m{n}{number}", "key-m",
                                        "report"))
                work.append(reporters[-1].work(until, pause))
        working = [asyncio.create_task(w) for w in work]
        await asyncio.sleep(CHANGE_AT_S)
        await deployment.put_config(routes(not kit.trouble()), services,
                                    tenants=tenants())
        await asyncio.gather(*working)
        for n in range(1, DAEMONS + 1):
            ended = deployment.children[n].poll()
            record.line("daemon", n, "runs" if ended is None else
                        f"ended by itself with {ended}")
            for line in deployment.log(n).splitlines()[-2:]:
                record.line(f"log of daemon {n}:", line)
        lost = sum(r.lost for r in readers)
        record.line("reads passed on and closed unanswered:", lost)
        total = {}
        for r in reporters:
            for status, count in r.answers.items():
                total[status] = total.get(status, 0) + count
        record.line("answers to the first tenant:", total)
        if total.get(200, 0) < 20 or any(200 not in r.answers for r in readers):
            raise kit.CannotRun("too little was answered")
        return lost <= MOST_LOST


kit.main(FOLDER, case)
