# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What is left of a quota, as one entry knows it, and how much of it it may take."""

from collections.abc import Mapping

import msgspec

from leverdoor.model.resources import Workspace

__all__ = ["EVEN_PART", "OthersUse", "QuotaBounds", "Room", "stretch"]

PLANNED_SPARE = 0.3
"""Part of the spare between a limit and its bound that is planned with.

The rest is for entries that take the same room before they hear of each other: with
0.25 in place of 0.4 a cut and 4.1 times the demand in the same second reached 1.03 of
the bound in place of 1.05 (74 entries, benchmarks/quotas.py).
"""
EVEN_PART = 0.5
"""Part of a quota that is dealt evenly where entries don't know of each other; the
rest goes by their use, which may be about to change. 0.25 made no difference: 0.0232
in place of 0.0196 refused of a workspace at its whole rate, 1.03 in place of 1.02 of
the bound in a cut (74 entries, benchmarks/quotas.py)."""
TAKEN_AT_ONCE = 0.35
"""Part of a quota that all entries take before they hear how much the others took.

A cut is noticed after up to 1.2 s; until then each side takes the other's room too.
0.15, 0.25, 0.35 and 0.5 refuse 0.046, 0.020, 0.013 and 0.013 while a workspace asks
for its whole rate, and reach 1.11, 1.14, 1.20 and 1.20 of the bound when a cut and 7.5
times the demand come in the same second (74 entries, benchmarks/quotas.py).
"""
PRIOR_USE = 0.1
"""Requests that each entry is taken to have had besides, so that the parts add up to
one also where nobody had any; chosen."""
FOUR_FREE_STEP = 5.0
"""How many times the expected requests the room must hold for four of each entry to
be free. With 7.5, 4 and 2 for the three a workspace of the middle that asks for nearly
its whole quota had 0.16 of it refused in place of 0.09 (74 entries,
benchmarks/quotas.py)."""
TWO_FREE_STEP = 2.0
"""The same for two requests of each entry.

At 74 entries and 8 requests a second of a workspace one entry gets two within 0.8 s
in 0.4% of all cases.
"""
ONE_FREE_STEP = 0.5
"""The same for one; below, an entry takes its part by chance."""
MOST_STRETCH = 4.0
"""Times its use that one who hears nobody may take at most, and others reserve: one
request in a quiet time must not become a claim on a whole quota."""


class QuotaBounds(msgspec.Struct, frozen=True):
    """How far the use of a quota may go beyond it, as the operator's bounds say."""

    window_s: float = 5.0
    """Length of the sliding windows in which use is counted."""
    overshoot: float = 0.1
    """Part of a quota by which it may be passed."""
    slack: float = 20.0
    """Requests by which it may be passed besides."""

    def limit(self, workspace: Workspace) -> float:
        """Return the requests of a window that a workspace is allowed."""
        return workspace.rate_per_s * self.window_s + workspace.burst

    def bound(self, workspace: Workspace) -> float:
        """Return the requests of a window that must never be passed."""
        return self.limit(workspace) * (1 + self.overshoot) + self.slack

    def planned(self, workspace: Workspace) -> float:
        """Return the requests of a window up to which all entries admit."""
        limit = self.limit(workspace)
        return limit + PLANNED_SPARE * (self.bound(workspace) - limit)


def stretch(planned: float, used: float) -> float:
    """Return how many times its use one may take who hears nobody, and is not heard.

    Each side of a cut keeps its part of the quota, so that the sides together stay
    within it, whatever is asked of them.

    Args:
      planned: requests of a window up to which all entries admit.
      used: requests of all entries when they last heard of each other.
    """
    return min(max(planned / max(used, 1.0), 1.0), MOST_STRETCH)


class OthersUse(msgspec.Struct, frozen=True):
    """What all other entries used of quotas, as far as they were heard."""

    use: Mapping[str, int]
    """Requests in the window by workspace."""
    age_s: float
    """Age of the oldest report in it, in seconds."""
    covered_s: float
    """For how long nothing of it can be missing, in seconds."""
    least_reported: float
    """Part of a quota below which a use may be left out."""
    silent: int = 0
    """How many others are silent: for each an even part is reserved besides."""


class Room(msgspec.Struct, frozen=True):
    """What is known of a workspace's use when a request arrives."""

    planned: float
    """Requests of a window up to which all entries together admit."""
    others: float
    """Requests of the other entries in the window, as last told."""
    own: int
    """Requests of this entry in the window."""
    recent: int
    """Those of them that what is known of the others' use may not go with: the last
    UNSEEN_S before it was heard, and all since."""
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
    def free(self) -> float:
        """Return what was left before the requests that others may not know of."""
        return self.planned - self.others - self.own + self.recent

    @property
    def allowance(self) -> float:
        """Return how many recent requests this entry may have."""
        before = self.own - self.recent
        live = self.entries - self.silent
        others = self.others * (live - 1) / max(self.entries - 1, 1)
        used = others + before + PRIOR_USE * live
        by_use = (before + PRIOR_USE) / used
        part = EVEN_PART / live + (1 - EVEN_PART) * by_use
        room = self.free
        if live > 1:
            room = min(room, TAKEN_AT_ONCE * self.planned)
        return self.expired + max(room * part, self._free_requests())

    def _free_requests(self) -> float:
        steps = self.free / self.expected
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
