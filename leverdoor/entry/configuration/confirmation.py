# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""How long ago the store last answered any entry that reports to this one.

An entry that is cut off from the store, and from all entries that reach it, can't know
whether a workspace key has been revoked. Owns the time of the newest answer; lost with
the process.
"""

from leverdoor.entry.configuration.last_time import LastTime

__all__ = ["Confirmation"]


class Confirmation(LastTime):
    """When the store last confirmed the configuration in force, here or elsewhere."""

    def answered(self, now: float) -> None:
        """Record that the store answered here, at a loop time in seconds."""
        self.record(now)

    def holds(self, longest_s: float, now: float) -> bool:
        """Return whether workspace keys can be known to hold.

        Args:
          longest_s: age of the newest answer from which on they can't; 0 for never.
          now: loop time in seconds.
        """
        return not longest_s or self.within(longest_s, now)
