"""Trunk reservation for live calls: keeps some trunks of a group free for the classes of greatest worth.

A filter ahead of the Controller. It counts this proxy's set-ups in progress and established calls in each group, and
refuses a request that would leave fewer trunks free than its class must leave. The refusal has a retry time after which
a trunk is likely to be free. Proxies that share a group do not coordinate: each is configured with its part of the
trunks. Off unless a group of the settings has a reserve.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import TYPE_CHECKING

from leadslip.filters import Refusal
from leadslip.trunks import sizing

if TYPE_CHECKING:
    from leadslip.core import Request
    from leadslip.parts.trunks.settings import TrunkGroup

HOLD_WEIGHT = 0.05  # weight of the latest call in the smoothed holding time
MAX_HOLD_MS = 3_600_000.0  # longer calls are ignored: they do not help predict when trunks become free


class _GroupState:
    """The trunks of one group that are in use."""

    __slots__ = ("config", "busy", "in_use", "hold_ms")

    def __init__(self, config: TrunkGroup) -> None:
        self.config = config
        self.busy = 0.0  # trunks in use; not an integer if requests need fractions of a trunk
        # id(request) -> trunks used, time of establishment in ms (0 before that)
        self.in_use: dict[int, tuple[float, float]] = {}
        self.hold_ms = 0.0  # smoothed holding time; 0 until a call has ended

    def pause_ms(self) -> float:
        """Returns the expected ms until a trunk becomes free: the holding time divided by the calls in progress."""
        return self.hold_ms / max(1, len(self.in_use))


class Reservation:
    """The filter. Requests to destinations that belong to no group are admitted."""

    name = "reservation"

    def __init__(self, configs: tuple[TrunkGroup, ...], previous: Reservation | None = None) -> None:
        self.configs = configs
        self.groups: dict[str, _GroupState] = {config.name: _GroupState(config) for config in configs}
        self.by_destination = {
            destination: self.groups[config.name] for config in configs for destination in config.destinations
        }
        if previous is not None:
            # After a reload, a group that remains configured keeps its state, so that its calls still count. Their
            # ends are reported to the previous filter, which admitted them and shares this state.
            for name, group in previous.groups.items():
                if name in self.groups:
                    group.config = self.groups[name].config
                    self.groups[name] = group
            self.by_destination = {
                destination: self.groups[config.name]
                for config in configs
                for destination in config.destinations
            }

    def set_reserved_lines(self, lines: Mapping[str, float], classes: Sequence[str]) -> None:
        """Makes all classes but the first leave at least these trunks free (group -> trunks).

        Where the settings reserve more, that stays. Groups not in `lines` return to the reserve of their settings.
        """
        for config in self.configs:
            raised_reserve = (
                {name: max(config.reserve.get(name, 0.0), lines[config.name]) for name in classes[1:]}
                if (config.name in lines)
                else {}
            )
            self.groups[config.name].config = replace(config, reserve={**config.reserve, **raised_reserve})

    def free_trunks(self, group: str) -> float:
        """Returns the free trunks of a group; negative after the group was made smaller than its calls in progress."""
        state = self.groups[group]
        return state.config.trunks - state.busy

    def admit(self, request: Request, now_ms: float) -> Refusal | None:
        """Allocates the trunks that a request needs; returns a refusal if too few would stay free for other classes."""
        group = self.by_destination.get(request.destination)
        if group is None:
            return None
        free_after = group.config.trunks - group.busy - request.lines
        if free_after < group.config.reserve.get(request.call_class, 0.0):
            return Refusal(group.pause_ms())
        group.busy += request.lines
        group.in_use[id(request)] = (request.lines, 0.0)
        return None

    def established(self, request: Request, now_ms: float) -> None:
        """Records when a call was established, to measure its holding time."""
        group = self._group(request)
        if group is not None:
            group.in_use[id(request)] = (group.in_use[id(request)][0], now_ms)

    def _group(self, request: Request) -> _GroupState | None:
        """Returns the group whose trunks a request uses; None if it was admitted before its group was configured."""
        group = self.by_destination.get(request.destination)
        if group is not None and id(request) in group.in_use:
            return group
        return next((state for state in self.groups.values() if id(request) in state.in_use), None)

    def ended(self, request: Request, now_ms: float) -> None:
        """Frees the trunks of a request."""
        group = self._group(request)
        if group is None:
            return
        lines, established_ms = group.in_use.pop(id(request))
        # Set to exactly 0 when idle, so that rounding errors of fractional trunks do not accumulate.
        group.busy = group.busy - lines if group.in_use else 0.0
        call_ms = now_ms - established_ms
        if established_ms and 0.0 < call_ms < MAX_HOLD_MS:
            weight = HOLD_WEIGHT if group.hold_ms else 1.0
            group.hold_ms += weight * (call_ms - group.hold_ms)


def recommended_levels(
    config: TrunkGroup, loads: Mapping[str, float], spared: str, goal: float
) -> list[sizing.ReservationLevel]:
    """Returns the reservation levels up to the first at which the protected class's blocking meets the goal."""
    others = sum(load for name, load in loads.items() if name != spared)
    return sizing.levels(int(config.trunks), loads.get(spared, 0.0), others, goal)
