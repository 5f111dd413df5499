"""Logging: events with a name and fields, one line each.

By default the lines are plain (`1764576000.123 serves address=127.0.0.1:5060`) and need no library. Where
deploy/logs.toml sets `console` or `json`, structlog formats them; it is imported only then, since it takes several MB
of the memory that the platform accounts to the process.
"""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Mapping
from contextlib import suppress
from typing import Protocol, TextIO

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}


class Log(Protocol):
    """A function that logs one event; the keyword argument `level` is its severity, info by default, and no field."""

    def __call__(self, event: str, **fields: object) -> None: ...


def discard(event: str, **fields: object) -> None:
    """A log that discards every event."""


def plain_field(value: object) -> str:
    """Formats a value as one token: quoted where empty or with a space, a quote, `=` or an unprintable character.

    A float is rounded to six significant digits.
    """
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    return json.dumps(text) if not text or not text.isprintable() or set(text) & set(' "=') else text


class PlainLog:
    """Writes lines of time (Unix seconds), event and key=value fields; drops events less severe than `level`."""

    def __init__(self, level: str = "info", stream: TextIO | None = None) -> None:
        self.min_level, self.stream = LEVELS[level], stream

    def __call__(self, event: str, level: str = "info", **fields: object) -> None:
        if LEVELS[level] >= self.min_level:
            fields_text = "".join(f" {key}={plain_field(value)}" for key, value in fields.items())
            # Otherwise a pipe whose reader has exited would abort the operation that logs, such as a drain or a reload.
            with suppress(OSError):
                print(f"{time.time():.3f} {event}{fields_text}", file=self.stream or sys.stdout, flush=True)


class StructuredLog:
    """Writes lines through structlog: for a terminal (`console`), or as JSON for a log collector (`json`).

    Drops events less severe than `level`. The fields in `bound` are added to every event.
    """

    def __init__(
        self, format_: str, level: str = "info", stream: TextIO | None = None, bound: Mapping | None = None
    ) -> None:
        import structlog

        if format_ == "json":
            renderer = structlog.processors.JSONRenderer(default=str)
        else:
            output = stream or sys.stdout
            renderer = structlog.dev.ConsoleRenderer(colors=output.isatty())
        self.log = structlog.wrap_logger(
            structlog.PrintLogger(stream or sys.stdout),
            processors=[
                structlog.processors.add_log_level,
                structlog.processors.TimeStamper(fmt="iso", utc=True),
                renderer,
            ],
            wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
            **(bound or {}),
        )

    def __call__(self, event: str, level: str = "info", **fields: object) -> None:
        with suppress(OSError):
            getattr(self.log, level)(event, **fields)


def open_log(format_: str = "plain", level: str = "info", name: str = "") -> Log:
    """The log of the configured format and minimum level.

    `name` is the name of the proxy: the field `proxy` of each structured event. Plain lines do not contain it.
    """
    if format_ == "plain":
        return PlainLog(level)
    return StructuredLog(format_, level, bound={"proxy": name} if name else None)
