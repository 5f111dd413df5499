"""What a proxy can be given besides the service of calls: each part in a module of its own, off unless turned on.

A part brings in one place its settings (read and checked from `deploy/NAME.toml` or the file that its variable
names), its wiring into a running proxy, its figures and its calls at the operators' address. Its module is light;
libraries and the modules of `net/` are imported where it is wired, so that a part that is off costs nothing.
"""

from __future__ import annotations

import importlib
import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, ClassVar, NamedTuple

from leadslip import config

if TYPE_CHECKING:
    from leadslip.__main__ import Node
    from leadslip.core import Watcher
    from leadslip.filters import Filter

NAMES = ("logs", "otlp", "store", "trunks", "enum", "fleet")  # in the order in which they are read and wired


@dataclass(slots=True)
class Around:
    """What the check of a part's settings may look at besides its own file."""

    classes: tuple[str, ...] | None = None  # those of the proxy; None where they are not known
    settings: dict[str, object] = field(default_factory=dict)  # of the parts read before it, by name
    running: bool = False  # the settings are for a proxy that starts here, not for a file that is checked


class Answer(NamedTuple):
    """What a call of an operator is answered."""

    status: int
    body: bytes
    kind: bytes = b"text/plain; charset=utf-8"


Calls = dict[bytes, dict[bytes, Callable[[], Answer]]]  # name below /control -> method -> answer


class Part:
    """One part of a running proxy; made only where its settings turn it on."""

    name: ClassVar[str]  # of its file and of the table in an applications file
    variable: ClassVar[str]  # of the environment, naming its file
    lasting: ClassVar[str]  # what of it can't change without a restart, in the words of its file

    def __init__(self, node: Node, conf: object) -> None:
        self.node, self.conf = node, conf

    @staticmethod
    def settings(told: Mapping, around: Around) -> object | None:
        """The checked settings in a file's table; None where they turn it off. Raises MalformedError."""
        raise NotImplementedError

    @staticmethod
    def fixed(conf: object) -> object:
        """What can't change without a restart."""
        return conf

    @staticmethod
    def taken(conf: object) -> tuple[tuple[str, object], ...]:
        """Keys and values that no two applications of one machine may share."""
        return ()

    def watch(self, watches: dict[str, list[Watcher]]) -> None:
        """Add watchers of the engines, before these are made: `sip` for calls, `dns` for look-ups."""

    def filters(self) -> list[Filter]:
        """Filters ahead of the decisions, made anew at each reload."""
        return []

    def figures(self) -> dict[str, Callable[[], int]]:
        """Figures that operators read besides the proxy's own."""
        return {}

    def calls(self) -> Calls:
        """Calls at the operators' address."""
        return {}

    def start(self) -> None:
        """The proxy takes clients from here on."""

    def service(self, told: str) -> None:
        """The proxy is `in` service from here on, or `out` of it as operators want, or `ending`."""

    def retuned(self, conf: object) -> None:
        """A reload has been taken."""
        self.conf = conf

    def close(self) -> None:
        """The proxy ends."""


def kind(name: str) -> type[Part]:
    """The part of a name."""
    return importlib.import_module(f"leadslip.parts.{name}").PART


def read(conf: config.Config, environ: Mapping[str, str] = os.environ) -> dict[str, object]:
    """The settings of every part for a proxy that starts here; None where it is off. Raises MalformedError."""
    around = Around(tuple(one.name for one in conf.settings.classes), running=True)
    for name in NAMES:
        part = kind(name)
        told = config.optional(environ, part.variable, f"deploy/{name}.toml")
        around.settings[name] = part.settings(told, around)
    return around.settings


def fixed(settings: Mapping[str, object]) -> dict[str, object]:
    """What of all parts can't change without a restart, by its words in their files."""
    told = {}
    for name, conf in settings.items():
        part = kind(name)
        told[part.lasting] = None if conf is None else part.fixed(conf)
    return told
