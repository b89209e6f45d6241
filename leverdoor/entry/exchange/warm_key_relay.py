# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""RevisionAnnouncement of warm keys, which an aggregator passes on within its region.

RevisionAnnouncement are the 32-bit hashes of `SharedWarmth`, of keys that other targets than their
first answered lately and may have in their caches.

Owns the news of the last moments, lost with the process: entries then find keys cold
that are warm. Relies on the caller for the time.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable

__all__ = ["WarmKeyRelay"]

RESEND_S = 0.5
"""How long news of a warm key are sent again, in seconds.

Two rounds and a half, since a digest may be lost. Longer costs 4 bytes a key in each
further round.
"""
DEDUPLICATION_S = 1.0
"""Time within which the same news are passed on once, in seconds.

Twice `RESEND_S`. Heartbeats and digests carry the same news for several rounds; shorter
than that, each copy would start the news again.
"""
MAX_KEYS_PER_DIGEST = 128
"""RevisionAnnouncement in one digest at most: 512 bytes, a third of a packet."""
MAX_REMEMBERED_KEYS = 4_096
"""RevisionAnnouncement remembered as passed on: 32 digests full of them bound the memory."""


class WarmKeyRelay:
    """RevisionAnnouncement of warm keys, from the failure domain and from the rest of the region."""

    def __init__(self) -> None:
        """Create it without any."""
        self._domain: deque[tuple[float, int]] = deque(maxlen=MAX_KEYS_PER_DIGEST)
        self._region: deque[tuple[float, int]] = deque(maxlen=MAX_KEYS_PER_DIGEST)
        self._relayed: OrderedDict[int, float] = OrderedDict()

    def record_domain_keys(self, keys: Iterable[int], now: float) -> None:
        """Take news of an entry of the own failure domain."""
        self._enqueue(keys, self._domain, now)

    def record_region_keys(self, keys: Iterable[int], now: float) -> None:
        """Take news of another failure domain's aggregator."""
        self._enqueue(keys, self._region, now)

    def _enqueue(
        self, keys: Iterable[int], queue: deque[tuple[float, int]], now: float
    ) -> None:
        for key_hash in keys:
            if now - self._relayed.get(key_hash, -DEDUPLICATION_S) >= DEDUPLICATION_S:
                queue.append((now, key_hash))
                self._relayed[key_hash] = now
                self._relayed.move_to_end(key_hash)
        while len(self._relayed) > MAX_REMEMBERED_KEYS:
            self._relayed.popitem(last=False)

    def keys_for_region(self, own: Iterable[int], now: float) -> list[int]:
        """Return the news for the region's other aggregators; `own`: this entry's."""
        return _recent_keys(own, self._domain, now)

    def keys_for_domain(self, own: Iterable[int], now: float) -> list[int]:
        """Return the news for the own failure domain; `own` is this entry's."""
        return _recent_keys(own, [*self._domain, *self._region], now)


def _recent_keys(
    own: Iterable[int], received: Iterable[tuple[float, int]], now: float
) -> list[int]:
    """Return the newest news, each once."""
    found = [key_hash for at, key_hash in received if now - at <= RESEND_S]
    return list(dict.fromkeys([*own, *found]))[-MAX_KEYS_PER_DIGEST:]
