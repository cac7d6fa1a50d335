#!/usr/bin/env python3
"""Three daemons, four shards of three replicas, real processes.

One caller's search ends every replica that begins to run it; the replica is back
under a new id a second later. The caller asks again and again, each time at the
next daemon, and once more at once when it is not told to stay away. Every lost
send counted against its replica only and was sent on to the next one, and no
daemon knew what another had seen, so that one request emptied all shards at each
repetition. Four seconds after its third replica has ended the request may reach
replicas three times more at most, whichever daemon it comes to.

    requests_that_end_replicas.py BUILD SCENARIO [SEED]
"""

import http.client
import pathlib
import random
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tools"))

from deployment import HOST, Deployment  # noqa: E402
from fleet import wait_until  # noqa: E402

DEADLY = "/sweep/deadly"
BACK_AFTER_MS = 1000
ENOUGH_CRASHES = 3      # From then on it is known what the request does.
WINDOW_S = 4.0          # In which every daemon must have learned of it.
MOST_SENDS_LATER = 3
FINAL = (400, 401, 404, 413, 431)   # No caller asks again after these.
PAUSE_S = 0.7


class Scenario:
    def __init__(self, build, net, seed):
        self.deployment = Deployment(build, net, shards=4)
        self.random = random.Random(seed)
        self.requests = 0
        self.lock = threading.Lock()
        self.asked = {}         # By request id: the daemon, and when.
        self.disturbed = []     # (daemon or "store", from, until), in ms.

    # Callers --------------------------------------------------------------

    def ask(self, daemon, path, request=None):
        """Status of one attempt; 0 when its connection broke."""
        with self.lock:
            self.requests += 1
            request = request or f"q-{self.requests}"
            self.asked[request] = (daemon, now_ms())
        at = self.deployment.caller_address(daemon)
        connection = http.client.HTTPConnection(at, timeout=5)
        try:
            connection.request("GET", path, None, {
                "Host": HOST, "Request-Id": request, "Deadline-Ms": "800"})
            reply = connection.getresponse()
            reply.read()
            return reply.status
        except OSError:
            return 0
        finally:
            connection.close()

    def ask_twice(self, daemon, path):
        """As callers do: once more, at another daemon, after a failure."""
        status = self.ask(daemon, path)
        if status == 200 or status in FINAL:
            return status
        return self.ask(daemon % self.deployment.daemons + 1, path)

    # Replicas ---------------------------------------------------------------

    def make_deadly(self, word="deadly"):
        for replica in self.deployment.replicas:
            self.deployment.order_replica(replica["id"], ended_by=word,
                                          back_after_ms=BACK_AFTER_MS)

    def reached(self, path=DEADLY):
        return [a for a in self.deployment.arrivals() if a["target"] == path
                and a["how"] != "misled"]

    def calm(self, request):
        """Neither its daemon nor the store was disturbed in the window before
        the request was asked; nobody else must have learned in time."""
        daemon, at = self.asked[request]
        return not any(
            whom in (daemon, "store") and since <= at
            and until >= at - WINDOW_S * 1000
            for whom, since, until in self.disturbed)

    def check_bound(self):
        """Nothing more than the bound reached a replica once it was known."""
        lines = self.reached()
        ended = sorted(a["ended_at"] for a in lines if a["how"] == "crashed")
        assert len(ended) >= ENOUGH_CRASHES, f"only {len(ended)} replicas ended"
        known = ended[ENOUGH_CRASHES - 1] + WINDOW_S * 1000
        later = [a for a in lines
                 if a["read_at"] > known and self.calm(a["request"])]
        print(f"{len(ended)} replicas ended, {len(later)} sends later")
        assert len(later) <= MOST_SENDS_LATER, \
            f"{len(later)} sends after all had to know, {len(ended)} ended"

    # Daemons ------------------------------------------------------------------

    def start(self):
        self.deployment.put_config(self.deployment.config(7))
        self.deployment.start_daemons()
        wait_until("searches are served", 10,
                   lambda: self.ask(1, "/sweep/usual") == 200)

    def start_again(self, daemons):
        for n in daemons:
            child = self.deployment.children[f"front-{n}"]
            child.kill()
            child.wait()
        for n in daemons:
            self.deployment.start_daemon(n)
        for n in daemons:
            wait_until(f"front-{n} is ready", 30,
                       lambda n=n: self.deployment.ready(n))

    def repeat(self, seconds, daemons=(1, 2, 3)):
        until = time.monotonic() + seconds
        turn = 0
        while time.monotonic() < until:
            self.ask_twice(daemons[turn % len(daemons)], DEADLY)
            turn += 1
            time.sleep(PAUSE_S)


def repeated(s):
    """The request comes again at every daemon in turn."""
    s.make_deadly()
    s.repeat(WINDOW_S + 5)
    s.check_bound()


def restarted(s):
    """One daemon after another is killed and starts again without a memory, at
    last all of them at once; the request goes on coming."""
    s.make_deadly()
    s.repeat(3)
    for n in (1, 2, 3):
        s.start_again([n])
        s.repeat(1.5)
    s.start_again([1, 2, 3])
    time.sleep(WINDOW_S)
    s.repeat(3)
    s.check_bound()


def store_away(s):
    """The store does not answer while the request does its harm at one daemon;
    when it is back, the others have to know as well."""
    s.make_deadly()
    s.deployment.order_store(mode="busy")
    s.repeat(3, daemons=(1,))
    s.deployment.order_store(mode="serving")
    time.sleep(WINDOW_S)
    s.repeat(3, daemons=(2, 3))
    s.check_bound()


def innocents(s):
    """Other searches are in flight on the replicas that the request ends, the
    same ones again and again; and replicas end for other reasons. None of
    these searches is told to stay away, and all are served when it is over."""
    refused = []
    going = True

    def innocent(n):
        while going:
            status = s.ask_twice(n % 3 + 1, f"/sweep/innocent-{n}")
            if status in FINAL:
                refused.append((n, status))
            time.sleep(0.02)

    callers = [threading.Thread(target=innocent, args=(n,)) for n in range(6)]
    s.make_deadly()
    for c in callers:
        c.start()
    try:
        s.repeat(4)
        for _ in range(3):
            for copy in "abc":
                end_copies(s, copy)
                time.sleep(0.3)
    finally:
        going = False
        for c in callers:
            c.join()
    time.sleep(1.5)
    assert not refused, f"innocent searches were turned away: {refused[:5]}"
    for n in range(6):
        wait_until(f"innocent {n} is served", 5, lambda n=n: s.ask(
            n % 3 + 1, f"/sweep/innocent-{n}") == 200)


def troubles(s):
    """Daemons are killed, paused and cut from the store by its silence, in series
    and overlapping, while the request comes to any of them."""
    s.make_deadly()
    end = time.monotonic() + 30
    busy_until = {n: 0.0 for n in (1, 2, 3, "store")}

    def trouble():
        whom = s.random.choice([1, 2, 3, 1, 2, 3, "store"])
        length = s.random.uniform(0.3, 2.5)
        if busy_until[whom] > time.monotonic():
            return
        busy_until[whom] = time.monotonic() + length
        threading.Thread(target=disturb, args=(s, whom, length)).start()

    while time.monotonic() < end:
        if s.random.random() < 0.3 and time.monotonic() < end - 8:
            trouble()
        daemon = s.random.choice((1, 2, 3))
        if busy_until[daemon] < time.monotonic():
            s.ask_twice(daemon, DEADLY)
        time.sleep(s.random.uniform(0.2, 0.8))
    s.check_bound()


def disturb(s, whom, length):
    d = s.deployment
    since = now_ms()
    if whom == "store":
        d.order_store(mode=s.random.choice(["busy", "silent", "reset"]))
        time.sleep(length)
        d.order_store(mode="serving")
    elif s.random.random() < 0.5:
        s.start_again([whom])
    else:
        d.signal(whom, signal.SIGSTOP)
        time.sleep(length)
        d.signal(whom, signal.SIGCONT)
    s.disturbed.append((whom, since, now_ms()))


def now_ms():
    """As the replicas' log has it."""
    return time.monotonic() * 1000


def end_copies(s, copy):
    """Every shard's replica of this copy ends, whatever it runs, and is back
    after a while."""
    names = {a["replica"] for a in s.deployment.arrivals()}
    for shard in s.deployment.shards:
        mine = sorted((name for name in names
                       if name.split(".")[0] == f"{shard}-{copy}"),
                      key=lambda name: len(name))
        for name in mine[-1:]:
            try:
                s.deployment.order_replica(name, die=True)
                s.deployment.order_replica(name, die=False)
            except RuntimeError as gone:
                print(f"{name} has just ended by itself: {gone}")


SCENARIOS = {f.__name__: f for f in (repeated, restarted, store_away, innocents,
                                     troubles)}


def main():
    build, name = sys.argv[1:3]
    seed = int(sys.argv[3]) if len(sys.argv) > 3 else 1
    net = f"127.{50 + sorted(SCENARIOS).index(name)}.{seed % 250}"
    s = Scenario(build, net, seed)
    with s.deployment:
        s.start()
        SCENARIOS[name](s)
    print(f"{name}: passed")


if __name__ == "__main__":
    main()
