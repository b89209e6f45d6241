# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""One emulated entry as far as held requests go, and the store's records of them.

State: the entry's quarantine and exchange, lost when it is killed; the records, kept.
Relies on the product's own modules for every decision.
"""

from random import Random

from emulated_exchange import Outgoing
from leverdoor.entry.exchange.exchange import Exchange
from leverdoor.entry.exchange.exchange_types import EntryStatus
from leverdoor.entry.exchange.messages import ExchangeMessage
from leverdoor.entry.membership.member import SERVING, Member
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.roles import Roles
from leverdoor.model.position import position_without_era
from leverdoor.quarantine.quarantine import Quarantine
from leverdoor.quarantine.records import (
    QuarantineRecord,
    hold_from_record,
    record_from_hold,
)
from leverdoor.quarantine.trial_owner import is_trial_owner

__all__ = ["EmulatedRecords", "QuarantineNode"]

WALL_S = 1.7e9
"""Seconds since the epoch at the start of the run."""


class QuarantineNode:
    """One entry as far as held requests go."""

    def __init__(self, own: Member, rng: Random) -> None:
        self.membership = Membership(own)
        self.exchange = Exchange(self.membership, Roles(self.membership, rng))
        self.quarantine = Quarantine()
        self.held: set[int] = set()
        """All that were ever held back here."""

    def round(self, now: float) -> list[Outgoing]:
        """Judge, and return what it sends in a round."""
        self.quarantine.judge(now)
        self.held |= self.quarantine.holds.keys()
        notices = self.quarantine.notices(now)
        status = EntryStatus(
            SERVING, position_without_era(1), {}, {}, -1, [], notices=notices
        )
        sendings, _ = self.exchange.round(status, now)
        self.exchange.forget(now)
        return [(s.message, s.destinations) for s in sendings]

    def take(self, message: ExchangeMessage, now: float) -> None:
        """Take a message."""
        self.quarantine.receive(
            self.exchange.take(message, position_without_era(1), now).notices, now
        )

    def tries(self, fingerprint: int, now: float) -> bool:
        """Return whether it runs a request that is held back once more."""
        hold = self.quarantine.active_hold(fingerprint, now)
        own, others = self.membership.own.name, self.membership.names()
        if hold is None or not is_trial_owner(own, others, fingerprint):
            return False
        return self.quarantine.start_trial(hold, now)


class EmulatedRecords:
    """The records of requests that are held back, in the store."""

    def __init__(self) -> None:
        """Create it without any."""
        self._records: dict[int, QuarantineRecord] = {}

    def write(self, node: QuarantineNode, now: float) -> list[int]:
        """Write what an entry holds back, remove what it knows to be harmless.

        Returns: the requests that have a new record.
        """
        for fingerprint, record in list(self._records.items()):
            hold = hold_from_record(record, fingerprint, now, WALL_S + now)
            if node.quarantine.has_no_evidence(hold):
                del self._records[fingerprint]
        added = []
        for fingerprint, hold in node.quarantine.holds.items():
            if fingerprint not in self._records:
                record = record_from_hold(hold, "", now, WALL_S + now)
                self._records[fingerprint] = record
                added.append(fingerprint)
        return added

    def read(self, node: QuarantineNode, fingerprint: int, now: float) -> None:
        """Let an entry read a record, if it is still there."""
        record = self._records.get(fingerprint)
        if record is not None:
            hold = hold_from_record(record, fingerprint, now, WALL_S + now)
            node.quarantine.add_stored(hold, now)

    def read_all(self, node: QuarantineNode, now: float) -> None:
        """Let an entry that starts read all records."""
        for fingerprint in self._records:
            self.read(node, fingerprint, now)
