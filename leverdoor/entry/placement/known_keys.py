# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The keys that one target answered for this entry, the latest ones."""

from collections import OrderedDict

__all__ = ["KnownKeys"]

MAX_KNOWN_KEYS = 256
"""Keys remembered for each target.

Greater: keys count as warm that the target has dropped.
"""


class KnownKeys:
    """A bounded set of keys; the one that was answered longest ago goes first."""

    def __init__(self) -> None:
        """Create it without any key."""
        self._keys: OrderedDict[str, None] = OrderedDict()

    def __contains__(self, key: str) -> bool:
        """Return whether a key was answered lately."""
        return key in self._keys

    def add(self, key: str) -> None:
        """Note that the target answered a key now."""
        self._keys[key] = None
        self._keys.move_to_end(key)
        if len(self._keys) > MAX_KNOWN_KEYS:
            self._keys.popitem(last=False)

    def clear(self) -> None:
        """Forget all keys: the target has started again."""
        self._keys.clear()
