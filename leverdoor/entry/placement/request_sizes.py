# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which services have requests and answers so large that bytes between domains matter.

Owns the mean bytes of each service's requests; lost with the process.
"""

import msgspec

__all__ = ["RequestSizes"]

LARGE_REQUEST_BYTES = 2_500
"""Mean bytes of a request and its answer from which on domains matter.

Found where bytes between domains cost 0.09 of worth. Greater: they cost that again.
Smaller: keys of small requests run cold in each domain.
"""
SMALL_REQUEST_BYTES = 1_250
"""Mean bytes below which they no longer do: half, so that it does not flap."""
MEAN_SIZE_WEIGHT = 0.02
"""Weight of one request in the mean of bytes.

About the last fifty. Greater: a few large requests change the order of targets.
"""
MIN_SAMPLES = 20
"""Requests before the mean counts: one large request says nothing yet."""


class _Sizes(msgspec.Struct):
    """What is known of one service."""

    mean: float = 0.0
    """Mean bytes of a request and its answer."""
    samples: int = 0
    heavy: bool = False


class RequestSizes:
    """How many bytes a request and its answer have, by service."""

    def __init__(self) -> None:
        """Create an empty book."""
        self._known: dict[str, _Sizes] = {}

    def learn(self, service: str, size: int) -> None:
        """Take the bytes of one request and its answer."""
        known = self._known.setdefault(service, _Sizes())
        known.samples += 1
        weight = max(MEAN_SIZE_WEIGHT, 1.0 / known.samples)
        known.mean += weight * (size - known.mean)
        if known.samples >= MIN_SAMPLES:
            bound = SMALL_REQUEST_BYTES if known.heavy else LARGE_REQUEST_BYTES
            known.heavy = known.mean > bound

    def heavy(self, service: str) -> bool:
        """Return whether the bytes of a service are worth saving."""
        known = self._known.get(service)
        return known is not None and known.heavy
