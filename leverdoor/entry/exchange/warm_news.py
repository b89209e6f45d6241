# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""News of warm keys, which an aggregator passes on within its region.

News are the 32-bit hashes of `WarmKeyDigests`, of keys that other targets than their
first answered lately and may have in their caches.

Owns the news of the last moments, lost with the process: entries then find keys cold
that are warm. Relies on the caller for the time.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable

__all__ = ["WarmNews"]

RESENT_S = 0.5
"""How long news of a warm key are sent again, in seconds.

Two rounds and a half, since a digest may be lost. Longer costs 4 bytes a key in each
further round.
"""
SPACING_S = 1.0
"""Time within which the same news are passed on once, in seconds.

Twice `RESENT_S`. Heartbeats and digests carry the same news for several rounds; shorter
than that, each copy would start the news again.
"""
MOST_SENT = 128
"""News in one digest at most: 512 bytes, a third of a packet."""
MOST_SEEN = 4_096
"""News remembered as passed on: 32 digests full of them bound the memory."""


class WarmNews:
    """News of warm keys, from the failure domain and from the rest of the region."""

    def __init__(self) -> None:
        """Create it without any."""
        self._domain: deque[tuple[float, int]] = deque(maxlen=MOST_SENT)
        self._region: deque[tuple[float, int]] = deque(maxlen=MOST_SENT)
        self._seen: OrderedDict[int, float] = OrderedDict()

    def take_from_domain(self, news: Iterable[int], now: float) -> None:
        """Take news of an entry of the own failure domain."""
        self._take(news, self._domain, now)

    def take_from_region(self, news: Iterable[int], now: float) -> None:
        """Take news of another failure domain's aggregator."""
        self._take(news, self._region, now)

    def _take(
        self, news: Iterable[int], into: deque[tuple[float, int]], now: float
    ) -> None:
        for key in news:
            if now - self._seen.get(key, -SPACING_S) >= SPACING_S:
                into.append((now, key))
                self._seen[key] = now
                self._seen.move_to_end(key)
        while len(self._seen) > MOST_SEEN:
            self._seen.popitem(last=False)

    def for_region(self, own: Iterable[int], now: float) -> list[int]:
        """Return the news for the region's other aggregators; `own`: this entry's."""
        return _recent(own, self._domain, now)

    def for_domain(self, own: Iterable[int], now: float) -> list[int]:
        """Return the news for the own failure domain; `own` is this entry's."""
        return _recent(own, [*self._domain, *self._region], now)


def _recent(
    own: Iterable[int], received: Iterable[tuple[float, int]], now: float
) -> list[int]:
    """Return the newest news, each once."""
    found = [key for at, key in received if now - at <= RESENT_S]
    return list(dict.fromkeys([*own, *found]))[-MOST_SENT:]
