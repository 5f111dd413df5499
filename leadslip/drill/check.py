"""Judges a drill from its histories and the record of faults alone; shares no code with what it judges.

V1: no live, reachable, unstalled member is dead in a reachable, unstalled member's view for over two seconds.
V2: once faults end, all that live hold one digest within the settling time.
V3: a run that was declared dead never counts as that run again, at whoever held it dead.
A1: no two act on different contents under one revision, and revisions only grow at a process.
A2: nobody acts on a revision for longer than the stated time after another has begun to act on a newer one.
A3: what was acknowledged to an operator is in what the voters hold in the end, while a majority keeps its disk.
R1: a call whose release was answered with 200 is known to nobody in the end.
R2: a call that stands is released through any other process, wherever its own has been killed meanwhile.
R3: in quiet each table is held by two others as its owner has it.
C1: one final answer a call, in time, where the called process was neither killed, stopped nor sent out of service.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path

WRONG_MS = 2000.0
BEHIND_MS = 1000.0  # what was answered so shortly before a kill may have been with no holder
ANSWER_MS, SLACK_MS = 3000.0, 1000.0
NO_END = float("inf")


@dataclass(frozen=True, slots=True)
class Breach:
    """One invariant broken: when (monotonic ms), and whose events."""

    invariant: str
    at_ms: float
    whose: str
    told: str


@dataclass(frozen=True, slots=True)
class Span:
    """From when to when (monotonic ms)."""

    begin_ms: float
    end_ms: float


def lines(path: Path) -> list[dict]:
    """The whole lines of a history; a process that is killed leaves the last one torn."""
    told = []
    for line in path.read_text().splitlines():
        try:
            told.append(json.loads(line))
        except ValueError:
            break
    return told


def records(folder: Path) -> tuple[dict[str, list[dict]], list[dict]]:
    """The histories of a drill, and its record of faults."""
    histories = {path.stem: lines(path) for path in sorted(folder.glob("*.jsonl"))}
    return histories, json.loads((folder / "faults.json").read_text())


def check(folder: Path, settle_s: float, in_force_ms: float = 0.0) -> tuple[list[Breach], dict[str, float]]:
    """All breaches, and figures: how long views took to settle, the longest wrong end, calls judged."""
    histories, faults = records(folder)
    breaches, figures = judge(histories, faults, json.loads((folder / "calls.json").read_text()), settle_s)
    if (folder / "settings.json").exists():
        settings = json.loads((folder / "settings.json").read_text())
        found, told = agreement(histories, faults, settings, in_force_ms)
        breaches += found
        figures |= told
    if (folder / "replicas.json").exists():
        found, told = replicas(faults, json.loads((folder / "replicas.json").read_text()))
        breaches += found
        figures |= told
    return breaches, figures


def replicas(faults: list[dict], told: dict) -> tuple[list[Breach], dict[str, float]]:
    """R1 to R3."""
    at_ms = ended_at(faults)
    breaches: list[Breach] = []
    kills = [(one["unix_ms"], name) for one in faults if one["do"] == "kill" for name in one["who"]]
    figures = {"releases_tried": 0.0, "of_killed": 0.0}
    for call in told["tried"]:
        figures["releases_tried"] += 1
        answered_ms = call["answers"][0][0]
        gone = [killed_ms for killed_ms, name in kills if name == call["proxy"] and killed_ms > answered_ms]
        if call.get("released") == 200:
            if call["told"] == 200:
                breaches.append(
                    Breach("R1", at_ms, call["through"], f"call {call['id']} ended and stands again")
                )
        elif call["told"] != 200 and not (gone and gone[0] - answered_ms < BEHIND_MS):
            told_of = (
                f"call {call['id']} of {call['proxy']} stands and {call['told']} is answered to its release"
            )
            breaches.append(Breach("R2", at_ms, call["through"], told_of))
        elif gone:
            figures["of_killed"] += 1
    for name, one in told["told"].items():
        if one["behind"]:
            breaches.append(Breach("R4", at_ms, name, "is still behind"))
        same = [
            other
            for other, seen in told["told"].items()
            for copy in seen["held"]
            if (copy["owner"], copy["run"], copy["digest"]) == (name, one["run"], one["own"]["digest"])
        ]
        if len(same) < min(2, len(told["told"]) - 1):
            breaches.append(Breach("R3", at_ms, name, f"its table is held as it is by {same}"))
    return breaches, figures


def agreement(
    histories: dict[str, list[dict]], faults: list[dict], settings: dict, in_force_ms: float
) -> tuple[list[Breach], dict[str, float]]:
    """A1 to A3, and how near the longest contradiction came to the stated time."""
    breaches: list[Breach] = []
    contents: dict[int, tuple[str, str]] = {}
    spans: list[
        tuple[int, str, Span]
    ] = []  # a revision acted on, by whom, from when to when it was last used
    for start, told in histories.items():
        acts = [one for one in told if one["do"] == "acts"]
        latest = 0
        for i, one in enumerate(acts):
            last_ms = acts[i + 1]["until_ms"] if i + 1 < len(acts) else one["mono_ms"]
            if not one["agreed"]:
                continue
            revision, mark = one["revision"], one["mark"]
            first, by = contents.setdefault(revision, (mark, start))
            if mark != first:
                told_of = f"revision {revision} is {mark}, and {first} at {by}"
                breaches.append(Breach("A1", one["mono_ms"], start, told_of))
            if revision < latest:
                breaches.append(
                    Breach("A1", one["mono_ms"], start, f"back from revision {latest} to {revision}")
                )
            latest = max(latest, revision)
            spans.append((revision, start, Span(one["mono_ms"], max(last_ms, one["mono_ms"]))))
    longest = 0.0
    for revision, start, span in spans:
        newer = [other.begin_ms for number, _, other in spans if number > revision]
        over_ms = span.end_ms - min(newer, default=NO_END)
        longest = max(longest, over_ms)
        if over_ms > in_force_ms:
            told_of = f"acts on revision {revision} {over_ms:.0f} ms after a newer one is acted on"
            breaches.append(Breach("A2", span.end_ms, start, told_of))
    voters = [one for one in settings["held"].values() if one["voter"] and one["voter"]["role"] == "leader"]
    leader = max(voters, key=lambda one: one["voter"]["term"], default=None)
    known = {one["id"] for one in leader["history"]} if leader is not None else set()
    # An answer that was cut short tells no revision: nobody can hold it against anyone.
    acknowledged = [one for one in settings["changes"] if one["status"] == 200 and one.get("revision")]
    oldest = min((one["revision"] for one in leader["history"]), default=0) if leader is not None else 0
    for one in acknowledged:
        if one["revision"] >= oldest and one["id"] not in known:
            told_of = f"{one['id']}, acknowledged as revision {one['revision']}, is gone"
            breaches.append(Breach("A3", ended_at(faults), one["proxy"], told_of))
    held = {(one["revision"], one["in_force"]) for one in settings["held"].values()}
    if len(held) != 1 or next(iter(held))[1] != "agreed":
        told_of = f"in the end they act on {sorted(held)}"
        breaches.append(Breach("A2", ended_at(faults), ", ".join(settings["held"]), told_of))
    figures = {
        "acknowledged": float(len(acknowledged)),
        "revisions_acted_on": float(len(contents)),
        "contradiction_per_cent": 100.0 * longest / in_force_ms,
    }
    return breaches, figures


def judge(
    histories: dict[str, list[dict]], faults: list[dict], calls: list[dict], settle_s: float
) -> tuple[list[Breach], dict[str, float]]:
    """The same of records at hand."""
    lives, down = lives_of(histories, faults)
    breaches, figures = [], {}
    found, figures["longest_wrong_ms"] = wrong_ends(histories, faults, lives, down)
    breaches += found
    found, figures["settled_ms"] = settling(histories, faults, down, settle_s)
    breaches += found
    breaches += resurrected(histories)
    found, figures["calls_judged"] = unanswered(calls, faults)
    return breaches + found, figures


def lives_of(
    histories: dict[str, list[dict]], faults: list[dict]
) -> tuple[dict[str, Span], dict[str, list[Span]]]:
    """When each run lived, by its own history and the record; and when each start was stopped or gone."""
    ends: dict[str, float] = {}
    down: dict[str, list[Span]] = {start: [] for start in histories}
    latest: dict[str, list[str]] = {}
    stopped: dict[str, float] = {}
    for one in faults:
        at_ms = one["mono_ms"]
        if one["do"] == "started":
            latest.setdefault(one["who"][0].rsplit("-", 1)[0], []).append(one["who"][0])
            continue
        for name in one["who"]:
            held = [start for start in latest.get(name, []) if start not in ends]
            if one["do"] in ("kill", "end") and held:
                for start in held:
                    ends.setdefault(start, at_ms)
            elif one["do"] == "end the older" and len(held) > 1:
                ends[held[0]] = at_ms
            elif one["do"] == "stop" and held:
                stopped[held[-1]] = at_ms
            elif one["do"] == "go on, done" and held and held[-1] in stopped:
                down[held[-1]].append(Span(stopped.pop(held[-1]), at_ms))
    for start, at_ms in stopped.items():
        down[start].append(Span(at_ms, NO_END))
    over_ms = ended_at(faults)
    lives: dict[str, Span] = {}
    for start, told in histories.items():
        end_ms = ends.get(start, over_ms)
        down[start].append(Span(end_ms, NO_END))
        runs = [(one["run"], one["mono_ms"]) for one in told if one["do"] in ("started", "reborn")]
        for i, (run, begin_ms) in enumerate(runs):
            lives[run] = Span(begin_ms, min(end_ms, runs[i + 1][1] if i + 1 < len(runs) else end_ms))
    return lives, down


def broken_ways(faults: list[dict]) -> dict[tuple[str, str], list[Span]]:
    """When each way was broken, in whatever manner."""
    began: dict[tuple[str, str, str], float] = {}
    told: dict[tuple[str, str], list[Span]] = {}
    for one in faults:
        ending, kind = one["do"].startswith("end "), one["do"].removeprefix("end ")
        for a, b in one.get("ways", ()):
            if not ending:
                began.setdefault((a, b, kind), one["mono_ms"])
            elif (a, b, kind) in began:
                told.setdefault((a, b), []).append(Span(began.pop((a, b, kind)), one["mono_ms"]))
    for (a, b, _), at_ms in began.items():
        told.setdefault((a, b), []).append(Span(at_ms, NO_END))
    return told


def clear(span: Span, marred: list[Span]) -> float:
    """The longest stretch of a span that none of the others touches; how long, in ms."""
    longest, at = 0.0, span.begin_ms
    for one in sorted(marred, key=lambda one: one.begin_ms):
        if one.end_ms <= at:
            continue
        longest = max(longest, min(one.begin_ms, span.end_ms) - at)
        at = max(at, one.end_ms)
        if at >= span.end_ms:
            break
    return max(longest, span.end_ms - at)


def wrong_ends(
    histories: dict[str, list[dict]], faults: list[dict], lives: dict[str, Span], down: dict[str, list[Span]]
) -> tuple[list[Breach], float]:
    """V1."""
    ways = broken_ways(faults)
    of = {
        one["run"]: start
        for start, told in histories.items()
        for one in told
        if one["do"] in ("started", "reborn")
    }
    breaches, longest = [], 0.0
    for start, told in histories.items():
        dead: dict[str, float] = {}
        spans: list[tuple[str, Span]] = []
        for one in told:
            if one["do"] != "held":
                continue
            if one["state"] == "dead":
                dead.setdefault(one["run"], one["mono_ms"])
            for run in [run for run in dead if run[:12] == one["run"][:12] and run != one["run"]]:
                spans.append((run, Span(dead.pop(run), one["mono_ms"])))
        spans += [(run, Span(at_ms, NO_END)) for run, at_ms in dead.items()]
        for run, span in spans:
            life, other = lives.get(run), of.get(run)
            if life is None or other is None:
                continue
            both = Span(max(span.begin_ms, life.begin_ms), min(span.end_ms, life.end_ms))
            if both.end_ms <= both.begin_ms:
                continue
            a, b = start.rsplit("-", 1)[0], other.rsplit("-", 1)[0]
            marred = ways.get((a, b), []) + ways.get((b, a), []) + down[start] + down[other]
            wrong_ms = clear(both, marred)
            longest = max(longest, wrong_ms)
            if wrong_ms > WRONG_MS:
                breaches.append(
                    Breach(
                        "V1",
                        both.begin_ms,
                        f"{start}, {other}",
                        f"run {run} lives and is dead for {wrong_ms:.0f} ms",
                    )
                )
    return breaches, longest


def settling(
    histories: dict[str, list[dict]], faults: list[dict], down: dict[str, list[Span]], settle_s: float
) -> tuple[list[Breach], float]:
    """V2: when those that live at the end first held one digest all at once, after the last fault."""
    over_ms = next((one["mono_ms"] for one in faults if one["do"] == "faults over"), None)
    if over_ms is None:
        return [Breach("V2", 0.0, "drill", "the record of faults does not end")], NO_END
    alive = [start for start, spans in down.items() if spans[-1].begin_ms >= ended_at(faults)]
    told = [
        (one["mono_ms"], start, one["digest"])
        for start in alive
        for one in histories[start]
        if "digest" in one
    ]
    told.sort(key=lambda one: one[0])  # stable: what one process wrote keeps its order
    held: dict[str, str] = {}
    for i, (at_ms, start, digest) in enumerate(told):
        held[start] = digest
        following = told[i + 1][0] if i + 1 < len(told) else NO_END
        if following >= over_ms and len(held) == len(alive) and len(set(held.values())) == 1:
            settled_ms = max(0.0, at_ms - over_ms)
            if settled_ms <= settle_s * 1000.0:
                return [], settled_ms
            break
    whose = ", ".join(f"{start} {digest[:6]}" for start, digest in sorted(held.items()))
    told_of = f"not one view {settle_s:.0f} s after the last fault"
    return [Breach("V2", over_ms + settle_s * 1000.0, whose, told_of)], NO_END


def ended_at(faults: list[dict]) -> float:
    """When the drill stopped waiting for one view."""
    return next((one["mono_ms"] for one in faults if one["do"] in ("settled", "not settled")), NO_END)


def resurrected(histories: dict[str, list[dict]]) -> list[Breach]:
    """V3."""
    breaches = []
    for start, told in histories.items():
        dead: set[str] = set()
        for one in told:
            if one["do"] != "held":
                continue
            if one["state"] == "dead":
                dead.add(one["run"])
            elif one["state"] in ("alive", "suspect") and one["run"] in dead:
                breaches.append(
                    Breach("V3", one["mono_ms"], start, f"run {one['run']} was dead and is {one['state']}")
                )
    return breaches


def unanswered(calls: list[dict], faults: list[dict]) -> tuple[list[Breach], int]:
    """C1; the record gives Unix times for the calls."""
    touched: dict[str, list[Span]] = {}
    for one in faults:
        for name in one["who"]:
            if one["do"] in ("kill", "stop", "end", "end the older", "start beside", "out of service"):
                touched.setdefault(name, []).append(Span(one["unix_ms"], NO_END))
            elif one["do"] in ("go on, done", "start, done", "in service") and touched.get(name):
                last = touched[name].pop()
                touched[name].append(Span(last.begin_ms, one["unix_ms"] + SLACK_MS))
    breaches, judged = [], 0
    for call in calls:
        due_ms = call["at_ms"] + ANSWER_MS + SLACK_MS
        if any(
            one.begin_ms < due_ms and call["at_ms"] < one.end_ms for one in touched.get(call["proxy"], ())
        ):
            continue
        judged += 1
        whole = [answer for answer in call["answers"] if answer[0] <= due_ms]
        if len(call["answers"]) != 1 or not whole:
            told = f"call {call['id']} has {len(call['answers'])} answers, {len(whole)} in time"
            breaches.append(Breach("C1", call["at_ms"], call["proxy"], told))
    return breaches, judged
