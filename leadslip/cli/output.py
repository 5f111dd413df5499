"""Output of all commands as JSON or text, and errors that several commands raise."""

from __future__ import annotations

import dataclasses
import json
import math
from collections.abc import Callable, Sequence
from functools import wraps

import click

from leadslip.errors import OperatorError

json_option = click.option("--json", "json_", is_flag=True, help="Print the result as one JSON object.")


def to_jsonable(value: object) -> object:
    """Convert dataclasses and nested containers for json.dumps; non-finite floats become null."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {field.name: to_jsonable(getattr(value, field.name)) for field in dataclasses.fields(value)}
    if isinstance(value, dict):
        return {str(key): to_jsonable(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [to_jsonable(item) for item in value]
    if isinstance(value, float) and not math.isfinite(value):
        return None
    return value


def print_result(result: dict, json_: bool, lines: Sequence[str] | None = None) -> None:
    """Print a result as JSON, or as text lines (by default one `key: value` line for each entry)."""
    if json_:
        click.echo(json.dumps(to_jsonable(result)))
        return
    for line in (
        lines if lines is not None else [f"{key}: {format_value(value)}" for key, value in result.items()]
    ):
        click.echo(line)


def format_value(value: object) -> str:
    """Format a value for text output, floats with six significant digits."""
    return f"{value:.6g}" if isinstance(value, float) else str(value)


def format_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> list[str]:
    """Format rows as aligned columns: text columns left-justified, numeric columns right-justified."""
    formatted = [list(header)] + [[format_value(cell) for cell in row] for row in rows]
    widths = [max(len(row[i]) for row in formatted) for i in range(len(header))]
    left_justified = [all(isinstance(row[i], str) for row in rows) for i in range(len(header))]
    return [
        "  ".join(
            cell.ljust(width) if justify_left else cell.rjust(width)
            for cell, width, justify_left in zip(row, widths, left_justified, strict=True)
        ).rstrip()
        for row in formatted
    ]


class FileError(OperatorError):
    """A file given to a command can't be read."""

    code, status = "command.file", 400
    action = "Check that the file exists, is readable, and has the content that the command expects."


class PlotError(OperatorError):
    """A plot was requested, but the plotting library is not installed."""

    code, status = "command.plot", 501
    action = "Install leadslip[plots], or omit the plot."


def raise_file_error(*error_types: type[Exception]) -> Callable:
    """Decorator for a command that reads a file: re-raises these exceptions as FileError."""

    def decorate(command: Callable) -> Callable:
        @wraps(command)
        def wrapper(*args: object, **kwargs: object) -> object:
            try:
                return command(*args, **kwargs)
            except error_types as error:
                raise FileError(str(error)) from error

        return wrapper

    return decorate
