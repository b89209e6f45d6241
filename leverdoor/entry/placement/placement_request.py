# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What placement is asked for and what it answers."""

import msgspec

from leverdoor.model.resources import Route, Target, Workspace

__all__ = ["Placement", "PlacementRequest"]


class PlacementRequest(msgspec.Struct):
    """A request as placement sees it."""

    request_id: str
    route: Route
    service: str
    key: str
    version: str
    """The configuration by which it was routed."""
    arrived: float
    until: float
    """Loop time at which it is given up, in seconds."""
    workspace: Workspace | None = None
    """Whose request it is; None without workspaces, or without a key."""
    tried: set[str] = msgspec.field(default_factory=set)

    @property
    def priority(self) -> int:
        """Return its rank, 0 for the most urgent; the workspace's goes first."""
        if self.workspace is None or self.workspace.priority is None:
            return self.route.priority
        return self.workspace.priority

    def may_run_in(self, region: str) -> bool:
        """Return whether a region is a home of its route and of its workspace."""
        return at_home(self.route.homes, region) and (
            self.workspace is None or at_home(self.workspace.homes, region)
        )


def at_home(homes: list[str], region: str) -> bool:
    """Return whether a region is among homes, of which none means all."""
    return not homes or region in homes


class Placement(msgspec.Struct, frozen=True):
    """Send it to this target; it is counted there already."""

    target: Target
    rank: int
    """Place of the target in its region's order for the key."""
    seen: bool
    """Whether an entry had an answer for the key from there."""
    cold_share: float
    """How likely the run was taken to be cold."""
    expected_ms: float
    load: float
    """Requests that it was believed to have, of all entries, this one aside."""
    load_age_ms: int
    """Age of the newest report or heartbeat about the load; -1 if there is none."""
    reason: str
