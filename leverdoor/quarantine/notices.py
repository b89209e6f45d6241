# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What entries tell each other of requests that end targets, as bytes; pure.

A notice is 19 bytes. Times are sent as ages, since clocks differ.
"""

import struct
from collections.abc import Iterable
from enum import IntEnum

import msgspec

__all__ = ["HELD_SPAN_S", "Notice", "NoticeKind", "parse_notices", "serialize_notices"]

ROW = struct.Struct("<BQIIH")
"""Kind, fingerprint, target, age and span of a notice."""
MOST_MS = (1 << 32) - 1
"""Greatest age that a notice holds."""
MOST_SPAN = (1 << 16) - 1
"""Greatest span that a notice holds."""


HELD_SPAN_S = 0.01
"""Unit of the span of a notice that a request is held back, in seconds.

Two bytes then reach 655 s, beyond `crashes.MEMORY_S`.
"""


class NoticeKind(IntEnum):
    """What a notice says of a request."""

    CRASH = 0
    """A target ended while it ran the request."""
    HELD = 1
    """It is held back."""
    RELEASED = 2
    """A target ran it to an end, so nothing before counts against it."""


class Notice(msgspec.Struct, frozen=True):
    """One notice."""

    kind: NoticeKind
    fingerprint: int
    age_ms: int
    """Since the target ended, the request was held back, or its run ended well."""
    target: int = 0
    """Of `CRASH`: hash of the target's name. Of `HELD`: how often it may be tried."""
    span: int = 0
    """Of `CRASH`: the length of the run in ms. Of `HELD`: the time from the first end
    that counts to when it was held back, in units of `HELD_SPAN_S`."""


def serialize_notices(notices: Iterable[Notice]) -> bytes:
    """Serialize notices one after the other."""
    return b"".join(
        ROW.pack(
            n.kind,
            n.fingerprint,
            n.target,
            min(max(n.age_ms, 0), MOST_MS),
            min(max(n.span, 0), MOST_SPAN),
        )
        for n in notices
    )


def parse_notices(data: bytes) -> list[Notice]:
    """Parse notices; one cut short, or of an unknown kind, is left out."""
    whole = len(data) - len(data) % ROW.size
    return [
        Notice(NoticeKind(kind), fingerprint, age_ms, target, span)
        for kind, fingerprint, target, age_ms, span in ROW.iter_unpack(data[:whole])
        if kind in NoticeKind.__members__.values()
    ]
