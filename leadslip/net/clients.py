"""Clients: SIP over TCP. A thin front that turns messages into requests, and answers into messages."""

from __future__ import annotations

import re
from collections import OrderedDict
from collections.abc import Callable

from twisted.internet import protocol

from leadslip.checks import Tally
from leadslip.core import Engine, Request, State
from leadslip.net.links import AcceptedLink, AcceptedLinks, HeadReceiver, MessageError
from leadslip.readiness import Readiness

HEADER = re.compile(rb"([!-9;-~]+)[ \t]*:[ \t]*([^\r\n]*)\r\n")
START = re.compile(
    rb"(?:([A-Z]+) sip:([^\s@>]*)(?:@[^\s]*)? SIP/2\.0|SIP/2\.0 ([1-6][0-9][0-9])(?: [^\r\n]*)?)\r\n"
)
CALL_ID = re.compile(rb"[0-9a-fA-F]{16}")
LENGTH = re.compile(rb"\r\n(?:Content-Length|l)[ \t]*:[ \t]*([^\r\n]*)", re.IGNORECASE)
DIGITS = re.compile(rb"[0-9]{1,9}[ \t]*")
ECHOED = (b"via", b"from", b"to", b"call-id", b"cseq")
BYE_FOR_MS = 8000.0  # for so long the end of a call is offered to connections that open
RETELL_MS = (
    300.0  # an end unheard for so long is told on another connection too, then after twice as long, ...
)
RETELL_LOOK_MS = 100.0  # between two looks for such ends, while there are any to be heard
CAUSE_NORMAL, CAUSE_CUT = 16, 41


SWEEP_MS = 100.0  # between two looks for connections to close while clients are sent away
STILL_USED_MS = (
    900.0  # a caller that sends set-ups so long after SIGTERM shares the address with a new process
)
LONGEST_WAIT = 10.0  # longest deadlines that a caller may say it waits; more is no figure to go by
MOST_LINES = 1000.0  # that a call may take


class Owed:
    """The release of a call that is over, until a caller has heard it."""

    __slots__ = ("ended_ms", "message", "on", "told_ms", "times")

    def __init__(self, ended_ms: float, message: bytes) -> None:
        self.ended_ms, self.message = ended_ms, message
        self.on: CallerLink | None = None  # the connection that it was last written on
        self.told_ms, self.times = 0.0, 0  # when that was, and how often it has been written


class CallerLink(AcceptedLink, HeadReceiver):
    """One connection from callers; it owns the set-ups that came on it, and no standing call."""

    peer_kind = "clients"

    def __init__(self, front: Clients) -> None:
        self.front, self.tally, self.now_ms = front, front.tally, front.engine.clock.now_ms
        self.accepted = front.accepted
        self.set_ups: dict[str, Request] = {}  # open, and owed an answer here
        self.fresh: dict[str, Request] = {}  # those of this read, not offered yet
        self.still_used = False  # set-ups came here long after the proxy was told to end

    def connectionMade(self) -> None:
        super().connectionMade()
        self.front.opened(self)

    def busy(self) -> bool:
        return bool(self.set_ups)

    def left(self) -> None:
        self.front.closed(self)

    def malformed(self, fault: MessageError) -> None:
        super().malformed(fault)
        self.accepted.remove(self)

    def body_length(self, head: memoryview) -> int:
        """The length told, once and in digits: a guess would take a body for the next message."""
        told = LENGTH.findall(head)
        if len(told) != 1 or not DIGITS.fullmatch(told[0]):
            raise MessageError("Content-Length")
        return int(told[0])

    def asking(self) -> bool:
        return bool(self.fresh)

    def read(self) -> None:
        # Offered only now. Guards against servers working on set-ups withdrawn in the same breath, or
        # followed by what can't be read.
        fresh, self.fresh = self.fresh, {}
        for request in fresh.values():
            self.front.engine.offer(request, room=not self.spare)
        if self.spare and self.heard_ms:
            self.accepted.close(self)

    def messageReceived(self, head: memoryview, body: memoryview) -> None:
        self.heard()
        start = START.match(head)
        if start is None:
            raise MessageError("start line")
        headers: dict[bytes, bytes] = {}
        at, size = start.end(), len(head)
        while at < size:
            found = HEADER.match(head, at)
            if found is None:
                raise MessageError("header")
            headers.setdefault(found.group(1).lower(), found.group(2).strip())
            at = found.end()
        method, number, status = start.groups()
        if status is not None:
            self.answered(headers)
            return
        act = METHODS.get(method)
        if act is not None:
            act(self, number, headers, body)
        else:
            self.reply(b"501 Not Implemented", headers)

    def answered(self, headers: dict[bytes, bytes]) -> None:
        """An answer to one of our releases."""
        if headers.get(b"cseq", b"").endswith(b"BYE"):
            self.front.heard(call_id(headers))
            self.front.caller(self)

    def invite(self, number: bytes, headers: dict[bytes, bytes], body: memoryview) -> None:
        front, now_ms = self.front, self.now_ms()
        expires_ms = decimal(headers.get(b"expires-ms"), "Expires-Ms")
        if expires_ms > LONGEST_WAIT * max(kind.deadline_ms for kind in front.engine.settings.classes):
            raise MessageError("Expires-Ms")
        # Expires-Ms is a span from the sending of the set-up; rules go by Unix time: converted here only.
        request = Request(
            call_id(headers),
            headers.get(b"priority-class", b"").decode("utf-8", "replace"),
            now_ms + expires_ms,
            front,
            bytes(body),  # kept for further attempts, so it outlives the buffer
        )
        request.number = number.decode("ascii", "replace")
        for part in headers.get(b"p-trunk-info", b"").split(b";"):
            name, _, value = part.partition(b":")
            if name == b"dest":
                request.destination = int(signed(value, "dest"))
            elif name == b"width":
                request.lines = signed(value, "width")
                if not 0 < request.lines <= MOST_LINES:
                    raise MessageError("width")
            elif name == b"again":
                request.cut_before = value == b"1"
        request.redialled = headers.get(b"p-repeat") == b"1"
        request.context = (self, echo(headers))
        if request.id in self.set_ups:
            # Two set-ups under one id can't both be answered, nor can one answer be told to be this one's.
            raise MessageError("Call-ID twice")
        self.set_ups[request.id] = self.fresh[request.id] = request
        front.caller(self)
        ending_ms = front.readiness.ending_ms
        if ending_ms and now_ms > ending_ms + STILL_USED_MS:
            self.still_used = True

    def cancel(self, number: bytes, headers: dict[bytes, bytes], body: memoryview) -> None:
        # Only what came here: a stranger must not withdraw the set-ups of others.
        request = self.set_ups.get(call_id(headers))
        self.reply(b"200 OK" if request else UNKNOWN, headers)
        if request is not None and self.fresh.pop(request.id, None) is not None:
            del self.set_ups[request.id]
        elif request is not None:
            self.front.cancelled(request)

    def bye(self, number: bytes, headers: dict[bytes, bytes], body: memoryview) -> None:
        request = self.front.engine.standing.get(call_id(headers))
        # A release may have crossed our own, which is kept until it is heard.
        known = request is not None or call_id(headers) in self.front.byes
        if not known and self.front.seek is not None:
            echoed = echo(headers)  # what it is made of is gone when the answer comes

            def sought(found: bool) -> None:
                if self in self.front.links:
                    status = b"200 OK" if found else UNKNOWN
                    self.say(b"SIP/2.0 ", status, b"\r\n", echoed, b"Content-Length: 0\r\n\r\n")

            self.front.seek(call_id(headers), sought)
            return
        self.reply(b"200 OK" if known else UNKNOWN, headers)
        if request is not None:
            self.front.engine.hang_up(request)

    def options(self, number: bytes, headers: dict[bytes, bytes], body: memoryview) -> None:
        self.reply(b"200 OK" if self.front.readiness.ready() else b"503 Service Unavailable", headers)

    def ack(self, number: bytes, headers: dict[bytes, bytes], body: memoryview) -> None:
        """Means nothing on TCP: an answer arrives whole or the connection ends."""

    def reply(self, status: bytes, headers: dict[bytes, bytes]) -> None:
        self.say(b"SIP/2.0 ", status, b"\r\n", echo(headers), b"Content-Length: 0\r\n\r\n")


UNKNOWN = b"481 Call/Transaction Does Not Exist"
METHODS = {
    b"INVITE": CallerLink.invite,
    b"ACK": CallerLink.ack,
    b"CANCEL": CallerLink.cancel,
    b"BYE": CallerLink.bye,
    b"OPTIONS": CallerLink.options,
}


def call_id(headers: dict[bytes, bytes]) -> str:
    """The call's id: 16 hex digits."""
    value = headers.get(b"call-id", b"")
    if not CALL_ID.fullmatch(value):
        raise MessageError("Call-ID")
    return value.decode("ascii").lower()


def decimal(value: bytes | None, key: str) -> float:
    """A whole number that is not negative."""
    if value is None or not value.isdigit() or len(value) > 12:
        raise MessageError(key)
    return float(value)


def signed(value: bytes, key: str) -> float:
    """A decimal number."""
    if not re.fullmatch(rb"-?[0-9]{1,9}(\.[0-9]{1,9})?", value):
        raise MessageError(key)
    return float(value)


def echo(headers: dict[bytes, bytes]) -> bytes:
    """The headers that an answer repeats."""
    return b"".join(b"%s: %s\r\n" % (NAMES[name], headers[name]) for name in ECHOED if name in headers)


NAMES = {b"via": b"Via", b"from": b"From", b"to": b"To", b"call-id": b"Call-ID", b"cseq": b"CSeq"}


class Clients(protocol.Factory):
    """The front for callers: all their connections, and the releases that wait to be heard."""

    noisy = False

    def __init__(
        self, engine: Engine, tally: Tally, most_links: int, readiness: Readiness, spare: int = 0
    ) -> None:
        self.engine, self.tally, self.readiness = engine, tally, readiness
        self.accepted = AcceptedLinks(tally, "clients", most_links, engine.deadlines, spare)
        self.links = self.accepted.held
        self.unsaid: dict[str, None] = {}  # releases that wait for a connection
        self.sweeping = False  # connections are being closed as they come free
        self.byes: OrderedDict[str, Owed] = OrderedDict()
        self.callers: OrderedDict[CallerLink, None] = OrderedDict()  # brought a call, the latest last
        self.retelling = False
        # Finds a call that is not held here and releases it; tells whether it did. None: nobody else knows of any.
        self.seek: Callable[[str, Callable[[bool], None]], None] | None = None

    def buildProtocol(self, addr: object) -> CallerLink | None:
        return CallerLink(self) if self.accepted.room() else None

    def opened(self, link: CallerLink) -> None:
        self._prune()
        for id_ in list(self.unsaid):
            self._release(id_, link)

    def caller(self, link: CallerLink) -> None:
        """Callers are behind this connection: it has brought a set-up, or heard a release."""
        if link in self.links:
            self.callers[link] = None
            self.callers.move_to_end(link)

    def _any(self, but: CallerLink | None = None) -> CallerLink | None:
        """A connection for the end of a call whose own has gone: one that callers are behind, if there is any.

        Guards against an end written to somebody who only asks whether we are ready, or who asks once and stays:
        such are heard more often than callers, and nobody there takes it.
        """
        for held in (self.callers, self.links):
            found = next((link for link in reversed(held) if link is not but), None)
            if found is not None:
                return found
        return None

    def closed(self, link: CallerLink) -> None:
        """A connection has gone: its set-ups are given up, its unheard releases go elsewhere."""
        self.callers.pop(link, None)
        for id_ in link.fresh:
            del link.set_ups[id_]  # never offered
        link.fresh = {}
        for request in list(link.set_ups.values()):
            self.cancelled(request)
        self._prune()
        for id_, owed in list(self.byes.items()):
            if owed.on is link:
                self._release(id_, self._any())

    def send_away(self) -> None:
        """Clients are to go elsewhere: close every connection that owes nothing, now and until the drain ends.

        Guards against clients that keep a connection to a drained proxy: one is closed once no set-up is open on
        it and no call stands that was set up on it (its release is owed there); a set-up that crosses the close
        is sent again by its caller. Once ending, a connection that still brings set-ups long after SIGTERM is
        closed with calls standing: its callers have a new process beside this one, which the servers tell of
        those calls' ends once this one has gone.
        """
        if not self.sweeping:
            self.sweeping = True
            self._sweep()

    def _sweep(self, _: object = None) -> None:
        if not self.readiness.draining():
            self.sweeping = False
            return
        owing = {request.context[0] for request in self.engine.standing.values()}
        now_ms = self.engine.clock.now_ms()
        for link in list(self.links):
            if link.transport.disconnecting or (link in owing and not link.still_used):
                continue
            link.catch_up()
            if link not in self.links or link.set_ups or link.partial_ms:
                continue  # a set-up has come, in part or whole: it is answered first
            if not link.heard_ms and now_ms - link.opened_ms < SWEEP_MS:
                continue  # its first one is on its way
            self.tally.add("clients.sent_away")
            link.transport.loseConnection()
        self.engine.deadlines.at(now_ms + SWEEP_MS, self._sweep)

    def finish(self) -> bool:
        """Close every connection once what was written on it is out; tells whether all have closed.

        For the very end, when all is answered: what has come on one is read first, and refused. A set-up that
        crosses the close is sent again by its caller, as no other is open there.
        """
        for link in list(self.links):
            link.catch_up()
            if link in self.links:
                self.accepted.close(link)
        return not self.accepted.closing

    def catch_up(self, request: Request) -> None:
        request.context[0].catch_up()

    def cancelled(self, request: Request) -> None:
        request.context[0].set_ups.pop(request.id, None)
        self.engine.cancel(request)

    # What the engine says.

    def stands(self, request: Request, payload: object) -> None:
        size = b"Content-Length: %d\r\n\r\n" % len(payload)
        self._answer(request, b"SIP/2.0 200 OK\r\n", size, payload)

    def refused(self, request: Request, pause_ms: float) -> None:
        pause = b"P-Back-Off: %d\r\n" % int(pause_ms) if pause_ms >= 1 else b""
        self._answer(request, b"SIP/2.0 503 Service Unavailable\r\n", pause, b"Content-Length: 0\r\n\r\n")

    def failed(self, request: Request) -> None:
        self._answer(request, b"SIP/2.0 500 Server Internal Error\r\n", b"Content-Length: 0\r\n\r\n")

    def over(self, request: Request, cut: bool) -> None:
        """A standing call is over: release it on its own connection, or on any other that is open."""
        link = request.context[0]
        self.release(request.id, cut, link if link in self.links else None)

    def release(self, id_: str, cut: bool, link: CallerLink | None = None) -> None:
        """Tell callers that a call is over."""
        message = (
            b"BYE sip:caller@net SIP/2.0\r\nVia: SIP/2.0/TCP proxy\r\nCall-ID: %s\r\nCSeq: 2 BYE\r\n"
            b"Reason: Q.850;cause=%d\r\nContent-Length: 0\r\n\r\n"
            % (id_.encode("ascii"), CAUSE_CUT if cut else CAUSE_NORMAL)
        )
        now_ms = self.engine.clock.now_ms()
        self._prune()
        self.byes[id_] = Owed(now_ms, message)
        self._release(id_, link or self._any())
        if not self.retelling:
            self.retelling = True
            self.engine.deadlines.at(now_ms + RETELL_LOOK_MS, self._retell)

    def _retell(self, _: object = None) -> None:
        """Tell ends on another connection where the one they were written on does not say that they were heard."""
        self._prune()
        if not self.byes:
            self.retelling = False
            return
        now_ms = self.engine.clock.now_ms()
        for id_, owed in list(self.byes.items()):
            if owed.on is not None and now_ms - owed.told_ms >= RETELL_MS * (1 << owed.times - 1):
                other = self._any(but=owed.on)
                if other is not None:
                    self.tally.add("clients.releases_retold")
                    self._release(id_, other)
        self.engine.deadlines.at(now_ms + RETELL_LOOK_MS, self._retell)

    def heard(self, id_: str) -> None:
        self.byes.pop(id_, None)
        self.unsaid.pop(id_, None)

    def _release(self, id_: str, link: CallerLink | None) -> None:
        owed = self.byes[id_]
        sent = link is not None and link.say(owed.message)
        owed.on = link if sent else None
        if sent:
            owed.told_ms = self.engine.clock.now_ms()
            owed.times += 1
            self.unsaid.pop(id_, None)
        else:
            self.unsaid[id_] = None

    def _prune(self) -> None:
        """Releases that nobody need hear any more are forgotten, oldest first."""
        oldest_ms = self.engine.clock.now_ms() - BYE_FOR_MS
        while self.byes and next(iter(self.byes.values())).ended_ms < oldest_ms:
            self.unsaid.pop(self.byes.popitem(last=False)[0], None)

    def _answer(self, request: Request, start: bytes, *rest: bytes | memoryview) -> None:
        link, echoed = request.context
        if link.set_ups.get(request.id) is request:
            del link.set_ups[request.id]
        if link in self.links:
            link.say(start, echoed, *rest)
        elif request.state is State.STANDING:
            self.tally.add("clients.answer_lost")
