"""The operators' address: HTTP/1.1 on twisted.web's own server, one call a connection.

| call | answer |
| --- | --- |
| `GET /control/ready` | 200 while the proxy takes clients, else 503 |
| `GET /control/counters` | 200, the figures as `name=value` lines |
| `PUT /control/out-of-service` | 200: clients are sent away |
| `PUT /control/in-service` | 200: clients are taken again |

Parts that are on add calls of their own.

An unknown path is answered 404, another method 405 (with `Allow`), a request that does not parse 400 (by Twisted),
a body of more than its call takes 413 before it is read; each but the one by Twisted with a problem in JSON (RFC
9457) that tells what to do. Nothing here touches the signalling side but by the callbacks it is given. A caller that
does not finish its call within `CALL_MS` is closed; as nothing waits on a caller, a stalled one holds up nobody.
"""

from __future__ import annotations

import io

from twisted.web import http, resource, server

from leadslip.checks import Tally
from leadslip.core import Deadlines
from leadslip.errors import OperatorError
from leadslip.operators import Answer, Asked, Calls, Verbs, problem

MOST_BODY = 1024  # bytes that a call may carry where it is not known
CALL_MS = 2000.0  # in so long a caller has to bring its whole call


class NoSuchCallError(OperatorError):
    """There is no call of this name at the operators' address."""

    code, status = "ops.no-such-call", 404
    action = "Look the name up in docs/operators; the part that brings it may be off in this proxy."


class MethodError(OperatorError):
    """A call takes another method."""

    code, status = "ops.method", 405
    action = "Use a method that the Allow header names."


class TooLargeError(OperatorError):
    """A call carries more than it may."""

    code, status = "ops.too-large", 413
    action = "Send no body, or for a document one within the size that its page names."


class Call(resource.Resource):
    """One name: the methods it takes, each a callback that gives the answer, at once or later."""

    isLeaf = True  # noqa: N815 (Twisted's name)

    def __init__(self, verbs: Verbs) -> None:
        super().__init__()
        self.verbs = verbs

    def render(self, request: server.Request) -> bytes | int:
        path = tuple(part.decode("utf-8", "replace") for part in request.postpath or ())
        if path and not self.verbs.below:
            return finish(request, problem(NoSuchCallError(request.path.decode("ascii", "replace"))))
        act = self.verbs.methods.get(request.method)
        if act is None:
            request.setHeader(b"allow", b", ".join(self.verbs.methods))
            return finish(request, problem(MethodError(request.method.decode("ascii", "replace"))))
        query = {
            key.decode("utf-8", "replace"): values[-1].decode("utf-8", "replace")
            for key, values in request.args.items()
        }

        def later(answer: Answer) -> None:
            if not request.lost:
                request.write(finish(request, answer))
                request.finish()

        try:
            answer = act(Asked(path, query, request.content.getvalue(), later))
        except OperatorError as fault:
            answer = problem(fault)
        if answer is None:
            request.channel.whole()  # its caller has brought all; what it waits for is bounded by who answers
            return server.NOT_DONE_YET
        return finish(request, answer)


def finish(request: server.Request, answer: Answer) -> bytes:
    """Set what goes before the body; the body."""
    request.setResponseCode(answer.status)
    request.setHeader(b"content-type", answer.kind)
    request.setHeader(b"content-length", b"%d" % len(answer.body))
    return answer.body


class NoSuch(resource.Resource):
    """Whatever has no name here."""

    isLeaf = True  # noqa: N815 (Twisted's name)

    def render(self, request: server.Request) -> bytes:
        return finish(request, problem(NoSuchCallError(request.path.decode("ascii", "replace"))))


class Level(resource.Resource):
    """Names below a name."""

    def getChild(self, path: bytes, request: server.Request) -> resource.Resource:
        return NoSuch()


class OpsRequest(server.Request):
    """A call: held in memory and bounded, never in a file; one a connection."""

    refused = lost = False

    def gotLength(self, length: int | None) -> None:
        self.content = io.BytesIO()
        self.told = 0
        self.most = self.channel.site.most_body
        if length is not None and length > self.most:
            self.refuse()

    def connectionLost(self, reason: object) -> None:
        self.lost = True
        super().connectionLost(reason)

    def handleContentChunk(self, data: bytes) -> None:
        self.told += len(data)
        if self.refused:
            return
        if self.told > self.most:  # a chunked body that grows past the bound
            self.refuse()
            return
        self.content.write(data)

    def refuse(self) -> None:
        """413, and the connection ends before the body is read."""
        self.refused = True
        self.channel.site.tally.add("ops.too_large")
        told = problem(TooLargeError(f"a body is longer than {self.most} bytes"))
        head = b"HTTP/1.1 413 Content Too Large\r\nConnection: close\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n"
        self.channel.transport.write(head % (told.kind, len(told.body)) + told.body)
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

    def whole(self) -> None:
        """The call is here whole; its answer may take longer."""
        self.site.deadlines.cancel(self.overdue)

    def too_late(self, _: object = None) -> None:
        if self.transport is not None and self.transport.connected:
            self.site.tally.add("ops.stalled")
            self.transport.loseConnection()


class Site(server.Site):
    """The operators' site: the calls it is given, below /control, and no access log."""

    protocol = OpsChannel
    requestFactory = OpsRequest  # noqa: N815 (Twisted's name)

    def __init__(self, deadlines: Deadlines, tally: Tally, calls: Calls) -> None:
        control = Level()
        for name, verbs in calls.items():
            control.putChild(name, Call(verbs))
        root = Level()
        root.putChild(b"control", control)
        self.most_body = max([MOST_BODY, *(verbs.most_body for verbs in calls.values())])
        super().__init__(root, timeout=None)  # the heap of deadlines bounds a call instead
        self.deadlines, self.tally = deadlines, tally
        self.noisy = False

    def log(self, request: server.Request) -> None:
        """No access log: the counters tell how many calls came."""
