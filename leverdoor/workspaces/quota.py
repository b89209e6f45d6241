# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Quotas of workspaces that hold over all entries, decided by each for itself.

An entry knows its own use of a quota exactly and the others' use as digests tell it,
some tenths of a second old. What the others took since then it cannot know; so it
takes no more in that time than its part of the room that was left, by its part of
the use. Where there is plenty of room, a request or two are let through whatever the
part, since the use of hundreds of entries is sparse: one with a request in ten
seconds has a part of next to nothing, and needs a whole request.

An entry that hears nobody keeps what it had: a ceiling by its use when it was last
heard, which the others reserve for it. Nothing is asked of anyone on a request's
path, and nothing of the store.
"""

from collections.abc import Iterable, Mapping
from random import Random

import msgspec

from leverdoor.errors import Code, Refusal
from leverdoor.model.resources import Workspace
from leverdoor.workspaces.usage import UsageWindow

__all__ = [
    "EVEN_PART",
    "HOLD_S",
    "ISOLATED_S",
    "OthersUse",
    "QuotaBounds",
    "Quotas",
    "Room",
    "stretch",
]

PLANNED_SPARE = 0.3
"""Part of the spare between a limit and its bound that is planned with.

The rest is for entries that take the same room before they hear of each other.
"""
UNSEEN_S = 0.6
"""Age of a use when digests tell it, at most: they tell it within 0.79 s (p99, 300
entries and 5% of datagrams lost, benchmarks/knowledge.py), of which up to 0.4 s are
the time since the last digest."""
ISOLATED_S = 1.6
"""Time without any digest from which on an entry takes itself for cut off: four
digests lost in a row."""
HOLD_S = 20.0
"""How long the others reserve what a silent entry may take, in seconds; chosen, above
the 12 s for which VMs were seen to be cut off."""
MOST_STRETCH = 4.0
"""Times its use that one who hears nobody may take at most, and others reserve: one
request in a quiet time must not become a claim on a whole quota."""
EVEN_PART = 0.5
"""Part of a quota that is dealt evenly where entries don't know of each other; the
rest goes by their use, which may be about to change."""
TAKEN_AT_ONCE = 0.35
"""Part of a quota that all entries take before they hear how much the others took.

A cut is noticed after up to 1.2 s; until then each side takes the other's room too.
"""
PRIOR_USE = 0.1
"""Requests that each entry is taken to have had besides, so that the parts add up to
one also where nobody had any; chosen."""
FOUR_FREE_STEP = 7.5
"""How many times the expected requests the room must hold for four of each entry to
be free: the greatest step of a workspace's demand that was seen."""
TWO_FREE_STEP = 4.0
"""The same for two requests of each entry.

At 74 entries and 8 requests a second of a workspace one entry gets two within 0.8 s
in 0.4% of all cases.
"""
ONE_FREE_STEP = 2.0
"""The same for one; below, an entry takes its part by chance."""
LEAST_EXPECTED = 0.15
"""Part of a quota taken for its use where less is known to be used: a start."""
LEAST_RETRY_S = 0.2
"""Least time after which a refused request should come back, in seconds; chosen."""


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
    """How long ago the oldest word in it was told, in seconds."""
    covered_s: float
    """For how long anyone has counted, in seconds."""
    least_told: float
    """Part of a quota below which a use may be left out."""
    silent: int = 0
    """How many others are silent: for each an even part is reserved besides."""


UNHEARD = OthersUse({}, 0.0, 0.0, 0.0)
"""Stands for what others used before anything was heard of it."""


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


class Quotas:
    """What workspaces used, and whether one more request is within their quota."""

    def __init__(
        self, bounds: QuotaBounds, rng: Random, now: float, *, first_start: bool
    ) -> None:
        """Create it.

        Args:
          bounds: how far use may go beyond a quota.
          rng: where all chance comes from.
          now: monotonic time in seconds.
          first_start: whether there was nothing before: no use that is not known.
        """
        self._bounds = bounds
        self._rng = rng
        self._usage = UsageWindow(bounds.window_s, UNSEEN_S + ISOLATED_S)
        self._began = now
        self._covered_from = now - bounds.window_s if first_start else now
        """Since when all use is known here."""
        self._others = UNHEARD
        self._heard_at = now
        self._heard = False
        """Whether anything was heard in this life."""
        self.entries = 1
        """How many entries there are, this one included."""
        self._told: dict[str, int] = {}
        """Own use as last told to others."""
        self._kept: dict[str, int] = {}
        """The same at the time when the others were last heard."""

    # What is known.

    def hear(self, others: OthersUse, now: float) -> None:
        """Take what the others used, if there is any that is heard.

        One that merges itself, and hears nobody, knows no more than at the last time:
        what all others may take is so near to a whole quota that the rest is chance.
        """
        if self.entries > 1 and others.silent >= self.entries - 1:
            return
        self._others = others
        self._heard_at = now - others.age_s
        self._kept = self._told
        self._heard = True
        self._covered_from = min(self._covered_from, now - others.covered_s)

    def report(self, now: float) -> dict[str, int]:
        """Return the own use by workspace, to be told to the others."""
        self._told = self._usage.totals(now)
        return self._told

    def lived_s(self, now: float) -> float:
        """Return for how long this entry has counted, in seconds."""
        return now - self._began

    def used(self, name: str, now: float) -> float:
        """Return a workspace's use by all entries in the window, as known here."""
        own = self._usage.within(name, self._bounds.window_s, now)
        return own + self._others.use.get(name, 0)

    # What is decided.

    def admit(self, workspace: Workspace, now: float) -> None:
        """Count a request of a workspace.

        Raises:
          Refusal: it is beyond the quota; the text tells by what.
        """
        if not workspace.rate_per_s:
            return
        room = self._room(workspace, now)
        isolated = now - self._heard_at > ISOLATED_S and self.entries > 1
        chance = self._rng.random()
        if isolated:
            admitted = room.own + chance < self._ceiling(workspace, room, now)
        else:
            admitted = room.admits(chance)
        if not admitted:
            raise self._refusal(workspace, room, now)
        self._usage.add(workspace.name, now)

    def plans(self, workspaces: Iterable[Workspace]) -> dict[str, float]:
        """Return what is planned with for each of the workspaces that have a quota."""
        return {w.name: self._bounds.planned(w) for w in workspaces if w.rate_per_s}

    def again(self, workspace: Workspace, now: float) -> None:
        """Count a request once more, which is sent to another target."""
        if workspace.rate_per_s:
            self._usage.add(workspace.name, now)

    def refund(self, workspace: Workspace, at: float) -> None:
        """Take back a request that was not run, by the time of its admission."""
        if workspace.rate_per_s:
            self._usage.take_back(workspace.name, at)

    def _room(self, workspace: Workspace, now: float) -> Room:
        bounds = self._bounds
        name = workspace.name
        planned = bounds.planned(workspace)
        own = self._usage.within(name, bounds.window_s, now)
        others: float = self._others.use.get(name, 0)
        if name not in self._others.use:
            others = self._others.least_told * planned
        silent = min(self._others.silent, self.entries - 1)
        others += EVEN_PART * planned * silent / self.entries
        used = max(own + others, LEAST_EXPECTED * planned)
        unseen_s = UNSEEN_S + (now - self._heard_at if self.entries > 1 else 0.0)
        return Room(
            planned=self._covered(workspace, planned, now),
            others=others,
            own=own,
            recent=self._usage.within(name, unseen_s, now),
            entries=self.entries,
            expected=used * UNSEEN_S / bounds.window_s,
            silent=silent,
            expired=self._usage.expired(name, unseen_s, now),
        )

    def _covered(self, workspace: Workspace, planned: float, now: float) -> float:
        """Return what may be planned with while part of the window is unknown.

        After a restart of all entries nobody knows what was used before. A quota
        that was used up evenly stays within its bound.
        """
        part = (now - self._covered_from) / self._bounds.window_s
        if part >= 1.0:
            return planned
        spare = self._bounds.bound(workspace) - planned
        return min(planned * part + spare / 2, planned)

    def _ceiling(self, workspace: Workspace, room: Room, now: float) -> float:
        """Return what an entry that hears nobody may take in a window."""
        if now - self._heard_at > HOLD_S:
            spare = self._bounds.bound(workspace) - room.planned
            return spare / 2 / self.entries
        even = room.planned / self.entries
        if not self._heard:
            return EVEN_PART * even
        told = self._kept.get(workspace.name, 0)
        by_use = told * stretch(room.planned, room.others + told)
        return max(even, EVEN_PART * even + (1 - EVEN_PART) * by_use)

    def _refusal(self, workspace: Workspace, room: Room, now: float) -> Refusal:
        over = max(room.others + room.own + 1 - room.planned, 0.0)
        wait_s = over * self._bounds.window_s / self._bounds.planned(workspace)
        wait_s = max(wait_s, LEAST_RETRY_S) + UNSEEN_S * self._rng.random()
        age_ms = round((now - self._heard_at) * 1000)
        detail = (
            f"{workspace.name}: {room.own} here, {room.others} elsewhere "
            f"({age_ms} ms ago), of {room.planned:.0f}, part {room.allowance:.1f}"
        )
        return Refusal(Code.QUOTA_EXCEEDED, detail, retry_after_ms=round(wait_s * 1000))
