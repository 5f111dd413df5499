"""One owner's table as it stands at its owner or at a holder: records by bucket, each bucket as of a number. No I/O.

An owner is one process in one run, and it alone writes: its changes are numbered from 1 without gaps, so that the table
as of a number is one thing, whoever holds it. That is the rule where copies differ: a bucket as of a greater number
holds, whole, and what it does not name is gone. So an ended call needs no mark of its end that would have to be kept:
it is gone from every bucket as of its end or later, and no earlier bucket replaces a later one.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

import msgspec

BUCKETS = 64


class Record(msgspec.Struct, array_like=True, frozen=True):
    """One change: `state` of a kind's key as of `number`; None: gone."""

    number: int
    kind: str
    key: str
    state: bytes | None


def bucket_of(kind: str, key: str) -> int:
    """Where a key lies, at everyone alike."""
    return blake2b(f"{kind} {key}".encode(), digest_size=1, person=b"leadslip-bucket").digest()[0] % BUCKETS


def print_of(kind: str, key: str, state: bytes) -> int:
    """64 bits of one record; a bucket's digest is the XOR of its records'."""
    told = msgspec.msgpack.encode((kind, key, state))
    return int.from_bytes(blake2b(told, digest_size=8, person=b"leadslip-record").digest())


class Bucket:
    """A part of the table as of a number; below nought: nothing is known of it."""

    __slots__ = ("number", "records", "digest")

    def __init__(self, number: int = -1) -> None:
        self.number = number
        self.records: dict[tuple[str, str], bytes] = {}
        self.digest = 0

    def put(self, kind: str, key: str, state: bytes | None) -> None:
        before = self.records.pop((kind, key), None)
        if before is not None:
            self.digest ^= print_of(kind, key, before)
        if state is not None:
            self.records[kind, key] = state
            self.digest ^= print_of(kind, key, state)


class Table:
    """All buckets of one owner's run; `applied` is the number up to which every change has been taken, no gap."""

    def __init__(self, fresh: bool = False) -> None:
        start = 0 if fresh else -1
        self.buckets = [Bucket(start) for _ in range(BUCKETS)]
        self.applied = start

    def take(self, records: Iterable[Record]) -> bool:
        """Apply a stretch of the owner's changes; False where it does not follow what is here: a gap is asked for."""
        for one in records:
            if one.number <= self.applied:
                continue
            if one.number != self.applied + 1:
                return False
            bucket = self.buckets[bucket_of(one.kind, one.key)]
            if one.number > bucket.number:  # else the bucket came whole as of a later number
                bucket.put(one.kind, one.key, one.state)
            self.applied = one.number
        return True

    def merge(self, at: int, number: int, records: Iterable[tuple[str, str, bytes]]) -> bool:
        """Take a bucket whole, as of a number; the later one holds. Whether it was taken."""
        told = Bucket(number)
        # Guards against changes that have overtaken it: those of this bucket would be lost with what it replaces.
        if number <= self.as_of(at) or number < self.applied:
            return False
        for kind, key, state in records:
            told.put(kind, key, state)
        self.buckets[at] = told
        return True

    def as_of(self, at: int) -> int:
        """The number as of which a bucket is known: its own, or what the stream has brought since."""
        own = self.buckets[at].number
        return own if own < 0 else max(own, self.applied)

    def lacking(self) -> list[int]:
        """Buckets of which nothing is known."""
        return [at for at, bucket in enumerate(self.buckets) if bucket.number < 0]

    def begin(self) -> None:
        """Every bucket is known: changes are taken from the earliest of them on."""
        self.applied = max(self.applied, min(bucket.number for bucket in self.buckets))

    def whole(self) -> bool:
        return self.applied >= 0

    def digests(self) -> list[int]:
        return [bucket.digest for bucket in self.buckets]

    def digest(self) -> int:
        """Of the whole table: equal exactly where the same records are held."""
        told = ",".join(f"{bucket.digest:x}" for bucket in self.buckets)
        return int.from_bytes(blake2b(told.encode(), digest_size=8).digest())

    def get(self, kind: str, key: str) -> bytes | None:
        return self.buckets[bucket_of(kind, key)].records.get((kind, key))

    def all(self, kind: str) -> dict[str, bytes]:
        """Every record of a kind."""
        return {
            key: state
            for bucket in self.buckets
            for (held, key), state in bucket.records.items()
            if held == kind
        }

    def __len__(self) -> int:
        return sum(len(bucket.records) for bucket in self.buckets)
