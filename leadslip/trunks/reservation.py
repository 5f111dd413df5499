"""The live limit: some trunks of a group are kept for the classes that are worth most.

A filter ahead of the Controller. It counts the calls of each group that this proxy has out or standing, and
refuses a class at once where no more than its reserve is free, with the time after which a trunk is likely free.
Proxies that share a group without a word between them are each given their part of its trunks. Off unless
configured.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import TYPE_CHECKING

from leadslip.filters import Refused
from leadslip.trunks import sizing

if TYPE_CHECKING:
    from leadslip.core import Request
    from leadslip.parts.trunks.settings import TrunkGroup

HOLD_WEIGHT = 0.05  # of the latest call in the smoothed holding time
MOST_HOLD_MS = 3_600_000.0  # a call longer than this tells nothing of when trunks come free


class _Group:
    """What is taken of one group."""

    __slots__ = ("limit", "busy", "taken", "hold_ms")

    def __init__(self, limit: TrunkGroup) -> None:
        self.limit = limit
        self.busy = 0.0
        self.taken: dict[
            int, tuple[float, float]
        ] = {}  # request by identity -> circuits, since when it stands
        self.hold_ms = 0.0  # smoothed holding time; nought while none has been seen

    def pause_ms(self) -> float:
        """When a circuit is likely to come free: the holding time over the calls that hold one."""
        return self.hold_ms / max(1, len(self.taken))


class Reservation:
    """The filter. Requests to destinations that no group names pass."""

    name = "reservation"

    def __init__(self, limits: tuple[TrunkGroup, ...], before: Reservation | None = None) -> None:
        self.limits = limits
        self.groups: dict[str, _Group] = {limit.name: _Group(limit) for limit in limits}
        self.by_destination = {
            destination: self.groups[limit.name] for limit in limits for destination in limit.destinations
        }
        if before is not None:
            # Guards against a reload that forgets what stands: a group that goes on keeps its calls. Their ends
            # are told to the filter that passed them, which shares the counters.
            for name, held in before.groups.items():
                if name in self.groups:
                    held.limit = self.groups[name].limit
                    self.groups[name] = held
            self.by_destination = {
                destination: self.groups[limit.name] for limit in limits for destination in limit.destinations
            }

    def keep(self, lines: Mapping[str, float], classes: Sequence[str]) -> None:
        """Keep so many circuits of groups free for the first class, where that is more than their own file keeps."""
        for limit in self.limits:
            kept = (
                {name: max(limit.reserve.get(name, 0.0), lines[limit.name]) for name in classes[1:]}
                if (limit.name in lines)
                else {}
            )
            self.groups[limit.name].limit = replace(limit, reserve={**limit.reserve, **kept})

    def free(self, group: str) -> float:
        """The circuits of a group that nothing holds; below nought after its size was cut."""
        held = self.groups[group]
        return held.limit.trunks - held.busy

    def admit(self, request: Request, now_ms: float) -> Refused | None:
        """Take the circuits that a request asks for, unless they are kept for others."""
        group = self.by_destination.get(request.destination)
        if group is None:
            return None
        left = group.limit.trunks - group.busy - request.lines
        if left < group.limit.reserve.get(request.call_class, 0.0):
            return Refused(group.pause_ms())
        group.busy += request.lines
        group.taken[id(request)] = (request.lines, 0.0)
        return None

    def stood(self, request: Request, now_ms: float) -> None:
        """A standing call holds what it was given on being sent; how long, tells when trunks come free."""
        group = self._group(request)
        if group is not None:
            group.taken[id(request)] = (group.taken[id(request)][0], now_ms)

    def _group(self, request: Request) -> _Group | None:
        """The group whose circuits a request holds; none where it passed before there was one."""
        group = self.by_destination.get(request.destination)
        if group is not None and id(request) in group.taken:
            return group
        return next((held for held in self.groups.values() if id(request) in held.taken), None)

    def ended(self, request: Request, now_ms: float) -> None:
        """Its circuits are free again."""
        group = self._group(request)
        if group is None:
            return
        lines, since_ms = group.taken.pop(id(request))
        # Nought when idle: fractions of circuits must not add up to an error over the days.
        group.busy = group.busy - lines if group.taken else 0.0
        held_ms = now_ms - since_ms
        if since_ms and 0.0 < held_ms < MOST_HOLD_MS:
            weight = HOLD_WEIGHT if group.hold_ms else 1.0
            group.hold_ms += weight * (held_ms - group.hold_ms)


def advised(limit: TrunkGroup, loads: Mapping[str, float], spared: str, goal: float) -> list[sizing.Reserved]:
    """The levels for a group at which a class loses no more than the goal, and what each costs the others."""
    others = sum(load for name, load in loads.items() if name != spared)
    return sizing.levels(int(limit.trunks), loads.get(spared, 0.0), others, goal)
