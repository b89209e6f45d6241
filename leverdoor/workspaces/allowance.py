# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The share of a quota that one entry may use before the other entries learn of it.

`KnownUsage.admits` admits a request if total usage is below the admission limit and
the unreported requests of this entry are within its allowance.

The allowance is a share of the remaining quota. Half of the remaining quota is divided
evenly and half in proportion to usage. While much of the quota remains, every entry may
admit a few requests regardless of its share. Usage is sparse with hundreds of entries:
the share of an entry with one request in ten seconds is close to zero, but the entry
must be able to admit a whole request.

Owns no state. Relies on exact counts of this entry's usage (`usage.py`) and on the
usage of the other entries, which is some tenths of a second old (`remote_usage.py`).
"""

import msgspec

__all__ = ["EVENLY_DIVIDED_FRACTION", "KnownUsage"]

EVENLY_DIVIDED_FRACTION = 0.5
"""Share of a quota that is divided evenly among entries that lack recent reports.

The rest is divided in proportion to their usage, which may change at any time. With a
greater value, an entry with high usage refuses requests while the others leave their
shares unused. With a smaller one, an entry whose usage has just started refuses
requests. A value of 0.25 made no difference: a workspace at its full rate had 0.0232
refused compared with 0.0196, and usage in a network partition reached 1.03 compared
with 1.02 of the bound (74 entries, benchmarks/quotas.py).
"""
MAX_UNREPORTED_SHARE = 0.35
"""Share of a quota that all entries together may use before their reports arrive.

A network partition is detected after up to 1.2 s; until then each side also uses what
remains for the other side. A greater value exceeds the bound further in this time. A
smaller one refuses more requests without a partition. With 0.15, 0.25, 0.35 and 0.5,
0.046, 0.020, 0.013 and 0.013 are refused while a workspace requests its full rate. If a
partition and 7.5 times the demand start in the same second, usage reaches 1.11, 1.14,
1.20 and 1.20 of the bound (74 entries, benchmarks/quotas.py).
"""
PRIOR_REQUESTS = 0.1
"""Requests added to the usage of each entry when proportional shares are computed.

The shares thus add up to one even if no entry has any usage. With a greater value, the
shares are more even than the usage. With a smaller one, a single request gives an entry
the whole proportional part.
"""
FOUR_FREE_RATIO = 5.0
"""Least ratio of remaining to expected requests at which each entry may admit four
requests regardless of its share.

With 7.5, 4 and 2 for the three ratios, a medium-sized workspace that requests nearly
its whole quota had 0.16 of it refused instead of 0.09 (74 entries,
benchmarks/quotas.py). Greater ratios refuse more requests. With smaller ones, the
entries together use more than remains.
"""
TWO_FREE_RATIO = 2.0
"""Least ratio of remaining to expected requests for two requests of each entry.

With 74 entries and 8 requests per second of a workspace, an entry receives two within
0.8 s in 0.4% of all cases.
"""
ONE_FREE_RATIO = 0.5
"""Least ratio of remaining to expected requests for one request of each entry.

Below this ratio, an entry admits a request with a probability given by its share.
"""


class KnownUsage(msgspec.Struct, frozen=True):
    """The usage of a workspace as one entry knows it when a request arrives.

    Numbers of requests refer to the window of the quota unless a field says otherwise.
    """

    admission_limit: float
    """Requests that all entries together admit."""
    others_use: float
    """Requests of the other entries as last reported."""
    own_use: int
    """Requests of this entry."""
    unreported: int
    """Requests of this entry that the other entries may not know yet: those of the
    last `REPORT_DELAY_S` before the others' usage arrived, and all later ones."""
    entries: int
    """Number of entries, including this one."""
    expected_use: float
    """Requests of all entries expected within `REPORT_DELAY_S`."""
    silent: int = 0
    """Number of silent entries; `others_use` includes what is reserved for them."""
    expired: int = 0
    """Requests of this entry that left the window while the unreported ones were
    admitted. The others still count them, so unreported ones may replace them."""

    @property
    def remaining(self) -> float:
        """Return the quota that remained before the unreported requests."""
        return self.admission_limit - self.others_use - self.own_use + self.unreported

    @property
    def allowance(self) -> float:
        """Return how many unreported requests this entry may have."""
        active_entries = self.entries - self.silent
        remaining = self.remaining
        if active_entries > 1:
            remaining = min(remaining, MAX_UNREPORTED_SHARE * self.admission_limit)
        return self.expired + max(
            remaining * self._share(active_entries), self._free_requests()
        )

    def _share(self, active_entries: int) -> float:
        """Return this entry's share of the remaining quota, from 0 to 1.

        Args:
          active_entries: number of entries that are not silent, including this one.
        """
        reported = self.own_use - self.unreported
        others_use = self.others_use * (active_entries - 1) / max(self.entries - 1, 1)
        total_use = others_use + reported + PRIOR_REQUESTS * active_entries
        proportional_share = (reported + PRIOR_REQUESTS) / total_use
        return (
            EVENLY_DIVIDED_FRACTION / active_entries
            + (1 - EVENLY_DIVIDED_FRACTION) * proportional_share
        )

    def _free_requests(self) -> float:
        """Return how many requests each entry may admit regardless of its share."""
        ratio = self.remaining / self.expected_use
        if ratio >= FOUR_FREE_RATIO:
            return 4.0
        if ratio >= TWO_FREE_RATIO:
            return 2.0
        return 1.0 if ratio >= ONE_FREE_RATIO else 0.0

    def admits(self, random_fraction: float) -> bool:
        """Return whether one more request is within the allowance.

        Args:
          random_fraction: a random number in [0, 1), which rounds a fractional
            allowance up or down at random.
        """
        if self.others_use + self.own_use >= self.admission_limit:
            return False
        return self.unreported + random_fraction < self.allowance
