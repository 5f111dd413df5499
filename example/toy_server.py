"""A toy setup server and notice board: every call stands at once and ends after a second.

Start it, then the proxy (NODE_CONFIG=example/config.json), then example/call.py.
"""

import struct

from twisted.internet import protocol, reactor
from twisted.protocols.basic import Int16StringReceiver, LineReceiver


def message(kind: int, call: bytes, *told: tuple[int, bytes]) -> bytes:
    """One message of the binary wire, without its length."""
    return bytes((kind,)) + call + b"".join(struct.pack("!BH", c, len(v)) + v for c, v in told)


class ToyServer(Int16StringReceiver):
    """Answers each set-up with a description, and releases the call a second later."""

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        kind, call = string[0], string[1:9]
        print(f"message {kind} for call {call.hex()}")
        if kind == 1:
            self.sendString(message(9, call, (63, b"c=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n")))
            release = message(12, call, (61, b"\x10"), (51, b"x0:9;x1:10"))
            reactor.callLater(1.0, self.sendString, release)


class ToyBoard(LineReceiver):
    """Has no news, and says so every second."""

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        if not line:
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            self.comment()

    def comment(self) -> None:
        if self.connected:
            self.transport.write(b": no news\n\n")
            reactor.callLater(1.0, self.comment)


reactor.listenTCP(3868, protocol.Factory.forProtocol(ToyServer), interface="127.0.0.1")
reactor.listenTCP(4222, protocol.Factory.forProtocol(ToyBoard), interface="127.0.0.1")
reactor.run()
