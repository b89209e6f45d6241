# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Whom an entry tells in a round: aggregators, and an aggregator's own domain; pure."""

from typing import TypeVar

from leverdoor.entry.membership.liveness import HEARTBEAT_S
from leverdoor.entry.membership.member import Member
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.peer_record import NEVER
from leverdoor.entry.membership.roles import Roles

__all__ = ["Partners", "in_turn"]

SILENT_ROUNDS = 5
"""Rounds between two digests to entries that went silent, so that they come back."""
FAR_PARTNERS = 2
"""Aggregators of another region told in one round at most, if it has more of them."""
UNPAIRED_ROUNDS = 3
"""One round in so many goes to another aggregator than the paired one."""

T = TypeVar("T")


class Partners:
    """Chooses who gets an entry's messages."""

    def __init__(self, membership: Membership, roles: Roles) -> None:
        """Create it around the entries known and their roles."""
        self._membership = membership
        self._roles = roles
        self._own = membership.own
        self._fellow_round: tuple[float, int] = (NEVER, 0)
        """When the domain's first aggregator told the domain, and its round then."""

    def heard_fellow(self, turn: int, now: float) -> None:
        """Note a digest of the failure domain's other aggregator, and its round."""
        self._fellow_round = (now, turn)

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
        """Choose one aggregator of each other region to tell.

        The aggregators of two regions are paired by their places, so that each hears
        from each region once a round; in turn alone, some would go without for a
        second. Every third round goes to another in turn, since two sides that see
        different aggregators would else keep missing each other.
        """
        membership = self._membership
        senders = [
            member.name
            for domain in membership.domains(self._own.region)
            for member in self._roles.aggregators(domain, now)
        ]
        place = senders.index(self._own.name) if self._own.name in senders else 0
        found = []
        for region in membership.other_regions():
            members = [
                member
                for domain in membership.domains(region)
                for member in self._roles.recipients(domain, now)
            ]
            if not members:
                continue
            if turn % UNPAIRED_ROUNDS == 0:
                found.append(members[turn // UNPAIRED_ROUNDS % len(members)])
                continue
            paired = members[place :: max(len(senders), 1)]
            paired = paired or [members[place % len(members)]]
            found += in_turn(paired, FAR_PARTNERS, turn)
        return found

    def audience(self, turn: int, now: float) -> list[Member]:
        """Choose whom of the own domain this aggregator tells in this round.

        Each of two aggregators tells every other entry, so that all are told about
        once a round; the other aggregator is told always, silent entries seldom.
        """
        merging = self._roles.aggregators(self._own.domain, now)
        place, count = merging.index(self._own), len(merging)
        whose = turn if place == 0 else self._second_turn(turn, now)
        live, silent = self._membership.in_own_domain(now)
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

        If the first has just told its half, the other half is told; if it is about
        to tell that one, the same half. No entry then waits longer than one and a
        half rounds; with turns of its own it would wait up to two.
        """
        at, first = self._fellow_round
        if now - at > 2 * HEARTBEAT_S:
            return own
        rounds, since_s = divmod(now - at, HEARTBEAT_S)
        return first + int(rounds) + (since_s < HEARTBEAT_S / 2)


def in_turn(things: list[T], most: int, turn: int) -> list[T]:
    """Choose some of many, others in each round, all after a few."""
    if len(things) <= most:
        return things
    start = turn * most % len(things)
    return (things[start:] + things[:start])[:most]
