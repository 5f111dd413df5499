"""Logs: events with a name and fields, one line each.

Without settings the lines are plain (`1764576000.123 serves address=127.0.0.1:5060`) and cost no library. Where
deploy/logs.toml asks for `console` or `json` they are made by structlog, which is imported only then: it takes
some MB of the memory that the platform counts.
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
    """Writes one event. A field `level` other than info says how grave it is."""

    def __call__(self, event: str, **fields: object) -> None: ...


def silent(event: str, **fields: object) -> None:
    """Writes nothing."""


def plain_field(value: object) -> str:
    """A value that reads back as one word: quoted where it holds a space, a quote or a line's end."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    return json.dumps(text) if not text or not text.isprintable() or set(text) & set(' "=') else text


class Plain:
    """Lines of time, event and key=value."""

    def __init__(self, level: str = "info", stream: TextIO | None = None) -> None:
        self.least, self.stream = LEVELS[level], stream

    def __call__(self, event: str, level: str = "info", **fields: object) -> None:
        if LEVELS[level] >= self.least:
            told = "".join(f" {key}={plain_field(value)}" for key, value in fields.items())
            # Guards against a log that nobody reads any more ending what logs: a drain, a report, a reload.
            with suppress(OSError):
                print(f"{time.time():.3f} {event}{told}", file=self.stream or sys.stdout, flush=True)


class Structured:
    """Lines by structlog: for a person at a terminal, or JSON for a collector."""

    def __init__(
        self, format_: str, level: str = "info", stream: TextIO | None = None, bound: Mapping | None = None
    ) -> None:
        import structlog

        if format_ == "json":
            renderer = structlog.processors.JSONRenderer(default=str)
        else:
            out = stream or sys.stdout
            renderer = structlog.dev.ConsoleRenderer(colors=out.isatty())
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
    """The log that the configuration asks for."""
    if format_ == "plain":
        return Plain(level)
    return Structured(format_, level, bound={"proxy": name} if name else None)
