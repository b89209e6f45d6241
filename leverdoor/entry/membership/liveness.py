# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Rules for the liveness and the current incarnation of entries, as pure functions.

An entry is live as long as the newest heartbeat that any entry received from it is
recent enough. Most entries know most others only from digests: messages of aggregators
that carry the incarnations, states and heartbeat ages of a failure domain's entries. No
message reports that an entry is dead.

The table lists all effects of a silent entry by the age of the last information that it
sent: its heartbeat, unless the effect names digests or sums.

| age in s | constant | effect |
| --- | --- | --- |
| 0.7 | `usage_merging.FRESH_S` | its quota share is kept for it (other regions: 1.2) |
| 0.8 | `roles.AGGREGATOR_SILENCE_S` | without digests, another entry aggregates |
| 1.0 | `merging.HEARTBEAT_MAX_AGE_S` | its requests in flight are no longer counted |
| 1.2 | `SUPERSEDE_SILENCE_S` | an incarnation with a lower number may replace it |
| 1.6 | `SILENCE_S` | not live: not in look-ups, no role, logged as silent |
| 2.5 | `merging.SUM_MAX_AGE_S` | the request sums that it sent as aggregator expire |
| 3.2 | `REMOTE_SILENCE_S` | not live, as seen from other regions |
| 28 | `workspaces.isolation.RESERVATION_S` | its quota share is available to others |
| 60 | `RECORD_TTL_S` | its record is deleted, unless it is registered in the store |

Owns no state.
"""

from leverdoor.entry.membership.peer_record import HeartbeatObservation, PeerRecord

__all__ = [
    "HEARTBEAT_INTERVAL_S",
    "RECORD_TTL_S",
    "REMOTE_SILENCE_S",
    "SILENCE_S",
    "SUPERSEDE_SILENCE_S",
    "is_expired",
    "is_live",
    "is_superseded",
]

HEARTBEAT_INTERVAL_S = 0.2
"""Interval between rounds of heartbeats and digests, in seconds.

A shorter interval costs proportionally more datagrams and CPU time. A longer one makes
all information about peers older and requires longer timeouts below.
"""
SILENCE_S = 1.6
"""Heartbeat age above which an entry of the same region is not live, in seconds.

Heartbeats are up to 0.6 s old when a digest carries their age (p99, at 195 entries and
5% of datagrams lost, benchmarks/knowledge.py). The rest allows for five missed
heartbeats. With a shorter timeout, lost datagrams make live entries silent; with a
longer one, callers receive the address of a dead entry for longer.
"""
REMOTE_SILENCE_S = 3.2
"""Heartbeat age above which an entry of another region is not live, in seconds.

Digests with heartbeat ages arrive from other regions about once a second.
"""
RECORD_TTL_S = 60.0
"""Time without any report after which the record of an entry is deleted, in seconds.

Records of entries that are registered in the store are kept.

With a shorter time, the quota share of a partitioned entry is given to others although
it still serves. With a longer one, replaced VMs are counted in addition to their
successors.
"""
SUPERSEDE_SILENCE_S = 1.2
"""Silence in seconds after which a lower incarnation may replace the recorded one.

It equals six heartbeats and is less than `SILENCE_S`. With a shorter time, a late
datagram of a process that ended is mistaken for a restart with the clock set back. With
a longer one, an entry that restarted after its clock was set back is missing from
look-ups for longer.
"""


def is_live(record: PeerRecord, own_region: str, now: float) -> bool:
    """Return whether an entry is live.

    Args:
      record: the record of that entry.
      own_region: region of this entry.
      now: monotonic time in seconds.
    """
    in_own_region = record.member.region == own_region
    return now - record.heartbeat_at <= (
        SILENCE_S if in_own_region else REMOTE_SILENCE_S
    )


def is_expired(record: PeerRecord, now: float) -> bool:
    """Return whether the record of an entry has to be deleted."""
    return now - record.reported_at > RECORD_TTL_S


def is_superseded(record: PeerRecord, observation: HeartbeatObservation) -> bool:
    """Return whether the observed incarnation replaces the recorded one.

    Incarnations are start times, so a higher number replaces a lower one, unless its
    heartbeat is more than `SUPERSEDE_SILENCE_S` older than the recorded one. After a
    clock was set back, the new incarnation has a lower number. It replaces the recorded
    one only after that one has been silent for `SUPERSEDE_SILENCE_S`.
    """
    if observation.row.incarnation < record.member.incarnation:
        return observation.at - record.heartbeat_at > SUPERSEDE_SILENCE_S
    return record.heartbeat_at - observation.at <= SUPERSEDE_SILENCE_S
