# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Decides when a starting entry begins to serve.

An entry with a peer's state has a configuration before it knows an answer of the store
that confirms it. With strict revocation it would refuse all workspace keys until then.

Owns when the entry was configured; it is lost with the process.
"""

__all__ = ["Readiness"]

CONFIRMATION_WAIT_S = 1.0
"""Longest time for which a configured entry waits for a confirmation, in seconds.

Five rounds of heartbeats. With a greater value, entries that start while the store is
down serve later what needs no key; with a smaller one, they may refuse keys when they
begin.
"""


class Readiness:
    """Whether a starting entry may serve."""

    def __init__(self) -> None:
        """Create it for an entry without a configuration."""
        self._configured_at: float | None = None

    def may_serve(self, configured: bool, keys_confirmed: bool, now: float) -> bool:
        """Return whether the entry may serve now.

        Args:
          configured: whether it has a configuration.
          keys_confirmed: whether the configuration is recent enough for workspace keys.
          now: loop time in seconds.
        """
        if not configured:
            return False
        if self._configured_at is None:
            self._configured_at = now
        return keys_confirmed or now - self._configured_at >= CONFIRMATION_WAIT_S
