# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Views of failure domains in digests: which entries there are, and how old their news.

Rows (incarnation and state) change seldom, ages in each round. So rows are sent when
they changed and in turn, and ages, a byte each, refer to rows by their hash.

Owns the rows received lately and since when the own rows are unchanged, both lost with
the process. Relies on `Membership` for the records, which it reads and updates.
"""

from collections import OrderedDict
from collections.abc import Callable

from leverdoor.entry.exchange.encoding import (
    AGE_STEP_S,
    OLDEST_STEPS,
    parse_rows,
    rows_hash,
    serialize_ages,
    serialize_rows,
)
from leverdoor.entry.exchange.messages import DomainView
from leverdoor.entry.membership.member import DigestRow, EntryState, member_id
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.peer_record import HeartbeatObservation

__all__ = ["Views"]

ROWS_RESENT_S = 0.7
"""How long changed rows are sent again in digests, in seconds.

Three rounds, since some may be lost. Shorter, a receiver that misses them cannot use
the ages until the domain's turn; longer costs 13 bytes an entry a round.
"""
KEPT_ROWS = 512
"""Rows kept by hash.

Some versions for each of the 56 failure domains that leverdoor is built for. Fewer than
there are failure domains, and ages of some are dropped.
"""


class Views:
    """Makes and takes the views of failure domains that digests carry."""

    def __init__(self, membership: Membership) -> None:
        """Create it around what is known of the entries."""
        self._membership = membership
        self._own = membership.own
        self._own_id = member_id(self._own.name)
        self._rows: OrderedDict[int, list[DigestRow]] = OrderedDict()
        """Rows received, by their hash."""
        self._changes: dict[str, tuple[int, float]] = {}
        """By failure domain, the hash of its rows here and since when it holds."""

    def take(self, view: DomainView, now: float) -> None:
        """Update the records of a failure domain's entries.

        Ages whose rows are not known, or that say `OLDEST_STEPS`, are left out.
        """
        if view.rows:
            self._rows[rows_hash(view.rows)] = parse_rows(view.rows)
        rows = self._rows.get(view.hash)
        if rows is None or len(rows) != len(view.ages):
            return
        self._rows.move_to_end(view.hash)
        while len(self._rows) > KEPT_ROWS:
            self._rows.popitem(last=False)
        for row, steps in zip(rows, view.ages, strict=True):
            if steps < OLDEST_STEPS:
                at = now - steps * AGE_STEP_S
                self._membership.record_heartbeat(HeartbeatObservation(row, at), now)

    def own_seq(self, views: list[DomainView]) -> int:
        """Return the number of the own heartbeat that views rest on, modulo 256.

        Returns: -1 if they do not have it.
        """
        for view in views:
            if view.seqs and view.domain == self._own.domain:
                rows = self._rows.get(view.hash, [])
                ids = [row.id for row in rows]
                if len(ids) == len(view.seqs) and self._own_id in ids:
                    return view.seqs[ids.index(self._own_id)]
        return -1

    def make(
        self,
        domain: str,
        state: EntryState,
        seq: Callable[[str], int],
        turn: int,
        now: float,
    ) -> DomainView:
        """Return the view of a failure domain.

        Args:
          domain: which one.
          state: of this entry.
          seq: returns the number of an entry's newest heartbeat, by its name.
          turn: the round, in which one domain's rows are sent unchanged.
          now: monotonic time in seconds.
        """
        last_seen = self._membership.newest_heartbeats(domain)
        seqs = b""
        if domain == self._own.domain:
            own = DigestRow(self._own_id, self._own.incarnation, state)
            last_seen.append(HeartbeatObservation(own, now))
            names = [self._membership.name(s.row.id) for s in last_seen]
            seqs = bytes(seq(name or self._own.name) % 256 for name in names)
        rows = serialize_rows(s.row for s in last_seen)
        key = rows_hash(rows)
        ages = serialize_ages(now - s.at for s in last_seen)
        sent_rows = rows if self._sends_rows(domain, key, turn, now) else b""
        return DomainView(domain, key, sent_rows, ages, seqs)

    def _sends_rows(self, domain: str, key: int, turn: int, now: float) -> bool:
        """Return whether a view carries its rows: lately changed, or in turn."""
        before = self._changes.get(domain)
        if before is None or before[0] != key:
            before = self._changes[domain] = (key, now)
        if now - before[1] <= ROWS_RESENT_S:
            return True
        domains = self._membership.all_domains()
        return domains[turn % len(domains)] == domain
