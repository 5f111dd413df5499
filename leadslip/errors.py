"""The base of errors reported to operators: each type has a stable code and an action to take.

The text of an error says what happened, its `code` never changes, and its `action` says what to do. The log, the
operators' address and the command line show all three; docs/operators/errors.md is generated from the types. Invalid
messages from peers have no such type, as they are counted and not reported one by one.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import ClassVar


class OperatorError(Exception):
    """An error reported to operators; its text says what happened."""

    code: ClassVar[str]  # identifies the type; stable across versions
    action: ClassVar[str]  # what an operator can do about it
    status: ClassVar[int] = 500  # HTTP status at the operators' address

    @classmethod
    def title(cls) -> str:
        """The meaning of this type of error in one line: the first line of its docstring."""
        return (cls.__doc__ or "").strip().split("\n")[0].rstrip(".")

    def fields(self) -> dict[str, str]:
        """The fields of a log event for this error."""
        return {"fault": str(self), "code": self.code, "action": self.action}

    def line(self) -> str:
        """The text, code and action in one line, for the command line."""
        return f"{self} ({self.code}): {self.action}"


def all_errors() -> Iterator[type[OperatorError]]:
    """Every imported subclass of OperatorError, each before its own subclasses."""

    def subclasses(error_class: type[OperatorError]) -> Iterator[type[OperatorError]]:
        for subclass in error_class.__subclasses__():
            yield subclass
            yield from subclasses(subclass)

    return subclasses(OperatorError)
