"""Replicated table of one owner: records in hash buckets, each bucket with a sequence number. Pure, without I/O.

An owner is one run of one process and the only writer of its table. It numbers its changes from 1 without gaps, so the
table at a given sequence number is the same at every holder. Where replicas differ, the bucket with the greater number
wins and is complete: a key that is absent from it has been deleted. An ended call therefore needs no tombstone: it is
absent from every bucket numbered at or after its end, and an older bucket never replaces a newer one.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

import msgspec

BUCKETS = 64


class Record(msgspec.Struct, array_like=True, frozen=True):
    """One change: the state of a key of some kind at `sequence`; a state of None deletes the key."""

    sequence: int
    kind: str
    key: str
    state: bytes | None


def bucket_of(kind: str, key: str) -> int:
    """The index of a key's bucket, the same at every member."""
    return blake2b(f"{kind} {key}".encode(), digest_size=1, person=b"leadslip-bucket").digest()[0] % BUCKETS


def record_digest(kind: str, key: str, state: bytes) -> int:
    """The 64-bit digest of one record; a bucket's digest is the XOR of those of its records."""
    encoded = msgspec.msgpack.encode((kind, key, state))
    return int.from_bytes(blake2b(encoded, digest_size=8, person=b"leadslip-record").digest())


class Bucket:
    """The records of one bucket as of a sequence number; a negative number means that its content is unknown."""

    __slots__ = ("sequence", "records", "digest")

    def __init__(self, sequence: int = -1) -> None:
        self.sequence = sequence
        self.records: dict[tuple[str, str], bytes] = {}
        self.digest = 0

    def put(self, kind: str, key: str, state: bytes | None) -> None:
        previous = self.records.pop((kind, key), None)
        if previous is not None:
            self.digest ^= record_digest(kind, key, previous)
        if state is not None:
            self.records[kind, key] = state
            self.digest ^= record_digest(kind, key, state)


class Table:
    """All buckets of one owner's run; `applied` is the number up to which every change has been applied, no gap."""

    def __init__(self, fresh: bool = False) -> None:
        start = 0 if fresh else -1
        self.buckets = [Bucket(start) for _ in range(BUCKETS)]
        self.applied = start

    def apply(self, records: Iterable[Record]) -> bool:
        """Apply consecutive changes of the owner; False at a gap, so that the caller can request what is missing."""
        for record in records:
            if record.sequence <= self.applied:
                continue
            if record.sequence != self.applied + 1:
                return False
            bucket = self.buckets[bucket_of(record.kind, record.key)]
            if record.sequence > bucket.sequence:  # else a full bucket already contains this change
                bucket.put(record.kind, record.key, record.state)
            self.applied = record.sequence
        return True

    def merge(self, index: int, sequence: int, records: Iterable[tuple[str, str, bytes]]) -> bool:
        """Replace a bucket by a full one if that is newer; returns whether it was replaced."""
        bucket = Bucket(sequence)
        # A bucket older than changes already applied is rejected: replacing would lose those of its own keys.
        if sequence <= self.sequence_of(index) or sequence < self.applied:
            return False
        for kind, key, state in records:
            bucket.put(kind, key, state)
        self.buckets[index] = bucket
        return True

    def sequence_of(self, index: int) -> int:
        """The number up to which a bucket is known: its own, or that of the changes applied since."""
        own = self.buckets[index].sequence
        return own if own < 0 else max(own, self.applied)

    def missing_buckets(self) -> list[int]:
        """Indices of the buckets whose content is unknown."""
        return [index for index, bucket in enumerate(self.buckets) if bucket.sequence < 0]

    def start_applying(self) -> None:
        """To be called once no bucket is missing: changes are applied from the oldest bucket's number on."""
        self.applied = max(self.applied, min(bucket.sequence for bucket in self.buckets))

    def is_complete(self) -> bool:
        """Whether every bucket has been received, so that changes can be applied."""
        return self.applied >= 0

    def digests(self) -> list[int]:
        return [bucket.digest for bucket in self.buckets]

    def digest(self) -> int:
        """The digest of the table: equal for tables with the same records."""
        joined = ",".join(f"{bucket.digest:x}" for bucket in self.buckets)
        return int.from_bytes(blake2b(joined.encode(), digest_size=8).digest())

    def get(self, kind: str, key: str) -> bytes | None:
        return self.buckets[bucket_of(kind, key)].records.get((kind, key))

    def all(self, kind: str) -> dict[str, bytes]:
        """The state of every key of a kind."""
        return {
            key: state
            for bucket in self.buckets
            for (record_kind, key), state in bucket.records.items()
            if record_kind == kind
        }

    def __len__(self) -> int:
        return sum(len(bucket.records) for bucket in self.buckets)
