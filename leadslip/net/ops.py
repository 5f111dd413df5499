"""The operators' address: HTTP/1.1 on twisted.web's own server, one call a connection.

| call | answer |
| --- | --- |
| `GET /control/ready` | 200 while the proxy takes clients, else 503 |
| `GET /control/counters` | 200, the figures as `name=value` lines |
| `PUT /control/out-of-service` | 200: clients are sent away |
| `PUT /control/in-service` | 200: clients are taken again |

Parts that are on add calls of their own.

An unknown path is answered 404, another method 405 (with `Allow`), a request that does not parse 400 (by Twisted),
a body of more than `MOST_BODY` bytes 413 before it is read. Nothing here touches the signalling side but by the
callbacks it is given. A caller that does not finish its call within `CALL_MS` is closed; as nothing waits on a
caller, a stalled one holds up nobody.
"""

from __future__ import annotations

import io
from collections.abc import Callable, Mapping

from twisted.web import http, resource, server

from leadslip.checks import Tally
from leadslip.core import Deadlines
from leadslip.parts import Answer, Calls

MOST_BODY = 1024  # bytes that a call may carry; none of ours needs any
CALL_MS = 2000.0  # in so long a caller has to bring its whole call
TOO_LARGE = b"HTTP/1.1 413 Content Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"


class Call(resource.Resource):
    """One path: the methods it takes, each a callback that gives the answer."""

    isLeaf = True  # noqa: N815 (Twisted's name)

    def __init__(self, methods: Mapping[bytes, Callable[[], Answer]]) -> None:
        super().__init__()
        self.methods = methods

    def render(self, request: server.Request) -> bytes:
        if request.postpath:
            request.setResponseCode(http.NOT_FOUND)
            return b"no such call\n"
        act = self.methods.get(request.method)
        if act is None:
            request.setResponseCode(http.NOT_ALLOWED)
            request.setHeader(b"allow", b", ".join(self.methods))
            return b"method not allowed\n"
        answer = act()
        request.setResponseCode(answer.status)
        request.setHeader(b"content-type", answer.kind)
        return answer.body


class OpsRequest(server.Request):
    """A call: held in memory and bounded, never in a file; one a connection."""

    refused = False

    def gotLength(self, length: int | None) -> None:
        self.content = io.BytesIO()
        self.told = 0
        if length is not None and length > MOST_BODY:
            self.refuse()

    def handleContentChunk(self, data: bytes) -> None:
        self.told += len(data)
        if self.refused:
            return
        if self.told > MOST_BODY:  # a chunked body that grows past the bound
            self.refuse()
            return
        self.content.write(data)

    def refuse(self) -> None:
        """413, and the connection ends before the body is read."""
        self.refused = True
        self.channel.site.tally.add("ops.too_large")
        self.channel.transport.write(TOO_LARGE)
        self.channel.transport.loseConnection()

    def process(self) -> None:
        if self.refused:
            return
        self.channel.persistent = False  # one call a connection
        self.setHeader(b"connection", b"close")
        self.setHeader(b"content-type", b"text/plain; charset=utf-8")
        self.setHeader(b"cache-control", b"no-store")
        self.channel.site.tally.add("ops.calls")
        super().process()


class OpsChannel(http.HTTPChannel):
    """One connection of an operator: closed if its call is not whole in time."""

    site: Site

    def connectionMade(self) -> None:
        super().connectionMade()
        deadlines = self.site.deadlines
        self.overdue = deadlines.at(deadlines.clock.now_ms() + CALL_MS, self.too_late)

    def connectionLost(self, reason: object) -> None:
        self.site.deadlines.cancel(self.overdue)
        super().connectionLost(reason)

    def too_late(self, _: object = None) -> None:
        if self.transport is not None and self.transport.connected:
            self.site.tally.add("ops.stalled")
            self.transport.loseConnection()


class Site(server.Site):
    """The operators' site: the calls it is given, below /control, and no access log."""

    protocol = OpsChannel
    requestFactory = OpsRequest  # noqa: N815 (Twisted's name)

    def __init__(self, deadlines: Deadlines, tally: Tally, calls: Calls) -> None:
        control = resource.Resource()
        for name, methods in calls.items():
            control.putChild(name, Call(methods))
        root = resource.Resource()
        root.putChild(b"control", control)
        super().__init__(root, timeout=None)  # the heap of deadlines bounds a call instead
        self.deadlines, self.tally = deadlines, tally
        self.noisy = False

    def log(self, request: server.Request) -> None:
        """No access log: the counters tell how many calls came."""
