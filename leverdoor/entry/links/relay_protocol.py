# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The handshake by which an entry asks a peer for a stream to a target.

The request is an HTTP CONNECT (RFC 9110, section 9.3.6) with the target's address.
After a reply with status 200, the connection carries bytes both ways. Owns no state.
"""

import re
from enum import IntEnum

import msgspec

__all__ = [
    "HEAD_END",
    "MAX_HEAD_BYTES",
    "RelayProtocolError",
    "RelayRequest",
    "RelayStatus",
    "parse_relay_reply",
    "parse_relay_request",
    "serialize_relay_reply",
    "serialize_relay_request",
]

HEAD_END = b"\r\n\r\n"
MAX_HEAD_BYTES = 512
"""Maximum length of a request or reply; addresses and headers take about 100 bytes."""
_REQUEST = re.compile(
    rb"CONNECT ([0-9.]{7,15}:[0-9]{1,5}) HTTP/1\.1\r\nHost: [^\r\n]*\r\n"
    rb"Priority: u=([0-9]{1,4})\r\n\r\n"
)
_REPLY = re.compile(rb"HTTP/1\.1 ([0-9]{3}) [^\r\n]*\r\n\r\n")


class RelayStatus(IntEnum):
    """The status of a reply."""

    CONNECTED = 200
    FORBIDDEN = 403
    """The sender is no entry, or the address is not that of a registered target."""
    REFUSED = 502
    """The target's VM refuses connections to this peer, which has links."""
    UNAVAILABLE = 503
    """The peer has no room, no link to the target, or is leaving."""
    SILENT = 504
    """The target does not answer this peer, which has links."""


class RelayRequest(msgspec.Struct, frozen=True):
    """Asks for a stream to a target."""

    address: str
    """Address of the target, as `ip:port`."""
    priority: int
    """Priority of the request to be sent; 0 is the most urgent."""


class RelayProtocolError(ValueError):
    """A request or reply is malformed."""


def serialize_relay_request(request: RelayRequest) -> bytes:
    """Serialize a request."""
    address = request.address
    return (
        f"CONNECT {address} HTTP/1.1\r\nHost: {address}\r\n"
        f"Priority: u={request.priority}\r\n\r\n"
    ).encode()


def parse_relay_request(head: bytes) -> RelayRequest:
    """Parse a request.

    Raises:
      RelayProtocolError: the request is malformed.
    """
    found = _REQUEST.fullmatch(head)
    if found is None:
        raise RelayProtocolError(f"malformed request: {head[:MAX_HEAD_BYTES]!r}")
    return RelayRequest(found[1].decode(), int(found[2]))


def serialize_relay_reply(status: RelayStatus) -> bytes:
    """Serialize a reply."""
    return f"HTTP/1.1 {status:d} {status.name}\r\n\r\n".encode()


def parse_relay_reply(head: bytes) -> RelayStatus:
    """Parse a reply.

    Raises:
      RelayProtocolError: the reply is malformed or its status unknown.
    """
    found = _REPLY.fullmatch(head)
    if found is None:
        raise RelayProtocolError(f"malformed reply: {head[:MAX_HEAD_BYTES]!r}")
    try:
        return RelayStatus(int(found[1]))
    except ValueError as e:
        raise RelayProtocolError(str(e)) from None
