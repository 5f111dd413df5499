"""The message parsers under random fragmentation and garbage, and connections that fail, are tested and replaced.

The protocols of leadslip.net run on a fake transport, with the engine and its clock of test_core.World. The generated
cases are the same in every run.
"""

import json
import struct

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from twisted.internet.testing import StringTransport

from leadslip import interface
from leadslip.metrics import Metrics
from leadslip.net import enum
from leadslip.net.board import EventStream
from leadslip.net.clients import Clients
from leadslip.net.connections import MAX_MESSAGE_BYTES
from leadslip.net.servers import Server, ServerConnection, Servers
from leadslip.readiness import Readiness
from tests.standins import encode_message, notice
from tests.test_core import EngineFixture

ID = "9b1f03aa5c7e2d41"
deterministic = hypothesis_settings(derandomize=True, max_examples=200, deadline=None)


class Transport(StringTransport):
    """A transport that records writes.

    `unread` are the reads that its socket has data for, where None is the end of the connection; `flushed` is the
    number of bytes written before the last flush.
    """

    flushed = 0
    dataBuffer = b""  # noqa: N815 (Twisted's name): data that the kernel has not accepted

    def __init__(self):
        super().__init__()
        self.unread = []

    def getHandle(self):  # noqa: N802
        return self

    def recv(self, size):
        if not self.unread:
            raise BlockingIOError
        if self.unread[0] is None:
            return b""
        data, self.unread[0] = self.unread[0][:size], self.unread[0][size:]
        if not self.unread[0]:
            del self.unread[0]
        return data

    def getsockopt(self, level, option, size):
        """Returns the state in TCP_INFO: CLOSE_WAIT if the end of the connection has arrived, else ESTABLISHED."""
        return b"\x08" if None in self.unread else b"\x01"

    def doWrite(self):  # noqa: N802
        self.flushed = len(self.value())

    def connectionLost(self, reason):  # noqa: N802
        self.disconnecting = True
        self.producer.connectionLost(reason)

    def setTcpNoDelay(self, on):  # noqa: N802
        self.no_delay = on

    def abortConnection(self):  # noqa: N802
        self.disconnecting = True

    def loseWriteConnection(self):  # noqa: N802
        self.half_closed = True


def sip(method, id_=ID, body=b"", extra=b""):
    """Returns a SIP request; `extra` are complete header lines."""
    head = b"%s sip:0123@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: 1 %s\r\n"
    return (head + b"%sContent-Length: %d\r\n\r\n%s") % (method, id_.encode(), method, extra, len(body), body)


INVITE = sip(
    b"INVITE",
    body=b"\r\n\r\nc=IN\0\xff",
    extra=b"Priority-Class: plain\r\nExpires-Ms: 1500\r\nX-Odd: 1\r\nP-Trunk-Info: dest:1;width:1;via:-1\r\n",
)


def connect_caller():
    """Returns a World and a connection from a caller to its engine."""
    world = EngineFixture()
    clients = Clients(world.engine, world.metrics, 10, Readiness(listening=True))
    connection = clients.buildProtocol(None)
    connection.makeConnection(Transport())
    return world, connection


class FakeReactor(list):
    """A reactor that only records connects: a list of the factories given."""

    def connectTCP(self, host, port, factory, timeout):  # noqa: N802
        self.append(factory)


def connect_server():
    """Returns a World and an active connection to its server s0; further connects are only recorded."""
    world = EngineFixture()
    servers = Servers(
        FakeReactor(), world.metrics, world.now_ms, 500.0, lambda call, cause: None, world.deadlines
    )
    world.engine.upstream, servers.engine = servers, world.engine
    server = servers.servers["s0"] = Server(servers, "s0", ("127.0.0.1", 1), interface.ServerState.READY, 0.0)
    servers.check_connections()
    return world, open_connection(server)


def open_connection(server):
    """Opens a connection to a server, which sends its first message; returns the proxy's side."""
    connection = ServerConnection(server)
    connection.makeConnection(Transport())
    connection.dataReceived(encode_message(43, bytes(8), (51, b"x0:50;x1:50")))
    return connection


def set_up_count(connection):
    """Returns the number of set-ups written on a connection to a server."""
    return connection.transport.value().count(b"c=offer")


def feed(connection, data, cuts):
    """Delivers data to a connection in fragments that end at the given offsets."""
    edges = sorted({min(cut, len(data)) for cut in cuts} | {0, len(data)})
    for start, end in zip(edges, edges[1:], strict=False):
        connection.dataReceived(data[start:end])


@deterministic
@given(st.lists(st.integers(0, 900), max_size=12))
def test_sip_parses_the_same_however_it_is_fragmented(cuts):
    world, connection = connect_caller()
    feed(
        connection,
        b"\r\n\r\n" + INVITE + sip(b"ACK") + sip(b"OPTIONS") + INVITE.replace(b"9b1f", b"0000"),
        cuts,
    )
    (first, second) = world.sent
    assert (first.request.id, second.request.id) == (ID, "0000" + ID[4:])
    assert first.request.payload == b"\r\n\r\nc=IN\0\xff" and first.request.number_called == "0123"
    assert first.server == "s1" and first.request.valid_until_ms == world.now_ms() + 1500.0
    assert (
        connection.transport.value().startswith(b"SIP/2.0 200 OK\r\nVia")
        and not connection.transport.disconnecting
    )


@deterministic
@given(st.lists(st.integers(0, 200), max_size=12))
def test_the_binary_protocol_parses_the_same_however_it_is_fragmented(cuts):
    world, connection = connect_server()
    world.offer(ID)
    call = bytes.fromhex(ID)
    messages = (
        encode_message(43, bytes(8), (51, b"x0:4;x1:9;odd:1"))
        + encode_message(6, call)
        + encode_message(16, call, (1, b"?"))
    )
    feed(
        connection,
        messages
        + encode_message(9, call, (63, b"\0sdp"))
        + encode_message(12, call, (61, b"\x10"), (99, b"odd")),
        cuts,
    )
    assert world.recorded == [("established", ID, b"\0sdp"), ("call_ended", ID, False)]
    assert world.engine.controller.servers["s0"].free_lines == 4.0


@deterministic
@given(st.lists(st.integers(0, 700), max_size=12))
def test_server_sent_events_parse_the_same_however_they_are_fragmented(cuts):
    received = []

    class EventRecorder:
        line_received = staticmethod(lambda poll: True)
        event_received = staticmethod(lambda id_, data: received.append((id_, json.loads(data))) or True)

    events = [notice(i, ("s1", "127.0.0.1:70", "active")) for i in (4, 5)]
    text = "".join(f": hello\r\nid: {e['rev']}\ndata: {json.dumps(e)}\n\n" for e in events)
    body = EventStream(EventRecorder, 1)
    body.makeConnection(StringTransport())
    feed(body, text.encode(), cuts)
    assert received == [("4", events[0]), ("5", events[1])]


@deterministic
@given(
    st.binary(max_size=200),
    st.integers(0, 400),
    st.binary(min_size=1, max_size=3),
    st.booleans(),
)
def test_garbage_closes_at_most_its_own_connection(garbage, position, replacement, message_first):
    for connect, valid in (
        (connect_caller, INVITE),
        (connect_server, encode_message(9, bytes(8), (63, b"x"), (61, b"\x10"))),
    ):
        world, connection = connect()
        broken = bytearray(valid)
        broken[position % len(valid) : position % len(valid) + len(replacement)] = replacement
        feed(connection, (b"" if message_first else garbage) + bytes(broken) + garbage, [position])
        closed = world.metrics.counts["clients.malformed"] + world.metrics.counts["servers.malformed"]
        assert closed <= 1 and connection.transport.disconnecting is bool(closed)
        other_world, other = connect()
        assert not other.transport.disconnecting and not other_world.metrics.counts["broken"]


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",  # not SIP
        INVITE.replace(b"Expires-Ms: 1500", b"Expires-Ms: soon"),
        INVITE.replace(b"9b1f", b"xyz!"),
        INVITE.replace(b"dest:1", b"dest:one"),
        INVITE.replace(b"Priority-Class: ", b"Priority-Class"),
        sip(b"INVITE", extra=b"X: " + b"y" * MAX_MESSAGE_BYTES + b"\r\n"),
        sip(b"INVITE").replace(b"Length: 0", b"Length: 99999"),
        INVITE.replace(b"Length: 12", b"Length: -12"),
        INVITE.replace(b"Content-Length: 12", b"X: 1"),
        INVITE.replace(b"\r\n\r\n", b"\r\nContent-Length: 0\r\n\r\n", 1),  # Content-Length given twice
        INVITE.replace(b"c=IN", b"c=IP"),  # a second set-up with the Call-ID of an open one
        INVITE.replace(b"9b1f", b"0000").replace(b"Expires-Ms: 1500", b"Expires-Ms: 999999999"),
        INVITE.replace(b"9b1f", b"0000").replace(b"width:1", b"width:-1"),
        sip(b"INVITE", "0" * 16, extra=b"Expires-Ms: 1500\r\n") + b"what the length left out\r\n\r\n",
    ],
)
def test_a_malformed_message_from_a_caller_is_counted_and_closes_that_connection(data):
    world, connection = connect_caller()
    connection.dataReceived(INVITE)
    connection.dataReceived(data)
    assert connection.transport.disconnecting and world.metrics.counts["clients.malformed"] == 1
    assert len(world.sent) == 1, "no request of a read with a malformed message is sent"
    connection.connectionLost()
    world.wait(2000)
    assert world.recorded == [("cancel", ID)], "its open calls are cancelled, and get no answer"


def test_a_set_up_cancelled_in_the_same_read_is_never_sent():
    world, connection = connect_caller()
    connection.dataReceived(INVITE + sip(b"CANCEL"))
    assert (
        not world.sent
        and connection.transport.value().startswith(b"SIP/2.0 200 OK")
        and not connection.awaits_answer()
    )


def test_a_caller_can_not_cancel_the_set_up_of_another_and_unknown_calls_get_481():
    world, connection = connect_caller()
    connection.dataReceived(INVITE)
    other = connection.downstream.buildProtocol(None)
    other.makeConnection(Transport())
    other.dataReceived(sip(b"CANCEL") + sip(b"BYE", "0" * 16))
    assert other.transport.value().count(b"SIP/2.0 481 ") == 2
    world.engine.on_established(world.sent[0], b"sdp")
    assert world.recorded == [] and b"SIP/2.0 200 OK" in connection.transport.value()
    other.dataReceived(sip(b"BYE"))
    assert world.recorded == [("release", ID)], "an established call may be released on any connection"


def enum_listener():
    """Returns a World, a function that opens a connection to its ENUM listener, and an incomplete message.

    The fourth value is a complete message, or None if the tests send none.
    """
    world = EngineFixture()
    connections = enum.EnumConnections(enum.EnumServer(None, world.metrics, world.deadlines), 10)

    def connect():
        connection = connections.buildProtocol(None)
        if connection is not None:
            connection.makeConnection(Transport())
        return connection

    return world, connect, struct.pack("!H", 40), None


def sip_listener():
    """Returns the same as enum_listener, for the SIP listener."""
    world, first = connect_caller()

    def connect():
        connection = first.downstream.buildProtocol(None)
        if connection is not None:
            connection.makeConnection(Transport())
        return connection

    first.connectionLost()
    return world, connect, INVITE[:-1], INVITE


@pytest.mark.parametrize("listener", [enum_listener, sip_listener])
def test_connections_that_are_silent_or_never_finish_a_message_are_closed_after_2_s(listener):
    world, connect, partial, complete = listener()
    silent, unfinished = connect(), connect()
    unfinished.dataReceived(partial)
    world.wait(1900)
    assert not silent.transport.disconnecting and not unfinished.transport.disconnecting
    world.wait(400)
    assert silent.transport.disconnecting and unfinished.transport.disconnecting
    if complete:
        served = connect()
        served.dataReceived(complete)
        world.wait(1600)
        assert not served.transport.disconnecting and served.set_ups == {}
        world.wait(14_000)
        assert served.transport.disconnecting, "a connection left idle after one request is closed in the end"


@pytest.mark.parametrize("listener", [enum_listener, sip_listener])
def test_at_the_limit_silent_connections_are_closed_and_those_awaiting_an_answer_stay(listener):
    world, connect, _, complete = listener()
    first, *rest = [connect() for _ in range(10)]
    if complete:
        first.dataReceived(complete)
    additional = connect()
    assert additional is not None
    closed = [connection for connection in (first, *rest) if connection.transport.disconnecting]
    assert closed == [rest[0] if complete else first]
    if complete:
        for i, connection in enumerate((*rest[1:], additional)):
            connection.dataReceived(complete.replace(b"9b1f", b"%04x" % i))
        assert connect() is None, "no more are accepted when all await an answer"


@pytest.mark.parametrize(
    "data",
    [
        b"\0\3abc",  # shorter than type and call id
        b"\xff\xff",  # length prefix over the maximum
        encode_message(9, bytes(8), (63, b"x"))[:-1][:2]
        + encode_message(9, bytes(8))[2:]
        + b"\x3f\0\2x",  # parameter over the end
        encode_message(12, bytes(8)),  # release without a cause
        encode_message(12, bytes(8), (61, b"16")),  # cause of two bytes
        encode_message(43, bytes(8), (51, b"x0:many")),  # load report with a value that is not a number
        encode_message(123, bytes(8), (63, b"x")),  # unknown message type
        encode_message(9, bytes(8)),  # answer without a description
        encode_message(12, bytes(8), (61, b"\x91")),  # unknown cause
    ],
)
def test_a_malformed_message_from_a_server_is_counted_and_closes_that_connection(data):
    world, connection = connect_server()
    connection.dataReceived(data)
    assert connection.transport.disconnecting and world.metrics.counts["servers.malformed"] == 1


@pytest.mark.parametrize("tail", [b"\0\x40\x09", b"\x30"])
def test_a_partial_message_does_not_keep_a_connection_open_although_more_of_it_arrives(tail):
    world, connection = connect_server()
    world.offer(ID)
    assert set_up_count(connection) == 1
    connection.dataReceived(tail)
    for _ in range(4):
        world.wait(100)
        connection.dataReceived(b"x")
    world.wait(100)
    assert connection.transport.disconnecting and world.metrics.counts["attempts.cut"] == 1
    assert len(connection.server.upstream.reactor) == 1, "another is opened at once"
    world.wait(300)
    replacement = open_connection(connection.server)
    assert world.metrics.counts["attempts.cut"] == 1 and not replacement.transport.disconnecting


def test_a_connection_that_fails_its_test_while_another_works_is_closed_and_its_set_up_cut():
    world, connection = connect_server()
    world.offer(ID)
    world.wait(510)
    assert len(connection.server.upstream.reactor) == 1
    newer = open_connection(connection.server)
    assert not connection.transport.disconnecting, "a server that hangs looks the same"
    second = "0" * 16
    world.offer(second)
    assert (set_up_count(connection), set_up_count(newer)) == (1, 1)
    newer.dataReceived(encode_message(9, bytes(8), (63, b"sdp")))
    world.wait(100)
    assert not connection.transport.disconnecting and connection.transport.value().endswith(
        encode_message(52, bytes(8), (61, b"\0"))
    ), "a late answer looks the same: the connection is tested first"
    newer.dataReceived(encode_message(43, bytes(8), (51, b"x0:5;x1:5")))
    world.wait(100)
    assert connection.transport.disconnecting and world.metrics.counts["attempts.cut"] == 1
    assert world.recorded == [("established", second, b"sdp")]


def test_a_call_released_normally_before_its_answer_was_established_and_is_not_retried():
    world, connection = connect_server()
    world.offer(ID)
    call = bytes.fromhex(ID)
    connection.dataReceived(encode_message(12, call, (61, b"\x10")))
    assert world.recorded == [("failed", ID)]
    connection.dataReceived(encode_message(9, call, (63, b"late")) + encode_message(12, call, (61, b"\x10")))
    world.wait(2000)
    assert world.recorded == [("failed", ID)] and len(world.engine.upstream.servers) == 1
    assert set_up_count(connection) == 1 and world.metrics.counts["attempts.cut"] == 1


def test_a_corrupt_message_ends_only_the_set_ups_in_progress_on_its_connection():
    world, connection = connect_server()
    for i in range(2):
        world.offer(f"{i:016x}")
    assert len(connection.server.upstream.reactor) == 1, "a second connection is opened for the second set-up"
    other = open_connection(connection.server)
    for i in range(2, 4):
        world.offer(f"{i:016x}")
    assert (set_up_count(connection), set_up_count(other)) == (2, 2)
    connection.dataReceived(b"\xff\xff\xff")
    assert world.metrics.counts["attempts.cut"] == 2
    other.dataReceived(encode_message(9, bytes(7) + b"\2", (63, b"sdp")))
    assert world.recorded == [("established", f"{2:016x}", b"sdp")]


@pytest.mark.parametrize("reconnects", [True, False])
def test_calls_survive_a_server_unreachable_for_4_s_and_end_if_it_stays_so_for_6_5_s(reconnects):
    world, connection = connect_server()
    world.offer(ID)
    connection.dataReceived(encode_message(9, bytes.fromhex(ID), (63, b"sdp")))
    for _ in range(8):
        world.wait(500)
        if connection.server.connecting:
            connection.server.connect_failed(refused=False)
    assert connection.transport.disconnecting and world.recorded == [("established", ID, b"sdp")]
    if reconnects:
        open_connection(connection.server).dataReceived(encode_message(12, bytes.fromhex(ID), (61, b"\x10")))
        assert world.recorded[1:] == [("call_ended", ID, False)]
        return
    for _ in range(7):
        world.wait(500)
        if connection.server.connecting:
            connection.server.connect_failed(refused=False)
    assert world.recorded[1:] == [("call_ended", ID, True)]


def test_a_connection_over_the_maximum_half_closes_an_idle_one_which_is_not_replaced():
    world, connection = connect_server()
    server = connection.server
    for _ in range(4):
        open_connection(server)
    assert len(server.active) == 4 and connection.transport.half_closed and not server.upstream.reactor
    world.wait(200)
    assert not connection.transport.disconnecting, "messages in flight on it are still read"
    world.wait(250)
    assert connection.transport.disconnecting


def test_a_connection_without_the_state_reports_sent_on_another_is_closed_and_its_calls_go_on():
    world, connection = connect_server()
    other = open_connection(connection.server)
    world.offer(ID)
    connection.dataReceived(encode_message(9, bytes.fromhex(ID), (63, b"sdp")))
    for _ in range(19):
        world.wait(100)
        other.dataReceived(encode_message(43, bytes(8), (51, b"x0:50;x1:50")))
        assert not other.transport.disconnecting
    world.wait(400)
    assert connection.transport.disconnecting and not other.transport.disconnecting
    assert world.recorded == [("established", ID, b"sdp")], "its calls go on"


def test_a_connection_reset_right_after_opening_loses_no_set_up():
    world, connection = connect_server()
    connection.connectionLost()
    world.offer(ID)
    reset = ServerConnection(connection.server)
    reset.makeConnection(Transport())
    reset.connectionLost()
    assert not world.metrics.counts["attempts.cut"] and len(connection.server.upstream.reactor) == 2
    assert set_up_count(open_connection(connection.server)) == 1


def test_a_release_waits_for_a_connection_and_calls_survive_a_failed_connect():
    world, connection = connect_server()
    request = world.offer(ID)
    connection.dataReceived(encode_message(9, bytes.fromhex(ID), (63, b"sdp")))
    connection.connectionLost()
    connection.server.connect_failed(refused=False)
    world.engine.hang_up(request)
    assert world.recorded == [("established", ID, b"sdp")], (
        "a connect that times out does not prove the calls lost"
    )
    assert (
        encode_message(12, bytes.fromhex(ID), (61, b"\x10"))
        in open_connection(connection.server).transport.value()
    )


def test_a_peer_that_stops_reading_is_disconnected():
    world, connection = connect_caller()
    connection.pauseProducing()
    assert connection.send(b"x")
    world.wait(2001)
    assert not connection.send(b"y") and connection.transport.disconnecting
    assert isinstance(world.metrics, Metrics) and world.metrics.counts["clients.stalled"] == 1


def test_the_release_of_a_call_whose_connection_is_lost_goes_to_other_callers_until_acknowledged():
    """Guards against sending the release to a peer that only polls for readiness, and does not handle releases.

    Of all peers, such a poller has sent most recently.
    """
    world, connection = connect_caller()
    connection.dataReceived(INVITE)
    world.engine.on_established(world.sent[0], b"sdp")
    others = [connection.downstream.buildProtocol(None) for _ in range(3)]
    for i, other in enumerate(others):
        other.makeConnection(Transport())
        other.dataReceived(INVITE.replace(b"9b1f", b"000%d" % i) if i < 2 else sip(b"OPTIONS"))
        other.transport.clear()
    first, second, poller = others
    connection.connectionLost()
    world.engine.on_attempt_ended(world.sent[0], interface.Outcome.SERVED)

    def releases():
        return [connection.transport.value().count(b"BYE ") for connection in (first, second, poller)]

    assert releases() == [0, 1, 0], "the connection with the most recent set-up"
    world.wait(500)
    assert releases() == [1, 1, 0], "not acknowledged: sent on the one before it, too"
    first.dataReceived(
        b"SIP/2.0 200 OK\r\nCall-ID: %s\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n" % ID.encode()
    )
    world.wait(5000)
    assert releases() == [1, 1, 0] and not connection.downstream.releases.pending, "acknowledged"


def test_the_release_of_a_call_without_an_open_connection_goes_to_the_next_one_opened():
    world, connection = connect_caller()
    connection.dataReceived(INVITE)
    world.engine.on_established(world.sent[0], b"sdp")
    connection.connectionLost()
    world.engine.on_attempt_ended(world.sent[0], interface.Outcome.SERVED)
    next_opened = connection.downstream.buildProtocol(None)
    next_opened.makeConnection(Transport())
    assert next_opened.transport.value().startswith(b"BYE ") and ID.encode() in next_opened.transport.value()
    next_opened.dataReceived(
        b"SIP/2.0 200 OK\r\nCall-ID: %s\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n" % ID.encode()
    )
    next_opened.connectionLost()
    third = connection.downstream.buildProtocol(None)
    third.makeConnection(Transport())
    assert third.transport.value() == b"", "once acknowledged, it is not sent again"
