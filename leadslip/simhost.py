"""The adapter: the bench's wire on standard input and output, one controller for each gateway.

Names and units only; every decision is in leadslip/choice.py.
"""

from __future__ import annotations

import sys
import traceback
from collections.abc import Callable, Iterable
from typing import TextIO

from leadslip import interface as face
from leadslip.choice import Controller
from leadslip.config import (
    Fields,
    MalformedError,
    flag,
    known,
    load_of,
    number,
    settings_of,
    whole,
    word,
)

NEWS = {
    0: face.NewsKind.FAILED,
    1: face.NewsKind.CACHED,
    2: face.NewsKind.CHANGES,
    3: face.NewsKind.WHOLE,
}
STATES = {0: face.ServerState.DRAINING, 1: face.ServerState.GONE, 2: face.ServerState.READY}
OUTCOMES = {
    "served": face.Outcome.SERVED,
    "server_error": face.Outcome.ERROR,
    "turned_away": face.Outcome.FULL,
    "no_answer": face.Outcome.TIMED_OUT,
    "no_connection": face.Outcome.NO_CONNECTION,
    "connection_lost": face.Outcome.CUT,
    "called_off": face.Outcome.WITHDRAWN,
    "not_sent": face.Outcome.NOT_SENT,
}
CAUSES = {
    1: face.Cause.NO_LINE,
    2: face.Cause.BOUNCED,
    3: face.Cause.PROCESSOR_FULL,
    4: face.Cause.NUMBER_BUSY,
}
BUFFERS = 16


def entry_of(fields: Fields) -> face.ListEntry:
    """One line of the server list."""
    return face.ListEntry(
        server=word(fields, "switch"),
        number=whole(fields, "node_no", -1),
        state=known(STATES, whole(fields, "mode"), "mode"),
        online_since_ms=number(fields, "online_since_ms", 0.0),
    )


def offered_of(f: Fields) -> face.CallOffered:
    """A call handed to this gateway."""
    return face.CallOffered(
        call=word(f, "txn"),
        call_class=word(f, "tier_class"),
        valid_until_ms=number(f, "valid_until_ms"),
        destination=whole(f, "destination", -1),
        lines=number(f, "circuits", 1.0),
        number_called=f.get("route_key", ""),
        tenant=f.get("realm", ""),
        in_transit=flag(f, "passing"),
        cut_before=flag(f, "reconnect"),
        redialled=flag(f, "again_by_client"),
    )


def ended_of(f: Fields, names: list[str]) -> face.AttemptEnded:
    """The end of an attempt."""
    code = whole(f, "cause", 0)
    return face.AttemptEnded(
        call=word(f, "txn"),
        server=word(f, "switch"),
        attempt=whole(f, "go"),
        outcome=known(OUTCOMES, word(f, "reason"), "reason"),
        taken_ms=number(f, "time_taken_ms"),
        call_over=flag(f, "done_flag"),
        cause=CAUSES.get(code % 16, face.Cause.NONE),
        wait_ms=float(code // 16) if code % 16 == 3 else 0.0,
        load=load_of(f.get("stats"), names),
    )


def message_of(f: Fields) -> face.PeerMessage:
    """A peer's message."""
    text = word(f, "msg")
    try:
        content = b"" if text == "-" else bytes.fromhex(text)
    except ValueError:
        raise MalformedError(f"msg is not hex: {text}") from None
    return face.PeerMessage(whole(f, "src_peer"), content)


def wire_of(action: face.Action) -> str:
    """One action as its line."""
    match action:
        case face.SetUp(call, server, cut_at_ms):
            return f"HAND_OFF txn={call} switch={server} cut_at_ms={cut_at_ms:.3f}"
        case face.Withdraw(call, attempt):
            return f"WITHDRAW txn={call} go={attempt}"
        case face.Refuse(call, pause_ms):
            return f"OVERLOAD_REPLY txn={call} pause_ms={pause_ms:.3f}"
        case face.Fail(call):
            return f"GIVE_UP txn={call}"
        case face.SetTimer(after_ms, token):
            return f"WAKE_ME offset_ms={after_ms:.3f} ctx={token}"
        case face.Probe(server):
            return f"HEALTH_CHECK switch={server}"
        case face.TellPeers(content, peer):
            return f"ANNOUNCE peer={'*' if peer is None else peer} msg={content.hex() or '-'}"
        case face.FollowList(wanted):
            return f"WATCH want={int(wanted)}"
        case face.FetchList():
            return "REFRESH"
        case face.Log(text):
            return f"RECORD what={' '.join(text.split())}"
    raise TypeError(f"no line for {action!r}")


class Instance:
    """One gateway: its controller and the names of its load report's figures."""

    def __init__(self, fields: Fields) -> None:
        names = fields.get("load_report.fields", "")
        self.report = names.split(",") if names else []
        self.controller = Controller(settings_of(fields), whole(fields, "salt"))


class SimHost:
    """Reads batches, answers them; holds nothing that two gateways could share but the numbered lists."""

    def __init__(self, out: TextIO, err: TextIO) -> None:
        self.out = out
        self.err = err
        self.instances: dict[str, Instance] = {}
        self.lists: dict[int, list[face.ListEntry]] = {}
        self.now_ms: float | None = None
        self.who = ""
        self.spoke = ""
        self.filling: list[face.ListEntry] | None = None
        self.due = 0
        self.reply: list[str] = []

    def say(self, line: str) -> None:
        """Add one action of the gateway in hand to the reply."""
        if self.spoke != self.who:
            self.reply.append(f"INSTANCE gateway_id={self.who}")
            self.spoke = self.who
        self.reply.append(line)

    def guarded(self, work: Callable[[], list[str]]) -> None:
        """Run decision code; its failure becomes INTERNAL_ERROR and a traceback."""
        try:
            lines = work()
        except MalformedError:
            raise
        except Exception as error:
            traceback.print_exc(file=self.err)
            lines = [f"INTERNAL_ERROR what={' '.join(f'{type(error).__name__}: {error}'.split())}"]
        for line in lines:
            self.say(line)

    def instance(self) -> Instance:
        """The gateway in hand, which must have been started."""
        if self.who not in self.instances:
            raise MalformedError(f"gateway not started: {self.who or 'none named'}")
        return self.instances[self.who]

    def start(self, fields: Fields) -> None:
        """Begin a gateway with nothing but its settings and seed."""
        if not self.who:
            raise MalformedError("no gateway named")

        def begin() -> list[str]:
            self.instances.pop(self.who, None)
            self.instances[self.who] = Instance(fields)
            return []

        self.guarded(begin)

    def line(self, text: str) -> None:
        """Take one line of the wire."""
        kind, _, rest = text.partition(" ")
        fields: Fields = {}
        for part in rest.split(" ") if rest else ():
            key, mark, value = part.partition("=")
            if not mark or not key:
                raise MalformedError(f"not name=value: {part!r}")
            fields[key] = value
        if self.due and kind != "ENTRY":
            raise MalformedError(f"list is short of {self.due} entries")
        if kind == "ROUND":
            if self.now_ms is not None:
                raise MalformedError("batch within a batch")
            self.now_ms, self.who, self.spoke, self.reply = number(fields, "t_ms"), "", "", []
        elif self.now_ms is None:
            raise MalformedError(f"{kind} outside a batch")
        elif kind == "EOF_BATCH":
            self.now_ms = None
            self.out.write("".join(f"{line}\n" for line in [*self.reply, "DONE"]))
            self.out.flush()
        elif kind == "SWITCH_TO":
            self.who = word(fields, "gateway_id")
        elif kind == "LIST":
            self.filling = self.lists[whole(fields, "buffer") % BUFFERS] = []
            self.due = whole(fields, "items")
        elif kind == "ENTRY":
            if self.filling is None or not self.due:
                raise MalformedError("entry outside a list")
            self.filling.append(entry_of(fields))
            self.due -= 1
        elif kind == "BOOT":
            self.start(fields)
        elif kind == "DESTROY":
            self.instances.pop(self.who, None)
        else:
            self.event(kind, fields)

    def event(self, kind: str, fields: Fields) -> None:
        """Hand one event to the gateway in hand."""
        held = self.instance()
        event = self.event_of(kind, fields, held.report)
        now = self.now_ms
        self.guarded(lambda: [wire_of(action) for action in held.controller.handle(now, event)])

    def event_of(self, kind: str, f: Fields, report: list[str]) -> face.Event:
        """One event line in the library's words."""
        if kind == "TARGETS":
            news = known(NEWS, whole(f, "kind"), "kind")
            if news is face.NewsKind.FAILED:
                return face.ListNews(news)
            return face.ListNews(news, tuple(known(self.lists, whole(f, "buffer"), "buffer")))
        if kind == "REQ":
            return offered_of(f)
        if kind == "VANISHED":
            return face.CallerLeft(word(f, "txn"))
        if kind == "BELL":
            return face.TimerDue(word(f, "ctx"))
        if kind == "ECHO":
            outcome = known(OUTCOMES, word(f, "reason"), "reason")
            load = load_of(f.get("stats"), report)
            return face.ServerLooked(word(f, "switch"), outcome, number(f, "time_taken_ms"), load)
        if kind == "NEIGHBOUR_SAYS":
            return message_of(f)
        if kind == "BEGUN":
            taken = number(f, "time_taken_ms")
            return face.CallStands(word(f, "txn"), word(f, "switch"), whole(f, "go"), taken)
        if kind == "VERDICT":
            return ended_of(f, report)
        raise MalformedError(f"unknown message {kind!r}")


def run(lines: Iterable[str], out: TextIO, err: TextIO) -> int:
    """Answer batches until the input ends; 0, or 2 after a line that makes no sense."""
    host = SimHost(out, err)
    for count, text in enumerate(lines, start=1):
        stripped = text.rstrip("\r\n")
        if not stripped:
            continue
        try:
            host.line(stripped)
        except MalformedError as fault:
            err.write(f"leadslip.simhost: line {count}: {fault}: {stripped[:200]}\n")
            return 2
    if host.now_ms is not None:
        err.write("leadslip.simhost: the input ended within a batch\n")
        return 2
    return 0


def main() -> int:
    """Serve the wire."""
    sys.stdin.reconfigure(encoding="utf-8", errors="replace")
    return run(sys.stdin, sys.stdout, sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
