# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which entries count as live, and which incarnation of an entry counts; pure.

Liveness rests on the age of the newest heartbeat that any entry received, since most
entries learn of most others by digests. No message says that an entry is dead. This
is all that happens as an entry falls silent, by the age of what it sent last:

| s | constant | what happens |
| --- | --- | --- |
| 0.7 | `use_merging.FRESH_S` | its part of quotas is reserved (other regions 1.2) |
| 0.8 | `roles.AGGREGATOR_SILENCE_S` | without digests, another one aggregates |
| 1.0 | `merging.HEARTBEAT_TRUST_S` | its requests in flight are not summed any more |
| 1.2 | `FORMER_INCARNATION_S` | an incarnation with a lower number may replace it |
| 1.6 | `SILENCE_S` | not live: not named, no role, logged as silent |
| 2.5 | `merging.PART_TRUST_S` | sums of its failure domain or region are not used |
| 3.2 | `FAR_SILENCE_S` | not live, in other regions |
| 20 | `workspaces.quota.RESERVATION_S` | its part of quotas is free again |
| 60 | `FORGET_S` | its record is deleted |
"""

from leverdoor.entry.membership.peer_record import LastSeen, PeerRecord

__all__ = [
    "FAR_SILENCE_S",
    "FORGET_S",
    "FORMER_INCARNATION_S",
    "HEARTBEAT_S",
    "SILENCE_S",
    "is_forgotten",
    "is_live",
    "supersedes",
]

HEARTBEAT_S = 0.2
"""Time between two rounds of heartbeats and of digests, in seconds.

Shorter rounds cost datagrams and CPU time in proportion; longer ones make all that
entries know of each other older, and each silence below longer.
"""
SILENCE_S = 1.6
"""Age of the newest heartbeat from which on an entry of the region is not live.

Heartbeats are up to 0.6 s old when a digest carries their age (p99, at 195 entries
and 5% of datagrams lost, benchmarks/knowledge.py); five more may be missed. Shorter,
lost datagrams make live entries silent; longer, callers get the address of a dead
entry for longer.
"""
FAR_SILENCE_S = 3.2
"""The same for entries of other regions, whose ages come once a second or so."""
FORGET_S = 60.0
"""Silence after which the record of an entry is deleted, in seconds.

Shorter, a cut entry's part of shared allowances is given away while it still serves;
longer, replaced VMs are counted beside their successors.
"""
FORMER_INCARNATION_S = 1.2
"""How much older than the newest one a heartbeat of another incarnation may be.

Six heartbeats, below `SILENCE_S`. Shorter, a late datagram of a process that ended
passes for a restart with the clock set back; longer, an entry whose clock was set back
is not named for longer after its restart.
"""


def is_live(record: PeerRecord, own_region: str, now: float) -> bool:
    """Return whether an entry counts as live.

    Args:
      record: of the entry.
      own_region: region of this entry.
      now: monotonic time in seconds.
    """
    near = record.member.region == own_region
    return now - record.heartbeat_at <= (SILENCE_S if near else FAR_SILENCE_S)


def is_forgotten(record: PeerRecord, now: float) -> bool:
    """Return whether an entry's record is to be deleted."""
    return now - record.reported_at > FORGET_S


def supersedes(record: PeerRecord, seen: LastSeen) -> bool:
    """Return whether another incarnation replaces the one on record.

    The higher number wins: incarnations are start times. One with a lower number
    follows where a clock was set back; it counts once the other has been silent.
    """
    if seen.row.incarnation < record.member.incarnation:
        return seen.at - record.heartbeat_at > FORMER_INCARNATION_S
    return record.heartbeat_at - seen.at <= FORMER_INCARNATION_S
