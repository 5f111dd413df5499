"""`leadslip run`: runs one proxy in the foreground."""

from __future__ import annotations

import os
import sys

import click


@click.command()
@click.option(
    "--config",
    "file",
    type=click.Path(dir_okay=False),
    help="JSON configuration file; default: the path in NODE_CONFIG.",
)
def run(file: str | None) -> None:
    """Run one proxy until it has drained after SIGTERM; exits with code 2 if its configuration is invalid.

    SIGHUP reloads the whole configuration. `python -O -m leadslip` runs the same proxy, but counts violated invariants
    instead of failing on them.
    """
    if file is not None:
        os.environ["NODE_CONFIG"] = file
    from leadslip.__main__ import main

    sys.exit(main())
