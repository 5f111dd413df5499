"""Who holds whose table: rendezvous ranks over the view, another zone first where there is one. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

from leadslip.fleet.view.members import Member


def score(owner: str, holder: str) -> int:
    """How a holder ranks for an owner, the same wherever it is reckoned; names, so that a restart moves nothing."""
    return int.from_bytes(
        blake2b(f"{owner} {holder}".encode(), digest_size=8, person=b"leadslip-place").digest()
    )


def holders_of(owner: str, zone: str, members: Iterable[Member], copies: int) -> list[Member]:
    """The members that hold an owner's table: the best ranked of another zone, then the best ranked of the rest.

    One process of a name counts, the one with the greatest run; the owner's own name never holds its table.
    """
    latest: dict[str, Member] = {}
    for one in members:
        if one.name != owner and (one.name not in latest or latest[one.name].run < one.run):
            latest[one.name] = one
    ranked = sorted(latest.values(), key=lambda one: score(owner, one.name), reverse=True)
    chosen = [one for one in ranked if one.zone != zone][:1]
    chosen += [one for one in ranked if one not in chosen]
    return chosen[:copies]
