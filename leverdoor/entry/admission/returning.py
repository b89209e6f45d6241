# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Infers which requests returned after a refusal, from their deadlines.

A caller that returns sends a new request with what is left of its deadline. The first
requests of a route all name the same deadline; those that return name various smaller
ones. Each route therefore has a majority vote over exact values, of constant size.

Owns the vote of each route. It is lost with the process and repeated within
`MIN_VOTES` requests. Until then, and while deadlines vary, no request counts as
returning.
"""

import msgspec

from leverdoor.entry.placement.placement_request import PlacementRequest

__all__ = ["UsualDeadlines"]

TOLERANCE_MS = 100
"""Difference below the usual deadline from which a request counts as returning, in ms.

Less than the minimum delay of a return. With a greater value, requests that returned
early count as new. With a smaller one, so do requests count as returning whose caller
took long to connect.
"""
MIN_VOTES = 8
"""Votes from which a deadline counts as usual.

With a greater value, a route with few requests has no usual deadline. With a smaller
one, a few equal deadlines of requests that return make a usual deadline.
"""
MAX_VOTES = 64
"""Maximum votes of a value.

With a greater value, a change of the callers' deadline is noticed late. With a smaller
one, the usual deadline is lost while many requests return.
"""
LONGER_VOTES = 4
"""Votes that a longer deadline counts against the present one.

No request that returns has a longer deadline than a first one.
"""


class _Vote(msgspec.Struct):
    """The deadline that leads the vote of a route, and its votes."""

    deadline_ms: int
    votes: int = 1

    def add(self, deadline_ms: int) -> None:
        """Count one request."""
        if deadline_ms == self.deadline_ms:
            self.votes = min(self.votes + 1, MAX_VOTES)
            return
        self.votes -= LONGER_VOTES if deadline_ms > self.deadline_ms else 1
        if self.votes <= 0:
            self.deadline_ms = deadline_ms
            self.votes = 1


class UsualDeadlines:
    """The usual deadline of each route's first requests."""

    def __init__(self) -> None:
        """Create it without routes."""
        self._votes: dict[str, _Vote] = {}

    def keep_only(self, routes: set[str]) -> None:
        """Drop the routes that are not listed."""
        self._votes = {r: vote for r, vote in self._votes.items() if r in routes}

    def record(self, request: PlacementRequest) -> bool:
        """Count a request; return whether it returned after a refusal."""
        vote = self._votes.get(request.route.name)
        if vote is None:
            self._votes[request.route.name] = _Vote(request.deadline_ms)
            return False
        usual_ms = vote.deadline_ms if vote.votes >= MIN_VOTES else 0
        vote.add(request.deadline_ms)
        return request.deadline_ms < usual_ms - TOLERANCE_MS
