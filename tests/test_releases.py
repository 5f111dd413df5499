"""The ends of calls are told to callers, whoever else is connected: on fake transports, and by the program.

Callers answer a release; the other peers here only send set-ups that are refused, and never answer anything.
"""

import time

import pytest

from leadslip import interface
from leadslip.net.callers import CallerConnections, CallerEvidence
from leadslip.net.clients import Clients
from leadslip.net.connections import WRITE_STALL_TIMEOUT_MS
from leadslip.net.inbound import FIRST_MESSAGE_TIMEOUT_MS, IDLE_TIMEOUT_MS
from leadslip.net.releases import MAX_PRECAUTIONARY_RESENDS, RESEND_AFTER_MS, RESEND_CHECK_INTERVAL_MS
from leadslip.readiness import Readiness
from tests.standins import Caller, Program, SetupServer
from tests.test_core import EngineFixture
from tests.test_links import INVITE, Transport, sip

MAX_CONNECTIONS, OVERFLOW = 10, 2
RELEASE_LIMIT_MS = 1000.0  # the protocol's limit for telling a caller of a call's end


class CallersSide:
    """The callers' side of a proxy, with connections on fake transports; established calls go on until `end`."""

    def __init__(self):
        self.world = EngineFixture()
        self.clients = Clients(
            self.world.engine, self.world.metrics, MAX_CONNECTIONS, Readiness(listening=True), OVERFLOW
        )
        self.call_count = 0

    def connect(self):
        """Opens a connection; the transport of one that is closed for it reports its loss."""
        connection = self.clients.buildProtocol(None)
        for closing in list(self.clients.inbound.closing):
            closing.connectionLost()
        connection.makeConnection(Transport())
        return connection

    def send_set_up(self, connection, call_class=b"plain"):
        """Sends a set-up on a connection; returns the call's id."""
        self.call_count += 1
        id_ = f"{self.call_count:016x}"
        set_up = INVITE.replace(b"9b1f03aa5c7e2d41", id_.encode()).replace(b"plain", call_class)
        connection.dataReceived(set_up)
        return id_

    def establish(self, connection):
        """Establishes a call that is set up on a connection; returns its attempt."""
        self.send_set_up(connection)
        attempt = self.world.sent[-1]
        self.world.engine.on_established(attempt, b"sdp")
        return attempt

    def connect_refused(self):
        """Opens a connection with one refused set-up, of a class that does not exist."""
        connection = self.connect()
        self.send_set_up(connection, b"no-such-class")
        assert b" 503 " in connection.transport.value()
        return connection

    def end(self, attempt):
        """The server reports the end of a call."""
        self.world.engine.on_attempt_ended(attempt, interface.Outcome.SERVED)

    def is_open(self, connection):
        return connection in self.clients.connections


def is_told(connection, attempt):
    """Returns whether the release of a call has been written on a connection."""
    return b"BYE sip:caller@net SIP/2.0\r\nVia: SIP/2.0/TCP proxy\r\nCall-ID: %s\r\n" % (
        attempt.request.id.encode()
    ) in (connection.transport.value())


def respond(connection, attempt, status):
    """The peer of a connection responds to the release of a call."""
    id_ = attempt.request.id.encode()
    connection.dataReceived(
        b"SIP/2.0 %s\r\nCall-ID: %s\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n" % (status, id_)
    )


def acknowledge(connection, attempt):
    """The peer of a connection has the call, and acknowledges its release."""
    respond(connection, attempt, b"200 OK")


def reject(connection, attempt):
    """The peer of a connection does not have the call."""
    respond(connection, attempt, b"481 Call/Transaction Does Not Exist")


def test_at_the_limit_the_connection_of_an_established_call_is_not_closed():
    """Guards against closing it as the one idle longest: its caller has nothing to send while the call goes on."""
    side = CallersSide()
    caller = side.connect()
    attempt = side.establish(caller)
    refused = [side.connect_refused() for _ in range(5 * MAX_CONNECTIONS)]
    assert side.is_open(caller) and sum(map(side.is_open, refused)) == MAX_CONNECTIONS - 1
    side.end(attempt)
    assert is_told(caller, attempt)


def test_at_the_limit_one_of_only_connections_with_calls_is_closed_and_its_call_is_told_on_another():
    side = CallersSide()
    callers = [side.connect() for _ in range(MAX_CONNECTIONS)]
    attempts = [side.establish(caller) for caller in callers]
    newcomer = side.connect()
    assert [side.is_open(caller) for caller in callers] == [False] + [True] * (MAX_CONNECTIONS - 1)
    assert side.is_open(newcomer)
    side.end(attempts[0])
    assert sum(is_told(caller, attempts[0]) for caller in callers[1:]) == 1


def test_at_the_limit_a_connection_stays_open_until_the_release_on_it_is_acknowledged():
    """Guards against closing it between the release and its acknowledgement, so that others are told as well."""
    side = CallersSide()
    caller = side.connect()
    attempt = side.establish(caller)
    for _ in range(MAX_CONNECTIONS):
        side.connect_refused()
    side.end(attempt)
    refused = [side.connect_refused() for _ in range(MAX_CONNECTIONS)]
    assert side.is_open(caller) and is_told(caller, attempt)
    assert not any(is_told(connection, attempt) for connection in refused)
    acknowledge(caller, attempt)
    for _ in range(MAX_CONNECTIONS):
        side.connect_refused()
    assert not side.is_open(caller), "no call is left on it"


@pytest.fixture
def server():
    return SetupServer("hold")


@pytest.fixture
def program(tmp_path, server):
    """The proxy with one server and few descriptors; stopped after the test, also after one that failed."""
    program = Program(tmp_path, {"s0": server.address}, limits={"sockets": 96})
    yield program
    assert program.stop() == 0


def test_a_caller_is_told_of_its_calls_end_while_refused_peers_fill_the_connections(program, server):
    """Guards against the same in the running program: peers that ask once and stay crowd out a standing call."""
    caller = Caller(program)
    caller.invite(f"{1:016x}")
    assert caller.receive()[0] == "SIP/2.0 200 OK"
    refused = []
    for i in range(80):
        refused.append(Caller(program))
        refused[-1].invite(f"{100 + i:016x}", call_class="no-such-class")
        assert refused[-1].receive()[0].startswith("SIP/2.0 503")
    ended_at = time.monotonic()
    server.release_all()
    assert caller.receive()[0].startswith("BYE ")
    assert time.monotonic() - ended_at < RELEASE_LIMIT_MS / 1000.0
    program.stop()
    assert program.counts()["clients.over_limit"] > 20


def test_a_connection_is_not_idle_while_a_call_established_on_it_goes_on():
    """Guards against the idle time-out closing it while its caller has nothing to send: the call's end went untold."""
    side = CallersSide()
    caller, other = side.connect(), side.connect_refused()
    attempt = side.establish(caller)
    side.world.wait(2 * IDLE_TIMEOUT_MS)
    assert side.is_open(caller) and not side.is_open(other)
    side.end(attempt)
    assert is_told(caller, attempt)
    side.world.wait(100)
    acknowledge(caller, attempt)
    side.world.wait(IDLE_TIMEOUT_MS + 300)
    assert not side.is_open(caller), "no call is left on it"


def test_an_unfinished_message_closes_no_connection_on_which_a_call_goes_on():
    """Guards against closing it for a caller that writes slowly or pauses: the call's end then has to go elsewhere."""
    side = CallersSide()
    caller, other = side.connect(), side.connect_refused()
    attempt = side.establish(caller)
    for connection in (caller, other):
        connection.dataReceived(INVITE[:40])
    side.world.wait(FIRST_MESSAGE_TIMEOUT_MS + 300)
    assert side.is_open(caller) and not side.is_open(other)
    side.end(attempt)
    assert is_told(caller, attempt)


def test_the_end_of_a_call_without_a_connection_is_told_to_a_caller_and_not_to_refused_peers():
    """Guards against taking whoever sent the latest set-up for a caller that handles releases."""
    side = CallersSide()
    closed, caller, idle_caller = side.connect(), side.connect(), side.connect()
    attempt = side.establish(closed)
    acknowledged = side.establish(caller)
    side.end(acknowledged)
    acknowledge(caller, acknowledged)
    side.establish(idle_caller)
    refused = [side.connect_refused() for _ in range(5)]
    closed.connectionLost()
    side.end(attempt)
    assert is_told(caller, attempt), "it has acknowledged a release"
    side.world.wait(500)
    assert is_told(idle_caller, attempt), "a call was established on it"
    assert not any(is_told(peer, attempt) for peer in refused)


def test_a_release_is_resent_though_many_connections_that_it_was_sent_on_have_closed():
    """Guards against a back-off that counts closed connections: it passed all bounds, and ended all resending."""
    side = CallersSide()
    closed = side.connect()
    attempt = side.establish(closed)
    closed.connectionLost()
    side.end(attempt)
    for _ in range(1500):
        side.connect().connectionLost()
    first, second = side.connect(), side.connect()
    assert is_told(first, attempt)
    side.world.wait(RELEASE_LIMIT_MS)
    assert is_told(second, attempt)


def test_an_unacknowledged_release_is_sent_to_each_peer_before_it_is_sent_to_one_again():
    """Guards against a release that alternates between the two latest peers while a third one is the caller."""
    side = CallersSide()
    closed = side.connect()
    attempt = side.establish(closed)
    peers = [side.connect_refused() for _ in range(4)]
    closed.connectionLost()
    side.end(attempt)
    side.world.wait(2500)
    assert all(is_told(peer, attempt) for peer in peers)


def test_an_answer_to_a_release_that_was_sent_to_others_is_no_acknowledgement():
    """Guards against a peer that answers what it was never sent, and would then be told of the ends of calls."""
    side = CallersSide()
    caller, other = side.connect(), side.connect()
    attempt = side.establish(caller)
    side.end(attempt)
    acknowledge(other, attempt)
    assert side.clients.releases.is_pending(attempt.request.id)
    acknowledge(caller, attempt)
    assert not side.clients.releases.is_pending(attempt.request.id)


def test_an_end_is_told_on_another_connection_if_the_calls_own_one_is_not_read():
    """Guards against leaving the release to the next connection opened, though others are open."""
    side = CallersSide()
    unread, caller = side.connect(), side.connect()
    attempt = side.establish(unread)
    side.establish(caller)
    unread.pauseProducing()
    side.world.wait(WRITE_STALL_TIMEOUT_MS + 1)
    side.end(attempt)
    assert unread.transport.disconnecting, "it is closed, so that its write buffer stays bounded"
    assert is_told(caller, attempt)


def test_an_end_told_only_to_unproven_peers_is_told_to_the_next_proven_caller():
    """Guards against a back-off that ends, after 4.5 of 8 s, before a caller has set up a call: at a restart."""
    side = CallersSide()
    peers = [side.connect_refused() for _ in range(3)]
    side.clients.releases.release(f"{0xABC:016x}", cut=False)
    side.world.wait(6000)
    caller = side.connect()
    side.establish(caller)
    release = b"BYE sip:caller@net SIP/2.0\r\nVia: SIP/2.0/TCP proxy\r\nCall-ID: %016x" % 0xABC
    assert all(release in peer.transport.value() for peer in peers)
    assert caller.transport.value().count(release) == 1
    side.establish(caller)
    assert caller.transport.value().count(release) == 1


# Guards against answers that come late or never (picture b): finding whom to tell next looked at every caller for each
# release, and each close at every release.
def test_the_next_caller_for_a_release_is_found_among_those_that_it_was_not_sent_on():
    callers = CallerConnections()
    connections = [object() for _ in range(500)]
    for connection in connections:
        callers.add(connection, CallerEvidence.ESTABLISHED)
    callers.add(connections[7], CallerEvidence.ACKNOWLEDGED)
    looked_at = []

    class Tried(set):
        def __contains__(self, connection):
            looked_at.append(connection)
            return super().__contains__(connection)

    assert callers.best(Tried({connections[7]})) is connections[499]
    assert looked_at == [connections[7], connections[499]]
    callers.remove(connections[499])
    assert callers.best(Tried({connections[7]})) is connections[498]


# Guards against one caller being flooded (picture b): it was sent all releases that others had not acknowledged.
def test_few_releases_that_their_own_callers_left_unacknowledged_are_sent_to_another_at_once():
    side = CallersSide()
    silent, steady = side.connect(), side.connect()
    known = side.establish(steady)
    side.end(known)
    acknowledge(steady, known)
    attempts = [side.establish(silent) for _ in range(1000)]
    for attempt in attempts:
        side.end(attempt)
    side.world.wait(RESEND_AFTER_MS + RESEND_CHECK_INTERVAL_MS)
    told = sum(is_told(steady, attempt) for attempt in attempts)
    assert 0 < told <= 2 * MAX_PRECAUTIONARY_RESENDS, "in the two checks since they are due"


def test_all_releases_of_a_closed_connection_are_sent_to_another_at_once():
    side = CallersSide()
    leaving, steady = side.connect(), side.connect()
    side.establish(steady)
    attempts = [side.establish(leaving) for _ in range(1000)]
    leaving.connectionLost()
    for attempt in attempts:
        side.end(attempt)
    assert all(is_told(steady, attempt) for attempt in attempts)


# Guards against review/6: after a restart the ends of calls were told to a connection that only checks readiness, whose
# 481 counted as an acknowledgement.
def test_a_release_that_its_receiver_rejects_is_sent_to_the_next_connection_opened():
    side = CallersSide()
    front, early = side.connect(), side.connect()
    attempt = side.establish(early)
    early.connectionLost()
    side.end(attempt)
    assert is_told(front, attempt)
    reject(front, attempt)
    assert side.clients.releases.is_pending(attempt.request.id)
    side.world.wait(2000)
    assert front.transport.value().count(b"BYE sip:") == 1, "who rejects it is not asked again"
    caller = side.connect()
    assert is_told(caller, attempt)
    acknowledge(caller, attempt)
    assert not side.clients.releases.is_pending(attempt.request.id)


# Guards against each of many callers being asked in turn, call by call, where acknowledging is left out as it is free.
def test_a_release_told_on_its_own_connection_is_not_sent_on_at_once_when_another_rejects_it():
    side = CallersSide()
    others = [side.connect() for _ in range(6)]
    for other in others:
        side.establish(other)
    own = side.connect()
    attempt = side.establish(own)
    side.end(attempt)
    asked = []
    for _ in range(79):
        side.world.wait(RESEND_CHECK_INTERVAL_MS)
        for other in others:
            if other not in asked and is_told(other, attempt):
                asked.append(other)
                reject(other, attempt)
    assert len(asked) <= 4, "after 300, 600, 1,200 and 2,400 ms, as without an answer"


# Guards against review/6 beside other callers: each is asked at once when the one before has rejected it.
def test_a_rejected_release_is_sent_on_at_once_and_a_caller_that_proves_itself_later_is_told():
    side = CallersSide()
    others = [side.connect() for _ in range(2)]
    for other in others:
        side.establish(other)
    leaving = side.connect()
    attempt = side.establish(leaving)
    leaving.connectionLost()
    side.end(attempt)
    for other in reversed(others):
        assert is_told(other, attempt)
        reject(other, attempt)
    newcomer = side.connect()
    assert is_told(newcomer, attempt), "it waits for a connection that has not been asked"


def test_a_provisional_response_to_a_release_neither_acknowledges_nor_rejects_it():
    side = CallersSide()
    caller = side.connect()
    attempt = side.establish(caller)
    side.end(attempt)
    respond(caller, attempt, b"100 Trying")
    assert side.clients.releases.is_pending(attempt.request.id)
    acknowledge(caller, attempt)
    assert not side.clients.releases.is_pending(attempt.request.id)


def test_a_release_by_the_caller_itself_ends_the_resending_of_the_proxys_own():
    side = CallersSide()
    caller = side.connect()
    attempt = side.establish(caller)
    side.end(attempt)
    caller.dataReceived(sip(b"BYE", attempt.request.id))
    assert b"SIP/2.0 200 OK" in caller.transport.value()
    assert not side.clients.releases.is_pending(attempt.request.id)
