"""Places one call through the proxy of example/config.json and prints all messages received until the call ends."""

import secrets
import socket

BODY = b"c=IN IP4 127.0.0.1\r\nm=audio 31002 RTP/AVP 0\r\n"
INVITE = f"""INVITE sip:821012345678@net SIP/2.0
Via: SIP/2.0/TCP caller
Call-ID: {secrets.token_hex(8)}
CSeq: 1 INVITE
Priority-Class: resident-call
Expires-Ms: 3000
P-Trunk-Info: dest:0;width:1;via:-1
Content-Length: {len(BODY)}

""".replace("\n", "\r\n")

with socket.create_connection(("127.0.0.1", 5060), timeout=10) as connection:
    connection.sendall(INVITE.encode() + BODY)
    received = b""
    while b"BYE " not in received:
        received += connection.recv(4096)
    print(received.decode())
