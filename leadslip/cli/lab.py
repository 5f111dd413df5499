"""`leadslip lab`: simulates fleets on a virtual clock that are too large for one process per member."""

from __future__ import annotations

import sys

import click

from leadslip.cli.drill import plot_run
from leadslip.cli.output import format_table, json_option, print_result
from leadslip.drill.scenario import load


@click.group()
def lab() -> None:
    """Simulate many members on a virtual clock and a virtual network."""


@lab.command()
@click.argument("scenario", type=click.Path())
@click.option("--members", type=click.IntRange(2, 4000), default=200, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--plot", type=click.Path(dir_okay=False), help="Plot the run to this SVG or PNG file.")
@json_option
def fleet(scenario: str, members: int, seed: int, plot: str | None, json_: bool) -> None:
    """Simulate SCENARIO (a file, or a name from `drill list`).

    Exits with 0 if all invariants held, 1 if one was broken.
    """
    from leadslip.lab.simulation import Simulation

    simulation = Simulation(load(scenario), members, seed)
    result = simulation.run()
    if plot:
        title = f"{result['title']}, {members} members, seed {seed}"
        plot_run(title, simulation.histories, simulation.faults, plot, simulation.traffic)
    lines = [
        f"{'held' if result['held'] else 'BROKEN'}: {result['title']}, {members} members, seed {seed}",
        f"converged after {result['figures']['settled_ms']:.0f} ms; "
        f"all joined within {result['joined_ms']:.0f} ms at the start",
        f"per member and second: {result['datagrams_per_s']:.1f} datagrams, "
        f"{result['bytes_per_s']:.0f} bytes in datagrams, "
        f"{result['streamed_bytes_per_s']:.0f} bytes in sync sessions; run digest {result['digest']}",
    ]
    rows = [
        (breach["invariant"], breach["at_ms"], breach["whose"], breach["told"])
        for breach in result["breaches"][:20]
    ]
    print_result(
        result,
        json_,
        lines + (format_table(("invariant", "at ms", "member", "details"), rows) if rows else []),
    )
    sys.exit(int(not result["held"]))
