"""Repeat attempts: estimates caller persistence and the load that callers would offer if no calls were lost.

Refused callers dial again and each try counts as an attempt, so the attempts overstate the offered load most where
losses are high, which is where sizing matters most. Repeats that the caller marks are known. For the others the
fraction of refused calls that is dialled again (the persistence W of ITU-T E.501) is measured: refused numbers are
sampled into a bounded table and matched against later attempts. Chance matches, where somebody else calls the same
number, are subtracted; a control window, later than any repeat, measures their rate.

E.501 then gives the fresh load from the carried load Y, the blocking B of all attempts and the persistence W:
A = Y (1 - W B) / (1 - B). Its other method, from the ineffective calls of the whole network, needs measurements
that a proxy does not have.
"""

from __future__ import annotations

from collections import OrderedDict

from leadslip.trunks.losses import MAX_LOAD, check_range, erlang_b, root

WINDOW_MS = 60_000.0  # time after a refusal during which an attempt counts as a repeat
MAX_SAMPLED = 2048  # refused numbers held at the same time
CONTROL_AFTER_MS = 2.0 * WINDOW_MS  # start of the control window: by then nobody is still redialling


def fresh_load(carried: float, blocking: float, persistence: float) -> float:
    """Returns the fresh load in erlangs, without redials (ITU-T E.501).

    `carried` is in erlangs, `blocking` the part of all attempts lost, `persistence` the part of the lost redialled.
    """
    check_range("carried", carried, 0.0, 1e9)
    check_range("persistence", persistence, 0.0, 1.0)
    check_range("blocking", blocking, 0.0, 1.0)
    if blocking == 1.0:
        return 0.0 if carried == 0.0 else float("inf")
    return carried * (1.0 - persistence * blocking) / (1.0 - blocking)


def with_redials(trunks: float, erlangs: float, persistence: float, max_redials: int) -> tuple[float, float]:
    """Returns the blocking of all attempts, and the load of all attempts, when lost attempts are redialled.

    `erlangs` is the load of first attempts; each lost attempt is redialled with probability `persistence`, up to
    `max_redials` times. Redials are assumed to come at random, after waits that are long against the holding time;
    immediate redials meet the same full group, and the actual loss is then higher than the result.
    """
    check_range("persistence", persistence, 0.0, 1.0)
    check_range("redials", max_redials, 0, 1000)
    min_load, max_load = erlangs, min(MAX_LOAD, erlangs * (1.0 + max_redials))
    if max_load == min_load:
        return erlang_b(trunks, erlangs), erlangs

    def excess(load: float) -> float:
        repeat_probability = persistence * erlang_b(trunks, load)
        repeats, total = 1.0, 1.0
        for _ in range(max_redials):
            repeats *= repeat_probability
            total += repeats
        return load - erlangs * total

    load = root(excess, min_load, max_load)
    return erlang_b(trunks, load), load


class RefusalSample:
    """Sample of recently refused numbers, and how many of them were dialled again.

    Each refused number is matched in two windows of the same length after its refusal: from 0 to WINDOW_MS, when
    repeats occur, and from CONTROL_AFTER_MS on, when only chance matches do. Holds at most MAX_SAMPLED entries;
    while it is full further refusals are not sampled, which costs accuracy but adds no bias.
    """

    __slots__ = ("refused_at_ms", "sampled", "found", "control_sampled", "control_found")

    def __init__(self) -> None:
        self.refused_at_ms: OrderedDict[int, float] = OrderedDict()  # key -> time, oldest first
        self.sampled = 0  # refusals observed in the repeat window
        self.found = 0  # attempts that matched in the repeat window
        self.control_sampled = 0  # refusals observed to the end of the control window
        self.control_found = 0  # attempts that matched in the control window

    def add_refusal(self, key: int, now_ms: float) -> None:
        """Records a refused call to a number."""
        self._evict_expired(now_ms)
        if key not in self.refused_at_ms and len(self.refused_at_ms) < MAX_SAMPLED:
            self.refused_at_ms[key] = now_ms
            self.sampled += 1

    def match(self, key: int, now_ms: float) -> bool:
        """Matches an attempt not marked as a repeat; returns whether it looks like a repeat."""
        refused_ms = self.refused_at_ms.get(key)
        if refused_ms is None:
            return False
        age_ms = now_ms - refused_ms
        if age_ms <= WINDOW_MS:
            self.found += 1
            del self.refused_at_ms[key]
            return True
        if CONTROL_AFTER_MS < age_ms <= CONTROL_AFTER_MS + WINDOW_MS:
            self.control_found += 1
            self.control_sampled += 1
            del self.refused_at_ms[key]
        return False

    def _evict_expired(self, now_ms: float) -> None:
        while self.refused_at_ms:
            key, refused_ms = next(iter(self.refused_at_ms.items()))
            if now_ms - refused_ms <= CONTROL_AFTER_MS + WINDOW_MS:
                break
            del self.refused_at_ms[key]
            self.control_sampled += 1

    def remove(self, key: int) -> None:
        """Removes a number whose repeat was marked, so that a later call does not match it again."""
        self.refused_at_ms.pop(key, None)


def persistence(sampled: int, found: int, control_sampled: int, control_found: int) -> float:
    """Returns the part of lost calls redialled without a mark, less chance matches; 0 while unknown."""
    if not sampled:
        return 0.0
    chance_rate = min(0.99, control_found / control_sampled) if control_sampled else 0.0
    return min(1.0, max(0.0, (found / sampled - chance_rate) / (1.0 - chance_rate)))
