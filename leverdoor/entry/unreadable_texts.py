# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which texts of targets that can't be read were logged already.

Owns the last such text of each target, lost with the process.
"""

from collections.abc import Container

__all__ = ["UnreadableTextFilter"]


class UnreadableTextFilter:
    """The last unreadable text of each target."""

    def __init__(self) -> None:
        """Create it without any."""
        self._last: dict[str, str] = {}

    def is_new(self, target: str, text: str) -> bool:
        """Return whether a text differs from the target's last one; remember it."""
        if self._last.get(target) == text:
            return False
        self._last[target] = text
        return True

    def keep_only(self, targets: Container[str]) -> None:
        """Forget those of targets that are gone."""
        self._last = {t: text for t, text in self._last.items() if t in targets}
