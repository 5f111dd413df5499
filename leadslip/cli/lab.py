"""leadslip lab: the fleet's own decisions on a virtual clock, at sizes that processes don't reach."""

from __future__ import annotations

import sys

import click

from leadslip.cli.drill import drawn
from leadslip.cli.told import as_json, table, tell
from leadslip.drill.scenario import load


@click.group()
def lab() -> None:
    """Play many members on a virtual clock and a virtual network."""


@lab.command()
@click.argument("scenario", type=click.Path())
@click.option("--members", type=click.IntRange(2, 4000), default=200, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--plot", type=click.Path(dir_okay=False), help="Draw the run into this SVG or PNG file.")
@as_json
def fleet(scenario: str, members: int, seed: int, plot: str | None, json_: bool) -> None:
    """Play a drill's SCENARIO with so many members; 0 when all invariants held, 1 when one is broken."""
    from leadslip.lab.play import Play

    play = Play(load(scenario), members, seed)
    told = play.run()
    if plot:
        title = f"{told['title']}, {members} members, seed {seed}"
        drawn(title, play.histories, play.faults, plot, play.traffic)
    lines = [
        f"{'held' if told['held'] else 'BROKEN'}: {told['title']}, {members} members, seed {seed}",
        f"settled after {told['figures']['settled_ms']:.0f} ms; joined within {told['joined_ms']:.0f} ms at the start",
        f"a member and second: {told['datagrams_per_s']:.1f} datagrams, {told['bytes_per_s']:.0f} bytes in them, "
        f"{told['streamed_bytes_per_s']:.0f} in comparisons; digest of the run {told['digest']}",
    ]
    rows = [(one["invariant"], one["at_ms"], one["whose"], one["told"]) for one in told["breaches"][:20]]
    tell(told, json_, lines + (table(("broken", "at ms", "whose", "what"), rows) if rows else []))
    sys.exit(int(not told["held"]))
