# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Aggregators forward the hashes of warm keys within their region.

A warm key is one that a target other than the first choice served recently and may have
cached. Keys are represented by the 32-bit hashes of `WarmKeyDigests`.

Owns the recently received keys. They are lost with the process; entries then treat warm
keys as cold. Relies on the caller for the time.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable

__all__ = ["WarmKeyRelay"]

RESEND_S = 0.5
"""Time for which a warm key is sent in each digest, in seconds.

Two and a half rounds, since a digest may be lost. If longer, it costs 4 bytes for each
key and further round.
"""
DEDUPLICATION_S = 1.0
"""Time within which a repeated key is ignored, in seconds.

Twice `RESEND_S`. Heartbeats and digests carry the same key for several rounds; if
shorter, each copy would be sent for `RESEND_S` again.
"""
MAX_KEYS_PER_DIGEST = 128
"""Maximum number of keys in a digest: 512 bytes, a third of a packet."""
MAX_REMEMBERED_KEYS = 4_096
"""Maximum number of keys whose last receipt is remembered; it bounds the memory.

32 digests with the maximum number of keys.
"""


class WarmKeyRelay:
    """Warm keys received from the failure domain and from the rest of the region."""

    def __init__(self) -> None:
        """Create an empty relay."""
        self._domain_keys: deque[tuple[float, int]] = deque(maxlen=MAX_KEYS_PER_DIGEST)
        self._other_domain_keys: deque[tuple[float, int]] = deque(
            maxlen=MAX_KEYS_PER_DIGEST
        )
        self._last_received: OrderedDict[int, float] = OrderedDict()

    def record_domain_keys(self, keys: Iterable[int], now: float) -> None:
        """Record warm keys from an entry's heartbeat."""
        self._enqueue(keys, self._domain_keys, now)

    def record_region_keys(self, keys: Iterable[int], now: float) -> None:
        """Record warm keys from an aggregator of another failure domain."""
        self._enqueue(keys, self._other_domain_keys, now)

    def _enqueue(
        self, keys: Iterable[int], queue: deque[tuple[float, int]], now: float
    ) -> None:
        for key_hash in keys:
            if (
                now - self._last_received.get(key_hash, -DEDUPLICATION_S)
                >= DEDUPLICATION_S
            ):
                queue.append((now, key_hash))
                self._last_received[key_hash] = now
                self._last_received.move_to_end(key_hash)
        while len(self._last_received) > MAX_REMEMBERED_KEYS:
            self._last_received.popitem(last=False)

    def keys_for_region(self, own: Iterable[int], now: float) -> list[int]:
        """Return the keys for the region's other aggregators.

        Args:
          own: the keys of this entry.
          now: monotonic time in seconds.
        """
        return _recent_keys(own, self._domain_keys, now)

    def keys_for_domain(self, own: Iterable[int], now: float) -> list[int]:
        """Return the keys for the own failure domain.

        Args:
          own: the keys of this entry.
          now: monotonic time in seconds.
        """
        return _recent_keys(own, [*self._domain_keys, *self._other_domain_keys], now)


def _recent_keys(
    own: Iterable[int], received: Iterable[tuple[float, int]], now: float
) -> list[int]:
    """Return the most recent keys without duplicates."""
    found = [key_hash for at, key_hash in received if now - at <= RESEND_S]
    return list(dict.fromkeys([*own, *found]))[-MAX_KEYS_PER_DIGEST:]
