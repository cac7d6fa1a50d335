"""Front daemons on the users' platform: what each party sends and sees."""

import http.client
import json
import re
import signal

from session import plain
from deployment import HOST, Deployment
from fleet import wait_until

NET = "127.0.15"
SHOWN = ("Part-Stamps", "Missing-Parts", "Server-Stamp", "Not-Executed")
STOP_SECONDS = 10
SOON_SECONDS = 0.6


class DeploymentSession:
    """The acts of the session and their transcript."""

    def __init__(self, build):
        self.deployment = Deployment(build, NET, shards=3)
        self.lines = ["# One session on the users' platform, "
                      "as every party saw it."]

    def note(self, text):
        self.lines.append(text)

    def title(self, text):
        self.lines += ["", f"## {text}", ""]

    def request(self, path, request_id, method="GET", body=None, daemon=1):
        """A caller's request, and the reply as far as it is the same in every
        run: times and the order of equals differ."""
        at = self.deployment.caller_address(daemon)
        connection = http.client.HTTPConnection(at, timeout=5)
        headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": "800"}
        connection.request(method, path, body, headers)
        reply = connection.getresponse()
        text = reply.read().decode()
        connection.close()
        self.note(f"caller -> front-{daemon}: {method} {path} ({request_id})")
        self.note(f"  {reply.status} {reply.reason}")
        for name in SHOWN:
            if reply.getheader(name):
                self.note(f"  {name}: {plain_signatures(reply.getheader(name))}")
        if reply.getheader("Retry-After"):
            soon = float(reply.getheader("Retry-After")) <= SOON_SECONDS
            self.note(f"  Retry-After: {'soon' if soon else 'late'}")
        self.note(f"  {plain_body(text)}")

    def ran(self, request_id):
        """What replicas saw; a hedge on a busy machine makes no second line."""
        lines = {f"{a['service']} {a['how']}: "
                 f"{a['method']} {a['target']} {a['body']}".rstrip()
                 for a in self.deployment.arrivals()
                 if a["request"] == request_id and a["how"] != "cancelled"}
        self.note(f"replicas saw of {request_id}:")
        self.lines += [f"  {line}" for line in sorted(lines)]

    def everywhere(self, version):
        """Waits until every daemon serves by this version."""
        for n in range(1, self.deployment.daemons + 1):
            log = self.deployment.path(f"front-{n}.log")
            wait_until(f"front-{n} has version {version}", 10,
                       lambda log=log: has_installed(log, version))
        self.note(f"version {version} is in force on "
                  f"{self.deployment.daemons} daemons")

    def heard(self, asked, of):
        """Waits until one daemon names another to callers: that it is ready
        travels by gossip, a few milliseconds after it says so itself."""
        d = self.deployment
        wait_until(f"front-{asked} names front-{of}", 10, lambda:
                   d.caller_address(of) in addresses(d.resolve(asked, *d.zone(of))))

    def settle(self, pattern, event):
        """Waits until every daemon has logged this."""
        for n in range(1, self.deployment.daemons + 1):
            log = self.deployment.path(f"front-{n}.log")
            wait_until(f"front-{n}: {event} {pattern}", 10, lambda log=log: any(
                line.get("event") == event and pattern in json.dumps(line)
                for line in events(log)))
        self.note(f"every daemon logged {event} of {pattern}")

    def transcript(self):
        return "\n".join(self.lines) + "\n"

    def logs(self):
        return "".join(f"== {path.name}\n{path.read_text()}" for path in
                       sorted(self.deployment.path("").glob("*.log")))


def addresses(reply):
    status, answer = reply
    return answer["addrs"] if status == 200 else []


def plain_signatures(value):
    """Which replica of a service answers, and how many runs it had before,
    differs from run to run."""
    return re.sub(r"(\w+)-\w\.(q-\d+)\.\d+", r"\1.\2", value)


def plain_body(text):
    """A problem document without what differs from run to run."""
    if not text.startswith("{"):
        return text
    document = json.loads(text)
    kept = {key: plain(str(document[key])) for key in ("code", "effect", "title")
            if key in document}
    return json.dumps(kept)


def events(log):
    lines = [line for line in log.read_text().splitlines()
             if line.startswith("{")]
    return [json.loads(line) for line in lines]


def has_installed(log, version):
    return any(line.get("event") == "config_installed"
               and line.get("version") == str(version) for line in events(log))


def play(s):
    d = s.deployment
    s.title("the operator writes the configuration, three daemons start")
    d.put_config(d.config(7))
    d.start_daemons()
    s.everywhere(7)
    s.heard(2, 1)
    status, answer = d.resolve(2, *d.zone(1))
    s.note(f"where should a caller of {d.zone(1)[0]} connect? {status} "
           f"{json.dumps(answer)}")

    s.title("searches, a read and an action")
    s.request("/sweep/bonds?q=%2f", "q-1")
    s.ran("q-1")
    s.request("/check/now", "q-2", daemon=2)
    s.request("/pull/file-9", "q-3", daemon=3)
    s.request("/book/lane-4", "q-4", "POST", "tuesday 18:00")
    s.ran("q-4")
    s.request("/nothing/here", "q-5")

    s.title("a shard is lost whole, then another")
    for copy in "abc":
        d.order_replica(f"s2-{copy}", state="gone")
    s.settle("s2-c", "replica_vanished")
    wait_until("the stand-in time of s2 is over", 10, lambda: gone(d, "s2"))
    s.request("/check/now", "q-6")
    s.request("/sweep/bonds", "q-7")
    s.ran("q-7")

    s.title("an action whose reply is lost is not run again")
    for copy in "abc":
        d.order_replica(f"booking-{copy}", lose_replies=1)
    s.request("/book/lane-5", "q-8", "POST", "friday 07:00")
    s.ran("q-8")

    s.title("every replica of the action rejects it, then leaves")
    for copy in "abc":
        d.order_replica(f"booking-{copy}", lose_replies=0, shed=True)
    s.request("/book/lane-6", "q-9", "POST", "friday 08:00", daemon=2)
    for copy in "abc":
        d.order_replica(f"booking-{copy}", shed=False, state="draining")
    s.settle("booking-c", "replica_leaving")
    s.request("/book/lane-7", "q-10", "POST", "friday 09:00", daemon=2)
    s.ran("q-10")

    s.title("the store is away; then a route moves")
    d.order_store(mode="busy")
    s.request("/pull/file-9", "q-11")
    d.order_store(mode="serving")
    d.put_config(d.config(9, archive="s1", more=["late"]))
    s.everywhere(9)
    s.request("/pull/file-9", "q-12")
    s.request("/late/x", "q-13", daemon=3)

    s.title("planned stops, one after another")
    for n in (1, 2, 3):
        d.signal(n, signal.SIGTERM)
        child = d.children.pop(f"front-{n}")
        s.note(f"front-{n}: exit {child.wait(STOP_SECONDS)}")


def gone(deployment, service):
    """True when the first daemon has no replica of the service left."""
    connection = http.client.HTTPConnection(deployment.caller_address(1))
    connection.request("GET", "/check/probe", headers={
        "Host": HOST, "Request-Id": "probe", "Deadline-Ms": "500"})
    reply = connection.getresponse()
    reply.read()
    connection.close()
    return (reply.status == 200 and reply.getheader("Missing-Parts") == "1"
            and service not in reply.getheader("Part-Stamps"))


def play_whole(build):
    """The transcript of the whole session."""
    session = DeploymentSession(build)
    with session.deployment:
        try:
            play(session)
        except Exception:
            print(session.transcript())
            print(session.logs())
            raise
    return session.transcript()
