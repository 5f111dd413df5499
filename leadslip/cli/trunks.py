"""`leadslip trunks`: loss formulas, dimensioning and traffic reports of trunk groups."""

from __future__ import annotations

import datetime
import tomllib

import click

from leadslip.cli.output import PlotError, format_table, json_option, print_result, raise_file_error
from leadslip.trunks import losses, plan, sizing
from leadslip.trunks import redials as redial_model
from leadslip.trunks.losses import LossError

load_option = click.option("--erlangs", type=float, required=True, help="Offered load in erlangs.")
trunks_option = click.option(
    "--trunks", "trunks_", type=int, required=True, help="Number of trunks in the group."
)


@click.group()
def trunks() -> None:
    """Dimension trunk groups and report their measured traffic."""


@trunks.command()
@load_option
@trunks_option
@click.option("--sources", type=int, help="Number of sources that offer the load (Engset).")
@click.option("--peakedness", type=float, default=1.0, help="Variance-to-mean ratio of the load.")
@click.option("--persistence", type=float, default=0.0, help="Fraction of lost attempts that are redialled.")
@click.option("--redials", type=int, default=2, help="Maximum redials per call.")
@json_option
def blocking(
    erlangs: float,
    trunks_: int,
    sources: int | None,
    peakedness: float,
    persistence: float,
    redials: int,
    json_: bool,
) -> None:
    """Blocking probability (Erlang B; Engset, Hayward or redials if the options are given)."""
    if (sources is not None) + (peakedness != 1.0) + (persistence != 0.0) > 1:
        raise LossError("--sources, --peakedness and --persistence exclude one another; give at most one")
    if persistence:
        blocking_probability, erlangs = redial_model.with_redials(trunks_, erlangs, persistence, redials)
    elif sources is not None:
        blocking_probability = losses.engset(trunks_, sources, erlangs)
    elif peakedness != 1.0:
        blocking_probability = losses.hayward_blocking(trunks_, erlangs, peakedness)
    else:
        blocking_probability = losses.erlang_b(trunks_, erlangs)
    print_result({"blocking": blocking_probability, "carried": erlangs * (1.0 - blocking_probability)}, json_)


@trunks.command()
@load_option
@trunks_option
@click.option("--hold-s", type=float, required=True, help="Mean holding time in seconds.")
@click.option("--over-s", type=float, default=0.0, help="Waiting time for p_wait_over, in seconds.")
@json_option
def wait(erlangs: float, trunks_: int, hold_s: float, over_s: float, json_: bool) -> None:
    """Probability of waiting, mean wait, and probability of waiting longer than --over-s (Erlang C)."""
    result = {
        "p_wait": losses.erlang_c(trunks_, erlangs),
        "mean_wait_s": losses.mean_wait_s(trunks_, erlangs, hold_s),
        "p_wait_over": losses.wait_over(trunks_, erlangs, hold_s, over_s),
    }
    print_result(result, json_)


@trunks.command()
@load_option
@click.option("--blocking", "max_blocking", type=float, required=True, help="Permitted blocking probability.")
@click.option(
    "--module", type=int, default=1, help="Trunks per module: the size is rounded up to whole modules."
)
@click.option("--peakedness", type=float, default=1.0, help="Variance-to-mean ratio of the load.")
@click.option("--growth", type=float, default=0.0, help="Growth allowance: 0.2 adds 20% to the load.")
@click.option(
    "--calls",
    type=float,
    help="Number of calls from which the load was measured: use its upper confidence limit.",
)
@click.option("--confidence", type=float, default=0.95, help="Two-sided confidence level of that limit.")
@json_option
def size(
    erlangs: float,
    max_blocking: float,
    module: int,
    peakedness: float,
    growth: float,
    calls: float | None,
    confidence: float,
    json_: bool,
) -> None:
    """Number of trunks for a load and a grade of service."""
    if calls is not None:
        erlangs = sizing.measured_bounds(erlangs, calls, confidence=confidence)[1]
    sized = sizing.size(erlangs, max_blocking, module, peakedness, growth)
    result = {
        "trunks": sized.trunks,
        "blocking": sized.blocking,
        "blocking_one_less": sized.blocking_one_less,
        "blocking_one_more": sized.blocking_one_more,
        "erlangs": sized.load,
    }
    print_result(result, json_)


@trunks.command()
@trunks_option
@click.option("--blocking", "max_blocking", type=float, required=True, help="Permitted blocking probability.")
@click.option("--peakedness", type=float, default=1.0, help="Variance-to-mean ratio of the load.")
@json_option
def load(trunks_: int, max_blocking: float, peakedness: float, json_: bool) -> None:
    """Largest offered load at which a group meets a grade of service, in all and for each trunk."""
    load_erlangs = (
        losses.load_for(trunks_, max_blocking)
        if peakedness == 1.0
        else losses.load_for_peaked(trunks_, peakedness, max_blocking)
    )
    print_result({"erlangs": load_erlangs, "each": load_erlangs / trunks_}, json_)


@trunks.command()
@load_option
@trunks_option
@json_option
def overflow(erlangs: float, trunks_: int, json_: bool) -> None:
    """Mean, variance and peakedness of the overflow traffic of a group."""
    mean, variance = losses.overflow(trunks_, erlangs)
    print_result({"mean": mean, "variance": variance, "peakedness": variance / mean if mean else 1.0}, json_)


@trunks.command()
@click.option("--carried", type=float, required=True, help="Carried load in erlangs.")
@click.option(
    "--blocking",
    "measured_blocking",
    type=float,
    required=True,
    help="Measured fraction of attempts that are lost.",
)
@click.option(
    "--persistence", type=float, required=True, help="Fraction of lost attempts that are redialled."
)
@json_option
def fresh(carried: float, measured_blocking: float, persistence: float, json_: bool) -> None:
    """First-attempt offered load, without redials (ITU-T E.501)."""
    print_result({"erlangs": redial_model.fresh_load(carried, measured_blocking, persistence)}, json_)


@trunks.command()
@trunks_option
@click.option("--spared", type=float, required=True, help="Load of the protected class in erlangs.")
@click.option("--others", type=float, required=True, help="Load of the other classes in erlangs.")
@click.option(
    "--blocking",
    "max_blocking",
    type=float,
    required=True,
    help="Permitted blocking probability of the protected class.",
)
@json_option
def reserve(trunks_: int, spared: float, others: float, max_blocking: float, json_: bool) -> None:
    """Trunk reservation levels from 0 up to the first that meets the grade of service of the protected class."""
    reserved_levels = sizing.levels(trunks_, spared, others, max_blocking)
    lines = format_table(
        ("level", "protected blocking", "others blocking", "carried"),
        [
            (reserved.level, reserved.spared_blocking, reserved.others_blocking, reserved.carried)
            for reserved in reserved_levels
        ],
    )
    print_result(
        {"levels": reserved_levels, "reached": reserved_levels[-1].spared_blocking <= max_blocking},
        json_,
        lines,
    )


@trunks.command("plan")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option(
    "--store", "store_path", type=click.Path(dir_okay=False), help="Read measured loads from this store."
)
@json_option
@raise_file_error(OSError, tomllib.TOMLDecodeError)
def plan_(file: str, store_path: str | None, json_: bool) -> None:
    """Size all groups of the plan FILE; groups that overflow are sized together with their final group."""
    with open(file, "rb") as plan_file:
        fields = tomllib.load(plan_file)
    confidence = plan.bounded_number(fields, "confidence", "", 0.01, 0.999999, 0.95)
    measured = None
    if store_path is not None:
        from leadslip.trunks import report

        quarters = report.Quarters(store_path)

        def measured(group: str) -> float:
            return quarters.upper_load(group, "tcbh", confidence)

    planned_groups = plan.solve(plan.read(fields, measured))
    cost = sum(planned.cost for planned in planned_groups)
    lines = format_table(
        (
            "group",
            "role",
            "erlangs",
            "trunks",
            "blocking",
            "one trunk less",
            "one trunk more",
            "cost",
            "to add",
        ),
        [
            (
                planned.name,
                planned.role,
                planned.load,
                planned.trunks,
                planned.blocking,
                planned.blocking_one_less,
                planned.blocking_one_more,
                planned.cost,
                "" if planned.more is None else planned.more,
            )
            for planned in planned_groups
        ],
    )
    for planned in planned_groups:
        for level in planned.levels:
            lines.append(
                f"{planned.name}: reserve {level.level}: blocking of the protected class {level.spared_blocking:.2g},"
                f" of the others {level.others_blocking:.2g}"
            )
    lines.append(f"total cost: {cost:.6g}")
    print_result({"groups": planned_groups, "cost": cost}, json_, lines)


@trunks.command("report")
@click.argument("store", type=click.Path(dir_okay=False))
@click.option(
    "--busy-hour",
    "busy_hour_kind",
    type=click.Choice(["tcbh", "adph"]),
    default="tcbh",
    help="tcbh: time-consistent (E.492); adph: average daily peak hour (E.500).",
)
@click.option("--group", help="Report only this group.")
@click.option("--confidence", type=float, default=0.95, help="Confidence level of the load's limits.")
@click.option("--plot", type=click.Path(dir_okay=False), help="Plot the days to this SVG or PNG file.")
@json_option
def report_(
    store: str, busy_hour_kind: str, group: str | None, confidence: float, plot: str | None, json_: bool
) -> None:
    """Report the busy hour of each group from the traffic that a proxy has measured and written to STORE."""
    from leadslip.trunks import report

    quarters = report.Quarters(store)
    reports = [
        quarters.group_report(name, busy_hour_kind, confidence)
        for name in ([group] if group else quarters.groups)
    ]
    if plot is not None:
        try:
            report.draw(quarters, [group_report.group for group_report in reports], plot)
        except ImportError as error:
            raise PlotError(f"--plot: {error}") from error
    lines = format_table(
        (
            "group",
            "busy hour",
            "erlangs",
            "low",
            "high",
            "all attempts",
            "blocking",
            "redialled",
            "days",
            "surges",
            "gaps",
        ),
        [
            (
                group_report.group,
                "-"
                if group_report.starts_s is None
                else str(datetime.timedelta(seconds=group_report.starts_s)),
                "-" if group_report.load is None else group_report.load,
                "-" if group_report.low is None else group_report.low,
                "-" if group_report.high is None else group_report.high,
                group_report.naive,
                group_report.blocking,
                group_report.persistence,
                group_report.days,
                len(group_report.surges),
                len(group_report.gaps),
            )
            for group_report in reports
        ],
    )
    for group_report in reports:
        for start_s, duration_s in group_report.gaps:
            start = datetime.datetime.fromtimestamp(start_s, datetime.UTC)
            lines.append(
                f"{group_report.group}: not measured for {duration_s} s from {start:%Y-%m-%d %H:%M} UTC"
            )
        for start_s, peak in group_report.surges:
            start = datetime.datetime.fromtimestamp(start_s, datetime.UTC)
            lines.append(f"{group_report.group}: surge of {peak:.4g} erlangs on {start:%Y-%m-%d}, excluded")
    lines += [f"damaged record, excluded: {record}" for record in quarters.damaged_records]
    print_result(
        {"busy_hour": busy_hour_kind, "groups": reports, "damaged": quarters.damaged_records}, json_, lines
    )
