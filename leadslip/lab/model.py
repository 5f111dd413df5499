"""Model checker of the view: explores all interleavings of events at three members, running the production code.

A state consists of each process's run, incarnation and table, and of the network partition. From each state every
transition is tried: a member suspects another after a missed probe, declares one dead, sends another its whole table
(at any time or never, which covers lost, late and out-of-order updates), or restarts without its state; the network
partitions or heals. Invariants checked in every state:

- V3: a member that held a run as dead never holds it as live again;
- each process holds its own current run as alive, and never returns to an earlier run;
- convergence: if from here on the network is connected, no suspicion arises and all members exchange tables until
  nothing changes, then all hold the same view: every running process is live, and no run that has ended is.

Ended runs are never dropped from a table, and time is not modelled: timers only decide which transition comes next.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from leadslip.fleet.view.members import GENERATION_BITS, Member, State, process_of
from leadslip.fleet.view.view import OwnMember, ProtocolTiming, View
from leadslip.metrics import Metrics

PARTITIONS = ((0, 0, 0), (0, 1, 1), (1, 0, 1), (1, 1, 0))  # the side of each of the three members
FIRST_PROCESS = 1 << 46  # the first process number; a restart takes a higher one

TableContents = tuple[tuple[int, int, int], ...]  # run, state and incarnation of each entry, in order


@dataclass(frozen=True, slots=True)
class ModelState:
    """One state of the model; states that are equal are explored once."""

    views: tuple[tuple[int, int, TableContents], ...]  # of each member: run, incarnation and table
    partition: int  # index into PARTITIONS
    processes_started: int  # number of processes started so far


class ViolationError(Exception):
    """An invariant is violated; the text names it and the transitions from the initial state that led there."""


class Model:
    """Explores the states of three members that run `view_class`, which may be a faulty variant of View.

    No member exceeds `max_incarnation` or `max_generation`, and there are `restarts` restarts at most.
    """

    def __init__(
        self,
        view_class: type[View] = View,
        max_incarnation: int = 2,
        max_generation: int = 2,
        restarts: int = 1,
    ) -> None:
        self.view_class, self.restarts = view_class, restarts
        self.max_incarnation, self.max_generation = max_incarnation, max_generation
        self.metrics = Metrics()
        self.convergence_results: dict[ModelState, str] = {}

    def build_view(self, index: int, run: int, incarnation: int, entries: TableContents) -> View:
        """A view with the given run, incarnation and table."""
        view = self.view_class(
            OwnMember(f"n{index}", f"n{index}:1"), (), Random(1), self.metrics, ProtocolTiming(), 100
        )
        view.run, view.incarnation, view.joined = run, incarnation, True
        for entry_run, state, entry_incarnation in entries:
            entry_index = self.member_index(entry_run)
            view.table._put(
                None,
                Member(
                    entry_run, f"n{entry_index}", f"n{entry_index}:1", "", State(state), entry_incarnation
                ),
            )
        return view

    def member_index(self, run: int) -> int:
        """The member (0 to 2) that a run belongs to."""
        return (process_of(run) - FIRST_PROCESS) % 3

    @staticmethod
    def contents_of(view: View) -> tuple[int, int, TableContents]:
        """The run, incarnation and table of a view; incarnations of ended runs count as 0."""
        entries = sorted(
            (member.run, int(member.state), member.incarnation if member.live else 0) for member in view.table
        )
        return view.run, view.incarnation, tuple(entries)

    def initial_state(self) -> ModelState:
        """The initial state: three members, each of which holds all as alive."""
        runs = [FIRST_PROCESS + i << GENERATION_BITS for i in range(3)]
        entries = tuple((run, 0, 0) for run in runs)
        return ModelState(tuple((run, 0, entries) for run in runs), 0, 3)

    def transitions(self, model_state: ModelState) -> Iterator[tuple[str, ModelState]]:
        """Every transition from a state: its description and the state it leads to."""
        for i, (run, incarnation, entries) in enumerate(model_state.views):
            if run & 0xFFFF >= self.max_generation or incarnation >= self.max_incarnation:
                continue
            for other, state, _ in entries:
                if process_of(other) == process_of(run) or state >= State.DEAD:
                    continue
                view = self.build_view(i, run, incarnation, entries)
                if state == State.ALIVE:
                    view._suspect(0.0, other)
                    yield f"{i} suspects {other:x}", self.with_view(model_state, i, view)
                else:
                    view._declare_dead(0.0, other, "fleet.declared_dead")
                    yield f"{i} declares {other:x} dead", self.with_view(model_state, i, view)
        sides = PARTITIONS[model_state.partition]
        for i in range(3):
            for j in range(3):
                if i != j and sides[i] == sides[j]:
                    next_state = self.send_table(model_state, i, j)
                    if next_state != model_state:
                        yield f"{i} sends its table to {j}", next_state
        if model_state.processes_started < 3 + self.restarts:
            for i in range(3):
                # A process number determines its member: take the next one that maps to member i.
                number = next(
                    n
                    for n in range(model_state.processes_started, model_state.processes_started + 3)
                    if n % 3 == i
                )
                run = FIRST_PROCESS + number << GENERATION_BITS
                restarted = (run, 0, ((run, 0, 0),))
                views = tuple(
                    restarted if k == i else member_view for k, member_view in enumerate(model_state.views)
                )
                yield f"{i} restarts", ModelState(views, model_state.partition, number + 1)
        for partition in range(len(PARTITIONS)):
            if partition != model_state.partition and 0 in (partition, model_state.partition):
                yield (
                    f"network {PARTITIONS[partition]}",
                    ModelState(model_state.views, partition, model_state.processes_started),
                )

    def with_view(self, model_state: ModelState, index: int, view: View) -> ModelState:
        """The state in which one member's view has been replaced."""
        views = tuple(
            self.contents_of(view) if k == index else member_view
            for k, member_view in enumerate(model_state.views)
        )
        return ModelState(views, model_state.partition, model_state.processes_started)

    def send_table(self, model_state: ModelState, source: int, target: int) -> ModelState:
        """The state after one member has sent another its whole table, as an anti-entropy session does."""
        sender = self.build_view(source, *model_state.views[source])
        receiver = self.build_view(target, *model_state.views[target])
        receiver._merge(0.0, [member.record(0.0) for member in sender.table])
        return self.with_view(model_state, target, receiver)

    def check(self, model_state: ModelState, previous: ModelState) -> str:
        """The invariant that a state violates, or an empty string."""
        for (run, _, entries), (previous_run, _, _) in zip(model_state.views, previous.views, strict=True):
            own_entries = [entry for entry in entries if process_of(entry[0]) == process_of(run)]
            if [(entry[0], entry[1]) for entry in own_entries] != [(run, 0)]:
                return "a process holds its own run as alive"
            if process_of(run) == process_of(previous_run) and run < previous_run:
                return "the run of a process never decreases"
        return self.find_resurrection(model_state, previous) or self.check_convergence(model_state)

    def find_resurrection(self, model_state: ModelState, previous: ModelState) -> str:
        """\"V3\" if the transition between two states violates it, otherwise an empty string."""
        for (run, _, entries), (previous_run, _, previous_entries) in zip(
            model_state.views, previous.views, strict=True
        ):
            dead = {entry_run for entry_run, state, _ in previous_entries if state == State.DEAD}
            if process_of(run) == process_of(previous_run) and any(
                entry_run in dead and state < State.DEAD for entry_run, state, _ in entries
            ):
                return "V3"
        return ""

    def check_convergence(self, model_state: ModelState) -> str:
        """Empty if all members converge on the correct view without further faults, else the violated invariant."""
        key = ModelState(model_state.views, 0, 0)
        cached = self.convergence_results.get(key)
        if cached is not None:
            return cached
        current, violation = key, ""
        for _ in range(12):
            round_start = current
            for i in range(3):
                for j in range(3):
                    if i != j:
                        next_state = self.send_table(current, i, j)
                        violation = violation or self.find_resurrection(next_state, current)
                        current = next_state
            if current == round_start or violation:
                break
        running = {(run, int(State.ALIVE), incarnation) for run, incarnation, _ in current.views}
        if not all(
            {entry for entry in entries if entry[1] < State.DEAD} == running
            for _, _, entries in current.views
        ):
            violation = violation or "convergence"
        self.convergence_results[key] = violation
        return violation

    def explore(self, depth: int, most_states: int) -> tuple[int, int]:
        """Explore breadth first; returns the number of states found and the last depth explored completely.

        Stops at `depth` transitions, or at `most_states` states. Raises ViolationError if an invariant is violated.
        """
        initial = self.initial_state()
        seen = {initial}
        predecessors: dict[ModelState, tuple[ModelState, str]] = {}
        frontier = [initial]
        for completed_depth in range(depth):
            next_frontier = []
            for model_state in frontier:
                for transition, next_state in self.transitions(model_state):
                    if next_state in seen:
                        continue
                    violation = self.check(next_state, model_state)
                    if violation:
                        transitions = [transition]
                        reached = model_state
                        while reached in predecessors:
                            reached, earlier = predecessors[reached]
                            transitions.append(earlier)
                        raise ViolationError(f"{violation}: {'; '.join(reversed(transitions))}")
                    seen.add(next_state)
                    predecessors[next_state] = model_state, transition
                    next_frontier.append(next_state)
                    if len(seen) >= most_states:
                        return len(seen), completed_depth
            frontier = next_frontier
        return len(seen), depth
