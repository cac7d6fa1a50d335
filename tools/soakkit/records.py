"""What the soak writes down while it runs: requests and disturbances.

All times are seconds of the host's monotonic clock.
"""

import dataclasses


@dataclasses.dataclass
class Ask:
    """One attempt of a caller, with an id of its own."""
    id: str
    route: str
    method: str
    target: str
    body: str
    daemon: int
    deadline: float  # Seconds.
    sent_at: float = 0.0
    ended_at: float = 0.0
    how: str = "open"  # answered, closed, reset, overdue, left
    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    content: bytes = b""
    extra: bytes = b""  # Bytes behind the answer.
    key: str = ""  # That it was sent with.


@dataclasses.dataclass
class Disturbance:
    """Something that the soak did: what to whom, from when to when."""
    kind: str
    whom: str
    start: float
    end: float = float("inf")
    planned: bool = False


class History:
    """Everything that happened, and what was calm when."""

    def __init__(self):
        self.asks = []
        self.disturbances = []
        self.versions = []      # (acknowledged at, document), in order.
        self.draining = {}      # Replica id: when the store took the report.
        self.evacuations = []   # (zone, ordered at, taken back from).
        self.lags = []          # (from, to): this process itself was late.
        self.complaints = []    # Seen while running, as text.

    def begin(self, kind, whom, now, planned=False):
        self.disturbances.append(Disturbance(kind, whom, now, planned=planned))
        return self.disturbances[-1]

    def disturbed(self, whom, start, end, planned=True):
        """True when any of \\p whom was disturbed between the two times;
        \\p planned: planned work counts too."""
        return any(d.whom in whom and d.start <= end and d.end >= start
                   and (planned or not d.planned) for d in self.disturbances)

    def late_machine(self, start, end):
        return any(a <= end and b >= start for a, b in self.lags)


def links_of(daemon):
    """Everything through which a daemon is reached or learns."""
    return {f"front-{daemon}", f"store of front-{daemon}", "store",
            f"callers of front-{daemon}"}


def windows(times, width):
    """For each time the number of times within \\p width after it."""
    times = sorted(times)
    first = 0
    for last, time in enumerate(times):
        while times[first] < time - width:
            first += 1
        yield times[first], last - first + 1
