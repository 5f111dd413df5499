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
