# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Quotas of workspaces that hold over all entries, decided by each for itself.

An entry knows its own use of a quota exactly and the others' use as digests carry it,
some tenths of a second old. What the others took since then it cannot know; so it takes
no more in that time than its part of what was left (allowance.py). An entry that
receives no digests keeps a ceiling by its use, which the others reserve for it
(isolation.py). Nothing is exchanged on a request's path, and the store isn't called.

Owns this entry's use by workspace (usage.py), the others' use as it last arrived, and
its own as it was last reported. All of it is lost with the process; after a restart of
all entries the window is earned anew.

Relies on `report` and `receive` being called with each round of digests, on `entries`
being kept up to date, and on the operator's bounds (quota_bounds.py).
"""

from collections.abc import Iterable
from random import Random

from leverdoor.errors import Code, Refusal
from leverdoor.model.resources import Workspace
from leverdoor.workspaces.allowance import EVEN_SHARE, KnownUse
from leverdoor.workspaces.isolation import ISOLATED_S, IsolatedEntry
from leverdoor.workspaces.quota_bounds import QuotaBounds
from leverdoor.workspaces.remote_usage import NOTHING_KNOWN, RemoteUsage
from leverdoor.workspaces.usage import UsageWindow

__all__ = ["Quotas"]

UNSEEN_S = 0.6
"""Age of a use when digests arrive with it, at most, in seconds.

They bring it within 0.79 s (p99, 300 entries and 5% of datagrams lost,
benchmarks/knowledge.py), of which up to 0.4 s are the time since the last digest.
Greater: entries are refused for requests that others know of. Smaller: what others took
is overlooked.
"""
LEAST_EXPECTED = 0.15
"""Part of a quota that counts as its use where less is known to be used.

A start knows nothing. Greater: fewer requests are free. Smaller: an entry that has just
started lets too many through.
"""
LEAST_RETRY_AFTER_S = 0.2
"""Least time after which a refused request should come back, in seconds.

A round of heartbeats, before it nothing newer is known. Greater: callers wait while
there is some of the quota left. Smaller: they are refused again.
"""


def retry_after_s(
    excess: float, planned: float, window_s: float, chance: float
) -> float:
    """Return when a request beyond its quota should come back, in seconds.

    When the excess has left the window, if the plan is used evenly; spread, so that
    refused requests come back one by one.

    Args:
      excess: requests beyond what may be planned with, this one included.
      planned: requests of a window up to which all entries admit.
      window_s: length of the window, in seconds.
      chance: a random number of [0, 1).
    """
    return max(excess * window_s / planned, LEAST_RETRY_AFTER_S) + UNSEEN_S * chance


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
        self._known_since = now - bounds.window_s if first_start else now
        """Since when all use is known here."""
        self._others = NOTHING_KNOWN
        self._others_at = now
        """When the others' use was as it is known, or when this began."""
        self._received = False
        """Whether any of the others' use has arrived in this incarnation."""
        self.entries = 1
        """How many entries there are, this one included."""
        self._reported: dict[str, int] = {}
        """Own use as last reported to the others."""
        self._reported_before = self._reported
        """The same at the time when the others' use last arrived."""

    def receive(self, others: RemoteUsage, now: float) -> None:
        """Take what the others used, if any of them is not silent.

        An entry that merges the reports itself and gets none knows no more than at the
        last time: what all others may take is so near to a whole quota that the rest is
        chance.
        """
        if self.entries > 1 and others.silent >= self.entries - 1:
            return
        self._others = others
        self._others_at = now - others.age_s
        self._reported_before = self._reported
        self._received = True
        self._known_since = min(self._known_since, now - others.covered_s)

    def report(self, now: float) -> dict[str, int]:
        """Return the own use by workspace, to be reported to the others."""
        self._reported = self._usage.totals(now)
        return self._reported

    def tracked_s(self, now: float) -> float:
        """Return for how long this entry has counted, in seconds."""
        return now - self._began

    def admission_limits(self, workspaces: Iterable[Workspace]) -> dict[str, float]:
        """Return what is planned with for each of the workspaces that have a quota."""
        return {w.name: self._bounds.planned(w) for w in workspaces if w.rate_per_s}

    # Requests.

    def admit(self, workspace: Workspace, now: float) -> None:
        """Count a request of a workspace.

        Raises:
          Refusal: it is beyond the quota; the text has the figures.
        """
        if not workspace.rate_per_s:
            return
        known = self._known_use(workspace, now)
        chance = self._rng.random()
        if self._isolated(now):
            admitted = known.own + chance < self._ceiling(workspace, known, now)
        else:
            admitted = known.admits(chance)
        if not admitted:
            raise self._refusal(workspace, known, now)
        self._usage.add(workspace.name, now)

    def count_retry(self, workspace: Workspace, now: float) -> None:
        """Count a retry of a request that may have run, at another target."""
        if workspace.rate_per_s:
            self._usage.add(workspace.name, now)

    def refund(self, workspace: Workspace, at: float) -> None:
        """Take back a request that was not run, by the time of its admission."""
        if workspace.rate_per_s:
            self._usage.take_back(workspace.name, at)

    def _isolated(self, now: float) -> bool:
        """Return whether there are other entries and no digest came lately."""
        return now - self._others_at > ISOLATED_S and self.entries > 1

    def _known_use(self, workspace: Workspace, now: float) -> KnownUse:
        bounds = self._bounds
        name = workspace.name
        planned = bounds.planned(workspace)
        own = self._usage.within(name, bounds.window_s, now)
        silent = min(self._others.silent, self.entries - 1)
        others = self._use_of_others(name, planned, silent)
        used = max(own + others, LEAST_EXPECTED * planned)
        unseen_s = UNSEEN_S + (now - self._others_at if self.entries > 1 else 0.0)
        return KnownUse(
            planned=bounds.planned_if_known_for(workspace, now - self._known_since),
            others=others,
            own=own,
            recent=self._usage.within(name, unseen_s, now),
            entries=self.entries,
            expected=used * UNSEEN_S / bounds.window_s,
            silent=silent,
            expired=self._usage.expired(name, unseen_s, now),
        )

    def _use_of_others(self, name: str, planned: float, silent: int) -> float:
        """Return the others' use of a quota, with what is reserved for silent ones."""
        others: float = self._others.use.get(name, 0)
        if name not in self._others.use:
            others = self._others.least_reported * planned
        return others + EVEN_SHARE * planned * silent / self.entries

    def _ceiling(self, workspace: Workspace, known: KnownUse, now: float) -> float:
        """Return the own requests of a window that may not be passed in isolation."""
        reported = self._reported_before.get(workspace.name, 0)
        return IsolatedEntry(
            planned=known.planned,
            bound=self._bounds.bound(workspace),
            entries=self.entries,
            isolated_s=now - self._others_at,
            reported=reported if self._received else None,
            others=known.others,
        ).ceiling

    def _refusal(self, workspace: Workspace, known: KnownUse, now: float) -> Refusal:
        excess = max(known.others + known.own + 1 - known.planned, 0.0)
        wait_s = retry_after_s(
            excess,
            self._bounds.planned(workspace),
            self._bounds.window_s,
            self._rng.random(),
        )
        age_ms = round((now - self._others_at) * 1000)
        detail = (
            f"{workspace.name}: {known.own} here, {known.others} elsewhere "
            f"({age_ms} ms ago), of {known.planned:.0f}, part {known.allowance:.1f}"
        )
        return Refusal(Code.QUOTA_EXCEEDED, detail, retry_after_ms=round(wait_s * 1000))
