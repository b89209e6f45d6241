# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Encoding of a failure domain's entries and of their heartbeat ages in digests.

Rows (id, incarnation and state) seldom change, while ages change in each round. Rows
are therefore sent when they changed and in rotation. Ages take one byte each and refer
to the rows by a hash.

Owns the recently received rows, and for each failure domain the time when its rows last
changed, both lost with the process. Relies on `Membership` for the records, which it
reads and updates.
"""

from collections import OrderedDict
from collections.abc import Callable

from leverdoor.entry.exchange.encoding import (
    AGE_STEP_S,
    MAX_AGE_STEPS,
    hash_rows,
    parse_rows,
    serialize_ages,
    serialize_rows,
)
from leverdoor.entry.exchange.messages import DomainView
from leverdoor.entry.membership.member import DigestRow, EntryState, member_id
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.peer_record import HeartbeatObservation

__all__ = ["DomainViews"]

ROWS_RESEND_S = 0.7
"""Time for which changed rows are sent in each digest, in seconds.

Three rounds, since datagrams may be lost. If shorter, a receiver that misses the rows
cannot use the ages until the rotation selects the failure domain; if longer, it costs
13 bytes for each entry and round.
"""
MAX_ROW_LISTS = 512
"""Maximum number of retained lists of rows.

Several lists for each of the 56 failure domains for which leverdoor is designed. With
fewer lists than failure domains, some ages are discarded.
"""


class DomainViews:
    """Builds and evaluates the views of failure domains in digests."""

    def __init__(self, membership: Membership) -> None:
        """Create the views of a membership."""
        self._membership = membership
        self._own = membership.own
        self._own_id = member_id(self._own.name)
        self._rows: OrderedDict[int, list[DigestRow]] = OrderedDict()
        """Received rows by their hash."""
        self._row_changes: dict[str, tuple[int, float]] = {}
        """By failure domain: hash of the rows sent, and time of their last change."""

    def apply(self, view: DomainView, now: float) -> None:
        """Update the records of a failure domain's entries.

        Ages of `MAX_AGE_STEPS` and ages that refer to unknown rows are ignored.
        """
        if view.rows:
            self._rows[hash_rows(view.rows)] = parse_rows(view.rows)
        rows = self._rows.get(view.hash)
        if rows is None or len(rows) != len(view.ages):
            return
        self._rows.move_to_end(view.hash)
        while len(self._rows) > MAX_ROW_LISTS:
            self._rows.popitem(last=False)
        for row, steps in zip(rows, view.ages, strict=True):
            if steps < MAX_AGE_STEPS:
                at = now - steps * AGE_STEP_S
                self._membership.record_heartbeat(HeartbeatObservation(row, at), now)

    def own_heartbeat_seq(self, views: list[DomainView]) -> int:
        """Return the number, modulo 256, of the newest own heartbeat known to the
        sender.

        Returns: -1 if the views contain none.
        """
        for view in views:
            if view.seqs and view.domain == self._own.domain:
                rows = self._rows.get(view.hash, [])
                ids = [row.id for row in rows]
                if len(ids) == len(view.seqs) and self._own_id in ids:
                    return view.seqs[ids.index(self._own_id)]
        return -1

    def build(
        self,
        domain: str,
        state: EntryState,
        newest_seq: Callable[[str], int],
        round_number: int,
        now: float,
    ) -> DomainView:
        """Return the view of a failure domain.

        Args:
          domain: name of the failure domain.
          state: state of this entry.
          newest_seq: returns the number of an entry's newest heartbeat, given its name.
          round_number: number of the round, which selects the failure domain whose
            unchanged rows are sent.
          now: monotonic time in seconds.
        """
        last_seen = self._membership.newest_heartbeats(domain)
        seqs = b""
        if domain == self._own.domain:
            own = DigestRow(self._own_id, self._own.incarnation, state)
            last_seen.append(HeartbeatObservation(own, now))
            names = [self._membership.name(s.row.id) for s in last_seen]
            # `Membership` has no name for the id of this entry.
            seqs = bytes(newest_seq(name or self._own.name) % 256 for name in names)
        rows = serialize_rows(s.row for s in last_seen)
        row_hash = hash_rows(rows)
        ages = serialize_ages(now - s.at for s in last_seen)
        sent_rows = (
            rows if self._must_send_rows(domain, row_hash, round_number, now) else b""
        )
        return DomainView(domain, row_hash, sent_rows, ages, seqs)

    def _must_send_rows(
        self, domain: str, row_hash: int, round_number: int, now: float
    ) -> bool:
        """Record a change of the rows; return whether to send them.

        Rows are sent if they changed recently or if the rotation selects the failure
        domain.
        """
        last_change = self._row_changes.get(domain)
        if last_change is None or last_change[0] != row_hash:
            last_change = self._row_changes[domain] = (row_hash, now)
        if now - last_change[1] <= ROWS_RESEND_S:
            return True
        domains = self._membership.all_domains()
        return domains[round_number % len(domains)] == domain
