"""The HTTP server at the operators' address: HTTP/1.1 by twisted.web's own server, one request per connection.

| request | response |
| --- | --- |
| `GET /control/ready` | 200 while the proxy accepts clients, else 503 |
| `GET /control/counters` | 200, the counters as `name=value` lines |
| `PUT /control/out-of-service` | 200: clients are drained |
| `PUT /control/in-service` | 200: clients are accepted again |

Enabled parts add endpoints of their own.

An unknown path is answered with 404, an unsupported method with 405 (and `Allow`), a request that does not parse with
400 (by Twisted), a body longer than the largest that any endpoint accepts with 413 before all of it is read. All but
Twisted's response carry a JSON problem (RFC 9457) that says what to do. This module reaches the signalling side only
through the handlers of the endpoints. A client that does not finish its request within `REQUEST_TIMEOUT_MS` is
disconnected; reads and writes never block, so a stalled client delays no other.
"""

from __future__ import annotations

import io

from twisted.web import http, resource, server

from leadslip.core import Deadlines
from leadslip.errors import OperatorError
from leadslip.metrics import Metrics
from leadslip.operators import Answer, Endpoint, Endpoints, OperatorRequest, problem

MIN_BODY_LIMIT = 1024  # bytes; the limit for bodies where no endpoint accepts a longer one
REQUEST_TIMEOUT_MS = 2000.0  # from the connection to the end of the request


class UnknownEndpointError(OperatorError):
    """The operators' address has no endpoint of this name."""

    code, status = "ops.no-such-call", 404
    action = "Look up the name in docs/operators; the part that provides it may be disabled on this proxy."


class MethodError(OperatorError):
    """The endpoint does not support this HTTP method."""

    code, status = "ops.method", 405
    action = "Use one of the methods listed in the Allow header."


class TooLargeError(OperatorError):
    """The request body is longer than the endpoint accepts."""

    code, status = "ops.too-large", 413
    action = "Send no body, or a document within the size limit given on its documentation page."


class EndpointResource(resource.Resource):
    """One endpoint: dispatches a request to the handler of its method, which answers at once or later."""

    isLeaf = True  # noqa: N815 (Twisted's name)

    def __init__(self, endpoint: Endpoint) -> None:
        super().__init__()
        self.endpoint = endpoint

    def render(self, request: server.Request) -> bytes | int:
        path = tuple(part.decode("utf-8", "replace") for part in request.postpath or ())
        if path and not self.endpoint.has_subpaths:
            return finish(request, problem(UnknownEndpointError(request.path.decode("ascii", "replace"))))
        handler = self.endpoint.methods.get(request.method)
        if handler is None:
            request.setHeader(b"allow", b", ".join(self.endpoint.methods))
            return finish(request, problem(MethodError(request.method.decode("ascii", "replace"))))
        query = {
            key.decode("utf-8", "replace"): values[-1].decode("utf-8", "replace")
            for key, values in request.args.items()
        }

        def reply_later(answer: Answer) -> None:
            if not request.lost:
                request.write(finish(request, answer))
                request.finish()

        try:
            answer = handler(OperatorRequest(path, query, request.content.getvalue(), reply_later))
        except OperatorError as error:
            answer = problem(error)
        if answer is None:
            # The request has been received, so its time-out ends; the handler limits the time for the answer.
            request.channel.request_complete()
            return server.NOT_DONE_YET
        return finish(request, answer)


def finish(request: server.Request, answer: Answer) -> bytes:
    """Sets the status and the headers of an answer; returns its body."""
    request.setResponseCode(answer.status)
    request.setHeader(b"content-type", answer.content_type)
    request.setHeader(b"content-length", b"%d" % len(answer.body))
    return answer.body


class NotFoundResource(resource.Resource):
    """Answers requests to paths without an endpoint."""

    isLeaf = True  # noqa: N815 (Twisted's name)

    def render(self, request: server.Request) -> bytes:
        return finish(request, problem(UnknownEndpointError(request.path.decode("ascii", "replace"))))


class PathSegment(resource.Resource):
    """An inner segment of a path; its children are added by name."""

    def getChild(self, path: bytes, request: server.Request) -> resource.Resource:
        return NotFoundResource()


class OpsRequest(server.Request):
    """A request, the only one of its connection; its body is limited in size and kept in memory, never in a file."""

    refused = lost = False

    def gotLength(self, length: int | None) -> None:
        self.content = io.BytesIO()
        self.received_bytes = 0
        self.max_body = self.channel.site.max_body
        if length is not None and length > self.max_body:
            self.refuse()

    def connectionLost(self, reason: object) -> None:
        self.lost = True
        super().connectionLost(reason)

    def handleContentChunk(self, data: bytes) -> None:
        self.received_bytes += len(data)
        if self.refused:
            return
        if self.received_bytes > self.max_body:  # in a chunked body, whose length is not known in advance
            self.refuse()
            return
        self.content.write(data)

    def refuse(self) -> None:
        """Sends 413 and closes the connection without reading the rest of the body."""
        self.refused = True
        self.channel.site.metrics.add("ops.too_large")
        answer = problem(TooLargeError(f"the body is longer than {self.max_body} bytes"))
        head = b"HTTP/1.1 413 Content Too Large\r\nConnection: close\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n"
        self.channel.transport.write(head % (answer.content_type, len(answer.body)) + answer.body)
        self.channel.transport.loseConnection()

    def process(self) -> None:
        if self.refused:
            return
        self.channel.persistent = False  # one request per connection
        self.setHeader(b"connection", b"close")
        self.setHeader(b"content-type", b"text/plain; charset=utf-8")
        self.setHeader(b"cache-control", b"no-store")
        self.channel.site.metrics.add("ops.calls")
        super().process()


class OpsChannel(http.HTTPChannel):
    """One connection of an operator: closed if its request is not complete in time."""

    site: Site

    def connectionMade(self) -> None:
        super().connectionMade()
        deadlines = self.site.deadlines
        self.request_timeout = deadlines.call_at(
            deadlines.clock.now_ms() + REQUEST_TIMEOUT_MS, self.timed_out
        )

    def connectionLost(self, reason: object) -> None:
        self.site.deadlines.cancel(self.request_timeout)
        super().connectionLost(reason)

    def request_complete(self) -> None:
        """Cancels the time-out for receiving the request, as the answer may take longer."""
        self.site.deadlines.cancel(self.request_timeout)

    def timed_out(self, _: object = None) -> None:
        if self.transport is not None and self.transport.connected:
            self.site.metrics.add("ops.stalled")
            self.transport.loseConnection()


class Site(server.Site):
    """The site at the operators' address: serves the given endpoints below /control."""

    protocol = OpsChannel
    requestFactory = OpsRequest  # noqa: N815 (Twisted's name)

    def __init__(self, deadlines: Deadlines, metrics: Metrics, endpoints: Endpoints) -> None:
        control = PathSegment()
        for name, endpoint in endpoints.items():
            control.putChild(name, EndpointResource(endpoint))
        root = PathSegment()
        root.putChild(b"control", control)
        self.max_body = max([MIN_BODY_LIMIT, *(endpoint.max_body for endpoint in endpoints.values())])
        super().__init__(root, timeout=None)  # REQUEST_TIMEOUT_MS applies instead
        self.deadlines, self.metrics = deadlines, metrics
        self.noisy = False

    def log(self, request: server.Request) -> None:
        """Writes no access log: the counters give the number of requests."""
