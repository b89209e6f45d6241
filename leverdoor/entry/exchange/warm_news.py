# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""News of warm keys that an aggregator passes on within its region."""

from collections import OrderedDict, deque
from collections.abc import Iterable

__all__ = ["WarmNews"]

REPEAT_S = 0.5
"""How long news of a warm key are repeated; two rounds and a half."""
SPACING_S = 1.0
"""Time within which the same news are passed on once."""
MOST_SENT = 128
"""News in one digest at most: 512 bytes."""
MOST_SEEN = 4_096
"""News remembered as passed on; 32 digests full of them."""


class WarmNews:
    """News of warm keys, as digests of `SharedWarmth`, from the domain and beyond."""

    def __init__(self) -> None:
        """Create it without any."""
        self._domain: deque[tuple[float, int]] = deque(maxlen=MOST_SENT)
        self._region: deque[tuple[float, int]] = deque(maxlen=MOST_SENT)
        self._seen: OrderedDict[int, float] = OrderedDict()

    def take_from_domain(self, news: Iterable[int], now: float) -> None:
        """Take what an entry of the own failure domain told."""
        self._take(news, self._domain, now)

    def take_from_region(self, news: Iterable[int], now: float) -> None:
        """Take what another failure domain's aggregator told."""
        self._take(news, self._region, now)

    def _take(
        self, news: Iterable[int], into: deque[tuple[float, int]], now: float
    ) -> None:
        for digest in news:
            if now - self._seen.get(digest, -SPACING_S) >= SPACING_S:
                into.append((now, digest))
                self._seen[digest] = now
                self._seen.move_to_end(digest)
        while len(self._seen) > MOST_SEEN:
            self._seen.popitem(last=False)

    def for_region(self, own: Iterable[int], now: float) -> list[int]:
        """Return what to tell the region's other aggregators; `own`: this entry's."""
        return _recent(own, self._domain, now)

    def for_domain(self, own: Iterable[int], now: float) -> list[int]:
        """Return what to tell the own failure domain; `own` is this entry's."""
        return _recent(own, [*self._domain, *self._region], now)


def _recent(
    own: Iterable[int], heard: Iterable[tuple[float, int]], now: float
) -> list[int]:
    """Return the newest news without repeats."""
    found = [digest for at, digest in heard if now - at <= REPEAT_S]
    return list(dict.fromkeys([*own, *found]))[-MOST_SENT:]
