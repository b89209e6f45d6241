# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Suppresses repeated reports of the same malformed header value of a target.

Owns the last malformed value of each target; it is lost with the process. Relies on its
caller to drop targets that are gone.
"""

from collections.abc import Container

__all__ = ["UnreadableTextFilter"]


class UnreadableTextFilter:
    """Detects whether a target's malformed value differs from its previous one."""

    def __init__(self) -> None:
        """Create a filter that has seen no values."""
        self._last: dict[str, str] = {}

    def is_new(self, target: str, text: str) -> bool:
        """Record a malformed value; return whether it differs from the last one."""
        if self._last.get(target) == text:
            return False
        self._last[target] = text
        return True

    def keep_only(self, targets: Container[str]) -> None:
        """Drop the values of targets that are not in `targets`."""
        self._last = {t: text for t, text in self._last.items() if t in targets}
