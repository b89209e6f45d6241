# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Look-ups: which gates a caller should use, and for how long.

Owns no state. Relies on the scheduler for this gate's own load and for the heartbeats
of the others: silent and leaving ones are left out there.
"""

import msgspec

from leverdoor.gate.scheduler import Scheduler
from leverdoor.membership.peers import Load

__all__ = ["LookupAnswer", "LookupEntry", "named_entries"]

MAX_ENTRIES = 4
"""Most entries named in a look-up's answer.

One to use and three to fail over to. More spread callers over gates with fewer slots;
fewer leave a caller without one when a failure domain dies.
"""


class LookupEntry(msgspec.Struct, frozen=True):
    """One gate that a caller may use; callers choose by weight within a region."""

    address: str
    region: str
    weight: int


class LookupAnswer(msgspec.Struct, frozen=True):
    """Which gates to use for a service, and for how long.

    `key` is for one request of a service that runs at most once; else it is "".
    """

    service: str
    home: str
    entries: list[LookupEntry]
    ttl_ms: int
    key: str = ""


def named_entries(
    scheduler: Scheduler, service: str, home: str, own_address: str, now: float
) -> list[LookupEntry]:
    """Choose the gates to name: the home region first, then by slots held.

    Args:
      scheduler: whose heartbeats and loads count.
      service: the service looked up.
      home: the caller's region.
      own_address: this gate's address, "" while it is not to be used.
      now: monotonic time in seconds.
    """
    found = []
    own_load = scheduler.loads(now).get(service)
    if own_address and not scheduler.vm_leaving(scheduler.vm):
        found.append(_entry(own_address, scheduler.region, own_load))
    for heartbeat in scheduler.usable_gates(now):
        load = heartbeat.loads.get(service)
        found.append(_entry(heartbeat.gate, heartbeat.region, load))
    distance_ms = scheduler.view.distance_ms
    found.sort(key=lambda e: (distance_ms(home, e.region), -e.weight))
    return found[:MAX_ENTRIES]


def _entry(address: str, region: str, load: Load | None) -> LookupEntry:
    """Name a gate; its weight is one more than its slots, so that none has weight 0."""
    return LookupEntry(address, region, (load.held if load else 0) + 1)
