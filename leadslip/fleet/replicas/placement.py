"""Placement of replicas: rendezvous hashing over the members in view, another zone first. Pure, without I/O."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

from leadslip.fleet.view.members import Member


def rendezvous_score(owner: str, holder: str) -> int:
    """The score of a holder for an owner, the same at every member; made of names, so a restart moves no replica."""
    return int.from_bytes(
        blake2b(f"{owner} {holder}".encode(), digest_size=8, person=b"leadslip-place").digest()
    )


def holders_of(owner: str, zone: str, members: Iterable[Member], copies: int) -> list[Member]:
    """The members that hold an owner's table: the best ranked of another zone, then the best ranked of the rest.

    Of several processes of one name the one with the greatest run counts; the owner's own name is never chosen.
    """
    latest: dict[str, Member] = {}
    for member in members:
        if member.name != owner and (member.name not in latest or latest[member.name].run < member.run):
            latest[member.name] = member
    ranked = sorted(latest.values(), key=lambda member: rendezvous_score(owner, member.name), reverse=True)
    chosen = [member for member in ranked if member.zone != zone][:1]
    chosen += [member for member in ranked if member not in chosen]
    return chosen[:copies]
