"""Adapter to the simulator: its line protocol on standard input and output, with one Controller per gateway.

The simulator sends batches: `ROUND` with the time, lines that address a gateway (`SWITCH_TO`), start or destroy it,
transfer server lists or report an event, and `EOF_BATCH`. The reply has the gateways' actions and ends with `DONE`.
The adapter only translates names and units; every decision is made in leadslip/controller.py.
"""

from __future__ import annotations

import sys
import traceback
from collections.abc import Callable, Iterable
from typing import TextIO

from leadslip import interface
from leadslip.config import (
    Fields,
    MalformedError,
    boolean,
    integer,
    lookup_keyword,
    number,
    parse_load_values,
    parse_settings,
    required_text,
)
from leadslip.controller import Controller

UPDATE_KINDS = {
    0: interface.UpdateKind.FAILED,
    1: interface.UpdateKind.CACHED,
    2: interface.UpdateKind.CHANGES,
    3: interface.UpdateKind.SNAPSHOT,
}
STATES = {0: interface.ServerState.DRAINING, 1: interface.ServerState.GONE, 2: interface.ServerState.READY}
OUTCOMES = {
    "served": interface.Outcome.SERVED,
    "server_error": interface.Outcome.ERROR,
    "turned_away": interface.Outcome.FULL,
    "no_answer": interface.Outcome.TIMED_OUT,
    "no_connection": interface.Outcome.NO_CONNECTION,
    "connection_lost": interface.Outcome.CUT,
    "called_off": interface.Outcome.WITHDRAWN,
    "not_sent": interface.Outcome.NOT_SENT,
}
CAUSES = {
    1: interface.Cause.NO_LINE,
    2: interface.Cause.BOUNCED,
    3: interface.Cause.PROCESSOR_FULL,
    4: interface.Cause.NUMBER_BUSY,
}
LIST_BUFFERS = 16  # buffers for server lists; TARGETS refers to a list by its buffer number


def parse_list_entry(fields: Fields) -> interface.ListEntry:
    """Parses one entry of a server list (`ENTRY`)."""
    return interface.ListEntry(
        server=required_text(fields, "switch"),
        number=integer(fields, "node_no", -1),
        state=lookup_keyword(STATES, integer(fields, "mode"), "mode"),
        online_since_ms=number(fields, "online_since_ms", 0.0),
    )


def parse_call_offered(fields: Fields) -> interface.CallOffered:
    """Parses a call offered to this gateway (`REQ`)."""
    return interface.CallOffered(
        call=required_text(fields, "txn"),
        call_class=required_text(fields, "tier_class"),
        valid_until_ms=number(fields, "valid_until_ms"),
        destination=integer(fields, "destination", -1),
        lines=number(fields, "circuits", 1.0),
        number_called=fields.get("route_key", ""),
        tenant=fields.get("realm", ""),
        in_transit=boolean(fields, "passing"),
        cut_before=boolean(fields, "reconnect"),
        redialled=boolean(fields, "again_by_client"),
    )


def parse_attempt_ended(fields: Fields, report_fields: list[str]) -> interface.AttemptEnded:
    """Parses the end of an attempt (`VERDICT`); `report_fields` names the values of its load report."""
    # The low 4 bits are the cause; if that is a full processor, the other bits are the waiting time in ms.
    code = integer(fields, "cause", 0)
    return interface.AttemptEnded(
        call=required_text(fields, "txn"),
        server=required_text(fields, "switch"),
        attempt=integer(fields, "go"),
        outcome=lookup_keyword(OUTCOMES, required_text(fields, "reason"), "reason"),
        elapsed_ms=number(fields, "time_taken_ms"),
        call_over=boolean(fields, "done_flag"),
        cause=CAUSES.get(code % 16, interface.Cause.NONE),
        wait_ms=float(code // 16) if code % 16 == 3 else 0.0,
        load=parse_load_values(fields.get("stats"), report_fields),
    )


def parse_peer_message(fields: Fields) -> interface.PeerMessage:
    """Parses a message from another gateway (`NEIGHBOUR_SAYS`)."""
    text = required_text(fields, "msg")
    try:
        content = b"" if text == "-" else bytes.fromhex(text)
    except ValueError:
        raise MalformedError(f"msg must be hexadecimal, or - if it is empty: {text}") from None
    return interface.PeerMessage(integer(fields, "src_peer"), content)


def format_action(action: interface.Action) -> str:
    """Formats an action as a line of the protocol; raises TypeError for an action that the protocol lacks."""
    match action:
        case interface.SetUp(call, server, timeout_at_ms):
            return f"HAND_OFF txn={call} switch={server} cut_at_ms={timeout_at_ms:.3f}"
        case interface.Withdraw(call, attempt):
            return f"WITHDRAW txn={call} go={attempt}"
        case interface.Refuse(call, pause_ms):
            return f"OVERLOAD_REPLY txn={call} pause_ms={pause_ms:.3f}"
        case interface.Fail(call):
            return f"GIVE_UP txn={call}"
        case interface.SetTimer(after_ms, token):
            return f"WAKE_ME offset_ms={after_ms:.3f} ctx={token}"
        case interface.Probe(server):
            return f"HEALTH_CHECK switch={server}"
        case interface.SendToPeers(content, peer):
            return f"ANNOUNCE peer={'*' if peer is None else peer} msg={content.hex() or '-'}"
        case interface.SubscribeList(enabled):
            return f"WATCH want={int(enabled)}"
        case interface.FetchList():
            return "REFRESH"
        case interface.Log(text):
            return f"RECORD what={' '.join(text.split())}"
    raise TypeError(f"action has no line format: {action!r}")


class Instance:
    """One gateway: its Controller, and the names of the values in load reports to it, in order."""

    def __init__(self, fields: Fields) -> None:
        names = fields.get("load_report.fields", "")
        self.report_fields = names.split(",") if names else []
        self.controller = Controller(parse_settings(fields), integer(fields, "salt"))


class SimHost:
    """Answers batches of protocol lines; gateways share nothing but the buffered server lists."""

    def __init__(self, out: TextIO, err: TextIO) -> None:
        self.out = out
        self.err = err
        self.instances: dict[str, Instance] = {}
        self.lists: dict[int, list[interface.ListEntry]] = {}  # by buffer number
        self.now_ms: float | None = None  # time of the current batch; None between batches
        self.gateway_id = ""  # gateway that the lines of the batch address
        self.reply_gateway = ""  # gateway to which the last lines of the reply belong
        self.open_list: list[interface.ListEntry] | None = None  # list to which the next ENTRY belongs
        self.missing_entries = 0  # entries that the open list still lacks
        self.reply: list[str] = []

    def add_line(self, line: str) -> None:
        """Adds one line of the current gateway to the reply."""
        if self.reply_gateway != self.gateway_id:
            self.reply.append(f"INSTANCE gateway_id={self.gateway_id}")
            self.reply_gateway = self.gateway_id
        self.reply.append(line)

    def run_guarded(self, function: Callable[[], list[str]]) -> None:
        """Runs a function that returns reply lines, and adds these to the reply.

        An exception of it other than MalformedError is reported as INTERNAL_ERROR, with its traceback on `err`.
        """
        try:
            lines = function()
        except MalformedError:
            raise
        except Exception as error:
            traceback.print_exc(file=self.err)
            lines = [f"INTERNAL_ERROR what={' '.join(f'{type(error).__name__}: {error}'.split())}"]
        for line in lines:
            self.add_line(line)

    def current_instance(self) -> Instance:
        """Returns the current gateway; raises MalformedError if it has not been started."""
        if self.gateway_id not in self.instances:
            raise MalformedError(f"gateway not started: {self.gateway_id or 'none addressed by SWITCH_TO'}")
        return self.instances[self.gateway_id]

    def start(self, fields: Fields) -> None:
        """Starts the addressed gateway from its settings and seed (`BOOT`); one that runs under its id is replaced."""
        if not self.gateway_id:
            raise MalformedError("BOOT needs a gateway_id, set by SWITCH_TO")

        def create() -> list[str]:
            self.instances.pop(self.gateway_id, None)
            self.instances[self.gateway_id] = Instance(fields)
            return []

        self.run_guarded(create)

    def on_line(self, text: str) -> None:
        """Processes one line of the protocol: a message type and fields `name=value`."""
        message_type, _, field_text = text.partition(" ")
        fields: Fields = {}
        for item in field_text.split(" ") if field_text else ():
            key, separator, value = item.partition("=")
            if not separator or not key:
                raise MalformedError(f"field is not name=value: {item!r}")
            fields[key] = value
        if self.missing_entries and message_type != "ENTRY":
            raise MalformedError(
                f"list is short: {self.missing_entries} more ENTRY lines are expected before {message_type}"
            )
        if message_type == "ROUND":
            if self.now_ms is not None:
                raise MalformedError("ROUND within a batch: EOF_BATCH is missing")
            self.now_ms, self.gateway_id, self.reply_gateway, self.reply = number(fields, "t_ms"), "", "", []
        elif self.now_ms is None:
            raise MalformedError(f"{message_type} outside a batch: ROUND is missing")
        elif message_type == "EOF_BATCH":
            self.now_ms = None
            self.out.write("".join(f"{line}\n" for line in [*self.reply, "DONE"]))
            self.out.flush()
        elif message_type == "SWITCH_TO":
            self.gateway_id = required_text(fields, "gateway_id")
        elif message_type == "LIST":
            self.open_list = self.lists[integer(fields, "buffer") % LIST_BUFFERS] = []
            self.missing_entries = integer(fields, "items")
        elif message_type == "ENTRY":
            if self.open_list is None or not self.missing_entries:
                raise MalformedError("entry outside a list: no LIST precedes it, or that has all its items")
            self.open_list.append(parse_list_entry(fields))
            self.missing_entries -= 1
        elif message_type == "BOOT":
            self.start(fields)
        elif message_type == "DESTROY":
            self.instances.pop(self.gateway_id, None)
        else:
            self.on_event(message_type, fields)

    def on_event(self, message_type: str, fields: Fields) -> None:
        """Passes one event to the current gateway and adds its actions to the reply."""
        instance = self.current_instance()
        event = self.parse_event(message_type, fields, instance.report_fields)
        now_ms = self.now_ms
        self.run_guarded(
            lambda: [format_action(action) for action in instance.controller.handle(now_ms, event)]
        )

    def parse_event(self, message_type: str, fields: Fields, report_fields: list[str]) -> interface.Event:
        """Parses one event; raises MalformedError for an unknown message type."""
        if message_type == "TARGETS":
            update_kind = lookup_keyword(UPDATE_KINDS, integer(fields, "kind"), "kind")
            if update_kind is interface.UpdateKind.FAILED:
                return interface.ServerListUpdate(update_kind)
            return interface.ServerListUpdate(
                update_kind, tuple(lookup_keyword(self.lists, integer(fields, "buffer"), "buffer"))
            )
        if message_type == "REQ":
            return parse_call_offered(fields)
        if message_type == "VANISHED":
            return interface.CallerLeft(required_text(fields, "txn"))
        if message_type == "BELL":
            return interface.TimerDue(required_text(fields, "ctx"))
        if message_type == "ECHO":
            outcome = lookup_keyword(OUTCOMES, required_text(fields, "reason"), "reason")
            load = parse_load_values(fields.get("stats"), report_fields)
            return interface.LoadReported(
                required_text(fields, "switch"), outcome, number(fields, "time_taken_ms"), load
            )
        if message_type == "NEIGHBOUR_SAYS":
            return parse_peer_message(fields)
        if message_type == "BEGUN":
            elapsed_ms = number(fields, "time_taken_ms")
            return interface.CallEstablished(
                required_text(fields, "txn"),
                required_text(fields, "switch"),
                integer(fields, "go"),
                elapsed_ms,
            )
        if message_type == "VERDICT":
            return parse_attempt_ended(fields, report_fields)
        raise MalformedError(f"unknown message type {message_type!r}")


def run(lines: Iterable[str], out: TextIO, err: TextIO) -> int:
    """Answers batches until the input ends; returns exit code 0, or 2 after a malformed line or an incomplete batch."""
    host = SimHost(out, err)
    for line_number, text in enumerate(lines, start=1):
        stripped = text.rstrip("\r\n")
        if not stripped:
            continue
        try:
            host.on_line(stripped)
        except MalformedError as error:
            err.write(f"leadslip.simhost: line {line_number}: {error}: {stripped[:200]}\n")
            return 2
    if host.now_ms is not None:
        err.write("leadslip.simhost: the input ended within a batch, before EOF_BATCH\n")
        return 2
    return 0


def main() -> int:
    """Runs the adapter on standard input and output."""
    sys.stdin.reconfigure(encoding="utf-8", errors="replace")
    return run(sys.stdin, sys.stdout, sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
