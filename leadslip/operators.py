"""The HTTP endpoints for operators, without I/O: handlers by path and method, requests and answers."""

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
    """An operator's HTTP request.

    A handler that can't answer yet returns None and calls `reply` once, later.
    """

    path: tuple[str, ...] = ()  # segments after the endpoint's name
    query: Mapping[str, str] = {}
    body: bytes = b""
    reply: Callable[[Answer], None] = lambda answer: None


Handler = Callable[[OperatorRequest], Answer | None]


class Endpoint(NamedTuple):
    """One endpoint, at /control/NAME."""

    methods: Mapping[bytes, Handler]  # by HTTP method
    has_subpaths: bool = False  # whether the path may have segments after the endpoint's name
    max_body: int = 1024  # bytes


Endpoints = dict[bytes, Endpoint]  # by name


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
