#!/usr/bin/env python3
"""Guards against odd entries in the store that end daemons, or keep them from
following a list.

    entries_of_other_writers.py BUILD
"""

import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tools"))

from deployment import CALLERS, HOST, Deployment  # noqa: E402
from fleet import call, wait_until  # noqa: E402

DAEMONS = 3
FOLLOWED_S = 8
# Just below what the store takes for one value.
VALUE_BYTES = 1 << 20
# The kinds that daemons read, and a name of an entry in each.
ENTRIES = (("servers", "odd"), ("config", "odd"), ("evacuations", "z-mid"),
           ("shallotshift-quarantine", "odd"),
           ("shallotshift-rendezvous", "contacts"))


def nested(depth, opening="[", closing="]"):
    return opening * depth + closing * depth


def forms(sound):
    """Texts of the `spec` of an entry."""
    def with_field(field, text):
        return json.dumps({**sound, field: "@"}).replace('"@"', text)

    deepest = (VALUE_BYTES - 1000) // 2
    yield "nested 20,000 deep", nested(20_000)
    yield "nested as deep as the store takes", nested(deepest)
    yield "objects, deeply nested", nested(100_000, '{"a":', "}").replace(
        ':}', ':1}', 1)
    yield "a field nested deeply", with_field("zone", nested(100_000))
    yield "a field nested a little", with_field("note", nested(14))
    for field in ("slots", "warmup_left_ms", "sequence", "born"):
        for number in ("1e999", "-1e999", "9" * 400, "1e308", "-1", "1.5",
                       "18446744073709551616", "4000000000"):
            yield f"{field} {number[:25]}", with_field(field, number)
    for port in ("70000", "0", "-1", "99999999999999999999", "", "8080x"):
        yield f"port {port}", with_field("address", f'"10.0.0.1:{port}"')
    for address in ("255.255.255.255:80", "0.0.0.0:80", "224.0.0.1:80",
                    "300.1.1.1:80", "[::1]:80", "host:80"):
        yield f"address {address}", with_field("address", f'"{address}"')
    yield "names twice", '{"service":"s1","service":7,"service":[]}'
    yield "half of a pair", '{"service":"\\ud800"}'


class Others(Deployment):
    def write(self, kind, name, text):
        self.order_store(put_text={"kind": kind, "name": name, "text": text})

    def check_runs(self, why):
        for n in range(1, DAEMONS + 1):
            code = self.children[f"front-{n}"].poll()
            assert code is None, f"{why}: front-{n} ended with {code}"

    def check_follows(self, why, version):
        """Each daemon serves a new route, and takes in that a replica has left
        and is back."""
        self.wait_for_all(why, self.ready)
        self.put_config(self.config(version, more=[f"added{version}"]))
        replica = self.replicas[0]["id"]
        for event, order in (("replica_vanished", {"state": "gone"}),
                             ("replica_ready", {"state": "ready", "die": False})):
            before = {n: self.told(n, event, replica)
                      for n in range(1, DAEMONS + 1)}
            self.order_replica(replica, **order)
            self.wait_for_all(why, lambda n, e=event, b=before:
                              self.told(n, e, replica) > b[n])
        self.wait_for_all(why, lambda n: self.serves(n, f"added{version}"))

    def told(self, n, event, replica):
        """How often a daemon has logged an event of a replica."""
        log = self.path(f"front-{n}.log").read_text()
        return log.count(f'"event":"{event}","replica":"{replica}"')

    def wait_for_all(self, why, check):
        for n in range(1, DAEMONS + 1):
            wait_until(f"{why}: front-{n} follows", FOLLOWED_S,
                       lambda n=n: check(n))

    def serves(self, n, route):
        status, _ = call(f"{self.ip(n)}:{CALLERS}", "GET", f"/{route}/1",
                         headers={"Host": HOST, "Request-Id": "0" * 16,
                                  "Deadline-Ms": "2000"})
        return status == 200


def main():
    with Others(sys.argv[1], "127.0.66", daemons=DAEMONS) as others:
        version = 7
        others.put_config(others.config(version))
        others.start_daemons()
        _, listed = call(others.store, "GET", "/objects/servers")
        sound = listed["items"][0]["spec"]
        for kind, name in ENTRIES:
            for number, (form, text) in enumerate(forms(sound)):
                others.write(kind, name, text)
                time.sleep(0.1)
                others.check_runs(f"{kind}: {form}")
                if number % 12 == 0:
                    # Lists it, where the others have watched it.
                    others.children["front-3"].kill()
                    others.children["front-3"].wait()
                    others.start_daemon(3)
                    version += 3
                    others.check_follows(f"{kind}: {form}", version)
            print(f"{kind}: {number + 1} forms held", flush=True)


if __name__ == "__main__":
    main()
