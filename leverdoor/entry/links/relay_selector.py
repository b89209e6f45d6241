# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Selects the peers that are asked for a stream to a target.

Candidates are live, serve, and have links to targets as far as is known. They are
ordered by the cost of their bytes: own failure domain, own region, the target's region,
others; at random among equals, which spreads the streams.

Owns the times until which peers that refused are not asked; lost with the process.
Relies on `Membership` for the entries.
"""

from collections.abc import Callable, Collection
from random import Random

from leverdoor.entry.membership.liveness import is_live
from leverdoor.entry.membership.member import SERVING, Member, member_id
from leverdoor.entry.membership.members import Membership
from leverdoor.model.resources import Target

__all__ = ["RelaySelector"]

MAX_PEERS = 3
"""Maximum peers asked for one stream.

Two may have lost their links at the same time, which others learn within a second. A
greater number delays the refusal if no peer can help.
"""
REFUSAL_PAUSE_S = 0.5
"""Time for which a peer that refused is not asked again, in seconds.

A few rounds, in which it reports its lost links or regains room. With a shorter time
each request asks refusing peers first.
"""
FAILURE_PAUSE_S = 1.0
"""Time for which a peer that could not be reached is not asked again, in seconds."""


class RelaySelector:
    """Orders the peers through which a target may be reached."""

    def __init__(
        self,
        membership: Membership,
        without_links: Callable[[float], Collection[int]],
        rng: Random,
    ) -> None:
        """Create the selector.

        Args:
          membership: the known entries.
          without_links: returns the `member_id` of other entries that have lost their
            links, at a monotonic time in seconds.
          rng: orders equal peers.
        """
        self._membership = membership
        self._own = membership.own
        self._without_links = without_links
        self._rng = rng
        self._paused_until: dict[str, float] = {}

    def has_peers(self) -> bool:
        """Return whether any other entry is known."""
        return self._membership.count > 1

    def select(
        self, target: Target, may_pass: Callable[[str], bool], now: float
    ) -> list[Member]:
        """Return the peers to ask, in order.

        Args:
          target: the target to be reached.
          may_pass: returns whether the request may pass through a region.
          now: monotonic time in seconds.
        """
        without_links = self._without_links(now)
        records = self._membership.records(self._membership.all_domains())
        usable = [
            record.member
            for record in records
            if record.state == SERVING
            and is_live(record, self._own.region, now)
            and now >= self._paused_until.get(record.member.name, 0.0)
            and may_pass(record.member.region)
            and member_id(record.member.name) not in without_links
        ]
        self._rng.shuffle(usable)
        usable.sort(key=lambda member: self._distance(member, target))
        return usable[:MAX_PEERS]

    def _distance(self, member: Member, target: Target) -> int:
        if member.domain == self._own.domain:
            return 0
        if member.region == self._own.region:
            return 1
        return 2 if member.region == target.region else 3

    def keeps_streams(self, name: str) -> bool:
        """Return whether streams through a peer may be used for further requests."""
        record = self._membership.record(name)
        return record is not None and record.state == SERVING

    def record_refusal(self, name: str, now: float) -> None:
        """Record that a peer refused a stream."""
        self._paused_until[name] = now + REFUSAL_PAUSE_S

    def record_failure(self, name: str, now: float) -> None:
        """Record that a peer could not be reached."""
        self._paused_until[name] = now + FAILURE_PAUSE_S

    def forget(self, now: float) -> None:
        """Drop expired pauses."""
        self._paused_until = {n: t for n, t in self._paused_until.items() if t > now}
