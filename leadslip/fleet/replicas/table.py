"""Replicated table of one owner: records in hash buckets, each bucket with a sequence number. Pure, without I/O.

An owner is one process and the only writer of its table, across all its generations. It numbers its changes from 1
without gaps, so the table at a given sequence number is the same at every holder. If replicas of a bucket differ, the
one with the greater sequence number is kept, and it is complete: a key that is absent from it has been deleted. An
ended call therefore needs no tombstone: it is absent from every version of its bucket as of its end or later, and an
older version never replaces a newer one.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

import msgspec

BUCKETS = 64


class Record(msgspec.Struct, array_like=True, frozen=True):
    """One change, with its sequence number: the new state of a key of some kind; a state of None deletes the key."""

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
    """The records of one bucket as of a sequence number; with a negative one, its content is unknown."""

    __slots__ = ("sequence", "records", "digest")

    def __init__(self, sequence: int = -1) -> None:
        self.sequence = sequence
        self.records: dict[tuple[str, str], bytes] = {}
        self.digest = 0

    def put(self, kind: str, key: str, state: bytes | None) -> None:
        """Set the state of a key, or delete the key if the state is None, and update the digest."""
        previous = self.records.pop((kind, key), None)
        if previous is not None:
            self.digest ^= record_digest(kind, key, previous)
        if state is not None:
            self.records[kind, key] = state
            self.digest ^= record_digest(kind, key, state)


class Table:
    """All buckets of one owner; every change up to sequence number `applied` has been applied.

    `applied` is negative until every bucket has been received once. A `fresh` table is known to be empty, as that of an
    owner that starts; the content of any other table is unknown at first.
    """

    def __init__(self, fresh: bool = False) -> None:
        start = 0 if fresh else -1
        self.buckets = [Bucket(start) for _ in range(BUCKETS)]
        self.applied = start

    def apply(self, records: Iterable[Record]) -> bool:
        """Apply consecutive changes of the owner; at a gap, returns False and ignores the rest.

        Changes that have been applied already are skipped.
        """
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
        # A bucket older than the changes already applied is rejected: replacing it would undo those of its own keys.
        if sequence <= self.sequence_of(index) or sequence < self.applied:
            return False
        for kind, key, state in records:
            bucket.put(kind, key, state)
        self.buckets[index] = bucket
        return True

    def sequence_of(self, index: int) -> int:
        """The sequence number up to which a bucket is known, given the changes applied since; negative if unknown."""
        bucket_sequence = self.buckets[index].sequence
        return bucket_sequence if bucket_sequence < 0 else max(bucket_sequence, self.applied)

    def missing_buckets(self) -> list[int]:
        """Indices of the buckets whose content is unknown."""
        return [index for index, bucket in enumerate(self.buckets) if bucket.sequence < 0]

    def start_applying(self) -> None:
        """To be called once no bucket is missing: changes after the oldest bucket's sequence number can be applied."""
        self.applied = max(self.applied, min(bucket.sequence for bucket in self.buckets))

    def is_complete(self) -> bool:
        """Whether every bucket has been received, so that changes can be applied."""
        return self.applied >= 0

    def digests(self) -> list[int]:
        """The digest of each bucket."""
        return [bucket.digest for bucket in self.buckets]

    def digest(self) -> int:
        """The digest of the table: equal for tables with the same records."""
        joined = ",".join(f"{bucket.digest:x}" for bucket in self.buckets)
        return int.from_bytes(blake2b(joined.encode(), digest_size=8).digest())

    def get(self, kind: str, key: str) -> bytes | None:
        """The state of a key, or None if it has none."""
        return self.buckets[bucket_of(kind, key)].records.get((kind, key))

    def states_of(self, kind: str) -> dict[str, bytes]:
        """The state of every key of a kind."""
        return {
            key: state
            for bucket in self.buckets
            for (record_kind, key), state in bucket.records.items()
            if record_kind == kind
        }

    def __len__(self) -> int:
        return sum(len(bucket.records) for bucket in self.buckets)
