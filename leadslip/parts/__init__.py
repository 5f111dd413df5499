"""Optional parts of a proxy, each in a package of its own; all but `logs` are off unless enabled.

`settings.py` parses and validates `deploy/NAME.toml`, or the file that the part's environment variable names; it
imports no module that imports it. `part.py` wires the part into a running proxy, with its gauges and its endpoints at
the operators' address, and is imported only if the part is on, so that the libraries of other parts are not loaded.
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

# In the order in which settings are read and parts are wired: a part may need those before it.
NAMES = ("logs", "otlp", "store", "trunks", "enum", "fleet", "agreement", "replicas")


@dataclass(slots=True)
class SettingsContext:
    """What the settings of a part are validated against, apart from their own file."""

    classes: tuple[str, ...] | None = None  # names of the proxy's call classes; None if they are unknown
    settings: dict[str, object] = field(default_factory=dict)  # of the parts read before, by name; None: off
    running: bool = False  # whether a proxy starts or reloads: the files and folders named must then exist


class PartSettings:
    """Describes the settings file of one part; each part has a subclass."""

    name: ClassVar[str]  # of the part, of its file under deploy/ and of its table in an applications file
    environment_variable: ClassVar[str]  # the variable whose value names a file to read instead
    restart_keys: ClassVar[str]  # what an error names if the settings that need a restart have changed

    @staticmethod
    def parse(table: Mapping, context: SettingsContext) -> object | None:
        """The validated settings from the content of the file; None if the part is off. Raises MalformedError."""
        raise NotImplementedError

    @staticmethod
    def restart_settings(conf: object) -> object:
        """The settings that can't change without a restart; all of them by default."""
        return conf

    @staticmethod
    def exclusive_values(conf: object) -> tuple[tuple[str, object], ...]:
        """Keys and values, such as addresses, that no two applications on one machine may share."""
        return ()


def settings_class(name: str) -> type[PartSettings]:
    """The class that describes the settings file of a part."""
    return importlib.import_module(f"leadslip.parts.{name}.settings").SETTINGS_CLASS


def part_class(name: str) -> type[Part]:
    """The class that wires a part into a running proxy; imports all that the part needs."""
    return importlib.import_module(f"leadslip.parts.{name}.part").PART


def read_settings(conf: config.Config, environ: Mapping[str, str] = os.environ) -> dict[str, object]:
    """Reads the settings of every part for a proxy that starts or reloads; None for a part that is off.

    Raises MalformedError.
    """
    context = SettingsContext(tuple(call_class.name for call_class in conf.settings.classes), running=True)
    for name in NAMES:
        table = config.read_optional_toml(
            environ, settings_class(name).environment_variable, f"deploy/{name}.toml"
        )
        context.settings[name] = settings_class(name).parse(table, context)
    return context.settings


def restart_settings(settings: Mapping[str, object]) -> dict[str, object]:
    """The settings of all parts that can't change without a restart, by `restart_keys`; None for a part that is off."""
    return {
        settings_class(name).restart_keys: None
        if conf is None
        else settings_class(name).restart_settings(conf)
        for name, conf in settings.items()
    }
