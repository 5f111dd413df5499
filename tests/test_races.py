"""Race conditions, forced one by one: data unread at the time of a decision, and messages that cross the exit."""

import pytest

from leadslip import interface
from leadslip.net.clients import Clients
from leadslip.net.connections import OVERFLOW_TIMEOUT_MS, READ_BYTES, WRITE_STALL_TIMEOUT_MS
from leadslip.net.servers import Server
from leadslip.readiness import Readiness
from tests.standins import binary
from tests.test_links import ID, INVITE, Transport, server_link, sip, up

OTHER_ID = "0b1f03aa5c7e2d42"
END_OF_STREAM = None  # an unread end of the connection in Transport.unread


def callers(world, count, max_connections=10, overflow=0):
    """Returns the callers' side of the world's engine, and connections to it."""
    clients = Clients(world.engine, world.metrics, max_connections, Readiness(listening=True), overflow)
    return clients, [accept(clients) for _ in range(count)]


def accept(clients):
    link = clients.buildProtocol(None)
    if link is not None:
        link.makeConnection(Transport())
    return link


def invite(id_=ID, server=0):
    return INVITE.replace(ID.encode(), id_.encode()).replace(b"dest:1", b"dest:%d" % server)


def second_server(connection):
    """Adds a server with an active connection; returns that connection."""
    servers = connection.server.upstream
    server = servers.servers["s1"] = Server(servers, "s1", ("127.0.0.1", 2), interface.ServerState.READY, 0.0)
    return up(server)


def set_up(link, id_=ID):
    """Returns the number of set-ups of a call written on a connection to a server."""
    return link.transport.value().count(b"\x01" + bytes.fromhex(id_))


DEPARTURES = [[END_OF_STREAM], [sip(b"CANCEL")], [sip(b"OPTIONS") + sip(b"CANCEL")]]


@pytest.mark.parametrize("unread", DEPARTURES)
def test_no_retry_is_sent_when_the_cancel_or_close_of_the_caller_is_unread(unread):
    world, first = server_link()
    second = second_server(first)
    _, (caller,) = callers(world, 1)
    caller.dataReceived(invite())
    assert set_up(first) == 1
    caller.transport.unread += unread
    first.dataReceived(binary(12, bytes.fromhex(ID), (61, b"\x22"), (47, b"overload")))
    assert set_up(second) == 0 and not world.engine.open
    assert world.metrics.counts["requests.cancelled"] == 1


@pytest.mark.parametrize("unread", DEPARTURES)
def test_no_first_attempt_is_sent_when_a_cancel_or_close_follows_in_the_socket(unread):
    world, server = server_link()
    _, (caller,) = callers(world, 1)
    caller.transport.unread += unread
    caller.dataReceived(invite())
    assert set_up(server) == 0 and not world.engine.open
    assert world.metrics.counts["requests"] == 0, "the request never reached the engine"


def test_a_queued_set_up_is_not_sent_after_its_caller_has_left_or_its_deadline_has_passed():
    world, link = server_link()
    link.connectionLost()
    _, (departed, present, late) = callers(world, 3)
    for caller, id_ in ((departed, ID), (present, OTHER_ID), (late, "0" * 16)):
        caller.dataReceived(
            invite(id_).replace(b"Expires-Ms: 1500", b"Expires-Ms: 90") if caller is late else invite(id_)
        )
    assert len(link.server.queued) == 3
    departed.transport.unread.append(END_OF_STREAM)
    world.time.rightNow += (
        0.1  # the connection opens in the same reactor turn as the deadline, and is processed first
    )
    newer = up(link.server)
    assert [set_up(newer, id_) for id_ in (ID, OTHER_ID, "0" * 16)] == [0, 1, 0]


def test_a_queued_set_up_that_ends_while_the_queue_is_sent_is_not_sent():
    world, link = server_link()
    link.connectionLost()
    _, (first, second) = callers(world, 2)
    first.dataReceived(invite())
    second.dataReceived(invite(OTHER_ID))
    read_pending = first.read_pending
    # sending the first ends the second
    first.read_pending = lambda: (read_pending(), second.connectionLost())
    newer = up(link.server)
    assert [set_up(newer, id_) for id_ in (ID, OTHER_ID)] == [1, 0]


def test_a_set_up_is_flushed_to_the_kernel_in_the_turn_of_its_decision():
    world, link = server_link()
    world.offer(ID)
    assert set_up(link) == 1 and link.transport.flushed == len(link.transport.value())


def test_a_flood_on_one_connection_does_not_delay_its_set_ups_without_bound():
    world, link = server_link()
    _, (caller,) = callers(world, 1)
    caller.transport.unread += [sip(b"OPTIONS")] * 100
    caller.dataReceived(invite())
    assert set_up(link) == 1 and len(caller.transport.unread) > 90


def test_expired_deadlines_wait_until_the_sockets_have_been_read_once():
    world, _ = server_link()
    fired = []
    world.deadlines.call_at(world.now_ms() + 10.0, lambda _: fired.append("due"))
    call_later = world.time.callLater
    delays = []
    world.time.callLater = lambda seconds, work: delays.append(seconds) or call_later(seconds, work)
    world.time.advance(0.05)
    assert delays[0] == 0.0 and fired == ["due"], "one more turn of the reactor reads the sockets first"


def test_a_connection_with_an_unread_message_is_not_evicted():
    world, server = server_link()
    clients, (sender, silent) = callers(world, 2, max_connections=2)
    sender.transport.unread.append(invite())
    additional = accept(clients)
    assert additional is not None and silent.transport.disconnecting and not sender.transport.disconnecting
    assert set_up(server) == 1, "the message is read, and its set-up is sent"


def test_an_idle_connection_with_an_unread_message_is_not_closed():
    world, server = server_link()
    clients, (caller,) = callers(world, 1)
    caller.dataReceived(sip(b"OPTIONS"))
    world.wait(14_900)
    caller.transport.unread.append(invite())
    world.wait(200)
    assert set_up(server) == 1 and not caller.transport.disconnecting


def test_an_evicted_connection_still_delivers_its_answer():
    world, server = server_link()
    clients, (caller,) = callers(world, 1, max_connections=1)
    aborted = []
    caller.transport.abortConnection = lambda: aborted.append(True)
    caller.dataReceived(invite())
    server.dataReceived(binary(9, bytes.fromhex(ID), (63, b"sdp")))
    assert accept(clients) is None and not aborted, (
        "it closes once the answer is sent, and counts as open until then"
    )
    assert caller.transport.disconnecting
    world.wait(WRITE_STALL_TIMEOUT_MS + 300)
    assert aborted, "a peer that does not read is aborted"


def test_when_all_connections_await_an_answer_a_few_more_are_accepted_and_refused():
    world, server = server_link()
    clients, (caller,) = callers(world, 1, max_connections=1, overflow=2)
    caller.dataReceived(invite())
    refused = accept(clients)
    refused.dataReceived(invite(OTHER_ID) + invite())
    silent = accept(clients)
    assert refused.transport.value().startswith(b"SIP/2.0 503 ") and refused.transport.disconnecting
    assert b"SIP/2.0 500 " in refused.transport.value(), (
        "a set-up whose id is in use on another connection fails"
    )
    assert (set_up(server, OTHER_ID), list(world.engine.open)) == (0, [ID])
    refused.connectionLost()
    world.wait(OVERFLOW_TIMEOUT_MS + 300)
    assert silent.transport.disconnecting and not caller.transport.disconnecting
    assert world.metrics.counts["answers.refused"] == 1


def test_on_shutdown_new_set_ups_are_refused_and_each_connection_closes_once_its_answers_are_sent():
    world, server = server_link()
    clients, (waiting, idle, sending) = callers(world, 3)
    waiting.dataReceived(invite())
    sending.transport.unread.append(invite(OTHER_ID))
    world.engine.shut_down()
    assert not clients.close_connections(), "the answers are not sent yet"
    assert waiting.transport.value().startswith(b"SIP/2.0 500 ")
    assert sending.transport.value().startswith(b"SIP/2.0 503 ") and set_up(server, OTHER_ID) == 0
    for link in (waiting, idle, sending):
        assert link.transport.disconnecting
        link.connectionLost()
    assert clients.close_connections()


def test_a_connect_without_a_free_descriptor_says_nothing_about_the_server():
    world, link = server_link()
    world.offer(ID)
    link.dataReceived(binary(9, bytes.fromhex(ID), (63, b"sdp")))
    world.wait(7000)  # longer than a server may be silent
    link.server.no_local_socket()
    assert ("over", ID, True) not in world.recorded and not link.server.unreachable


def test_additional_connections_to_a_server_stop_at_the_descriptor_limit():
    world, link = server_link()
    servers = link.server.upstream
    servers.max_connections = 1
    for i in range(3):
        world.offer(f"{i:016x}")
    assert not servers.reactor and len(link.set_ups) == 3
    servers.max_connections = 2
    world.offer(f"{3:016x}")
    assert len(servers.reactor) == 1


def test_a_class_with_a_non_ascii_name_is_served():
    world, server = server_link()
    _, (caller,) = callers(world, 1)
    caller.dataReceived(invite().replace(b"Priority-Class: plain", "Priority-Class: 급보".encode()))
    assert caller.set_ups == {} and caller.transport.value().startswith(b"SIP/2.0 503 "), (
        "not in the settings"
    )
    (plain,) = [call_class for call_class in world.engine.settings.classes if call_class.name == "plain"]
    world.engine.apply_settings(
        interface.Settings(
            gateways=1, index=0, classes=(interface.CallClass("급보", 1.0, 0.2, 1500.0, 9000.0),)
        ),
        100,
    )
    caller.dataReceived(invite().replace(b"Priority-Class: plain", "Priority-Class: 급보".encode()))
    assert "급보".encode() in server.transport.value()


def test_a_release_that_a_stalled_connection_does_not_accept_is_sent_on_the_next():
    world, link = server_link()
    request = world.offer(ID)
    link.dataReceived(binary(9, bytes.fromhex(ID), (63, b"sdp")))
    link.pauseProducing()
    world.wait(WRITE_STALL_TIMEOUT_MS + 1)
    world.engine.hang_up(request)
    link.connectionLost()
    assert binary(12, bytes.fromhex(ID), (61, b"\x10")) in up(link.server).transport.value()


def test_a_set_up_does_not_wait_behind_unsent_data():
    world, blocked = server_link()
    other = up(blocked.server)
    blocked.transport.dataBuffer = b"the rest of an earlier one"
    world.offer(ID)
    assert (set_up(blocked), set_up(other)) == (0, 1)
    other.transport.dataBuffer = b"and here"
    world.offer(OTHER_ID)
    assert (set_up(blocked, OTHER_ID), set_up(other, OTHER_ID)) == (0, 0)
    assert world.metrics.counts["attempts.no_connection"] == 2, "here, and at the server without a connection"


def test_an_unsent_set_up_is_dropped_with_its_connection_once_its_caller_has_left():
    world, link = server_link()
    request = world.offer(ID)
    link.transport.dataBuffer = b"the rest of it"
    world.engine.cancel(request)
    assert link.transport.disconnecting and link.server.active == []
    assert not link.transport.value().endswith(binary(12, bytes.fromhex(ID), (61, b"\x10")))


def test_a_flood_is_limited_to_the_size_of_one_read_per_turn():
    world, _ = server_link()
    _, (caller,) = callers(world, 1)
    ids = iter(range(100_000))
    read = b"".join(invite(f"{next(ids):016x}") for _ in range(100))
    caller.transport.unread += [b"".join(invite(f"{next(ids):016x}") for _ in range(100)) for _ in range(100)]
    sizes = []
    read_available = caller.read_available
    caller.read_available = lambda max_bytes: sizes.append(max_bytes) or read_available(max_bytes)
    caller.dataReceived(read)
    assert sizes[0] == READ_BYTES - len(read) and all(size > 0 for size in sizes) and len(sizes) <= 4
    before = len(sizes)
    last = invite(f"{next(ids):016x}")
    caller.dataReceived(b"\r\n" * ((READ_BYTES - len(last)) // 2 + 1) + last)
    assert len(sizes) == before, "a full read is not followed by another in its turn"


ANSWERED = binary(9, bytes.fromhex(ID), (63, b"sdp"))


@pytest.mark.parametrize("split", range(len(ANSWERED) + 1))
def test_an_answer_split_at_any_byte_counts_once_complete_and_not_if_the_connection_ends(split):
    world, link = server_link()
    world.offer(ID)
    link.dataReceived(ANSWERED[:split])
    assert world.recorded == ([("stands", ID, b"sdp")] if split == len(ANSWERED) else [])
    link.dataReceived(ANSWERED[split:])
    assert world.recorded == [("stands", ID, b"sdp")]
    other, broken = server_link()
    other.offer(ID)
    broken.dataReceived(ANSWERED[:split])
    broken.connectionLost()
    complete = split == len(ANSWERED)
    assert other.metrics.counts["attempts.cut"] == (not complete) and len(other.recorded) == complete
