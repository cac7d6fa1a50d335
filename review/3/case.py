"""A planned stop: SIGTERM, and clients that still use the daemon's address."""

import asyncio
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
import standins as st  # noqa: E402

# khus-search-now-grown.toml: a zone of each region, policy-archive, policy-pull
# (unsafe on the days under `further`), grace_s and the other bounds.
ZONES = [("ub-hall-a", "ulaanbaatar"), ("dkh-hall-1", "darkhan"),
         ("erd-hall-1", "erdenet")]
BOUNDS = {"grace_s": 6, "drain_ms": 5000, "ttl_max_s": 5}
DEADLINE_MS, TIMEOUT_MS, OBJECTIVE_MS = 6000, 6000, 1000
USUAL_S, WORK_S = 0.22, 1.3  # work_ms has mean = 220 and max = 1300.
EARLIER = 0x1000  # Ids of the clients' requests before the stop.
STABILITY_S = 6.0
# Clients keep an answer of the directory for ttl_s, some for three times that.
PATIENT = 3
BEFORE_STOP_S = 0.8  # When the clients asked the directory.
# When they send, after the SIGTERM; all within PATIENT x ttl_s of the answer.
SEND_AT_S = (1.0, 2.5, 4.65, 4.75, 4.85, 4.95)


class Ask:
    def __init__(self, number, at):
        self.id = f"{number:016x}"
        self.at = at
        self.sent_at = self.ended_at = None
        self.how = "no answer"
        self.status = 0


async def exchange(world, ask, reader, writer):
    """One request of a client, on a connection that it keeps open."""
    ask.sent_at = time.monotonic()
    world.record.line("sent", id=ask.id)
    try:
        writer.write(st.request_bytes("POST", "/policy-pull/2f", ask.id,
                                      DEADLINE_MS, b"b" * 300))
        message = await asyncio.wait_for(st.read_message(reader),
                                         DEADLINE_MS / 1000)
        ask.how = "answered" if message else "closed"
        ask.status = message.status if message else 0
    except (OSError, asyncio.TimeoutError, TimeoutError):
        pass
    ask.ended_at = time.monotonic()
    world.record.line("ended", id=ask.id, how=ask.how, status=ask.status)


async def client(world, ask, stop_at):
    """A client that asked the directory before the stop, and whose connection
    and answer of the directory are still good when it sends again."""
    asked_at = stop_at - BEFORE_STOP_S
    await asyncio.sleep(asked_at - time.monotonic())
    told = await world.resolve(1, *ZONES[0])
    address = f"{world.ip(1)}:{st.CALLERS}"
    if told is None or address not in told["addrs"]:
        raise st.CannotRun(f"the directory did not name {address}: {told}")
    if asked_at + PATIENT * min(told["ttl_s"], BOUNDS["ttl_max_s"]) < \
            stop_at + ask.at:
        raise st.CannotRun("the directory's answer is not in force any more")
    reader, writer = await asyncio.open_connection(world.ip(1), st.CALLERS)
    earlier = Ask(int(ask.id, 16) + EARLIER, 0)
    await exchange(world, earlier, reader, writer)
    if earlier.status != 200:
        raise st.CannotRun(f"{earlier.id}: {earlier.how} {earlier.status}")
    await asyncio.sleep(stop_at + ask.at - time.monotonic())
    if reader.at_eof():
        ask.how = "closed before"  # Nothing was sent on it.
        world.record.line("closed-before", id=ask.id)
    else:
        await exchange(world, ask, reader, writer)
    writer.close()


def work(request):
    earlier = int(request.header("request-id"), 16) > EARLIER
    return USUAL_S if earlier else WORK_S


async def case(trouble):
    world = st.Deployment(HERE, ZONES, 3, BOUNDS)
    world.add_replicas("policy-archive", 6, slots=4, queue=16,
                       work=work)
    try:
        await world.start(st.configuration(
            7, [st.route("policy-pull", "unsafe", TIMEOUT_MS, OBJECTIVE_MS,
                         "policy-archive")], [("policy-archive", 560)]))
        await asyncio.sleep(STABILITY_S + 1)
        stop_at = time.monotonic() + 2
        asks = [Ask(n, at) for n, at in enumerate(SEND_AT_S, 1)]
        clients = [asyncio.create_task(client(world, ask, stop_at))
                   for ask in asks]
        await asyncio.sleep(stop_at - time.monotonic())
        if trouble:
            world.signal(1, signal.SIGTERM)
        # The platform kills what still runs after grace_s.
        await asyncio.sleep(BOUNDS["grace_s"])
        if trouble and world.children[1].poll() is None:
            world.signal(1, signal.SIGKILL)
        await asyncio.gather(*clients)
        return judge(world, asks, stop_at, trouble)
    finally:
        world.stop()


def judge(world, asks, stop_at, trouble):
    """LOST: a request that was read and passed on to a replica, and whose
    connection ends without an answer, with the rule's excuses."""
    broken = []
    began = {run[1]: run[0] for replica in world.replicas
             for run in replica.runs}
    for ask in asks:
        if ask.how != "closed" or ask.id not in began:
            continue
        if ask.ended_at - ask.sent_at >= min(DEADLINE_MS, TIMEOUT_MS) / 1000:
            continue  # The deadline or the route's timeout was reached.
        sent = ask.sent_at - stop_at
        last_sixth = BOUNDS["grace_s"] * 5 / 6
        at_work = ask.ended_at - stop_at >= last_sixth
        if at_work and sent <= 3:
            continue
        if trouble and ask.ended_at > stop_at + BOUNDS["grace_s"] + 1:
            continue  # Not around planned work.
        broken.append(
            f"LOST: {ask.id} was sent {sent:.2f} s after the SIGTERM, ran at a "
            f"replica, and its connection was closed without an answer "
            f"{ask.ended_at - stop_at:.2f} s after it")
    for text in broken:
        world.record.line("broken", what=text.replace(" ", "_"))
    return broken


st.main(case)
