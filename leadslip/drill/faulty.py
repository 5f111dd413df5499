"""Faulty variants of the view and the agreement, which the checker must detect, and a view of the previous version.

The setting `fleet.broken` selects one by its key in VIEW_VARIANTS or AGREEMENT_VARIANTS; it is accepted in debug builds
only (leadslip/parts/fleet/settings.py).
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
from leadslip.fleet.view.view import OwnMember, View


class IgnoresOwnDeath(View):
    """Continues under the same run after it was declared dead, instead of as the next generation (violates V1)."""

    def _start_generation(self, now_ms: float, run: int) -> None:
        return


class NeverReconnects(View):
    """Never contacts dead members or the seeds again, so that a partition does not heal (violates V2)."""

    def _contact_absent(self, now_ms: float, _: int) -> None:
        if not self.joined:
            super()._contact_absent(now_ms, _)


class RevivesDeadRuns(View):
    """Holds a dead run as alive again when an update with a higher incarnation says so (violates V3).

    A process that was declared dead publishes such an update about itself.
    """

    def __init__(self, *args: object) -> None:
        super().__init__(*args)
        self.table.__class__ = RevivingTable

    def _start_generation(self, now_ms: float, run: int) -> None:
        self.incarnation += 1
        self._publish_self(now_ms)


class RevivingTable(Table):
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

    def merge(self, update: wire.MemberRecord, now_ms: float) -> Member | None:
        self._revive(update.run, update.state, update.incarnation)
        return super().merge(update, now_ms)

    def apply_update(self, update: wire.MemberUpdate, now_ms: float) -> Member | None:
        self._revive(update.run, update.state, update.incarnation)
        return super().apply_update(update, now_ms)


class BlocksOnSuspicion(View):
    """Blocks its process for 6 s before it declares a suspected member dead, so that calls time out (violates C1)."""

    def _on_suspicion_timeout(self, now_ms: float, key: int) -> None:
        if key in self.suspicions:
            time.sleep(6.0)
        super()._on_suspicion_timeout(now_ms, key)


class PreviousVersion(View):
    """Not faulty: speaks wire version 1 only, as older releases do.

    Sends no metadata, ignores the editions of others' metadata, and refuses messages of later versions.
    """

    max_version = 1

    def __init__(self, me: OwnMember, *args: object) -> None:
        super().__init__(replace(me, metadata={}), *args)

    def set_metadata(self, now_ms: float, metadata: dict[str, str | int]) -> None:
        return

    def _apply_gossip(self, now_ms: float, message: wire.Ping | wire.Ack | wire.Gossip) -> None:
        super()._apply_gossip(
            now_ms, msgspec.structs.replace(message, records=self._without_editions(message.records))
        )

    def _merge(self, now_ms: float, members: list[wire.MemberRecord]) -> None:
        super()._merge(now_ms, self._without_editions(members))

    @staticmethod
    def _without_editions(members: list[wire.MemberRecord]) -> list[wire.MemberRecord]:
        return [msgspec.structs.replace(member, edition=0) for member in members]


class IgnoresExpiry(Agreement):
    """Applies its revision even when a leader has not confirmed it within `in_force_ms` (violates A2)."""

    def rules_in_effect(self, now_ms: float) -> Rules:
        return self.rules if self.rules is not None else self.fallback_rules


class CommitsWithoutMajority(Agreement):
    """Commits entries that only the leader has stored, and stays leader without a majority (violates A1 and A3)."""

    def _start_raft(self, now_ms: float) -> None:
        super()._start_raft(now_ms)
        self.raft.__class__ = SingleVoterRaft


class SingleVoterRaft(Raft):
    """A Raft in which any single voter is a majority."""

    def _is_majority(self, supporters: Sequence[str]) -> bool:
        return bool(supporters)

    def _advance_commit_index(self, now_ms: float) -> None:
        if self.durable_index > self.committed:
            self._commit(self.durable_index)

    def _update_confirmed_round(self, now_ms: float) -> None:
        self.confirmed_ms, self.confirmed_index = now_ms, self.committed


AGREEMENT_VARIANTS = {"timeless": IgnoresExpiry, "headstrong": CommitsWithoutMajority}
VIEW_VARIANTS = {
    "deaf": IgnoresOwnDeath,
    "apart": NeverReconnects,
    "forgiving": RevivesDeadRuns,
    "waiting": BlocksOnSuspicion,
    "former": PreviousVersion,
}
