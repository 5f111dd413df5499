"""Setup servers: the binary wire, one connection for all calls of a server."""

from __future__ import annotations

import math
import struct
from collections.abc import Callable

from twisted.internet import error, protocol

from leadslip import interface as face
from leadslip.checks import Tally
from leadslip.config import Address, MalformedError, load_named
from leadslip.core import Attempt, Deadlines, Engine
from leadslip.net.links import MessageError, SliceReceiver

SET_UP, PROGRESS, ANSWER, RELEASE, RELEASE_HEARD, STATE, TEST, TEST_ENDED = 1, 6, 9, 12, 16, 43, 52, 53
CLASS, WAIT, NUMBER, NOTE, REPORT, CAUSE, DESCRIPTION = 33, 35, 41, 47, 51, 61, 63
ENDS = {  # cause of a release before the answer
    34: face.Outcome.FULL,
    17: face.Outcome.ERROR,
    47: face.Outcome.ERROR,
    102: face.Outcome.NOT_SENT,
    41: face.Outcome.CUT,
}
FREE = (PROGRESS, RELEASE_HEARD, TEST_ENDED)  # they mean nothing
NOTES = {
    b"no_circuit": face.Cause.NO_LINE,
    b"turned_back": face.Cause.BOUNCED,
    b"overload": face.Cause.PROCESSOR_FULL,
    b"lines_busy": face.Cause.NUMBER_BUSY,
    b"far_overload": face.Cause.BOUNCED,
}
HEAD = struct.Struct("!HB8s")  # length, type, call
NO_CALL = bytes(8)
PARAMETER = struct.Struct("!BH")  # code, length
NORMAL, CUT = 16, 41
RECENT_MS = 30_000.0  # for so long the end of a call that was held here may be told again
PARTIAL_MS = 300.0  # for so long a message may be unfinished: a whole one takes a few ms to come
MOST_LINKS = 4  # connections to a server: so many are told the state of its lines
OVERTAKEN_MS = 50.0  # a set-up is lost where one sent so much later stands and its connection stays silent
STATE_MS = 300.0  # a state told elsewhere for so long, and not here, tells that a silent connection is dead
UNANSWERED_MS = 400.0  # a set-up out for so long on a connection that says nothing puts it in doubt ...
SILENT_MS = 1500.0  # ... and so does saying nothing at all for so long while calls stand
GONE_MS = 2000.0  # a server not heard for so long, to which no connection comes up, can't be reached
VANISHED_MS = 6500.0  # after so long its calls count as cut: their ends are due to callers in 8 s
UP_MS = 200.0  # a new connection says something first; one that does not is used after so long all the same
QUIET_MS = 550.0  # while calls stand, a connection that says nothing for so long is asked whether it works
TESTED_MS = 90.0  # a test passes at once: a connection that leaves it unanswered for so long does not work
CROSSED_MS = 100.0  # for so long a server may go on writing on a connection that we have given up
CLOSING_MS = 300.0  # a server has so long to close a connection that we have closed towards it
DIALS = 3  # new connections in a row that may be reset before what waits for one is sent elsewhere
LOOK_MS = 100.0  # between two looks at all connections


def parameters(view: memoryview, at: int) -> dict[int, memoryview]:
    """The parameters of a message, as slices; of a code that comes twice the first holds."""
    found: dict[int, memoryview] = {}
    size = len(view)
    while at < size:
        if size - at < 3:
            raise MessageError("parameter")
        code, length = PARAMETER.unpack_from(view, at)
        at += 3 + length
        if at > size:
            raise MessageError("parameter length")
        found.setdefault(code, view[at - length : at])
    return found


def message(kind: int, call: bytes, *told: tuple[int, bytes]) -> bytes:
    """One message with its length."""
    body = b"".join(part for code, value in told for part in (PARAMETER.pack(code, len(value)), value))
    return HEAD.pack(9 + len(body), kind, call) + body


class ServerLink(SliceReceiver):
    """One connection to a setup server."""

    peer_kind = "servers"

    def __init__(self, server: Server) -> None:
        self.server, self.tally, self.now_ms = server, server.far.tally, server.far.now_ms
        self.opened_ms = self.heard_ms = self.now_ms()
        self.set_ups: dict[bytes, Attempt] = {}  # out on this connection, oldest first
        self.overtaken_ms = 0.0  # since when the end of a call set up here is known from another connection
        self.tested_ms = (
            0.0  # when it was asked whether it works, and has said nothing whole since; 0: it has
        )
        self.retired_ms = 0.0  # since when it is closed towards the server, and read to its end only

    def connectionMade(self) -> None:
        super().connectionMade()
        self.server.connected(self)

    def connectionLost(self, reason: object = None) -> None:
        done = reason is not None and reason.check(error.ConnectionDone) is not None
        self.server.lost(self, all_read=bool(self.retired_ms) and done)

    def retire(self) -> None:
        """Close towards the server, and read on: what is under way from it must not be lost."""
        self.retired_ms = self.now_ms()
        self.transport.loseWriteConnection()

    def malformed(self, fault: MessageError) -> None:
        super().malformed(fault)
        self.server.lost(self)

    def test(self) -> None:
        """Ask whether it works; whatever whole message comes next is the answer."""
        if not self.tested_ms:
            self.tested_ms = self.now_ms()
            self.tally.add("servers.tests")
            self.say(message(TEST, NO_CALL, (CAUSE, b"\x00")))

    def failed(self, now_ms: float) -> bool:
        """Whether it has left a test unanswered for too long."""
        return bool(self.tested_ms) and now_ms - self.tested_ms > TESTED_MS

    def dead(self, now_ms: float) -> bool:
        """Whether it has, while its server has spoken elsewhere.

        Guards against closing all connections of a processor that hangs: it goes on later, and writes what has
        ended meanwhile on connections that it does not know to be closed yet.
        """
        return self.failed(now_ms) and self.server.heard_ms > self.tested_ms

    def abort(self) -> None:
        """Close without waiting; known at once, so that nothing more is sent on it."""
        self.transport.abortConnection()
        self.server.lost(self)

    def stringReceived(self, view: memoryview) -> None:
        if len(view) < 9:
            raise MessageError("short")
        kind, call = view[0], bytes(view[1:9])
        told = parameters(view, 9)
        load = self.server.far.load_of(told.get(REPORT))
        # Only a whole message that can be read counts as heard: noise must not pass for a live connection.
        self.heard_ms = self.now_ms()
        if self.tested_ms:
            self.tested_ms = 0.0
            self.server.passed(self)
        self.server.heard(self)
        if kind == ANSWER:
            if DESCRIPTION not in told:
                raise MessageError("description")
            self.server.answered(call, told[DESCRIPTION])
        elif kind == RELEASE:
            cause = told.get(CAUSE)
            if cause is None or len(cause) != 1 or cause[0] not in (NORMAL, *ENDS):
                raise MessageError("cause")
            note = NOTES.get(bytes(told.get(NOTE, b"")), face.Cause.NONE)
            self.server.released(self, call, cause[0], note, load)
        elif kind == STATE and load is not None:
            self.server.told_state(self)
            self.server.far.engine.looked(self.server.uid, load)
        elif kind == TEST:
            self.say(message(TEST_ENDED, call, (CAUSE, b"\x01")))
        elif kind not in FREE:
            # A type that does not exist is an answer spoilt: what follows on the connection is lost too.
            raise MessageError("type")


class ServerLinks(protocol.ClientFactory):
    """Makes the connections of one server."""

    noisy = False

    def __init__(self, server: Server) -> None:
        self.server = server

    def buildProtocol(self, addr: object) -> ServerLink:
        return ServerLink(self.server)

    def clientConnectionFailed(self, connector: object, reason: object) -> None:
        if reason.check(error.ConnectBindError):
            self.server.dial_impossible()
        else:
            self.server.dial_failed(reason.check(error.ConnectionRefusedError) is not None)


class Server:
    """One setup server, by its id: two that follow each other at one address are two."""

    def __init__(
        self, far: Servers, uid: str, address: Address, state: face.ServerState, since: float
    ) -> None:
        self.far, self.uid, self.address, self.state, self.since = far, uid, address, state, since
        self.up: list[ServerLink] = []  # take set-ups, oldest first
        self.new: ServerLink | None = None  # has come up and said nothing yet
        self.dialling = False
        self.dialled_ms = 0.0
        self.stood_ms = 0.0  # when the latest set-up that stands was sent
        self.state_ms = 0.0  # when state was last told unasked
        self.resets = 0  # new connections in a row that were lost before they said anything
        self.heard_ms = far.now_ms()
        self.waiting: dict[bytes, Attempt] = {}  # set-ups that wait for a connection
        self.calls: dict[bytes, Attempt] = {}  # set-ups out, and calls that stand
        self.on: dict[bytes, ServerLink] = {}  # those calls -> the connection of their set-up, open or not
        self.retired: list[ServerLink] = []
        self.owed_ms = 0.0  # a connection opened later is owed: what was lost is told there; 0: none
        self.unsaid: list[bytes] = []  # releases that wait for a connection
        self.down = False  # the last dial was refused or unanswered, and no connection has come up since
        self.links = ServerLinks(self)

    # What the engine asks.

    def send(self, attempt: Attempt) -> face.Outcome | None:
        call = bytes.fromhex(attempt.request.id)
        link = self._least_used()
        if link is None:
            self.waiting[call] = attempt
            self.dial()
            return None
        if (
            link.set_ups
            and len(self.up) < MOST_LINKS
            and self.state is face.ServerState.READY
            and not self.under_way()
            and self.far.room()
        ):
            # One spoilt answer ends all that is out on its connection: set-ups are spread over a few.
            self.dial()
        return self._set_up(link, call, attempt)

    def _least_used(self) -> ServerLink | None:
        return min(self.up, key=lambda link: (link.blocked(), len(link.set_ups)), default=None)

    def _set_up(self, link: ServerLink, call: bytes, attempt: Attempt) -> face.Outcome | None:
        request, far = attempt.request, self.far
        if link.blocked():
            # A machine that is cut off reads nothing: what it can't take must not pile up here.
            return face.Outcome.NO_CONNECTION
        if not far.engine.wanted(attempt):
            return face.Outcome.NOT_SENT if attempt.out else None
        left_ms = max(1, int(attempt.cut_at_ms - far.now_ms()))
        self.calls[call] = link.set_ups[call] = attempt
        self.on[call] = link
        written = link.say(
            message(
                SET_UP,
                call,
                (CLASS, request.call_class.encode()),
                (WAIT, b"%d" % left_ms),
                (NUMBER, request.number.encode()),
                (DESCRIPTION, request.payload),
            )
        )
        if written:
            link.flush()
            far.engine.written(attempt)
        return None

    def end(self, attempt: Attempt) -> None:
        """Give a set-up up, or release a call that stands: cause 16 either way."""
        call = bytes.fromhex(attempt.request.id)
        if self.waiting.pop(call, None) is None:
            on = self.on.get(call)
            out = on is not None and call in on.set_ups
            if self._drop(call) is not None:
                if out and on.blocked():
                    # Guards against a set-up that leaves, its release behind it, when nobody wants it any more.
                    on.abort()
                else:
                    self.tell_release(call, on if out else self._least_used())
        self.far.tidy(self)

    def tell_release(self, call: bytes, link: ServerLink | None) -> None:
        """Release a call at the server, cause 16."""
        told = message(RELEASE, call, (CAUSE, bytes((NORMAL,))))
        if link is None or not link.say(told):
            self.unsaid.append(told)  # else the call would stand on at the server
            self.dial()

    def release_unheld(self, call: bytes) -> None:
        """Release a call that is not held here, as one that another process set up."""
        self.far.remember(call)
        self.tell_release(call, self._least_used())

    def _drop(self, call: bytes) -> Attempt | None:
        """Forget a call; that it was held is remembered for a while, as its end may be told once more."""
        attempt = self.calls.pop(call, None)
        if attempt is not None:
            self.far.remember(call)
            on = self.on.pop(call)
            on.set_ups.pop(call, None)
        return attempt

    # Connections.

    def dial(self) -> None:
        if self.under_way() or self.state is face.ServerState.GONE:
            return
        self.dialling, self.dialled_ms = True, self.far.now_ms()
        host, port = self.address
        self.far.reactor.connectTCP(host, port, self.links, timeout=self.far.dial_timeout_s)

    def connected(self, link: ServerLink) -> None:
        """A connection is up; it takes set-ups once it has said something, as servers do first of all.

        Guards against set-ups that are lost, and have to wait, on a connection that is reset when new.
        """
        self.dialling = False
        if self.state is face.ServerState.GONE:
            link.transport.abortConnection()  # another may listen there by now: nothing of ours stands there
            self.cut()
        else:
            self.new = link

    def heard(self, link: ServerLink) -> None:
        self.heard_ms = link.heard_ms
        if link is self.new:
            self.resets = 0
            self._use(link)

    def told_state(self, link: ServerLink) -> None:
        if link.heard_ms > link.opened_ms + STATE_MS:  # what a new connection is told first is told it alone
            self.state_ms = link.heard_ms

    def _use(self, link: ServerLink) -> None:
        """Send on this connection too from now on; those before it may still bring what is out on them."""
        self.new, self.down = None, False
        now_ms = self.far.now_ms()
        for held in self._spare(now_ms):
            self.up.remove(held)
            self.retired.append(held)
            held.retire()
        if link.opened_ms >= self.owed_ms:
            self.owed_ms = 0.0
        self.up.append(link)
        unsaid, self.unsaid = self.unsaid, []
        for told in unsaid:
            link.say(told)
        # One by one: what becomes of one may end others that wait, and those must not be sent.
        while self.waiting and link in self.up:
            call, attempt = next(iter(self.waiting.items()))
            del self.waiting[call]
            if not self.far.engine.sent_to(self.uid):
                outcome = face.Outcome.NO_CONNECTION  # told to drain while the connection came up
            else:
                outcome = self._set_up(link, call, attempt)
            if outcome is not None:
                self.far.engine.ended(attempt, outcome)
        self.far.tidy(self)

    def _spare(self, now_ms: float) -> list[ServerLink]:
        """Connections that may be closed now that another has come up: those that do not work, and some too many.

        Guards against the loss of an end: a server writes it on the connection of its set-up and nowhere else,
        so one that works is closed only once no call stands that was set up on it. The ends of calls whose
        connection is lost may come on any: while such calls stand, none is closed up to twice as many.
        """
        spare = [held for held in self.up if not held.set_ups and held.dead(now_ms)]
        owing = set(self.on.values())
        most = 2 * MOST_LINKS if owing - set(self.up) else MOST_LINKS
        free = [held for held in self.up if held not in owing and held not in spare]
        too_many = max(0, len(self.up) - len(spare) + 1 - most)
        return spare + sorted(free, key=lambda held: held.heard_ms)[:too_many]

    def dial_failed(self, refused: bool) -> None:
        self.dialling = False
        self.down = True
        self.far.tally.add("servers.refused" if refused else "servers.unreachable")
        self._nothing_sent()
        quiet_ms = self.far.now_ms() - self.heard_ms
        if quiet_ms > VANISHED_MS or (refused and (quiet_ms > GONE_MS or not self.up)):
            # The process is gone and has cut its calls, or its machine has vanished: no connection tells.
            self.cut()
        elif quiet_ms > GONE_MS:
            # Guards against releasing calls that stand on while the machine is only cut off for some seconds.
            for link in list(self.up):
                link.abort()
        self.far.tidy(self)

    def dial_impossible(self) -> None:
        """No socket could be had here: that tells nothing of the server, but what waits goes elsewhere."""
        self.dialling = False
        self.far.tally.add("servers.no_socket")
        self._nothing_sent()
        self.far.tidy(self)

    def _nothing_sent(self) -> None:
        """No connection came up: what waits for one goes elsewhere."""
        waiting, self.waiting = self.waiting, {}
        for attempt in waiting.values():
            self.far.engine.ended(attempt, face.Outcome.NO_CONNECTION)

    def lost(self, link: ServerLink, all_read: bool = False) -> None:
        """A connection has gone: the set-ups open on it may have run; calls that stand may stand on."""
        open_now = [held for held in self.links_open() if held is not link]
        stands = any(on not in open_now for call, on in self.on.items() if call not in link.set_ups)
        if stands and (link in self.up or (link in self.retired and not all_read)):
            # What it may have swallowed is told on the next one opened. One under way does not do: the server
            # may have taken it first, and written the end of a call on the lost one after that.
            self.owed_ms = self.far.now_ms() + CROSSED_MS
        if link in self.retired:
            self.retired.remove(link)
        if link is self.new:
            self.new = None
            self.resets += 1
            if self.resets >= DIALS:
                self.resets = 0
                self._nothing_sent()
            else:
                self.dial()
        if link in self.up:
            self.up.remove(link)
            self.dial()
        for call, attempt in list(link.set_ups.items()):
            self._drop(call)
            self.far.engine.ended(attempt, face.Outcome.CUT)
        if self.state is face.ServerState.GONE and not self.up:
            self.cut()
        self.far.tidy(self)

    def cut(self) -> None:
        """End all that is out or stands here as cut."""
        links, self.up, self.new, self.retired = self.links_open() + self.retired, [], None, []
        self.unsaid.clear()
        self.owed_ms = 0.0
        for link in links:
            link.abort()
        for call, attempt in list(self.calls.items()):
            if self._drop(call) is not None:
                self.far.engine.ended(attempt, face.Outcome.CUT)

    def _cut_lost(self) -> None:
        """End the calls whose connection has gone, and of which no newer one could tell."""
        self.owed_ms = 0.0
        open_now = self.links_open()
        for call, on in list(self.on.items()):
            if on not in open_now:
                self.far.engine.ended(self._drop(call), face.Outcome.CUT)

    def links_open(self) -> list[ServerLink]:
        return self.up + ([self.new] if self.new is not None else [])

    def under_way(self) -> bool:
        """Whether a connection is being opened."""
        return self.dialling or self.new is not None

    def _overtaken(self, attempt: Attempt) -> bool:
        """Whether a set-up sent later stands already."""
        return attempt.sent_ms + OVERTAKEN_MS < self.stood_ms

    def passed(self, link: ServerLink) -> None:
        """A connection in doubt works: a set-up that others have overtaken is late by itself.

        It is given up, so that it may go again; the connection is kept, as it goes on bringing all else.
        """
        for attempt in list(link.set_ups.values()):
            if self._overtaken(attempt):
                self.far.tally.add("servers.late_set_ups")
                self.end(attempt)
                self.far.engine.ended(attempt, face.Outcome.CUT)

    def _doubtful(self, link: ServerLink, now_ms: float) -> bool:
        """Whether a connection is silent where others of the same server are not."""
        oldest = next(iter(link.set_ups.values()), None)
        overtaken = (
            oldest is not None and self._overtaken(oldest) and link.heard_ms + OVERTAKEN_MS < self.stood_ms
        )
        told = link.heard_ms + STATE_MS < self.state_ms < now_ms - STATE_MS
        ends = link.heard_ms < link.overtaken_ms < now_ms - CROSSED_MS
        return overtaken or ends or (told and now_ms - link.heard_ms > SILENT_MS)

    def look(self, now_ms: float) -> None:
        """Close what will bring nothing more, and dial anew past a connection in doubt.

        Guards against a connection that stays open but dead, behind half a message or in silence: its set-ups
        would time out and the ends of its calls would never be heard. One late answer looks alike, and so does a
        connection on which nothing was due: it is asked first, as closing one that works loses the ends that
        cross the close. A processor that hangs looks alike too; there the new connection says no more, and
        nothing is given up.
        """
        for link in self.links_open():
            if link.partial_ms and now_ms - link.partial_ms > PARTIAL_MS:
                link.malformed(MessageError("unfinished"))
            elif self._doubtful(link, now_ms):
                if link.dead(now_ms):
                    self.far.tally.add("servers.dead_links")
                    link.abort()
                else:
                    link.test()
        for link in list(self.retired):
            if now_ms - link.retired_ms > CLOSING_MS:
                link.abort()
        if self.state is face.ServerState.GONE:
            if now_ms - self.heard_ms > GONE_MS:
                self.cut()
            elif self.owed_ms and now_ms - self.owed_ms > GONE_MS:
                self._cut_lost()  # no connection is opened to it any more
            self.far.tidy(self)
            return
        if self.owed_ms and now_ms - self.owed_ms > VANISHED_MS:
            self._cut_lost()
        if self.new is not None and now_ms - self.new.opened_ms > UP_MS:
            self._use(self.new)
        if self.under_way():
            return
        if self.owed_ms and now_ms >= self.owed_ms and self.dialled_ms < self.owed_ms:
            self.dial()
            return
        if now_ms - self.dialled_ms < SILENT_MS / 3:
            return
        if not self.up:
            if self.calls or self.unsaid:
                self.dial()
            return
        quiet_ms = now_ms - self.heard_ms
        sent = [next(iter(link.set_ups.values())).sent_ms for link in self.up if link.set_ups]
        fresh = (
            len(self.up) > 1 and now_ms - self.up[-1].opened_ms < SILENT_MS
        )  # it would say no less than another
        doubt = bool(sent) and not fresh and min(quiet_ms, now_ms - min(sent)) > UNANSWERED_MS
        # Guards against ends swallowed by a dead connection while others of the server go on: where one does not
        # answer a test a new one is opened, on which what it has swallowed is told.
        newest_ms = self.up[-1].opened_ms
        quiet = [link for link in self.up if self.calls and now_ms - max(link.heard_ms, newest_ms) > QUIET_MS]
        for link in quiet:
            link.test()
        failed = sum(link.failed(now_ms) for link in quiet)
        renewed = failed and len(self.up) - failed < 2 * MOST_LINKS
        if doubt or (self.calls and quiet_ms > SILENT_MS):
            self.far.tally.add("servers.silent")
            self.dial()
        elif renewed or self.owed_ms:
            self.far.tally.add("servers.renewed")
            self.dial()

    # What the server says.

    def answered(self, call: bytes, description: memoryview) -> None:
        attempt = self.calls.get(call)
        if attempt is not None:
            if self.on[call].set_ups.pop(call, None) is not None:
                self.stood_ms = max(self.stood_ms, attempt.sent_ms)
            self.far.engine.stood(attempt, description)

    def released(
        self, link: ServerLink, call: bytes, cause: int, note: face.Cause, load: face.Load | None
    ) -> None:
        on = self.on.get(call)
        if on is not None and on is not link and on.overtaken_ms <= on.heard_ms:
            on.overtaken_ms = link.heard_ms  # it should have brought this itself
        attempt = self._drop(call)
        if attempt is None:
            if call not in self.far.recent and cause in (NORMAL, CUT):
                self.far.unknown_end(call, cause != NORMAL)
        elif attempt.stands:
            outcome = face.Outcome.SERVED if cause == NORMAL else face.Outcome.CUT
            self.far.engine.ended(attempt, outcome, load=load)
        elif cause == NORMAL:
            self.far.engine.spent(attempt)  # it stood: its answer is late or lost
        else:
            self.far.engine.ended(attempt, ENDS[cause], note, load)


class Servers:
    """The far side of the engine: all setup servers that the list has named."""

    engine: Engine  # set once both are made

    def __init__(
        self,
        reactor: object,
        tally: Tally,
        now_ms: Callable[[], float],
        dial_timeout_ms: float,
        unknown_end: Callable[[bytes, bool], None],
        deadlines: Deadlines,
        most_links: float = math.inf,
    ) -> None:
        self.reactor, self.tally, self.now_ms = reactor, tally, now_ms
        self.most_links = most_links  # connections to all servers, as the descriptors allow
        self.dial_timeout_s = dial_timeout_ms / 1000.0
        self.unknown_end, self.deadlines = unknown_end, deadlines
        self.servers: dict[str, Server] = {}
        self.recent: dict[bytes, float] = {}  # calls lately over here -> when, oldest first

    def listed(self, news: face.ListNews, addresses: dict[str, Address]) -> None:
        """Take news of the list; to be called before the engine is told, so that it can send there."""
        if news.kind is not face.NewsKind.CHANGES:
            for uid in self.servers.keys() - addresses.keys():
                self._gone(self.servers[uid])
        for entry in news.entries:
            held = self.servers.get(entry.server)
            if held is not None and (
                entry.online_since_ms > held.since or held.address != addresses[entry.server]
            ):
                self._gone(held)
                held.cut()  # the same id, but another process: what stood at the old one is cut
                held = None
            if entry.state is face.ServerState.GONE:
                if held is not None:
                    self._gone(held)
                continue
            if held is None:
                # Guards against calls that end with a process whose address another has taken: what we have open
                # there may be the newcomer's, which says nothing of them.
                for other in [one for one in self.servers.values() if one.address == addresses[entry.server]]:
                    self._gone(other)
                    other.cut()
                    self.tidy(other)
                held = self.servers[entry.server] = Server(
                    self, entry.server, addresses[entry.server], entry.state, entry.online_since_ms
                )
                held.dial()
            held.state = entry.state

    def _gone(self, server: Server) -> None:
        server.state = face.ServerState.GONE
        waiting, server.waiting = server.waiting, {}
        for attempt in waiting.values():
            self.engine.ended(attempt, face.Outcome.NO_CONNECTION)
        if not server.up:
            server.cut()
        self.tidy(server)

    def look(self, _: object = None) -> None:
        """Look at all connections, again and again."""
        now_ms = self.now_ms()
        for server in list(self.servers.values()):
            server.look(now_ms)
        self.deadlines.at(now_ms + LOOK_MS, self.look)

    def room(self) -> bool:
        """Whether there is a descriptor for a connection that a server can do without.

        Guards against running out of them where servers are many: each that has no connection keeps one to come.
        """
        used = sum(
            max(1, len(held.up) + len(held.retired)) + held.under_way() for held in self.servers.values()
        )
        return used < self.most_links

    def listed_count(self) -> int:
        """Servers in the list: not told to be gone."""
        return sum(server.state is not face.ServerState.GONE for server in self.servers.values())

    def avoided(self) -> int:
        """Listed servers that set-ups can't reach now: their last dial failed, and no connection is up."""
        return sum(
            server.down and not server.up and server.state is not face.ServerState.GONE
            for server in self.servers.values()
        )

    def tidy(self, server: Server) -> None:
        """A server that has left is forgotten once nothing is open there."""
        if server.state is face.ServerState.GONE and not server.calls:
            for link in server.links_open() + server.retired:
                link.transport.loseConnection()
            if self.servers.get(server.uid) is server:
                del self.servers[server.uid]

    def remember(self, call: bytes) -> None:
        """Keep the id of a call that is over here; the oldest are forgotten."""
        now_ms = self.now_ms()
        self.recent[call] = now_ms
        while now_ms - next(iter(self.recent.values())) > RECENT_MS:
            del self.recent[next(iter(self.recent))]

    def load_of(self, report: memoryview | None) -> face.Load | None:
        """A report such as x0:12;x1:40; fields of unknown names are skipped."""
        if report is None:
            return None
        try:
            return load_named(str(report, "ascii"))
        except (UnicodeDecodeError, MalformedError) as fault:
            raise MessageError("report") from fault

    # The engine's far side.

    def send(self, attempt: Attempt) -> face.Outcome | None:
        server = self.servers.get(attempt.server)
        return face.Outcome.NO_CONNECTION if server is None else server.send(attempt)

    def give_up(self, attempt: Attempt) -> None:
        server = self.servers.get(attempt.server)
        if server is not None:
            server.end(attempt)

    release = give_up
