# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which runs are cold, as their times show it.

A target answers about three times sooner when it has lately seen a request's
key. No target says so, and one entry sees only a part of what a target gets.
Run times fall into two clusters, though, so each answer tells afterwards
whether the run was cold. From that an entry learns how often a target forgets
keys that it was sent before, and how often the first, second, ... choice for a
key is cold for an entry that has not sent the key there itself.

Heartbeats also say which keys they had answered by another than the
key's first target, as short digests in heartbeats: the second entry that needs
such a target finds the key warm there.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable

import xxhash

from leverdoor.model.resources import Target

__all__ = ["RANKS", "SharedWarmth", "WarmthBook"]

RANKS = 4
"""Ranks of choices with a share each; further ones count as the last."""
TARGET_WEIGHT = 0.1
"""Weight of one run in a target's share; chosen, about the last ten runs."""
RANK_WEIGHT = 0.1
"""Weight of one run in a rank's share; chosen, about the last ten runs."""
FORGETS = 0.3
"""Share of cold runs among known keys from which a target is given no new ones.

It then keeps fewer keys than it is asked for. Chosen between the share of a
target that keeps all (0) and one that is asked in turn for twice what it
keeps (near 1).
"""

KEPT_S = 20.0
"""How long an answer counts as a sign that its key is warm.

Chosen: a key of the users' sites is asked for every 0.3 to 4 s in its region.
"""
REPEAT_AFTER_S = 5.0
"""Time after which the same answer is sent again; a quarter of `KEPT_S`."""
MOST_SENT = 64
"""Digests in one heartbeat at most: 320 bytes."""
MOST_KNOWN = 8_192
"""Digests kept; beyond what 65 entries tell in `KEPT_S` on the users' sites."""


class WarmthBook:
    """Shares of cold runs, by target and by rank of the choice."""

    def __init__(self) -> None:
        """Create an empty book."""
        self._targets: dict[str, float] = {}
        self._ranks: dict[tuple[str, str], list[float]] = {}

    def keep_only(self, names: set[str]) -> None:
        """Forget the targets that are gone."""
        for name in self._targets.keys() - names:
            del self._targets[name]

    def forgotten_share(self, target: Target) -> float:
        """Return the share of cold runs among keys sent to a target before."""
        return self._targets.get(target.name, 0.0)

    def forgets(self, target: Target) -> bool:
        """Return whether a target is asked for more keys than it keeps."""
        return self.forgotten_share(target) > FORGETS

    def cold_share(self, target: Target, rank: int, seen: bool) -> float:
        """Return how likely a run is cold.

        Args:
          target: where it would run.
          rank: place of the target in the order of its region for the key.
          seen: whether this entry had an answer for the key from there.
        """
        if seen:
            return self.forgotten_share(target)
        return self._of_ranks(target)[min(rank, RANKS - 1)]

    def learn(self, target: Target, rank: int, seen: bool, cold: bool) -> None:
        """Take a run whose time shows whether it was cold."""
        if seen:
            before = self.forgotten_share(target)
            self._targets[target.name] = before + TARGET_WEIGHT * (cold - before)
            return
        shares = self._of_ranks(target)
        place = min(rank, RANKS - 1)
        shares[place] += RANK_WEIGHT * (cold - shares[place])

    def _of_ranks(self, target: Target) -> list[float]:
        """Return the shares by rank of a target's service and region.

        All choices but the first are taken for cold until runs show otherwise.
        """
        place = (target.service, target.region)
        found = self._ranks.get(place)
        if found is None:
            found = self._ranks[place] = [0.0] + [1.0] * (RANKS - 1)
        return found


class SharedWarmth:
    """Keys that were answered by other targets than their first, of all entries."""

    def __init__(self) -> None:
        """Create it knowing nothing."""
        self._recent: deque[tuple[float, int]] = deque(maxlen=MOST_SENT)
        self._known: OrderedDict[int, float] = OrderedDict()

    def note(self, target: Target, key: str, now: float) -> None:
        """Note an answer for the next heartbeats, unless it was sent lately."""
        digest = _digest(target, key)
        at = self._known.get(digest)
        if at is None or now - at > REPEAT_AFTER_S:
            self._recent.append((now, digest))
        self._remember(digest, now)

    def recent(self, span_s: float, now: float) -> list[int]:
        """Return the digests of the last seconds, for a heartbeat."""
        return [digest for at, digest in self._recent if now - at <= span_s]

    def receive(self, digests: Iterable[int], now: float) -> None:
        """Take the digests of another entry's heartbeat."""
        for digest in digests:
            self._remember(digest, now)

    def warm(self, target: Target, key: str, since: float, now: float) -> bool:
        """Return whether an entry had an answer for a key from a target.

        Args:
          target: which one.
          key: the key.
          since: when the target last was empty; what was heard before is void.
          now: monotonic time in seconds.
        """
        at = self._known.get(_digest(target, key))
        return at is not None and at >= since and now - at <= KEPT_S

    def _remember(self, digest: int, now: float) -> None:
        self._known[digest] = now
        self._known.move_to_end(digest)
        if len(self._known) > MOST_KNOWN:
            self._known.popitem(last=False)


def _digest(target: Target, key: str) -> int:
    """Return 32 bits for a key at a target; a clash costs one cold run."""
    return xxhash.xxh32_intdigest(f"{target.name}|{key}".encode())
