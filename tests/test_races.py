"""Race conditions, forced one by one: data is unread in a socket when the proxy sends a set-up or closes a connection.

The protocols of leadslip.net run on the fake transport of test_links, which holds the unread data.
"""

import pytest

from leadslip import interface
from leadslip.net.clients import Clients
from leadslip.net.connections import READ_BYTES, WRITE_STALL_TIMEOUT_MS
from leadslip.net.inbound import OVERFLOW_TIMEOUT_MS, SLICE_BYTES
from leadslip.net.servers import RECENTLY_ENDED_MS, Server
from leadslip.readiness import Readiness
from tests.standins import encode_message
from tests.test_links import ID, INVITE, Transport, connect_server, open_connection, sip

OTHER_ID = "0b1f03aa5c7e2d42"
END_OF_STREAM = None  # in Transport.unread: the end of the connection


def callers(world, count, max_connections=10, overflow=0):
    """Returns the Clients of the world's engine, and `count` connections from callers."""
    clients = Clients(world.engine, world.metrics, max_connections, Readiness(listening=True), overflow)
    return clients, [accept(clients) for _ in range(count)]


def accept(clients):
    """Opens a connection from a caller; returns the proxy's side, or None if it is not accepted."""
    connection = clients.buildProtocol(None)
    if connection is not None:
        connection.makeConnection(Transport())
    return connection


def invite(id_=ID, server=0):
    """Returns a set-up whose first choice is the server with this number."""
    return INVITE.replace(ID.encode(), id_.encode()).replace(b"dest:1", b"dest:%d" % server)


def second_server(connection):
    """Adds the server s1 beside that of a connection; returns an active connection to it."""
    servers = connection.server.upstream
    server = servers.servers["s1"] = Server(servers, "s1", ("127.0.0.1", 2), interface.ServerState.READY, 0.0)
    return open_connection(server)


def set_up_count(connection, id_=ID):
    """Returns the number of set-ups of a call written on a connection to a server."""
    return connection.transport.value().count(b"\x01" + bytes.fromhex(id_))


# Unread data by which a caller cancels its set-up or disconnects.
DEPARTURES = [[END_OF_STREAM], [sip(b"CANCEL")], [sip(b"OPTIONS") + sip(b"CANCEL")]]


@pytest.mark.parametrize("unread", DEPARTURES)
def test_no_retry_is_sent_when_the_cancel_or_close_of_the_caller_is_unread(unread):
    world, first = connect_server()
    second = second_server(first)
    _, (caller,) = callers(world, 1)
    caller.dataReceived(invite())
    assert set_up_count(first) == 1
    caller.transport.unread += unread
    first.dataReceived(encode_message(12, bytes.fromhex(ID), (61, b"\x22"), (47, b"overload")))
    assert set_up_count(second) == 0 and not world.engine.open_requests
    assert world.metrics.counts["requests.cancelled"] == 1


@pytest.mark.parametrize("unread", DEPARTURES)
def test_no_first_attempt_is_sent_when_a_cancel_or_close_follows_in_the_socket(unread):
    world, server = connect_server()
    _, (caller,) = callers(world, 1)
    caller.transport.unread += unread
    caller.dataReceived(invite())
    assert set_up_count(server) == 0 and not world.engine.open_requests
    assert world.metrics.counts["requests"] == 0, "the request never reached the engine"


def test_a_queued_set_up_is_not_sent_after_its_caller_has_left_or_its_deadline_has_passed():
    world, connection = connect_server()
    connection.connectionLost()
    _, (departed, present, late) = callers(world, 3)
    for caller, id_ in ((departed, ID), (present, OTHER_ID), (late, "0" * 16)):
        caller.dataReceived(
            invite(id_).replace(b"Expires-Ms: 1500", b"Expires-Ms: 90") if caller is late else invite(id_)
        )
    assert len(connection.server.queued) == 3
    departed.transport.unread.append(END_OF_STREAM)
    world.time.rightNow += (
        0.1  # the connection opens in the reactor turn in which the deadline passes, and is processed first
    )
    newer = open_connection(connection.server)
    assert [set_up_count(newer, id_) for id_ in (ID, OTHER_ID, "0" * 16)] == [0, 1, 0]


def test_a_queued_set_up_that_ends_while_the_queue_is_sent_is_not_sent():
    world, connection = connect_server()
    connection.connectionLost()
    _, (first, second) = callers(world, 2)
    first.dataReceived(invite())
    second.dataReceived(invite(OTHER_ID))
    read_pending = first.read_pending_about
    # Sending the first set-up ends the second, as its caller disconnects.
    first.read_pending_about = lambda id_: (read_pending(id_), second.connectionLost())
    newer = open_connection(connection.server)
    assert [set_up_count(newer, id_) for id_ in (ID, OTHER_ID)] == [1, 0]


def test_a_set_up_is_flushed_to_the_kernel_in_the_turn_of_its_decision():
    world, connection = connect_server()
    world.offer(ID)
    assert set_up_count(connection) == 1 and connection.transport.flushed == len(connection.transport.value())


def test_in_a_flood_a_set_up_is_offered_after_a_limited_number_of_further_reads():
    world, connection = connect_server()
    _, (caller,) = callers(world, 1)
    caller.transport.unread += [sip(b"OPTIONS")] * 100
    caller.dataReceived(invite())
    assert set_up_count(connection) == 1 and len(caller.transport.unread) > 90


def test_expired_deadlines_wait_until_the_sockets_have_been_read_once():
    world, _ = connect_server()
    fired = []
    world.deadlines.call_at(world.now_ms() + 10.0, lambda _: fired.append("due"))
    call_later = world.time.callLater
    delays = []
    world.time.callLater = lambda seconds, work: delays.append(seconds) or call_later(seconds, work)
    world.time.advance(0.05)
    assert delays[0] == 0.0 and fired == ["due"], "the reactor reads the sockets in one more turn first"


def test_a_connection_with_an_unread_message_is_not_evicted():
    world, server = connect_server()
    clients, (sender, silent) = callers(world, 2, max_connections=2)
    sender.transport.unread.append(invite())
    additional = accept(clients)
    assert additional is not None and silent.transport.disconnecting and not sender.transport.disconnecting
    assert set_up_count(server) == 1, "the message is read, and its set-up is sent"


def test_an_idle_connection_with_an_unread_message_is_not_closed():
    world, server = connect_server()
    clients, (caller,) = callers(world, 1)
    caller.dataReceived(sip(b"OPTIONS"))
    world.wait(14_900)
    caller.transport.unread.append(invite())
    world.wait(200)
    assert set_up_count(server) == 1 and not caller.transport.disconnecting


def test_an_evicted_connection_still_delivers_its_answer():
    world, server = connect_server()
    clients, (caller,) = callers(world, 1, max_connections=1)
    aborted = []
    caller.transport.abortConnection = lambda: aborted.append(True)
    caller.dataReceived(invite())
    server.dataReceived(encode_message(9, bytes.fromhex(ID), (63, b"sdp")))
    assert accept(clients) is None and not aborted, (
        "it closes once the answer is sent, and counts as open until then"
    )
    assert caller.transport.disconnecting
    world.wait(WRITE_STALL_TIMEOUT_MS + 300)
    assert aborted, "a peer that does not read is aborted"


def test_when_all_connections_await_an_answer_a_few_more_are_accepted_and_refused():
    world, server = connect_server()
    clients, (caller,) = callers(world, 1, max_connections=1, overflow=2)
    caller.dataReceived(invite())
    refused = accept(clients)
    refused.dataReceived(invite(OTHER_ID) + invite())
    silent = accept(clients)
    assert refused.transport.value().startswith(b"SIP/2.0 503 ") and refused.transport.disconnecting
    assert b"SIP/2.0 500 " in refused.transport.value(), (
        "a set-up whose id is in use on another connection fails"
    )
    assert (set_up_count(server, OTHER_ID), list(world.engine.open_requests)) == (0, [ID])
    refused.connectionLost()
    world.wait(OVERFLOW_TIMEOUT_MS + 300)
    assert silent.transport.disconnecting and not caller.transport.disconnecting
    assert world.metrics.counts["answers.refused"] == 1


def test_on_shutdown_new_set_ups_are_refused_and_each_connection_closes_once_its_answers_are_sent():
    world, server = connect_server()
    clients, (waiting, idle, sending) = callers(world, 3)
    waiting.dataReceived(invite())
    sending.transport.unread.append(invite(OTHER_ID))
    world.engine.shut_down()
    assert not clients.close_connections(), "the answers are not sent yet"
    assert waiting.transport.value().startswith(b"SIP/2.0 500 ")
    assert sending.transport.value().startswith(b"SIP/2.0 503 ") and set_up_count(server, OTHER_ID) == 0
    for connection in (waiting, idle, sending):
        assert connection.transport.disconnecting
        connection.connectionLost()
    assert clients.close_connections()


def test_a_connect_without_a_free_descriptor_neither_ends_calls_nor_marks_the_server_unreachable():
    world, connection = connect_server()
    world.offer(ID)
    connection.dataReceived(encode_message(9, bytes.fromhex(ID), (63, b"sdp")))
    world.wait(7000)  # longer than a server may be silent
    connection.server.no_local_socket()
    assert ("call_ended", ID, True) not in world.recorded and not connection.server.unreachable


def test_additional_connections_to_a_server_stop_at_the_descriptor_limit():
    world, connection = connect_server()
    servers = connection.server.upstream
    servers.max_connections = 1
    for i in range(3):
        world.offer(f"{i:016x}")
    assert not servers.reactor and len(connection.set_ups) == 3
    servers.max_connections = 2
    world.offer(f"{3:016x}")
    assert len(servers.reactor) == 1


def test_a_class_with_a_non_ascii_name_is_served():
    world, server = connect_server()
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
    world, connection = connect_server()
    request = world.offer(ID)
    connection.dataReceived(encode_message(9, bytes.fromhex(ID), (63, b"sdp")))
    connection.pauseProducing()
    world.wait(WRITE_STALL_TIMEOUT_MS + 1)
    world.engine.hang_up(request)
    connection.connectionLost()
    assert (
        encode_message(12, bytes.fromhex(ID), (61, b"\x10"))
        in open_connection(connection.server).transport.value()
    )


def test_a_set_up_is_not_written_to_a_connection_with_unsent_data():
    world, blocked = connect_server()
    other = open_connection(blocked.server)
    blocked.transport.dataBuffer = b"the rest of an earlier one"
    world.offer(ID)
    assert (set_up_count(blocked), set_up_count(other)) == (0, 1)
    other.transport.dataBuffer = b"and here"
    world.offer(OTHER_ID)
    assert (set_up_count(blocked, OTHER_ID), set_up_count(other, OTHER_ID)) == (0, 0)
    assert world.metrics.counts["attempts.no_connection"] == 2, (
        "at this server, and at the one without a connection"
    )


def test_an_unsent_set_up_is_dropped_with_its_connection_once_its_caller_has_left():
    world, connection = connect_server()
    request = world.offer(ID)
    connection.transport.dataBuffer = b"the rest of it"
    world.engine.cancel(request)
    assert connection.transport.disconnecting and connection.server.active == []
    assert not connection.transport.value().endswith(encode_message(12, bytes.fromhex(ID), (61, b"\x10")))


def test_a_flood_on_one_connection_is_read_by_one_slice_per_turn_and_offered_after_a_limited_size():
    world, server = connect_server()
    _, (caller,) = callers(world, 1)
    flood = b"".join(invite(f"{number:016x}") for number in range(2000))
    slices = [flood[start : start + SLICE_BYTES] for start in range(0, len(flood), SLICE_BYTES)]
    caller.transport.unread += slices[1:]
    assert caller.transport.bufferSize == SLICE_BYTES, "of the reactor's own reads"
    next_turn = []
    world.deadlines.call_next_turn = next_turn.append
    caller.dataReceived(slices[0])
    turns = 0
    while not set_up_count(server, "0" * 16):
        assert len(caller.transport.unread) == len(slices) - 2 - turns, "one further slice per turn"
        (callback,) = next_turn
        next_turn.clear()
        callback()
        turns += 1
    processed = (turns + 1) * SLICE_BYTES
    assert READ_BYTES - SLICE_BYTES <= processed <= READ_BYTES + SLICE_BYTES


# Guards against work for callers that have gone (picture c): with more unread than one look took in, the requests of a
# caller that had closed its connection were sent on.
def test_no_request_is_sent_if_the_caller_has_closed_with_much_still_unread():
    world, server = connect_server()
    _, (caller,) = callers(world, 1)
    flood = b"".join(invite(f"{number:016x}") for number in range(2000))
    caller.transport.unread += [flood, END_OF_STREAM]
    caller.dataReceived(invite())
    for _ in range(200):
        world.time.advance(0.0)
    assert server.transport.value().count(b"c=IN") == 0 and not world.engine.open_requests


# Guards against the same for a request that waited for a connection while its caller sent much and left.
def test_no_queued_request_is_sent_if_the_caller_has_closed_with_much_still_unread():
    world, connection = connect_server()
    connection.connectionLost()
    _, (caller,) = callers(world, 1)
    caller.dataReceived(invite())
    caller.transport.unread += [sip(b"OPTIONS", OTHER_ID) * 1000, END_OF_STREAM]
    assert set_up_count(open_connection(connection.server)) == 0 and not world.engine.open_requests


# Guards against delays for all other callers (picture b): each retry of a flood parsed all that was unread.
def test_what_is_unread_is_parsed_at_once_only_if_it_may_concern_the_request_to_be_sent():
    world, first = connect_server()
    second = second_server(first)
    _, (caller,) = callers(world, 1)
    caller.dataReceived(invite())
    caller.transport.unread.append(sip(b"OPTIONS", OTHER_ID) * 100)
    before = caller.transport.value().count(b"SIP/2.0 200")
    first.dataReceived(encode_message(12, bytes.fromhex(ID), (61, b"\x22"), (47, b"overload")))
    assert set_up_count(second) == 1 and caller.transport.value().count(b"SIP/2.0 200") == before
    for _ in range(100):
        world.time.advance(0.0)
    assert caller.transport.value().count(b"SIP/2.0 200") == before + 100


def test_a_cancellation_behind_much_that_is_unread_still_prevents_a_retry():
    world, first = connect_server()
    second = second_server(first)
    _, (caller,) = callers(world, 1)
    caller.dataReceived(invite())
    caller.transport.unread.append(sip(b"OPTIONS", OTHER_ID) * 300 + sip(b"CANCEL", ID.upper()))
    first.dataReceived(encode_message(12, bytes.fromhex(ID), (61, b"\x22"), (47, b"overload")))
    assert set_up_count(second) == 0 and not world.engine.open_requests


# Guards against connections held for good by peers that read nothing: without a send nobody noticed them.
def test_a_connection_whose_peer_does_not_read_is_not_read_and_aborted_after_2_s():
    world, _ = connect_server()
    clients, (caller,) = callers(world, 1)
    caller.pauseProducing()
    assert caller.transport.producerState == "paused"
    caller.resumeProducing()
    assert caller.transport.producerState == "producing"
    caller.pauseProducing()
    world.wait(WRITE_STALL_TIMEOUT_MS - 100)
    assert caller in clients.connections
    world.wait(500)
    assert caller not in clients.connections and world.metrics.counts["clients.stalled"] == 1


# Guards against processor time that grows with the size of a message times its pieces (picture a): the header was
# searched through for its length at each read of the body.
def test_the_header_of_a_message_that_is_written_slowly_is_parsed_once():
    world, _ = connect_server()
    _, (caller,) = callers(world, 1)
    parsed = []
    body_length = caller.body_length
    caller.body_length = lambda head: parsed.append(len(head)) or body_length(head)
    head, _, body = INVITE.replace(b"Length: 10", b"Length: 5000").partition(b"\r\n\r\n")
    caller.dataReceived(head + b"\r\n\r\n" + body)
    for _ in range(5000 - len(body)):
        caller.dataReceived(b"x")
    assert len(parsed) == 2 and caller.set_ups, "when the header is complete, and when the message is"


# Guards against memory that grows with the size of set-ups times the calls that stand (picture a).
def test_an_established_call_keeps_neither_the_description_nor_the_headers_of_its_set_up():
    world, server = connect_server()
    _, (caller,) = callers(world, 1)
    caller.dataReceived(invite())
    server.dataReceived(encode_message(9, bytes.fromhex(ID), (63, b"sdp")))
    (request,) = world.engine.established_requests.values()
    assert request.payload == b"" and request.context == (caller, b"")
    assert b"SIP/2.0 200 OK\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: " + ID.encode() in caller.transport.value()


# Guards against review/8: the end of an attempt whose answer was lost was told to the caller, over 30 s later, as that
# of the call that it had at another server.
def test_the_late_end_of_a_lost_attempt_does_not_end_the_call_at_another_server():
    world, first = connect_server()
    second = second_server(first)
    told = []
    first.server.upstream.on_unknown_end = lambda call, cut: told.append(call)
    world.offer(ID)
    first.connectionLost()
    world.wait(300)  # the release wait
    assert set_up_count(second) == 1
    again = open_connection(first.server)
    again.dataReceived(encode_message(12, bytes.fromhex(ID), (61, b"\x10")))
    second.dataReceived(encode_message(9, bytes.fromhex(ID), (63, b"sdp")))
    world.time.rightNow += RECENTLY_ENDED_MS / 1000.0 + 1.0
    first.server.upstream.remember_ended(b"another.")  # which forgets what ended long ago
    assert bytes.fromhex(ID) not in first.server.upstream.recently_ended
    again.dataReceived(encode_message(12, bytes.fromhex(ID), (61, b"\x10")))
    assert told == [] and world.recorded == [("established", ID, b"sdp")]
    second.dataReceived(encode_message(12, bytes.fromhex(ID), (61, b"\x10")))
    assert world.recorded[-1] == ("call_ended", ID, False)


ANSWERED = encode_message(9, bytes.fromhex(ID), (63, b"sdp"))


@pytest.mark.parametrize("split", range(len(ANSWERED) + 1))
def test_an_answer_split_at_any_byte_counts_once_complete_and_not_if_the_connection_ends_before(split):
    world, connection = connect_server()
    world.offer(ID)
    connection.dataReceived(ANSWERED[:split])
    assert world.recorded == ([("established", ID, b"sdp")] if split == len(ANSWERED) else [])
    connection.dataReceived(ANSWERED[split:])
    assert world.recorded == [("established", ID, b"sdp")]
    other, broken = connect_server()
    other.offer(ID)
    broken.dataReceived(ANSWERED[:split])
    broken.connectionLost()
    complete = split == len(ANSWERED)
    assert other.metrics.counts["attempts.cut"] == (not complete) and len(other.recorded) == complete
