# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Detects targets that requested a rest from several entries.

A target requests a rest of each entry separately, in its answer. If hundreds of entries
share the target, each sends it a request within seconds and nearly all of these are
rejected. Entries therefore exchange digests of the rests requested of them, and prefer
other targets for REST_DIGEST_TTL_S. This is only a preference: the target's answers to
this entry take precedence.

Owns the index of the digest that this entry uses; it is not persisted. Relies on
`WarmKeyDigests`, which carries these digests too.
"""

from functools import lru_cache
from random import Random

from leverdoor.entry.placement.warm_key_digests import WarmKeyDigests, target_key_digest
from leverdoor.model.resources import Target

__all__ = ["DIGESTS_PER_TARGET", "REST_DIGEST_TTL_S", "REST_QUORUM", "PeerRests"]

DIGESTS_PER_TARGET = 8
"""Number of distinct digests for each target.

Each entry sends one of them, so the number of known digests is a lower bound of the
number of entries that report a rest.
"""
REST_QUORUM = 3
"""Number of known digests for which a target counts as resting.

A target that requests a rest of one or two entries may serve the others.
"""
REST_DIGEST_TTL_S = 1.0
"""Lifetime of a digest in seconds.

A recovered target is used again after about this time.
"""
MAX_CACHED_TARGETS = 8_192
"""Maximum targets with cached digests; the design limit is 3,000 (2,500 entries)."""


class PeerRests:
    """Rests that targets requested of this and other entries."""

    def __init__(self, digests: WarmKeyDigests, rng: Random) -> None:
        """Create it without rests.

        Args:
          digests: exchanges digests with other entries.
          rng: selects the digest index of this entry.
        """
        self._digests = digests
        self._rng = rng
        self._digest_index: int | None = None

    def record_rest(self, target: Target, now: float) -> None:
        """Record a requested rest and queue its digest for heartbeats."""
        if self._digest_index is None:
            self._digest_index = self._rng.randrange(DIGESTS_PER_TARGET)
        digest = _digests(target.name)[self._digest_index]
        self._digests.record_digest(digest, REST_DIGEST_TTL_S, now)

    def is_reported_resting(self, target: Target, now: float) -> bool:
        """Return whether a target recently requested a rest from several entries."""
        count = 0
        for digest in _digests(target.name):
            recorded_at = self._digests.last_recorded_at(digest)
            count += recorded_at is not None and now - recorded_at <= REST_DIGEST_TTL_S
        return count >= REST_QUORUM


@lru_cache(MAX_CACHED_TARGETS)
def _digests(name: str) -> tuple[int, ...]:
    """Return the digests that report a rest of a target."""
    # Request keys contain no line feed, so these inputs differ from those of keys.
    return tuple(target_key_digest(name, f"\n{n}") for n in range(DIGESTS_PER_TARGET))
