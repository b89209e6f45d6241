# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Remembers the latest keys that one target answered for this entry.

Owns these keys, lost with the process.
"""

from collections import OrderedDict

__all__ = ["KnownKeys"]

MAX_KNOWN_KEYS = 256
"""Maximum keys for each target.

With a greater value, keys that the target has evicted count as warm.
"""


class KnownKeys:
    """A bounded set of keys that evicts the least recently answered one."""

    def __init__(self) -> None:
        """Create an empty set."""
        self._keys: OrderedDict[str, None] = OrderedDict()

    def __contains__(self, key: str) -> bool:
        """Return whether the target answered a key recently."""
        return key in self._keys

    def add(self, key: str) -> None:
        """Record that the target answered a key now."""
        self._keys[key] = None
        self._keys.move_to_end(key)
        if len(self._keys) > MAX_KNOWN_KEYS:
            self._keys.popitem(last=False)

    def clear(self) -> None:
        """Remove all keys, because the target restarted."""
        self._keys.clear()
