"""A machine is added while the seeds that it is given are down.

Six daemons in three zones; the seeds are daemons 1 to 3. These are lost for
good. One second later daemon 7 is added, with the same seeds, as they lag by
seed_lag_s; after that lag its settings file names daemons 4 to 6, and it gets a
SIGHUP. A tenant asks for several times its quota, at all daemons that run.
Counted is the most that replicas run of its requests in any quota_window_s.
With TROUBLE=0 the seeds are not lost.
"""

import asyncio
import contextlib
import json
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
import kit  # noqa: E402

SEED_LAG_S = 3                        # The sheet's seed_lag_s.
RATE, BURST = 100, 20                 # Of the tenant.
WINDOW_S, OVERAGE, SLACK = 5, 0.1, 20  # The sheet's quota bounds.
BOUND = (RATE * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
HOT = 4.0            # hot_tenant: x 7.5 on the sheet, here times its limit.
HOT_FOR_S = 6.5
CALLERS_EACH = 12
SEEDS, STAY, ADDED = (1, 2, 3), (4, 5, 6), 7


class CountingReplica(kit.Replica):
    ran = []

    def began(self, request):
        super().began(request)
        CountingReplica.ran.append(time.monotonic())


async def call_often(deployment, daemon, number, each, until):
    """Reads of the tenant over one connection; opens another when it closes."""
    count = 0
    while time.monotonic() < until:
        with contextlib.suppress(OSError, asyncio.TimeoutError,
                                 asyncio.IncompleteReadError):
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                deployment.ip(daemon), kit.CALLERS), 1)
            while time.monotonic() < until:
                count += 1
                name = f"d{daemon}-{number}-{count}"
                writer.write(kit.request_bytes(
                    "GET", f"/pull/{name}",
                    [("Request-Id", name), ("Deadline-Ms", "2500"),
                     ("Authorization", "Token key-m")]))
                answer = await asyncio.wait_for(kit.read_message(reader), 3)
                if answer is None:
                    break
                deployment.record.line("answer", name, answer.status)
                await asyncio.sleep(random.expovariate(each))
            writer.close()
        await asyncio.sleep(0.1)


def most_in_window(times):
    first = most = 0
    for last, at in enumerate(times):
        while times[first] < at - WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


async def case(record):
    bounds = {"quota_window_s": WINDOW_S, "quota_overage": OVERAGE,
              "quota_slack": SLACK}
    async with kit.Deployment(record, daemons=6) as deployment:
        for copy in range(3):
            await deployment.add_replica(CountingReplica, f"archive-{copy}",
                                         "archive", copy, slots=16, work_ms=5)
        await deployment.put_config(
            [kit.route("pull", "safe", 2500, 400, service="archive")],
            ["archive"],
            tenants=[{"name": "ministry", "api_keys": ["key-m"],
                      "rate_per_s": RATE, "burst": BURST}])
        await deployment.start_daemons(**bounds)
        await asyncio.sleep(5)
        if kit.trouble():
            for n in SEEDS:
                record.line("daemon", n, "is lost")
                deployment.children[n].kill()
                deployment.children[n].wait()
        await asyncio.sleep(1)
        deployment.start_daemon(ADDED, **bounds)
        await asyncio.sleep(SEED_LAG_S)
        seeds = [f"{deployment.ip(n)}:{kit.PEERS}" for n in STAY]
        path = deployment.work / f"front-{ADDED}.json"
        path.write_text(json.dumps(
            deployment.settings(ADDED, **{**bounds, "seeds": seeds})))
        deployment.children[ADDED].send_signal(signal.SIGHUP)
        record.line("daemon", ADDED, "has the settings with seeds", seeds)
        await deployment.ready(ADDED)
        await asyncio.sleep(12)
        for n in (*STAY, ADDED):
            answer = await kit.call(deployment.ip(n), kit.METRICS, "GET",
                                    "/metrics")
            for line in answer.body.decode().splitlines():
                if line.startswith("shallot_members_seen"):
                    record.line("daemon", n, line)
        until = time.monotonic() + HOT_FOR_S
        callers = len((*STAY, ADDED)) * CALLERS_EACH
        await asyncio.gather(*[
            call_often(deployment, n, k, RATE * HOT / callers, until)
            for n in (*STAY, ADDED) for k in range(CALLERS_EACH)])
        most = most_in_window(CountingReplica.ran)
        record.line(f"most runs in {WINDOW_S} s: {most}, the bound is "
                    f"{BOUND:.0f}")
        for n in (*STAY, ADDED):
            for line in deployment.log(n).splitlines():
                if "quota_opened" in line:
                    record.line(f"log of daemon {n}:", line)
        if most < RATE * WINDOW_S / 2:
            raise kit.CannotRun("too little was served")
        return most <= BOUND


kit.main(FOLDER, case)
