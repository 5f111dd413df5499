"""The fleet's wire: what is signed and what is not, several keys, replay, random cuts and garbage."""

import random
import zlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as some

from leadslip.fleet import wire
from leadslip.fleet.view.members import MOST_FACTS, MOST_NAME, MOST_TEXT, draw_run
from leadslip.fleet.view.rumours import SHORT_SIZE
from leadslip.fleet.view.view import ROOM

fixed = settings(derandomize=True, max_examples=300, deadline=None)
OLD, NEW = b"o" * 32, b"n" * 32
PING = wire.Ping(7, 5 << 60, 6, 9, "127.0.0.1:7946", 3, 11, [wire.Short(1, 1, 0, 2)], [])


def refused(seal, data):
    with pytest.raises(wire.WireError) as fault:
        wire.decode(seal.open(data))
    return str(fault.value)


def test_what_is_signed_comes_back_whole():
    seal = wire.Seal([OLD])
    full = wire.Full(1, 0, 2, 0, "n0", "127.0.0.1:1", "z", facts={"capacity": 5, "version": "0.1"})
    for message in (
        PING,
        wire.Ack(1, 2, 3, 4, 0, 1, 5, full=[full], of=9),
        wire.Gossip(1, 2, 3, [], [full]),
        wire.SyncTable(1, 2, 3, 4, 5, [full] * 3, [1, 2]),
    ):
        assert wire.decode(seal.open(seal.close(wire.encode(message)))) == message


def test_frames_are_deflated_for_those_who_know_it_and_bounded():
    members = [
        wire.Full(i, 0, 0, 0, f"n{i}", f"127.0.0.{i}:7946", facts={"version": "0.1"}) for i in range(99)
    ]
    table = wire.SyncTable(1, 2, 3, 4, 5, members)
    plain, small = wire.frame(table, 1), wire.frame(table, 2)
    assert len(small) < len(plain) / 2
    assert wire.unframe(plain, 1) == wire.unframe(small, 2) == table
    bomb = zlib.compress(bytes(wire.MOST_FRAME + 1))
    for bad, why in ((bomb, "long"), (small + b"x", "long"), (small[:-1], "long"), (plain, "unknown")):
        with pytest.raises(wire.WireError, match=why):
            wire.unframe(bad, 2)


@fixed
@given(some.binary(max_size=200), some.integers(0, 200))
def test_garbage_in_a_frame_is_no_message(data, cut):
    for body in (data, wire.frame(PING, 2)[:cut] + data):
        try:
            assert wire.unframe(body, 2) == PING
        except wire.WireError as fault:
            assert str(fault) in ("unknown", "long")


def test_a_newer_version_is_refused_by_who_speaks_the_older():
    new, former = wire.Seal([OLD]), wire.Seal([OLD], speaks=1)
    assert former.open(new.close(b"x")) == b"x" == new.open(former.close(b"x"))
    assert refused(former, new.close(b"x", 2)) == "version"


def test_a_key_is_replaced_while_the_fleet_runs():
    before, between, after = wire.Seal([OLD]), wire.Seal([NEW, OLD]), wire.Seal([NEW])
    assert between.open(before.close(b"x")) == b"x", "who has both takes the old"
    assert after.open(between.close(b"x")) == b"x", "and signs with the first"
    assert refused(before, after.close(b"x")) == "key"
    for bad in ([], [b"short"], [OLD, OLD]):
        with pytest.raises(ValueError):
            wire.Seal(bad)


@fixed
@given(some.binary(max_size=200))
def test_garbage_is_refused_before_it_is_looked_at(data):
    assert refused(wire.Seal([OLD]), data) in ("short", "version", "key", "mac")


@fixed
@given(some.integers(0, 10_000), some.integers(0, 7), some.integers(0, 200))
def test_a_turned_bit_or_a_cut_is_refused(at, bit, cut):
    seal = wire.Seal([OLD])
    whole = seal.close(wire.encode(PING))
    at %= len(whole)
    spoilt = whole[:at] + bytes((whole[at] ^ 1 << bit,)) + whole[at + 1 :]
    assert refused(seal, spoilt) in ("version", "key", "mac")
    assert refused(seal, whole[: min(cut, len(whole) - 1)]) in ("short", "mac")


@fixed
@given(some.binary(min_size=1, max_size=120))
def test_a_body_that_no_version_knows_is_unknown_and_no_fault(body):
    seal = wire.Seal([OLD])
    try:
        wire.decode(seal.open(seal.close(body)))
    except wire.WireError as fault:
        assert str(fault) == "unknown"


def test_fields_and_kinds_of_later_versions_are_passed_over():
    import msgspec

    told = msgspec.msgpack.decode(wire.encode(PING))
    later = msgspec.msgpack.encode([*told, "a field of later", {"and": "more"}])
    assert wire.decode(later) == PING
    assert (
        refused(wire.Seal([OLD]), wire.Seal([OLD]).close(msgspec.msgpack.encode([99, 1, 2, 3]))) == "unknown"
    )


def test_a_count_is_taken_once_in_whatever_order():
    heard, draw = wire.Heard(most=4), random.Random(1)
    counts = list(range(1, 400))
    draw.shuffle(counts)
    assert all(heard.fresh(1, count) for count in counts)
    assert not any(heard.fresh(1, count) for count in counts)
    assert heard.fresh(1, 400 + wire.WINDOW) and not heard.fresh(1, 400), "too far behind to tell"
    for run in range(2, 50):
        assert heard.fresh(run, 1)
    assert len(heard.newest) == 4


def test_a_datagram_with_as_much_as_it_may_carry_keeps_its_size():
    seal, draw = wire.Seal([OLD]), random.Random(1)
    run = draw_run(draw)
    facts = {f"{i}" * MOST_TEXT: "v" * MOST_TEXT for i in range(MOST_FACTS)}
    biggest = wire.Full(
        run, 0, 2**32 - 1, 2**40, "n" * MOST_NAME, "a" * MOST_NAME, "z" * MOST_NAME, 1, 1, facts
    )
    assert len(wire.encode(biggest)) > ROOM, "such a member goes round by comparisons only"
    short = wire.Short(run, 3, 2**32 - 1, run)
    most = ROOM // SHORT_SIZE
    ping = wire.Ping(2**40, run, run, 2**32 - 1, "a" * MOST_NAME, 4096, 2**64 - 1, [short] * most)
    assert len(seal.close(wire.encode(ping))) <= wire.MOST_DATAGRAM
