# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Selects the recipients of an entry's messages in a round.

An ordinary entry sends to the aggregators of its failure domain. An aggregator also
sends to the aggregators of the region's other failure domains, to one or two
aggregators of each other region, and to the entries of its own failure domain.
Recipients include candidates for the aggregator role, see `Roles.recipients`.

Owns the last known round of the failure domain's other aggregator, lost with the
process. Relies on `Roles` for the selection of aggregators.
"""

from typing import TypeVar

from leverdoor.entry.membership.liveness import HEARTBEAT_INTERVAL_S
from leverdoor.entry.membership.member import Member
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.peer_record import NEVER
from leverdoor.entry.membership.roles import Roles

__all__ = ["Recipients", "rotate"]

SILENT_ENTRY_INTERVAL_ROUNDS = 5
"""Interval between two digests to silent entries, in rounds: a second.

Without these digests, the two sides of a network partition would not notice its end; if
sent more often, more of them go to failed VMs.
"""
MAX_RECIPIENTS_PER_REGION = 2
"""Maximum number of aggregators of another region that get a digest in a round.

Bounds the bytes between regions if the other region has more aggregators.
"""
UNPAIRED_INTERVAL_ROUNDS = 3
"""Interval, in rounds, at which rotation selects the recipient in another region.

In other rounds the recipient is the paired aggregator. Two regions that disagree on the
aggregators thereby reach each other within a second. If smaller, paired aggregators
more often wait for more than a round.
"""

T = TypeVar("T")


class Recipients:
    """Selects the recipients of this entry's messages."""

    def __init__(self, membership: Membership, roles: Roles) -> None:
        """Create the selection for a membership and the roles of its entries."""
        self._membership = membership
        self._roles = roles
        self._own = membership.own
        self._other_aggregator_round: tuple[float, int] = (NEVER, 0)
        """Time of the last digest from the failure domain's other aggregator, and its
        round number."""

    def record_other_aggregator(self, round_number: int, now: float) -> None:
        """Record the round of a digest from the failure domain's other aggregator."""
        self._other_aggregator_round = (now, round_number)

    def own_aggregator_addresses(self, now: float) -> list[str]:
        """Return the addresses of the failure domain's aggregators and candidates."""
        return [m.gossip for m in self._roles.recipients(self._own.domain, now)]

    def other_domain_aggregators(self, now: float) -> list[Member]:
        """Return the aggregators of the region's other failure domains."""
        return [
            member
            for domain in self._membership.domains(self._own.region)
            if domain != self._own.domain
            for member in self._roles.recipients(domain, now)
        ]

    def select_remote_aggregators(self, round_number: int, now: float) -> list[Member]:
        """Select the aggregators of other regions that get a digest.

        The aggregators of two regions are paired by their index, so that each receives
        a digest of each region once a round. With rotation alone, some would receive
        one only once a second. Every third round uses rotation: two regions that
        disagree on the aggregators could otherwise never reach each other.
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
                selected += _select_in_region(
                    members, own_index, len(senders), round_number
                )
        return selected

    def _region_recipients(self, region: str, now: float) -> list[Member]:
        return [
            member
            for domain in self._membership.domains(region)
            for member in self._roles.recipients(domain, now)
        ]

    def select_domain_entries(self, round_number: int, now: float) -> list[Member]:
        """Select the entries of the own failure domain that get this round's digest.

        Each of two aggregators sends to every second entry, so that every entry
        receives a digest about once a round. The other aggregator receives every
        digest. Silent entries receive one every `SILENT_ENTRY_INTERVAL_ROUNDS`.
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
        return chosen + (
            silent if round_number % SILENT_ENTRY_INTERVAL_ROUNDS == 0 else []
        )

    def _complementary_round(self, own_round: int, now: float) -> int:
        """Return the round number by which the second aggregator selects entries.

        Extrapolates the round number of the first aggregator from its last digest. If
        less than half a round has passed since the first aggregator sent, the result is
        increased by one, so that the second sends to the other half of the entries.
        Otherwise the first will soon send to the other half, and the second sends to
        the same half as the first did. No entry then waits for more than one and a half
        rounds; with independent round numbers it would wait for up to two. Returns the
        own round number if no digest arrived for two rounds.
        """
        at, first_round = self._other_aggregator_round
        if now - at > 2 * HEARTBEAT_INTERVAL_S:
            return own_round
        rounds, since_s = divmod(now - at, HEARTBEAT_INTERVAL_S)
        return first_round + int(rounds) + (since_s < HEARTBEAT_INTERVAL_S / 2)


def _select_in_region(
    members: list[Member], own_index: int, sender_count: int, round_number: int
) -> list[Member]:
    """Select the paired recipients of a region, or one by rotation.

    Args:
      members: candidates of the region; not empty.
      own_index: index of the sender among the aggregators of its region.
      sender_count: number of these aggregators.
      round_number: number of the round.
    """
    if round_number % UNPAIRED_INTERVAL_ROUNDS == 0:
        return [members[round_number // UNPAIRED_INTERVAL_ROUNDS % len(members)]]
    paired = members[own_index :: max(sender_count, 1)]
    paired = paired or [members[own_index % len(members)]]
    return rotate(paired, MAX_RECIPIENTS_PER_REGION, round_number)


def rotate(items: list[T], limit: int, round_number: int) -> list[T]:
    """Select up to `limit` items, beginning where the previous round ended."""
    if len(items) <= limit:
        return items
    start = round_number * limit % len(items)
    return (items[start:] + items[:start])[:limit]
