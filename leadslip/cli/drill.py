"""leadslip drill: several processes of the program, broken in seeded ways, and judged by their histories."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import shutil
import signal
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path

import click

from leadslip.cli.told import PlotError, as_json, table, tell
from leadslip.drill import check as judge
from leadslip.drill import scenario as scenarios
from leadslip.drill.scenario import Act, Scenario


@click.group()
def drill() -> None:
    """Start several processes, break things between them, and check their histories."""


def held(
    scenario: Scenario, seed: int, folder: Path, acts: list[Act] | None = None, broken: str = ""
) -> dict:
    """Hold one drill in a folder and judge it."""
    from leadslip.drill.run import Drill

    folder.mkdir(parents=True, exist_ok=True)

    async def whole() -> dict:
        # A SIGTERM ends what was started, as an interrupt does.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        return await Drill(scenario, seed, folder, acts, broken).run()

    told = asyncio.run(whole())
    breaches, figures = judge.check(folder, scenario.settle_s, scenario.in_force_ms)
    return {
        "title": scenario.title,
        "seed": seed,
        "processes": scenario.processes,
        "calls": told["calls"],
        "held": not breaches,
        "figures": figures,
        "breaches": [dataclasses.asdict(one) for one in breaches],
    }


def drawn(title: str, histories: dict, faults: list[dict], path: str, traffic: Sequence = ()) -> None:
    """Draw a run; where the library is missing, the command ends with 2."""
    try:
        from leadslip.drill.plot import draw

        draw(title, histories, faults, path, traffic)
    except ImportError as fault:
        raise PlotError(f"--plot: {fault}") from fault


def lines_of(told: dict) -> list[str]:
    """A result for a person."""
    figures = ", ".join(f"{key} {value:.0f}" for key, value in told["figures"].items())
    kept = "held" if told["held"] else "BROKEN"
    lines = [f"{kept}: {told['title']}, seed {told['seed']}, {told['processes']} processes; {figures}"]
    rows = [(one["invariant"], one["at_ms"], one["whose"], one["told"]) for one in told["breaches"][:20]]
    return lines + (table(("broken", "at ms", "whose", "what"), rows) if rows else [])


@drill.command("run")
@click.argument("scenario", type=click.Path())
@click.option("--seed", type=int, default=1, show_default=True, help="Draws who is hit, and when.")
@click.option("--seeds", type=int, default=1, show_default=True, help="So many seeds, from --seed on.")
@click.option("--processes", type=click.IntRange(2, 100), help="So many, and of faults in proportion.")
@click.option("--keep", type=click.Path(file_okay=False), help="Keep histories, logs and schedules here.")
@click.option("--broken", default="", help="A fault put into the program, to see the checker find it.")
@click.option(
    "--plot", type=click.Path(dir_okay=False), help="Draw the (last) run into this SVG or PNG file."
)
@as_json
def run_(
    scenario: str,
    seed: int,
    seeds: int,
    processes: int | None,
    keep: str | None,
    broken: str,
    plot: str | None,
    json_: bool,
) -> None:
    """Hold SCENARIO (a file, or a name from `list`); 0 when all invariants held, 1 when one is broken, 2 else."""
    told_of = scenarios.load(scenario)
    if processes is not None:
        told_of = scenarios.scaled(told_of, processes)
    wrong = 0
    for one in range(seed, seed + seeds):
        folder = (
            Path(keep) / f"{Path(scenario).stem}-{one}" if keep else Path(tempfile.mkdtemp(prefix="drill-"))
        )
        try:
            told = held(told_of, one, folder, broken=broken)
            if plot:
                drawn(f"{told_of.title}, seed {one}", *judge.records(folder), plot)
        except asyncio.CancelledError:
            sys.exit(128 + signal.SIGTERM)
        finally:
            if not keep:
                shutil.rmtree(folder, ignore_errors=True)
        tell(told, json_, lines_of(told))
        wrong |= not told["held"]
    sys.exit(int(wrong))


@drill.command("list")
def list_() -> None:
    """The scenarios that come with the program."""
    rows = []
    for path in sorted(scenarios.HERE.glob("*.toml")):
        told = scenarios.load(path)
        rows.append((path.stem, told.processes, told.provokes))
    for line in table(("scenario", "processes", "provokes"), rows):
        click.echo(line)


@drill.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.argument("scenario", type=click.Path())
@click.option("--broken", default="", help="The fault that was put into the program.")
@as_json
def shrink(folder: str, scenario: str, broken: str, json_: bool) -> None:
    """Take acts away from the schedule in FOLDER, as long as what is left still breaks an invariant."""
    import msgspec

    told_of = scenarios.load(scenario)
    raw = json.loads((Path(folder) / "schedule.json").read_text())
    acts = [msgspec.convert(one, Act) for one in raw["acts"]]

    def breaks(some: list[Act]) -> bool:
        with tempfile.TemporaryDirectory(prefix="drill-") as place:
            return not held(told_of, raw["seed"], Path(place), some, broken)["held"]

    least = scenarios.shrunk(acts, breaks)
    (Path(folder) / "least.json").write_bytes(msgspec.json.encode({"seed": raw["seed"], "acts": least}))
    lines = [f"{len(least)} of {len(acts)} acts still break it:"]
    tell(
        {"acts": len(least), "of": len(acts)},
        json_,
        lines + [f"{a.at_s:6.2f} s  {a.do} {' '.join(a.who)}" for a in least],
    )
