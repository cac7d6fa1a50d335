#!/usr/bin/env python3
"""Guards against daemons that ignore changes after the store came back from a copy.

    restored_store.py BUILD
"""

import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tools"))

from deployment import READY_SECONDS, Deployment  # noqa: E402
from fleet import wait_until  # noqa: E402

DAEMONS = 6         # Two in each region: one reads the store, one its peer.
BOUND_S = 3.0       # In which an acknowledged change is in force everywhere.
LOST_REVISIONS = 40
AWAY_S = 1.0
RESTORES = 3


def installed(deployment, daemon):
    """The versions that a daemon installed, in order."""
    lines = deployment.path(f"front-{daemon}.log").read_text().splitlines()
    events = [json.loads(line) for line in lines if line.startswith("{")]
    return [int(e["version"]) for e in events if e["event"] == "config_installed"]


def in_force_everywhere(deployment, version):
    return all(installed(deployment, n)[-1:] == [version]
               for n in range(1, deployment.daemons + 1))


def write(deployment, version):
    deployment.put_config(deployment.config(version))
    began = time.monotonic()
    wait_until(f"version {version} is in force everywhere", BOUND_S,
               lambda: in_force_everywhere(deployment, version))
    print(f"version {version} in force after {time.monotonic() - began:.2f} s")


def start_in_the_middle(deployment, version):
    """A daemon that starts while the store lacks a version that the others have
    in force lets callers in with that version."""
    deployment.order_store(take_copy=True)
    write(deployment, version)
    deployment.order_store(restore_copy=True)
    time.sleep(AWAY_S)
    for n in range(1, deployment.daemons + 1):
        deployment.restart(n)
        assert installed(deployment, n)[-1] == version, \
            f"front-{n} is ready with {installed(deployment, n)}"


def play(deployment):
    version = 7
    deployment.put_config(deployment.config(version))
    deployment.start_daemons()
    for _ in range(RESTORES):
        deployment.order_store(take_copy=True)
        for n in range(LOST_REVISIONS):
            deployment.evacuate(f"elsewhere-{n}")
        version += 3
        write(deployment, version)
        deployment.order_store(mode="busy")
        time.sleep(AWAY_S)
        deployment.order_store(restore_copy=True, mode="serving")
        # The operator writes again what the store has lost.
        deployment.put_config(deployment.config(version))
        version += 3
        write(deployment, version)
    start_in_the_middle(deployment, version + 3)
    for n in range(1, deployment.daemons + 1):
        versions = installed(deployment, n)
        assert versions == sorted(set(versions)), f"front-{n}: {versions}"


class RestartedDeployment(Deployment):
    def restart(self, n):
        """Kills a daemon and waits until its successor is ready."""
        child = self.children[f"front-{n}"]
        child.kill()
        child.wait()
        self.path(f"front-{n}.log").unlink()
        self.start_daemon(n)
        wait_until(f"front-{n} is ready", READY_SECONDS, lambda: self.ready(n))


def main():
    with RestartedDeployment(sys.argv[1], "127.0.46", daemons=DAEMONS) as deployment:
        play(deployment)


if __name__ == "__main__":
    main()
