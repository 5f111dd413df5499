"""Repeat dials: which attempts are new calls, and what load the callers would offer if none were lost.

Callers who are refused dial again, and each try counts as an attempt: the attempts overstate what is offered the
more is lost, just where sizing matters most. A repeat that its caller marks is known. Of the others the share of
refused calls that is dialled again (the persistence W of ITU-T E.501) is measured: refused numbers are sampled
into a bounded table and looked up by later attempts; those found by chance, as a number may be called anew
by somebody else, are taken off by looking up attempts against sham entries as well.

E.501 then gives the fresh load from the carried load Y, the blocking B of all attempts and the persistence W:
A = Y (1 - W B) / (1 - B). Its other way, from the ineffective calls of the whole network, needs figures that a
proxy does not have.
"""

from __future__ import annotations

from collections import OrderedDict

from leadslip.trunks.losses import MOST_LOAD, check, erlang_b, root

WINDOW_MS = 60_000.0  # a repeat comes within so long; later ones count as calls anew
MOST_SAMPLED = 2048  # refused numbers remembered at a time
SHAM_AFTER_MS = 2.0 * WINDOW_MS  # a number refused so long ago stands for one that nobody dials again


def fresh_load(carried: float, blocking: float, persistence: float) -> float:
    """The load in erlangs that callers offer for the first time (ITU-T E.501).

    `carried` erlangs, `blocking` the part of all attempts lost, `persistence` the part of the lost that comes again.
    """
    check("carried", carried, 0.0, 1e9)
    check("persistence", persistence, 0.0, 1.0)
    check("blocking", blocking, 0.0, 1.0)
    if blocking == 1.0:
        return 0.0 if carried == 0.0 else float("inf")
    return carried * (1.0 - persistence * blocking) / (1.0 - blocking)


def with_redials(trunks: float, erlangs: float, persistence: float, most: int) -> tuple[float, float]:
    """The part of all attempts lost, and the load of all attempts, where the lost are dialled again.

    `erlangs` are those of first tries; each lost try is dialled again with chance `persistence`, up to `most` times.
    Redials are taken to come back at random, after waits that are long against the holding time; those that come
    back at once meet the same full group, and more is lost than this says.
    """
    check("persistence", persistence, 0.0, 1.0)
    check("redials", most, 0, 1000)
    low, high = erlangs, min(MOST_LOAD, erlangs * (1.0 + most))
    if high == low:
        return erlang_b(trunks, erlangs), erlangs

    def excess(load: float) -> float:
        again = persistence * erlang_b(trunks, load)
        tries, total = 1.0, 1.0
        for _ in range(most):
            tries *= again
            total += tries
        return load - erlangs * total

    load = root(excess, low, high)
    return erlang_b(trunks, load), load


class Sampled:
    """Numbers refused of late, and how many of them were dialled again.

    Each refused number is looked for in two spans of the same length after its refusal: from nought to WINDOW_MS,
    when repeats come, and from SHAM_AFTER_MS on, when only chance brings it. Holds at most MOST_SAMPLED entries;
    while it is full further refusals are not sampled, which costs accuracy and no bias.
    """

    __slots__ = ("held", "sampled", "found", "ripe", "chance")

    def __init__(self) -> None:
        self.held: OrderedDict[int, float] = OrderedDict()  # key -> when refused, oldest first
        self.sampled = 0  # refusals whose first span was watched
        self.found = 0  # attempts that matched within it
        self.ripe = 0  # refusals whose second span was watched to its end
        self.chance = 0  # attempts that matched within that

    def refused(self, key: int, now_ms: float) -> None:
        """A call to a number was refused."""
        self._prune(now_ms)
        if key not in self.held and len(self.held) < MOST_SAMPLED:
            self.held[key] = now_ms
            self.sampled += 1

    def attempt(self, key: int, now_ms: float) -> bool:
        """A call not marked as a repeat is offered; whether it looks like one."""
        refused_ms = self.held.get(key)
        if refused_ms is None:
            return False
        age_ms = now_ms - refused_ms
        if age_ms <= WINDOW_MS:
            self.found += 1
            del self.held[key]
            return True
        if SHAM_AFTER_MS < age_ms <= SHAM_AFTER_MS + WINDOW_MS:
            self.chance += 1
            self.ripe += 1
            del self.held[key]
        return False

    def _prune(self, now_ms: float) -> None:
        while self.held:
            key, at_ms = next(iter(self.held.items()))
            if now_ms - at_ms <= SHAM_AFTER_MS + WINDOW_MS:
                break
            del self.held[key]
            self.ripe += 1

    def marked(self, key: int) -> None:
        """A repeat that its caller marked: it is known, and must not be taken for another's."""
        self.held.pop(key, None)


def persistence(sampled: int, found: int, ripe: int, chance: int) -> float:
    """The part of lost calls that is dialled again unmarked, less what chance brings; nought while unknown."""
    if not sampled:
        return 0.0
    by_chance = min(0.99, chance / ripe) if ripe else 0.0
    return min(1.0, max(0.0, (found / sampled - by_chance) / (1.0 - by_chance)))
