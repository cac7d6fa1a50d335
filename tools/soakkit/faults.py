"""What may happen to a fleet, drawn from a seed.

A schedule is a list of (second, kind, length). Kinds overlap and come in
series; each is a coroutine that does something, waits, and takes it back. What
is drawn while it runs (which daemon, which replica) comes from the same seed.
"""

import asyncio
import signal
import time

from deployment import EVACUATION_MS, HEARTBEAT_S, ZONES
from soakkit.proxy import DOWN, UP
from soakkit.starts import StartTroubles

# Seconds without new disturbances before the end, in which all must be well.
QUIET_END = 8.0
QUIET_START = 1.5
MEAN_GAP = 0.9
SHORTEST, LONGEST = 0.2, 4.0
# Restores of the store in a run, beside those that are drawn like the others.
FEWEST_RESTORES, MOST_RESTORES = 1, 2
# Live replicas write lost registrations again within this time.
REWRITE_SECONDS = 1.5
# Routes that the configuration grows by at most: 0.6 MB.
GROWN = 3000


def schedule(rng, seconds):
    moments = []
    at = QUIET_START
    while at < seconds - QUIET_END:
        moments.append((at, rng.choice(sorted(KINDS)),
                        rng.uniform(SHORTEST, LONGEST)))
        at += rng.expovariate(1 / MEAN_GAP)
    # They take long, and what they bring back must be gone by the end.
    last = max(QUIET_START, seconds - QUIET_END - LONGEST)
    for _ in range(rng.randint(FEWEST_RESTORES, MOST_RESTORES)):
        moments.append((rng.uniform(QUIET_START, last), "store_restored",
                        rng.uniform(SHORTEST, LONGEST)))
    return sorted(moments)


class Faults:
    def __init__(self, world, rng, seconds):
        self.world = world
        self.rng = rng
        self.moments = schedule(rng, seconds)
        self.busy = set()  # Daemons and replicas that something happens to.
        self.notes = []
        self.starts = StartTroubles(self, world.seed, QUIET_START,
                                    seconds - QUIET_END)

    async def run(self):
        began = time.monotonic()
        running = [asyncio.ensure_future(self.starts.run())]
        for at, kind, length in self.moments:
            await asyncio.sleep(max(0, began + at - time.monotonic()))
            self.notes.append(f"{at:.2f} {kind} {length:.2f}")
            running.append(asyncio.ensure_future(KINDS[kind](self, length)))
        await asyncio.gather(*running)

    # Drawing -----------------------------------------------------------------

    def take(self, names):
        free = [name for name in names if name not in self.busy]
        if not free:
            return None
        taken = self.rng.choice(free)
        self.busy.add(taken)
        return taken

    def take_daemon(self):
        return self.take(range(1, self.world.daemons + 1))

    def take_replica(self):
        return self.take([r["id"] for r in self.world.replicas])

    def link(self, start):
        return self.rng.choice([link for name, link in
                                sorted(self.world.links.items())
                                if name.startswith(start)])

    def begin(self, kind, whom, planned=False):
        return self.world.history.begin(kind, whom, time.monotonic(), planned)

    # Daemons -----------------------------------------------------------------

    async def planned_stop(self, _length):
        n = self.take_daemon()
        if n is None:
            return
        mark = self.begin("stop", f"front-{n}", planned=True)
        await self.world.stop(n)
        mark.end = time.monotonic()
        self.busy.discard(n)

    async def rolling_stop(self, _length):
        for _ in range(self.world.daemons // 2):
            asyncio.ensure_future(self.planned_stop(0))
            await asyncio.sleep(self.rng.uniform(0.2, 1.5))

    async def killed(self, _length):
        n = self.take_daemon()
        if n is None:
            return
        mark = self.begin("kill", f"front-{n}")
        await self.world.kill(n)
        mark.end = time.monotonic()
        self.busy.discard(n)

    async def herd_killed(self, _length):
        await asyncio.gather(*(self.killed(0) for _ in
                               range(self.world.daemons // 2 + 1)))

    async def killed_while_stopping(self, length):
        n = self.take_daemon()
        if n is None:
            return
        mark = self.begin("stop and kill", f"front-{n}")
        self.world.expected_exit.add(n)
        self.world.child(n).send_signal(signal.SIGTERM)
        await asyncio.sleep(min(length, 2))
        await self.world.kill(n)
        mark.end = time.monotonic()
        self.busy.discard(n)

    async def paused(self, length):
        n = self.take_daemon()
        if n is None:
            return
        mark = self.begin("pause", f"front-{n}")
        self.world.signal(n, signal.SIGSTOP)
        await asyncio.sleep(length)
        self.world.signal(n, signal.SIGCONT)
        mark.end = time.monotonic()
        self.busy.discard(n)

    async def reloaded(self, _length):
        n = self.take_daemon()
        if n is None:
            return
        mark = self.begin("reload", f"front-{n}", planned=True)
        for _ in range(self.rng.randint(1, 3)):
            self.world.settings(n)
            self.world.signal(n, signal.SIGHUP)
            await asyncio.sleep(0.1)
        mark.end = time.monotonic()
        self.busy.discard(n)

    # The store ---------------------------------------------------------------

    async def store_trouble(self, length, **fields):
        mark = self.begin(f"store {fields}", "store")
        await self.world.tell("store", **fields)
        await asyncio.sleep(length)
        await self.world.tell("store", mode="serving", slow_ms=0)
        mark.end = time.monotonic()

    async def store_busy(self, length):
        # Chosen without a draw, so that the troubles of a seed stay the same.
        mode = "busy" if int(length * 10) % 2 else "throttled"
        await self.store_trouble(length, mode=mode)

    async def store_silent(self, length):
        await self.store_trouble(length, mode="silent")

    async def store_reset(self, length):
        await self.store_trouble(length, mode="reset")

    async def store_slow(self, length):
        await self.store_trouble(length, slow_ms=self.rng.randint(50, 900))

    async def history_dropped(self, _length):
        await self.store_trouble(0.2, drop_history=True)

    async def store_restored(self, length):
        """The store goes away and comes back from a copy that is some seconds
        old. Whoever wrote what is lost writes it again, within seconds."""
        if self.take(["copy of the store"]) is None:
            return
        await self.world.tell("store", take_copy=True)
        await asyncio.sleep(length)
        mark = self.begin("restore", "store")
        await self.world.tell("store", mode=self.rng.choice(
            ["busy", "silent", "reset"]))
        await asyncio.sleep(self.rng.uniform(0, 1))
        await self.world.tell("store", restore_copy=True, mode="serving")
        await asyncio.gather(self.world.write_operator_again(),
                             self.write_replicas_again())
        mark.end = time.monotonic()
        self.busy.discard("copy of the store")

    async def write_replicas_again(self):
        states = list(self.world.states.items())
        for name, state in states:
            await asyncio.sleep(REWRITE_SECONDS / len(states))
            if self.world.states.get(name) == state and state != "gone":
                await self.world.tell_replica(name, state=state)
        # Registrations of replicas that have left expire.
        await asyncio.sleep(max(0, 3 * HEARTBEAT_S - REWRITE_SECONDS))
        gone = [n for n, state in self.world.states.items() if state == "gone"]
        await self.world.tell("store", remove=gone)

    async def entries_lapse(self, length):
        """Entries of live replicas lapse while the store is away and are back
        within two seconds of its return."""
        names = [r["id"] for r in self.world.replicas
                 if r["id"] not in self.busy
                 and r["id"] not in self.world.history.draining]
        lapsed = self.rng.sample(names, len(names) // 2)
        self.busy.update(lapsed)
        mark = self.begin("lapse", "store")
        await self.world.tell("store", mode="busy", remove=lapsed)
        await asyncio.sleep(length)
        await self.world.tell("store", mode="serving")
        for name in lapsed:
            await asyncio.sleep(1.5 / len(lapsed))
            await self.world.tell_replica(name, state="ready")
        mark.end = time.monotonic()
        self.busy.difference_update(lapsed)

    # Links -------------------------------------------------------------------

    async def link_trouble(self, start, length):
        link = self.link(start)
        how = self.rng.choice(["delay", "rate", "cut", "one way", "silence",
                               "reset", "refuse"])
        mark = self.begin(f"link {how}", link.name)
        if how == "delay":
            link.delay = self.rng.uniform(0.01, 0.4)
        elif how == "rate":
            link.rate = self.rng.uniform(1e5, 1e6)
        elif how == "cut":
            link.set_cut(UP, DOWN)
        elif how == "one way":
            link.set_cut(self.rng.choice([UP, DOWN]))
        elif how == "silence":
            link.silence()
        elif how == "refuse":
            link.refuse = True
        else:
            link.reset()
        await asyncio.sleep(length)
        link.heal()
        mark.end = time.monotonic()

    async def store_link(self, length):
        await self.link_trouble("store of", length)

    async def callers_link(self, length):
        await self.link_trouble("callers of", length)

    async def replica_link(self, length):
        await self.link_trouble("replica", length)

    # Replicas ----------------------------------------------------------------

    async def replica_trouble(self, length, begin, end):
        name = self.take_replica()
        if name is None:
            return
        mark = self.begin(f"replica {begin}", f"replica {name}")
        await self.world.tell_replica(name, **begin)
        await asyncio.sleep(length)
        await self.world.tell_replica(name, **end)
        mark.end = time.monotonic()
        self.busy.discard(name)

    async def replica_dies(self, length):
        await self.replica_trouble(length, {"die": True}, {"die": False})

    async def replica_hangs(self, length):
        await self.replica_trouble(length, {"hang": True}, {"hang": False})

    async def replica_sheds(self, length):
        await self.replica_trouble(length, {"shed": True}, {"shed": False})

    async def replica_fails(self, length):
        await self.replica_trouble(length, {"errors": True}, {"errors": False})

    async def replica_slow(self, length):
        await self.replica_trouble(length, {"slow": self.rng.uniform(3, 30)},
                                   {"slow": 1})

    async def replica_garbles(self, length):
        count = self.rng.randint(1, 20)
        field = self.rng.choice(["lose_replies", "extra_replies",
                                 "short_replies", "bare_replies"])
        await self.replica_trouble(length, {field: count}, {field: 0})

    async def replica_leaves(self, _length):
        """It drains and leaves; later another service starts at its address."""
        # The first two of each service stay.
        name = self.take([r["id"] for r in self.world.replicas[2::3]])
        if name is None:
            return
        mark = self.begin("leave", f"replica {name}", planned=True)
        await self.set_state(name, "draining")
        self.world.history.draining[name] = time.monotonic()
        await asyncio.sleep(3.5)
        await self.set_state(name, "gone")
        await asyncio.sleep(2.2)
        service = self.rng.choice(self.world.services())
        successor = f"{service}-{name}"
        await self.world.tell_replica(
            name, become={"id": successor, "service": service})
        self.world.states[successor] = "ready"
        mark.end = time.monotonic()
        # It stays taken: it is another replica now.

    async def set_state(self, name, state):
        self.world.states[name] = state
        await self.world.tell_replica(name, state=state)

    async def zone_evacuated(self, length):
        """A zone's replicas are to get nothing for a while."""
        zone = self.take([name for name, _ in ZONES])
        if zone is None:
            return
        ordered_at = await self.world.insist(self.world.evacuate, zone)
        self.world.evacuated.add(zone)
        await asyncio.sleep(EVACUATION_MS / 1000 + length)
        self.world.history.evacuations.append(
            (zone, ordered_at, time.monotonic()))
        self.world.evacuated.discard(zone)
        await self.world.insist(self.world.take_back, zone)
        self.busy.discard(zone)

    # The configuration -------------------------------------------------------

    async def config_changes(self, _length, count=1):
        mark = self.begin("change", "config", planned=True)
        for _ in range(count):
            await self.world.change_config(
                self.rng.choice(["archive", "archive", "s1"]),
                self.rng.sample(["late", "later", "latest"],
                                self.rng.randint(0, 3)))
            await asyncio.sleep(self.rng.uniform(0, 0.4))
        mark.end = time.monotonic()

    async def config_grows(self, _length):
        """It grows by thousands of routes and changes once more right after."""
        mark = self.begin("change", "config", planned=True)
        routes = [f"grown-{n}" for n in range(self.rng.randint(500, GROWN))]
        await self.world.change_config(more=routes)
        await asyncio.sleep(self.rng.uniform(0, 1.0))
        await self.world.change_config(more=routes[1:])
        mark.end = time.monotonic()

    async def config_storm(self, length):
        await self.config_changes(length, self.rng.randint(3, 8))


KINDS = {name: getattr(Faults, name) for name in (
    "planned_stop", "rolling_stop", "killed", "herd_killed",
    "killed_while_stopping", "paused", "reloaded", "store_busy", "store_silent",
    "store_reset", "store_slow", "store_restored", "history_dropped",
    "entries_lapse",
    "store_link", "callers_link", "replica_link", "replica_dies",
    "replica_hangs", "replica_sheds", "replica_fails", "replica_slow",
    "replica_garbles", "replica_leaves", "config_changes", "config_grows",
    "config_storm", "zone_evacuated")}
