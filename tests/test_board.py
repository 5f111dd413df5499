"""The notice board when its watch falls silent: polled anew from the last event, and the old watch is heard no more."""

import json

from twisted.internet import defer
from twisted.internet.testing import StringTransport

from leadslip.net import board
from tests.standins import notice
from tests.test_core import World


class Watches:
    """In place of the agent: each poll is kept, and answered by the test."""

    def __init__(self):
        self.polls = []

    def request(self, method, url, headers):
        self.polls.append((defer.Deferred(), headers.getRawHeaders("last-event-id")[0]))
        return self.polls[-1][0]

    def answer(self, at):
        """Begin the stream of a poll; its protocol."""
        begun = []

        class Response:
            code = 200

            def deliverBody(self, events):  # noqa: N802
                events.makeConnection(StringTransport())
                begun.append(events)

        self.polls[at][0].callback(Response())
        return begun[0]


def said(events, number, *servers):
    told = json.dumps(notice(number, *servers))
    events.dataReceived(b"id: %d\ndata: %s\n\n" % (number, told.encode()))


def test_a_watch_that_falls_silent_is_dropped_and_begun_anew_from_the_last_event():
    world, told, watches = World(), [], Watches()
    held = board.Board(
        world.time, world.deadlines, world.tally, ("127.0.0.1", 9), 3, lambda one: told.append(one.rev), 0.5
    )
    held.agent = watches
    held.poll()
    first = watches.answer(0)
    said(first, 4, ("s0", "127.0.0.1:1", "active"))
    world.time.advance(board.SILENT_MS / 1000.0 - 0.1)
    first.dataReceived(b": still here\n\n")
    world.time.advance(board.SILENT_MS / 1000.0 - 0.1)
    assert len(watches.polls) == 1, "a comment is a sign of life"
    world.time.advance(0.2)
    assert [last for _, last in watches.polls] == ["3", "4"] and world.tally.counts["board.silent"] == 1
    second = watches.answer(1)
    said(first, 5, ("s1", "127.0.0.1:2", "active"))
    assert told == [4], "what the old watch still brings is not heard"
    said(second, 5, ("s1", "127.0.0.1:2", "active"))
    said(second, 5, ("s1", "127.0.0.1:2", "active"))
    assert told == [4, 5]


def begun():
    """A board with one poll open; what it has told, the polls, and the stream."""
    world, told, watches = World(), [], Watches()
    held = board.Board(
        world.time, world.deadlines, world.tally, ("127.0.0.1", 9), 3, lambda one: told.append(one.rev), 0.5
    )
    held.agent = watches
    held.poll()
    return world, held, told, watches, watches.answer(0)


def test_silence_in_the_middle_of_an_event_ends_the_watch_in_time_for_what_counts_as_told():
    world, _, told, watches, first = begun()
    text = json.dumps(notice(4, ("s0", "127.0.0.1:1", "active"))).encode()
    first.dataReceived(b"id: 4\ndata: " + text[:20])
    world.time.advance(2.6)
    assert [last for _, last in watches.polls] == ["3", "3"], (
        "what a stop keeps back counts as told after 4 s"
    )
    first.dataReceived(text[20:] + b"\n\n")
    assert told == [], "the rest of it, late, is not heard"
    said(watches.answer(1), 4, ("s0", "127.0.0.1:1", "active"))
    assert told == [4]


def test_an_end_between_the_number_of_an_event_and_its_words_skips_nothing():
    world, _, told, watches, first = begun()
    first.dataReceived(b"id: 4\n")
    first.connectionLost()
    world.time.advance(0.25)
    assert [last for _, last in watches.polls] == ["3", "3"], (
        "polled again well within 2 s, from the last told"
    )
    second = watches.answer(1)
    said(second, 4, ("s0", "127.0.0.1:1", "active"))
    assert told == [4]


def test_what_an_old_board_says_after_a_move_is_not_heard_and_its_end_starts_no_poll():
    world, held, told, watches, first = begun()
    held.move(("127.0.0.1", 10))
    said(first, 4, ("s0", "127.0.0.1:1", "active"))
    second = watches.answer(1)
    said(second, 4, ("s0", "127.0.0.1:1", "active"))
    first.connectionLost()
    world.time.advance(0.5)
    assert told == [4] and len(watches.polls) == 2 and second.transport.disconnecting is False


def test_a_poll_that_never_begins_is_begun_anew():
    world, told, watches = World(), [], Watches()
    held = board.Board(
        world.time, world.deadlines, world.tally, ("127.0.0.1", 9), 3, lambda one: told.append(one.rev), 0.5
    )
    held.agent = watches
    held.poll()
    world.time.advance(2.6)
    assert len(watches.polls) == 2 and world.tally.counts["board.silent"] == 1
