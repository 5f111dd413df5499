"""What the operators' address is made of: calls by name, what is asked of one, what it answers. No I/O."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from typing import NamedTuple

from leadslip.errors import OperatorError


class Answer(NamedTuple):
    """What a call of an operator is answered."""

    status: int
    body: bytes
    kind: bytes = b"text/plain; charset=utf-8"


class Asked(NamedTuple):
    """One call of an operator: what stands behind its name in the path, its query, its body, and where to answer later.

    A call that can't answer yet gives None and answers by `reply`, once.
    """

    path: tuple[str, ...] = ()
    query: Mapping[str, str] = {}
    body: bytes = b""
    reply: Callable[[Answer], None] = lambda answer: None


Call = Callable[[Asked], Answer | None]


class Verbs(NamedTuple):
    """What one name takes, by method; whether there are names below it, and the most bytes of a body."""

    methods: Mapping[bytes, Call]
    below: bool = False
    most_body: int = 1024


Calls = dict[bytes, Verbs]  # name below /control -> what it takes


def as_json(told: object, status: int = 200) -> Answer:
    """An answer in JSON."""
    return Answer(status, json.dumps(told).encode() + b"\n", b"application/json")


def problem(fault: OperatorError) -> Answer:
    """An error as operators' programs read it: a problem of RFC 9457, with its code and what to do beside it."""
    told = {
        "type": f"urn:leadslip:error:{fault.code}",
        "title": fault.title(),
        "status": fault.status,
        "detail": str(fault),
        "code": fault.code,
        "action": fault.action,
    }
    return Answer(fault.status, json.dumps(told).encode() + b"\n", b"application/problem+json")
