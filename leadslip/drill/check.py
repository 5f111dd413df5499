"""Checks a run by its histories and fault record alone; shares no code with what it checks.

V1: no live, reachable, unstalled member is dead in a reachable, unstalled member's view for over two seconds.
V2: once faults have ended, all live members report the same digest of their view within `settle_s`.
V3: a member that has held a run as dead never holds that run as alive or suspect again.
A1: no two processes apply different contents under one revision, and revisions only increase at a process.
A2: no process applies a revision for more than `in_force_ms` after another has begun to apply a newer one, and at the
    end all processes apply the same agreed revision.
A3: a change acknowledged to an operator is in the leader's history at the end, if a majority of voters kept its disks.
R1: a call whose release was answered with 200 is known to no process at the end.
R2: an established call can be released through any other process, even if its own was killed after
    REPLICATION_DELAY_MS.
R3: without load, two other processes (or all, if there are fewer) hold an equal replica of each process's table.
R4: at the end each process has recovered its table.
C1: each call gets exactly one final answer, in time, unless its process was killed, stopped, ended, upgraded or out of
    service meanwhile.

A run is one generation of a process in the fleet: 16 hex digits, of which the first 12 identify the process. A process
name with the number of its start, such as `n03-2`, is a start name; it is the stem of the name of a history file.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path

MAX_FALSE_REMOVAL_MS = 2000.0
# A call that was answered less than this before its process was killed may have no replica.
REPLICATION_DELAY_MS = 1000.0
ANSWER_TIMEOUT_MS, SLACK_MS = 3000.0, 1000.0
NO_END = float("inf")


@dataclass(frozen=True, slots=True)
class Breach:
    """A violation of an invariant: its time, the processes concerned (`whose`), and a description (`told`).

    `at_ms` is a monotonic time, except for C1, where it is the Unix time of the call.
    """

    invariant: str
    at_ms: float
    whose: str
    told: str


@dataclass(frozen=True, slots=True)
class Span:
    """A period of time (monotonic ms)."""

    begin_ms: float
    end_ms: float


def read_history(path: Path) -> list[dict]:
    """The records of a history file; a line that a killed process left truncated is ignored."""
    parsed = []
    for line in path.read_text().splitlines():
        try:
            parsed.append(json.loads(line))
        except ValueError:
            break
    return parsed


def read_records(folder: Path) -> tuple[dict[str, list[dict]], list[dict]]:
    """The histories in the folder of a drill, by start name, and its fault record."""
    histories = {path.stem: read_history(path) for path in sorted(folder.glob("*.jsonl"))}
    return histories, json.loads((folder / "faults.json").read_text())


def check(folder: Path, settle_s: float, in_force_ms: float = 0.0) -> tuple[list[Breach], dict[str, float]]:
    """Check the files of a drill: all breaches, and figures such as the convergence time and the calls judged."""
    histories, faults = read_records(folder)
    breaches, figures = check_views_and_answers(
        histories, faults, json.loads((folder / "calls.json").read_text()), settle_s
    )
    if (folder / "settings.json").exists():
        settings = json.loads((folder / "settings.json").read_text())
        found, more_figures = check_agreement(histories, faults, settings, in_force_ms)
        breaches += found
        figures |= more_figures
    if (folder / "replicas.json").exists():
        found, more_figures = check_replicas(faults, json.loads((folder / "replicas.json").read_text()))
        breaches += found
        figures |= more_figures
    return breaches, figures


def check_replicas(faults: list[dict], recorded: dict) -> tuple[list[Breach], dict[str, float]]:
    """Check R1 to R4: the breaches, and the numbers of releases tried and of those that were for killed processes.

    `recorded` is the content of replicas.json: per process its replication status ("told"), and the calls whose release
    was tried through another process ("tried"), each with the process ("through") and the status code ("told").
    """
    end_ms = convergence_wait_end_ms(faults)
    breaches: list[Breach] = []
    kills = [(fault["unix_ms"], name) for fault in faults if fault["do"] == "kill" for name in fault["who"]]
    figures = {"releases_tried": 0.0, "of_killed": 0.0}
    for call in recorded["tried"]:
        figures["releases_tried"] += 1
        answered_ms = call["answers"][0][0]
        kill_times_ms = [
            killed_ms for killed_ms, name in kills if name == call["proxy"] and killed_ms > answered_ms
        ]
        if call.get("released") == 200:
            if call["told"] == 200:
                breaches.append(
                    Breach(
                        "R1",
                        end_ms,
                        call["through"],
                        f"call {call['id']} was released, but could be released again",
                    )
                )
        elif call["told"] != 200 and not (
            kill_times_ms and kill_times_ms[0] - answered_ms < REPLICATION_DELAY_MS
        ):
            text = f"call {call['id']} of {call['proxy']} is established, but its release got status {call['told']}"
            breaches.append(Breach("R2", end_ms, call["through"], text))
        elif kill_times_ms:
            figures["of_killed"] += 1
    for name, status in recorded["told"].items():
        if status["behind"]:
            breaches.append(Breach("R4", end_ms, name, "has not recovered its table"))
        equal_holders = [
            other
            for other, other_status in recorded["told"].items()
            for replica in other_status["held"]
            if (replica["owner"], replica["run"], replica["digest"])
            == (name, status["run"], status["own"]["digest"])
        ]
        if len(equal_holders) < min(2, len(recorded["told"]) - 1):
            breaches.append(
                Breach("R3", end_ms, name, f"equal replicas of its table are at {equal_holders} only")
            )
    return breaches, figures


def check_agreement(
    histories: dict[str, list[dict]], faults: list[dict], settings: dict, in_force_ms: float
) -> tuple[list[Breach], dict[str, float]]:
    """Check A1 to A3: the breaches, and figures such as the longest overlap of two revisions in % of `in_force_ms`.

    A history has a record "acts" when the process begins to apply a revision, and at intervals while it goes on; its
    `until_ms` is when the process last applied the revision of the record before. `settings` is the content of
    settings.json: per process its final agreement status ("held"), and the changes submitted ("changes").
    """
    breaches: list[Breach] = []
    # Revision -> checksum of its contents, start name of the process in whose history it was found first.
    contents: dict[int, tuple[str, str]] = {}
    # Revision, start name of a process that applied it, the time from its first to its last use there.
    spans: list[tuple[int, str, Span]] = []
    for start_name, history in histories.items():
        applied_records = [record for record in history if record["do"] == "acts"]
        latest = 0
        for i, record in enumerate(applied_records):
            last_ms = (
                applied_records[i + 1]["until_ms"] if i + 1 < len(applied_records) else record["mono_ms"]
            )
            if not record["agreed"]:
                continue
            revision, checksum = record["revision"], record["mark"]
            first_checksum, first_start_name = contents.setdefault(revision, (checksum, start_name))
            if checksum != first_checksum:
                text = (
                    f"revision {revision} has checksum {checksum}, but {first_checksum} at {first_start_name}"
                )
                breaches.append(Breach("A1", record["mono_ms"], start_name, text))
            if revision < latest:
                breaches.append(
                    Breach(
                        "A1", record["mono_ms"], start_name, f"went back from revision {latest} to {revision}"
                    )
                )
            latest = max(latest, revision)
            spans.append((revision, start_name, Span(record["mono_ms"], max(last_ms, record["mono_ms"]))))
    longest_ms = 0.0
    for revision, start_name, span in spans:
        newer = [other.begin_ms for number, _, other in spans if number > revision]
        overlap_ms = span.end_ms - min(newer, default=NO_END)
        longest_ms = max(longest_ms, overlap_ms)
        if overlap_ms > in_force_ms:
            text = (
                f"applied revision {revision} until {overlap_ms:.0f} ms after a newer one was first applied"
            )
            breaches.append(Breach("A2", span.end_ms, start_name, text))
    leaders = [
        status
        for status in settings["held"].values()
        if status["voter"] and status["voter"]["role"] == "leader"
    ]
    leader = max(leaders, key=lambda status: status["voter"]["term"], default=None)
    change_ids = {change["id"] for change in leader["history"]} if leader is not None else set()
    # A change whose answer was truncated has no revision, so it cannot be checked.
    acknowledged = [
        change for change in settings["changes"] if change["status"] == 200 and change.get("revision")
    ]
    oldest = min((change["revision"] for change in leader["history"]), default=0) if leader is not None else 0
    for change in acknowledged:
        if change["revision"] >= oldest and change["id"] not in change_ids:
            text = f"{change['id']}, acknowledged as revision {change['revision']}, is not in the leader's history"
            breaches.append(Breach("A3", convergence_wait_end_ms(faults), change["proxy"], text))
    final_states = {(status["revision"], status["in_force"]) for status in settings["held"].values()}
    if len(final_states) != 1 or next(iter(final_states))[1] != "agreed":
        text = f"at the end not all apply one agreed revision, but {sorted(final_states)}"
        breaches.append(Breach("A2", convergence_wait_end_ms(faults), ", ".join(settings["held"]), text))
    figures = {
        "acknowledged": float(len(acknowledged)),
        "revisions_acted_on": float(len(contents)),
        "contradiction_per_cent": 100.0 * longest_ms / in_force_ms,
    }
    return breaches, figures


def check_views_and_answers(
    histories: dict[str, list[dict]], faults: list[dict], calls: list[dict], settle_s: float
) -> tuple[list[Breach], dict[str, float]]:
    """Check V1 to V3 and C1 from records already read: the breaches, and figures."""
    alive_spans, down_spans = run_spans(histories, faults)
    breaches, figures = [], {}
    found, figures["longest_wrong_ms"] = check_false_removals(histories, faults, alive_spans, down_spans)
    breaches += found
    found, figures["settled_ms"] = check_convergence(histories, faults, down_spans, settle_s)
    breaches += found
    breaches += check_resurrections(histories)
    found, figures["calls_judged"] = check_answers(calls, faults)
    return breaches + found, figures


def run_spans(
    histories: dict[str, list[dict]], faults: list[dict]
) -> tuple[dict[str, Span], dict[str, list[Span]]]:
    """When each run was alive, and when each process (by start name) was stopped or had ended.

    Both follow from the process's own history and the fault record.
    """
    end_times_ms: dict[str, float] = {}  # start name -> when the fault record says that it ended
    down_spans: dict[str, list[Span]] = {start_name: [] for start_name in histories}
    start_names: dict[str, list[str]] = {}  # process name -> its start names so far
    stopped_since_ms: dict[str, float] = {}  # start name -> since when it has been stopped
    for fault in faults:
        at_ms = fault["mono_ms"]
        if fault["do"] == "started":
            start_names.setdefault(fault["who"][0].rsplit("-", 1)[0], []).append(fault["who"][0])
            continue
        for name in fault["who"]:
            running = [
                start_name for start_name in start_names.get(name, []) if start_name not in end_times_ms
            ]
            if fault["do"] in ("kill", "end") and running:
                for start_name in running:
                    end_times_ms.setdefault(start_name, at_ms)
            elif fault["do"] == "end the older" and len(running) > 1:
                end_times_ms[running[0]] = at_ms
            elif fault["do"] == "stop" and running:
                stopped_since_ms[running[-1]] = at_ms
            elif fault["do"] == "go on, done" and running and running[-1] in stopped_since_ms:
                down_spans[running[-1]].append(Span(stopped_since_ms.pop(running[-1]), at_ms))
    for start_name, at_ms in stopped_since_ms.items():
        down_spans[start_name].append(Span(at_ms, NO_END))
    run_end_ms = convergence_wait_end_ms(faults)
    alive_spans: dict[str, Span] = {}
    for start_name, history in histories.items():
        end_ms = end_times_ms.get(start_name, run_end_ms)
        down_spans[start_name].append(Span(end_ms, NO_END))
        runs = [
            (record["run"], record["mono_ms"]) for record in history if record["do"] in ("started", "reborn")
        ]
        for i, (run, begin_ms) in enumerate(runs):
            alive_spans[run] = Span(begin_ms, min(end_ms, runs[i + 1][1] if i + 1 < len(runs) else end_ms))
    return alive_spans, down_spans


def path_fault_spans(faults: list[dict]) -> dict[tuple[str, str], list[Span]]:
    """When each path (sender, receiver) had a fault of any kind."""
    open_spans: dict[tuple[str, str, str], float] = {}
    spans: dict[tuple[str, str], list[Span]] = {}
    for fault in faults:
        ending, fault_kind = fault["do"].startswith("end "), fault["do"].removeprefix("end ")
        for a, b in fault.get("ways", ()):
            if not ending:
                open_spans.setdefault((a, b, fault_kind), fault["mono_ms"])
            elif (a, b, fault_kind) in open_spans:
                spans.setdefault((a, b), []).append(
                    Span(open_spans.pop((a, b, fault_kind)), fault["mono_ms"])
                )
    for (a, b, _), at_ms in open_spans.items():
        spans.setdefault((a, b), []).append(Span(at_ms, NO_END))
    return spans


def longest_clear_ms(span: Span, faulty: list[Span]) -> float:
    """The length in ms of the longest part of `span` that overlaps none of the spans in `faulty`."""
    longest_ms, clear_from_ms = 0.0, span.begin_ms
    for other in sorted(faulty, key=lambda other: other.begin_ms):
        if other.end_ms <= clear_from_ms:
            continue
        longest_ms = max(longest_ms, min(other.begin_ms, span.end_ms) - clear_from_ms)
        clear_from_ms = max(clear_from_ms, other.end_ms)
        if clear_from_ms >= span.end_ms:
            break
    return max(longest_ms, span.end_ms - clear_from_ms)


def check_false_removals(
    histories: dict[str, list[dict]],
    faults: list[dict],
    alive_spans: dict[str, Span],
    down_spans: dict[str, list[Span]],
) -> tuple[list[Breach], float]:
    """Check V1: the breaches, and the longest time in ms that a live, reachable and unstalled run was held dead."""
    path_faults = path_fault_spans(faults)
    start_of_run = {
        record["run"]: start_name
        for start_name, history in histories.items()
        for record in history
        if record["do"] in ("started", "reborn")
    }
    breaches, longest_ms = [], 0.0
    for start_name, history in histories.items():
        dead_since_ms: dict[str, float] = {}
        spans: list[tuple[str, Span]] = []
        for record in history:
            if record["do"] != "held":
                continue
            if record["state"] == "dead":
                dead_since_ms.setdefault(record["run"], record["mono_ms"])
            # A record of another run of the same process ends the time for which the earlier run counts as removed.
            for run in [
                run for run in dead_since_ms if run[:12] == record["run"][:12] and run != record["run"]
            ]:
                spans.append((run, Span(dead_since_ms.pop(run), record["mono_ms"])))
        spans += [(run, Span(at_ms, NO_END)) for run, at_ms in dead_since_ms.items()]
        for run, span in spans:
            run_span, removed_start_name = alive_spans.get(run), start_of_run.get(run)
            if run_span is None or removed_start_name is None:
                continue
            overlap = Span(max(span.begin_ms, run_span.begin_ms), min(span.end_ms, run_span.end_ms))
            if overlap.end_ms <= overlap.begin_ms:
                continue
            a, b = start_name.rsplit("-", 1)[0], removed_start_name.rsplit("-", 1)[0]
            faulty = (
                path_faults.get((a, b), [])
                + path_faults.get((b, a), [])
                + down_spans[start_name]
                + down_spans[removed_start_name]
            )
            false_ms = longest_clear_ms(overlap, faulty)
            longest_ms = max(longest_ms, false_ms)
            if false_ms > MAX_FALSE_REMOVAL_MS:
                breaches.append(
                    Breach(
                        "V1",
                        overlap.begin_ms,
                        f"{start_name}, {removed_start_name}",
                        f"run {run} is alive but was held dead for {false_ms:.0f} ms",
                    )
                )
    return breaches, longest_ms


def check_convergence(
    histories: dict[str, list[dict]], faults: list[dict], down_spans: dict[str, list[Span]], settle_s: float
) -> tuple[list[Breach], float]:
    """Check V2: the breaches, and the time in ms from the last fault until all processes alive had the same digest."""
    faults_end_ms = next((fault["mono_ms"] for fault in faults if fault["do"] == "faults over"), None)
    if faults_end_ms is None:
        return [Breach("V2", 0.0, "drill", "the fault record has no 'faults over' entry")], NO_END
    alive = [
        start_name
        for start_name, spans in down_spans.items()
        if spans[-1].begin_ms >= convergence_wait_end_ms(faults)
    ]
    digests = [
        (record["mono_ms"], start_name, record["digest"])
        for start_name in alive
        for record in histories[start_name]
        if "digest" in record
    ]
    digests.sort(key=lambda record: record[0])  # a stable sort keeps the order of the records of one process
    latest: dict[str, str] = {}
    for i, (at_ms, start_name, digest) in enumerate(digests):
        latest[start_name] = digest
        following = digests[i + 1][0] if i + 1 < len(digests) else NO_END
        if following >= faults_end_ms and len(latest) == len(alive) and len(set(latest.values())) == 1:
            settled_ms = max(0.0, at_ms - faults_end_ms)
            if settled_ms <= settle_s * 1000.0:
                return [], settled_ms
            break
    whose = ", ".join(f"{start_name} {digest[:6]}" for start_name, digest in sorted(latest.items()))
    text = f"views still differ {settle_s:.0f} s after the last fault"
    return [Breach("V2", faults_end_ms + settle_s * 1000.0, whose, text)], NO_END


def convergence_wait_end_ms(faults: list[dict]) -> float:
    """When the run stopped waiting for the views to converge (monotonic ms)."""
    return next((fault["mono_ms"] for fault in faults if fault["do"] in ("settled", "not settled")), NO_END)


def check_resurrections(histories: dict[str, list[dict]]) -> list[Breach]:
    """Check V3 in each history."""
    breaches = []
    for start_name, history in histories.items():
        dead: set[str] = set()
        for record in history:
            if record["do"] != "held":
                continue
            if record["state"] == "dead":
                dead.add(record["run"])
            elif record["state"] in ("alive", "suspect") and record["run"] in dead:
                breaches.append(
                    Breach(
                        "V3",
                        record["mono_ms"],
                        start_name,
                        f"run {record['run']} is held as {record['state']} after it was held as dead",
                    )
                )
    return breaches


def check_answers(calls: list[dict], faults: list[dict]) -> tuple[list[Breach], int]:
    """Check C1: the breaches, and the number of calls checked. Times of calls are Unix times."""
    affected: dict[str, list[Span]] = {}  # process name -> when its calls are exempt
    for fault in faults:
        for name in fault["who"]:
            if fault["do"] in ("kill", "stop", "end", "end the older", "start beside", "out of service"):
                affected.setdefault(name, []).append(Span(fault["unix_ms"], NO_END))
            elif fault["do"] in ("go on, done", "start, done", "in service") and affected.get(name):
                last = affected[name].pop()
                affected[name].append(Span(last.begin_ms, fault["unix_ms"] + SLACK_MS))
    breaches, judged = [], 0
    for call in calls:
        deadline_ms = call["at_ms"] + ANSWER_TIMEOUT_MS + SLACK_MS
        if any(
            span.begin_ms < deadline_ms and call["at_ms"] < span.end_ms
            for span in affected.get(call["proxy"], ())
        ):
            continue
        judged += 1
        in_time = [answer for answer in call["answers"] if answer[0] <= deadline_ms]
        if len(call["answers"]) != 1 or not in_time:
            text = f"call {call['id']} has {len(call['answers'])} answers, {len(in_time)} in time"
            breaches.append(Breach("C1", call["at_ms"], call["proxy"], text))
    return breaches, judged
