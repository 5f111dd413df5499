"""leadslip configure: the configuration of each application, written and checked."""

from __future__ import annotations

import sys

import click

from leadslip import configure as tool


@click.group()
def configure() -> None:
    """Write and check the configuration of each application."""


@configure.command()
@click.argument("source", type=click.Path())
@click.argument("folder", type=click.Path())
def write(source: str, folder: str) -> None:
    """Write the files of all applications that SOURCE lists, each into a folder of its own under FOLDER."""
    sys.exit(tool.main(["write", source, folder]))


@configure.command()
@click.argument("files", nargs=-1, required=True, type=click.Path())
def check(files: tuple[str, ...]) -> None:
    """Check files: config.json, enum.toml, otlp.toml, logs.toml, store.toml, trunks.toml, applications."""
    sys.exit(tool.main(["check", *files]))
