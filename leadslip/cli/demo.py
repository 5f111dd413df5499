"""`leadslip demo`: runs a proxy, a toy setup server and a caller on loopback and cleans up afterwards."""

from __future__ import annotations

import json
import os
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import click

from leadslip.cli.output import json_option

CALL_INTERVAL_S = 0.25
HOLD_S = 1.5  # holding time of an established call
LINES = 3  # of the toy server: the fourth simultaneous call is refused
START_TIMEOUT_S, END_TIMEOUT_S = 20.0, 12.0  # for the proxy to start, and for the last calls to end


@click.command()
@click.option("--calls", type=click.IntRange(1, 1000), default=12, help="Number of calls to place.")
@click.option("--lines", type=click.IntRange(1, 1000), default=LINES, help="Lines of the toy setup server.")
@click.option("--hold-s", type=click.FloatRange(0.0, 60.0), default=HOLD_S, help="Holding time of a call.")
@json_option
def demo(calls: int, lines: int, hold_s: float, json_: bool) -> None:
    """Place calls through a proxy and show how they are established, refused and ended.

    Starts the proxy as a separate process and a toy setup server on loopback; needs no files, and stops everything
    that it has started.
    """
    from twisted.internet import reactor

    print_status = StatusPrinter(quiet=json_)
    with tempfile.TemporaryDirectory(prefix="leadslip-demo-") as folder:
        demo_run = DemoRun(reactor, Path(folder), print_status, calls, lines, hold_s)
        reactor.callWhenRunning(demo_run.start)
        reactor.run()
    if json_:
        click.echo(json.dumps({"placed": demo_run.placed, **demo_run.counts, "exit": demo_run.exit_code}))
    else:
        print_status(
            "demo",
            f"{demo_run.placed} calls: "
            + ", ".join(f"{count} {key}" for key, count in demo_run.counts.items()),
        )
    all_ended = demo_run.counts["ended"] == demo_run.counts["stand"]
    sys.exit(0 if demo_run.exit_code == 0 and not demo_run.error and all_ended else 1)


class StatusPrinter:
    """Prints status lines with their source and the seconds since the start."""

    def __init__(self, quiet: bool) -> None:
        self.quiet, self.started_s = quiet, time.monotonic()

    def __call__(self, source: str, text: str) -> None:
        if not self.quiet:
            click.echo(f"{time.monotonic() - self.started_s:6.2f}  {source:7}  {text}")


class DemoRun:
    """One demo: starts the toy server, the proxy and the caller, and stops them in turn."""

    def __init__(
        self,
        reactor: object,
        folder: Path,
        print_status: StatusPrinter,
        calls: int,
        lines: int,
        hold_s: float,
    ) -> None:
        self.reactor, self.folder, self.print_status = reactor, folder, print_status
        self.calls, self.lines, self.hold_s = calls, lines, hold_s
        self.counts: Counter[str] = Counter(stand=0, refused=0, failed=0, ended=0)  # stand: established
        self.placed = 0
        self.exit_code: int | None = None  # of the proxy
        self.error = ""  # why the demo was stopped early
        self.caller: object = None
        self.proxy: object = None

    def start(self) -> None:
        """Start the toy server and notice board, then the proxy that connects to them."""
        from twisted.internet import error, protocol

        from leadslip import site
        from leadslip.cli import toy

        server, board = toy.start(
            self.reactor, 0, 0, self.lines, self.hold_s, lambda text: self.print_status("server", text)
        )
        (self.folder / "config.json").write_text(json.dumps(site.demo_config(server, board, 0)))
        env = {key: value for key, value in os.environ.items() if not key.startswith(("NODE_", "LEADSLIP_"))}
        env["NODE_CONFIG"] = str(self.folder / "config.json")
        env["PYTHONPATH"] = os.pathsep.join(path for path in sys.path if path)
        demo_run = self

        class Proxy(protocol.ProcessProtocol):
            """The proxy process: reads its log and reports its exit."""

            partial_line = b""

            def outReceived(self, data: bytes) -> None:  # noqa: N802
                *lines, self.partial_line = (self.partial_line + data).split(b"\n")
                for line in lines:
                    demo_run.on_log_line(line.decode("utf-8", "replace").split(" ", 1)[-1])

            def errReceived(self, data: bytes) -> None:  # noqa: N802
                demo_run.print_status("proxy", data.decode("utf-8", "replace").strip())

            def processEnded(self, reason: object) -> None:  # noqa: N802
                succeeded = reason.check(error.ProcessDone) is not None
                demo_run.on_proxy_exit(0 if succeeded else reason.value.exitCode or 1)

        # The folder has no deploy/, so settings in the current directory do not apply.
        command = [sys.executable, "-O", "-u", "-m", "leadslip"]
        self.proxy = self.reactor.spawnProcess(
            Proxy(), sys.executable, command, env=env, path=str(self.folder)
        )
        self.timeout = self.reactor.callLater(START_TIMEOUT_S, self.stop, "the proxy did not start")

    def on_log_line(self, line: str) -> None:
        """Show a log line of the proxy; connect the caller once the line reports the listening address."""
        if line.startswith("serves "):
            self.print_status("proxy", line)
            self.timeout.cancel()
            self.timeout = None
            port = int(line.rpartition(":")[2])
            self.reactor.connectTCP("127.0.0.1", port, CallerFactory(self))
        elif not line.startswith("counts"):  # logged periodically
            self.print_status("proxy", line)

    def place_next_call(self) -> None:
        """Place one call and schedule the next, until all are placed."""
        if self.caller is None:
            return
        self.placed += 1
        self.caller.invite(self.placed, "officer-call" if self.placed % 4 == 0 else "resident-call")
        if self.placed < self.calls:
            self.reactor.callLater(CALL_INTERVAL_S, self.place_next_call)
        else:
            self.timeout = self.reactor.callLater(
                END_TIMEOUT_S + self.hold_s, self.stop, "some calls did not end in time"
            )

    def count(self, event: str) -> None:
        """Count an established, refused, failed or ended call; stop the demo when every call is finished."""
        self.counts[event] += 1
        finished = self.counts["refused"] + self.counts["failed"] + self.counts["ended"]
        if finished >= self.calls and self.timeout is not None:
            self.stop("")

    def stop(self, error: str) -> None:
        """Send SIGTERM to the proxy, which drains; `error` is empty after a normal run."""
        self.error = error
        if error:
            self.print_status("demo", error)
        if self.timeout is not None and self.timeout.active():
            self.timeout.cancel()
        self.timeout = None
        if self.proxy.pid:
            self.print_status("demo", "SIGTERM to the proxy")
            self.proxy.signalProcess("TERM")
        else:
            self.reactor.stop()

    def on_proxy_exit(self, exit_code: int) -> None:
        """Record the exit code of the proxy and stop the reactor."""
        self.exit_code = exit_code
        self.print_status("proxy", f"ended with exit code {exit_code}")
        if self.timeout is not None and self.timeout.active():
            self.timeout.cancel()
        self.reactor.stop()


def caller_class() -> type:
    """Return the caller's SIP protocol class; a function, so that other commands do not import Twisted."""
    from twisted.protocols.basic import LineReceiver

    class CallerProtocol(LineReceiver):
        """Places calls and reports their responses."""

        def connectionMade(self) -> None:  # noqa: N802
            self.head_lines: list[str] = []
            self.call_numbers: dict[str, int] = {}  # Call-ID -> number of the call in this demo
            self.demo_run.caller = self
            self.demo_run.place_next_call()

        def invite(self, number: int, call_class: str) -> None:
            """Send the INVITE of call `number`."""
            from leadslip.cli.toy import OFFER

            call_id = f"{number:016x}"
            self.call_numbers[call_id] = number
            self.demo_run.print_status("caller", f"call {number}: {call_class} to 8210{number:08d}")
            head = (
                f"INVITE sip:8210{number:08d}@net SIP/2.0\r\nVia: SIP/2.0/TCP caller\r\nCall-ID: {call_id}\r\n"
                f"CSeq: 1 INVITE\r\nPriority-Class: {call_class}\r\nExpires-Ms: 3000\r\n"
                f"P-Trunk-Info: dest:0;width:1;via:-1\r\nContent-Length: {len(OFFER)}\r\n\r\n"
            )
            self.transport.write(head.encode() + OFFER)

        def lineReceived(self, line: bytes) -> None:  # noqa: N802
            if line:
                self.head_lines.append(line.decode("utf-8", "replace"))
                return
            head_lines, self.head_lines = self.head_lines, []
            headers = dict(header.split(": ", 1) for header in head_lines[1:] if ": " in header)
            self.body_bytes_left = int(headers.get("Content-Length", 0))
            self.on_message(head_lines[0], headers)
            if self.body_bytes_left:
                self.setRawMode()

        def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
            rest, self.body_bytes_left = (
                data[self.body_bytes_left :],
                max(0, self.body_bytes_left - len(data)),
            )
            if not self.body_bytes_left:
                self.setLineMode(rest)

        def on_message(self, start_line: str, headers: dict[str, str]) -> None:
            """Report and count a final response or a BYE; messages of unknown calls are ignored."""
            number = self.call_numbers.get(headers.get("Call-ID", ""))
            if number is None:
                return
            if start_line.startswith("BYE "):
                self.demo_run.print_status("caller", f"call {number}: ended ({headers.get('Reason', '')})")
                self.demo_run.count("ended")
            elif " 200 " in start_line:
                self.demo_run.print_status("caller", f"call {number}: established")
                self.demo_run.count("stand")
            elif " 503 " in start_line or " 480 " in start_line:
                retry_after_ms = headers.get("P-Back-Off")
                self.demo_run.print_status(
                    "caller",
                    f"call {number}: refused"
                    + (f", retry after {retry_after_ms} ms" if retry_after_ms else ""),
                )
                self.demo_run.count("refused")
            else:
                self.demo_run.print_status("caller", f"call {number}: {start_line}")
                self.demo_run.count("failed")

    return CallerProtocol


def CallerFactory(demo_run: DemoRun) -> object:  # noqa: N802
    """Return the client factory of the demo's only caller connection."""
    from twisted.internet import protocol

    factory = protocol.ClientFactory.forProtocol(caller_class())
    factory.noisy = False
    factory.protocol.demo_run = demo_run
    return factory
