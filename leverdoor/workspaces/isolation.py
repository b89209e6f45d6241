# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The share of a quota that an isolated entry may use.

An entry is isolated if it receives no digests for `ISOLATION_TIMEOUT_S`. For the other
entries it is silent, since its reports are overdue; they reserve for it what it may use
while it is isolated (`entry/exchange/usage_merging.py`). All sides of a network
partition together thus stay within the quota at any demand. After `ISOLATED_USE_S`, the
isolated entry admits almost nothing; after `RESERVATION_S`, the reservation expires.

A reservation for a registered entry does not expire, so that entries that reach the
store keep their share however long a partition lasts. A group of entries that reaches
neither the others nor the store has to stop before the others see its leases expire.

Owns no state. Relies on the last reported usage of all entries.
"""

import msgspec

from leverdoor.workspaces.allowance import EVENLY_DIVIDED_FRACTION

__all__ = [
    "ISOLATED_USE_S",
    "ISOLATION_TIMEOUT_S",
    "RESERVATION_S",
    "IsolatedQuota",
    "isolated_use_factor",
    "may_be_taken_for_ended",
]

ISOLATION_TIMEOUT_S = 1.6
"""Time without any digest after which an entry considers itself isolated, in seconds.

Four consecutive digests are lost in this time. With a greater value, each side of a
network partition uses the other side's remaining quota for longer. With a smaller one,
lost datagrams make an entry refuse requests.
"""
ISOLATED_USE_S = 20.0
"""How long an isolated entry uses its share of each quota, in seconds.

With a greater value, entries that have ended block a share of each quota for longer.
With a smaller one, isolated entries refuse almost all requests sooner.
"""
RESERVATION_S = 28.0
"""How long the other entries reserve quota for a silent entry that is not registered in
the store, in seconds.

It exceeds `ISOLATED_USE_S` by the quota window, in which requests of the isolated entry
still count, and by 3 s, since the isolated entry counts from its last digest and the
others from its last report. If shorter, both use the same part of the quota.
"""
MAX_LEASE_AGE_S = 9.0
"""Age of an entry's lease beyond which others may soon see it expire, in seconds.

A lease lasts 15 s from its renewal; the quota window, in which the entry's requests
still count, and 1 s have to pass before. Leases are renewed each 5 s. With a greater
value, both sides use the same part of the quota. With a smaller one, a slow store ends
the share of entries that others reach no longer.
"""
MAX_USE_FACTOR = 4.0
"""Greatest ratio of an isolated entry's usage to its last reported usage.

Prevents a single reported request at low demand from reserving a whole quota. With a
greater value, the others reserve more for silent entries. With a smaller one, requests
of a workspace whose usage grows during a network partition are refused.
"""
ISOLATED_MARGIN_SHARE = 0.5
"""Share of the margin above the admission limit that isolated entries may use in total
after `ISOLATED_USE_S`.

The other half stays unused, since other entries may be isolated too. With a greater
value, usage may exceed the bound.
"""


def isolated_use_factor(admission_limit: float, total_use: float) -> float:
    """Return the ratio of an isolated entry's usage to its last reported usage.

    Each side of a network partition keeps its share of the quota, so that all sides
    together stay within the quota at any demand.

    Args:
      admission_limit: requests per window that all entries together admit.
      total_use: requests per window of all entries as last reported.
    """
    return min(max(admission_limit / max(total_use, 1.0), 1.0), MAX_USE_FACTOR)


def may_be_taken_for_ended(silent_s: float, lease_age_s: float) -> bool:
    """Return whether silent entries may have ended their reservation for this one.

    They take an entry for ended once its reports and its lease have both expired.

    Args:
      silent_s: how long other entries have been silent, in seconds.
      lease_age_s: time since this entry renewed its lease, in seconds.
    """
    return silent_s > ISOLATED_USE_S and lease_age_s > MAX_LEASE_AGE_S


class IsolatedQuota(msgspec.Struct, frozen=True):
    """A quota as an isolated entry knows it; requests are counted per window."""

    admission_limit: float
    """Requests that all entries together admit."""
    bound: float
    """Maximum number of requests of all entries."""
    entry_count: int
    """Number of entries, including this one."""
    isolated_s: float
    """Age of the last received usage of the other entries, in seconds."""
    last_reported: int | None
    """Requests of this entry as last known to the others; None if this entry never
    received a digest."""
    others_use: float
    """Requests of the other entries as last received, including reservations."""
    window_s: float = 5.0
    """Length of the sliding window of usage, in seconds."""

    @property
    def ceiling(self) -> float:
        """Return the maximum number of requests of this entry per window.

        Usage is sparse with many entries: half of an equal share may be less than a
        request, which an entry without usage must be able to admit.
        """
        if self.isolated_s > ISOLATED_USE_S:
            return (
                (self.bound - self.admission_limit)
                * ISOLATED_MARGIN_SHARE
                / self.entry_count
            )
        equal_share = self.admission_limit / self.entry_count
        if self.last_reported is None:
            return EVENLY_DIVIDED_FRACTION * equal_share
        total_use = self.others_use + self.last_reported
        proportional_share = self.last_reported * isolated_use_factor(
            self.admission_limit, total_use
        )
        reserved = (
            EVENLY_DIVIDED_FRACTION * equal_share
            + (1 - EVENLY_DIVIDED_FRACTION) * proportional_share
        )
        ceiling = max(reserved, min(equal_share, 1.0))
        if self.isolated_s > self.window_s:
            return ceiling
        return self._while_usage_of_others_counts(ceiling, self.last_reported)

    def _while_usage_of_others_counts(self, ceiling: float, reported: int) -> float:
        """Return the ceiling until the last known usage of others has left the window.

        An entry with most of the usage is above its ceiling at first. If the others
        grew to theirs meanwhile, all together would exceed the quota by that excess.

        Args:
          ceiling: the ceiling of this entry after that.
          reported: requests of this entry as last known to the others.
        """
        growth = ceiling - reported
        if growth <= 0.0:
            return ceiling
        remaining = max(self.admission_limit - self.others_use - reported, 0.0)
        factor = isolated_use_factor(self.admission_limit, self.others_use + reported)
        proportional_share = (1 - EVENLY_DIVIDED_FRACTION) * factor * self.others_use
        even_share = EVENLY_DIVIDED_FRACTION * self.admission_limit / self.entry_count
        # At most: all that others use is that of a single entry.
        excess = max(self.others_use - proportional_share - even_share, 0.0)
        if not excess:
            return ceiling
        return reported + growth * remaining / (remaining + excess)
