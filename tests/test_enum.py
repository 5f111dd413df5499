"""ENUM look-ups: the program against stand-in resolvers that fail in every way they can."""

import socket
import struct
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import settings as fixed
from hypothesis import strategies as some
from twisted.internet.task import Clock
from twisted.names import dns

from leadslip import interface as face
from leadslip.checks import Tally
from leadslip.core import Deadlines, Engine
from leadslip.net import enum
from leadslip.net.links import MessageError
from leadslip.parts.enum import settings as enum_part
from tests.standins import HOST, Program, Resolver, ask, ask_many, query, reply
from tests.test_links import Transport

NAME = b"9.8.7.6.5.4.3.2.1.2.8.e164.arpa"


def good(asked):
    return [reply(asked)]


def silent(asked):
    return []


def truncated(asked):
    return [reply(asked, records=40)] if asked.over_tcp else [reply(asked, records=0, trunc=1)]


def half_closed(asked):
    return [reply(asked)[:20]] if asked.over_tcp else [reply(asked, records=0, trunc=1)]


def lies(asked):
    other = [dns.Query(b"1.e164.arpa", dns.NAPTR)]
    return [reply(asked, id=asked.id ^ 1), reply(asked, queries=other), b"\0" * 5, query(NAME, asked.id)]


def foreign(asked):
    return [reply(asked, owner=b"1.e164.arpa")]


def fails(rcode):
    return lambda asked: [reply(asked, rcode, records=0)]


@pytest.fixture
def start(tmp_path):
    started = []

    def begin(*behaviours, release=True, **changes):
        resolvers = [Resolver(behaviour) for behaviour in behaviours]
        told = {"attempt_ms": 200, "answer_within_ms": 1500} | changes
        lines = [f'listen = "{HOST}:0"', f"resolvers = {[r.address for r in resolvers]}", "enabled = true"]
        lines += [f"{key} = {value}" for key, value in told.items()]
        program = Program(tmp_path, {"s0": f"{HOST}:9"}, release, "\n".join(lines))
        started.append((program, resolvers))
        return program, resolvers

    yield begin
    for program, resolvers in started:
        assert program.stop() == 0, program.log
        for resolver in resolvers:
            resolver.die()


@pytest.mark.parametrize("release", [True, False], ids=["release", "debug"])
def test_an_answer_passes_with_its_records_under_the_askers_id(start, release):
    program, _ = start(good, good, release=release)
    for over_tcp in (False, True):
        answer = ask(program.enum_at, NAME, 77, over_tcp)
        assert (answer.id, answer.answer, answer.rCode) == (77, 1, dns.OK)
        assert answer.answers[0].payload.service == dns.Charstr(b"E2U+sip")
        assert answer.queries[0].name.name == NAME


@pytest.mark.parametrize(
    ("behaviours", "rcode", "tried"),
    [
        ([fails(dns.ENAME)] * 2, dns.ENAME, 1),
        ([fails(dns.OK)] * 2, dns.OK, 1),
        ([fails(dns.ESERVER)] * 2, dns.EREFUSED, 2),
        ([fails(dns.EREFUSED)] * 2, dns.EREFUSED, 2),
        ([silent, silent], dns.EREFUSED, 2),
        ([silent, good], dns.OK, None),
        ([lies, good], dns.OK, None),
        ([foreign, good], dns.OK, None),
        ([half_closed, good], dns.OK, None),
        ([fails(dns.ESERVER), good], dns.OK, None),
    ],
)
def test_every_query_gets_exactly_one_answer_whatever_resolvers_do(start, behaviours, rcode, tried):
    program, resolvers = start(*behaviours)
    # Two in turn, so that either resolver is the first choice of one.
    for id_ in (1, 2):
        answers = ask_many(program.enum_at, [(NAME, id_)], quiet_s=0.3)
        assert [(a.id, a.rCode) for a in answers] == [(id_, rcode)]
    if tried is not None:
        assert sum(len(r.queries) for r in resolvers) == 2 * tried


def test_a_silent_resolver_with_no_time_left_is_a_failure_before_the_asker_gives_up(start):
    program, _ = start(silent, attempt_ms=5000, answer_within_ms=500)
    assert ask(program.enum_at, NAME).rCode == dns.ESERVER


def test_a_truncated_reply_is_fetched_over_tcp_within_the_same_attempt(start):
    program, (resolver,) = start(truncated, attempt_ms=5000, answer_within_ms=6000)
    answer = ask(program.enum_at, NAME, over_tcp=True)
    assert len(answer.answers) == 40
    assert [asked.over_tcp for asked in resolver.queries] == [False, True]
    short = ask(program.enum_at, NAME)
    assert (short.trunc, short.answers) == (1, [])  # too long for this asker's datagram: it asks again by TCP


def test_a_resolver_that_dies_leaves_the_rest_to_the_other(start):
    program, (first, _) = start(good, good)
    assert ask(program.enum_at, NAME).rCode == dns.OK
    first.die()
    for id_ in range(4):
        assert ask(program.enum_at, NAME, id_).rCode == dns.OK


def test_many_at_once_are_each_answered_once(start):
    program, _ = start(good, good)
    asked = [(b"%d.%d.2.8.e164.arpa" % (i // 10, i % 10), i) for i in range(60)]
    answers = ask_many(program.enum_at, asked, quiet_s=0.2)
    assert all(a.rCode == dns.OK for a in answers)
    assert sorted(a.id for a in answers) == list(range(60))


@pytest.mark.parametrize(
    ("data", "rcode"),
    [
        (query(b"example.org"), dns.EREFUSED),
        (query(NAME, type_=dns.A), dns.EREFUSED),
        (query(b"x.2.8.e164.arpa"), dns.EREFUSED),
        (query(NAME)[:2] + b"\x10" + query(NAME)[3:], dns.ENOTIMP),
        (query(NAME)[:20], dns.EFORMAT),
    ],
)
def test_what_is_no_look_up_is_told_so(start, data, rcode):
    program, (resolver,) = start(good)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as link:
        link.settimeout(10)
        link.connect(program.enum_at)
        link.send(data)
        answer = link.recv(512)
    assert answer[:2] == data[:2] and answer[3] & 15 == rcode and answer[2] & 0x80
    assert not resolver.queries


def test_garbage_on_one_connection_closes_that_one_alone(start):
    program, _ = start(good)
    with socket.create_connection(program.enum_at, timeout=10) as link:
        link.sendall(struct.pack("!H", 9) + b"\xff" * 9)
        with pytest.raises(ConnectionResetError):
            if not link.recv(1):
                raise ConnectionResetError
    assert ask(program.enum_at, NAME, over_tcp=True).rCode == dns.OK


class Quiet:
    """A far side that never answers, and a Unix clock that stands where it is put."""

    def __init__(self):
        self.clock, self.tally = Clock(), Tally()
        conf = enum_part.settings({"enabled": True, "listen": "127.0.0.1:1", "resolvers": ["127.0.0.1:2"]})
        self.deadlines = Deadlines(self, self.clock)
        self.front = enum.EnumFront(conf, self.tally, self.deadlines)
        self.front.engine = Engine(
            conf.settings, 1, self, self.deadlines, self, self.tally, str, attempt_ms=400.0
        )
        resolvers = enum.Resolvers(self.clock, conf, self.tally, self.deadlines)
        resolvers.engine = self.front.engine
        (self.resolver,) = resolvers.resolvers.values()

    def now_ms(self):
        return 1e12 + self.clock.seconds() * 1000.0


@fixed(derandomize=True, max_examples=300, deadline=None)
@given(some.binary(max_size=80), some.integers(0, 80), some.integers(0, 255))
def test_garbage_is_told_from_messages_and_never_raises_else(junk, at, byte):
    quiet = Quiet()
    spoilt = bytearray(query(NAME))
    spoilt[at % len(spoilt)] = byte
    for data in (junk, query(NAME)[:at], bytes(spoilt)):
        said = []
        quiet.front.transport = None
        quiet.front.datagramReceived(data, ("127.0.0.1", 9))
        try:
            quiet.front.take(data, said.append, "asker", None)
        except MessageError:
            assert not said
        quiet.resolver.datagramReceived(data, ("127.0.0.1", 2))
        assert len(said) <= 1


def test_half_a_reply_over_tcp_does_not_hold_up_the_replies_after_it():
    quiet, dialled, said = Quiet(), [], []
    resolver = quiet.resolver
    resolver.far.reactor = SimpleNamespace(connectTCP=lambda *told, **more: dialled.append(1))
    resolver.transport = SimpleNamespace(write=lambda data: None)
    quiet.send, quiet.give_up = resolver.send, resolver.drop
    listed = face.ListEntry(resolver.name, 0, face.ServerState.READY)
    quiet.front.engine.news(face.ListNews(face.NewsKind.WHOLE, (listed,)))

    def ask_truncated(name):
        quiet.front.take(query(name), said.append, name, None)
        asked = dns.Message(list(resolver.pending)[-1])
        asked.queries = [dns.Query(name, dns.NAPTR)]
        asked.over_tcp = False
        resolver.datagramReceived(truncated(asked)[0], resolver.address)
        asked.over_tcp = True
        return truncated(asked)[0]

    def up():
        link = enum.ResolverLink(resolver)
        link.makeConnection(Transport())
        return link

    ask_truncated(NAME)
    first = up()
    first.dataReceived(b"\0\x40half")
    quiet.clock.advance(0.3)
    second = ask_truncated(b"9." + NAME)
    quiet.clock.advance(0.11)
    assert first.transport.disconnecting and len(dialled) == 2
    up().dataReceived(struct.pack("!H", len(second)) + second)
    quiet.clock.advance(1.2)
    assert [answer[3] & 15 for answer in said] == [dns.OK, dns.EREFUSED]


@pytest.mark.parametrize(
    ("name", "number"),
    [
        ("4.3.2.1.e164.arpa", "+1234"),
        ("4.3.E164.ARPA", "+34"),
        ("e164.arpa", None),
        ("12.e164.arpa", None),
        ("1." * 16 + "e164.arpa", None),
        ("1.e164.arpa.example", None),
    ],
)
def test_the_number_that_a_name_stands_for(name, number):
    assert enum.number_of(name, "e164.arpa") == number
