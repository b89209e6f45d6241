# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The bounds of a quota, from the operator's settings, and the admission limit.

A workspace has three limits, in requests per window. The *limit* is its quota. The
*bound* must never be exceeded. The *admission limit* lies between them; all entries
together admit requests up to it. Owns no state. Relies on the rate and burst of the
workspace.
"""

import msgspec

from leverdoor.model.resources import Workspace

__all__ = ["QuotaBounds"]

ADMITTED_MARGIN_SHARE = 0.3
"""Share of the margin between limit and bound that the admission limit includes.

The rest allows for entries that use the same part of the quota before their digests
arrive. With a greater value, usage exceeds the bound sooner: when a network partition
and 4.1 times the demand started in the same second, it reached 1.05 of the bound with
0.4 and 1.03 with 0.25 (74 entries, benchmarks/quotas.py). With a smaller one, requests
of a workspace are refused near its limit.
"""
UNKNOWN_USE_MARGIN_SHARE = 0.5
"""Share of the margin above the admission limit that all entries together may use
while previous usage is unknown.

The other half allows for usage that is not yet reported. With a greater value, a
workspace that had exhausted its quota exceeds its bound. A smaller one causes more
refusals after a restart of all entries.
"""


class QuotaBounds(msgspec.Struct, frozen=True):
    """The operator's bounds on usage beyond a quota."""

    window_s: float = 5.0
    """Length of the sliding window of usage, in seconds."""
    overshoot: float = 0.1
    """Fraction of a quota by which usage may exceed it."""
    slack: float = 20.0
    """Number of requests by which usage may exceed it in addition."""

    def limit(self, workspace: Workspace) -> float:
        """Return the quota of a workspace, in requests per window."""
        return workspace.rate_per_s * self.window_s + workspace.burst

    def bound(self, workspace: Workspace) -> float:
        """Return the requests per window that must never be exceeded."""
        return self.limit(workspace) * (1 + self.overshoot) + self.slack

    def admission_limit(self, workspace: Workspace) -> float:
        """Return the requests per window that all entries together admit."""
        limit = self.limit(workspace)
        return limit + ADMITTED_MARGIN_SHARE * (self.bound(workspace) - limit)

    def admission_limit_after(
        self, workspace: Workspace, complete_for_s: float
    ) -> float:
        """Return the admission limit if usage is known for a part of the window only.

        After a restart of all entries, previous usage is unknown. The reduced limit
        keeps a quota that was used up evenly within its bound.

        Args:
          workspace: the workspace.
          complete_for_s: how long all usage has been known, in seconds.
        """
        admission_limit = self.admission_limit(workspace)
        fraction = complete_for_s / self.window_s
        if fraction >= 1.0:
            return admission_limit
        margin = self.bound(workspace) - admission_limit
        return min(
            admission_limit * fraction + margin * UNKNOWN_USE_MARGIN_SHARE,
            admission_limit,
        )
