# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Selects the quarantine notices that an entry sends to the others in each round.

A new notice is sent for some rounds, since datagrams are lost. An entry that receives a
notice for the first time forwards it. Quarantined requests are announced again in turn,
so that entries that were cut off learn of them.

Owns the pending notices and the round number, which are lost with the process. Relies
on the caller for the time.
"""

from collections import OrderedDict
from collections.abc import Sequence

import msgspec

from leverdoor.quarantine.crashes import CrashTable
from leverdoor.quarantine.notices import Notice, NoticeKind

__all__ = ["MAX_SENT", "NEVER", "Outbox", "PendingNotice"]

NEVER = float("-inf")
"""A time before all others; stands for an event that never happened."""
RESEND_S = 0.7
"""How long a new notice is resent, in seconds: three rounds.

A longer time costs more bytes. With a shorter one an entry misses a notice if two
datagrams in a row are lost.
"""
MAX_SENT = 48
"""Greatest number of notices in one message: 912 bytes, which fit one packet.

Longer datagrams are lost more often. With fewer notices, an event that crashes many
targets delays the notices of a single request for longer.
"""
MAX_PENDING = 1_024
"""Greatest number of pending notices: 100 crashed targets with ten runs each."""
REFRESH_ROUNDS = 5
"""Number of rounds after which holds are announced again: about a second."""
HOLDS_PER_REFRESH = 8
"""Greatest number of holds that are announced again in one round: 152 bytes."""


class PendingNotice(msgspec.Struct, frozen=True):
    """A notice before it is sent: it has the time of the event in place of its age."""

    kind: NoticeKind
    fingerprint: int
    at: float
    """When the event happened, monotonic time in seconds."""
    target: int = 0
    """As in `Notice`."""
    span: int = 0
    """As in `Notice`."""

    def notice(self, now: float) -> Notice:
        """Return the notice to send at a time."""
        age_ms = round((now - self.at) * 1000)
        return Notice(self.kind, self.fingerprint, age_ms, self.target, self.span)


class Outbox:
    """The notices that an entry sends."""

    def __init__(self) -> None:
        """Create an empty outbox."""
        self._pending: OrderedDict[
            tuple[int, int, int], tuple[float, PendingNotice]
        ] = OrderedDict()
        """By kind, fingerprint and crashed target: the notice and when it was added."""
        self._round = 0

    def add(self, notice: PendingNotice, now: float) -> None:
        """Add a notice, unless the same or a newer one is being sent."""
        target = notice.target if notice.kind is NoticeKind.CRASH else 0
        key = (notice.kind, notice.fingerprint, target)
        added_at, previous = self._pending.get(key, (NEVER, notice))
        if now - added_at <= RESEND_S and previous.at >= notice.at:
            return
        self._pending[key] = (now, notice)
        self._pending.move_to_end(key)
        if len(self._pending) > MAX_PENDING:
            self._pending.popitem(last=False)

    def next_notices(
        self, hold_notices: Sequence[PendingNotice], crash_table: CrashTable, now: float
    ) -> list[Notice]:
        """Begin a round, and return the notices to send in it.

        If there are more than `MAX_SENT`, releases are sent first, then holds, then
        crash notices by descending number of crashes of their request.

        Args:
          held: the notices of all quarantined requests.
          crash_table: the known crashes.
          now: monotonic time in seconds.
        """
        self._round += 1
        while self._pending:
            key, (added_at, _) = next(iter(self._pending.items()))
            if now - added_at <= RESEND_S:
                break
            del self._pending[key]
        recent = [notice for _, notice in self._pending.values()]
        if len(recent) > MAX_SENT:
            recent.sort(key=lambda n: _rank(n, crash_table), reverse=True)
        if self._round % REFRESH_ROUNDS == 0:
            recent = [*self._next_holds(hold_notices), *recent]
        return [notice.notice(now) for notice in recent[:MAX_SENT]]

    def _next_holds(self, hold_notices: Sequence[PendingNotice]) -> list[PendingNotice]:
        if not hold_notices:
            return []
        start = self._round // REFRESH_ROUNDS * HOLDS_PER_REFRESH % len(hold_notices)
        return [*hold_notices[start:], *hold_notices[:start]][:HOLDS_PER_REFRESH]


def _rank(notice: PendingNotice, crash_table: CrashTable) -> tuple[int, int]:
    """Return the rank of a notice: its kind, then the crashes of its request.

    Releases rank highest: a harmless request is refused until its release arrives.
    """
    return notice.kind, len(crash_table.crashes_of(notice.fingerprint))
