# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Selects the gates that a look-up returns.

Owns no state. Relies on the scheduler for this gate's load and for the heartbeats of
the usable gates; the scheduler excludes silent and leaving ones.
"""

import msgspec

from leverdoor.gate.scheduler import Scheduler
from leverdoor.membership.peers import Load

__all__ = ["LookupAnswer", "LookupEntry", "select_entries"]

MAX_ENTRIES = 4
"""Maximum number of entries in a look-up response.

One to use and three for failover, by region and weight. With more entries, callers also
use gates with fewer slots; with fewer entries, a caller may have no gate left when a
failure domain fails.
"""


class LookupEntry(msgspec.Struct, frozen=True):
    """A gate that a caller may use; callers select by weight within a region."""

    address: str
    region: str
    weight: int


class LookupAnswer(msgspec.Struct, frozen=True):
    """Gates to use for a service, valid for `ttl_ms`.

    `key` is valid for one request; it is "" if the service needs no key.
    """

    service: str
    home: str
    entries: list[LookupEntry]
    ttl_ms: int
    key: str = ""


def select_entries(
    scheduler: Scheduler, service: str, home: str, own_address: str, now: float
) -> list[LookupEntry]:
    """Select gates by distance from the home region, then by slots held.

    Args:
      scheduler: source of heartbeats and loads.
      service: the service looked up.
      home: the caller's region.
      own_address: this gate's address, or "" to exclude it.
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
    """Create an entry; its weight is slots + 1, so that no weight is 0."""
    return LookupEntry(address, region, (load.held if load else 0) + 1)
