# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Stores digests of keys that are warm at a target other than their first one.

One entry sees only part of a target's requests. Heartbeats therefore carry a short
digest for each answer by a target other than the key's first one. Other entries can
then place the key at this target without a cold run. The digests of requested rests
(peer_rests.py) are stored and sent in the same way.

Owns the digests that this entry sends and those of all entries. Both are lost with the
process and restored within seconds. Relies on heartbeats (entry/exchange); a lost
digest costs a rejection or one cold run.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable

import msgspec
import xxhash

from leverdoor.model.resources import Target

__all__ = ["MAX_SENT_DIGESTS", "WARM_KEY_TTL_S", "WarmKeyDigests", "target_key_digest"]

WARM_KEY_TTL_S = 20.0
"""Period after an answer in which its key counts as warm, in seconds.

Suits keys that are requested every 0.3 to 4 s in their region. With a greater value,
the target may have evicted the key. With a smaller one, requests are rejected at a
target where their key is warm.
"""
RESEND_AFTER_S = 5.0
"""Period after which a digest is sent again, in seconds; a quarter of its lifetime.

Allows three more transmissions before the first one expires. A smaller value makes
heartbeats longer.
"""
MAX_SENT_DIGESTS = 64
"""Maximum digests in one heartbeat, 320 bytes as encoded.

A greater value makes heartbeats longer. With a smaller one, the oldest digests of a
busy entry are dropped unsent.
"""
MAX_KNOWN_DIGESTS = 8_192
"""Maximum digests stored; the least recently renewed one is evicted.

Exceeds what 65 entries send in `WARM_KEY_TTL_S`.
"""


class _QueuedDigest(msgspec.Struct, frozen=True):
    """A digest to be sent in heartbeats."""

    at: float
    """Monotonic time at which it was recorded, in seconds."""
    digest: int


class WarmKeyDigests:
    """Digests of keys that other targets than their first answered, of all entries."""

    def __init__(self) -> None:
        """Create it without digests."""
        self._queue: deque[_QueuedDigest] = deque(maxlen=MAX_SENT_DIGESTS)
        self._known: OrderedDict[int, float] = OrderedDict()
        """Monotonic time at which each digest was last renewed, in seconds."""

    def record_answer(self, target: Target, key: str, now: float) -> None:
        """Record a target's answer for a key, and queue its digest for heartbeats."""
        self.record_digest(target_key_digest(target.name, key), RESEND_AFTER_S, now)

    def record_digest(self, digest: int, resend_after_s: float, now: float) -> None:
        """Record a digest, and queue it unless it was recorded within `resend_after_s`.

        Args:
          digest: 32 bits.
          resend_after_s: age above which the digest is queued again, in seconds.
          now: monotonic time in seconds.
        """
        recorded_at = self._known.get(digest)
        if recorded_at is None or now - recorded_at > resend_after_s:
            self._queue.append(_QueuedDigest(now, digest))
        self._renew(digest, now)

    def last_recorded_at(self, digest: int) -> float | None:
        """Return when this or another entry last recorded a digest, None if unknown."""
        return self._known.get(digest)

    def queued_within(self, span_s: float, now: float) -> list[int]:
        """Return the digests queued in the last `span_s` seconds, for a heartbeat."""
        return [queued.digest for queued in self._queue if now - queued.at <= span_s]

    def receive(self, digests: Iterable[int], now: float) -> None:
        """Record the digests of another entry's heartbeat."""
        for digest in digests:
            self._renew(digest, now)

    def is_warm(self, target: Target, key: str, since: float, now: float) -> bool:
        """Return whether a target recently answered a key for any entry.

        Args:
          target: the target.
          key: the key.
          since: monotonic time at which the target's cache was last empty, in
            seconds; earlier answers are ignored.
          now: monotonic time in seconds.
        """
        recorded_at = self._known.get(target_key_digest(target.name, key))
        return (
            recorded_at is not None
            and recorded_at >= since
            and now - recorded_at <= WARM_KEY_TTL_S
        )

    def _renew(self, digest: int, now: float) -> None:
        """Record a digest as the most recently renewed one."""
        self._known[digest] = now
        self._known.move_to_end(digest)
        if len(self._known) > MAX_KNOWN_DIGESTS:
            self._known.popitem(last=False)


def target_key_digest(target: str, key: str) -> int:
    """Return a 32-bit digest of a target name and a key.

    A hash collision costs one cold run.
    """
    return xxhash.xxh32_intdigest(f"{target}|{key}".encode())
