"""Wire format of the fleet: authentication, key replacement, replay protection, truncated and random input."""

import random
import zlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from leadslip.fleet import wire
from leadslip.fleet.view.members import MAX_FACT_CHARS, MAX_FACTS, MAX_NAME_CHARS, draw_run
from leadslip.fleet.view.rumours import UPDATE_BYTES
from leadslip.fleet.view.view import GOSSIP_ROOM_BYTES

fixed = settings(derandomize=True, max_examples=300, deadline=None)
OLD_KEY, NEW_KEY = b"o" * 32, b"n" * 32
PING = wire.Ping(7, 5 << 60, 6, 9, "127.0.0.1:7946", 3, 11, [wire.Short(1, 1, 0, 2)], [])


def rejection(seal, data):
    with pytest.raises(wire.WireError) as error:
        wire.decode(seal.open(data))
    return str(error.value)


def test_sealed_messages_round_trip():
    seal = wire.Seal([OLD_KEY])
    record = wire.Full(1, 0, 2, 0, "n0", "127.0.0.1:1", "z", facts={"capacity": 5, "version": "0.1"})
    for message in (
        PING,
        wire.Ack(1, 2, 3, 4, 0, 1, 5, full=[record], relayed_from=9),
        wire.Gossip(1, 2, 3, [], [record]),
        wire.SyncTable(1, 2, 3, 4, 5, [record] * 3, [1, 2]),
    ):
        assert wire.decode(seal.open(seal.close(wire.encode(message)))) == message


def test_frames_are_compressed_from_version_2_on_and_bounded():
    members = [
        wire.Full(i, 0, 0, 0, f"n{i}", f"127.0.0.{i}:7946", facts={"version": "0.1"}) for i in range(99)
    ]
    table = wire.SyncTable(1, 2, 3, 4, 5, members)
    plain, compressed = wire.frame(table, 1), wire.frame(table, 2)
    assert len(compressed) < len(plain) / 2
    assert wire.unframe(plain, 1) == wire.unframe(compressed, 2) == table
    bomb = zlib.compress(bytes(wire.MOST_FRAME + 1))
    for bad, reason in (
        (bomb, "long"),
        (compressed + b"x", "long"),
        (compressed[:-1], "long"),
        (plain, "unknown"),
    ):
        with pytest.raises(wire.WireError, match=reason):
            wire.unframe(bad, 2)


@fixed
@given(st.binary(max_size=200), st.integers(0, 200))
def test_random_bytes_in_a_frame_are_rejected(data, length):
    for body in (data, wire.frame(PING, 2)[:length] + data):
        try:
            assert wire.unframe(body, 2) == PING
        except wire.WireError as error:
            assert str(error) in ("unknown", "long")


def test_a_newer_version_is_rejected_by_a_member_of_an_older():
    new, previous = wire.Seal([OLD_KEY]), wire.Seal([OLD_KEY], speaks=1)
    assert previous.open(new.close(b"x")) == b"x" == new.open(previous.close(b"x"))
    assert rejection(previous, new.close(b"x", 2)) == "version"


def test_a_key_can_be_replaced_while_the_fleet_runs():
    before, between, after = wire.Seal([OLD_KEY]), wire.Seal([NEW_KEY, OLD_KEY]), wire.Seal([NEW_KEY])
    assert between.open(before.close(b"x")) == b"x", "a member with both keys accepts the old one"
    assert after.open(between.close(b"x")) == b"x", "and signs with the first"
    assert rejection(before, after.close(b"x")) == "key"
    for bad in ([], [b"short"], [OLD_KEY, OLD_KEY]):
        with pytest.raises(ValueError):
            wire.Seal(bad)


@fixed
@given(st.binary(max_size=200))
def test_random_bytes_are_rejected_before_they_are_parsed(data):
    assert rejection(wire.Seal([OLD_KEY]), data) in ("short", "version", "key", "mac")


@fixed
@given(st.integers(0, 10_000), st.integers(0, 7), st.integers(0, 200))
def test_a_flipped_bit_or_a_truncated_message_is_rejected(position, bit, length):
    seal = wire.Seal([OLD_KEY])
    sealed = seal.close(wire.encode(PING))
    position %= len(sealed)
    corrupted = sealed[:position] + bytes((sealed[position] ^ 1 << bit,)) + sealed[position + 1 :]
    assert rejection(seal, corrupted) in ("version", "key", "mac")
    assert rejection(seal, sealed[: min(length, len(sealed) - 1)]) in ("short", "mac")


@fixed
@given(st.binary(min_size=1, max_size=120))
def test_a_body_of_no_known_type_is_rejected_as_unknown(body):
    seal = wire.Seal([OLD_KEY])
    try:
        wire.decode(seal.open(seal.close(body)))
    except wire.WireError as error:
        assert str(error) == "unknown"


def test_fields_and_message_types_of_later_versions_are_ignored():
    import msgspec

    fields = msgspec.msgpack.decode(wire.encode(PING))
    later = msgspec.msgpack.encode([*fields, "a field of a later version", {"and": "more"}])
    assert wire.decode(later) == PING
    assert (
        rejection(wire.Seal([OLD_KEY]), wire.Seal([OLD_KEY]).close(msgspec.msgpack.encode([99, 1, 2, 3])))
        == "unknown"
    )


def test_a_sequence_number_is_accepted_once_in_any_order():
    replay_filter, draw = wire.ReplayFilter(max_senders=4), random.Random(1)
    sequence_numbers = list(range(1, 400))
    draw.shuffle(sequence_numbers)
    assert all(replay_filter.fresh(1, number) for number in sequence_numbers)
    assert not any(replay_filter.fresh(1, number) for number in sequence_numbers)
    assert replay_filter.fresh(1, 400 + wire.REPLAY_WINDOW) and not replay_filter.fresh(1, 400), (
        "a number behind the window is rejected"
    )
    for run in range(2, 50):
        assert replay_filter.fresh(run, 1)
    assert len(replay_filter.senders) == 4


def test_a_full_datagram_keeps_within_the_size_limit():
    seal, draw = wire.Seal([OLD_KEY]), random.Random(1)
    run = draw_run(draw)
    facts = {f"{i}" * MAX_FACT_CHARS: "v" * MAX_FACT_CHARS for i in range(MAX_FACTS)}
    largest = wire.Full(
        run,
        0,
        2**32 - 1,
        2**40,
        "n" * MAX_NAME_CHARS,
        "a" * MAX_NAME_CHARS,
        "z" * MAX_NAME_CHARS,
        1,
        1,
        facts,
    )
    assert len(wire.encode(largest)) > GOSSIP_ROOM_BYTES, "such a record is distributed by syncs only"
    update = wire.Short(run, 3, 2**32 - 1, run)
    max_updates = GOSSIP_ROOM_BYTES // UPDATE_BYTES
    ping = wire.Ping(
        2**40, run, run, 2**32 - 1, "a" * MAX_NAME_CHARS, 4096, 2**64 - 1, [update] * max_updates
    )
    assert len(seal.close(wire.encode(ping))) <= wire.MOST_DATAGRAM
