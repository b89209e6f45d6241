# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The input and the result of placement; times are monotonic, of the event loop.

Owns no state; relies on the resources of the configuration.
"""

from typing import Literal

import msgspec

from leverdoor.model.resources import Route, Target, Workspace

__all__ = ["Placement", "PlacementReason", "PlacementRequest", "RoomEstimate"]

PlacementReason = Literal["share", "overflow", "cold"]
"""Why a target was selected, as logged.

- share: the target is in the region that the shares assign to the key;
- overflow: it is in another region, because the targets of the key's region are full;
- cold: it is in its warm-up, because all other targets are full.
"""


class PlacementRequest(msgspec.Struct):
    """A request to be placed."""

    request_id: str
    route: Route
    service: str
    key: str
    """Affinity key; requests with equal keys prefer the same target."""
    version: str
    """Version of the configuration that routed it."""
    arrived_at: float
    """Time at which the entry received it, in seconds."""
    expires_at: float
    """Time at which the entry abandons it, in seconds."""
    workspace: Workspace | None = None
    """The requesting workspace; None without workspaces, or without an API key."""
    tried_targets: set[str] = msgspec.field(default_factory=set)
    """Names of the targets of earlier attempts."""
    targets_without_room: set[str] = msgspec.field(default_factory=set)
    """Names of the targets whose limiter rejected it."""
    single_region: bool = False
    """Whether one region only may serve it."""
    first_target_only: bool = False
    """Whether only the first usable target of its key may serve it."""
    fingerprint: int = 0
    """Hash that identifies repetitions of the request; 0 until its body is read."""
    deadline_ms: int = 0
    """Time that the caller said it will wait, in ms; 0 if unknown."""

    @property
    def priority(self) -> int:
        """The workspace's priority, or else the route's; 0 is the most urgent."""
        if self.workspace is None or self.workspace.priority is None:
            return self.route.priority
        return self.workspace.priority

    def may_run_in(self, region: str) -> bool:
        """Return whether a region is a home of its route and its workspace."""
        return _is_home(self.route.homes, region) and (
            self.workspace is None or _is_home(self.workspace.homes, region)
        )


def _is_home(homes: list[str], region: str) -> bool:
    """Return whether a region is one of some homes; an empty list allows all."""
    return not homes or region in homes


class Placement(msgspec.Struct, frozen=True):
    """The target selected for a request; the request counts as in flight there."""

    target: Target
    rank: int
    """Index of the target among the usable, untried candidates of the key.

    RANKS - 1 if the reason is overflow, RANKS if it is cold (cold_run_rates.py).
    """
    seen: bool
    """Whether any entry received an answer for the key from the target."""
    cold_share: float
    """Estimated probability of a cold run."""
    expected_ms: float
    """Estimated duration of wait and run."""
    load: float
    """Estimated requests of all entries at the target, without this one."""
    load_age_ms: int
    """Time since the last report or count of that load arrived, in ms.

    The counts in it may be older; -1 if no report or count has arrived.
    """
    reason: PlacementReason
    limit_per_s: float | None = None
    """Last known limit on the requests a second of all entries; None for no limit."""
    slowness: float = 1.0
    """Duration of work at the target when it was selected, relative to usual."""


class RoomEstimate(msgspec.Struct, frozen=True):
    """When a request that found no room may find some; times in seconds."""

    time_to_room_s: float
    """Time until enough of the load at the best target of its key has drained."""
    warm_run_s: float
    """Mean duration of a warm run of such requests."""
    interval_s: float
    """Mean time between two ends of such runs in the region, all slots busy."""
