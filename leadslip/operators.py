"""The types of the operators' endpoints: handlers by path and method, requests and answers. Pure: does no I/O."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from typing import NamedTuple

from leadslip.errors import OperatorError


class Answer(NamedTuple):
    """The HTTP answer to an operator's request."""

    status: int
    body: bytes
    content_type: bytes = b"text/plain; charset=utf-8"


class OperatorRequest(NamedTuple):
    """A request of an operator: the path below the endpoint's name, the query, the body, and a callback.

    A handler that can't answer yet returns None and calls `reply` once, later.
    """

    path: tuple[str, ...] = ()
    query: Mapping[str, str] = {}
    body: bytes = b""
    reply: Callable[[Answer], None] = lambda answer: None


Handler = Callable[[OperatorRequest], Answer | None]


class Endpoint(NamedTuple):
    """One endpoint: its handlers by HTTP method, whether it accepts a longer path, and the maximum body in bytes."""

    methods: Mapping[bytes, Handler]
    has_subpaths: bool = False
    max_body: int = 1024


Endpoints = dict[bytes, Endpoint]  # name below /control -> endpoint


def as_json(value: object, status: int = 200) -> Answer:
    """A JSON answer."""
    return Answer(status, json.dumps(value).encode() + b"\n", b"application/json")


def problem(error: OperatorError) -> Answer:
    """The answer for an error: a JSON problem (RFC 9457) with the extension members `code` and `action`."""
    body = {
        "type": f"urn:leadslip:error:{error.code}",
        "title": error.title(),
        "status": error.status,
        "detail": str(error),
        "code": error.code,
        "action": error.action,
    }
    return Answer(error.status, json.dumps(body).encode() + b"\n", b"application/problem+json")
