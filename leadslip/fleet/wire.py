"""What members of a fleet say to each other: messages, their codec, authentication, replay. No I/O.

A sealed message is

    version:1 key:1 mac:16 body       mac = BLAKE2b of version, key and body, keyed with the fleet's key

and the body is MessagePack of one of the structs below, as an array that begins with the kind. Fields may be added at
the end of an array and kinds may be added: both are passed over by who does not know them. `key` tells which of
several keys it is (a byte of the key's own hash), so that a key is replaced while the fleet runs: all listed keys are
taken, the first signs. Datagrams hold at most `MOST_DATAGRAM` bytes, frames over TCP `MOST_FRAME`.

Versions: what follows the version byte is read by the rules of that version. Two members speak the newest that both
know; who is not known yet is spoken to in the oldest. 2 added the edition of a member's facts to 1, and deflates
frames and shortens the digests in them. 3 added `Carried`, and what an answer vouches for.

Replay: a message names the run it is for and carries a count that its sender uses once. What was recorded before a
receiver's start is for another run; what was heard before is known by its count (`Heard`).
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

VERSION = 3  # the newest that this program speaks; the oldest is LEAST
LEAST = 1
MAC_SIZE = 16
SEAL_SIZE = 2 + MAC_SIZE
MOST_DATAGRAM = 1200
MARK = (1 << 32) - 1  # of a digest of part of the table, what goes on the wire from version 2 on
MOST_FRAME = 1 << 22
WINDOW = 1024  # counts behind a sender's newest that are still taken, once
MOST_SENDERS = 8192  # senders whose counts are remembered


class KeysError(OperatorError, ValueError):
    """The keys of the fleet can't be used together."""

    code, status = "fleet.keys", 400
    action = "Write keys of 16 to 64 bytes into the key file, each on a line; replace the one that is named."


class WireError(Exception):
    """What arrived is not taken; the text is a short name for a counter."""


class Short(msgspec.Struct, array_like=True, frozen=True):
    """News of a member that the hearer may know: its run, state, incarnation, and who accuses it (0: nobody)."""

    run: int
    state: int
    incarnation: int
    by: int = 0


class Full(msgspec.Struct, array_like=True, frozen=True):
    """A member whole; `age_ms` tells how long it has been dead or left (0 while it is neither).

    `edition` counts how often the member has changed its facts; a member of wire version 1 tells none.
    """

    run: int
    state: int
    incarnation: int
    age_ms: int
    name: str
    address: str
    zone: str = ""
    least: int = LEAST
    most: int = VERSION
    facts: dict[str, str | int] = {}
    edition: int = 0


class Message(msgspec.Struct, array_like=True, frozen=True):
    """What every message begins with: its count, who says it, for which run (0: whoever is there)."""

    count: int
    run: int
    to: int


class Ping(Message, tag=1, frozen=True):
    """Are you there? The answer goes to `address`, as the sender may not be known yet.

    `live` and `digest` tell how many live in the sender's view, and which.
    """

    seq: int
    address: str
    live: int
    digest: int
    news: list[Short] = []
    full: list[Full] = []


class Ack(Message, tag=2, frozen=True):
    """I am; and you are in `standing` with me (a State, or 4: not known)."""

    seq: int
    standing: int
    live: int
    digest: int
    news: list[Short] = []
    full: list[Full] = []
    of: int = 0  # whose answer this passes on; 0: the sender's own
    vouched: list[int] = []  # the newest revision known, its age in ms, a mark of its contents; empty: none


class AskPing(Message, tag=3, frozen=True):
    """Ping another for me, and pass its answer on."""

    seq: int
    address: str
    target: int
    target_address: str


class Nack(Message, tag=4, frozen=True):
    """I work, but the one I pinged for you has not answered so far; I reach it through `via` (0: through nobody)."""

    seq: int
    via: int = 0


class Gossip(Message, tag=5, frozen=True):
    """News alone; wants no answer."""

    news: list[Short] = []
    full: list[Full] = []


class Hello(Message, tag=6, frozen=True):
    """The taker of a connection begins: its token, which what follows has to repeat."""

    token: int


class SyncAsk(Message, tag=7, frozen=True):
    """Compare: the caller's digests by bucket (64 bits to a member of version 1, else 32), and itself."""

    token: int
    mine: int
    buckets: list[int]
    me: Full


class SyncTable(Message, tag=8, frozen=True):
    """The members of buckets that differ; `more` asks for those that the hearer knows better."""

    token: int
    mine: int
    members: list[Full]
    differ: list[int] = []


class Carried(Message, tag=9, frozen=True):
    """A message of another part of the fleet, whole in `body`; `token` is 0 in a datagram."""

    token: int
    part: str
    body: bytes


Any = Ping | Ack | AskPing | Nack | Gossip | Hello | SyncAsk | SyncTable | Carried

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Any)


def encode(message: Any) -> bytes:
    """The body of a message."""
    return _encoder.encode(message)


def decode(body: bytes | memoryview) -> Any:
    """The message in a body; raises WireError("unknown") for a kind or shape that this version does not know."""
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as fault:
        raise WireError("unknown") from fault


class Seal:
    """Signs with the first key and takes any of them, in versions up to `speaks`.

    A key is at least 16 bytes; raises KeysError for a shorter one, for none, and for two that share their mark.
    """

    def __init__(self, keys: Sequence[bytes], speaks: int = VERSION) -> None:
        self.speaks = speaks
        if not keys or any(len(key) < 16 for key in keys):
            raise KeysError("a key of the fleet holds at least 16 bytes")
        self.keys: dict[int, bytes] = {}
        for key in keys:
            mark = blake2b(key, digest_size=1, person=b"leadslip-mark").digest()[0]
            if mark in self.keys:
                raise KeysError("two keys of the fleet share a mark: replace one of them")
            self.keys[mark] = key[:64]
        self.mark = next(iter(self.keys))
        self.heads = [bytes((version, self.mark)) for version in range(VERSION + 1)]

    def close(self, body: bytes, version: int = LEAST) -> bytes:
        """A body, sealed, for one who speaks this version."""
        head = self.heads[version]
        return head + blake2b(head + body, digest_size=MAC_SIZE, key=self.keys[self.mark]).digest() + body

    def open(self, data: bytes) -> bytes:
        """The body of a sealed message.

        Raises WireError: short, version, key or mac. Nothing of the body is looked at before the mac is right.
        """
        if len(data) <= SEAL_SIZE:
            raise WireError("short")
        if not LEAST <= data[0] <= self.speaks:
            raise WireError("version")
        key = self.keys.get(data[1])
        if key is None:
            raise WireError("key")
        body = data[SEAL_SIZE:]
        told = blake2b(data[:2] + body, digest_size=MAC_SIZE, key=key).digest()
        if not hmac.compare_digest(told, data[2:SEAL_SIZE]):
            raise WireError("mac")
        return body


def frame(message: Any, version: int) -> bytes:
    """The body of a message over TCP: deflated from version 2 on, as members of one fleet are much alike."""
    body = encode(message)
    return zlib.compress(body, 1) if version >= 2 else body


def unframe(body: bytes, version: int) -> Any:
    """The message in the body of a frame of this version; raises WireError: unknown, long."""
    if version < 2:
        return decode(body)
    inflate = zlib.decompressobj()
    try:
        plain = inflate.decompress(body, MOST_FRAME)
    except zlib.error as fault:
        raise WireError("unknown") from fault
    if not inflate.eof or inflate.unused_data:
        raise WireError("long")
    return decode(plain)


class Heard:
    """The counts heard of each sender: each is taken once, and none from far behind the newest.

    Memory is bounded by `most` senders; of the one heard least lately the counts are forgotten.
    """

    def __init__(self, most: int = MOST_SENDERS) -> None:
        self.most = most
        self.newest: OrderedDict[int, list[int]] = (
            OrderedDict()
        )  # run -> [newest count, bits of those behind]

    def fresh(self, run: int, count: int) -> bool:
        """Whether a count of this sender is new; it is not from now on."""
        held = self.newest.get(run)
        if held is None:
            self.newest[run] = [count, 1]
            if len(self.newest) > self.most:
                self.newest.popitem(last=False)
            return True
        self.newest.move_to_end(run)
        newest, bits = held
        if count > newest:
            held[0], held[1] = count, ((bits << min(count - newest, WINDOW)) | 1) & ((1 << WINDOW) - 1)
            return True
        behind = newest - count
        if behind >= WINDOW or bits >> behind & 1:
            return False
        held[1] = bits | 1 << behind
        return True


def counts() -> itertools.count:
    """The counts of one sender; a new run begins anew."""
    return itertools.count(1)
