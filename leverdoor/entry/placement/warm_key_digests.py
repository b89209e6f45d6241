# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which keys are warm at another target than their first, over all entries.

One entry sees only a part of a target's requests. Heartbeats carry, as short digests,
which keys were answered by another than the key's first target: the second entry that
needs such a target knows that the key is warm there.

Owns the digests that this entry sends and those that all entries sent; both are lost
with the process and are back within seconds. Relies on heartbeats (entry/exchange);
a digest that is lost costs a refusal or one cold run.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable

import msgspec
import xxhash

from leverdoor.model.resources import Target

__all__ = ["WARM_KEY_TTL_S", "MAX_SENT_DIGESTS", "WarmKeyDigests", "target_digest"]

WARM_KEY_TTL_S = 20.0
"""How long an answer counts as a sign that its key is warm, in seconds.

For keys that are requested each 0.3 to 4 s in their region. Greater: the target may
have dropped the key. Smaller: the key is refused at a target where it is warm.
"""
RESEND_AFTER_S = 5.0
"""Time after which the same answer is sent again, in seconds; a quarter of `WARM_KEY_TTL_S`.

Three more chances before the first one is void. Smaller: longer heartbeats.
"""
MAX_SENT_DIGESTS = 64
"""Digests in one heartbeat at most: 320 bytes.

Greater: longer heartbeats. Smaller: a busy entry's oldest ones are not sent.
"""
MAX_KNOWN_DIGESTS = 8_192
"""Digests kept: beyond what 65 entries send in `WARM_KEY_TTL_S`. The one that was renewed
longest ago goes first."""


class _Sending(msgspec.Struct, frozen=True):
    """One digest that goes into heartbeats."""

    at: float
    """Monotonic time of the answer, in seconds."""
    digest: int


class WarmKeyDigests:
    """Keys that were answered by other targets than their first, of all entries."""

    def __init__(self) -> None:
        """Create it knowing nothing."""
        self._recent: deque[_Sending] = deque(maxlen=MAX_SENT_DIGESTS)
        self._known: OrderedDict[int, float] = OrderedDict()
        """When each digest was last renewed, monotonic time in seconds."""

    def record_answer(self, target: Target, key: str, now: float) -> None:
        """Note an answer for the next heartbeats, unless it was sent lately."""
        self.record_digest(target_digest(target.name, key), RESEND_AFTER_S, now)

    def record_digest(self, digest: int, again_after_s: float, now: float) -> None:
        """Note a digest for the next heartbeats, unless it was noted lately.

        Args:
          digest: 32 bits.
          again_after_s: age from which on it is sent again, in seconds.
          now: monotonic time in seconds.
        """
        at = self._known.get(digest)
        if at is None or now - at > again_after_s:
            self._recent.append(_Sending(now, digest))
        self._remember(digest, now)

    def last_recorded_at(self, digest: int) -> float | None:
        """Return when a digest was last noted here or by another entry, if known."""
        return self._known.get(digest)

    def recent(self, span_s: float, now: float) -> list[int]:
        """Return the digests of the last seconds, for a heartbeat."""
        return [
            sending.digest for sending in self._recent if now - sending.at <= span_s
        ]

    def receive(self, digests: Iterable[int], now: float) -> None:
        """Take the digests of another entry's heartbeat."""
        for digest in digests:
            self._remember(digest, now)

    def is_warm(self, target: Target, key: str, since: float, now: float) -> bool:
        """Return whether an entry had an answer for a key from a target.

        Args:
          target: which one.
          key: the key.
          since: when the target last was empty; older answers are void.
          now: monotonic time in seconds.
        """
        at = self._known.get(target_digest(target.name, key))
        return at is not None and at >= since and now - at <= WARM_KEY_TTL_S

    def _remember(self, digest: int, now: float) -> None:
        self._known[digest] = now
        self._known.move_to_end(digest)
        if len(self._known) > MAX_KNOWN_DIGESTS:
            self._known.popitem(last=False)


def target_digest(target: str, key: str) -> int:
    """Return 32 bits for a key at a target, by its name; a clash costs one cold run."""
    return xxhash.xxh32_intdigest(f"{target}|{key}".encode())
