# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The records of all other entries: who there is, in which incarnation and state.

For every entry the time is kept at which its newest heartbeat was received by anyone:
by this entry, or by another one whose digest carries its age. The greatest time wins,
so order and duplicates of messages do not matter.

Owns the records, in memory only; a restart reads the entries' keys from the store and
has the rest from digests within a few rounds. Relies on the callers for the time and
on `liveness` for the rules.
"""

from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

import msgspec

from leverdoor.codec import unpack
from leverdoor.entry.membership.liveness import (
    FORGET_S,
    FORMER_INCARNATION_S,
    is_forgotten,
    is_live,
    supersedes,
)
from leverdoor.entry.membership.member import (
    LEAVING,
    STARTING,
    Member,
    MemberRow,
    link_sort_key,
    member_id,
)
from leverdoor.entry.membership.peer_record import NEVER, LastSeen, PeerRecord

__all__ = ["Membership", "PeerChange"]


class PeerChange(NamedTuple):
    """An entry that became live or silent."""

    name: str
    change: str
    """"heard" or "silent", as the log has it."""
    silent_s: float
    """Age of its newest heartbeat; 0 if it became live."""


class Membership:
    """All entries that this one knows of, itself left out."""

    def __init__(self, own: Member) -> None:
        """Create it knowing nobody but `own`, this entry."""
        self.own = own
        self.version = 0
        """Grows with each change of an entry's state or incarnation."""
        self._records: dict[str, PeerRecord] = {}
        self._names: dict[int, str] = {}
        self._domains: dict[str, dict[str, PeerRecord]] = {own.domain: {}}
        self._regions: dict[str, set[str]] = {own.region: {own.domain}}
        """The failure domains of each region."""
        self._logged: set[str] = set()
        """Entries whose last logged change was that they became live."""

    # Updates.

    def add_registered(self, values: Mapping[str, bytes], now: float) -> None:
        """Add the entries that are registered in the store.

        An entry that sends heartbeats is left as it is: they are newer.

        Args:
          values: of the entries' keys; those that are not readable are skipped.
          now: monotonic time in seconds.
        """
        for data in values.values():
            try:
                member = unpack(data, Member)
            except msgspec.MsgspecError:
                continue
            record = self._records.get(member.name)
            if record is None or now - record.heartbeat_at > FORMER_INCARNATION_S:
                self.update_member(member, now)

    def update_member(self, member: Member, now: float) -> None:
        """Take an entry's description; a higher incarnation replaces a lower one."""
        if member.name == self.own.name:
            return
        record = self._records.get(member.name)
        if record is None:
            self._add(PeerRecord(member, link_sort_key(member), reported_at=now))
            return
        record.reported_at = max(record.reported_at, now)
        if member.incarnation > record.member.incarnation:
            self._replace(record, member)

    def _add(self, record: PeerRecord) -> None:
        member = record.member
        self._records[member.name] = record
        self._names[member_id(member.name)] = member.name
        self._domains.setdefault(member.domain, {})[member.name] = record
        self._regions.setdefault(member.region, set()).add(member.domain)

    def _replace(self, record: PeerRecord, member: Member) -> None:
        """Record another incarnation, of which no heartbeat came yet."""
        record.member = member
        record.state = STARTING
        record.heartbeat_at = NEVER
        self.version += 1

    def record_heartbeat(self, seen: LastSeen, now: float) -> bool:
        """Take when an incarnation of an entry last sent a heartbeat.

        Within an incarnation the state only grows, from STARTING to LEAVING, so an
        older row does not undo a newer one.

        Returns: whether it was newer than what is on record.
        """
        row = seen.row
        record = self._records.get(self._names.get(row.id, ""))
        if record is None or not self._take_incarnation(record, seen):
            return False
        if row.state > record.state:
            record.state = row.state
            self.version += 1
        if seen.at <= record.heartbeat_at:
            return False
        record.heartbeat_at = seen.at
        record.reported_at = max(record.reported_at, now)
        return True

    def _take_incarnation(self, record: PeerRecord, seen: LastSeen) -> bool:
        """Return whether the incarnation seen is on record now."""
        incarnation = seen.row.incarnation
        if incarnation == record.member.incarnation:
            return True
        if not supersedes(record, seen):
            return False
        changed = msgspec.structs.replace(record.member, incarnation=incarnation)
        self._replace(record, changed)
        return True

    def forget(self, now: float) -> None:
        """Delete the records of entries that were silent for `FORGET_S`."""
        old = [n for n, r in self._records.items() if is_forgotten(r, now)]
        for name in old:
            member = self._records.pop(name).member
            self._names.pop(member_id(name), None)
            domain = self._domains[member.domain]
            del domain[name]
            if not domain and member.domain != self.own.domain:
                del self._domains[member.domain]
                self._regions[member.region].discard(member.domain)

    def changes(self, now: float) -> list[PeerChange]:
        """Return which entries became live or silent since the last call."""
        live = {m.name for m in self.live(now)}
        found = [PeerChange(name, "heard", 0.0) for name in sorted(live - self._logged)]
        for name in sorted(self._logged - live):
            record = self._records.get(name)
            silent_s = now - record.heartbeat_at if record else FORGET_S
            found.append(PeerChange(name, "silent", silent_s))
        self._logged = live
        return found

    # Entries.

    def live(self, now: float) -> list[Member]:
        """Return the entries that count as live."""
        return [r.member for r in self._records.values() if self._is_live(r, now)]

    def _is_live(self, record: PeerRecord, now: float) -> bool:
        return is_live(record, self.own.region, now)

    def live_in_own_region(self, now: float) -> list[Member]:
        """Return the live entries of this entry's region, without leaving ones."""
        return [
            record.member
            for record in self.records(self._regions[self.own.region])
            if record.state != LEAVING and self._is_live(record, now)
        ]

    def record(self, name: str) -> PeerRecord | None:
        """Return the record of an entry, if there is one."""
        return self._records.get(name)

    def records(self, domains: Iterable[str]) -> Iterator[PeerRecord]:
        """Return the records of some failure domains' entries."""
        for domain in domains:
            yield from self._domains.get(domain, {}).values()

    def member(self, name: str) -> Member | None:
        """Return the description of an entry, if it is known."""
        record = self._records.get(name)
        return record.member if record is not None else None

    def names(self) -> list[str]:
        """Return the names of all other entries that are known."""
        return list(self._records)

    def name(self, identity: int) -> str:
        """Return the name of a `member_id`; empty if it is not known."""
        return self._names.get(identity, "")

    def last_seen(self, domain: str) -> list[LastSeen]:
        """Return when a failure domain's entries were last seen, ordered by name."""
        records = self._domains.get(domain, {})
        return [
            LastSeen(
                MemberRow(member_id(name), r.member.incarnation, r.state),
                r.heartbeat_at,
            )
            for name, r in sorted(records.items())
            if r.heartbeat_at > NEVER
        ]

    def in_own_region(self) -> list[Member]:
        """Return all known entries of this entry's region, silent ones included."""
        return [r.member for r in self.records(self.domains(self.own.region))]

    def in_own_domain(self) -> list[Member]:
        """Return all known entries of the own failure domain, ordered by name."""
        records = sorted(self._domains[self.own.domain].items())
        return [record.member for _, record in records]

    def own_domain_by_liveness(self, now: float) -> tuple[list[Member], list[Member]]:
        """Return the known entries of the own failure domain: live, and silent ones.

        One of which no heartbeat came yet, as in its first moments, counts as live.
        """
        live: list[Member] = []
        silent: list[Member] = []
        for _, record in sorted(self._domains[self.own.domain].items()):
            new = record.heartbeat_at == NEVER
            into = live if new or self._is_live(record, now) else silent
            into.append(record.member)
        return live, silent

    # Failure domains, regions and numbers.

    def live_regions(self, now: float) -> list[str]:
        """Return the own region and those of live entries, by name."""
        return sorted(
            region
            for region, domains in self._regions.items()
            if region == self.own.region
            or any(self._is_live(r, now) for r in self.records(domains))
        )

    def all_domains(self) -> list[str]:
        """Return all failure domains from which entries are known, by name."""
        return sorted(self._domains)

    def domains(self, region: str) -> list[str]:
        """Return the failure domains of a region from which entries are known."""
        return sorted(self._regions.get(region, ()))

    def other_regions(self) -> list[str]:
        """Return the regions other than this entry's, by name."""
        return sorted(r for r in self._regions if r != self.own.region)

    def count_in_domain(self, domain: str) -> int:
        """Count the entries of a domain, those silent for up to `FORGET_S` too."""
        return len(self._domains.get(domain, ())) + (domain == self.own.domain)

    def count_in_region(self, region: str) -> int:
        """Count the entries of a region, those silent for up to `FORGET_S` too."""
        return sum(self.count_in_domain(d) for d in self.domains(region))

    @property
    def count(self) -> int:
        """How many entries are known, this one included."""
        return len(self._records) + 1
