"""Memory and other callers' answers while clients send at full speed, do not read, or send half of large messages."""

import contextlib
import multiprocessing
import socket
import threading
import time
from pathlib import Path

import pytest

from tests.standins import HOST, Caller, Program, SetupServer, query

PLAY_S = 2.0
MAX_GROWTH_MB = 8.0
ANSWER_LIMIT_S = 0.5  # a third of the time within which calls are wanted to stand


@pytest.fixture
def program(tmp_path):
    server = SetupServer()
    running = Program(tmp_path, {"s0": server.address}, limits={"sockets": 1024})
    yield running
    assert running.stop() == 0 and "Traceback" not in "".join(running.log), running.log


def peak_mb(program):
    """Returns the largest resident memory that the process has had so far."""
    for line in Path(f"/proc/{program.process.pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024.0
    raise AssertionError("the system does not tell the peak of memory")


def send_without_reading(address, message, until):
    """Sends a message again and again at full speed, and reads nothing."""
    with contextlib.suppress(OSError), socket.create_connection(address) as connection:
        connection.setblocking(False)
        while time.monotonic() < until:
            try:
                connection.send(message)
            except BlockingIOError:
                time.sleep(0.001)


def options(via):
    return (
        b"OPTIONS sip:ping@net SIP/2.0\r\nVia: %s\r\nCall-ID: 9b1f03aa5c7e2d41\r\nCSeq: 1 OPTIONS\r\n"
        b"Content-Length: 0\r\n\r\n" % via
    )


# Guards against memory that grows without end (pictures a and b): requests were read on while their answers were not.
def test_answers_that_a_client_does_not_read_do_not_fill_the_memory(program):
    before = peak_mb(program)
    until = time.monotonic() + PLAY_S
    floods = [
        threading.Thread(target=send_without_reading, args=(program.listen, message, until))
        for message in (options(b"v" * 8000), options(b"peer") * 50)
    ]
    for flood in floods:
        flood.start()
    for flood in floods:
        flood.join()
    assert peak_mb(program) - before < MAX_GROWTH_MB


def send_datagrams(address, datagrams, until):
    """Sends datagrams again and again at full speed."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.connect(address)
        while time.monotonic() < until:
            for datagram in datagrams:
                with contextlib.suppress(OSError):
                    sender.send(datagram)


# Guards against answers that come late or never (picture b, the ENUM front): up to 256 KiB of queries, some 6,000, were
# worked on in one turn of the reactor.
def test_a_flood_of_enum_queries_does_not_delay_calls(tmp_path):
    server = SetupServer()
    enum = f'enabled = true\nlisten = "{HOST}:0"\nresolvers = ["{HOST}:9"]\n'
    program = Program(tmp_path, {"s0": server.address}, enum=enum)
    queries = [query(b"%d.e164.org" % number, number) for number in range(200)]
    flood = multiprocessing.get_context("fork").Process(
        target=send_datagrams, args=(program.enum_address, queries, time.monotonic() + PLAY_S)
    )
    flood.start()
    time.sleep(PLAY_S / 10)
    caller, answer_s = Caller(program), []
    while flood.is_alive() and len(answer_s) < 20:
        sent_at = time.monotonic()
        caller.invite(f"{len(answer_s):016x}")
        while not caller.receive()[0].startswith("SIP/2.0 200 "):
            pass
        answer_s.append(time.monotonic() - sent_at)
    flood.join()
    assert program.stop() == 0
    assert max(answer_s) < ANSWER_LIMIT_S
