"""Wire format of the fleet: authentication, key replacement, replay protection, truncated and random input."""

import random
import zlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from leadslip.fleet import wire
from leadslip.fleet.view.gossip_queue import UPDATE_BYTES
from leadslip.fleet.view.members import MAX_FACT_CHARS, MAX_FACTS, MAX_NAME_CHARS, draw_run
from leadslip.fleet.view.view import GOSSIP_ROOM_BYTES

repeatable = settings(derandomize=True, max_examples=300, deadline=None)
OLD_KEY, NEW_KEY = b"o" * 32, b"n" * 32
PING = wire.Ping(7, 5 << 60, 6, 9, "127.0.0.1:7946", 3, 11, [wire.MemberUpdate(1, 1, 0, 2)], [])


def rejection(authenticator, data):
    """Checks that a message is rejected; returns the reason."""
    with pytest.raises(wire.WireError) as error:
        wire.decode(authenticator.verify(data))
    return str(error.value)


def test_sealed_messages_round_trip():
    authenticator = wire.Authenticator([OLD_KEY])
    record = wire.MemberRecord(
        1, 0, 2, 0, "n0", "127.0.0.1:1", "z", metadata={"capacity": 5, "version": "0.1"}
    )
    for message in (
        PING,
        wire.Ack(1, 2, 3, 4, 0, 1, 5, records=[record], relayed_from=9),
        wire.Gossip(1, 2, 3, [], [record]),
        wire.SyncTable(1, 2, 3, 4, 5, [record] * 3, [1, 2]),
    ):
        assert wire.decode(authenticator.verify(authenticator.sign(wire.encode(message)))) == message


def test_frames_are_compressed_from_version_2_on_and_bounded():
    members = [
        wire.MemberRecord(i, 0, 0, 0, f"n{i}", f"127.0.0.{i}:7946", metadata={"version": "0.1"})
        for i in range(99)
    ]
    table = wire.SyncTable(1, 2, 3, 4, 5, members)
    plain, compressed = wire.encode_frame(table, 1), wire.encode_frame(table, 2)
    assert len(compressed) < len(plain) / 2
    assert wire.decode_frame(plain, 1) == wire.decode_frame(compressed, 2) == table
    bomb = zlib.compress(bytes(wire.MAX_FRAME_BYTES + 1))
    for bad, reason in (
        (bomb, "long"),
        (compressed + b"x", "long"),
        (compressed[:-1], "long"),
        (plain, "unknown"),
    ):
        with pytest.raises(wire.WireError, match=reason):
            wire.decode_frame(bad, 2)


@repeatable
@given(st.binary(max_size=200), st.integers(0, 200))
def test_random_bytes_in_a_frame_are_rejected(data, length):
    for body in (data, wire.encode_frame(PING, 2)[:length] + data):
        try:
            assert wire.decode_frame(body, 2) == PING
        except wire.WireError as error:
            assert str(error) in ("unknown", "long")


def test_a_newer_version_is_rejected_by_a_member_of_an_older_version():
    """A member that does not know the version must not interpret the message; both still use the oldest version."""
    new, previous = wire.Authenticator([OLD_KEY]), wire.Authenticator([OLD_KEY], max_version=1)
    assert previous.verify(new.sign(b"x")) == b"x" == new.verify(previous.sign(b"x"))
    assert rejection(previous, new.sign(b"x", 2)) == "version"


def test_a_key_can_be_replaced_while_the_fleet_runs():
    old_only, both, new_only = (
        wire.Authenticator([OLD_KEY]),
        wire.Authenticator([NEW_KEY, OLD_KEY]),
        wire.Authenticator([NEW_KEY]),
    )
    assert both.verify(old_only.sign(b"x")) == b"x", "a member with both keys accepts the old one"
    assert new_only.verify(both.sign(b"x")) == b"x", "a member with both keys signs with the first"
    assert rejection(old_only, new_only.sign(b"x")) == "key"
    for invalid_keys in ([], [b"short"], [OLD_KEY, OLD_KEY]):
        with pytest.raises(ValueError):
            wire.Authenticator(invalid_keys)


@repeatable
@given(st.binary(max_size=200))
def test_random_bytes_are_rejected_before_they_are_parsed(data):
    assert rejection(wire.Authenticator([OLD_KEY]), data) in ("short", "version", "key", "mac")


@repeatable
@given(st.integers(0, 10_000), st.integers(0, 7), st.integers(0, 200))
def test_a_flipped_bit_or_a_truncated_message_is_rejected(position, bit, length):
    authenticator = wire.Authenticator([OLD_KEY])
    signed = authenticator.sign(wire.encode(PING))
    position %= len(signed)
    corrupted = signed[:position] + bytes((signed[position] ^ 1 << bit,)) + signed[position + 1 :]
    assert rejection(authenticator, corrupted) in ("version", "key", "mac")
    assert rejection(authenticator, signed[: min(length, len(signed) - 1)]) in ("short", "mac")


@repeatable
@given(st.binary(min_size=1, max_size=120))
def test_a_body_of_no_known_type_is_rejected_as_unknown(body):
    authenticator = wire.Authenticator([OLD_KEY])
    try:
        wire.decode(authenticator.verify(authenticator.sign(body)))
    except wire.WireError as error:
        assert str(error) == "unknown"


def test_fields_and_message_types_of_later_versions_are_ignored():
    import msgspec

    fields = msgspec.msgpack.decode(wire.encode(PING))
    later = msgspec.msgpack.encode([*fields, "a field of a later version", {"and": "more"}])
    assert wire.decode(later) == PING
    assert (
        rejection(
            wire.Authenticator([OLD_KEY]),
            wire.Authenticator([OLD_KEY]).sign(msgspec.msgpack.encode([99, 1, 2, 3])),
        )
        == "unknown"
    )


def test_a_sequence_number_is_accepted_once_in_any_order():
    """Guards against replayed messages, and against the rejection of messages that the network has reordered."""
    replay_filter, rng = wire.ReplayFilter(max_senders=4), random.Random(1)
    sequence_numbers = list(range(1, 400))
    rng.shuffle(sequence_numbers)
    assert all(replay_filter.accept(1, number) for number in sequence_numbers)
    assert not any(replay_filter.accept(1, number) for number in sequence_numbers)
    assert replay_filter.accept(1, 400 + wire.REPLAY_WINDOW) and not replay_filter.accept(1, 400), (
        "a number behind the window is rejected"
    )
    for run in range(2, 50):
        assert replay_filter.accept(run, 1)
    assert len(replay_filter.senders) == 4


def test_a_full_datagram_keeps_within_the_size_limit():
    """Else a ping with the longest fields and as many updates as fit would be dropped by the receiver."""
    authenticator, rng = wire.Authenticator([OLD_KEY]), random.Random(1)
    run = draw_run(rng)
    metadata = {f"{i}" * MAX_FACT_CHARS: "v" * MAX_FACT_CHARS for i in range(MAX_FACTS)}
    largest = wire.MemberRecord(
        run,
        0,
        2**32 - 1,
        2**40,
        "n" * MAX_NAME_CHARS,
        "a" * MAX_NAME_CHARS,
        "z" * MAX_NAME_CHARS,
        1,
        1,
        metadata,
    )
    assert len(wire.encode(largest)) > GOSSIP_ROOM_BYTES, "such a record is distributed by syncs only"
    update = wire.MemberUpdate(run, 3, 2**32 - 1, run)
    max_updates = GOSSIP_ROOM_BYTES // UPDATE_BYTES
    ping = wire.Ping(
        2**40, run, run, 2**32 - 1, "a" * MAX_NAME_CHARS, 4096, 2**64 - 1, [update] * max_updates
    )
    assert len(authenticator.sign(wire.encode(ping))) <= wire.MAX_DATAGRAM_BYTES
