# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The ownership table: who holds which units of each limited resource.

A row is one limited resource: a target's slots or a shift cap's units. The
sum of what is held and what is being given back never exceeds the capacity
that the row had when the units were granted. Units change hands in two
writes: the first takes them from the holder, the second grants them, and
comes only after the holder acknowledged the first, or is proved to be gone.

The rules of docs/DESIGN.md and where they stand: *hold* `assign`, *release* `_release`,
*acknowledge* `_end_releases`, *grant* `_grant`, *proof of death* `_remove_gone` and
`_admit`; *ripen* and *cool* are the holder's (`gate/row_units.py`). Owns no state: the
table is kept in the store and written by compare-and-swap (`agent/planning.py`).

The units of a VM that died can be used again after: two readings of the VM list without
it, further apart than the list's lag (`vm_list_lag_ms`, `agent/vm_watch.py`); the next
round of a planner (PLAN_INTERVAL_S, `agent/planning.py`); and their ripening for the
service's `linger_ms` or the cap's window (`gate/row_units.py`).
"""

from collections.abc import Iterable, Mapping

import msgspec
import xxhash

__all__ = [
    "Ack",
    "GateProcess",
    "Release",
    "Row",
    "RowSpec",
    "Table",
    "cap_row",
    "parse_table",
    "plan",
    "serialize_table",
    "slot_row",
]

HOLDERS = 2
"""Processes that hold a target's slots; half stay usable when one dies.

With one, a VM that dies takes all of them along; with more, each holds fewer. Latency
doesn't decide it: p99 at 95% load was 109, 108 and 108 ms with one, two and all holders
(docs/MEASUREMENTS.md).
"""
LOAD_SLACK = 1.25
"""Greatest load of a holder, over the mean.

A smaller one moves more units when a process comes or goes, and units on the move serve
nobody; a greater one makes some gates forward more.
"""


class GateProcess(msgspec.Struct, frozen=True, array_like=True):
    """One gate process: an address on a VM and its incarnation."""

    vm: str
    gate: str
    incarnation: int
    domain: str = ""

    @property
    def identity(self) -> str:
        """The process, distinguished from earlier ones at the same address."""
        return f"{self.vm}|{self.gate}|{self.incarnation}"


class Release(msgspec.Struct, frozen=True, array_like=True):
    """Units taken from a member that has not acknowledged it yet."""

    member: int
    units: int
    version: int


class Row(msgspec.Struct, array_like=True):
    """One limited resource and who holds how many of its units."""

    capacity: int
    held: dict[int, int] = {}
    releases: list[Release] = []

    def committed(self) -> int:
        """Units that somebody may be using."""
        return sum(self.held.values()) + sum(r.units for r in self.releases)


class Table(msgspec.Struct):
    """All rows of one region."""

    region: str
    version: int = 0
    next_member: int = 1
    members: dict[int, GateProcess] = {}
    rows: dict[str, Row] = {}

    def member_id(self, gate: str, incarnation: int) -> int:
        """Return a process's number in the table, 0 if it has none."""
        for number, m in self.members.items():
            if m.gate == gate and m.incarnation == incarnation:
                return number
        return 0


class RowSpec(msgspec.Struct, frozen=True):
    """What a row should be: capacity, and how many members share it."""

    capacity: int
    spread: int = HOLDERS


class Ack(msgspec.Struct, frozen=True, array_like=True):
    """What a holder has applied, and the rows on which it still uses too much."""

    version: int
    over: list[str] = []


def slot_row(address: str) -> str:
    """Name the row of a target's slots; by address, which is the machine."""
    return "t:" + address


def cap_row(service: str, region: str) -> str:
    """Name the row of a shift cap's units."""
    return f"c:{service}:{region}"


def parse_table(data: bytes) -> Table:
    """Parse a table as the store keeps it."""
    return msgspec.msgpack.decode(data, type=Table)


def serialize_table(table: Table) -> bytes:
    """Serialize a table for the store."""
    return msgspec.msgpack.encode(table)


def plan(
    table: Table,
    specs: Mapping[str, RowSpec],
    live: Iterable[GateProcess],
    leaving: frozenset[str] = frozenset(),
    gone: frozenset[str] = frozenset(),
    acks: Mapping[str, Ack] | None = None,
) -> Table | None:
    """Compute the next table.

    Args:
      table: the table as the store has it.
      specs: the rows that should be, by name.
      live: processes with fresh heartbeats, which may be given units.
      leaving: VMs that should hold nothing any more.
      gone: identities of processes proved to be gone.
      acks: acknowledgements by process identity.
    Returns: the next table, or None when nothing changes.
    """
    after = _copy(table)
    after.version = table.version + 1
    _remove_gone(after, gone)
    _admit(after, live, leaving)
    _end_releases(after, acks or {})
    eligible = [n for n, m in after.members.items() if m.vm not in leaving]
    wanted = assign(after, specs, eligible)
    for name in sorted(set(after.rows) | set(specs)):
        row = after.rows.setdefault(name, Row(0, {}, []))
        spec = specs.get(name)
        row.capacity = spec.capacity if spec else 0
        _release(row, wanted.get(name, {}), after.version)
        _grant(row, wanted.get(name, {}))
        if spec is None and not row.committed():
            del after.rows[name]
    _forget_idle(after, {m.identity for m in live}, leaving)
    return None if _same(table, after) else after


def _copy(table: Table) -> Table:
    rows = {
        name: Row(r.capacity, dict(r.held), list(r.releases))
        for name, r in table.rows.items()
    }
    return Table(
        table.region, table.version, table.next_member, dict(table.members), rows
    )


def _same(a: Table, b: Table) -> bool:
    return a.members == b.members and a.rows == b.rows


def _remove_gone(table: Table, gone: frozenset[str]) -> None:
    """Proof of death by the VM list: what such a process held is free."""
    dead = {n for n, m in table.members.items() if m.identity in gone}
    _remove(table, dead)


def _remove(table: Table, dead: set[int]) -> None:
    if not dead:
        return
    for number in dead:
        del table.members[number]
    for row in table.rows.values():
        row.held = {n: u for n, u in row.held.items() if n not in dead}
        row.releases = [r for r in row.releases if r.member not in dead]


def _admit(table: Table, live: Iterable[GateProcess], leaving: frozenset[str]) -> None:
    """Enter new processes; proof of death by address.

    A process binds its address before its first heartbeat, so a later incarnation at
    the same address of the same VM proves the earlier one dead.
    """
    for m in sorted(live, key=lambda m: m.identity):
        earlier = {
            n for n, o in table.members.items() if (o.vm, o.gate) == (m.vm, m.gate)
        }
        if any(table.members[n].incarnation >= m.incarnation for n in earlier):
            continue
        _remove(table, earlier)
        if m.vm in leaving:
            continue
        table.members[table.next_member] = m
        table.next_member += 1


def _end_releases(table: Table, acks: Mapping[str, Ack]) -> None:
    """End the releases that their holders have acknowledged."""
    for name, row in table.rows.items():
        row.releases = [
            r
            for r in row.releases
            if not _acked(acks.get(table.members[r.member].identity), name, r)
        ]


def _acked(ack: Ack | None, name: str, release: Release) -> bool:
    """Return whether a holder applied the release and uses no more than it holds."""
    return ack is not None and ack.version >= release.version and name not in ack.over


def assign(
    table: Table, specs: Mapping[str, RowSpec], eligible: list[int]
) -> dict[str, dict[int, int]]:
    """Choose who should hold what.

    Rendezvous hashing with a bound on each member's load, so that few units
    move when members come and go; holders of a row stand in different failure
    domains where they can.
    """
    if not eligible:
        return {}
    limit = _load_limit(specs, len(eligible))
    load = dict.fromkeys(eligible, 0)
    wanted: dict[str, dict[int, int]] = {}
    for name in sorted(specs):
        spec = specs[name]
        by_hash = sorted(eligible, key=lambda n: _hash(name, table.members[n].gate))
        if spec.spread <= 0 or spec.spread >= len(by_hash):
            chosen = by_hash
        else:
            chosen = _choose(table, by_hash, load, limit, spec)
        wanted[name] = _split(spec.capacity, chosen)
        for n, units in wanted[name].items():
            load[n] += units
    return wanted


def _hash(name: str, gate: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{name}\0{gate}".encode())


def _load_limit(specs: Mapping[str, RowSpec], members: int) -> float:
    total = sum(s.capacity for s in specs.values() if 0 < s.spread < members)
    return total / members * LOAD_SLACK


def _choose(
    table: Table,
    by_hash: list[int],
    load: dict[int, int],
    limit: float,
    spec: RowSpec,
) -> list[int]:
    """Choose a row's holders: by hash within the limit, then the least loaded.

    The first pass takes each from another failure domain, the second the rest.
    """
    share = -(-spec.capacity // spec.spread)
    within = [n for n in by_hash if load[n] + share <= limit]
    past = sorted((n for n in by_hash if n not in within), key=lambda n: load[n])
    order = within + past
    chosen = order[:1]
    for other_domain in (True, False):
        for n in order:
            if len(chosen) == spec.spread:
                return chosen
            used = {table.members[c].domain for c in chosen}
            if n in chosen or (other_domain and table.members[n].domain in used):
                continue
            chosen.append(n)
    return chosen


def _split(capacity: int, chosen: list[int]) -> dict[int, int]:
    each, rest = divmod(capacity, len(chosen))
    shares = {n: each + (1 if i < rest else 0) for i, n in enumerate(chosen)}
    return {n: u for n, u in shares.items() if u}


def _release(row: Row, wanted: Mapping[int, int], version: int) -> None:
    """First write: turn what a holder has too much into a release."""
    for n, units in sorted(row.held.items()):
        extra = units - wanted.get(n, 0)
        if extra <= 0:
            continue
        row.releases.append(Release(n, extra, version))
        if extra == units:
            del row.held[n]
        else:
            row.held[n] = units - extra


def _grant(row: Row, wanted: Mapping[int, int]) -> None:
    """Second write: give units that nobody holds or is releasing."""
    free = row.capacity - row.committed()
    for n, units in sorted(wanted.items()):
        more = min(free, units - row.held.get(n, 0))
        if more > 0:
            row.held[n] = row.held.get(n, 0) + more
            free -= more


def _forget_idle(table: Table, live: set[str], leaving: frozenset[str]) -> None:
    """Remove members that hold nothing and are leaving or have no fresh heartbeat."""
    busy = {n for row in table.rows.values() for n in row.held}
    busy |= {r.member for row in table.rows.values() for r in row.releases}
    idle = {
        n
        for n, m in table.members.items()
        if n not in busy and (m.vm in leaving or m.identity not in live)
    }
    _remove(table, idle)
