"""Views and agreements with one fault each, to prove that the checker sees it, and a view that is a version behind.

For drills of debug builds only (parts/fleet.py).
"""

from __future__ import annotations

import time
from collections.abc import Sequence
from dataclasses import replace

import msgspec

from leadslip.fleet import wire
from leadslip.fleet.agreement.member import Agreement, Rules
from leadslip.fleet.agreement.raft import Raft
from leadslip.fleet.view.members import Member, State, Table
from leadslip.fleet.view.view import Me, View


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


class Waiting(View):
    """Holds up its whole process until it is sure of a death (breaks C1: no call waits for the fleet)."""

    def _verdict(self, now_ms: float, key: int) -> None:
        if key in self.suspicions:
            time.sleep(6.0)
        super()._verdict(now_ms, key)


class Former(View):
    """Speaks wire version 1 alone, as the program did: no facts of its own, no editions; version 2 is refused."""

    speaks = 1

    def __init__(self, me: Me, *told: object) -> None:
        super().__init__(replace(me, facts={}), *told)

    def change_facts(self, now_ms: float, facts: dict[str, str | int]) -> None:
        return

    def _news(self, now_ms: float, message: wire.Ping | wire.Ack | wire.Gossip) -> None:
        super()._news(now_ms, msgspec.structs.replace(message, full=self._former(message.full)))

    def _merge(self, now_ms: float, members: list[wire.Full]) -> None:
        super()._merge(now_ms, self._former(members))

    @staticmethod
    def _former(members: list[wire.Full]) -> list[wire.Full]:
        return [msgspec.structs.replace(one, edition=0) for one in members]


class Timeless(Agreement):
    """Acts on what it holds however long ago it was vouched for (breaks A2)."""

    def in_force(self, now_ms: float) -> Rules:
        return self.rules if self.rules is not None else self.alone


class Headstrong(Agreement):
    """Commits, as a leader, what it alone holds, and leads on without a majority (breaks A1 and A3)."""

    def _begin(self, now_ms: float) -> None:
        super()._begin(now_ms)
        self.raft.__class__ = HeadstrongRaft


class HeadstrongRaft(Raft):
    """A majority of one."""

    def _majority(self, of: Sequence[str]) -> bool:
        return bool(of)

    def _advance(self, now_ms: float) -> None:
        if self.durable_index > self.committed:
            self._commit(self.durable_index)

    def _confirm(self, now_ms: float) -> None:
        self.confirmed_ms, self.confirmed_index = now_ms, self.committed


AGREEMENTS = {"timeless": Timeless, "headstrong": Headstrong}
KINDS = {"deaf": Deaf, "apart": Apart, "forgiving": Forgiving, "waiting": Waiting, "former": Former}
