#!/usr/bin/env python3
"""Guards against daemons that do not start, or end by themselves.

    daemons_end_as_told.py BUILD SCENARIO [LIVES]

SCENARIO fleet plays LIVES lives of six daemons, 36 by default.
"""

import contextlib
import json
import os
import pathlib
import random
import resource
import signal
import socket
import subprocess
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tools"))

from deployment import Deployment  # noqa: E402
from fleet import Fleet, call, wait_until  # noqa: E402

GRACE_S, END_S = 6, 8
HELD_S = 0.5            # An address or a file is away for so long.
READY_S = 10
# Until the process has its actions: the code of its own, before any library.
BEFORE_ACTIONS_MS = 3.0
STARTS = range(0, 42)   # Milliseconds after that.
FLEET = 6
ENDING = ("HUP", "PIPE", "ALRM", "VTALRM", "PROF", "USR1", "USR2", "IO", "PWR",
          "STKFLT", "XCPU", "XFSZ", "TSTP", "TTIN", "TTOU")
REAL_TIME = (signal.SIGRTMIN, signal.SIGRTMAX)
SERIES = ("HUP", "USR1", "PIPE", "HUP", "ALRM", "XFSZ")
STOPPING = ("TERM", "INT", "QUIT")


def number(name):
    return getattr(signal, f"SIG{name}")


def acts_on(child, what):
    """Whether the process has an action of its own for a signal."""
    status = pathlib.Path(f"/proc/{child.pid}/status").read_text()
    masks = [int(status.split(f"Sig{name}:")[1].split()[0], 16)
             for name in ("Ign", "Cgt")]
    return bool((masks[0] | masks[1]) >> (what - 1) & 1)


class Ends(Deployment):
    def lines(self, n, event=None):
        """What a daemon has logged."""
        text = self.path(f"front-{n}.log").read_text()
        events = [json.loads(line) for line in text.splitlines()
                  if line.startswith("{")]
        return [e for e in events if event in (None, e["event"])]

    def child(self, n):
        return self.children[f"front-{n}"]

    def start_guarded(self, n):
        """Starts a daemon and returns when its actions are set."""
        self.start_daemon(n)
        child = self.child(n)
        while not (acts_on(child, signal.SIGHUP) and
                   acts_on(child, signal.SIGTERM)):
            assert child.poll() is None, f"front-{n} ended: {child.returncode}"

    def settings_of(self, n):
        return json.loads(pathlib.Path(self.settings(n)).read_text())

    def check_runs(self, n, why):
        code = self.child(n).poll()
        assert code is None, f"{why}: front-{n} ended with {code}"
        state = pathlib.Path(f"/proc/{self.child(n).pid}/stat").read_text()
        assert state.rsplit(")", 1)[1].split()[0] != "T", f"{why}: it is stopped"

    def check_streams_are_unused(self, n):
        """A socket or pipe in place of a stream would get the log."""
        for stream in range(3):
            has = os.readlink(f"/proc/{self.child(n).pid}/fd/{stream}")
            assert has == "/dev/null", f"stream {stream} is {has}"

    def check_serves(self, n, why):
        wait_until(f"{why}: front-{n} is ready", READY_S,
                   lambda: self.ready(n))

    def check_ended(self, n, why, code=0, line="stopped"):
        got = self.child(n).wait(END_S)
        assert got == code, f"{why}: front-{n} ended with {got}, not {code}"
        assert self.lines(n, line), f"{why}: front-{n} ended without '{line}'"

    def check_stops(self, n, why):
        self.signal(n, signal.SIGTERM)
        self.check_ended(n, why)


@contextlib.contextmanager
def held(address, kind=socket.SOCK_STREAM):
    """Another socket has the address."""
    ip, port = address.split(":")
    with socket.socket(socket.AF_INET, kind) as taken:
        taken.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        taken.bind((ip, int(port)))
        if kind == socket.SOCK_STREAM:
            taken.listen()
        yield


def check_actions_come_soon(ends):
    """Processor time, because a busy machine lengthens any other."""
    used = sorted(float(line["cpu_to_signals_ms"])
                  for n in range(1, FLEET + 1)
                  for line in ends.lines(n, "process_started"))
    middle = used[len(used) // 2]
    print(f"{len(used)} starts: {middle:.2f} ms of processor time until the "
          f"actions at the middle, {used[-1]:.2f} at most")
    assert middle <= BEFORE_ACTIONS_MS, used


def signals_while_serving(ends):
    ends.start_daemon(1)
    ends.check_serves(1, "before all signals")
    for what in [*map(number, ENDING), *REAL_TIME]:
        for _ in range(3):
            ends.signal(1, what)
            time.sleep(0.02)
        ends.check_runs(1, f"signal {what}")
    ends.check_serves(1, "after all signals")
    ends.check_stops(1, "after all signals")


def signals_at_a_start(ends):
    """Series of signals from each millisecond of a start on, a stop behind."""
    for first_ms in STARTS[::FLEET]:
        moments = dict(enumerate(range(first_ms, first_ms + FLEET), start=1))
        for n, after_ms in moments.items():
            ends.start_guarded(n)
            time.sleep(after_ms / 1000)
            for what in SERIES:
                ends.signal(n, number(what))
            time.sleep(0.01)
            ends.check_runs(n, f"signals {after_ms} ms after the start")
            ends.signal(n, number(STOPPING[after_ms % len(STOPPING)]))
            ends.signal(n, signal.SIGHUP)
        for n, after_ms in moments.items():
            ends.check_ended(n, f"stopped {after_ms} ms after the start")
    check_actions_come_soon(ends)


def signals_at_a_stop(ends):
    """SIGHUP without pause until six daemons have stopped."""
    ends.start_daemons()
    for n in range(1, FLEET + 1):
        ends.signal(n, signal.SIGTERM)
    running = set(range(1, FLEET + 1))
    while running:
        for n in list(running):
            if ends.child(n).poll() is not None:
                running.discard(n)
                ends.check_ended(n, "signals at a stop")
                continue
            ends.signal(n, signal.SIGHUP)
            ends.signal(n, signal.SIGTERM)
        time.sleep(0.0005)


def signals_on_a_quarter(ends):
    """Six daemons start at once on a quarter of a core each, four times."""
    everywhere = os.sched_getaffinity(0)
    cores = sorted(everywhere)[:2]
    busy = [subprocess.Popen([sys.executable, "-c", "while True: pass"],
                             preexec_fn=lambda c=c: os.sched_setaffinity(0, {c}))
            for c in cores]
    try:
        for play in range(4):
            for n in range(1, FLEET + 1):
                os.sched_setaffinity(0, {cores[n % len(cores)]})
                ends.start_daemon(n)
            os.sched_setaffinity(0, everywhere)
            waiting = set(range(1, FLEET + 1))
            until = time.monotonic() + 0.5
            while time.monotonic() < until:
                for n in range(1, FLEET + 1):
                    if n in waiting and acts_on(ends.child(n), signal.SIGHUP):
                        waiting.discard(n)
                    if n not in waiting:
                        ends.signal(n, signal.SIGHUP)
                        ends.signal(n, signal.SIGUSR1)
                time.sleep(0.001)
            for n in range(1, FLEET + 1):
                ends.check_runs(n, f"six starts, play {play}")
                ends.signal(n, signal.SIGTERM)
            for n in range(1, FLEET + 1):
                ends.check_ended(n, f"six starts, play {play}")
    finally:
        for child in busy:
            child.kill()
            child.wait()
    check_actions_come_soon(ends)


def addresses_away_at_a_start(ends):
    settings = ends.settings_of(1)
    stream, datagram = socket.SOCK_STREAM, socket.SOCK_DGRAM
    for what, kind in [("callers", stream), ("readiness", stream),
                       ("directory", stream), ("peers", stream),
                       ("metrics", stream), ("gossip", datagram),
                       ("quotas", datagram)]:
        with held(settings[what], kind):
            ends.start_daemon(1)
            time.sleep(HELD_S)
            ends.check_runs(1, f"address of {what} held")
        ends.check_serves(1, f"address of {what} held")
        wait_until(f"address of {what} is used", READY_S,
                   lambda w=what, k=kind: in_use(settings[w], k))
        # Ends it without the wait for callers.
        ends.child(1).kill()
        ends.child(1).wait()


def in_use(address, kind):
    try:
        with held(address, kind):
            return False
    except OSError:
        return True


def metrics_away_for_good(ends):
    with held(ends.settings_of(1)["metrics"]):
        ends.start_daemons()
        status, _ = call(f"{ends.ip(1)}:8225", "GET", "/resolve?name=search.example"
                         "&region=r-south&zone=z-south")
        assert status == 200, status
        ends.check_stops(1, "metrics away")


def settings_come_late(ends):
    path = pathlib.Path(ends.settings(1))
    whole = path.read_text()
    for first in (None, "", whole[:len(whole) // 2]):
        path.unlink(missing_ok=True)
        if first is not None:
            path.write_text(first)
        ends.start_daemon(1, path)
        time.sleep(HELD_S)
        ends.check_runs(1, "settings away")
        ends.signal(1, signal.SIGHUP)
        path.write_text(whole)
        ends.check_serves(1, "settings came")
        ends.child(1).kill()
        ends.child(1).wait()
    path.unlink()
    ends.start_daemon(1, path)
    time.sleep(HELD_S)
    ends.check_stops(1, "stopped while it waits for settings")


def wrong_settings_end_it(ends):
    path = pathlib.Path(ends.settings(1))
    settings = json.loads(path.read_text())
    path.write_text(json.dumps({**settings, "stop_grace_s": -1}))
    ends.start_daemon(1, path)
    ends.check_ended(1, "a wrong value", 2, "start_failed")
    assert "stop_grace_s" in ends.lines(1, "start_failed")[-1]["why"]


def output_goes_away(ends):
    """The reader of a pipe ends, a file is at its limit, nothing is open."""
    command = [str(ends.build / "programs/shallotshiftd"), "--front",
               ends.settings(1)]

    def few_bytes():
        resource.setrlimit(resource.RLIMIT_FSIZE, (300, 300))

    def no_streams():
        for stream in range(3):
            os.close(stream)

    read, write = os.pipe()
    plays = [("a pipe", {"stdout": write}),
             ("a file", {"stdout": open(ends.path("front-1.log"), "w"),
                         "preexec_fn": few_bytes}),
             ("nothing", {"preexec_fn": no_streams, "close_fds": True})]
    for what, streams in plays:
        ends.children["front-1"] = subprocess.Popen(command, **streams)
        if what == "a pipe":
            os.close(write)
            time.sleep(0.2)
            os.close(read)
        ends.check_serves(1, f"output: {what}")
        for _ in range(5):
            ends.signal(1, signal.SIGHUP)
            time.sleep(0.02)
            ends.check_runs(1, f"output: {what}")
        if what == "nothing":
            ends.check_streams_are_unused(1)
        ends.check_serves(1, f"output: {what}")
        ends.signal(1, signal.SIGTERM)
        code = ends.child(1).wait(END_S)
        assert code == 0, f"output: {what}: ended with {code}"


def crashes_leave_a_line(ends):
    for what in ("SEGV", "ABRT", "BUS", "SYS"):
        ends.start_daemons()
        ends.signal(1, number(what))
        ends.check_ended(1, what, -number(what), "crashed")
        assert ends.lines(1, "crashed")[-1]["signal"] == what


def high_memory_leaves_a_line(ends):
    """A kill for memory would leave none."""
    path = pathlib.Path(ends.settings(1))
    settings = json.loads(path.read_text())
    path.write_text(json.dumps({**settings, "memory_mb": 16}))
    ends.start_daemon(1, path)
    wait_until("memory_high", READY_S, lambda: ends.lines(1, "memory_high"))


def memory_of_who_starts_it_is_not_its_own(ends):
    large = bytearray(b"x" * (300 << 20))
    ends.start_daemon(1)
    ends.check_serves(1, f"started beside {len(large)} bytes")
    time.sleep(1.5)
    assert not ends.lines(1, "memory_high"), ends.lines(1, "memory_high")


def own_interface(build):
    """The product's own daemon holds the same."""
    with Fleet(build, daemons=1, net="127.0.37") as fleet:
        for what in [*map(number, ENDING), number("HUP"), *REAL_TIME]:
            fleet.signal(1, what)
            time.sleep(0.02)
        assert call(fleet.entry(1), "GET", "/livez")[0] == 200, "after signals"
        for address in (fleet.entry(1), "127.0.37.1:7102"):
            fleet.kill(1)
            with held(address):
                fleet.start_daemon(1)
                time.sleep(HELD_S)
                code = fleet.children["entry-1"].poll()
                assert code is None, f"{address} held: ended with {code}"
            wait_until(f"{address} held: lives", READY_S,
                       lambda: call(fleet.entry(1), "GET", "/livez")[0] == 200)
        for _ in range(3):
            fleet.signal(1, signal.SIGTERM)
        code = fleet.children["entry-1"].wait(60)
        assert code == 0, f"ended with {code} after SIGTERM"


class Life:
    """One daemon of a fleet, started, signalled, and stopped or killed."""

    def __init__(self, ends, n, rng):
        self.ends, self.n, self.rng = ends, n, rng
        self.lives = 0
        self.begin()

    def begin(self):
        self.lives += 1
        self.ends.start_guarded(self.n)
        self.stop_at = time.monotonic() + self.rng.choice(
            [0, self.rng.uniform(0, 0.1), self.rng.uniform(0, 1.5)])
        self.told = None

    def step(self):
        """Returns whether the life has ended."""
        child = self.ends.child(self.n)
        code = child.poll()
        if code is not None:
            assert code == self.told, f"front-{self.n} ended with {code}"
            if code == 0:
                last = self.ends.lines(self.n)[-1]["event"]
                assert last == "stopped", f"front-{self.n}: last line {last}"
            return True
        if time.monotonic() >= self.stop_at and self.told is None:
            kill = self.rng.random() < 0.3
            self.told = -signal.SIGKILL if kill else 0
            child.send_signal(signal.SIGKILL if kill else number(
                self.rng.choice(STOPPING)))
        elif self.rng.random() < 0.2:
            child.send_signal(number(self.rng.choice(ENDING)))
        return False


def fleet_of_lives(ends, lives, seed=1):
    rng = random.Random(seed)
    running = [Life(ends, n, rng) for n in range(1, FLEET + 1)]
    begun = FLEET
    while running:
        for life in list(running):
            if not life.step():
                continue
            if begun < lives:
                begun += 1
                life.begin()
            else:
                running.remove(life)
        time.sleep(0.002)
    print(f"{begun} lives, none ended by itself")


SCENARIOS = {
    "fleet": (fleet_of_lives,),
    "outputs": (output_goes_away, crashes_leave_a_line,
                high_memory_leaves_a_line,
                memory_of_who_starts_it_is_not_its_own),
    "own": (own_interface,),
    "signals": (signals_while_serving, signals_at_a_start, signals_at_a_stop,
                signals_on_a_quarter),
    "starts": (addresses_away_at_a_start, metrics_away_for_good,
               settings_come_late, wrong_settings_end_it),
}


def run(build, scenario, play, lives):
    if scenario == "own":
        return play(build)
    fleet = FLEET if scenario in ("fleet", "signals") else 1
    net = f"127.{63 + sorted(SCENARIOS).index(scenario)}.0"
    with Ends(build, net, daemons=fleet) as ends:
        ends.put_config(ends.config(7))
        return play(ends, lives) if scenario == "fleet" else play(ends)


def main():
    build, scenario, *lives = sys.argv[1:]
    for play in SCENARIOS[scenario]:
        began = time.monotonic()
        run(build, scenario, play, int(*lives or [36]))
        print(f"{play.__name__}: held, {time.monotonic() - began:.1f} s",
              flush=True)


if __name__ == "__main__":
    main()
