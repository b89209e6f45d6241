# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The bounds of a quota, from the operator's settings, and the admission limit.

Three figures apply to a workspace, in requests per window. The *limit* is its quota.
The *bound* is the operator's maximum. The *admission limit* lies between them; all
entries together admit requests up to it. If a network partition and a steep rise of
demand coincide, usage can exceed the bound.

Owns no state. Relies on the rate and burst of the workspace.
"""

import msgspec

from leverdoor.model.resources import Workspace

__all__ = ["QuotaBounds"]

ADMITTED_MARGIN_SHARE = 0.4
"""Share of the margin between limit and bound that the admission limit includes.

The rest allows for requests that several entries admit at the same time, before their
usage is reported. With a greater value, usage exceeds the bound in a network partition.
With a smaller one, requests of a workspace are refused near its limit.
"""
UNKNOWN_USE_MARGIN_SHARE = 0.5
"""Share of the margin above the admission limit that all entries together may use
while the usage before a restart of all entries is unknown.

The other half allows for usage that is not yet reported. With a greater value, a
workspace that had exhausted its quota before the restart exceeds its bound. With a
smaller one, more requests are refused after the restart.
"""


class QuotaBounds(msgspec.Struct, frozen=True):
    """The operator's bounds on usage beyond a quota."""

    window_s: float = 5.0
    """Length of the sliding window of usage, in seconds."""
    overshoot: float = 0.1
    """Fraction of a quota by which usage may exceed it."""
    slack: float = 20.0
    """Requests per window by which usage may exceed a quota, in addition to
    `overshoot`."""

    def limit(self, workspace: Workspace) -> float:
        """Return the quota of a workspace, in requests per window."""
        return workspace.rate_per_s * self.window_s + workspace.burst

    def bound(self, workspace: Workspace) -> float:
        """Return the operator's maximum, in requests per window."""
        return self.limit(workspace) * (1 + self.overshoot) + self.slack

    def admission_limit(self, workspace: Workspace) -> float:
        """Return the requests per window that all entries together admit."""
        limit = self.limit(workspace)
        return limit + ADMITTED_MARGIN_SHARE * (self.bound(workspace) - limit)

    def admission_limit_for_known_usage(
        self, workspace: Workspace, usage_known_for_s: float
    ) -> float:
        """Return the admission limit if usage is known for a part of the window only.

        After a restart of all entries, the usage before it is unknown. If the quota was
        used up at an even rate, the reduced limit keeps usage within the bound.

        Args:
          workspace: the workspace.
          usage_known_for_s: how long all usage has been known, in seconds.
        """
        admission_limit = self.admission_limit(workspace)
        fraction = usage_known_for_s / self.window_s
        if fraction >= 1.0:
            return admission_limit
        margin = self.bound(workspace) - admission_limit
        return min(
            admission_limit * fraction + margin * UNKNOWN_USE_MARGIN_SHARE,
            admission_limit,
        )
