"""Plots a real or simulated run from its histories and fault record: faults, views, member states, traffic."""

from __future__ import annotations

from collections.abc import Sequence

WIDTH_INCHES = 10.0
BIN_S = 0.25  # bin width of the histograms over time
# Action -> action that ends its fault; "end ..." for all others.
END_ACTIONS = {"stop": "go on, done", "out of service": "in service", "start beside": "end the older"}


def fault_spans(faults: Sequence[dict]) -> list[tuple[str, float, float]]:
    """Kind, begin and end (monotonic ms) of each fault; one without a recorded end, such as a crash, ends at once."""
    spans: list[tuple[str, float, float]] = []
    for i, fault in enumerate(faults):
        kind = fault["do"]
        if (
            kind.startswith("end ")
            and kind != "end the older"
            or kind.endswith(", done")
            or kind == "in service"
        ):
            continue
        if not fault["who"] and not fault.get("ways"):
            continue
        end_action = END_ACTIONS.get(kind, f"end {kind}")
        target = fault["who"], fault.get("ways")
        end_ms = next(
            (
                later["mono_ms"]
                for later in faults[i + 1 :]
                if later["do"] == end_action and (later["who"], later.get("ways")) == target
            ),
            fault["mono_ms"],
        )
        if kind not in ("started", "end the older", "start"):
            spans.append((kind, fault["mono_ms"], end_ms))
    return spans


def view_counts(histories: dict[str, list[dict]]) -> list[tuple[float, int]]:
    """The number of different views over time (monotonic ms), by the last digest of each process in `histories`."""
    digests = sorted(
        (record["mono_ms"], i, start_name, record["digest"])
        for start_name, records in histories.items()
        for i, record in enumerate(records)
        if "digest" in record
    )
    latest: dict[str, str] = {}
    counts = []
    for at_ms, _, start_name, digest in digests:
        latest[start_name] = digest
        counts.append((at_ms, len(set(latest.values()))))
    return counts


def draw(
    title: str,
    histories: dict[str, list[dict]],
    faults: Sequence[dict],
    path: str,
    traffic: Sequence[tuple[float, float]] = (),
) -> None:
    """Plot into an SVG or PNG file; needs leadslip[plots].

    `traffic` has the start of each sample in ms and the bytes per member and second in it; empty: it is not plotted.
    """
    import matplotlib

    matplotlib.use("svg" if path.endswith(".svg") else "agg")
    from matplotlib import pyplot

    began_ms = next((fault["mono_ms"] for fault in faults if fault["do"] == "agreed"), 0.0)

    def seconds(ms: float) -> float:
        return (ms - began_ms) / 1000.0

    figure, axes = pyplot.subplots(3 + bool(traffic), 1, figsize=(WIDTH_INCHES, 8.0), sharex=True)
    spans = fault_spans(faults)
    kinds = list(dict.fromkeys(kind for kind, _, _ in spans))
    for kind, begin_ms, end_ms in spans:
        row, length = kinds.index(kind), seconds(end_ms) - seconds(begin_ms)
        if length:
            axes[0].barh(row, length, left=seconds(begin_ms), alpha=0.5)
        else:
            axes[0].plot(seconds(begin_ms), row, "kx")
    axes[0].set_yticks(range(len(kinds)), kinds)
    axes[0].set_title(title)
    counts = view_counts(histories)
    axes[1].step([seconds(ms) for ms, _ in counts], [count for _, count in counts], where="post")
    axes[1].set_ylabel("different views")
    for state in ("suspect", "dead", "left"):
        times_s = [
            seconds(record["mono_ms"])
            for records in histories.values()
            for record in records
            if record["do"] == "held" and record["state"] == state
        ]
        if times_s:
            bins = max(1, round((max(times_s) - min(times_s)) / BIN_S))
            axes[2].hist(times_s, bins=bins, histtype="step", label=state)
            axes[2].legend(loc="upper right", fontsize="small")
    axes[2].set_ylabel(f"changes of state per {BIN_S:g} s")
    if traffic:
        axes[3].step([seconds(ms) for ms, _ in traffic], [rate for _, rate in traffic], where="post")
        axes[3].set_ylabel("bytes per member and s")
        axes[3].set_ylim(bottom=0)
    axes[-1].set_xlabel("seconds since the fleet formed")
    axes[-1].set_xlim(left=-2.0)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
