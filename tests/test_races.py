"""Crossings forced one by one: what lies unread in a socket when a decision is made, and what the exit crosses."""

import pytest

from leadslip import interface as face
from leadslip.net.clients import Clients
from leadslip.net.links import READ, SPARE_MS, STALLED_MS
from leadslip.net.servers import Server
from leadslip.readiness import Readiness
from tests.standins import binary
from tests.test_links import ID, INVITE, Transport, server_link, sip, up

OTHER = "0b1f03aa5c7e2d42"
GONE = None  # the end of a connection, as it lies unread in its socket


def callers(world, count, most=10, spare=0):
    """A front before the world's engine, and connections to it."""
    front = Clients(world.engine, world.tally, most, Readiness(listening=True), spare)
    return front, [accept(front) for _ in range(count)]


def accept(front):
    link = front.buildProtocol(None)
    if link is not None:
        link.makeConnection(Transport())
    return link


def invite(id_=ID, server=0):
    return INVITE.replace(ID.encode(), id_.encode()).replace(b"dest:1", b"dest:%d" % server)


def second_server(far_link):
    """One more server on the list, with a connection that is up."""
    far = far_link.server.far
    server = far.servers["s1"] = Server(far, "s1", ("127.0.0.1", 2), face.ServerState.READY, 0.0)
    return up(server)


def set_up(link, id_=ID):
    """How many set-ups of a call were written on a connection to a server."""
    return link.transport.value().count(b"\x01" + bytes.fromhex(id_))


LEAVES = [[GONE], [sip(b"CANCEL")], [sip(b"OPTIONS") + sip(b"CANCEL")]]


@pytest.mark.parametrize("unread", LEAVES)
def test_a_further_attempt_does_not_leave_for_a_caller_whose_leaving_lies_unread(unread):
    world, first = server_link()
    second = second_server(first)
    _, (caller,) = callers(world, 1)
    caller.dataReceived(invite())
    assert set_up(first) == 1
    caller.transport.unread += unread
    first.dataReceived(binary(12, bytes.fromhex(ID), (61, b"\x22"), (47, b"overload")))
    assert set_up(second) == 0 and not world.engine.open
    assert world.tally.counts["requests.cancelled"] == 1


@pytest.mark.parametrize("unread", LEAVES)
def test_a_first_attempt_does_not_leave_for_a_caller_whose_leaving_follows_in_the_socket(unread):
    world, server = server_link()
    _, (caller,) = callers(world, 1)
    caller.transport.unread += unread
    caller.dataReceived(invite())
    assert set_up(server) == 0 and not world.engine.open
    assert world.tally.counts["requests"] == 0, "it never came to a decision"


def test_what_waits_for_a_dial_is_not_sent_for_a_caller_that_has_left_or_out_of_time():
    world, link = server_link()
    link.connectionLost()
    _, (left, stays, late) = callers(world, 3)
    for caller, id_ in ((left, ID), (stays, OTHER), (late, "0" * 16)):
        caller.dataReceived(
            invite(id_).replace(b"Expires-Ms: 1500", b"Expires-Ms: 90") if caller is late else invite(id_)
        )
    assert len(link.server.waiting) == 3
    left.transport.unread.append(GONE)
    world.time.rightNow += 0.1  # the connection comes up in the same turn as the deadline, and is heard first
    newer = up(link.server)
    assert [set_up(newer, id_) for id_ in (ID, OTHER, "0" * 16)] == [0, 1, 0]


def test_one_that_is_ended_while_others_that_waited_are_sent_is_not_sent_itself():
    world, link = server_link()
    link.connectionLost()
    _, (first, second) = callers(world, 2)
    first.dataReceived(invite())
    second.dataReceived(invite(OTHER))
    catch_up = first.catch_up
    first.catch_up = lambda: (catch_up(), second.connectionLost())  # the first one's turn ends the second
    newer = up(link.server)
    assert [set_up(newer, id_) for id_ in (ID, OTHER)] == [1, 0]


def test_a_set_up_is_handed_to_the_system_in_the_turn_of_its_decision():
    world, link = server_link()
    world.offer(ID)
    assert set_up(link) == 1 and link.transport.flushed == len(link.transport.value())


def test_a_flood_on_one_connection_does_not_hold_its_set_ups_back_for_ever():
    world, link = server_link()
    _, (caller,) = callers(world, 1)
    caller.transport.unread += [sip(b"OPTIONS")] * 100
    caller.dataReceived(invite())
    assert set_up(link) == 1 and len(caller.transport.unread) > 90


def test_what_is_due_waits_until_the_sockets_have_been_read_once():
    world, _ = server_link()
    told = []
    world.deadlines.at(world.now_ms() + 10.0, lambda _: told.append("due"))
    ring = world.time.callLater
    turns = []
    world.time.callLater = lambda seconds, work: turns.append(seconds) or ring(seconds, work)
    world.time.advance(0.05)
    assert turns[0] == 0.0 and told == ["due"], "one more turn of the reactor, and its sockets, lie between"


def test_a_connection_is_not_closed_for_another_under_a_message_that_lies_unread():
    world, server = server_link()
    front, (spoke, silent) = callers(world, 2, most=2)
    spoke.transport.unread.append(invite())
    late = accept(front)
    assert late is not None and silent.transport.disconnecting and not spoke.transport.disconnecting
    assert set_up(server) == 1, "it is read, and served"


def test_an_idle_connection_is_not_closed_under_a_message_that_lies_unread():
    world, server = server_link()
    front, (caller,) = callers(world, 1)
    caller.dataReceived(sip(b"OPTIONS"))
    world.wait(14_900)
    caller.transport.unread.append(invite())
    world.wait(200)
    assert set_up(server) == 1 and not caller.transport.disconnecting


def test_a_connection_closed_for_another_still_brings_the_answer_written_on_it():
    world, server = server_link()
    front, (caller,) = callers(world, 1, most=1)
    aborted = []
    caller.transport.abortConnection = lambda: aborted.append(True)
    caller.dataReceived(invite())
    server.dataReceived(binary(9, bytes.fromhex(ID), (63, b"sdp")))
    assert accept(front) is None and not aborted, (
        "it closes once the answer is out, and until then counts as open"
    )
    assert caller.transport.disconnecting
    world.wait(STALLED_MS + 300)
    assert aborted, "one that does not read is not waited for"


def test_where_all_are_owed_an_answer_a_few_more_are_told_to_come_again():
    world, server = server_link()
    front, (caller,) = callers(world, 1, most=1, spare=2)
    caller.dataReceived(invite())
    told = accept(front)
    told.dataReceived(invite(OTHER) + invite())
    quiet = accept(front)
    assert told.transport.value().startswith(b"SIP/2.0 503 ") and told.transport.disconnecting
    assert b"SIP/2.0 500 " in told.transport.value(), "an id that is open elsewhere stays that one's"
    assert (set_up(server, OTHER), list(world.engine.open)) == (0, [ID])
    told.connectionLost()
    world.wait(SPARE_MS + 300)
    assert quiet.transport.disconnecting and not caller.transport.disconnecting
    assert world.tally.counts["answers.refused"] == 1


def test_at_the_end_what_comes_is_refused_and_each_connection_closes_once_its_answers_are_out():
    world, server = server_link()
    front, (open_, idle, comes) = callers(world, 3)
    open_.dataReceived(invite())
    comes.transport.unread.append(invite(OTHER))
    world.engine.settle()
    assert not front.finish(), "what is written is not out yet"
    assert open_.transport.value().startswith(b"SIP/2.0 500 ")
    assert comes.transport.value().startswith(b"SIP/2.0 503 ") and set_up(server, OTHER) == 0
    for link in (open_, idle, comes):
        assert link.transport.disconnecting
        link.connectionLost()
    assert front.finish()


def test_a_dial_that_finds_no_descriptor_tells_nothing_of_the_server():
    world, link = server_link()
    world.offer(ID)
    link.dataReceived(binary(9, bytes.fromhex(ID), (63, b"sdp")))
    world.wait(7000)  # longer than a server may be unheard
    link.server.dial_impossible()
    assert ("over", ID, True) not in world.told and not link.server.down


def test_connections_that_a_server_can_do_without_stop_where_the_descriptors_do():
    world, link = server_link()
    far = link.server.far
    far.most_links = 1
    for i in range(3):
        world.offer(f"{i:016x}")
    assert not far.reactor and len(link.set_ups) == 3
    far.most_links = 2
    world.offer(f"{3:016x}")
    assert len(far.reactor) == 1


def test_a_class_named_beyond_ascii_is_served():
    world, server = server_link()
    _, (caller,) = callers(world, 1)
    caller.dataReceived(invite().replace(b"Priority-Class: plain", "Priority-Class: 급보".encode()))
    assert caller.set_ups == {} and caller.transport.value().startswith(b"SIP/2.0 503 "), (
        "not in the settings"
    )
    (kind,) = [one for one in world.engine.settings.classes if one.name == "plain"]
    world.engine.adopt(
        face.Settings(gateways=1, index=0, classes=(face.CallClass("급보", 1.0, 0.2, 1500.0, 9000.0),)), 100
    )
    caller.dataReceived(invite().replace(b"Priority-Class: plain", "Priority-Class: 급보".encode()))
    assert "급보".encode() in server.transport.value()


def test_a_release_that_a_stalled_connection_does_not_take_is_told_on_the_next():
    world, link = server_link()
    request = world.offer(ID)
    link.dataReceived(binary(9, bytes.fromhex(ID), (63, b"sdp")))
    link.pauseProducing()
    world.wait(STALLED_MS + 1)
    world.engine.hang_up(request)
    link.connectionLost()
    assert binary(12, bytes.fromhex(ID), (61, b"\x10")) in up(link.server).transport.value()


def test_a_set_up_does_not_wait_behind_what_the_system_does_not_take():
    world, blocked = server_link()
    other = up(blocked.server)
    blocked.transport.dataBuffer = b"the rest of an earlier one"
    world.offer(ID)
    assert (set_up(blocked), set_up(other)) == (0, 1)
    other.transport.dataBuffer = b"and here"
    world.offer(OTHER)
    assert (set_up(blocked, OTHER), set_up(other, OTHER)) == (0, 0)
    assert world.tally.counts["attempts.no_connection"] == 2, "here, and at the one that has no connection"


def test_a_set_up_that_the_system_has_not_taken_goes_no_more_once_its_caller_has_left():
    world, link = server_link()
    request = world.offer(ID)
    link.transport.dataBuffer = b"the rest of it"
    world.engine.cancel(request)
    assert link.transport.disconnecting and link.server.up == []
    assert not link.transport.value().endswith(binary(12, bytes.fromhex(ID), (61, b"\x10")))


def test_a_flood_takes_no_more_of_a_turn_than_one_read():
    world, _ = server_link()
    _, (caller,) = callers(world, 1)
    ids = iter(range(100_000))
    read = b"".join(invite(f"{next(ids):016x}") for _ in range(100))
    caller.transport.unread += [b"".join(invite(f"{next(ids):016x}") for _ in range(100)) for _ in range(100)]
    taken = []
    receive = caller.receive
    caller.receive = lambda most: taken.append(most) or receive(most)
    caller.dataReceived(read)
    assert taken[0] == READ - len(read) and all(most > 0 for most in taken) and len(taken) <= 4
    before = len(taken)
    last = invite(f"{next(ids):016x}")
    caller.dataReceived(b"\r\n" * ((READ - len(last)) // 2 + 1) + last)
    assert len(taken) == before, "a read that was full is all of its turn"


ANSWERED = binary(9, bytes.fromhex(ID), (63, b"sdp"))


@pytest.mark.parametrize("at", range(len(ANSWERED) + 1))
def test_an_answer_cut_at_any_byte_is_one_once_it_is_whole_and_none_where_the_connection_ends(at):
    world, link = server_link()
    world.offer(ID)
    link.dataReceived(ANSWERED[:at])
    assert world.told == ([("stands", ID, b"sdp")] if at == len(ANSWERED) else [])
    link.dataReceived(ANSWERED[at:])
    assert world.told == [("stands", ID, b"sdp")]
    other, broken = server_link()
    other.offer(ID)
    broken.dataReceived(ANSWERED[:at])
    broken.connectionLost()
    whole = at == len(ANSWERED)
    assert other.tally.counts["attempts.cut"] == (not whole) and len(other.told) == whole
