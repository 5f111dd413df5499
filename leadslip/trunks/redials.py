"""Repeat attempts: estimates caller persistence and the load that callers would offer if no calls were lost.

Refused callers dial again, and each redial counts as an attempt, so that attempts overstate the offered load. The
error is largest where losses are high, which is where sizing matters most. Repeats that the caller marks are counted.
For the others the fraction of refused calls that are dialled again (the persistence W of ITU-T E.501) is estimated:
refused numbers are sampled into a bounded table and matched against later attempts. Some match by chance, because
somebody else calls the same number: their rate, measured in a control window after the last redials, is subtracted.
In this module, a refused call is any call that was lost: refused, failed, or cancelled by its caller.

E.501 then gives the fresh load from the carried load Y, the blocking B of all attempts and the persistence W:
A = Y (1 - W B) / (1 - B). Its other method starts from the ineffective calls of the whole network, which a proxy
cannot measure.
"""

from __future__ import annotations

from collections import OrderedDict

from leadslip.trunks.losses import MAX_LOAD, check_range, erlang_b, root

WINDOW_MS = 60_000.0  # time after a refusal during which an attempt counts as a repeat
MAX_SAMPLED = 2048  # refused numbers kept at the same time
CONTROL_AFTER_MS = 2.0 * WINDOW_MS  # start of the control window: assumed to be after the last redials


def fresh_load(carried: float, blocking: float, persistence: float) -> float:
    """Returns the fresh load in erlangs, without redials (ITU-T E.501).

    `carried` is in erlangs, `blocking` the fraction of all attempts that are lost, `persistence` the fraction of lost
    attempts that are redialled.
    """
    check_range("carried", carried, 0.0, 1e9)
    check_range("persistence", persistence, 0.0, 1.0)
    check_range("blocking", blocking, 0.0, 1.0)
    if blocking == 1.0:
        return 0.0 if carried == 0.0 else float("inf")
    return carried * (1.0 - persistence * blocking) / (1.0 - blocking)


def with_redials(trunks: float, erlangs: float, persistence: float, max_redials: int) -> tuple[float, float]:
    """Returns the blocking of all attempts, and the load of all attempts, when lost attempts are redialled.

    `trunks` is the size of the trunk group, `erlangs` the load of first attempts; each lost attempt is redialled with
    probability `persistence`, up to `max_redials` times. Assumes that redials arrive at random, after waits much longer
    than the holding time. Callers who redial at once find the group still full, and the actual blocking is then higher
    than the result.
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
    """Sample of recently refused numbers of one trunk group, and how many of them were dialled again.

    A key is the hash of class and number. Each refused number is matched in two windows of length WINDOW_MS after its
    refusal: the repeat window begins at the refusal, the control window CONTROL_AFTER_MS later, when only chance
    matches are expected. Matches between the two windows or after them are not counted. Holds at most
    MAX_SAMPLED entries; while it is full, further refusals are not sampled, which costs accuracy but adds no bias.
    """

    __slots__ = ("refused_at_ms", "sampled", "matched", "control_sampled", "control_matched")

    def __init__(self) -> None:
        self.refused_at_ms: OrderedDict[int, float] = OrderedDict()  # key -> Unix ms, oldest first
        self.sampled = 0  # refusals added to the sample
        self.matched = 0  # attempts that matched in the repeat window
        self.control_sampled = 0  # refusals observed to the end of the control window
        self.control_matched = 0  # attempts that matched in the control window

    def add_refusal(self, key: int, now_ms: float) -> None:
        """Adds a refused call to the sample, unless its number is in it or the sample is full."""
        self._evict_expired(now_ms)
        if key not in self.refused_at_ms and len(self.refused_at_ms) < MAX_SAMPLED:
            self.refused_at_ms[key] = now_ms
            self.sampled += 1

    def match(self, key: int, now_ms: float) -> bool:
        """Matches an attempt that is not marked as a repeat, and counts a match; returns whether it is a repeat.

        A number that has matched is removed from the sample.
        """
        refused_ms = self.refused_at_ms.get(key)
        if refused_ms is None:
            return False
        age_ms = now_ms - refused_ms
        if age_ms <= WINDOW_MS:
            self.matched += 1
            del self.refused_at_ms[key]
            return True
        if CONTROL_AFTER_MS < age_ms <= CONTROL_AFTER_MS + WINDOW_MS:
            self.control_matched += 1
            self.control_sampled += 1
            del self.refused_at_ms[key]
        return False

    def _evict_expired(self, now_ms: float) -> None:
        """Removes the refusals whose control window has passed without a match."""
        while self.refused_at_ms:
            key, refused_ms = next(iter(self.refused_at_ms.items()))
            if now_ms - refused_ms <= CONTROL_AFTER_MS + WINDOW_MS:
                break
            del self.refused_at_ms[key]
            self.control_sampled += 1

    def remove(self, key: int) -> None:
        """Removes a number whose repeat was marked by the caller, so that a later call does not match it as well."""
        self.refused_at_ms.pop(key, None)


def persistence(sampled: int, matched: int, control_sampled: int, control_matched: int) -> float:
    """Returns the fraction of lost calls redialled without a mark, corrected for chance matches; 0 while unknown.

    The arguments are the counters of the same names of RefusalSample.
    """
    if not sampled:
        return 0.0
    chance_rate = min(0.99, control_matched / control_sampled) if control_sampled else 0.0
    return min(1.0, max(0.0, (matched / sampled - chance_rate) / (1.0 - chance_rate)))
