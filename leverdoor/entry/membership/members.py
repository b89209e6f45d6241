# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Records of all other entries, with their incarnations and states.

Each record holds the time at which any entry received the newest heartbeat of that
entry: either this entry, or one whose digest carries the heartbeat's age. The latest
time wins, so that the order and repetition of messages do not matter.

Owns the records, in memory only. After a restart, the entry reads the registered
entries from the store and receives the rest in digests within a few rounds. Relies on
the callers for the time and on `liveness` for the rules.
"""

from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

import msgspec

from leverdoor.codec import unpack
from leverdoor.entry.membership.liveness import (
    RECORD_TTL_S,
    SUPERSEDE_SILENCE_S,
    is_expired,
    is_live,
    is_superseded,
)
from leverdoor.entry.membership.member import (
    LEAVING,
    STARTING,
    DigestRow,
    Member,
    link_sort_key,
    member_id,
)
from leverdoor.entry.membership.peer_record import (
    NEVER,
    HeartbeatObservation,
    PeerRecord,
)

__all__ = ["LivenessChange", "Membership"]


class LivenessChange(NamedTuple):
    """Transition of an entry to live or to silent."""

    name: str
    change: str
    """"heard" or "silent", as written to the log."""
    silent_s: float
    """Age of its newest heartbeat in seconds; 0 if it became live."""


class Membership:
    """Records of all known entries except this one."""

    def __init__(self, own: Member) -> None:
        """Create the membership of this entry, `own`, without any peers."""
        self.own = own
        self.change_count = 0
        """Number of changes of the state or incarnation of any entry."""
        self._records: dict[str, PeerRecord] = {}
        self._names_by_id: dict[int, str] = {}
        self._records_by_domain: dict[str, dict[str, PeerRecord]] = {own.domain: {}}
        self._domains_by_region: dict[str, set[str]] = {own.region: {own.domain}}
        self._registered: set[str] = set()
        """Names of the entries that are registered in the store, as last known."""
        self._live_at_last_call: set[str] = set()
        """Names of the entries that were live at the last call of `changes`."""

    # Updates.

    def add_registered(self, registrations: Mapping[str, bytes], now: float) -> None:
        """Add the entries that are registered in the store.

        Entries that currently send heartbeats are not updated, since heartbeats are
        newer than registrations.

        Args:
          registrations: values of the entries' keys; unreadable ones are skipped.
          now: monotonic time in seconds.
        """
        self._registered.clear()
        for data in registrations.values():
            try:
                member = unpack(data, Member)
            except msgspec.MsgspecError:
                continue
            self._registered.add(member.name)
            record = self._records.get(member.name)
            if record is None or now - record.heartbeat_at > SUPERSEDE_SILENCE_S:
                self.update_member(member, now)

    def update_member(self, member: Member, now: float) -> None:
        """Add an entry, or replace its recorded incarnation by a higher one."""
        if member.name == self.own.name:
            return
        record = self._records.get(member.name)
        if record is None:
            self._add_record(PeerRecord(member, link_sort_key(member), reported_at=now))
            return
        record.reported_at = max(record.reported_at, now)
        if member.incarnation > record.member.incarnation:
            self._replace_incarnation(record, member)

    def _add_record(self, record: PeerRecord) -> None:
        member = record.member
        self._records[member.name] = record
        self._names_by_id[member_id(member.name)] = member.name
        self._add_to_domain(record)

    def _add_to_domain(self, record: PeerRecord) -> None:
        member = record.member
        self._records_by_domain.setdefault(member.domain, {})[member.name] = record
        self._domains_by_region.setdefault(member.region, set()).add(member.domain)

    def _remove_from_domain(self, member: Member) -> None:
        """Remove an entry from its domain; remove the domain if it has no other."""
        domain = self._records_by_domain[member.domain]
        del domain[member.name]
        if domain or member.domain == self.own.domain:
            return
        del self._records_by_domain[member.domain]
        domains = self._domains_by_region[member.region]
        domains.discard(member.domain)
        if not domains:
            del self._domains_by_region[member.region]

    def _replace_incarnation(self, record: PeerRecord, member: Member) -> None:
        """Record another incarnation, from which no heartbeat was received yet."""
        self._remove_from_domain(record.member)
        record.member = member
        record.link_sort_key = link_sort_key(member)
        self._add_to_domain(record)
        record.state = STARTING
        record.heartbeat_at = NEVER
        self.change_count += 1

    def record_heartbeat(self, observation: HeartbeatObservation, now: float) -> bool:
        """Record the newest heartbeat and the state of an incarnation of an entry.

        Within an incarnation the state only advances, from STARTING to LEAVING, so an
        older message does not revert it. The state may advance even if the heartbeat is
        not newer.

        Returns: whether the heartbeat is newer than the recorded one.
        """
        row = observation.row
        record = self._records.get(self._names_by_id.get(row.id, ""))
        if record is None or not self._accept_incarnation(record, observation):
            return False
        if row.state > record.state:
            record.state = row.state
            self.change_count += 1
        if observation.at <= record.heartbeat_at:
            return False
        record.heartbeat_at = observation.at
        record.reported_at = max(record.reported_at, now)
        return True

    def _accept_incarnation(
        self, record: PeerRecord, observation: HeartbeatObservation
    ) -> bool:
        """Return whether the observed incarnation is the recorded one.

        Records it first if it replaces the recorded one.
        """
        incarnation = observation.row.incarnation
        if incarnation == record.member.incarnation:
            return True
        if not is_superseded(record, observation):
            return False
        changed = msgspec.structs.replace(record.member, incarnation=incarnation)
        self._replace_incarnation(record, changed)
        return True

    def forget(self, now: float) -> None:
        """Delete the records of entries without any report for `RECORD_TTL_S`.

        Entries that are registered in the store are kept. An entry that is cut off from
        the others and from the store would otherwise forget them and share nothing.
        """
        expired = [
            name
            for name, record in self._records.items()
            if name not in self._registered and is_expired(record, now)
        ]
        for name in expired:
            member = self._records.pop(name).member
            self._names_by_id.pop(member_id(name), None)
            self._remove_from_domain(member)

    def changes(self, now: float) -> list[LivenessChange]:
        """Return which entries became live or silent since the last call."""
        live = {m.name for m in self.live(now)}
        found = [
            LivenessChange(name, "heard", 0.0)
            for name in sorted(live - self._live_at_last_call)
        ]
        for name in sorted(self._live_at_last_call - live):
            record = self._records.get(name)
            # The record may have been deleted since the last call.
            silent_s = now - record.heartbeat_at if record else RECORD_TTL_S
            found.append(LivenessChange(name, "silent", silent_s))
        self._live_at_last_call = live
        return found

    # Queries by entry.

    def live(self, now: float) -> list[Member]:
        """Return the live entries."""
        return [r.member for r in self._records.values() if self._is_live(r, now)]

    def _is_live(self, record: PeerRecord, now: float) -> bool:
        return is_live(record, self.own.region, now)

    def live_in_own_region(self, now: float) -> list[Member]:
        """Return the live entries of this entry's region that are not leaving."""
        return [
            record.member
            for record in self.records(self._domains_by_region[self.own.region])
            if record.state != LEAVING and self._is_live(record, now)
        ]

    def record(self, name: str) -> PeerRecord | None:
        """Return the record of an entry, or None if it is unknown."""
        return self._records.get(name)

    def records(self, domains: Iterable[str]) -> Iterator[PeerRecord]:
        """Yield the records of the entries in the given failure domains."""
        for domain in domains:
            yield from self._records_by_domain.get(domain, {}).values()

    def member(self, name: str) -> Member | None:
        """Return the description of an entry, or None if it is unknown."""
        record = self._records.get(name)
        return record.member if record is not None else None

    def registered(self) -> list[Member]:
        """Return the other entries that are registered in the store."""
        records = self._records
        return [records[n].member for n in self._registered if n in records]

    def names(self) -> list[str]:
        """Return the names of all known entries except this one."""
        return list(self._records)

    def name(self, entry_id: int) -> str:
        """Return the name of the entry with a `member_id`; empty if unknown."""
        return self._names_by_id.get(entry_id, "")

    def newest_heartbeats(self, domain: str) -> list[HeartbeatObservation]:
        """Return the newest heartbeats of a failure domain, ordered by entry name."""
        records = self._records_by_domain.get(domain, {})
        return [
            HeartbeatObservation(
                DigestRow(member_id(name), r.member.incarnation, r.state),
                r.heartbeat_at,
            )
            for name, r in sorted(records.items())
            if r.heartbeat_at > NEVER
        ]

    def known_in_own_region(self) -> list[Member]:
        """Return all known entries of this entry's region, including silent ones."""
        return [r.member for r in self.records(self.domains(self.own.region))]

    def known_in_own_domain(self) -> list[Member]:
        """Return all known entries of this failure domain, including silent ones.

        Ordered by name.
        """
        records = sorted(self._records_by_domain[self.own.domain].items())
        return [record.member for _, record in records]

    def own_domain_by_liveness(self, now: float) -> tuple[list[Member], list[Member]]:
        """Return the known entries of this failure domain: live, then silent.

        An entry without any heartbeat yet, such as one that just started, counts as
        live.
        """
        live: list[Member] = []
        silent: list[Member] = []
        for _, record in sorted(self._records_by_domain[self.own.domain].items()):
            new = record.heartbeat_at == NEVER
            group = live if new or self._is_live(record, now) else silent
            group.append(record.member)
        return live, silent

    # Queries by failure domain and region.

    def live_regions(self, now: float) -> list[str]:
        """Return this entry's region and all with live entries, sorted by name."""
        return sorted(
            region
            for region, domains in self._domains_by_region.items()
            if region == self.own.region
            or any(self._is_live(r, now) for r in self.records(domains))
        )

    def all_domains(self) -> list[str]:
        """Return all known failure domains, including this entry's, sorted by name."""
        return sorted(self._records_by_domain)

    def domains(self, region: str) -> list[str]:
        """Return the failure domains of a region, sorted by name."""
        return sorted(self._domains_by_region.get(region, ()))

    def other_regions(self) -> list[str]:
        """Return all known regions except this entry's, sorted by name."""
        return sorted(r for r in self._domains_by_region if r != self.own.region)

    def count_in_domain(self, domain: str) -> int:
        """Count the known entries of a domain, including silent ones and this one."""
        return len(self._records_by_domain.get(domain, ())) + (
            domain == self.own.domain
        )

    def count_in_region(self, region: str) -> int:
        """Count the known entries of a region, including silent ones and this one."""
        return sum(self.count_in_domain(d) for d in self.domains(region))

    @property
    def count(self) -> int:
        """Number of known entries, including this one."""
        return len(self._records) + 1
