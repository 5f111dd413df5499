"""Views with one fault each, to prove that the checker sees it. For drills of debug builds only (parts/fleet.py)."""

from __future__ import annotations

from dataclasses import replace

from leadslip.fleet import wire
from leadslip.fleet.view.members import Member, State, Table
from leadslip.fleet.view.view import View


class Deaf(View):
    """Does not learn that it was declared dead, and goes on as before (breaks V1)."""

    def _reborn(self, now_ms: float, run: int) -> None:
        return


class Apart(View):
    """Never tries the dead nor the seeds again, so that a partition does not heal (breaks V2)."""

    def _reach(self, now_ms: float, _: int) -> None:
        if not self.joined:
            super()._reach(now_ms, _)


class Forgiving(View):
    """Takes a dead member back as the same run when it is heard of again (breaks V3)."""

    def __init__(self, *told: object) -> None:
        super().__init__(*told)
        self.table.__class__ = ForgivingTable

    def _reborn(self, now_ms: float, run: int) -> None:
        self.incarnation += 1
        self._tell_self(now_ms)


class ForgivingTable(Table):
    """A table in which the end of a life is news like any other."""

    def _back(self, run: int, state: int, incarnation: int) -> None:
        held = self.get(run)
        if (
            held is not None
            and held.state is State.DEAD
            and state == State.ALIVE
            and incarnation > held.incarnation
        ):
            self._put(held, replace(held, state=State.ALIVE, incarnation=incarnation))

    def take(self, told: wire.Full, now_ms: float) -> Member | None:
        self._back(told.run, told.state, told.incarnation)
        return super().take(told, now_ms)

    def hear(self, told: wire.Short, now_ms: float) -> Member | None:
        self._back(told.run, told.state, told.incarnation)
        return super().hear(told, now_ms)


KINDS = {"deaf": Deaf, "apart": Apart, "forgiving": Forgiving}
