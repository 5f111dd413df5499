"""What all commands share: figures as JSON or for a person, and faults as one line and exit code 2."""

from __future__ import annotations

import dataclasses
import json
import math
from collections.abc import Callable, Sequence
from functools import wraps

import click

from leadslip.errors import OperatorError

as_json = click.option("--json", "json_", is_flag=True, help="Print the figures as one JSON object.")


def plain(value: object) -> object:
    """A value as JSON has it; what is not finite becomes null."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {field.name: plain(getattr(value, field.name)) for field in dataclasses.fields(value)}
    if isinstance(value, dict):
        return {str(key): plain(inner) for key, inner in value.items()}
    if isinstance(value, list | tuple):
        return [plain(inner) for inner in value]
    if isinstance(value, float) and not math.isfinite(value):
        return None
    return value


def tell(figures: dict, json_: bool, lines: Sequence[str] | None = None) -> None:
    """Print figures: as JSON, or as lines (by default one for each figure)."""
    if json_:
        click.echo(json.dumps(plain(figures)))
        return
    for line in lines if lines is not None else [f"{key}: {shown(value)}" for key, value in figures.items()]:
        click.echo(line)


def shown(value: object) -> str:
    """A figure for a person."""
    return f"{value:.6g}" if isinstance(value, float) else str(value)


def table(head: Sequence[str], rows: Sequence[Sequence[object]]) -> list[str]:
    """Columns for a person: text to the left, figures to the right."""
    told = [list(head)] + [[shown(cell) for cell in row] for row in rows]
    widths = [max(len(row[i]) for row in told) for i in range(len(head))]
    left = [all(isinstance(row[i], str) for row in rows) for i in range(len(head))]
    return [
        "  ".join(
            cell.ljust(width) if to_left else cell.rjust(width)
            for cell, width, to_left in zip(row, widths, left, strict=True)
        ).rstrip()
        for row in told
    ]


class FileError(OperatorError):
    """A file that a command was given can't be read."""

    code, status = "command.file", 400
    action = "See that the file is there, may be read, and is what the command takes."


class PlotError(OperatorError):
    """A plot was asked for and the library for it is missing."""

    code, status = "command.plot", 501
    action = "Install leadslip[plots], or leave the plot out."


def faults(*kinds: type[Exception]) -> Callable:
    """Turn faults of these kinds, of a file that a command was given, into a FileError."""

    def around(work: Callable) -> Callable:
        @wraps(work)
        def guarded(*args: object, **named: object) -> object:
            try:
                return work(*args, **named)
            except kinds as fault:
                raise FileError(str(fault)) from fault

        return guarded

    return around
