"""A listed server without a connection is connected to again, also if this process has no call there."""

import pytest
from twisted.internet import error
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from tests.standins import encode_message
from tests.test_links import connect_server, open_connection

TELL_LIMIT_MS = 8000.0  # within which the end of a call must be told if no release could be sent
CALL = b"elsewhen"  # set up by an earlier process of the proxy


def fail_with(reason):
    return lambda server: server.connection_factory.clientConnectionFailed(None, Failure(reason))


def reset_when_new(server):
    """Connections come up and are reset before their first message, as often as the proxy tries at once."""
    while server.connecting:
        connection = server.connection_factory.buildProtocol(None)
        connection.makeConnection(SilentTransport())
        connection.connectionLost(Failure(error.ConnectionLost()))


class SilentTransport(StringTransport):
    """A transport on which nothing is sent back."""

    def setTcpNoDelay(self, on):  # noqa: N802
        """Ignored."""


FAILURES = [
    pytest.param(fail_with(error.TimeoutError()), id="late"),
    pytest.param(fail_with(error.ConnectionRefusedError()), id="refused"),
    pytest.param(fail_with(error.ConnectBindError()), id="no-socket"),
    pytest.param(reset_when_new, id="reset"),
]


def disconnect():
    """Returns a World, its server and the list of connects, once the only connection is lost without any call."""
    world, connection = connect_server()
    server = connection.server
    connection.connectionLost(Failure(error.ConnectionLost()))
    assert server.connecting and not server.active
    return world, server, server.upstream.reactor


def wait_for_connect(world, server, limit_ms):
    """Advances the clock until a connect begins; returns how long that took, or None after the limit."""
    for waited_ms in range(int(limit_ms)):
        if server.connecting:
            return waited_ms
        world.wait(1)
    return None


# Guards against review/9: after a restart one late connection was never tried again, and the ends of the calls that
# the former process had set up at that server were never told.
@pytest.mark.parametrize("fail", FAILURES)
def test_the_end_of_a_former_process_call_is_told_after_connects_have_failed(fail):
    world, server, _ = disconnect()
    told = []
    server.upstream.on_unknown_end = lambda call, cut: told.append((call, cut))
    fail(server)
    assert wait_for_connect(world, server, TELL_LIMIT_MS) is not None, "no second connect"
    open_connection(server).dataReceived(encode_message(12, CALL, (61, b"\x10")))
    assert told == [(CALL, False)]


# Guards against connects in quick succession, by every proxy of the fleet, to a server that stays unreachable.
@pytest.mark.parametrize("fail", FAILURES)
def test_connects_to_an_unreachable_server_become_rarer_but_never_end(fail):
    world, server, connects = disconnect()
    for _ in range(12):
        fail(server)
        assert wait_for_connect(world, server, TELL_LIMIT_MS) is not None
    began_ms, before = world.now_ms(), len(connects)
    for _ in range(12):
        fail(server)
        assert wait_for_connect(world, server, TELL_LIMIT_MS) >= 2500.0
    per_connect = 3 if fail is reset_when_new else 1
    assert len(connects) - before == 12 * per_connect and world.now_ms() - began_ms < 12 * TELL_LIMIT_MS
