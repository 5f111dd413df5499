"""Optional parts of a proxy, beside the service of calls: one package each, off unless enabled.

`settings.py` parses and validates `deploy/NAME.toml`, or the file that the part's environment variable names; it
imports little, and nothing that depends on it. `part.py` wires the part into a running proxy, with its gauges and its
endpoints at the operators' address, and is imported only where the part is on: a part that is off costs nothing.
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

# In the order in which their settings are read and they are wired.
NAMES = ("logs", "otlp", "store", "trunks", "enum", "fleet", "agreement", "replicas")


@dataclass(slots=True)
class Around:
    """What a part's settings are validated against besides their own file."""

    classes: tuple[str, ...] | None = None  # names of the proxy's call classes; None where they are unknown
    settings: dict[str, object] = field(default_factory=dict)  # of the parts read before this one, by name
    running: bool = False  # for a proxy that starts here, not for a file that is only checked


class Kind:
    """Describes the settings file of one part; each part has a subclass."""

    name: ClassVar[str]  # of the file and of the table in an applications file
    variable: ClassVar[str]  # environment variable that names the file
    lasting: ClassVar[str]  # the keys that can't change without a restart, as errors name them

    @staticmethod
    def settings(told: Mapping, around: Around) -> object | None:
        """The validated settings from the file's table; None where the part is off. Raises MalformedError."""
        raise NotImplementedError

    @staticmethod
    def fixed(conf: object) -> object:
        """The settings that can't change without a restart."""
        return conf

    @staticmethod
    def taken(conf: object) -> tuple[tuple[str, object], ...]:
        """Keys and values, such as addresses, that no two applications on one machine may share."""
        return ()


def kind(name: str) -> type[Kind]:
    """The class that describes the settings file of a part."""
    return importlib.import_module(f"leadslip.parts.{name}.settings").KIND


def wiring(name: str) -> type[Part]:
    """The class that wires a part into a running proxy; imports all that the part needs."""
    return importlib.import_module(f"leadslip.parts.{name}.part").PART


def read(conf: config.Config, environ: Mapping[str, str] = os.environ) -> dict[str, object]:
    """Reads the settings of every part for a proxy that starts here; None for one that is off.

    Raises MalformedError.
    """
    around = Around(tuple(call_class.name for call_class in conf.settings.classes), running=True)
    for name in NAMES:
        table = config.read_optional_toml(environ, kind(name).variable, f"deploy/{name}.toml")
        around.settings[name] = kind(name).settings(table, around)
    return around.settings


def fixed(settings: Mapping[str, object]) -> dict[str, object]:
    """The settings of all parts that can't change without a restart, by the keys that errors name."""
    return {
        kind(name).lasting: None if conf is None else kind(name).fixed(conf)
        for name, conf in settings.items()
    }
