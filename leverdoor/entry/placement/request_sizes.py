# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tracks which services have requests that should stay in their failure domain.

Owns the mean bytes of a request and its answer for each service, lost with the process.
"""

import msgspec

__all__ = ["RequestSizes"]

LARGE_REQUEST_BYTES = 2_500
"""Mean bytes of a request and its answer above which requests count as large.

Traffic between domains lowered the worth of a benchmark by 0.09 for such requests. A
greater value has this cost again. With a smaller one, the keys of small requests run
cold in each domain.
"""
SMALL_REQUEST_BYTES = 1_250
"""Mean bytes at or below which requests no longer count as large.

Half the upper threshold; the hysteresis prevents flapping.
"""
MEAN_SIZE_WEIGHT = 0.02
"""Weight of one request in the mean, which covers about the last fifty.

With a greater weight, a few large requests change the order of targets.
"""
MIN_SAMPLES = 20
"""Minimum requests before the mean is used; one large request is not conclusive."""


class _SizeStatistics(msgspec.Struct):
    """The size statistics of one service."""

    mean: float = 0.0
    """Mean bytes of a request and its answer."""
    samples: int = 0
    is_large: bool = False


class RequestSizes:
    """The mean size of a request and its answer, by service."""

    def __init__(self) -> None:
        """Create it without statistics."""
        self._by_service: dict[str, _SizeStatistics] = {}

    def record(self, service: str, size: int) -> None:
        """Record the bytes of one request and its answer."""
        statistics = self._by_service.setdefault(service, _SizeStatistics())
        statistics.samples += 1
        weight = max(MEAN_SIZE_WEIGHT, 1.0 / statistics.samples)
        statistics.mean += weight * (size - statistics.mean)
        if statistics.samples >= MIN_SAMPLES:
            bound = SMALL_REQUEST_BYTES if statistics.is_large else LARGE_REQUEST_BYTES
            statistics.is_large = statistics.mean > bound

    def is_large(self, service: str) -> bool:
        """Return whether the requests of a service count as large."""
        statistics = self._by_service.get(service)
        return statistics is not None and statistics.is_large
