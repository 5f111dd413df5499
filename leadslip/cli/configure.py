"""`leadslip configure`: writes and checks the configuration files of applications."""

from __future__ import annotations

import sys

import click

from leadslip import configure as configuration_tool


@click.group()
def configure() -> None:
    """Write and check the configuration files of applications."""


@configure.command()
@click.argument("source", type=click.Path())
@click.argument("folder", type=click.Path())
def write(source: str, folder: str) -> None:
    """Write the files of all applications in the applications file SOURCE, each to a subfolder of FOLDER."""
    sys.exit(configuration_tool.main(["write", source, folder]))


@configure.command()
@click.argument("files", nargs=-1, required=True, type=click.Path())
def check(files: tuple[str, ...]) -> None:
    """Check files: a config.json, the NAME.toml of a part such as enum.toml, or an applications file."""
    sys.exit(configuration_tool.main(["check", *files]))
