"""leadslip trunks: loss formulas, sizes and reports of trunk groups."""

from __future__ import annotations

import datetime
import tomllib

import click

from leadslip.cli.told import PlotError, as_json, faults, table, tell
from leadslip.trunks import losses, plan, sizing
from leadslip.trunks import redials as again
from leadslip.trunks.losses import LossError

load_option = click.option("--erlangs", type=float, required=True, help="Offered load in erlangs.")
trunks_option = click.option("--trunks", "trunks_", type=int, required=True, help="Trunks of the group.")


@click.group()
def trunks() -> None:
    """Dimension trunk groups, and report what was measured of them."""


@trunks.command()
@load_option
@trunks_option
@click.option("--sources", type=int, help="So many sources alone offer the load (Engset).")
@click.option("--peakedness", type=float, default=1.0, help="Variance of the load over its mean.")
@click.option("--persistence", type=float, default=0.0, help="The part of the lost that is dialled again.")
@click.option("--redials", type=int, default=2, help="How often at most.")
@as_json
def blocking(
    erlangs: float,
    trunks_: int,
    sources: int | None,
    peakedness: float,
    persistence: float,
    redials: int,
    json_: bool,
) -> None:
    """The part of the attempts that is lost (Erlang B; Engset, Hayward or redials where asked)."""
    if (sources is not None) + (peakedness != 1.0) + (persistence != 0.0) > 1:
        raise LossError("sources, peakedness and persistence exclude one another")
    if persistence:
        lost, erlangs = again.with_redials(trunks_, erlangs, persistence, redials)
    elif sources is not None:
        lost = losses.engset(trunks_, sources, erlangs)
    elif peakedness != 1.0:
        lost = losses.hayward_blocking(trunks_, erlangs, peakedness)
    else:
        lost = losses.erlang_b(trunks_, erlangs)
    tell({"blocking": lost, "carried": erlangs * (1.0 - lost)}, json_)


@trunks.command()
@load_option
@trunks_option
@click.option("--hold-s", type=float, required=True, help="Mean holding time in seconds.")
@click.option("--over-s", type=float, default=0.0, help="The wait in question, in seconds.")
@as_json
def wait(erlangs: float, trunks_: int, hold_s: float, over_s: float, json_: bool) -> None:
    """The chance to wait, the mean wait and the chance to wait longer than --over-s (Erlang C)."""
    figures = {
        "p_wait": losses.erlang_c(trunks_, erlangs),
        "mean_wait_s": losses.mean_wait_s(trunks_, erlangs, hold_s),
        "p_wait_over": losses.wait_over(trunks_, erlangs, hold_s, over_s),
    }
    tell(figures, json_)


@trunks.command()
@load_option
@click.option("--blocking", "lost", type=float, required=True, help="The part that may be lost.")
@click.option("--module", type=int, default=1, help="Trunks come in modules of so many.")
@click.option("--peakedness", type=float, default=1.0, help="Variance of the load over its mean.")
@click.option("--growth", type=float, default=0.0, help="0.2: for a fifth more than that.")
@click.option("--calls", type=float, help="The load was measured from so many calls: take its upper limit.")
@click.option("--confidence", type=float, default=0.95, help="Of that limit, two-sided.")
@as_json
def size(
    erlangs: float,
    lost: float,
    module: int,
    peakedness: float,
    growth: float,
    calls: float | None,
    confidence: float,
    json_: bool,
) -> None:
    """The trunks for a load and a grade of service."""
    if calls is not None:
        erlangs = sizing.measured_bounds(erlangs, calls, confidence=confidence)[1]
    found = sizing.size(erlangs, lost, module, peakedness, growth)
    figures = {
        "trunks": found.trunks,
        "blocking": found.blocking,
        "blocking_one_less": found.blocking_one_less,
        "blocking_one_more": found.blocking_one_more,
        "erlangs": found.load,
    }
    tell(figures, json_)


@trunks.command()
@trunks_option
@click.option("--blocking", "lost", type=float, required=True, help="The part that may be lost.")
@click.option("--peakedness", type=float, default=1.0, help="Variance of the load over its mean.")
@as_json
def load(trunks_: int, lost: float, peakedness: float, json_: bool) -> None:
    """The load that a group takes at a grade of service."""
    found = (
        losses.load_for(trunks_, lost)
        if peakedness == 1.0
        else losses.load_for_peaked(trunks_, peakedness, lost)
    )
    tell({"erlangs": found, "each": found / trunks_}, json_)


@trunks.command()
@load_option
@trunks_option
@as_json
def overflow(erlangs: float, trunks_: int, json_: bool) -> None:
    """Mean, variance and peakedness of what overflows from a group."""
    mean, variance = losses.overflow(trunks_, erlangs)
    tell({"mean": mean, "variance": variance, "peakedness": variance / mean if mean else 1.0}, json_)


@trunks.command()
@click.option("--carried", type=float, required=True, help="Carried load in erlangs.")
@click.option("--blocking", "lost", type=float, required=True, help="The part of all attempts that is lost.")
@click.option("--persistence", type=float, required=True, help="The part of the lost that is dialled again.")
@as_json
def fresh(carried: float, lost: float, persistence: float, json_: bool) -> None:
    """The load offered for the first time, redials left out (ITU-T E.501)."""
    tell({"erlangs": again.fresh_load(carried, lost, persistence)}, json_)


@trunks.command()
@trunks_option
@click.option("--spared", type=float, required=True, help="Load of the class that is spared, in erlangs.")
@click.option("--others", type=float, required=True, help="Load of the others, in erlangs.")
@click.option("--blocking", "goal", type=float, required=True, help="What the spared class may lose.")
@as_json
def reserve(trunks_: int, spared: float, others: float, goal: float, json_: bool) -> None:
    """Levels of trunk reservation, up to the first that spares a class enough, and what each costs the others."""
    found = sizing.levels(trunks_, spared, others, goal)
    lines = table(
        ("level", "spared lose", "others lose", "carried"),
        [(one.level, one.spared_blocking, one.others_blocking, one.carried) for one in found],
    )
    tell({"levels": found, "reached": found[-1].spared_blocking <= goal}, json_, lines)


@trunks.command("plan")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--store", "path", type=click.Path(dir_okay=False), help="Read measured loads from this store.")
@as_json
@faults(OSError, tomllib.TOMLDecodeError)
def plan_(file: str, path: str | None, json_: bool) -> None:
    """Size all groups of a plan, those that overflow together with their final group."""
    with open(file, "rb") as opened:
        told = tomllib.load(opened)
    confidence = plan.figure(told, "confidence", "", 0.01, 0.999999, 0.95)
    measured = None
    if path is not None:
        from leadslip.trunks import report

        quarters = report.Quarters(path)

        def measured(group: str) -> float:
            return quarters.upper_load(group, "tcbh", confidence)

    found = plan.solve(plan.read(told, measured))
    cost = sum(one.cost for one in found)
    lines = table(
        ("group", "role", "erlangs", "trunks", "loss", "one less", "one more", "cost", "to add"),
        [
            (
                one.name,
                one.role,
                one.load,
                one.trunks,
                one.blocking,
                one.blocking_one_less,
                one.blocking_one_more,
                one.cost,
                "" if one.more is None else one.more,
            )
            for one in found
        ],
    )
    for one in found:
        for level in one.levels:
            lines.append(
                f"{one.name}: keep {level.level}: spared lose {level.spared_blocking:.2g},"
                f" others {level.others_blocking:.2g}"
            )
    lines.append(f"cost of all: {cost:.6g}")
    tell({"groups": found, "cost": cost}, json_, lines)


@trunks.command("report")
@click.argument("store", type=click.Path(dir_okay=False))
@click.option(
    "--busy-hour", "kind", type=click.Choice(["tcbh", "adph"]), default="tcbh", help="E.492 / E.500."
)
@click.option("--group", help="Of this group alone.")
@click.option("--confidence", type=float, default=0.95, help="Of the limits of the load.")
@click.option("--plot", type=click.Path(dir_okay=False), help="Draw the days into this SVG or PNG file.")
@as_json
def report_(
    store: str, kind: str, group: str | None, confidence: float, plot: str | None, json_: bool
) -> None:
    """The busy hour of each group, from the traffic that a proxy has measured."""
    from leadslip.trunks import report

    quarters = report.Quarters(store)
    found = [quarters.told(name, kind, confidence) for name in ([group] if group else quarters.groups)]
    if plot is not None:
        try:
            report.draw(quarters, [one.group for one in found], plot)
        except ImportError as fault:
            raise PlotError(f"--plot: {fault}") from fault
    lines = table(
        (
            "group",
            "busy hour",
            "erlangs",
            "low",
            "high",
            "naive",
            "loss",
            "redialled",
            "days",
            "surges",
            "gaps",
        ),
        [
            (
                one.group,
                "-" if one.starts_s is None else str(datetime.timedelta(seconds=one.starts_s)),
                "-" if one.load is None else one.load,
                "-" if one.low is None else one.low,
                "-" if one.high is None else one.high,
                one.naive,
                one.blocking,
                one.persistence,
                one.days,
                len(one.surges),
                len(one.gaps),
            )
            for one in found
        ],
    )
    for one in found:
        for start_s, seconds in one.gaps:
            when = datetime.datetime.fromtimestamp(start_s, datetime.UTC)
            lines.append(f"{one.group}: not measured for {seconds} s from {when:%Y-%m-%d %H:%M} UTC")
        for start_s, peak in one.surges:
            when = datetime.datetime.fromtimestamp(start_s, datetime.UTC)
            lines.append(f"{one.group}: surge of {peak:.4g} erlangs on {when:%Y-%m-%d}, left out")
    lines += [f"damaged, left out: {name}" for name in quarters.damaged]
    tell({"busy_hour": kind, "groups": found, "damaged": quarters.damaged}, json_, lines)
