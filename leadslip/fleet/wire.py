"""Wire format of the fleet's messages: structs, codec, authentication and replay protection. Pure, no I/O.

A signed message is authenticated, not encrypted. It consists of

    version (1 byte) | key id (1 byte) | MAC (16 bytes) | body

The MAC is BLAKE2b over version, key id and body, keyed with the fleet's key. The body is MessagePack of one of the
structs below, encoded as an array whose first element is the message type. New fields may be appended to an array and
new message types may be added: a receiver ignores fields and drops types that it does not know. The key id is one byte
of the key's own hash, so that a key can be replaced while the fleet runs: messages signed with any configured key are
accepted, and the first key signs. Datagrams are limited to `MAX_DATAGRAM_BYTES` bytes, frames over TCP to
`MAX_FRAME_BYTES`.

Versions: the version byte selects the format of everything after it. Two members use the newest version that both
support; a member that is not known yet is addressed in the oldest. Version 2 added the edition of a member's metadata,
compressed the frames over TCP and shortened the bucket digests in them. Version 3 added `PartMessage` and
`Ack.freshness`.

Runs and replay protection: a run identifies one process from its start on (view/members.py). A message names the run
that it is addressed to and carries a sequence number that its sender uses once. A message recorded before the receiver
started is addressed to another run; one that was received before is recognised by its sequence number
(`ReplayFilter`).
"""

from __future__ import annotations

import hmac
import itertools
import zlib
from collections import OrderedDict
from collections.abc import Sequence
from hashlib import blake2b

import msgspec

from leadslip.errors import OperatorError

VERSION = 3  # newest supported version; the oldest is MIN_VERSION
MIN_VERSION = 1
MAC_SIZE = 16
AUTH_HEADER_BYTES = 2 + MAC_SIZE  # of a signed message before its body: version, key id and MAC
MAX_DATAGRAM_BYTES = 1200
DIGEST_MASK = (1 << 32) - 1  # from version 2 on, bucket digests are sent as their low 32 bits
MAX_FRAME_BYTES = 1 << 22
REPLAY_WINDOW = 1024  # sequence numbers behind a sender's newest that are still accepted, once each
MAX_SENDERS = 8192  # senders whose sequence numbers are remembered


class KeysError(OperatorError, ValueError):
    """The fleet keys can't be used together."""

    code, status = "fleet.keys", 400
    action = (
        "Put keys of 16 to 64 bytes into the key file, one per line in hex; "
        "if two have the same key id, replace one of them."
    )


class WireError(Exception):
    """A received message is rejected; the text is the reason, used as the suffix of a counter: `fleet.refused.mac`."""


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """State of a member, without its address and metadata; a receiver that does not know the member ignores it.

    `state` is a `State`. The member itself raises `incarnation` to refute a suspicion. `suspected_by` is the run that
    suspects the member (0: none).
    """

    run: int
    state: int
    incarnation: int
    suspected_by: int = 0


class MemberRecord(msgspec.Struct, array_like=True, frozen=True):
    """Complete record of a member; `age_ms` is how long ago it died or left (0 while it is live).

    `metadata` is what the member publishes about itself, and `edition` counts its changes; a member of wire
    version 1 sends no edition.
    """

    run: int
    state: int
    incarnation: int
    age_ms: int
    name: str
    address: str
    zone: str = ""
    min_version: int = MIN_VERSION
    max_version: int = VERSION
    metadata: dict[str, str | int] = {}
    edition: int = 0


class Message(msgspec.Struct, array_like=True, frozen=True):
    """Common header: sequence number, sender's run, and receiver's run (0: any process at the address)."""

    sequence_number: int
    sender_run: int
    receiver_run: int


class Ping(Message, tag=1, frozen=True):
    """Probe of a member; the answer repeats `seq` and goes to `address`, as the sender may not be known yet.

    `live_count` and `digest` are the number and the digest of the live members in the sender's view.
    """

    seq: int
    address: str
    live_count: int
    digest: int
    updates: list[MemberUpdate] = []
    records: list[MemberRecord] = []


class Ack(Message, tag=2, frozen=True):
    """Answer to a ping; `status` is the receiver's state in the sender's table (a `State`, or 4: unknown)."""

    seq: int
    status: int
    live_count: int
    digest: int
    updates: list[MemberUpdate] = []
    records: list[MemberRecord] = []
    relayed_from: int = 0  # run whose answer this relays; 0: the sender's own answer
    # Newest revision of the agreed settings that the sender knows, how many ms ago it was known to be the newest, and
    # a checksum of its contents; empty: the sender knows none.
    freshness: list[int] = []


class PingRequest(Message, tag=3, frozen=True):
    """Asks the receiver to ping `target` for the sender and to relay the answer to `address` (SWIM's ping-req)."""

    seq: int
    address: str
    target: int
    target_address: str


class Nack(Message, tag=4, frozen=True):
    """Sent by a relay whose target has not answered yet, to show that the relay itself works.

    `relay` is the run of the member that last relayed an answer of the target to the sender (0: none); it can be asked
    instead.
    """

    seq: int
    relay: int = 0


class Gossip(Message, tag=5, frozen=True):
    """Updates that are not piggybacked on a probe; not answered."""

    updates: list[MemberUpdate] = []
    records: list[MemberRecord] = []


class Hello(Message, tag=6, frozen=True):
    """First message on a connection, sent by the accepting side; all messages to that side must repeat its token."""

    token: int


class SyncRequest(Message, tag=7, frozen=True):
    """Starts a sync: the initiator's bucket digests (64 bits to a version 1 member, else 32) and own record.

    `token` repeats that of the `Hello`; the answer must repeat `reply_token`.
    """

    token: int
    reply_token: int
    buckets: list[int]
    sender: MemberRecord


class SyncTable(Message, tag=8, frozen=True):
    """Members of the buckets whose digests differ; the initiator returns those for which it has newer records."""

    token: int
    reply_token: int
    members: list[MemberRecord]
    differing_buckets: list[int] = []


class PartMessage(Message, tag=9, frozen=True):
    """A message of another part, sent over the fleet transport in `body`.

    `token` repeats that of the `Hello` on a connection and is 0 in a datagram.
    """

    token: int
    part: str
    body: bytes


AnyMessage = Ping | Ack | PingRequest | Nack | Gossip | Hello | SyncRequest | SyncTable | PartMessage

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(AnyMessage)


def encode(message: AnyMessage) -> bytes:
    """Encodes a message as a body."""
    return _encoder.encode(message)


def decode(body: bytes | memoryview) -> AnyMessage:
    """Decodes a body; raises WireError("unknown") if it is not a message of a known type and layout."""
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise WireError("unknown") from error


class Authenticator:
    """Signs messages with the first key and verifies them with any, for versions up to `max_version`.

    Raises KeysError if there is no key, if one is shorter than 16 bytes, or if two have the same key id. Of longer keys
    the first 64 bytes are used.
    """

    def __init__(self, keys: Sequence[bytes], max_version: int = VERSION) -> None:
        self.max_version = max_version
        if not keys or any(len(key) < 16 for key in keys):
            raise KeysError("the fleet needs at least one key, and each key must have at least 16 bytes")
        self.keys_by_id: dict[int, bytes] = {}
        for key in keys:
            key_id = blake2b(key, digest_size=1, person=b"leadslip-mark").digest()[0]
            if key_id in self.keys_by_id:
                raise KeysError(f"two fleet keys have the same key id {key_id}, a byte of the key's hash")
            self.keys_by_id[key_id] = key[:64]
        self.key_id = next(iter(self.keys_by_id))
        self.headers = [bytes((version, self.key_id)) for version in range(VERSION + 1)]  # by version

    def sign(self, body: bytes, version: int = MIN_VERSION) -> bytes:
        """Returns the signed message with this body, for a receiver of this version."""
        header = self.headers[version]
        return (
            header
            + blake2b(header + body, digest_size=MAC_SIZE, key=self.keys_by_id[self.key_id]).digest()
            + body
        )

    def verify(self, data: bytes) -> bytes:
        """Verifies a signed message and returns its body.

        Raises WireError with the reason short, version, key or mac. The body is returned unparsed, and only if the MAC
        is correct.
        """
        if len(data) <= AUTH_HEADER_BYTES:
            raise WireError("short")
        if not MIN_VERSION <= data[0] <= self.max_version:
            raise WireError("version")
        key = self.keys_by_id.get(data[1])
        if key is None:
            raise WireError("key")
        body = data[AUTH_HEADER_BYTES:]
        expected_mac = blake2b(data[:2] + body, digest_size=MAC_SIZE, key=key).digest()
        if not hmac.compare_digest(expected_mac, data[2:AUTH_HEADER_BYTES]):
            raise WireError("mac")
        return body


def encode_frame(message: AnyMessage, version: int) -> bytes:
    """Encodes a message for TCP; compressed from version 2 on, as the records of a fleet's members are very similar."""
    body = encode(message)
    return zlib.compress(body, 1) if version >= 2 else body


def decode_frame(body: bytes, version: int) -> AnyMessage:
    """Decodes the body of a frame of this version.

    Raises WireError with the reason unknown (not compressed, or no known message) or long (truncated, followed by other
    bytes, or larger than the limit when decompressed).
    """
    if version < 2:
        return decode(body)
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(body, MAX_FRAME_BYTES)
    except zlib.error as error:
        raise WireError("unknown") from error
    if not decompressor.eof or decompressor.unused_data:
        raise WireError("long")
    return decode(decompressed)


class ReplayFilter:
    """Accepts each sequence number of a sender once, and none `REPLAY_WINDOW` or more behind the sender's newest.

    Memory is bounded by `max_senders`; the sender heard from least recently is evicted.
    """

    def __init__(self, max_senders: int = MAX_SENDERS) -> None:
        self.max_senders = max_senders
        self.senders: OrderedDict[int, list[int]] = (
            OrderedDict()
        )  # run -> [newest sequence number, bitmap of those received: bit n is the number n behind the newest]

    def accept(self, run: int, sequence_number: int) -> bool:
        """Records a sequence number of a sender as received; returns whether it is new and within the window."""
        entry = self.senders.get(run)
        if entry is None:
            self.senders[run] = [sequence_number, 1]
            if len(self.senders) > self.max_senders:
                self.senders.popitem(last=False)
            return True
        self.senders.move_to_end(run)
        newest, received = entry
        if sequence_number > newest:
            entry[0], entry[1] = (
                sequence_number,
                ((received << min(sequence_number - newest, REPLAY_WINDOW)) | 1) & ((1 << REPLAY_WINDOW) - 1),
            )
            return True
        behind = newest - sequence_number
        if behind >= REPLAY_WINDOW or received >> behind & 1:
            return False
        entry[1] = received | 1 << behind
        return True


def message_counter() -> itertools.count:
    """Generates the sequence numbers of one sender; a restarted process begins again at 1, under another run."""
    return itertools.count(1)
