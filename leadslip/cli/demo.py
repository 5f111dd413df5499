"""leadslip demo: a proxy, a stand-in server and callers in one terminal, and nothing left behind."""

from __future__ import annotations

import json
import os
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import click

from leadslip.cli.told import as_json

GAP_S = 0.25  # between two calls
HOLD_S = 1.5  # of a call that stands
LINES = 3  # of the stand-in server: the fourth call at once is refused
START_S, END_S = 20.0, 12.0  # the proxy has so long to start, and the calls to end


@click.command()
@click.option("--calls", type=click.IntRange(1, 1000), default=12, help="So many calls are placed.")
@click.option("--lines", type=click.IntRange(1, 1000), default=LINES, help="Lines of the stand-in server.")
@click.option("--hold-s", type=click.FloatRange(0.0, 60.0), default=HOLD_S, help="How long a call stands.")
@as_json
def demo(calls: int, lines: int, hold_s: float, json_: bool) -> None:
    """Place calls through a proxy and show them as they stand, are refused and end.

    Starts the proxy as a process of its own with a stand-in server on loopback; needs no file, and stops all that
    it has started.
    """
    from twisted.internet import reactor

    show = Show(quiet=json_)
    with tempfile.TemporaryDirectory(prefix="leadslip-demo-") as folder:
        played = Play(reactor, Path(folder), show, calls, lines, hold_s)
        reactor.callWhenRunning(played.start)
        reactor.run()
    if json_:
        click.echo(json.dumps({"placed": played.placed, **played.counts, "exit": played.code}))
    else:
        show("demo", f"{played.placed} calls: " + ", ".join(f"{n} {k}" for k, n in played.counts.items()))
    settled = played.counts["ended"] == played.counts["stand"]
    sys.exit(0 if played.code == 0 and not played.fault and settled else 1)


class Show:
    """Prints who says what, with the seconds since the start."""

    def __init__(self, quiet: bool) -> None:
        self.quiet, self.began = quiet, time.monotonic()

    def __call__(self, who: str, what: str) -> None:
        if not self.quiet:
            click.echo(f"{time.monotonic() - self.began:6.2f}  {who:7}  {what}")


class Play:
    """One demo: starts the stand-ins, the proxy and the caller, and ends them in turn."""

    def __init__(
        self, reactor: object, folder: Path, show: Show, calls: int, lines: int, hold_s: float
    ) -> None:
        self.reactor, self.folder, self.show = reactor, folder, show
        self.calls, self.lines, self.hold_s = calls, lines, hold_s
        self.counts: Counter[str] = Counter(stand=0, refused=0, failed=0, ended=0)
        self.placed = 0
        self.code: int | None = None
        self.fault = ""
        self.caller: object = None
        self.proxy: object = None

    def start(self) -> None:
        """Listen, and start the proxy before it."""
        from twisted.internet import error, protocol

        from leadslip import site
        from leadslip.cli import toy

        server, board = toy.start(
            self.reactor, 0, 0, self.lines, self.hold_s, lambda text: self.show("server", text)
        )
        (self.folder / "config.json").write_text(json.dumps(site.configuration(server, board, 0)))
        kept = {key: value for key, value in os.environ.items() if not key.startswith(("NODE_", "LEADSLIP_"))}
        kept["NODE_CONFIG"] = str(self.folder / "config.json")
        kept["PYTHONPATH"] = os.pathsep.join(path for path in sys.path if path)
        play = self

        class Proxy(protocol.ProcessProtocol):
            """The proxy's process: its log, and its end."""

            text = b""

            def outReceived(self, data: bytes) -> None:  # noqa: N802
                *lines, self.text = (self.text + data).split(b"\n")
                for line in lines:
                    play.logged(line.decode("utf-8", "replace").split(" ", 1)[-1])

            def errReceived(self, data: bytes) -> None:  # noqa: N802
                play.show("proxy", data.decode("utf-8", "replace").strip())

            def processEnded(self, reason: object) -> None:  # noqa: N802
                done = reason.check(error.ProcessDone) is not None
                play.ended(0 if done else reason.value.exitCode or 1)

        # In the folder that holds no deploy/, so that no setting of the place it is started in counts.
        command = [sys.executable, "-O", "-u", "-m", "leadslip"]
        self.proxy = self.reactor.spawnProcess(
            Proxy(), sys.executable, command, env=kept, path=str(self.folder)
        )
        self.timeout = self.reactor.callLater(START_S, self.stop, "the proxy did not start")

    def logged(self, line: str) -> None:
        """What the proxy logs; the first that counts is where it serves."""
        if line.startswith("serves "):
            self.show("proxy", line)
            self.timeout.cancel()
            self.timeout = None
            port = int(line.rpartition(":")[2])
            self.reactor.connectTCP("127.0.0.1", port, CallerFactory(self))
        elif not line.startswith("counts"):
            self.show("proxy", line)

    def place(self) -> None:
        """Place the next call, until all are placed."""
        if self.caller is None:
            return
        self.placed += 1
        self.caller.invite(self.placed, "officer-call" if self.placed % 4 == 0 else "resident-call")
        if self.placed < self.calls:
            self.reactor.callLater(GAP_S, self.place)
        else:
            self.timeout = self.reactor.callLater(
                END_S + self.hold_s, self.stop, "calls were left without their end"
            )

    def count(self, what: str) -> None:
        """One call stands, is refused or has ended; the demo is over when all have."""
        self.counts[what] += 1
        over = self.counts["refused"] + self.counts["failed"] + self.counts["ended"]
        if over >= self.calls and self.timeout is not None:
            self.stop("")

    def stop(self, fault: str) -> None:
        """SIGTERM for the proxy, which drains."""
        self.fault = fault
        if fault:
            self.show("demo", fault)
        if self.timeout is not None and self.timeout.active():
            self.timeout.cancel()
        self.timeout = None
        if self.proxy.pid:
            self.show("demo", "SIGTERM to the proxy")
            self.proxy.signalProcess("TERM")
        else:
            self.reactor.stop()

    def ended(self, code: int) -> None:
        """The proxy has ended."""
        self.code = code
        self.show("proxy", f"ended with exit code {code}")
        if self.timeout is not None and self.timeout.active():
            self.timeout.cancel()
        self.reactor.stop()


def caller_class() -> type:
    """The caller's end of SIP; made late, as Twisted is imported only by a demo that runs."""
    from twisted.protocols.basic import LineReceiver

    class CallerLink(LineReceiver):
        """Places calls, and hears what becomes of them."""

        def connectionMade(self) -> None:  # noqa: N802
            self.head: list[str] = []
            self.numbers: dict[str, int] = {}
            self.play.caller = self
            self.play.place()

        def invite(self, number: int, kind: str) -> None:
            from leadslip.cli.toy import OFFER

            id_ = f"{number:016x}"
            self.numbers[id_] = number
            self.play.show("caller", f"call {number}: {kind} to 8210{number:08d}")
            head = (
                f"INVITE sip:8210{number:08d}@net SIP/2.0\r\nVia: SIP/2.0/TCP caller\r\nCall-ID: {id_}\r\n"
                f"CSeq: 1 INVITE\r\nPriority-Class: {kind}\r\nExpires-Ms: 3000\r\n"
                f"P-Trunk-Info: dest:0;width:1;via:-1\r\nContent-Length: {len(OFFER)}\r\n\r\n"
            )
            self.transport.write(head.encode() + OFFER)

        def lineReceived(self, line: bytes) -> None:  # noqa: N802
            if line:
                self.head.append(line.decode("utf-8", "replace"))
                return
            head, self.head = self.head, []
            fields = dict(part.split(": ", 1) for part in head[1:] if ": " in part)
            self.left = int(fields.get("Content-Length", 0))
            self.heard(head[0], fields)
            if self.left:
                self.setRawMode()

        def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
            rest, self.left = data[self.left :], max(0, self.left - len(data))
            if not self.left:
                self.setLineMode(rest)

        def heard(self, start: str, fields: dict[str, str]) -> None:
            number = self.numbers.get(fields.get("Call-ID", ""))
            if number is None:
                return
            if start.startswith("BYE "):
                self.play.show("caller", f"call {number}: has ended ({fields.get('Reason', '')})")
                self.play.count("ended")
            elif " 200 " in start:
                self.play.show("caller", f"call {number}: stands")
                self.play.count("stand")
            elif " 503 " in start or " 480 " in start:
                pause = fields.get("P-Back-Off")
                self.play.show(
                    "caller", f"call {number}: refused" + (f", back in {pause} ms" if pause else "")
                )
                self.play.count("refused")
            else:
                self.play.show("caller", f"call {number}: {start}")
                self.play.count("failed")

    return CallerLink


def CallerFactory(play: Play) -> object:  # noqa: N802
    """Makes the one connection of the demo's caller."""
    from twisted.internet import protocol

    factory = protocol.ClientFactory.forProtocol(caller_class())
    factory.noisy = False
    factory.protocol.play = play
    return factory
