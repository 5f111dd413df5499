"""Messages of the setup servers' binary protocol: their types, parameters and encoding. Does no I/O."""

from __future__ import annotations

import struct

from leadslip import interface
from leadslip.net.connections import MessageError

# Message types. STATE carries a load report; PROGRESS precedes the answer to a set-up.
SET_UP, PROGRESS, ANSWER, RELEASE, RELEASE_ACK, STATE, TEST, TEST_RESULT = 1, 6, 9, 12, 16, 43, 52, 53
# Parameter codes. WAIT: time left for the answer, in ms; NOTE: why a set-up was refused; REPORT: a load report.
CLASS, WAIT, NUMBER, NOTE, REPORT, CAUSE, DESCRIPTION = 33, 35, 41, 47, 51, 61, 63
OUTCOME_OF_CAUSE = {  # Q.850 cause of a release that arrives before the answer -> outcome of the set-up
    34: interface.Outcome.FULL,
    17: interface.Outcome.ERROR,
    47: interface.Outcome.ERROR,
    102: interface.Outcome.NOT_SENT,
    41: interface.Outcome.CUT,
}
IGNORED_TYPES = (PROGRESS, RELEASE_ACK, TEST_RESULT)  # valid, but need no action
CAUSE_OF_NOTE = {  # the server's reason for refusing a set-up, as on the wire -> as given to the Controller
    b"no_circuit": interface.Cause.NO_LINE,
    b"turned_back": interface.Cause.BOUNCED,
    b"overload": interface.Cause.PROCESSOR_FULL,
    b"lines_busy": interface.Cause.NUMBER_BUSY,
    b"far_overload": interface.Cause.BOUNCED,
}
HEADER = struct.Struct("!HB8s")  # length, type, call
NO_CALL = bytes(8)  # the call id in messages that are not about a call
PARAMETER = struct.Struct("!BH")  # code, length
CAUSE_NORMAL, CAUSE_TEMPORARY_FAILURE = 16, 41


def parse_parameters(view: memoryview, offset: int) -> dict[int, memoryview]:
    """Returns the parameters of a message as slices, by code; of parameters with the same code, the first counts."""
    found: dict[int, memoryview] = {}
    size = len(view)
    while offset < size:
        if size - offset < 3:
            raise MessageError(f"parameter header truncated: got {size - offset} of 3 bytes")
        code, length = PARAMETER.unpack_from(view, offset)
        offset += 3 + length
        if offset > size:
            raise MessageError(f"parameter {code}: length {length} exceeds the message")
        found.setdefault(code, view[offset - length : offset])
    return found


def encode_message(message_type: int, call: bytes, *fields: tuple[int, bytes]) -> bytes:
    """Encodes one message, including its length prefix."""
    body = b"".join(part for code, value in fields for part in (PARAMETER.pack(code, len(value)), value))
    return HEADER.pack(9 + len(body), message_type, call) + body
