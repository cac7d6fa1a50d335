"""A loopback proxy that misbehaves on order.

A Link listens on one address and joins each connection to its target. What it
does to them can be changed at any moment:

    delay      each piece arrives so many seconds later, in order
    rate       all pieces together arrive at so many bytes a second
    cut        bytes of one direction, or of both, are held until the cut ends
    silence()  open connections fall silent for good; new ones work
    reset()    open connections are reset; new ones work
    refuse     new connections are reset at once
"""

import asyncio
import socket
import struct

UP, DOWN = "up", "down"  # Towards the target, and back.


class Flow(asyncio.Protocol):
    """One end of a joined connection: what it reads goes to the other end."""

    def __init__(self, link, direction, peer=None):
        self.link = link
        self.direction = direction
        self.peer = peer
        self.transport = None
        self.queue = []  # (due, piece) that the other end has not got yet.
        self.silent = False
        self.last_due = 0.0

    def connection_made(self, transport):
        self.transport = transport
        self.link.flows.add(self)
        if self.peer is None:
            self.peer = Flow(self.link, DOWN, self)
            asyncio.ensure_future(self.connect())
        else:
            self.peer.flush()

    async def connect(self):
        if self.link.refuse:
            return abort(self.transport)
        try:
            await asyncio.get_running_loop().create_connection(
                lambda: self.peer, *self.link.target)
        except OSError:
            abort(self.transport)

    def data_received(self, data):
        self.push(data)

    def connection_lost(self, _error):
        self.link.flows.discard(self)
        self.push(None)

    def push(self, piece):
        loop = asyncio.get_running_loop()
        size = len(piece) if piece else 0
        due = max(self.last_due, self.link.sent_at(size) + self.link.delay)
        self.last_due = due
        self.queue.append((due, piece))
        if due <= loop.time():
            self.flush()
        else:
            loop.call_at(due, self.flush)

    def flush(self):
        """Hands on what is due, unless it is held back."""
        other = self.peer.transport
        if other is None or self.silent or self.direction in self.link.cut:
            return
        now = asyncio.get_running_loop().time()
        while self.queue and self.queue[0][0] <= now + 0.001:
            piece = self.queue.pop(0)[1]
            if piece is None:
                other.close()
            else:
                other.write(piece)


class Link:
    def __init__(self, name, listen, target):
        self.name = name
        self.listen = listen
        self.target = target
        self.delay = 0.0
        self.rate = None
        self.free_at = 0.0  # When all that was given to it has been sent.
        self.cut = frozenset()
        self.refuse = False
        self.flows = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.get_running_loop().create_server(
            lambda: Flow(self, UP), *self.listen)

    def sent_at(self, size):
        """When a piece of this size that comes now has been sent."""
        now = asyncio.get_running_loop().time()
        if self.rate is None:
            return now
        self.free_at = max(self.free_at, now) + size / self.rate
        return self.free_at

    def set_cut(self, *directions):
        self.cut = frozenset(directions)
        for flow in list(self.flows):
            flow.flush()

    def silence(self):
        for flow in self.flows:
            flow.silent = True

    def reset(self):
        for flow in list(self.flows):
            abort(flow.transport)

    def heal(self):
        self.delay = 0.0
        self.rate = None
        self.refuse = False
        self.set_cut()


def abort(transport):
    """Ends a connection with a reset, not with an orderly close."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            struct.pack("ii", 1, 0))
        except OSError:
            pass  # It is closed already.
    transport.abort()
