# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""How much of what is left of a quota one entry may take before others know of it.

The rule is `KnownUse.admits`: below the plan, and within this entry's allowance. The
allowance is a part of what is left, half of it evenly and half by use; where much is
left, some requests are free, since the use of hundreds of entries is sparse: one with a
request in ten seconds has a part of next to nothing, and needs a whole request.

Owns no state. Relies on the own use being exact (usage.py) and on the others' use being
known within some tenths of a second (others_use.py).
"""

import msgspec

__all__ = ["EVEN_SHARE", "KnownUse"]

EVEN_SHARE = 0.5
"""Part of a quota that is dealt evenly where entries don't know of each other; the rest
goes by their use, which may be about to change.

Greater: an entry with much of the use is refused while others leave theirs. Smaller:
one whose use begins is refused. 0.25 made no difference: 0.0232 in place of 0.0196
refused of a workspace at its whole rate, 1.03 in place of 1.02 of the bound in a cut
(74 entries, benchmarks/quotas.py).
"""
TAKEN_AT_ONCE = 0.35
"""Part of a quota that all entries take before they know how much the others took.

A cut is noticed after up to 1.2 s; until then each side takes what is left to the other
too. Greater: more above the bound then. Smaller: more refusals without a cut. 0.15,
0.25, 0.35 and 0.5 refuse 0.046, 0.020, 0.013 and 0.013 while a workspace requests its
whole rate, and reach 1.11, 1.14, 1.20 and 1.20 of the bound when a cut and 7.5 times
the demand come in the same second (74 entries, benchmarks/quotas.py).
"""
PRIOR_USE = 0.1
"""Requests that each entry is taken to have had besides.

The parts add up to one also where nobody had any. Greater: parts are more even than the
use. Smaller: one request decides who has the whole part by use.
"""
FOUR_FREE_STEP = 5.0
"""Times the expected requests that must be left for four of each entry to be free.

With 7.5, 4 and 2 for the three steps a workspace of the middle that requests nearly its
whole quota had 0.16 of it refused in place of 0.09 (74 entries, benchmarks/quotas.py).
Greater: more refusals. Smaller: entries together take more than is left.
"""
TWO_FREE_STEP = 2.0
"""The same for two requests of each entry.

At 74 entries and 8 requests a second of a workspace one entry gets two within 0.8 s
in 0.4% of all cases.
"""
ONE_FREE_STEP = 0.5
"""The same for one; below, an entry takes its part by chance."""


class KnownUse(msgspec.Struct, frozen=True):
    """What one entry knows of a workspace's use when a request arrives.

    All requests are those of the quota's window, unless a field says otherwise.
    """

    planned: float
    """Requests up to which all entries together admit."""
    others: float
    """Requests of the other entries, as last reported."""
    own: int
    """Requests of this entry."""
    recent: int
    """Those of them that what is known of the others' use may not go with: the last
    UNSEEN_S before it arrived, and all since."""
    entries: int
    """How many entries there are, this one included."""
    expected: float
    """Requests of all entries that are expected within UNSEEN_S."""
    silent: int = 0
    """Others that are silent; what they may take is among what the others used."""
    expired: int = 0
    """Own requests that left the window in the time of the recent ones: what others
    know still counts them, and recent ones may take their place."""

    @property
    def left(self) -> float:
        """Return what was left before the requests that others may not know of."""
        return self.planned - self.others - self.own + self.recent

    @property
    def allowance(self) -> float:
        """Return how many recent requests this entry may have."""
        live = self.entries - self.silent
        left = self.left
        if live > 1:
            left = min(left, TAKEN_AT_ONCE * self.planned)
        return self.expired + max(left * self._part(live), self._free_requests())

    def _part(self, live: int) -> float:
        """Return this entry's part of what is left, of 1.

        Args:
          live: how many entries are not silent, this one included.
        """
        before = self.own - self.recent
        others = self.others * (live - 1) / max(self.entries - 1, 1)
        used = others + before + PRIOR_USE * live
        by_use = (before + PRIOR_USE) / used
        return EVEN_SHARE / live + (1 - EVEN_SHARE) * by_use

    def _free_requests(self) -> float:
        """Return how many requests each entry may have whatever its part."""
        steps = self.left / self.expected
        if steps >= FOUR_FREE_STEP:
            return 4.0
        if steps >= TWO_FREE_STEP:
            return 2.0
        return 1.0 if steps >= ONE_FREE_STEP else 0.0

    def admits(self, chance: float) -> bool:
        """Return whether one more request is within the allowance.

        Args:
          chance: a number of [0, 1), by which a part of a request counts.
        """
        if self.others + self.own >= self.planned:
            return False
        return self.recent + chance < self.allowance
