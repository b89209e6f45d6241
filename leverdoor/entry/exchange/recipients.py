# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Who gets an entry's messages of a round.

An ordinary entry sends to the aggregators of its failure domain. An aggregator sends
also to those of the region's other failure domains (near), to one or two of each other
region (far), and to its own failure domain.

Owns the last round of the failure domain's other aggregator, lost with the process.
Relies on `Roles` for who aggregates.
"""

from typing import TypeVar

from leverdoor.entry.membership.liveness import HEARTBEAT_INTERVAL_S
from leverdoor.entry.membership.member import Member
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.peer_record import NEVER
from leverdoor.entry.membership.roles import Roles

__all__ = ["Recipients", "in_turn"]

SILENT_ROUNDS = 5
"""Rounds between two digests to entries that are silent.

Once a second. Without them, two sides of a cut would not notice that it is repaired;
more often, digests go to VMs that are gone.
"""
FAR_PARTNERS = 2
"""Aggregators of another region that get a digest in one round at most.

Bounds the bytes between regions where the other region has more aggregators.
"""
UNPAIRED_ROUNDS = 3
"""One round in so many goes to another aggregator than the paired one.

Two sides that see different aggregators reach each other within a second. Lower, the
paired ones wait for longer than a round more often.
"""

T = TypeVar("T")


class Recipients:
    """Chooses who gets the messages of one entry."""

    def __init__(self, membership: Membership, roles: Roles) -> None:
        """Create it around the entries known and their roles."""
        self._membership = membership
        self._roles = roles
        self._own = membership.own
        self._other_round: tuple[float, int] = (NEVER, 0)
        """When a digest of the domain's other aggregator came, and its round then."""

    def note_other_aggregator(self, turn: int, now: float) -> None:
        """Record the round of a digest of the failure domain's other aggregator."""
        self._other_round = (now, turn)

    def aggregators(self, now: float) -> list[str]:
        """Return the addresses of the own failure domain's aggregators."""
        return [m.gossip for m in self._roles.recipients(self._own.domain, now)]

    def near(self, now: float) -> list[Member]:
        """Return the aggregators of the region's other failure domains."""
        return [
            member
            for domain in self._membership.domains(self._own.region)
            if domain != self._own.domain
            for member in self._roles.recipients(domain, now)
        ]

    def far(self, turn: int, now: float) -> list[Member]:
        """Choose the aggregators of the other regions that get a digest.

        The aggregators of two regions are paired by their places, so that each gets a
        digest of each region once a round; in turn alone, some would wait for a
        second. Every third round goes to another in turn, since two sides that see
        different aggregators would otherwise keep missing each other.
        """
        senders = [
            member.name
            for domain in self._membership.domains(self._own.region)
            for member in self._roles.aggregators(domain, now)
        ]
        place = senders.index(self._own.name) if self._own.name in senders else 0
        found: list[Member] = []
        for region in self._membership.other_regions():
            members = self._region_recipients(region, now)
            if members:
                found += _paired(members, place, len(senders), turn)
        return found

    def _region_recipients(self, region: str, now: float) -> list[Member]:
        return [
            member
            for domain in self._membership.domains(region)
            for member in self._roles.recipients(domain, now)
        ]

    def own_domain(self, turn: int, now: float) -> list[Member]:
        """Choose the entries of the own failure domain that get this round's digest.

        Each of two aggregators sends to every other entry, so that all get a digest
        about once a round. The other aggregator gets each, silent entries few.
        """
        merging = self._roles.aggregators(self._own.domain, now)
        place, count = merging.index(self._own), len(merging)
        whose = turn if place == 0 else self._second_turn(turn, now)
        live, silent = self._membership.own_domain_by_liveness(now)
        ordered = sorted([*live, self._own], key=lambda m: m.name)
        chosen = [
            member
            for i, member in enumerate(ordered)
            if member is not self._own
            and ((i + whose) % count == 0 or member in merging)
        ]
        return chosen + (silent if turn % SILENT_ROUNDS == 0 else [])

    def _second_turn(self, own: int, now: float) -> int:
        """Return the turn of a second aggregator, so that it fills the first's gaps.

        If the first has just sent to one half, the second sends to the other half; if
        the first is about to, to the same half. No entry then waits longer than one
        and a half rounds; with turns of its own it would wait up to two.
        """
        at, first = self._other_round
        if now - at > 2 * HEARTBEAT_INTERVAL_S:
            return own
        rounds, since_s = divmod(now - at, HEARTBEAT_INTERVAL_S)
        return first + int(rounds) + (since_s < HEARTBEAT_INTERVAL_S / 2)


def _paired(members: list[Member], place: int, senders: int, turn: int) -> list[Member]:
    """Choose the recipients of a region that are paired with a sender.

    Args:
      members: of the region; not empty.
      place: of the sender among its own region's aggregators.
      senders: how many these are.
      turn: number of the round.
    """
    if turn % UNPAIRED_ROUNDS == 0:
        return [members[turn // UNPAIRED_ROUNDS % len(members)]]
    paired = members[place :: max(senders, 1)]
    paired = paired or [members[place % len(members)]]
    return in_turn(paired, FAR_PARTNERS, turn)


def in_turn(things: list[T], most: int, turn: int) -> list[T]:
    """Choose some of many, others in each round, all after a few."""
    if len(things) <= most:
        return things
    start = turn * most % len(things)
    return (things[start:] + things[:start])[:most]
