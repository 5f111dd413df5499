"""Errors that a person can meet: each of a type of its own, with a stable code and what an operator can do.

The text of an error tells what happened, its `code` never changes, and its `action` says what to do. The log, the
operators' address and the command line show all three; docs/operators/errors.md is made from them. Messages of peers
that are refused and counted are no errors of this kind: nobody is told of one of them.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import ClassVar


class OperatorError(Exception):
    """What every such error has; `status` is the one at the operators' address."""

    code: ClassVar[str]
    action: ClassVar[str]
    status: ClassVar[int] = 500

    @classmethod
    def title(cls) -> str:
        """What an error of this type means, in one line."""
        return (cls.__doc__ or "").strip().split("\n")[0].rstrip(".")

    def fields(self) -> dict[str, str]:
        """What a log's line bears of it."""
        return {"fault": str(self), "code": self.code, "action": self.action}

    def line(self) -> str:
        """All of it for a person."""
        return f"{self} ({self.code}): {self.action}"


def all_errors() -> Iterator[type[OperatorError]]:
    """Every type that has been imported, each before those made of it."""

    def below(kind: type[OperatorError]) -> Iterator[type[OperatorError]]:
        for one in kind.__subclasses__():
            yield one
            yield from below(one)

    return below(OperatorError)
