"""Placement of replicas: rendezvous hashing over the live members, another zone first. Pure, without I/O."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

from leadslip.fleet.view.members import Member


def rendezvous_score(owner: str, holder: str) -> int:
    """The score of a holder for an owner; it depends on names only, so a restart moves no replica."""
    return int.from_bytes(
        blake2b(f"{owner} {holder}".encode(), digest_size=8, person=b"leadslip-place").digest()
    )


def holders_of(owner: str, zone: str, members: Iterable[Member], copies: int) -> list[Member]:
    """The members that hold the table of the proxy named `owner`.

    These are the member with the highest score in another zone, then those with the highest scores of the rest.

    Of several processes with one name only that with the greatest run can be chosen, so that all members choose the
    same one; processes with the owner's own name are never chosen.
    """
    by_name: dict[str, Member] = {}
    for member in members:
        if member.name != owner and (member.name not in by_name or by_name[member.name].run < member.run):
            by_name[member.name] = member
    ranked = sorted(by_name.values(), key=lambda member: rendezvous_score(owner, member.name), reverse=True)
    chosen = [member for member in ranked if member.zone != zone][:1]
    chosen += [member for member in ranked if member not in chosen]
    return chosen[:copies]
