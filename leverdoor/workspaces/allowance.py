# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The number of requests that an entry may admit before its usage is reported.

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
"""Fraction of the remaining quota that is divided evenly among the entries.

The rest is divided in proportion to their usage, which may change at any time. The
ceiling of an isolated entry and the reservations for silent entries use the same
fraction.

With a greater value, an entry with high usage refuses requests while the others leave
their shares unused. With a smaller one, an entry whose usage has just started refuses
requests. The effect is small: of a workspace at its full rate, 0.0232 of the requests
were refused with 0.25 and 0.0196 with 0.5, and usage in a network partition reached
1.03 of the bound with 0.25 and 1.02 with 0.5 (74 entries, benchmarks/quotas.py).
"""
MAX_UNREPORTED_SHARE = 0.35
"""Share of a quota that all entries together may use before their reports arrive.

A network partition is detected after up to 1.2 s. Until then, each side also uses the
remaining quota of the other side. A greater value exceeds the bound further in this
time. A smaller one refuses more requests without a partition.

With 74 entries (benchmarks/quotas.py), the fraction refused of a workspace at
its full rate, and the ratio of usage to the bound if a partition and 7.5 times the
demand start in the same second, are:

| value | refused | usage / bound |
| ----- | ------- | ------------- |
| 0.15 | 0.046 | 1.11 |
| 0.25 | 0.020 | 1.14 |
| 0.35 | 0.013 | 1.20 |
| 0.5 | 0.013 | 1.20 |
"""
ASSUMED_REQUESTS_PER_ENTRY = 0.1
"""Requests added to the usage of each entry when proportional shares are computed.

The shares thus add up to one even if no entry has any usage. With a greater value, the
shares are more even than the usage. With a smaller one, a single request gives an entry
the whole proportional part.
"""
MIN_RATIO_FOR_FOUR = 5.0
"""Least ratio of remaining to expected requests at which each entry may admit four
requests regardless of its share.

With greater ratios for four, two and one requests, more requests are refused: with 7.5,
4 and 2, 0.16 of a medium-sized workspace that requests nearly its whole quota, and
with these 0.09 (74 entries, benchmarks/quotas.py). With smaller ratios, the entries
together use more than the remaining quota.
"""
MIN_RATIO_FOR_TWO = 2.0
"""Least ratio of remaining to expected requests at which each entry may admit two
requests regardless of its share.

With 74 entries and 8 requests per second of a workspace, an entry receives two requests
within 0.8 s in 0.4% of all cases.
"""
MIN_RATIO_FOR_ONE = 0.5
"""Least ratio of remaining to expected requests at which each entry may admit one
request regardless of its share.

Below this ratio, the allowance is the share alone, rounded up or down at random.
"""


class KnownUsage(msgspec.Struct, frozen=True):
    """The usage of a workspace as one entry knows it when a request arrives.

    Requests are counted in the sliding window of the quota, except for
    `expected_use`.
    """

    admission_limit: float
    """Requests that all entries together admit."""
    others_use: float
    """Requests of the other entries as last reported, plus the reservations for silent
    entries."""
    own_use: int
    """Requests of this entry."""
    unreported: int
    """Requests of this entry beyond the least count of its usage that the other entries
    may know now."""
    entry_count: int
    """Number of entries, including this one."""
    expected_use: float
    """Requests of all entries expected within `REPORT_DELAY_S`."""
    silent_count: int = 0
    """Number of silent entries, for which `others_use` contains reservations."""

    @property
    def remaining(self) -> float:
        """Return the admission limit minus all requests except the unreported ones."""
        return self.admission_limit - self.others_use - self.own_use + self.unreported

    @property
    def allowance(self) -> float:
        """Return how many unreported requests this entry may have."""
        active_entries = self.entry_count - self.silent_count
        remaining = self.remaining
        if active_entries > 1:
            remaining = min(remaining, MAX_UNREPORTED_SHARE * self.admission_limit)
        return max(remaining * self._share(active_entries), self._guaranteed_requests())

    def _share(self, active_entries: int) -> float:
        """Return this entry's share of the remaining quota, from 0 to 1.

        Args:
          active_entries: number of entries that are not silent, including this one.
        """
        reported = self.own_use - self.unreported
        # Excludes the silent entries, assuming that all other entries use the same.
        others_use = (
            self.others_use * (active_entries - 1) / max(self.entry_count - 1, 1)
        )
        total_use = others_use + reported + ASSUMED_REQUESTS_PER_ENTRY * active_entries
        proportional_share = (reported + ASSUMED_REQUESTS_PER_ENTRY) / total_use
        return (
            EVENLY_DIVIDED_FRACTION / active_entries
            + (1 - EVENLY_DIVIDED_FRACTION) * proportional_share
        )

    def _guaranteed_requests(self) -> float:
        """Return how many requests each entry may admit regardless of its share."""
        ratio = self.remaining / self.expected_use
        if ratio >= MIN_RATIO_FOR_FOUR:
            return 4.0
        if ratio >= MIN_RATIO_FOR_TWO:
            return 2.0
        return 1.0 if ratio >= MIN_RATIO_FOR_ONE else 0.0

    def admits(self, random_fraction: float) -> bool:
        """Return whether one more request is within admission limit and allowance.

        Args:
          random_fraction: a random number in [0, 1), which rounds a fractional
            allowance up or down at random.
        """
        if self.others_use + self.own_use >= self.admission_limit:
            return False
        return self.unreported + random_fraction < self.allowance
