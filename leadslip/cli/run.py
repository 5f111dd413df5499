"""leadslip run: one proxy in the foreground."""

from __future__ import annotations

import os
import sys

import click


@click.command()
@click.option(
    "--config", "file", type=click.Path(dir_okay=False), help="The JSON configuration; else NODE_CONFIG."
)
def run(file: str | None) -> None:
    """Run one proxy until SIGTERM has been served; exit code 2 where its configuration makes no sense.

    SIGHUP reads all configuration anew. `python -O -m leadslip` is the same without the checks of debug builds.
    """
    if file is not None:
        os.environ["NODE_CONFIG"] = file
    from leadslip.__main__ import main

    sys.exit(main())
