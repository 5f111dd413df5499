"""A model check of the view: all interleavings of what can happen to three members, by the program's own code.

A state is what each process holds: its run, its incarnation and its table; and how the network is parted. From each
state every act is tried: one suspects another whom its probe missed, declares one dead, tells another all it holds
(so news are lost, late and out of order by being told at any time or never), restarts with nothing; the network parts
and heals. Held in every state:

- V3: who held a run dead never holds it live again;
- a process never accuses itself, and holds itself live;
- convergence: if from here on the network is whole, nobody suspects and all tell all until nothing changes, then all
  hold one view, in which every process that runs is live, and none that runs is held dead.

Two members that no longer run are not forgotten here, and time plays no part: timers only choose which act comes next.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from leadslip.checks import Tally
from leadslip.fleet.view.members import LIFE_BITS, Member, State, process_of
from leadslip.fleet.view.view import Me, Pace, View

PARTS = ((0, 0, 0), (0, 1, 1), (1, 0, 1), (1, 1, 0))  # which side each of three is on
FIRST = 1 << 46  # the first process number; restarts count on from here

Held = tuple[tuple[int, int, int], ...]  # run, state, incarnation of each process held, in order


@dataclass(frozen=True, slots=True)
class World:
    """All that matters of a state."""

    views: tuple[tuple[int, int, Held], ...]  # of each place: its run, incarnation and table
    parted: int  # index into PARTS
    started: int  # processes started so far


class BrokenError(Exception):
    """An invariant does not hold; the text names it, with the acts that led there."""


class Model:
    """Explores up to a depth; `kind` is the View under check, so that one with a fault can be put in."""

    def __init__(
        self, kind: type[View] = View, most_incarnation: int = 2, most_life: int = 2, restarts: int = 1
    ) -> None:
        self.kind, self.restarts = kind, restarts
        self.most_incarnation, self.most_life = most_incarnation, most_life
        self.tally = Tally()
        self.settled: dict[World, str] = {}

    def make(self, place: int, run: int, incarnation: int, held: Held) -> View:
        """A view as a state tells it."""
        view = self.kind(Me(f"n{place}", f"n{place}:1"), (), Random(1), self.tally, Pace(), 100)
        view.run, view.incarnation, view.joined = run, incarnation, True
        for one, state, number in held:
            where = self.place_of(one)
            view.table._put(None, Member(one, f"n{where}", f"n{where}:1", "", State(state), number))
        return view

    def place_of(self, run: int) -> int:
        return (process_of(run) - FIRST) % 3

    @staticmethod
    def kept(view: View) -> tuple[int, int, Held]:
        held = sorted((one.run, int(one.state), one.incarnation if one.live else 0) for one in view.table)
        return view.run, view.incarnation, tuple(held)

    def first(self) -> World:
        """Three that know one another."""
        runs = [FIRST + i << LIFE_BITS for i in range(3)]
        held = tuple((run, 0, 0) for run in runs)
        return World(tuple((run, 0, held) for run in runs), 0, 3)

    def acts(self, world: World) -> Iterator[tuple[str, World]]:
        """Every act from a state, and the state after it."""
        for i, (run, incarnation, held) in enumerate(world.views):
            if run & 0xFFFF >= self.most_life or incarnation >= self.most_incarnation:
                continue
            for other, state, _ in held:
                if process_of(other) == process_of(run) or state >= State.DEAD:
                    continue
                view = self.make(i, run, incarnation, held)
                if state == State.ALIVE:
                    view._suspect(0.0, other)
                    yield f"{i} suspects {other:x}", self.after(world, i, view)
                else:
                    view._end(0.0, other, "fleet.declared_dead")
                    yield f"{i} declares {other:x} dead", self.after(world, i, view)
        sides = PARTS[world.parted]
        for i in range(3):
            for j in range(3):
                if i != j and sides[i] == sides[j]:
                    after = self.tell(world, i, j)
                    if after != world:
                        yield f"{i} tells {j}", after
        if world.started < 3 + self.restarts:
            for i in range(3):
                # Process numbers tell the place: the next that falls to this one.
                number = next(n for n in range(world.started, world.started + 3) if n % 3 == i)
                run = FIRST + number << LIFE_BITS
                fresh = (run, 0, ((run, 0, 0),))
                views = tuple(fresh if k == i else one for k, one in enumerate(world.views))
                yield f"{i} restarts", World(views, world.parted, number + 1)
        for parted in range(len(PARTS)):
            if parted != world.parted and 0 in (parted, world.parted):
                yield f"network {PARTS[parted]}", World(world.views, parted, world.started)

    def after(self, world: World, place: int, view: View) -> World:
        views = tuple(self.kept(view) if k == place else one for k, one in enumerate(world.views))
        return World(views, world.parted, world.started)

    def tell(self, world: World, source: int, target: int) -> World:
        """One tells another all it holds, as a comparison does."""
        teller = self.make(source, *world.views[source])
        hearer = self.make(target, *world.views[target])
        hearer._merge(0.0, [one.full(0.0) for one in teller.table])
        return self.after(world, target, hearer)

    def check(self, world: World, before: World) -> str:
        """The invariant that a state breaks, or nothing."""
        for (run, _, held), (was_run, _, _) in zip(world.views, before.views, strict=True):
            own = [one for one in held if process_of(one[0]) == process_of(run)]
            if [(one[0], one[1]) for one in own] != [(run, 0)]:
                return "a process holds itself live"
            if process_of(run) == process_of(was_run) and run < was_run:
                return "lives only grow"
        return self.taken_back(world, before) or self.converges(world)

    def taken_back(self, world: World, before: World) -> str:
        """V3 between one state and the next."""
        for (run, _, held), (was_run, _, was) in zip(world.views, before.views, strict=True):
            dead = {one for one, state, _ in was if state == State.DEAD}
            if process_of(run) == process_of(was_run) and any(
                one in dead and state < State.DEAD for one, state, _ in held
            ):
                return "V3"
        return ""

    def converges(self, world: World) -> str:
        """Whether all come to one right view once nothing breaks any more; else what is broken."""
        key = World(world.views, 0, 0)
        known = self.settled.get(key)
        if known is not None:
            return known
        now, wrong = key, ""
        for _ in range(12):
            then = now
            for i in range(3):
                for j in range(3):
                    if i != j:
                        after = self.tell(now, i, j)
                        wrong = wrong or self.taken_back(after, now)
                        now = after
            if now == then or wrong:
                break
        running = {(run, int(State.ALIVE), incarnation) for run, incarnation, _ in now.views}
        if not all({one for one in held if one[1] < State.DEAD} == running for _, _, held in now.views):
            wrong = wrong or "convergence"
        self.settled[key] = wrong
        return wrong

    def explore(self, depth: int, most_states: int) -> tuple[int, int]:
        """Breadth first; how many states were seen, and the depth that was done whole. Raises BrokenError."""
        first = self.first()
        seen = {first}
        trace: dict[World, tuple[World, str]] = {}
        level = [first]
        for done in range(depth):
            following = []
            for world in level:
                for act, after in self.acts(world):
                    if after in seen:
                        continue
                    wrong = self.check(after, world)
                    if wrong:
                        acts = [act]
                        at = world
                        while at in trace:
                            at, one = trace[at]
                            acts.append(one)
                        raise BrokenError(f"{wrong}: {'; '.join(reversed(acts))}")
                    seen.add(after)
                    trace[after] = world, act
                    following.append(after)
                    if len(seen) >= most_states:
                        return len(seen), done
            level = following
        return len(seen), depth
