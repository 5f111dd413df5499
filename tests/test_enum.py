"""ENUM look-ups: the proxy against stand-in resolvers that reply, fail or stay silent in different ways."""

import socket
import struct
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from twisted.internet.task import Clock
from twisted.names import dns

from leadslip import interface
from leadslip.core import Deadlines, Engine
from leadslip.metrics import Metrics
from leadslip.net import enum
from leadslip.net.connections import MessageError
from leadslip.parts.enum import settings as enum_settings
from tests.standins import HOST, Program, Resolver, query, query_enum, query_enum_many, reply
from tests.test_links import Transport

NAME = b"9.8.7.6.5.4.3.2.1.2.8.e164.arpa"

# Behaviours of a stand-in resolver: each returns the messages that it sends when it has received a query.


def replies(received):
    return [reply(received)]


def silent(received):
    return []


def truncated(received):
    return [reply(received, records=40)] if received.over_tcp else [reply(received, records=0, trunc=1)]


def half_reply(received):
    """Truncated over UDP, and never finished over TCP."""
    return [reply(received)[:20]] if received.over_tcp else [reply(received, records=0, trunc=1)]


def spoofed(received):
    """What a third party may send: a wrong id, another question, a malformed message, and a query."""
    other_question = [dns.Query(b"1.e164.arpa", dns.NAPTR)]
    return [
        reply(received, id=received.id ^ 1),
        reply(received, queries=other_question),
        b"\0" * 5,
        query(NAME, received.id),
    ]


def wrong_owner(received):
    """The record belongs to a name that was not asked for."""
    return [reply(received, owner=b"1.e164.arpa")]


def fails(rcode):
    return lambda received: [reply(received, rcode, records=0)]


@pytest.fixture
def start(tmp_path):
    started = []

    def begin(*behaviours, release=True, **changes):
        """Starts a resolver for each behaviour, and a proxy (under -O if `release`) with changed ENUM settings."""
        resolvers = [Resolver(behaviour) for behaviour in behaviours]
        numbers = {"attempt_ms": 200, "answer_within_ms": 1500} | changes
        lines = [f'listen = "{HOST}:0"', f"resolvers = {[r.address for r in resolvers]}", "enabled = true"]
        lines += [f"{key} = {value}" for key, value in numbers.items()]
        program = Program(tmp_path, {"s0": f"{HOST}:9"}, release, "\n".join(lines))
        started.append((program, resolvers))
        return program, resolvers

    yield begin
    for program, resolvers in started:
        assert program.stop() == 0, program.log
        for resolver in resolvers:
            resolver.stop_with_reset()


@pytest.mark.parametrize("release", [True, False], ids=["release", "debug"])
def test_a_reply_is_forwarded_with_its_records_and_the_id_of_the_clients_query(start, release):
    program, _ = start(replies, replies, release=release)
    for over_tcp in (False, True):
        answer = query_enum(program.enum_address, NAME, 77, over_tcp)
        assert (answer.id, answer.answer, answer.rCode) == (77, 1, dns.OK)
        assert answer.answers[0].payload.service == dns.Charstr(b"E2U+sip")
        assert answer.queries[0].name.name == NAME


@pytest.mark.parametrize(
    ("behaviours", "rcode", "queries_per_request"),
    [
        ([fails(dns.ENAME)] * 2, dns.ENAME, 1),
        ([fails(dns.OK)] * 2, dns.OK, 1),
        ([fails(dns.ESERVER)] * 2, dns.EREFUSED, 2),
        ([fails(dns.EREFUSED)] * 2, dns.EREFUSED, 2),
        ([silent, silent], dns.EREFUSED, 2),
        ([silent, replies], dns.OK, None),
        ([spoofed, replies], dns.OK, None),
        ([wrong_owner, replies], dns.OK, None),
        ([half_reply, replies], dns.OK, None),
        ([fails(dns.ESERVER), replies], dns.OK, None),
    ],
)
def test_every_query_gets_exactly_one_reply_whatever_the_resolvers_do(
    start, behaviours, rcode, queries_per_request
):
    program, resolvers = start(*behaviours)
    # Two queries, so that each resolver is the first choice of one.
    for id_ in (1, 2):
        answers = query_enum_many(program.enum_address, [(NAME, id_)], quiet_s=0.3)
        assert [(a.id, a.rCode) for a in answers] == [(id_, rcode)]
    if queries_per_request is not None:
        assert sum(len(r.queries) for r in resolvers) == 2 * queries_per_request


def test_a_silent_resolver_gives_a_server_failure_at_the_overall_deadline(start):
    program, _ = start(silent, attempt_ms=5000, answer_within_ms=500)
    assert query_enum(program.enum_address, NAME).rCode == dns.ESERVER


def test_a_truncated_reply_is_fetched_over_tcp_within_the_same_attempt(start):
    program, (resolver,) = start(truncated, attempt_ms=5000, answer_within_ms=6000)
    answer = query_enum(program.enum_address, NAME, over_tcp=True)
    assert len(answer.answers) == 40
    assert [received.over_tcp for received in resolver.queries] == [False, True]
    # Over UDP the reply is too long for this client, which has to retry over TCP.
    udp_answer = query_enum(program.enum_address, NAME)
    assert (udp_answer.trunc, udp_answer.answers) == (1, [])


def test_after_one_resolver_stops_the_other_answers_all_queries(start):
    program, (first, _) = start(replies, replies)
    assert query_enum(program.enum_address, NAME).rCode == dns.OK
    first.stop_with_reset()
    for id_ in range(4):
        assert query_enum(program.enum_address, NAME, id_).rCode == dns.OK


def test_concurrent_queries_get_one_reply_each(start):
    program, _ = start(replies, replies)
    queries = [(b"%d.%d.2.8.e164.arpa" % (i // 10, i % 10), i) for i in range(60)]
    answers = query_enum_many(program.enum_address, queries, quiet_s=0.2)
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
def test_a_query_that_is_no_enum_look_up_gets_an_error_code(start, data, rcode):
    program, (resolver,) = start(replies)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as client:
        client.settimeout(10)
        client.connect(program.enum_address)
        client.send(data)
        answer = client.recv(512)
    assert answer[:2] == data[:2] and answer[3] & 15 == rcode and answer[2] & 0x80
    assert not resolver.queries


def test_a_malformed_message_closes_only_its_own_connection(start):
    program, _ = start(replies)
    with socket.create_connection(program.enum_address, timeout=10) as client:
        client.sendall(struct.pack("!H", 9) + b"\xff" * 9)
        with pytest.raises(ConnectionResetError):
            if not client.recv(1):
                raise ConnectionResetError
    assert query_enum(program.enum_address, NAME, over_tcp=True).rCode == dns.OK


class SilentUpstream:
    """An engine with an upstream side that never replies, and a clock that the test advances."""

    def __init__(self):
        self.clock, self.metrics = Clock(), Metrics()
        conf = enum_settings.parse({"enabled": True, "listen": "127.0.0.1:1", "resolvers": ["127.0.0.1:2"]})
        self.deadlines = Deadlines(self, self.clock)
        self.downstream = enum.EnumServer(conf, self.metrics, self.deadlines)
        self.downstream.engine = Engine(
            conf.settings, 1, self, self.deadlines, self, self.metrics, str, max_attempt_ms=400.0
        )
        resolvers = enum.Resolvers(self.clock, conf, self.metrics, self.deadlines)
        resolvers.engine = self.downstream.engine
        (self.resolver,) = resolvers.resolvers.values()

    def now_ms(self):
        return 1e12 + self.clock.seconds() * 1000.0


@hypothesis_settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=80), st.integers(0, 80), st.integers(0, 255))
def test_malformed_data_raises_only_message_error(junk, position, byte):
    world = SilentUpstream()
    damaged = bytearray(query(NAME))
    damaged[position % len(damaged)] = byte
    for data in (junk, query(NAME)[:position], bytes(damaged)):
        sent = []
        world.downstream.transport = None
        world.downstream.datagramReceived(data, ("127.0.0.1", 9))
        try:
            world.downstream.handle_query(data, sent.append, "client", None)
        except MessageError:
            assert not sent
        world.resolver.datagramReceived(data, ("127.0.0.1", 2))
        assert len(sent) <= 1


def test_an_unfinished_reply_over_tcp_does_not_block_later_replies():
    """Guards against replies that wait behind an unfinished one: the connection must be replaced."""
    world, connects, sent = SilentUpstream(), [], []
    resolver = world.resolver
    resolver.upstream.reactor = SimpleNamespace(connectTCP=lambda *args, **kwargs: connects.append(1))
    resolver.transport = SimpleNamespace(write=lambda data: None)
    world.send, world.cancel = resolver.send, resolver.abandon
    entry = interface.ListEntry(resolver.name, 0, interface.ServerState.READY)
    world.downstream.engine.update_servers(
        interface.ServerListUpdate(interface.UpdateKind.SNAPSHOT, (entry,))
    )

    def ask_truncated(name):
        """Makes a look-up whose reply over UDP is truncated; returns the reply to send over TCP."""
        world.downstream.handle_query(query(name), sent.append, name, None)
        received = dns.Message(list(resolver.pending)[-1])
        received.queries = [dns.Query(name, dns.NAPTR)]
        received.over_tcp = False
        resolver.datagramReceived(truncated(received)[0], resolver.address)
        received.over_tcp = True
        return truncated(received)[0]

    def connect():
        connection = enum.ResolverConnection(resolver)
        connection.makeConnection(Transport())
        return connection

    ask_truncated(NAME)
    first = connect()
    first.dataReceived(b"\0\x40half")
    world.clock.advance(0.3)
    second = ask_truncated(b"9." + NAME)
    world.clock.advance(0.11)  # the first attempt times out, 400 ms after its start
    assert first.transport.disconnecting and len(connects) == 2
    connect().dataReceived(struct.pack("!H", len(second)) + second)
    world.clock.advance(1.2)
    assert [answer[3] & 15 for answer in sent] == [dns.OK, dns.EREFUSED]


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
def test_the_number_that_a_domain_name_encodes(name, number):
    assert enum.number_of(name, "e164.arpa") == number


# Guards against look-ups for clients that have gone (picture c): much that is unread must not hide the close.
def test_a_look_up_is_cancelled_if_its_client_has_closed_with_much_still_unread():
    world, cancelled = SilentUpstream(), []
    world.send, world.cancel = lambda attempt: None, cancelled.append
    entry = interface.ListEntry(world.resolver.name, 0, interface.ServerState.READY)
    world.downstream.engine.update_servers(
        interface.ServerListUpdate(interface.UpdateKind.SNAPSHOT, (entry,))
    )
    connection = enum.EnumConnections(world.downstream, 10).buildProtocol(None)
    connection.makeConnection(Transport())
    other = query(b"not-served.example")
    connection.dataReceived(struct.pack("!H", len(query(NAME))) + query(NAME))
    (request,) = world.downstream.engine.open_requests.values()
    connection.transport.unread += [(struct.pack("!H", len(other)) + other) * 5000, None]
    world.downstream.read_pending(request)
    assert not world.downstream.engine.open_requests and len(cancelled) == 1
