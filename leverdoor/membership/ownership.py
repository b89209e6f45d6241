# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The ownership table: which processes hold units of each limited resource.

Each row is one limited resource: the slots of a target or the units of a shift cap.
Moving units takes two writes: the first releases them from the holder, and the second
grants them to another one. The second is made only after the holder acknowledged the
release or is proved to be dead. Units are granted only while the sum of held units and
units being released is below the capacity of the row, so the sum never exceeds the
capacity that the row had when the units were granted.

The rules of docs/DESIGN.md are implemented as follows:

- *hold* (which process should hold which units): `assign_units`
- *release*: `_release`
- *acknowledge*: `_complete_releases`
- *grant*: `_grant`
- *proof of death*: `_remove_dead` and `_add_members`
- *ripen* (granted units cannot be used for some time) and *cool* (returned units stay
  counted for some time): by the holder, in `gate/row_units.py`

The units of a dead VM can be used again after three steps:

1. Two reads of the VM list omit the VM. They are further apart than the lag of the list
   (`vm_list_lag_ms`, `agent/vm_list.py`).
2. The next round of a planner grants the units (PLAN_INTERVAL_S, `agent/planning.py`).
3. The units ripen, for the `linger_ms` of the service or the window of the cap.

Owns no state: the table is kept in the store and written by compare-and-swap
(`agent/planning.py`).
"""

from collections.abc import Iterable, Mapping

import msgspec
import xxhash

from leverdoor.codec import unpack

__all__ = [
    "Ack",
    "GateProcess",
    "Release",
    "Row",
    "RowSpec",
    "Table",
    "cap_row_name",
    "parse_table",
    "plan",
    "serialize_table",
    "slot_row_name",
]

HOLDERS_PER_TARGET = 2
"""Number of processes that hold the slots of a target.

With two, half of the slots stay usable when one process dies. With one holder, the
death of that holder's VM makes all slots unusable; with more, each holds fewer slots.
The latency does not depend on the number: p99 at 95% load was 109, 108 and 108 ms with
one, two and all processes as holders (docs/MEASUREMENTS.md).
"""
PREFERRED_LOAD_RATIO = 1.25
"""Number of assigned units up to which a member is preferred, relative to the mean.

With a lower ratio, more units move when a process joins or leaves, and units cannot be
used while they move. With a higher one, some gates forward more requests.
"""


class GateProcess(msgspec.Struct, frozen=True, array_like=True):
    """A gate process, identified by its VM, its address and its incarnation."""

    vm: str
    gate: str
    """Address of the gate."""
    incarnation: int
    domain: str = ""

    @property
    def identity(self) -> str:
        """Identifier of the process, distinct from earlier ones at the same address."""
        return f"{self.vm}|{self.gate}|{self.incarnation}"


class Release(msgspec.Struct, frozen=True, array_like=True):
    """Units released from a member that has not acknowledged the release yet."""

    member: int
    """Member number of the holder."""
    units: int
    version: int
    """Version of the table that released the units."""


class Row(msgspec.Struct, array_like=True):
    """One limited resource and the number of its units that each member holds."""

    capacity: int
    held: dict[int, int] = {}
    releases: list[Release] = []

    def committed_units(self) -> int:
        """Return the number of units that are held or being released."""
        return sum(self.held.values()) + sum(r.units for r in self.releases)


class Table(msgspec.Struct):
    """The members and rows of one region."""

    region: str
    version: int = 0
    next_member: int = 1
    members: dict[int, GateProcess] = {}
    rows: dict[str, Row] = {}

    def member_id(self, gate: str, incarnation: int) -> int:
        """Return the member number of a process, or 0 if it is not a member."""
        for number, m in self.members.items():
            if m.gate == gate and m.incarnation == incarnation:
                return number
        return 0


class RowSpec(msgspec.Struct, frozen=True):
    """Desired capacity and holders of a row."""

    capacity: int
    holders: int = HOLDERS_PER_TARGET
    """Number of members that hold units of the row; 0 for all members."""


class Ack(msgspec.Struct, frozen=True, array_like=True):
    """Acknowledgement of a table version by a holder."""

    version: int
    """Version of the table that the holder applied."""
    overused_rows: list[str] = []
    """Names of the rows of which the holder uses more units than it holds."""


def slot_row_name(address: str) -> str:
    """Return the name of the row for the slots of the target with this address."""
    return "t:" + address


def cap_row_name(service: str, region: str) -> str:
    """Return the name of the row for the units of a shift cap."""
    return f"c:{service}:{region}"


def parse_table(data: bytes) -> Table:
    """Parse a table in the format of the store."""
    return unpack(data, Table)


def serialize_table(table: Table) -> bytes:
    """Serialize a table to the format of the store."""
    return msgspec.msgpack.encode(table)


def plan(
    table: Table,
    specs: Mapping[str, RowSpec],
    live: Iterable[GateProcess],
    leaving: frozenset[str] = frozenset(),
    dead_identities: frozenset[str] = frozenset(),
    acks: Mapping[str, Ack] | None = None,
) -> Table | None:
    """Compute the next version of the table.

    Args:
      table: the current table of the store.
      specs: the desired rows by name.
      live: processes with recent heartbeats, which may be granted units.
      leaving: VMs whose processes must not hold units any more.
      gone: identities of the processes that are proved to be dead.
      acks: acknowledgements by process identity.
    Returns: the next table, or None if nothing changes.
    """
    next_table = _copy(table)
    next_table.version = table.version + 1
    _remove_dead(next_table, dead_identities)
    _add_members(next_table, live, leaving)
    _complete_releases(next_table, acks or {})
    eligible = [n for n, m in next_table.members.items() if m.vm not in leaving]
    desired = assign_units(next_table, specs, eligible)
    for name in sorted(set(next_table.rows) | set(specs)):
        row = next_table.rows.setdefault(name, Row(0, {}, []))
        spec = specs.get(name)
        row.capacity = spec.capacity if spec else 0
        _release(row, desired.get(name, {}), next_table.version)
        _grant(row, desired.get(name, {}))
        if spec is None and not row.committed_units():
            del next_table.rows[name]
    _remove_members_without_units(next_table, {m.identity for m in live}, leaving)
    return None if _has_equal_content(table, next_table) else next_table


def _copy(table: Table) -> Table:
    rows = {
        name: Row(r.capacity, dict(r.held), list(r.releases))
        for name, r in table.rows.items()
    }
    return Table(
        table.region, table.version, table.next_member, dict(table.members), rows
    )


def _has_equal_content(a: Table, b: Table) -> bool:
    return a.members == b.members and a.rows == b.rows


def _remove_dead(table: Table, dead_identities: frozenset[str]) -> None:
    """Remove processes proved to be dead by the VM list, and free their units."""
    dead = {n for n, m in table.members.items() if m.identity in dead_identities}
    _remove_members(table, dead)


def _remove_members(table: Table, numbers: set[int]) -> None:
    if not numbers:
        return
    for number in numbers:
        del table.members[number]
    for row in table.rows.values():
        row.held = {n: u for n, u in row.held.items() if n not in numbers}
        row.releases = [r for r in row.releases if r.member not in numbers]


def _add_members(
    table: Table, live: Iterable[GateProcess], leaving: frozenset[str]
) -> None:
    """Add new processes, and remove earlier ones at the same address.

    Processes on leaving VMs are not added.

    A process binds its address before it sends its first heartbeat. A later incarnation
    at the same address of the same VM therefore proves that the earlier one is dead.
    """
    for m in sorted(live, key=lambda m: m.identity):
        earlier = {
            n for n, o in table.members.items() if (o.vm, o.gate) == (m.vm, m.gate)
        }
        if any(table.members[n].incarnation >= m.incarnation for n in earlier):
            continue
        _remove_members(table, earlier)
        if m.vm in leaving:
            continue
        table.members[table.next_member] = m
        table.next_member += 1


def _complete_releases(table: Table, acks: Mapping[str, Ack]) -> None:
    """Delete the releases that are complete."""
    for name, row in table.rows.items():
        row.releases = [
            r
            for r in row.releases
            if not _is_complete(acks.get(table.members[r.member].identity), name, r)
        ]


def _is_complete(ack: Ack | None, name: str, release: Release) -> bool:
    """Return whether a holder applied the release and does not overuse the row."""
    return (
        ack is not None
        and ack.version >= release.version
        and name not in ack.overused_rows
    )


def assign_units(
    table: Table, specs: Mapping[str, RowSpec], eligible: list[int]
) -> dict[str, dict[int, int]]:
    """Return the desired number of units per row and member.

    Uses rendezvous hashing with a bound on the load of each member, so that few units
    move when members join or leave. The holders of a row are in different failure
    domains if possible.
    """
    if not eligible:
        return {}
    preferred_load = _preferred_load(specs, len(eligible))
    load = dict.fromkeys(eligible, 0)
    desired: dict[str, dict[int, int]] = {}
    for name in sorted(specs):
        spec = specs[name]
        by_hash = sorted(eligible, key=lambda n: _hash(name, table.members[n].gate))
        if spec.holders <= 0 or spec.holders >= len(by_hash):
            chosen = by_hash
        else:
            chosen = _choose_holders(table, by_hash, load, preferred_load, spec)
        desired[name] = _split_evenly(spec.capacity, chosen)
        for n, units in desired[name].items():
            load[n] += units
    return desired


def _hash(name: str, gate: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{name}\0{gate}".encode())


def _preferred_load(specs: Mapping[str, RowSpec], members: int) -> float:
    """Return the load up to which a member is preferred, in units.

    Rows that all members hold are ignored, since they have no choice of holders.
    """
    total = sum(s.capacity for s in specs.values() if 0 < s.holders < members)
    return total / members * PREFERRED_LOAD_RATIO


def _choose_holders(
    table: Table,
    by_hash: list[int],
    load: dict[int, int],
    preferred_load: float,
    spec: RowSpec,
) -> list[int]:
    """Choose the holders of a row.

    Members within the preferred load come first, in hash order; then come the others,
    least loaded first.

    The first pass chooses holders in different failure domains, the second pass chooses
    the remaining ones in any.
    """
    share = -(-spec.capacity // spec.holders)  # Rounded up.
    within_limit = [n for n in by_hash if load[n] + share <= preferred_load]
    over_limit = sorted(
        (n for n in by_hash if n not in within_limit), key=lambda n: load[n]
    )
    order = within_limit + over_limit
    chosen = order[:1]
    for other_domain in (True, False):
        for n in order:
            if len(chosen) == spec.holders:
                return chosen
            used = {table.members[c].domain for c in chosen}
            if n in chosen or (other_domain and table.members[n].domain in used):
                continue
            chosen.append(n)
    return chosen


def _split_evenly(capacity: int, chosen: list[int]) -> dict[int, int]:
    quotient, remainder = divmod(capacity, len(chosen))
    shares = {n: quotient + (1 if i < remainder else 0) for i, n in enumerate(chosen)}
    return {n: u for n, u in shares.items() if u}


def _release(row: Row, desired: Mapping[int, int], version: int) -> None:
    """Release the excess units of each holder, so that they can be granted later."""
    for n, units in sorted(row.held.items()):
        excess = units - desired.get(n, 0)
        if excess <= 0:
            continue
        row.releases.append(Release(n, excess, version))
        if excess == units:
            del row.held[n]
        else:
            row.held[n] = units - excess


def _grant(row: Row, desired: Mapping[int, int]) -> None:
    """Grant units that are neither held nor being released."""
    free = row.capacity - row.committed_units()
    for n, units in sorted(desired.items()):
        granted = min(free, units - row.held.get(n, 0))
        if granted > 0:
            row.held[n] = row.held.get(n, 0) + granted
            free -= granted


def _remove_members_without_units(
    table: Table, live: set[str], leaving: frozenset[str]
) -> None:
    """Remove members that are leaving or silent, if they have no units."""
    with_units = {n for row in table.rows.values() for n in row.held}
    with_units |= {r.member for row in table.rows.values() for r in row.releases}
    without_units = {
        n
        for n, m in table.members.items()
        if n not in with_units and (m.vm in leaving or m.identity not in live)
    }
    _remove_members(table, without_units)
