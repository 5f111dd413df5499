"""Checks a run by its histories and fault record alone; shares no code with what it checks.

V1: no live, reachable, unstalled member is dead in a reachable, unstalled member's view for over two seconds.
V2: once faults have ended, all live members report the same digest within the settling time.
V3: a member that declared a run dead never holds that run as alive or suspect again.
A1: no two processes apply different contents under one revision, and revisions only increase at a process.
A2: no process applies a revision for longer than the stated time after another has begun to apply a newer one.
A3: a change acknowledged to an operator is in the voters' final history, while a majority keeps its disk.
R1: a call whose release was answered with 200 is known to no process at the end.
R2: an established call can be released through any other process, even if its own has been killed meanwhile.
R3: without load, two other processes hold each table as its owner does.
R4: at the end no process is still behind with recovering its table.
C1: each call gets exactly one final answer, in time, unless its process was killed, stopped or out of service.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path

MAX_FALSE_REMOVAL_MS = 2000.0
REPLICATION_DELAY_MS = 1000.0  # a call answered less than this before a kill may have reached no holder
ANSWER_TIMEOUT_MS, SLACK_MS = 3000.0, 1000.0
NO_END = float("inf")


@dataclass(frozen=True, slots=True)
class Breach:
    """A violation of an invariant: when (monotonic ms), in whose events, and what was found."""

    invariant: str
    at_ms: float
    whose: str
    told: str


@dataclass(frozen=True, slots=True)
class Span:
    """A period of time (monotonic ms)."""

    begin_ms: float
    end_ms: float


def lines(path: Path) -> list[dict]:
    """The complete lines of a history; a killed process may leave the last one truncated."""
    parsed = []
    for line in path.read_text().splitlines():
        try:
            parsed.append(json.loads(line))
        except ValueError:
            break
    return parsed


def records(folder: Path) -> tuple[dict[str, list[dict]], list[dict]]:
    """The histories of a run, and its fault record."""
    histories = {path.stem: lines(path) for path in sorted(folder.glob("*.jsonl"))}
    return histories, json.loads((folder / "faults.json").read_text())


def check(folder: Path, settle_s: float, in_force_ms: float = 0.0) -> tuple[list[Breach], dict[str, float]]:
    """All breaches, and figures such as the convergence time, the longest false removal and the calls judged."""
    histories, faults = records(folder)
    breaches, figures = judge(histories, faults, json.loads((folder / "calls.json").read_text()), settle_s)
    if (folder / "settings.json").exists():
        settings = json.loads((folder / "settings.json").read_text())
        found, more_figures = agreement(histories, faults, settings, in_force_ms)
        breaches += found
        figures |= more_figures
    if (folder / "replicas.json").exists():
        found, more_figures = replicas(faults, json.loads((folder / "replicas.json").read_text()))
        breaches += found
        figures |= more_figures
    return breaches, figures


def replicas(faults: list[dict], recorded: dict) -> tuple[list[Breach], dict[str, float]]:
    """R1 to R4."""
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
                    Breach("R1", end_ms, call["through"], f"call {call['id']} ended and is established again")
                )
        elif call["told"] != 200 and not (
            kill_times_ms and kill_times_ms[0] - answered_ms < REPLICATION_DELAY_MS
        ):
            text = (
                f"call {call['id']} of {call['proxy']} is established; its release is answered {call['told']}"
            )
            breaches.append(Breach("R2", end_ms, call["through"], text))
        elif kill_times_ms:
            figures["of_killed"] += 1
    for name, status in recorded["told"].items():
        if status["behind"]:
            breaches.append(Breach("R4", end_ms, name, "is still behind"))
        equal_holders = [
            other
            for other, other_status in recorded["told"].items()
            for replica in other_status["held"]
            if (replica["owner"], replica["run"], replica["digest"])
            == (name, status["run"], status["own"]["digest"])
        ]
        if len(equal_holders) < min(2, len(recorded["told"]) - 1):
            breaches.append(Breach("R3", end_ms, name, f"its table is held as it is by {equal_holders}"))
    return breaches, figures


def agreement(
    histories: dict[str, list[dict]], faults: list[dict], settings: dict, in_force_ms: float
) -> tuple[list[Breach], dict[str, float]]:
    """A1 to A3, and the longest overlap of two revisions in per cent of the stated time."""
    breaches: list[Breach] = []
    contents: dict[int, tuple[str, str]] = {}
    # Revision, the process that applied it, the time from its first to its last use there.
    spans: list[tuple[int, str, Span]] = []
    for start, history in histories.items():
        uses = [record for record in history if record["do"] == "acts"]
        latest = 0
        for i, record in enumerate(uses):
            last_ms = uses[i + 1]["until_ms"] if i + 1 < len(uses) else record["mono_ms"]
            if not record["agreed"]:
                continue
            revision, checksum = record["revision"], record["mark"]
            first_checksum, first_start = contents.setdefault(revision, (checksum, start))
            if checksum != first_checksum:
                text = f"revision {revision} is {checksum}, and {first_checksum} at {first_start}"
                breaches.append(Breach("A1", record["mono_ms"], start, text))
            if revision < latest:
                breaches.append(
                    Breach("A1", record["mono_ms"], start, f"back from revision {latest} to {revision}")
                )
            latest = max(latest, revision)
            spans.append((revision, start, Span(record["mono_ms"], max(last_ms, record["mono_ms"]))))
    longest_ms = 0.0
    for revision, start, span in spans:
        newer = [other.begin_ms for number, _, other in spans if number > revision]
        overlap_ms = span.end_ms - min(newer, default=NO_END)
        longest_ms = max(longest_ms, overlap_ms)
        if overlap_ms > in_force_ms:
            text = f"acts on revision {revision} {overlap_ms:.0f} ms after a newer one is acted on"
            breaches.append(Breach("A2", span.end_ms, start, text))
    voters = [
        status
        for status in settings["held"].values()
        if status["voter"] and status["voter"]["role"] == "leader"
    ]
    leader = max(voters, key=lambda status: status["voter"]["term"], default=None)
    known_ids = {change["id"] for change in leader["history"]} if leader is not None else set()
    # A truncated answer has no revision and cannot be checked.
    acknowledged = [
        change for change in settings["changes"] if change["status"] == 200 and change.get("revision")
    ]
    oldest = min((change["revision"] for change in leader["history"]), default=0) if leader is not None else 0
    for change in acknowledged:
        if change["revision"] >= oldest and change["id"] not in known_ids:
            text = f"{change['id']}, acknowledged as revision {change['revision']}, is missing"
            breaches.append(Breach("A3", convergence_wait_end_ms(faults), change["proxy"], text))
    final_states = {(status["revision"], status["in_force"]) for status in settings["held"].values()}
    if len(final_states) != 1 or next(iter(final_states))[1] != "agreed":
        text = f"in the end they act on {sorted(final_states)}"
        breaches.append(Breach("A2", convergence_wait_end_ms(faults), ", ".join(settings["held"]), text))
    figures = {
        "acknowledged": float(len(acknowledged)),
        "revisions_acted_on": float(len(contents)),
        "contradiction_per_cent": 100.0 * longest_ms / in_force_ms,
    }
    return breaches, figures


def judge(
    histories: dict[str, list[dict]], faults: list[dict], calls: list[dict], settle_s: float
) -> tuple[list[Breach], dict[str, float]]:
    """V1 to V3 and C1, from records already read."""
    lives, down = run_spans(histories, faults)
    breaches, figures = [], {}
    found, figures["longest_wrong_ms"] = false_removals(histories, faults, lives, down)
    breaches += found
    found, figures["settled_ms"] = convergence(histories, faults, down, settle_s)
    breaches += found
    breaches += resurrected(histories)
    found, figures["calls_judged"] = check_answers(calls, faults)
    return breaches + found, figures


def run_spans(
    histories: dict[str, list[dict]], faults: list[dict]
) -> tuple[dict[str, Span], dict[str, list[Span]]]:
    """When each run was alive, by its own history and the fault record; and when each process was stopped or gone."""
    ends: dict[str, float] = {}
    down: dict[str, list[Span]] = {start: [] for start in histories}
    latest: dict[str, list[str]] = {}
    stopped: dict[str, float] = {}
    for fault in faults:
        at_ms = fault["mono_ms"]
        if fault["do"] == "started":
            latest.setdefault(fault["who"][0].rsplit("-", 1)[0], []).append(fault["who"][0])
            continue
        for name in fault["who"]:
            running = [start for start in latest.get(name, []) if start not in ends]
            if fault["do"] in ("kill", "end") and running:
                for start in running:
                    ends.setdefault(start, at_ms)
            elif fault["do"] == "end the older" and len(running) > 1:
                ends[running[0]] = at_ms
            elif fault["do"] == "stop" and running:
                stopped[running[-1]] = at_ms
            elif fault["do"] == "go on, done" and running and running[-1] in stopped:
                down[running[-1]].append(Span(stopped.pop(running[-1]), at_ms))
    for start, at_ms in stopped.items():
        down[start].append(Span(at_ms, NO_END))
    run_end_ms = convergence_wait_end_ms(faults)
    lives: dict[str, Span] = {}
    for start, history in histories.items():
        end_ms = ends.get(start, run_end_ms)
        down[start].append(Span(end_ms, NO_END))
        runs = [
            (record["run"], record["mono_ms"]) for record in history if record["do"] in ("started", "reborn")
        ]
        for i, (run, begin_ms) in enumerate(runs):
            lives[run] = Span(begin_ms, min(end_ms, runs[i + 1][1] if i + 1 < len(runs) else end_ms))
    return lives, down


def path_fault_spans(faults: list[dict]) -> dict[tuple[str, str], list[Span]]:
    """When each path had a fault of any kind."""
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
    """The length in ms of the longest part of a span that overlaps none of the others."""
    longest_ms, clear_from_ms = 0.0, span.begin_ms
    for other in sorted(faulty, key=lambda other: other.begin_ms):
        if other.end_ms <= clear_from_ms:
            continue
        longest_ms = max(longest_ms, min(other.begin_ms, span.end_ms) - clear_from_ms)
        clear_from_ms = max(clear_from_ms, other.end_ms)
        if clear_from_ms >= span.end_ms:
            break
    return max(longest_ms, span.end_ms - clear_from_ms)


def false_removals(
    histories: dict[str, list[dict]], faults: list[dict], lives: dict[str, Span], down: dict[str, list[Span]]
) -> tuple[list[Breach], float]:
    """V1, and the longest time in ms that a live run was held dead."""
    path_faults = path_fault_spans(faults)
    start_of_run = {
        record["run"]: start
        for start, history in histories.items()
        for record in history
        if record["do"] in ("started", "reborn")
    }
    breaches, longest_ms = [], 0.0
    for start, history in histories.items():
        dead: dict[str, float] = {}
        spans: list[tuple[str, Span]] = []
        for record in history:
            if record["do"] != "held":
                continue
            if record["state"] == "dead":
                dead.setdefault(record["run"], record["mono_ms"])
            for run in [run for run in dead if run[:12] == record["run"][:12] and run != record["run"]]:
                spans.append((run, Span(dead.pop(run), record["mono_ms"])))
        spans += [(run, Span(at_ms, NO_END)) for run, at_ms in dead.items()]
        for run, span in spans:
            run_span, removed_start = lives.get(run), start_of_run.get(run)
            if run_span is None or removed_start is None:
                continue
            overlap = Span(max(span.begin_ms, run_span.begin_ms), min(span.end_ms, run_span.end_ms))
            if overlap.end_ms <= overlap.begin_ms:
                continue
            a, b = start.rsplit("-", 1)[0], removed_start.rsplit("-", 1)[0]
            faulty = (
                path_faults.get((a, b), []) + path_faults.get((b, a), []) + down[start] + down[removed_start]
            )
            false_ms = longest_clear_ms(overlap, faulty)
            longest_ms = max(longest_ms, false_ms)
            if false_ms > MAX_FALSE_REMOVAL_MS:
                breaches.append(
                    Breach(
                        "V1",
                        overlap.begin_ms,
                        f"{start}, {removed_start}",
                        f"run {run} is alive but was held dead for {false_ms:.0f} ms",
                    )
                )
    return breaches, longest_ms


def convergence(
    histories: dict[str, list[dict]], faults: list[dict], down: dict[str, list[Span]], settle_s: float
) -> tuple[list[Breach], float]:
    """V2, and the time in ms from the last fault until all processes alive at the end had the same digest."""
    faults_end_ms = next((fault["mono_ms"] for fault in faults if fault["do"] == "faults over"), None)
    if faults_end_ms is None:
        return [Breach("V2", 0.0, "drill", "the fault record lacks the end of the faults")], NO_END
    alive = [start for start, spans in down.items() if spans[-1].begin_ms >= convergence_wait_end_ms(faults)]
    digests = [
        (record["mono_ms"], start, record["digest"])
        for start in alive
        for record in histories[start]
        if "digest" in record
    ]
    digests.sort(key=lambda record: record[0])  # stable: keeps the order of records of one process
    latest: dict[str, str] = {}
    for i, (at_ms, start, digest) in enumerate(digests):
        latest[start] = digest
        following = digests[i + 1][0] if i + 1 < len(digests) else NO_END
        if following >= faults_end_ms and len(latest) == len(alive) and len(set(latest.values())) == 1:
            settled_ms = max(0.0, at_ms - faults_end_ms)
            if settled_ms <= settle_s * 1000.0:
                return [], settled_ms
            break
    whose = ", ".join(f"{start} {digest[:6]}" for start, digest in sorted(latest.items()))
    text = f"not one view {settle_s:.0f} s after the last fault"
    return [Breach("V2", faults_end_ms + settle_s * 1000.0, whose, text)], NO_END


def convergence_wait_end_ms(faults: list[dict]) -> float:
    """When the run stopped waiting for the views to converge (monotonic ms)."""
    return next((fault["mono_ms"] for fault in faults if fault["do"] in ("settled", "not settled")), NO_END)


def resurrected(histories: dict[str, list[dict]]) -> list[Breach]:
    """V3, in each history."""
    breaches = []
    for start, history in histories.items():
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
                        start,
                        f"run {record['run']} was dead and is {record['state']}",
                    )
                )
    return breaches


def check_answers(calls: list[dict], faults: list[dict]) -> tuple[list[Breach], int]:
    """C1, and the number of calls judged; times of calls are Unix times."""
    affected: dict[str, list[Span]] = {}
    for fault in faults:
        for name in fault["who"]:
            if fault["do"] in ("kill", "stop", "end", "end the older", "start beside", "out of service"):
                affected.setdefault(name, []).append(Span(fault["unix_ms"], NO_END))
            elif fault["do"] in ("go on, done", "start, done", "in service") and affected.get(name):
                last = affected[name].pop()
                affected[name].append(Span(last.begin_ms, fault["unix_ms"] + SLACK_MS))
    breaches, judged = [], 0
    for call in calls:
        due_ms = call["at_ms"] + ANSWER_TIMEOUT_MS + SLACK_MS
        if any(
            span.begin_ms < due_ms and call["at_ms"] < span.end_ms for span in affected.get(call["proxy"], ())
        ):
            continue
        judged += 1
        in_time = [answer for answer in call["answers"] if answer[0] <= due_ms]
        if len(call["answers"]) != 1 or not in_time:
            text = f"call {call['id']} has {len(call['answers'])} answers, {len(in_time)} in time"
            breaches.append(Breach("C1", call["at_ms"], call["proxy"], text))
    return breaches, judged
