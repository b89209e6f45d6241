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

from leverdoor.entry.membership.liveness import HEARTBEAT_S
from leverdoor.entry.membership.member import Member
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.peer_record import NEVER
from leverdoor.entry.membership.roles import Roles

__all__ = ["Recipients", "rotate"]

SILENT_INTERVAL_ROUNDS = 5
"""Rounds between two digests to entries that are silent.

Once a second. Without them, two sides of a cut would not notice that it is repaired;
more often, digests go to VMs that are gone.
"""
MAX_RECIPIENTS_PER_REGION = 2
"""Aggregators of another region that get a digest in one round at most.

Bounds the bytes between regions where the other region has more aggregators.
"""
UNPAIRED_INTERVAL_ROUNDS = 3
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
        self._other_aggregator_round: tuple[float, int] = (NEVER, 0)
        """When a digest of the domain's other aggregator came, and its round then."""

    def record_other_aggregator(self, round_number: int, now: float) -> None:
        """Record the round of a digest of the failure domain's other aggregator."""
        self._other_aggregator_round = (now, round_number)

    def aggregators(self, now: float) -> list[str]:
        """Return the addresses of the own failure domain's aggregators."""
        return [m.gossip for m in self._roles.recipients(self._own.domain, now)]

    def region_aggregators(self, now: float) -> list[Member]:
        """Return the aggregators of the region's other failure domains."""
        return [
            member
            for domain in self._membership.domains(self._own.region)
            if domain != self._own.domain
            for member in self._roles.recipients(domain, now)
        ]

    def remote_aggregators(self, round_number: int, now: float) -> list[Member]:
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
        own_index = senders.index(self._own.name) if self._own.name in senders else 0
        selected: list[Member] = []
        for region in self._membership.other_regions():
            members = self._region_recipients(region, now)
            if members:
                selected += _paired_recipients(
                    members, own_index, len(senders), round_number
                )
        return selected

    def _region_recipients(self, region: str, now: float) -> list[Member]:
        return [
            member
            for domain in self._membership.domains(region)
            for member in self._roles.recipients(domain, now)
        ]

    def domain_entries(self, round_number: int, now: float) -> list[Member]:
        """Choose the entries of the own failure domain that get this round's digest.

        Each of two aggregators sends to every other entry, so that all get a digest
        about once a round. The other aggregator gets each, silent entries few.
        """
        domain_aggregators = self._roles.aggregators(self._own.domain, now)
        own_index, count = domain_aggregators.index(self._own), len(domain_aggregators)
        offset = (
            round_number
            if own_index == 0
            else self._complementary_round(round_number, now)
        )
        live, silent = self._membership.own_domain_by_liveness(now)
        ordered = sorted([*live, self._own], key=lambda m: m.name)
        chosen = [
            member
            for position, member in enumerate(ordered)
            if member is not self._own
            and ((position + offset) % count == 0 or member in domain_aggregators)
        ]
        return chosen + (silent if round_number % SILENT_INTERVAL_ROUNDS == 0 else [])

    def _complementary_round(self, own_round: int, now: float) -> int:
        """Return the turn of a second aggregator, so that it fills the first's gaps.

        If the first has just sent to one half, the second sends to the other half; if
        the first is about to, to the same half. No entry then waits longer than one
        and a half rounds; with turns of its own it would wait up to two.
        """
        at, first_round = self._other_aggregator_round
        if now - at > 2 * HEARTBEAT_S:
            return own_round
        rounds, since_s = divmod(now - at, HEARTBEAT_S)
        return first_round + int(rounds) + (since_s < HEARTBEAT_S / 2)


def _paired_recipients(
    members: list[Member], own_index: int, senders: int, round_number: int
) -> list[Member]:
    """Choose the recipients of a region that are paired with a sender.

    Args:
      members: of the region; not empty.
      own_index: of the sender among its own region's aggregators.
      senders: how many these are.
      turn: number of the round.
    """
    if round_number % UNPAIRED_INTERVAL_ROUNDS == 0:
        return [members[round_number // UNPAIRED_INTERVAL_ROUNDS % len(members)]]
    paired = members[own_index :: max(senders, 1)]
    paired = paired or [members[own_index % len(members)]]
    return rotate(paired, MAX_RECIPIENTS_PER_REGION, round_number)


def rotate(items: list[T], limit: int, round_number: int) -> list[T]:
    """Choose some of many, others in each round, all after a few."""
    if len(items) <= limit:
        return items
    start = round_number * limit % len(items)
    return (items[start:] + items[:start])[:limit]
