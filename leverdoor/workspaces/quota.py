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

from collections.abc import Iterable
from random import Random

from leverdoor.errors import Code, Refusal
from leverdoor.model.resources import Workspace
from leverdoor.workspaces.room import (
    EVEN_PART,
    OthersUse,
    QuotaBounds,
    Room,
    stretch,
)
from leverdoor.workspaces.usage import UsageWindow

__all__ = ["HOLD_S", "ISOLATED_S", "Quotas"]

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
LEAST_EXPECTED = 0.15
"""Part of a quota taken for its use where less is known to be used: a start."""
LEAST_RETRY_S = 0.2
"""Least time after which a refused request should come back, in seconds; chosen."""


UNHEARD = OthersUse({}, 0.0, 0.0, 0.0)
"""Stands for what others used before anything was heard of it."""


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
        self._reported: dict[str, int] = {}
        """Own use as last told to others."""
        self._kept: dict[str, int] = {}
        """The same at the time when the others were last heard."""

    # What is known.

    def receive(self, others: OthersUse, now: float) -> None:
        """Take what the others used, if there is any that is heard.

        One that merges itself, and hears nobody, knows no more than at the last time:
        what all others may take is so near to a whole quota that the rest is chance.
        """
        if self.entries > 1 and others.silent >= self.entries - 1:
            return
        self._others = others
        self._heard_at = now - others.age_s
        self._kept = self._reported
        self._heard = True
        self._covered_from = min(self._covered_from, now - others.covered_s)

    def report(self, now: float) -> dict[str, int]:
        """Return the own use by workspace, to be told to the others."""
        self._reported = self._usage.totals(now)
        return self._reported

    def lived_s(self, now: float) -> float:
        """Return for how long this entry has counted, in seconds."""
        return now - self._began

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
            others = self._others.least_reported * planned
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
        reported = self._kept.get(workspace.name, 0)
        by_use = reported * stretch(room.planned, room.others + reported)
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
