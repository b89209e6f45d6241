# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""How long ago the store was last known to answer any entry that is heard.

An entry that is cut off from the store and from all who reach it can't know whether
a key still holds.
"""

__all__ = ["Confirmation"]

NEVER_MS = -1
"""Stands for a store that never answered anyone, as far as is known."""


class Confirmation:
    """When the configuration in force was last confirmed by the store."""

    def __init__(self) -> None:
        """Create it without any answer known."""
        self._at: float | None = None

    def answered(self, now: float) -> None:
        """Record that the store answered here."""
        self._at = now

    def peer_reported(self, age_ms: int, now: float) -> None:
        """Take the age of the newest answer that another entry knows of."""
        if age_ms == NEVER_MS:
            return
        at = now - age_ms / 1000
        if self._at is None or at > self._at:
            self._at = at

    def age_ms(self, now: float) -> int:
        """Return how long ago the store answered anyone; -1 if it never did."""
        return NEVER_MS if self._at is None else round((now - self._at) * 1000)

    def holds(self, longest_s: float, now: float) -> bool:
        """Return whether it is not older than some seconds; 0 for any age."""
        if not longest_s:
            return True
        return self._at is not None and now - self._at <= longest_s
