"""`leadslip drill`: fault-injection runs of several proxy processes, checked by their recorded histories."""

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

from leadslip.cli.output import PlotError, format_table, json_option, print_result
from leadslip.drill import check as checker
from leadslip.drill import scenario as scenarios
from leadslip.drill.scenario import Scenario, ScheduledAction


@click.group()
def drill() -> None:
    """Inject seeded faults into several processes and check their histories."""


def run_scenario(
    scenario: Scenario,
    seed: int,
    folder: Path,
    actions: list[ScheduledAction] | None = None,
    faulty_variant: str = "",
) -> dict:
    """Run one scenario with its files in `folder` and return the checked result.

    `actions` replaces the schedule drawn from the seed; `faulty_variant` names a faulty variant of the program to run.
    """
    from leadslip.drill.run import Drill

    folder.mkdir(parents=True, exist_ok=True)

    async def run_until_done() -> dict:
        # SIGTERM cancels the run, as an interrupt does, so that its processes are stopped.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        return await Drill(scenario, seed, folder, actions, faulty_variant).run()

    report = asyncio.run(run_until_done())
    breaches, figures = checker.check(folder, scenario.settle_s, scenario.in_force_ms)
    return {
        "title": scenario.title,
        "seed": seed,
        "processes": scenario.processes,
        "calls": report["calls"],
        "held": not breaches,
        "figures": figures,
        "breaches": [dataclasses.asdict(breach) for breach in breaches],
    }


def plot_run(title: str, histories: dict, faults: list[dict], path: str, traffic: Sequence = ()) -> None:
    """Plot a run; raises PlotError if the plotting library is not installed."""
    try:
        from leadslip.drill.plot import draw

        draw(title, histories, faults, path, traffic)
    except ImportError as error:
        raise PlotError(f"--plot: {error}") from error


def format_result(result: dict) -> list[str]:
    """Format the result of a run as text lines, with at most 20 breaches."""
    figures = ", ".join(f"{key} {value:.0f}" for key, value in result["figures"].items())
    verdict = "held" if result["held"] else "BROKEN"
    lines = [
        f"{verdict}: {result['title']}, seed {result['seed']}, {result['processes']} processes; {figures}"
    ]
    rows = [
        (breach["invariant"], breach["at_ms"], breach["whose"], breach["told"])
        for breach in result["breaches"][:20]
    ]
    return lines + (format_table(("invariant", "at ms", "member", "details"), rows) if rows else [])


@drill.command("run")
@click.argument("scenario", type=click.Path())
@click.option("--seed", type=int, default=1, show_default=True, help="Random seed of the faults.")
@click.option("--seeds", type=int, default=1, show_default=True, help="Number of consecutive seeds to run.")
@click.option(
    "--processes", type=click.IntRange(2, 100), help="Number of processes; faults are scaled in proportion."
)
@click.option(
    "--keep", type=click.Path(file_okay=False), help="Folder in which histories, logs and schedules are kept."
)
@click.option(
    "--broken",
    default="",
    help="Run this faulty variant (drill/faulty.py), to verify that the checker detects it.",
)
@click.option("--plot", type=click.Path(dir_okay=False), help="Plot the (last) run to this SVG or PNG file.")
@json_option
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
    """Run SCENARIO (a file, or a name from `list`) and check its histories.

    Exits with 0 if all invariants held, 1 if one was broken, 2 after any other error.
    """
    parsed_scenario = scenarios.load(scenario)
    if processes is not None:
        parsed_scenario = scenarios.scaled(parsed_scenario, processes)
    any_breach = 0
    for run_seed in range(seed, seed + seeds):
        folder = (
            Path(keep) / f"{Path(scenario).stem}-{run_seed}"
            if keep
            else Path(tempfile.mkdtemp(prefix="drill-"))
        )
        try:
            result = run_scenario(parsed_scenario, run_seed, folder, faulty_variant=broken)
            if plot:
                plot_run(f"{parsed_scenario.title}, seed {run_seed}", *checker.read_records(folder), plot)
        except asyncio.CancelledError:
            sys.exit(128 + signal.SIGTERM)
        finally:
            if not keep:
                shutil.rmtree(folder, ignore_errors=True)
        print_result(result, json_, format_result(result))
        any_breach |= not result["held"]
    sys.exit(int(any_breach))


@drill.command("list")
def list_() -> None:
    """List the scenarios that come with the program."""
    rows = []
    for path in sorted(scenarios.SCENARIO_DIR.glob("*.toml")):
        scenario = scenarios.load(path)
        rows.append((path.stem, scenario.processes, scenario.provokes))
    for line in format_table(("scenario", "processes", "provokes"), rows):
        click.echo(line)


@drill.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.argument("scenario", type=click.Path())
@click.option(
    "--broken", default="", help="Faulty variant (drill/faulty.py) with which the schedule was run."
)
@json_option
def shrink(folder: str, scenario: str, broken: str, json_: bool) -> None:
    """Minimize the failing schedule in FOLDER and write it to FOLDER/least.json.

    Runs SCENARIO repeatedly, and removes actions from the schedule while the remaining ones still break an invariant.
    """
    import msgspec

    parsed_scenario = scenarios.load(scenario)
    schedule = json.loads((Path(folder) / "schedule.json").read_text())
    actions = [msgspec.convert(action, ScheduledAction) for action in schedule["acts"]]

    def breaks_invariant(subset: list[ScheduledAction]) -> bool:
        with tempfile.TemporaryDirectory(prefix="drill-") as run_folder:
            return not run_scenario(parsed_scenario, schedule["seed"], Path(run_folder), subset, broken)[
                "held"
            ]

    minimal = scenarios.minimize(actions, breaks_invariant)
    (Path(folder) / "least.json").write_bytes(
        msgspec.json.encode({"seed": schedule["seed"], "acts": minimal})
    )
    lines = [f"{len(minimal)} of {len(actions)} actions still break an invariant:"]
    print_result(
        {"acts": len(minimal), "of": len(actions)},
        json_,
        lines + [f"{action.at_s:6.2f} s  {action.do} {' '.join(action.who)}" for action in minimal],
    )
