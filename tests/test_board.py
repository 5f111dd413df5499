"""The notice board's client with streams that fall silent, end or move: no event is lost or passed on twice."""

import json

from twisted.internet import defer
from twisted.internet.testing import StringTransport

from leadslip.net import board
from tests.standins import notice
from tests.test_core import EngineFixture


class FakeAgent:
    """Replaces Twisted's HTTP agent: records the response and Last-Event-ID of each poll; the test answers it."""

    def __init__(self):
        self.polls = []

    def request(self, method, url, headers):
        self.polls.append((defer.Deferred(), headers.getRawHeaders("last-event-id")[0]))
        return self.polls[-1][0]

    def answer(self, index):
        """Starts the response of a poll; returns the protocol that receives its body."""
        streams = []

        class Response:
            code = 200

            def deliverBody(self, stream):  # noqa: N802
                stream.makeConnection(StringTransport())
                streams.append(stream)

        self.polls[index][0].callback(Response())
        return streams[0]


def send_event(stream, number, *servers):
    """Delivers one event on the stream of a poll; `servers`: (uid, address, state) of each."""
    event = json.dumps(notice(number, *servers))
    stream.dataReceived(b"id: %d\ndata: %s\n\n" % (number, event.encode()))


def make_client(world, agent, revisions):
    """Returns a client that has received event 3 and adds the revision of each further one to `revisions`."""
    client = board.BoardClient(
        world.time,
        world.deadlines,
        world.metrics,
        ("127.0.0.1", 9),
        3,
        lambda received: revisions.append(received.rev),
        0.5,
    )
    client.agent = agent
    return client


def test_a_silent_stream_is_dropped_and_polled_again_from_the_last_event():
    world, revisions, agent = EngineFixture(), [], FakeAgent()
    client = make_client(world, agent, revisions)
    client.poll()
    first = agent.answer(0)
    send_event(first, 4, ("s0", "127.0.0.1:1", "active"))
    world.time.advance(board.SILENCE_TIMEOUT_MS / 1000.0 - 0.1)
    first.dataReceived(b": still here\n\n")
    world.time.advance(board.SILENCE_TIMEOUT_MS / 1000.0 - 0.1)
    assert len(agent.polls) == 1, "a comment keeps the poll alive"
    world.time.advance(0.2)
    assert [last for _, last in agent.polls] == ["3", "4"] and world.metrics.counts["board.silent"] == 1
    second = agent.answer(1)
    send_event(first, 5, ("s1", "127.0.0.1:2", "active"))
    assert revisions == [4], "events of the old stream are ignored"
    send_event(second, 5, ("s1", "127.0.0.1:2", "active"))
    send_event(second, 5, ("s1", "127.0.0.1:2", "active"))
    assert revisions == [4, 5]


def open_poll():
    """Returns a World, a client that polls from event 3, the revisions it passes on, its agent and the open stream."""
    world, revisions, agent = EngineFixture(), [], FakeAgent()
    client = make_client(world, agent, revisions)
    client.poll()
    return world, client, revisions, agent, agent.answer(0)


def test_silence_in_the_middle_of_an_event_ends_the_poll_before_the_event_counts_as_delivered():
    world, _, revisions, agent, first = open_poll()
    event = json.dumps(notice(4, ("s0", "127.0.0.1:1", "active"))).encode()
    first.dataReceived(b"id: 4\ndata: " + event[:20])
    world.time.advance(2.6)
    assert [last for _, last in agent.polls] == ["3", "3"], (
        "polled again before the board counts the incomplete event as delivered, after 4 s"
    )
    first.dataReceived(event[20:] + b"\n\n")
    assert revisions == [], "the late rest of the event is ignored"
    send_event(agent.answer(1), 4, ("s0", "127.0.0.1:1", "active"))
    assert revisions == [4]


def test_a_stream_that_ends_between_id_and_data_skips_no_event():
    world, _, revisions, agent, first = open_poll()
    first.dataReceived(b"id: 4\n")
    first.connectionLost()
    world.time.advance(0.25)
    assert [last for _, last in agent.polls] == ["3", "3"], (
        "polled again well within 2 s, from the last event passed on"
    )
    second = agent.answer(1)
    send_event(second, 4, ("s0", "127.0.0.1:1", "active"))
    assert revisions == [4]


def test_after_a_change_of_address_the_old_board_is_ignored_and_the_end_of_its_stream_starts_no_poll():
    world, client, revisions, agent, first = open_poll()
    client.change_address(("127.0.0.1", 10))
    send_event(first, 4, ("s0", "127.0.0.1:1", "active"))
    second = agent.answer(1)
    send_event(second, 4, ("s0", "127.0.0.1:1", "active"))
    first.connectionLost()
    world.time.advance(0.5)
    assert revisions == [4] and len(agent.polls) == 2 and second.transport.disconnecting is False


def test_a_poll_without_a_response_is_repeated_after_the_silence_time_out():
    world, revisions, agent = EngineFixture(), [], FakeAgent()
    client = make_client(world, agent, revisions)
    client.poll()
    world.time.advance(2.6)
    assert len(agent.polls) == 2 and world.metrics.counts["board.silent"] == 1


def test_a_board_slower_than_the_silence_time_out_is_heard():
    """Guards against polls that are given up and begun anew before a slow board answers any of them."""
    world, revisions, agent = EngineFixture(), [], FakeAgent()
    client = make_client(world, agent, revisions)
    client.poll()
    world.time.advance(board.SILENCE_TIMEOUT_MS / 1000.0 + 0.1)
    assert len(agent.polls) == 2 and not agent.polls[0][0].called
    first = agent.answer(0)
    send_event(first, 4, ("s0", "127.0.0.1:1", "active"))
    assert revisions == [4] and agent.polls[1][0].called, (
        "the poll answered first counts, the other is cancelled"
    )
    world.time.advance(board.SILENCE_TIMEOUT_MS / 1000.0 + 0.1)
    assert [last for _, last in agent.polls] == ["3", "3", "4"], "its silence is noted like that of any poll"
    client.stop()
    assert agent.polls[2][0].called


def test_unanswered_polls_are_bounded():
    world, agent = EngineFixture(), FakeAgent()
    client = make_client(world, agent, [])
    client.poll()
    for _ in range(5):
        world.time.advance(board.SILENCE_TIMEOUT_MS / 1000.0 + 0.1)
    waiting = [response for response, _ in agent.polls if not response.called]
    assert len(agent.polls) == 6 and len(waiting) == board.MAX_UNANSWERED_POLLS
