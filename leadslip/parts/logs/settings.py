"""Settings of logging (logs.py), which is always on."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from leadslip.config import MalformedError, UnknownKeyError
from leadslip.parts import PartSettings, SettingsContext


@dataclass(frozen=True, slots=True)
class LogsConfig:
    """The format and the minimum level of the log."""

    format: str = "plain"  # one of LOG_FORMATS
    level: str = "info"  # one of LOG_LEVELS; events below it are discarded


LOG_FORMATS, LOG_LEVELS = ("plain", "console", "json"), ("debug", "info", "warning", "error")


def parse(table: Mapping, context: SettingsContext | None = None) -> LogsConfig:
    """The validated settings of the log; plain lines of level info by default. Raises MalformedError."""
    for key in table:
        if key not in ("format", "level"):
            raise UnknownKeyError(f"logs.{key} is unknown")
    conf = LogsConfig(**table)
    if conf.format not in LOG_FORMATS:
        raise MalformedError(f"logs.format must be one of {', '.join(LOG_FORMATS)}: {conf.format!r}")
    if conf.level not in LOG_LEVELS:
        raise MalformedError(f"logs.level must be one of {', '.join(LOG_LEVELS)}: {conf.level!r}")
    return conf


class LogsSettings(PartSettings):
    """Describes the settings file of logging."""

    name, environment_variable, restart_keys = "logs", "LEADSLIP_LOGS", "logs"
    parse = staticmethod(parse)


SETTINGS_CLASS = LogsSettings
