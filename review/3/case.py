"""All daemons are killed while the store holds an entry that cannot be read."""

import asyncio
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
import standins as st  # noqa: E402

ZONES = [("bagmati-a", "bagmati"), ("gandaki-a", "gandaki"),
         ("koshi-a", "koshi")]
BOUNDS = {"grace_s": 6, "drain_ms": 5000, "ttl_max_s": 5}
DEADLINE_MS, TIMEOUT_MS, OBJECTIVE_MS = 2500, 2500, 800
WORK_S = 0.09  # work_ms of archive-fetch has mean = 90.
RECOVERY_S, DOWN_S, PER_S = 15, 1.0, 20
DAEMONS = 6
# An entry of another writer under `servers`. Its service is a JSON string with
# half of a surrogate pair, which names no character and has no UTF-8 form.
UNREADABLE = (r'{"service":"rec\ud800ords","address":"x","zone":"bagmati-a",'
              r'"version":"v1","slots":4,"state":"ready","warmup_left_ms":0,'
              r'"sequence":1}')
# The same entry with a state that the pages don't name, in bytes that can be
# read: it stands there with TROUBLE=0.
READABLE = UNREADABLE.replace(r"\ud800", "").replace("ready", "resting")


class World(st.Deployment):
    number = 0

    async def fetch(self, daemon):
        """One request of a client; its status, or 0."""
        self.number += 1
        ask = f"{self.number:016x}"
        status = 0

        async def exchange():
            reader, writer = await asyncio.open_connection(self.ip(daemon),
                                                           st.CALLERS)
            try:
                writer.write(st.request_bytes("GET", "/archive-fetch/2f", ask,
                                              DEADLINE_MS))
                answer = await st.read_message(reader)
                return answer.status if answer else 0
            finally:
                writer.close()
        try:
            status = await asyncio.wait_for(exchange(), DEADLINE_MS / 1000)
        except (OSError, asyncio.TimeoutError, TimeoutError):
            pass
        self.record.line("fetched", id=ask, daemon=daemon, status=status)
        return status

    async def traffic(self, seconds):
        """Statuses of requests to all daemons in turn."""
        end = time.monotonic() + seconds
        started = []
        while time.monotonic() < end:
            started.append(asyncio.create_task(
                self.fetch(len(started) % DAEMONS + 1)))
            await asyncio.sleep(1 / PER_S)
        return await asyncio.gather(*started)


def share_served(statuses):
    return sum(status == 200 for status in statuses) / len(statuses)


async def case(trouble):
    world = World(HERE, ZONES, DAEMONS, BOUNDS)
    world.add_replicas("records-office", 6, slots=4, queue=16,
                       work=lambda request: WORK_S)
    try:
        await world.start(st.configuration(7, [
            st.route("archive-fetch", "safe", TIMEOUT_MS, OBJECTIVE_MS,
                     "records-office")], [("records-office", 550)]))
        await asyncio.sleep(3)
        raw = UNREADABLE if trouble else READABLE
        await world.store.put("servers", "i-of-another-writer", {}, raw=raw)
        world.record.line("entry", text=raw)
        before = share_served(await world.traffic(6))
        for n in range(1, DAEMONS + 1):
            world.signal(n, signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        for n in range(1, DAEMONS + 1):
            world.children[n].wait()
            world.spawn(n)
        await world.traffic(RECOVERY_S)
        after = share_served(await world.traffic(20))
        ready = [await world.ready(n) for n in range(1, DAEMONS + 1)]
        print(f"served before the kill {before:.3f}, later than recovery_s "
              f"after the start {after:.3f}; ready {ready}")
        world.record.line("served", before=before, after=after)
        if before < 0.25 or after >= 0.25:
            return []
        return [f"RECOVER: {after:.3f} of the requests sent later than "
                f"{RECOVERY_S} s after the machines were back were served, "
                f"{before:.3f} before"]
    finally:
        world.stop()


st.main(case)
