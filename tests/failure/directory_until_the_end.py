#!/usr/bin/env python3
"""A front daemon is stopped as planned while callers ask its directory.

Callers ask it where to connect until its address is gone. A question that the
daemon had read in the last millisecond before its end got a closed connection and
no answer, since the process waited for callers' requests only. A question that it
has read is to be answered; one that crosses the close is refused or reset, and the
caller asks the next daemon.

    directory_until_the_end.py BUILD
"""

import collections
import pathlib
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tools"))

from deployment import DIRECTORY, HOST, READY_SECONDS, Deployment  # noqa: E402
from fleet import wait_until  # noqa: E402

ASKERS = 12
BEFORE_S = 0.3
QUESTION = (f"GET /resolve?name={HOST}&zone=z-south&region=r-south HTTP/1.1\r\n"
            f"Host: {HOST}\r\nConnection: close\r\n\r\n").encode()


def ask(address):
    """What one question came to: a status, "refused", "reset" or "no answer"."""
    try:
        with socket.create_connection(address, timeout=2) as line:
            line.sendall(QUESTION)
            answer = b""
            while piece := line.recv(65536):
                answer += piece
    except ConnectionRefusedError:
        return "refused"
    except OSError:
        return "reset"
    return answer.split(b" ")[1].decode() if answer else "no answer"


def stop_under_questions(deployment, n):
    going = True
    outcomes = collections.Counter()
    address = (deployment.ip(n), DIRECTORY)

    def keep_asking():
        while going:
            outcome = ask(address)
            outcomes[outcome] += 1
            if outcome != "200":
                time.sleep(0.002)

    askers = [threading.Thread(target=keep_asking) for _ in range(ASKERS)]
    for asker in askers:
        asker.start()
    time.sleep(BEFORE_S)
    child = deployment.children[f"front-{n}"]
    child.send_signal(signal.SIGTERM)
    code = child.wait()
    going = False
    for asker in askers:
        asker.join()
    assert code == 0, f"front-{n} ended with {code}"
    return outcomes


def main():
    with Deployment(sys.argv[1], "127.0.61", daemons=3) as deployment:
        deployment.put_config(deployment.config(7))
        deployment.start_daemons()
        for n in (1, 2, 3):
            outcomes = stop_under_questions(deployment, n)
            print(f"front-{n}: {dict(outcomes)}")
            assert outcomes["200"] > 100, "hardly anybody was answered"
            assert outcomes["no answer"] == 0, "a question that was read"
            deployment.start_daemon(n)
            wait_until(f"front-{n} is ready", READY_SECONDS,
                       lambda n=n: deployment.ready(n))


if __name__ == "__main__":
    main()
