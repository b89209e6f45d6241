# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which targets turn several entries away, told as short digests.

A rest is asked of one entry. Where hundreds share a target, each sends it a request in
seconds, and nearly all of these would be turned away before each entry was asked. So
entries tell each other that they were asked, and others prefer other targets for a
moment; it is a preference only, and what a target answers an entry counts for more.

Owns the part under which this entry tells its rests, lost with the process. Relies on
`WarmKeyDigests`, whose digests carry these as well.
"""

from functools import lru_cache
from random import Random

from leverdoor.entry.placement.warm_key_digests import WarmKeyDigests, target_digest
from leverdoor.model.resources import Target

__all__ = ["REST_DIGEST_TTL_S", "DIGESTS_PER_TARGET", "REST_QUORUM", "PeerRests"]

DIGESTS_PER_TARGET = 8
"""Digests of a target; each entry tells one of them, so that they count entries."""
REST_QUORUM = 3
"""Digests that must be known: a target that turns one entry away may serve others."""
REST_DIGEST_TTL_S = 1.0
"""How long such a digest counts, in seconds: a target that is well again is used again
in about that time."""
MAX_CACHED_TARGETS = 8_192
"""Targets whose digests are kept; 2,500 entries are built for 3,000."""


class PeerRests:
    """Rests that targets asked several entries for."""

    def __init__(self, digests: WarmKeyDigests, rng: Random) -> None:
        """Create it without any.

        Args:
          digests: carries them between entries.
          rng: chooses the part of this entry.
        """
        self._digests = digests
        self._rng = rng
        self._part: int | None = None

    def record_rest(self, target: Target, now: float) -> None:
        """Tell others that a target asked this entry for rest."""
        if self._part is None:
            self._part = self._rng.randrange(DIGESTS_PER_TARGET)
        digest = _digests(target.name)[self._part]
        self._digests.record_digest(digest, REST_DIGEST_TTL_S, now)

    def is_resting(self, target: Target, now: float) -> bool:
        """Return whether a target lately asked several entries for rest."""
        known = 0
        for digest in _digests(target.name):
            at = self._digests.last_recorded_at(digest)
            known += at is not None and now - at <= REST_DIGEST_TTL_S
        return known >= REST_QUORUM


@lru_cache(MAX_CACHED_TARGETS)
def _digests(name: str) -> tuple[int, ...]:
    # No key of a request holds a line feed, so none has the same digest.
    return tuple(target_digest(name, f"\n{part}") for part in range(DIGESTS_PER_TARGET))
