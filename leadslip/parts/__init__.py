"""What a proxy can be given besides the service of calls: each part in a folder of its own, off unless turned on.

`settings.py` reads and checks what `deploy/NAME.toml`, or the file that its variable names, may say; it is light, and
below all that reads it. `part.py` brings the wiring into a running proxy, its figures and its calls at the operators'
address, and is imported only where the part is on: a part that is off costs nothing.
"""

from __future__ import annotations

import importlib
import os
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, ClassVar

from leadslip import config

if TYPE_CHECKING:
    from leadslip.parts.part import Part

# In the order in which they are read and wired.
NAMES = ("logs", "otlp", "store", "trunks", "enum", "fleet", "agreement", "replicas")


@dataclass(slots=True)
class Around:
    """What the check of a part's settings may look at besides its own file."""

    classes: tuple[str, ...] | None = None  # those of the proxy; None where they are not known
    settings: dict[str, object] = field(default_factory=dict)  # of the parts read before it, by name
    running: bool = False  # the settings are for a proxy that starts here, not for a file that is checked


class Kind:
    """What the file of one part may say."""

    name: ClassVar[str]  # of its file and of the table in an applications file
    variable: ClassVar[str]  # of the environment, naming its file
    lasting: ClassVar[str]  # what of it can't change without a restart, in the words of its file

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


def kind(name: str) -> type[Kind]:
    """What the file of a part may say."""
    return importlib.import_module(f"leadslip.parts.{name}.settings").KIND


def wiring(name: str) -> type[Part]:
    """The wiring of a part, with all that it needs."""
    return importlib.import_module(f"leadslip.parts.{name}.part").PART


def read(conf: config.Config, environ: Mapping[str, str] = os.environ) -> dict[str, object]:
    """The settings of every part for a proxy that starts here; None where it is off. Raises MalformedError."""
    around = Around(tuple(one.name for one in conf.settings.classes), running=True)
    for name in NAMES:
        told = config.optional(environ, kind(name).variable, f"deploy/{name}.toml")
        around.settings[name] = kind(name).settings(told, around)
    return around.settings


def fixed(settings: Mapping[str, object]) -> dict[str, object]:
    """What of all parts can't change without a restart, by its words in their files."""
    return {
        kind(name).lasting: None if conf is None else kind(name).fixed(conf)
        for name, conf in settings.items()
    }
