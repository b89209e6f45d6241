# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What placement is asked for and what it answers."""

import msgspec

from leverdoor.errors import Code
from leverdoor.model.resources import Route, Target

__all__ = ["Placement", "PlacementRequest", "Rejection"]


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
    tried: set[str] = msgspec.field(default_factory=set)


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


class Rejection(msgspec.Struct, frozen=True):
    """Refuse it now; it was not run."""

    code: Code
    retry_after_ms: int
    reason: str
