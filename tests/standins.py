"""Launches the proxy as a process; test doubles of its peers on loopback: servers, notice board, resolvers, callers."""

from __future__ import annotations

import http.client
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path

from twisted.names import dns

ROOT = Path(__file__).parent.parent
HOST = (
    f"127.77.{os.getpid() >> 8 & 255}.{os.getpid() & 255}"  # differs between test processes that run at once
)
TEST_TIMEOUT_S = 20.0  # fails a test that hangs; no test depends on it otherwise


def wait_for(condition: Callable[[], bool]) -> None:
    """Polls a condition until it is true; fails after TEST_TIMEOUT_S."""
    deadline = time.monotonic() + TEST_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.01)


def settings(**changes: object) -> dict:
    """Returns the settings of a proxy, in the format of its configuration file; `changes` replace top-level keys."""
    service = {"gain": 1.0, "late_worth": 0.2, "aim_ms": 1500.0, "deadline_ms": 3000.0}
    services = changes.get(
        "services", [{"name": "plain"} | service, {"name": "urgent"} | service | {"gain": 3.0}]
    )
    defaults = {
        "balancers": 2,
        "index": 0,
        "services": services,
        "limits": {"most_tries": 4, "cancel": True, "retry_after": True, "max_retry_after_ms": 2000.0},
        "obligations": {
            "cold_from": 0.3,
            "warm_after_ms": 9000.0,
            "tip_multiple": 2.5,
            "tip_after_ms": 1500.0,
        },
        "extra": {"guard_ms": 100.0, "allowed_pools": [[0, 1] for _ in services]},
        "tick_ms": 5.0,
        "load_report": {"fields": ["idle", "circuits"]},
    }
    return defaults | changes


def notice(rev: int, *targets: tuple[str, str, str], snapshot: bool = False) -> dict:
    """Returns one event of the notice board, with (uid, address, state) for each server."""
    listed = [
        {"uid": uid, "endpoint": address, "az": "x", "pod_group": i, "state": state, "boot_ms": 0}
        for i, (uid, address, state) in enumerate(targets)
    ]
    return {"rev": rev, "pool": {"rev": rev, "all": snapshot, "targets": listed}}


class Listener:
    """Accepts TCP connections, and calls `serve` for each in a thread of its own."""

    def __init__(self, port: int = 0, with_datagrams: bool = False) -> None:
        self.socket = socket.create_server((HOST, port))
        if with_datagrams:
            # A UDP socket bound to all addresses may hold the port that TCP was given: try another port.
            self.datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            while True:
                try:
                    self.datagrams.bind(self.socket.getsockname())
                    break
                except OSError:
                    self.socket.close()
                    self.socket = socket.create_server((HOST, port))
        self.port = self.socket.getsockname()[1]
        self.address = f"{HOST}:{self.port}"
        self.connections: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections.append(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        try:
            self.serve(connection)
        except OSError:
            pass
        finally:
            connection.close()

    def serve(self, connection: socket.socket) -> None:
        """Handles one connection, which is closed when this returns."""
        raise NotImplementedError

    def stop_with_reset(self) -> None:
        """Stops listening, and resets every connection."""
        if self.socket.fileno() < 0:
            return
        self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()
        for connection in self.connections:
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RD)
            except OSError:
                continue
            connection.close()


class SetupServer(Listener):
    """A setup server that answers set-ups by its behaviour, which may be changed at any time.

    `answer`: establishes a call and releases it at once; `hold`: establishes it without releasing it; `full`: refuses
    it; `silent`: does not answer. `received` has the type, call id and parameters of each message.
    """

    def __init__(self, behaviour: str = "answer") -> None:
        self.behaviour = behaviour
        self.received: list[tuple[int, bytes, dict[int, bytes]]] = []
        super().__init__()

    def serve(self, connection: socket.socket) -> None:
        file = connection.makefile("rb")
        connection.sendall(encode_message(43, bytes(8), (51, self.report())))
        while head := file.read(2):
            body = file.read(struct.unpack("!H", head)[0])
            fields, offset = {}, 9
            while offset < len(body):
                code, size = struct.unpack_from("!BH", body, offset)
                fields[code] = body[offset + 3 : offset + 3 + size]
                offset += 3 + size
            self.received.append((body[0], body[1:9], fields))
            if body[0] == 1:
                self.answer(connection, body[1:9], fields)
            elif body[0] == 52 and self.behaviour != "silent":
                connection.sendall(encode_message(53, body[1:9], (61, b"\x01")))

    def report(self) -> bytes:
        """The load report that is sent when a connection opens."""
        return b"x0:50;x1:50;novelty:1"

    def answer(self, connection: socket.socket, call: bytes, fields: dict[int, bytes]) -> None:
        if self.behaviour in ("answer", "hold"):
            connection.sendall(
                encode_message(6, call) + encode_message(9, call, (63, b"v=" + call.hex().encode()))
            )
        if self.behaviour == "answer":
            connection.sendall(encode_message(12, call, (61, b"\x10"), (51, b"x0:49;x1:50")))
        if self.behaviour == "full":
            connection.sendall(encode_message(12, call, (61, b"\x22"), (47, b"overload")))

    def release_all(self) -> None:
        """Releases all calls on the newest connection."""
        for message_type, call, _ in list(self.received):
            if message_type == 1:
                self.connections[-1].sendall(encode_message(12, call, (61, b"\x10")))


def encode_message(message_type: int, call: bytes, *fields: tuple[int, bytes]) -> bytes:
    """Encodes one message of the setup servers' protocol, from its type, call id and parameters (code, value)."""
    body = (
        bytes((message_type,))
        + call
        + b"".join(struct.pack("!BH", code, len(value)) + value for code, value in fields)
    )
    return struct.pack("!H", len(body)) + body


class Board(Listener):
    """A notice board: sends each poll the events after its Last-Event-ID, and a comment every 50 ms.

    `events` has (id, event) pairs, to which tests may append; `polls` has the Last-Event-ID of each poll.
    """

    def __init__(self) -> None:
        self.events: list[tuple[int, dict]] = []
        self.polls: list[str] = []
        super().__init__()

    def serve(self, connection: socket.socket) -> None:
        file = connection.makefile("rb")
        last = 0
        while (line := file.readline()) not in (b"\r\n", b""):
            if line.lower().startswith(b"last-event-id:"):
                last = int(line.split(b":")[1])
        self.polls.append(str(last))
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
        while True:
            for id_, event in list(self.events):
                if id_ > last:
                    last = id_
                    connection.sendall(f"id: {id_}\ndata: {json.dumps(event)}\n\n".encode())
            connection.sendall(b": still here\n\n")
            time.sleep(0.05)


class Resolver(Listener):
    """A DNS server: each of `answers` builds the replies to one query, in order, and the last also to all further ones.

    An answer may be one reply, several, or none.
    """

    def __init__(self, *answers: Callable[[dns.Message], list[bytes]]) -> None:
        self.answers = list(answers)
        self.queries: list[dns.Message] = []
        super().__init__(with_datagrams=True)
        threading.Thread(target=self._datagrams, daemon=True).start()

    def _datagrams(self) -> None:
        while True:
            try:
                data, sender = self.datagrams.recvfrom(4096)
                for reply in self.replies(data, over_tcp=False):
                    self.datagrams.sendto(reply, sender)
            except OSError:
                return

    def serve(self, connection: socket.socket) -> None:
        file = connection.makefile("rb")
        while head := file.read(2):
            for reply in self.replies(file.read(struct.unpack("!H", head)[0]), over_tcp=True):
                connection.sendall(struct.pack("!H", len(reply)) + reply)

    def replies(self, data: bytes, over_tcp: bool) -> list[bytes]:
        query = dns.Message()
        query.fromStr(data)
        query.over_tcp = over_tcp
        self.queries.append(query)
        return self.answers[min(len(self.queries), len(self.answers)) - 1](query)

    def stop_with_reset(self) -> None:
        self.datagrams.close()
        super().stop_with_reset()


def reply(query: dns.Message, rcode: int = dns.OK, records: int = 1, **changes: object) -> bytes:
    """Builds a resolver's reply with the given number of NAPTR records."""
    name = changes.pop("owner", query.queries[0].name.name)
    queries = changes.pop("queries", query.queries)
    message = dns.Message(
        changes.pop("id", query.id), answer=1, recDes=1, recAv=1, rCode=rcode, maxSize=0, **changes
    )
    message.queries = queries
    for i in range(records):
        uri = b"!^.*$!sip:warden%d@example.org!" % i
        record = dns.Record_NAPTR(100, i, b"u", b"E2U+sip", uri, b"", ttl=60)
        message.answers.append(dns.RRHeader(name, dns.NAPTR, ttl=60, payload=record))
    return message.toStr()


def query_enum(address: tuple[str, int], name: bytes, id_: int = 7, over_tcp: bool = False) -> dns.Message:
    """Sends one query to the proxy's ENUM listener; returns the answer."""
    (message,) = query_enum_many(address, [(name, id_)], over_tcp)
    return message


def query(name: bytes, id_: int = 7, type_: int = dns.NAPTR) -> bytes:
    """Encodes a DNS query."""
    message = dns.Message(id_, recDes=1)
    message.queries = [dns.Query(name, type_)]
    return message.toStr()


def query_enum_many(
    address: tuple[str, int], queries: list, over_tcp: bool = False, quiet_s: float = 0.0
) -> list:
    """Sends several queries at once over one socket; returns all answers, and any more that arrive within quiet_s."""
    socket_type = socket.SOCK_STREAM if over_tcp else socket.SOCK_DGRAM
    answers = []
    with socket.socket(socket.AF_INET, socket_type) as connection:
        connection.settimeout(TEST_TIMEOUT_S)
        connection.connect(address)
        for name, id_ in queries:
            data = query(name, id_)
            connection.sendall(struct.pack("!H", len(data)) + data if over_tcp else data)
        file = connection.makefile("rb") if over_tcp else None
        while True:
            try:
                data = file.read(struct.unpack("!H", file.read(2))[0]) if file else connection.recv(4096)
            except TimeoutError:
                if len(answers) < len(queries):
                    raise
                return answers
            answers.append(dns.Message())
            answers[-1].fromStr(data)
            if len(answers) >= len(queries):
                if not quiet_s:
                    return answers
                connection.settimeout(quiet_s)


class Program:
    """The proxy as a child process, started as in deploy/balancer.toml except for the listening ports.

    `servers` is the server list of its configuration: uid -> address. `optimized`: Python runs with -O, as deployed.
    `enum` is the text of the ENUM part's file, `parts` those of other parts by name; `more` replaces top-level keys of
    the configuration. `log` has the lines written so far.
    """

    def __init__(
        self,
        folder: Path,
        servers: dict[str, str],
        optimized: bool = True,
        enum: str = "",
        parts: dict[str, str] | None = None,
        **more: object,
    ):
        self.board = Board()
        known = {
            "rev": 1,
            "notices": [
                notice(1, *((uid, address, "active") for uid, address in servers.items()), snapshot=True)
            ],
        }
        self.folder = folder
        self.configuration = {
            "name": "n0",
            "listen": f"{HOST}:0",
            "seed": "5eed",
            "board": self.board.address,
        }
        self.configuration |= {"known": known, "settings": settings(), "limits": {"sockets": 256}} | more
        self.configure()
        (folder / "enum.toml").write_text(enum or "enabled = false\n")
        environ = {"NODE_CONFIG": str(folder / "config.json"), "LEADSLIP_ENUM": str(folder / "enum.toml")}
        for name, text in (parts or {}).items():
            (folder / f"{name}.toml").write_text(text)
            environ[f"LEADSLIP_{name.upper()}"] = str(folder / f"{name}.toml")
        flags = ["-O"] if optimized else []
        self.process = subprocess.Popen(
            [sys.executable, "-u", *flags, "-m", "leadslip"],
            cwd=ROOT,
            env=os.environ | environ,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        self.log: list[str] = []
        self.listen = self.enum_address = self.ops = ("", 0)
        for line in self.process.stdout:
            self.log.append(line)
            words = line.split()
            if " ops.serves " in line:
                self.ops = (HOST, int(words[-1].rpartition(":")[2]))
            if " enum.serves " in line:
                self.enum_address = (HOST, int(words[-1].rpartition(":")[2]))
            if " serves " in line:
                self.listen = (HOST, int(words[-1].rpartition(":")[2]))
                break
        self.reader = threading.Thread(target=self._read, daemon=True)
        self.reader.start()

    def _read(self) -> None:
        self.log.extend(self.process.stdout)

    def configure(self, **changes: object) -> None:
        """Writes the configuration file with changes, which aren't kept; the process reads it on start and SIGHUP."""
        (self.folder / "new.json").write_text(json.dumps(self.configuration | changes))
        (self.folder / "new.json").replace(self.folder / "config.json")

    def reload(self, **changes: object) -> str:
        """Sends SIGHUP with a changed configuration; returns the line logged for it."""
        self.configure(**changes)
        before = len(self.log)
        self.process.send_signal(signal.SIGHUP)
        wait_for(lambda: any(" reload." in line for line in self.log[before:]))
        return next(line for line in self.log[before:] if " reload." in line)

    def counts(self) -> dict[str, int]:
        """Returns the counters last logged, which are final once the process has exited."""
        line = [line for line in self.log if " counts" in line][-1]
        return {
            name: int(count) for name, count in (part.split("=") for part in line.split(" counts")[1].split())
        }

    def http_request(self, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
        """Sends one HTTP request to the operators' address; returns status and body."""
        connection = http.client.HTTPConnection(*self.ops, timeout=TEST_TIMEOUT_S)
        try:
            connection.request(method, path, body=body)
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()

    def stop(self) -> int:
        """Sends SIGTERM and waits for the exit, if the process still runs; returns the exit code."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
        try:
            code = self.process.wait(TEST_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            code = self.process.wait()
        self.reader.join(TEST_TIMEOUT_S)
        return code


class Caller:
    """A caller with one SIP connection to the proxy."""

    def __init__(self, program: Program) -> None:
        self.socket = socket.create_connection(program.listen, timeout=TEST_TIMEOUT_S)
        self.file = self.socket.makefile("rb")

    def send(self, method: str, id_: str, body: bytes = b"", **headers: object) -> None:
        more = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
        cseq = "INVITE" if method == "ACK" else method
        self.socket.sendall(
            f"{method} sip:0123@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {id_}\r\nCSeq: 1 {cseq}\r\n"
            f"{more}Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )

    def invite(self, id_: str, call_class: str = "plain", expires: int = 3000, dest: int = 0) -> None:
        info = f"dest:{dest};width:1;via:-1"
        self.send("INVITE", id_, b"c=offer", Priority_Class=call_class, Expires_Ms=expires, P_Trunk_Info=info)

    def receive(self) -> tuple[str, dict[str, str], bytes]:
        """Reads the next message; returns start line, headers and body, and an empty start line at the end."""
        start = self.file.readline().decode().strip()
        headers = {}
        while line := self.file.readline().decode().strip():
            name, _, value = line.partition(": ")
            headers[name] = value
        return start, headers, self.file.read(int(headers.get("Content-Length", 0)))


class Stopped:
    """Context manager that stops a process with SIGSTOP: data sent to it meanwhile stays unread in its sockets."""

    def __init__(self, program):
        self.pid = program.process.pid

    def __enter__(self):
        os.kill(self.pid, signal.SIGSTOP)
        wait_for(lambda: Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()[0] == "T")

    def __exit__(self, *_):
        os.kill(self.pid, signal.SIGCONT)
