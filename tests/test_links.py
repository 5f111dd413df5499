"""Message parsers under random fragmentation and garbage (fixed seeds), and how connections fail and recover."""

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
from tests.standins import binary, notice
from tests.test_core import World

ID = "9b1f03aa5c7e2d41"
seeded = hypothesis_settings(derandomize=True, max_examples=200, deadline=None)


class Transport(StringTransport):
    """A transport that records writes; `unread` is the data in its socket, where None ends the connection."""

    flushed = 0
    dataBuffer = b""  # noqa: N815 (Twisted's name): what the kernel did not take

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
        return self.unread.pop(0)

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
    head = b"%s sip:0123@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: 1 %s\r\n"
    return (head + b"%sContent-Length: %d\r\n\r\n%s") % (method, id_.encode(), method, extra, len(body), body)


INVITE = sip(
    b"INVITE",
    body=b"\r\n\r\nc=IN\0\xff",
    extra=b"Priority-Class: plain\r\nExpires-Ms: 1500\r\nX-Odd: 1\r\nP-Trunk-Info: dest:1;width:1;via:-1\r\n",
)


def caller():
    world = World()
    clients = Clients(world.engine, world.metrics, 10, Readiness(listening=True))
    link = clients.buildProtocol(None)
    link.makeConnection(Transport())
    return world, link


class FakeReactor(list):
    """A reactor that only records the connection attempts."""

    def connectTCP(self, host, port, factory, timeout):  # noqa: N802
        self.append(factory)


def server_link():
    world = World()
    servers = Servers(
        FakeReactor(), world.metrics, world.now_ms, 500.0, lambda call, cause: None, world.deadlines
    )
    world.engine.upstream, servers.engine = servers, world.engine
    server = servers.servers["s0"] = Server(servers, "s0", ("127.0.0.1", 1), interface.ServerState.READY, 0.0)
    servers.check_connections()
    return world, up(server)


def up(server):
    link = ServerConnection(server)
    link.makeConnection(Transport())
    link.dataReceived(binary(43, bytes(8), (51, b"x0:50;x1:50")))
    return link


def sent(link):
    """Returns the number of set-ups written on a connection."""
    return link.transport.value().count(b"c=offer")


def feed(link, data, cuts):
    edges = sorted({min(cut, len(data)) for cut in cuts} | {0, len(data)})
    for start, end in zip(edges, edges[1:], strict=False):
        link.dataReceived(data[start:end])


@seeded
@given(st.lists(st.integers(0, 900), max_size=12))
def test_sip_parses_the_same_however_it_is_fragmented(cuts):
    world, link = caller()
    feed(link, b"\r\n\r\n" + INVITE + sip(b"ACK") + sip(b"OPTIONS") + INVITE.replace(b"9b1f", b"0000"), cuts)
    (first, second) = world.sent
    assert (first.request.id, second.request.id) == (ID, "0000" + ID[4:])
    assert first.request.payload == b"\r\n\r\nc=IN\0\xff" and first.request.number == "0123"
    assert first.server == "s1" and first.request.valid_until_ms == world.now_ms() + 1500.0
    assert link.transport.value().startswith(b"SIP/2.0 200 OK\r\nVia") and not link.transport.disconnecting


@seeded
@given(st.lists(st.integers(0, 200), max_size=12))
def test_the_binary_protocol_parses_the_same_however_it_is_fragmented(cuts):
    world, link = server_link()
    world.offer(ID)
    call = bytes.fromhex(ID)
    messages = binary(43, bytes(8), (51, b"x0:4;x1:9;odd:1")) + binary(6, call) + binary(16, call, (1, b"?"))
    feed(
        link, messages + binary(9, call, (63, b"\0sdp")) + binary(12, call, (61, b"\x10"), (99, b"odd")), cuts
    )
    assert world.recorded == [("stands", ID, b"\0sdp"), ("over", ID, False)]
    assert world.engine.controller.servers["s0"].free_lines == 4.0


@seeded
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


@seeded
@given(
    st.binary(max_size=200),
    st.integers(0, 400),
    st.binary(min_size=1, max_size=3),
    st.booleans(),
)
def test_garbage_closes_at_most_its_own_connection(garbage, position, replacement, message_first):
    for make, valid in ((caller, INVITE), (server_link, binary(9, bytes(8), (63, b"x"), (61, b"\x10")))):
        world, link = make()
        broken = bytearray(valid)
        broken[position % len(valid) : position % len(valid) + len(replacement)] = replacement
        feed(link, (b"" if message_first else garbage) + bytes(broken) + garbage, [position])
        closed = world.metrics.counts["clients.malformed"] + world.metrics.counts["servers.malformed"]
        assert closed <= 1 and link.transport.disconnecting is bool(closed)
        other_world, other = make()
        assert not other.transport.disconnecting and not other_world.metrics.counts["broken"]


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        INVITE.replace(b"Expires-Ms: 1500", b"Expires-Ms: soon"),
        INVITE.replace(b"9b1f", b"xyz!"),
        INVITE.replace(b"dest:1", b"dest:one"),
        INVITE.replace(b"Priority-Class: ", b"Priority-Class"),
        sip(b"INVITE", extra=b"X: " + b"y" * MAX_MESSAGE_BYTES + b"\r\n"),
        sip(b"INVITE").replace(b"Length: 0", b"Length: 99999"),
        INVITE.replace(b"Length: 12", b"Length: -12"),
        INVITE.replace(b"Content-Length: 12", b"X: 1"),
        INVITE.replace(b"\r\n\r\n", b"\r\nContent-Length: 0\r\n\r\n", 1),
        INVITE.replace(b"c=IN", b"c=IP"),
        INVITE.replace(b"9b1f", b"0000").replace(b"Expires-Ms: 1500", b"Expires-Ms: 999999999"),
        INVITE.replace(b"9b1f", b"0000").replace(b"width:1", b"width:-1"),
        sip(b"INVITE", "0" * 16, extra=b"Expires-Ms: 1500\r\n") + b"what the length left out\r\n\r\n",
    ],
)
def test_a_malformed_message_from_a_caller_is_counted_and_closes_that_connection(data):
    world, link = caller()
    link.dataReceived(INVITE)
    link.dataReceived(data)
    assert link.transport.disconnecting and world.metrics.counts["clients.malformed"] == 1
    assert len(world.sent) == 1, "no request of a read with a malformed message is sent"
    link.connectionLost()
    world.wait(2000)
    assert world.recorded == [("give up", ID)], "its open calls are cancelled, and get no answer"


def test_a_set_up_cancelled_in_the_same_read_is_never_sent():
    world, link = caller()
    link.dataReceived(INVITE + sip(b"CANCEL"))
    assert (
        not world.sent and link.transport.value().startswith(b"SIP/2.0 200 OK") and not link.awaits_answer()
    )


def test_a_caller_can_not_cancel_the_set_up_of_another_and_unknown_calls_get_481():
    world, link = caller()
    link.dataReceived(INVITE)
    other = link.downstream.buildProtocol(None)
    other.makeConnection(Transport())
    other.dataReceived(sip(b"CANCEL") + sip(b"BYE", "0" * 16))
    assert other.transport.value().count(b"SIP/2.0 481 ") == 2
    world.engine.on_established(world.sent[0], b"sdp")
    assert world.recorded == [] and b"SIP/2.0 200 OK" in link.transport.value()
    other.dataReceived(sip(b"BYE"))
    assert world.recorded == [("release", ID)], "an established call may be released on any connection"


def enum_listener():
    world = World()
    links = enum.EnumConnections(enum.EnumServer(None, world.metrics, world.deadlines), 10)

    def make():
        link = links.buildProtocol(None)
        if link is not None:
            link.makeConnection(Transport())
        return link

    return world, make, struct.pack("!H", 40), None


def sip_listener():
    world, link = caller()

    def make():
        connection = link.downstream.buildProtocol(None)
        if connection is not None:
            connection.makeConnection(Transport())
        return connection

    link.connectionLost()
    return world, make, INVITE[:-1], INVITE


@pytest.mark.parametrize("listener", [enum_listener, sip_listener])
def test_connections_without_a_complete_message_are_closed(listener):
    world, make, partial, complete = listener()
    silent, unfinished = make(), make()
    unfinished.dataReceived(partial)
    world.wait(1900)
    assert not silent.transport.disconnecting and not unfinished.transport.disconnecting
    world.wait(400)
    assert silent.transport.disconnecting and unfinished.transport.disconnecting
    if complete:
        served = make()
        served.dataReceived(complete)
        world.wait(1600)
        assert not served.transport.disconnecting and served.set_ups == {}
        world.wait(14_000)
        assert served.transport.disconnecting, "a connection left idle after one request is closed in the end"


@pytest.mark.parametrize("listener", [enum_listener, sip_listener])
def test_at_the_limit_silent_connections_are_closed_and_those_awaiting_an_answer_stay(listener):
    world, make, _, complete = listener()
    first, *rest = [make() for _ in range(10)]
    if complete:
        first.dataReceived(complete)
    additional = make()
    assert additional is not None
    closed = [link for link in (first, *rest) if link.transport.disconnecting]
    assert closed == [rest[0] if complete else first]
    if complete:
        for i, link in enumerate((*rest[1:], additional)):
            link.dataReceived(complete.replace(b"9b1f", b"%04x" % i))
        assert make() is None, "no more are accepted when all await an answer"


@pytest.mark.parametrize(
    "data",
    [
        b"\0\3abc",
        b"\xff\xff",
        binary(9, bytes(8), (63, b"x"))[:-1][:2] + binary(9, bytes(8))[2:] + b"\x3f\0\2x",
        binary(12, bytes(8)),
        binary(12, bytes(8), (61, b"16")),
        binary(43, bytes(8), (51, b"x0:many")),
        binary(123, bytes(8), (63, b"x")),
        binary(9, bytes(8)),
        binary(12, bytes(8), (61, b"\x91")),
    ],
)
def test_a_malformed_message_from_a_server_is_counted_and_closes_that_connection(data):
    world, link = server_link()
    link.dataReceived(data)
    assert link.transport.disconnecting and world.metrics.counts["servers.malformed"] == 1


@pytest.mark.parametrize("tail", [b"\0\x40\x09", b"\x30"])
def test_a_partial_message_does_not_keep_a_connection_open_although_more_of_it_arrives(tail):
    world, link = server_link()
    world.offer(ID)
    assert sent(link) == 1
    link.dataReceived(tail)
    for _ in range(4):
        world.wait(100)
        link.dataReceived(b"x")
    world.wait(100)
    assert link.transport.disconnecting and world.metrics.counts["attempts.cut"] == 1
    assert len(link.server.upstream.reactor) == 1, "another is opened at once"
    world.wait(300)
    again = up(link.server)
    assert world.metrics.counts["attempts.cut"] == 1 and not again.transport.disconnecting


def test_an_open_but_dead_connection_is_replaced():
    world, link = server_link()
    world.offer(ID)
    world.wait(510)
    assert len(link.server.upstream.reactor) == 1
    newer = up(link.server)
    assert not link.transport.disconnecting, "a server that hangs looks the same"
    second = "0" * 16
    world.offer(second)
    assert (sent(link), sent(newer)) == (1, 1)
    newer.dataReceived(binary(9, bytes(8), (63, b"sdp")))
    world.wait(100)
    assert not link.transport.disconnecting and link.transport.value().endswith(
        binary(52, bytes(8), (61, b"\0"))
    ), "a late answer looks the same: the connection is tested first"
    newer.dataReceived(binary(43, bytes(8), (51, b"x0:5;x1:5")))
    world.wait(100)
    assert link.transport.disconnecting and world.metrics.counts["attempts.cut"] == 1
    assert world.recorded == [("stands", second, b"sdp")]


def test_a_call_released_normally_before_its_answer_was_established_and_is_not_retried():
    world, link = server_link()
    world.offer(ID)
    call = bytes.fromhex(ID)
    link.dataReceived(binary(12, call, (61, b"\x10")))
    assert world.recorded == [("failed", ID)]
    link.dataReceived(binary(9, call, (63, b"late")) + binary(12, call, (61, b"\x10")))
    world.wait(2000)
    assert world.recorded == [("failed", ID)] and len(world.engine.upstream.servers) == 1
    assert sent(link) == 1 and world.metrics.counts["attempts.cut"] == 1


def test_a_corrupt_message_ends_only_the_set_ups_in_progress_on_its_connection():
    world, link = server_link()
    for i in range(2):
        world.offer(f"{i:016x}")
    assert len(link.server.upstream.reactor) == 1, "a second connection is opened for the second set-up"
    other = up(link.server)
    for i in range(2, 4):
        world.offer(f"{i:016x}")
    assert (sent(link), sent(other)) == (2, 2)
    link.dataReceived(b"\xff\xff\xff")
    assert world.metrics.counts["attempts.cut"] == 2
    other.dataReceived(binary(9, bytes(7) + b"\2", (63, b"sdp")))
    assert world.recorded == [("stands", f"{2:016x}", b"sdp")]


@pytest.mark.parametrize("reconnects", [True, False])
def test_calls_survive_seconds_without_a_network_path_to_the_server_but_not_its_loss(reconnects):
    world, link = server_link()
    world.offer(ID)
    link.dataReceived(binary(9, bytes.fromhex(ID), (63, b"sdp")))
    for _ in range(8):
        world.wait(500)
        if link.server.connecting:
            link.server.connect_failed(refused=False)
    assert link.transport.disconnecting and world.recorded == [("stands", ID, b"sdp")]
    if reconnects:
        up(link.server).dataReceived(binary(12, bytes.fromhex(ID), (61, b"\x10")))
        assert world.recorded[1:] == [("over", ID, False)]
        return
    for _ in range(7):
        world.wait(500)
        if link.server.connecting:
            link.server.connect_failed(refused=False)
    assert world.recorded[1:] == [("over", ID, True)]


def test_a_connection_over_the_maximum_closes_an_idle_one_and_none_is_opened_for_it():
    world, link = server_link()
    server = link.server
    for _ in range(4):
        up(server)
    assert len(server.active) == 4 and link.transport.half_closed and not server.upstream.reactor
    world.wait(200)
    assert not link.transport.disconnecting, "messages in flight on it are still read"
    world.wait(250)
    assert link.transport.disconnecting


def test_a_connection_that_misses_state_reports_sent_on_another_is_dead():
    world, link = server_link()
    other = up(link.server)
    world.offer(ID)
    link.dataReceived(binary(9, bytes.fromhex(ID), (63, b"sdp")))
    for _ in range(19):
        world.wait(100)
        other.dataReceived(binary(43, bytes(8), (51, b"x0:50;x1:50")))
        assert not other.transport.disconnecting
    world.wait(400)
    assert link.transport.disconnecting and not other.transport.disconnecting
    assert world.recorded == [("stands", ID, b"sdp")], "its calls go on"


def test_a_connection_reset_right_after_opening_loses_no_set_up():
    world, link = server_link()
    link.connectionLost()
    world.offer(ID)
    reset = ServerConnection(link.server)
    reset.makeConnection(Transport())
    reset.connectionLost()
    assert not world.metrics.counts["attempts.cut"] and len(link.server.upstream.reactor) == 2
    assert sent(up(link.server)) == 1


def test_a_release_waits_for_a_connection_and_calls_survive_a_failed_connect():
    world, link = server_link()
    request = world.offer(ID)
    link.dataReceived(binary(9, bytes.fromhex(ID), (63, b"sdp")))
    link.connectionLost()
    link.server.connect_failed(refused=False)
    world.engine.hang_up(request)
    assert world.recorded == [("stands", ID, b"sdp")], (
        "a connect that times out does not prove the calls lost"
    )
    assert binary(12, bytes.fromhex(ID), (61, b"\x10")) in up(link.server).transport.value()


def test_a_peer_that_stops_reading_is_disconnected():
    world, link = caller()
    link.pauseProducing()
    assert link.send(b"x")
    world.wait(2001)
    assert not link.send(b"y") and link.transport.disconnecting
    assert isinstance(world.metrics, Metrics) and world.metrics.counts["clients.stalled"] == 1


def test_the_release_of_a_call_whose_connection_is_lost_goes_to_other_callers_until_acknowledged():
    """A peer that polls for readiness sends most recently of all, but does not handle releases."""
    world, link = caller()
    link.dataReceived(INVITE)
    world.engine.on_established(world.sent[0], b"sdp")
    others = [link.downstream.buildProtocol(None) for _ in range(3)]
    for i, other in enumerate(others):
        other.makeConnection(Transport())
        other.dataReceived(INVITE.replace(b"9b1f", b"000%d" % i) if i < 2 else sip(b"OPTIONS"))
        other.transport.clear()
    first, second, poller = others
    link.connectionLost()
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
    assert releases() == [1, 1, 0] and not link.downstream.pending_releases, "acknowledged"


def test_the_release_of_a_call_without_an_open_connection_goes_to_the_next_one_opened():
    world, link = caller()
    link.dataReceived(INVITE)
    world.engine.on_established(world.sent[0], b"sdp")
    link.connectionLost()
    world.engine.on_attempt_ended(world.sent[0], interface.Outcome.SERVED)
    late = link.downstream.buildProtocol(None)
    late.makeConnection(Transport())
    assert late.transport.value().startswith(b"BYE ") and ID.encode() in late.transport.value()
    late.dataReceived(
        b"SIP/2.0 200 OK\r\nCall-ID: %s\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n" % ID.encode()
    )
    late.connectionLost()
    third = link.downstream.buildProtocol(None)
    third.makeConnection(Transport())
    assert third.transport.value() == b"", "once acknowledged, it is not sent again"
