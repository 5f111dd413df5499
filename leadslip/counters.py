"""The figures that operators fetch, counted where the engine decides. No I/O.

Every process counts from 0. For each class of the settings: `ok` (requests served: the call stands), `shed`
(refused), `errors` (failed) and `tries` (attempts written whole to setup servers). Besides: `active` (requests
taken and not yet ended), `pool_size` (setup servers listed), `pool_ejected` (listed servers avoided now),
`config_applied` and `config_rejected` (files taken and turned down at SIGHUP).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

OUTCOMES = ("ok", "shed", "errors", "tries")


@dataclass(slots=True)
class ClassFigures:
    """The counts of one class."""

    ok: int = 0
    shed: int = 0
    errors: int = 0
    tries: int = 0


class Counters:
    """The figures of one process.

    `classes` are the names that are counted; a request of another class is counted in none, so that the names
    stay bounded whatever clients send. `active`, `pool_size` and `pool_ejected` are read when printed, from the
    callables given by `watch`.
    """

    def __init__(self, classes: Iterable[str] = ()) -> None:
        self.by_class: dict[str, ClassFigures] = {}
        self.config_applied = self.config_rejected = 0
        self.read: dict[str, Callable[[], int]] = {}
        self.count_classes(classes)

    def count_classes(self, classes: Iterable[str]) -> None:
        """Count these classes too from now on; those counted already keep their figures."""
        for name in classes:
            self.by_class.setdefault(name, ClassFigures())

    def watch(self, name: str, read: Callable[[], int]) -> None:
        """A figure that is read when printed, such as `active`."""
        self.read[name] = read

    def answered(self, call_class: str, outcome: str) -> None:
        """A final answer: outcome is ok, shed or errors."""
        figures = self.by_class.get(call_class)
        if figures is not None:
            setattr(figures, outcome, getattr(figures, outcome) + 1)

    def tried(self, call_class: str) -> None:
        """An attempt has been written whole to its server."""
        figures = self.by_class.get(call_class)
        if figures is not None:
            figures.tries += 1

    def figures(self) -> dict[str, int]:
        """All figures by their names, as operators read them."""
        told = {}
        for name, figures in sorted(self.by_class.items()):
            for outcome in OUTCOMES:
                told[f"proxy.responses.{name}.{outcome}"] = getattr(figures, outcome)
        for name, read in sorted(self.read.items()):
            told[f"proxy.{name}"] = read()
        told["proxy.config_applied"] = self.config_applied
        told["proxy.config_rejected"] = self.config_rejected
        return told

    def text(self) -> bytes:
        """The figures as `name=value` lines."""
        return "".join(f"{name}={value}\n" for name, value in self.figures().items()).encode()
