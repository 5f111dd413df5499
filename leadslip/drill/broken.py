"""Faulty variants of the view and the agreement, which the checker must detect, and a view of the previous version.

Settings accept them in debug builds only (parts/fleet).
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
    """Ignores that it was declared dead, and goes on under the same run (violates V1)."""

    def _reborn(self, now_ms: float, run: int) -> None:
        return


class Apart(View):
    """Never contacts dead members or the seeds again, so that a partition does not heal (violates V2)."""

    def _reach(self, now_ms: float, _: int) -> None:
        if not self.joined:
            super()._reach(now_ms, _)


class Forgiving(View):
    """Accepts a dead member again under the same run when an update says it is alive (violates V3)."""

    def __init__(self, *args: object) -> None:
        super().__init__(*args)
        self.table.__class__ = ForgivingTable

    def _reborn(self, now_ms: float, run: int) -> None:
        self.incarnation += 1
        self._tell_self(now_ms)


class ForgivingTable(Table):
    """A table in which a dead run can become alive again by a higher incarnation."""

    def _revive(self, run: int, state: int, incarnation: int) -> None:
        member = self.get(run)
        if (
            member is not None
            and member.state is State.DEAD
            and state == State.ALIVE
            and incarnation > member.incarnation
        ):
            self._put(member, replace(member, state=State.ALIVE, incarnation=incarnation))

    def take(self, update: wire.Full, now_ms: float) -> Member | None:
        self._revive(update.run, update.state, update.incarnation)
        return super().take(update, now_ms)

    def hear(self, update: wire.Short, now_ms: float) -> Member | None:
        self._revive(update.run, update.state, update.incarnation)
        return super().hear(update, now_ms)


class Waiting(View):
    """Blocks its process for 6 s before it declares a suspected member dead (violates C1: calls wait for the fleet)."""

    def _verdict(self, now_ms: float, key: int) -> None:
        if key in self.suspicions:
            time.sleep(6.0)
        super()._verdict(now_ms, key)


class Former(View):
    """Speaks wire version 1 only, as older releases do: sends no facts, ignores editions, refuses version 2."""

    speaks = 1

    def __init__(self, me: Me, *args: object) -> None:
        super().__init__(replace(me, facts={}), *args)

    def change_facts(self, now_ms: float, facts: dict[str, str | int]) -> None:
        return

    def _news(self, now_ms: float, message: wire.Ping | wire.Ack | wire.Gossip) -> None:
        super()._news(now_ms, msgspec.structs.replace(message, full=self._without_editions(message.full)))

    def _merge(self, now_ms: float, members: list[wire.Full]) -> None:
        super()._merge(now_ms, self._without_editions(members))

    @staticmethod
    def _without_editions(members: list[wire.Full]) -> list[wire.Full]:
        return [msgspec.structs.replace(member, edition=0) for member in members]


class Timeless(Agreement):
    """Applies its current revision however long ago its freshness was confirmed (violates A2)."""

    def in_force(self, now_ms: float) -> Rules:
        return self.rules if self.rules is not None else self.alone


class Headstrong(Agreement):
    """Commits entries that only the leader has stored, and stays leader without a majority (violates A1 and A3)."""

    def _begin(self, now_ms: float) -> None:
        super()._begin(now_ms)
        self.raft.__class__ = HeadstrongRaft


class HeadstrongRaft(Raft):
    """A Raft in which any single voter is a majority."""

    def _majority(self, of: Sequence[str]) -> bool:
        return bool(of)

    def _advance(self, now_ms: float) -> None:
        if self.durable_index > self.committed:
            self._commit(self.durable_index)

    def _confirm(self, now_ms: float) -> None:
        self.confirmed_ms, self.confirmed_index = now_ms, self.committed


AGREEMENTS = {"timeless": Timeless, "headstrong": Headstrong}
KINDS = {"deaf": Deaf, "apart": Apart, "forgiving": Forgiving, "waiting": Waiting, "former": Former}
