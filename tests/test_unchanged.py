"""What is passed on of a client's message is passed on unchanged, or the message is rejected."""

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from leadslip.net.connections import MessageError
from leadslip.net.enum import EnumServer
from tests.standins import query
from tests.test_links import INVITE, connect_caller, deterministic


# Guards against review/10: noise as the number called reached a setup server as another, readable number.
@deterministic
@example(b"\x90\xd4\xac\x9b\xca\x98\xb5\x82\xa4\xab\xae\xde")
@example(b"7f3a\x009c21")
@given(st.binary(max_size=20))
def test_the_number_called_is_passed_on_as_sent_or_the_message_is_rejected(number):
    world, connection = connect_caller()
    connection.dataReceived(INVITE.replace(b"sip:0123@", b"sip:%s@" % number))
    called = [attempt.request.number_called.encode() for attempt in world.sent]
    if connection.transport.disconnecting:
        assert not called and world.metrics.counts["clients.malformed"] == 1
    else:
        assert called in ([number], []), "sent unchanged, or not understood as a whole message yet"


# Guards against review/10 in the class, the other text of a set-up that was decoded with replacement.
def test_a_class_that_is_not_utf_8_is_malformed():
    world, connection = connect_caller()
    connection.dataReceived(INVITE.replace(b"plain", b"plain\xff"))
    assert connection.transport.disconnecting and world.metrics.counts["clients.malformed"] == 1


# Guards against review/10 on the ENUM front: a label with a dot was passed on as two labels, that is, as another name.
def test_an_enum_name_with_a_dot_inside_a_label_is_rejected():
    world, _ = connect_caller()
    downstream = EnumServer(None, world.metrics, world.deadlines)
    sound = query(b"2-1.e164.arpa")
    assert sound.count(b"\x032-1") == 1
    with pytest.raises(MessageError, match="question"):
        downstream.handle_query(sound.replace(b"\x032-1", b"\x032.1"), lambda reply: None, None, None)
