# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Binary encoding of the quarantine notices that entries send each other.

A notice has 19 bytes. Times are sent as ages, since the clocks of entries differ. Pure;
owns no state.
"""

import struct
from collections.abc import Iterable
from enum import IntEnum

import msgspec

__all__ = [
    "HELD_SPAN_UNIT_S",
    "Notice",
    "NoticeKind",
    "parse_notices",
    "serialize_notices",
]

ROW = struct.Struct("<BQIIH")
"""Kind, fingerprint, target, age and span of a notice, in this order."""
MAX_AGE_MS = (1 << 32) - 1
"""Greatest age that a notice can hold, in ms."""
MAX_SPAN = (1 << 16) - 1
"""Greatest span in a row, in the unit of the kind of notice."""


HELD_SPAN_UNIT_S = 0.01
"""Unit of the span of a `HELD` notice, in seconds.

With this unit, two bytes reach 655 s, beyond `crashes.CRASH_RETENTION_S`.
"""


class NoticeKind(IntEnum):
    """What a notice reports about a request.

    The values are sent to other entries and rank notices: a greater one is sent first.
    """

    CRASH = 0
    """A target crashed while it ran the request."""
    HELD = 1
    """The request is quarantined."""
    RELEASED = 2
    """A target completed the request, so all earlier evidence is discarded."""


class Notice(msgspec.Struct, frozen=True):
    """A crash, quarantine or release of one request, as sent to other entries."""

    kind: NoticeKind
    fingerprint: int
    age_ms: int
    """Time since the crash, the start of the quarantine, or the completed run."""
    target: int = 0
    """For `CRASH`: hash of the target's name. For `HELD`: the number of trials left."""
    span: int = 0
    """For `CRASH`: the length of the run in ms. For `HELD`: the time from the first
    crash that counts to the start of the quarantine, in units of `HELD_SPAN_UNIT_S`."""


def serialize_notices(notices: Iterable[Notice]) -> bytes:
    """Serialize notices as consecutive rows."""
    return b"".join(
        ROW.pack(
            notice.kind,
            notice.fingerprint,
            notice.target,
            min(max(notice.age_ms, 0), MAX_AGE_MS),
            min(max(notice.span, 0), MAX_SPAN),
        )
        for notice in notices
    )


def parse_notices(data: bytes) -> list[Notice]:
    """Parse notices; a truncated one or one of an unknown kind is left out."""
    complete_size = len(data) - len(data) % ROW.size
    return [
        Notice(NoticeKind(kind), fingerprint, age_ms, target, span)
        for kind, fingerprint, target, age_ms, span in ROW.iter_unpack(
            data[:complete_size]
        )
        if kind in NoticeKind.__members__.values()
    ]
