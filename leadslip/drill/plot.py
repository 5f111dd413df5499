"""Draws a run of drill or lab from its histories and record of faults: troubles, views, ends told, traffic."""

from __future__ import annotations

from collections.abc import Sequence

WIDTH = 10.0  # inches
STEP_S = 0.25  # of what is counted over time
ENDS = {"stop": "go on, done", "out of service": "in service", "start beside": "end the older"}


def troubles(faults: Sequence[dict]) -> list[tuple[str, float, float]]:
    """What was broken, from when to when (monotonic ms); what has no end, as a crash has none, ends as it begins."""
    told: list[tuple[str, float, float]] = []
    for i, one in enumerate(faults):
        kind = one["do"]
        if (
            kind.startswith("end ")
            and kind != "end the older"
            or kind.endswith(", done")
            or kind == "in service"
        ):
            continue
        if not one["who"] and not one.get("ways"):
            continue
        ending = ENDS.get(kind, f"end {kind}")
        about = one["who"], one.get("ways")
        end_ms = next(
            (
                other["mono_ms"]
                for other in faults[i + 1 :]
                if other["do"] == ending and (other["who"], other.get("ways")) == about
            ),
            one["mono_ms"],
        )
        if kind not in ("started", "end the older", "start"):
            told.append((kind, one["mono_ms"], end_ms))
    return told


def views(histories: dict[str, list[dict]]) -> list[tuple[float, int]]:
    """How many different views were held from when on (monotonic ms), by all that ever told one."""
    told = sorted(
        (one["mono_ms"], i, start, one["digest"])
        for start, lines in histories.items()
        for i, one in enumerate(lines)
        if "digest" in one
    )
    held: dict[str, str] = {}
    counts = []
    for at_ms, _, start, digest in told:
        held[start] = digest
        counts.append((at_ms, len(set(held.values()))))
    return counts


def draw(
    title: str,
    histories: dict[str, list[dict]],
    faults: Sequence[dict],
    path: str,
    traffic: Sequence[tuple[float, float]] = (),
) -> None:
    """Into an SVG or PNG file; `traffic` is (ms, bytes a member and second) from then on. Needs leadslip[plots]."""
    import matplotlib

    matplotlib.use("svg" if path.endswith(".svg") else "agg")
    from matplotlib import pyplot

    began_ms = next((one["mono_ms"] for one in faults if one["do"] == "agreed"), 0.0)

    def at(ms: float) -> float:
        return (ms - began_ms) / 1000.0

    figure, axes = pyplot.subplots(3 + bool(traffic), 1, figsize=(WIDTH, 8.0), sharex=True)
    broken = troubles(faults)
    kinds = list(dict.fromkeys(kind for kind, _, _ in broken))
    for kind, begin_ms, end_ms in broken:
        row, length = kinds.index(kind), at(end_ms) - at(begin_ms)
        if length:
            axes[0].barh(row, length, left=at(begin_ms), alpha=0.5)
        else:
            axes[0].plot(at(begin_ms), row, "kx")
    axes[0].set_yticks(range(len(kinds)), kinds)
    axes[0].set_title(title)
    counts = views(histories)
    axes[1].step([at(ms) for ms, _ in counts], [count for _, count in counts], where="post")
    axes[1].set_ylabel("different views")
    for state in ("suspect", "dead", "left"):
        when = [
            at(one["mono_ms"])
            for lines in histories.values()
            for one in lines
            if one["do"] == "held" and one["state"] == state
        ]
        if when:
            steps = max(1, round((max(when) - min(when)) / STEP_S))
            axes[2].hist(when, bins=steps, histtype="step", label=state)
            axes[2].legend(loc="upper right", fontsize="small")
    axes[2].set_ylabel(f"told each {STEP_S:g} s")
    if traffic:
        axes[3].step([at(ms) for ms, _ in traffic], [rate for _, rate in traffic], where="post")
        axes[3].set_ylabel("bytes a member, second")
        axes[3].set_ylim(bottom=0)
    axes[-1].set_xlabel("seconds since all knew one another")
    axes[-1].set_xlim(left=-2.0)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
