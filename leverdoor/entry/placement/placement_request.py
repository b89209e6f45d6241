# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The input and the result of placement; all times are of the loop's clock.

Owns no state; relies on the resources of the configuration.
"""

from typing import Literal

import msgspec

from leverdoor.model.resources import Route, Target, Workspace

__all__ = ["Placement", "PlacementReason", "PlacementRequest"]

PlacementReason = Literal["share", "overflow", "cold"]
"""Why a target was chosen, as logged: in the region of its key; in another region, as
those are full; in its warm-up, as all others are full."""


class PlacementRequest(msgspec.Struct):
    """A request as placement sees it."""

    request_id: str
    route: Route
    service: str
    key: str
    version: str
    """The configuration by which it was routed."""
    arrived_at: float
    """Time at which the entry took it in, in seconds."""
    expires_at: float
    """Time at which it is given up, in seconds."""
    workspace: Workspace | None = None
    """Whose request it is; None without workspaces, or without a key."""
    tried_targets: set[str] = msgspec.field(default_factory=set)
    """Names of the targets that earlier attempts went to."""
    targets_without_room: set[str] = msgspec.field(default_factory=set)
    """Names of the limited targets that had no room for it."""
    fingerprint: int = 0
    """By which it is known when it comes again; 0 until its body was read."""

    @property
    def priority(self) -> int:
        """Return its priority, 0 for the most urgent; the workspace's goes first."""
        if self.workspace is None or self.workspace.priority is None:
            return self.route.priority
        return self.workspace.priority

    def may_run_in(self, region: str) -> bool:
        """Return whether a region is a home of its route and of its workspace."""
        return _is_home(self.route.homes, region) and (
            self.workspace is None or _is_home(self.workspace.homes, region)
        )


def _is_home(homes: list[str], region: str) -> bool:
    """Return whether a region is among homes, of which none means all."""
    return not homes or region in homes


class Placement(msgspec.Struct, frozen=True):
    """Send it to this target; it is counted there already."""

    target: Target
    rank: int
    """Place of the target in its region's order for the key, 0 for the first; the
    greatest for overflow and warm-up."""
    seen: bool
    """Whether an entry had an answer for the key from there."""
    cold_share: float
    """Likelihood of a cold run, as estimated."""
    expected_ms: float
    """Wait and run, as estimated."""
    load: float
    """Estimated requests there, of all entries, this one aside."""
    load_age_ms: int
    """Time since the last report or digest of that load arrived, in ms; the counts in
    it may be older. -1 if none has arrived."""
    reason: PlacementReason
    limit_per_s: float | None = None
    """Requests a second that the target takes from all entries, as last known; None
    for no limit."""
