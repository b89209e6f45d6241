# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""How far the use of a quota may go beyond it: the operator's bounds, and the plan.

Three figures of a workspace, in requests a window: its *limit*, which it is allowed;
the *bound*, which must never be passed; and what is *planned*, up to which all entries
together admit. Owns no state.
"""

import msgspec

from leverdoor.model.resources import Workspace

__all__ = ["QuotaBounds"]

PLANNED_SPARE = 0.3
"""Part of the spare between a limit and its bound that is planned with.

The rest is for entries that take the same requests before their digests arrive.
Greater: the bound is passed sooner (with 0.4 a cut and 4.1 times the demand in the same
second reached 1.05 of it, with 0.25 1.03; 74 entries, benchmarks/quotas.py). Smaller:
workspaces are refused near their limit.
"""
UNKNOWN_SPARE = 0.5
"""Part of the spare above the plan that all entries together may take when they don't
know what was used.

Half, since the other half is for what is on its way. Greater: a workspace that used up
its quota before passes its bound. Smaller: more refusals after a restart of all
entries.
"""


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

    def planned_if_known_for(self, workspace: Workspace, known_s: float) -> float:
        """Return the same while all use is known for a part of the window only.

        After a restart of all entries nobody knows what was used before. A quota that
        was used up evenly stays within its bound.

        Args:
          workspace: whose quota.
          known_s: for how long all use has been known, in seconds.
        """
        planned = self.planned(workspace)
        part = known_s / self.window_s
        if part >= 1.0:
            return planned
        spare = self.bound(workspace) - planned
        return min(planned * part + spare * UNKNOWN_SPARE, planned)
