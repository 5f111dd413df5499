"""Request counters and gauges of one process, in the text form that operators read. Does no I/O.

Counters start from 0 in each process. For each class of the settings: `ok` (requests whose call was established),
`shed` (refused), `errors` (failed) and `tries` (attempts fully written to setup servers). In addition: `active`
(requests that are open or whose call is established), `pool_size` (setup servers listed), `pool_ejected` (listed
servers that count as unreachable now), `config_applied` and `config_rejected` (configurations accepted and rejected
at SIGHUP).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

CLASS_COUNTERS = ("ok", "shed", "errors", "tries")  # fields of ClassCounters


@dataclass(slots=True)
class ClassCounters:
    """The counters of one class."""

    ok: int = 0
    shed: int = 0
    errors: int = 0
    tries: int = 0


class Counters:
    """The counters and gauges of one process.

    Only requests of known classes are counted, so that the number of counters is bounded whatever clients send.
    `active`, `pool_size` and `pool_ejected` are gauges: they are read when they are output, by the functions registered
    with `add_gauge`.
    """

    def __init__(self, classes: Iterable[str] = ()) -> None:
        self.by_class: dict[str, ClassCounters] = {}
        self.config_applied = self.config_rejected = 0
        self.gauges: dict[str, Callable[[], int]] = {}
        self.add_classes(classes)

    def add_classes(self, classes: Iterable[str]) -> None:
        """Counts these classes as well from now on; known classes keep their counters."""
        for name in classes:
            self.by_class.setdefault(name, ClassCounters())

    def add_gauge(self, name: str, read: Callable[[], int]) -> None:
        """Registers a gauge: `read` is called whenever the values are output."""
        self.gauges[name] = read

    def count_answer(self, call_class: str, outcome: str) -> None:
        """Counts a final answer; `outcome` is ok, shed or errors."""
        counters = self.by_class.get(call_class)
        if counters is not None:
            setattr(counters, outcome, getattr(counters, outcome) + 1)

    def count_attempt(self, call_class: str) -> None:
        """Counts an attempt that has been fully written to its server."""
        counters = self.by_class.get(call_class)
        if counters is not None:
            counters.tries += 1

    def values(self) -> dict[str, int]:
        """Returns the values of all counters and gauges, by the names shown to operators."""
        values = {}
        for name, counters in sorted(self.by_class.items()):
            for counter in CLASS_COUNTERS:
                values[f"proxy.responses.{name}.{counter}"] = getattr(counters, counter)
        for name, read in sorted(self.gauges.items()):
            values[f"proxy.{name}"] = read()
        values["proxy.config_applied"] = self.config_applied
        values["proxy.config_rejected"] = self.config_rejected
        return values

    def to_text(self) -> bytes:
        """Returns the values of all counters and gauges as `name=value` lines."""
        return "".join(f"{name}={value}\n" for name, value in self.values().items()).encode()
