# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The promise that a confirmed change is in force in time, as a soak checks it.

Each version of the configuration has a route that no other version has, for which every
entry is asked again and again. Owns no state.
"""

import asyncio
from collections.abc import Iterator
from random import Random

from leverdoor.errors import Code
from leverdoor.standins.entry_site import SAMPLE_ROUTES
from leverdoor.standins.soak.record import Record
from leverdoor.standins.soak.site import SoakSite, mark_path

__all__ = ["change_again_and_again", "late_changes"]

IN_FORCE_S = 2.5
"""The bound, from the store's confirmation."""
IN_TOUCH_S = 4.0
"""How long an entry, its way to the store and the store must have been undisturbed."""
SHORTEST_S = 2.7
"""Shortest time between two changes, in seconds: each is asked for beyond its bound."""
LONGEST_S = 4.0
"""Longest such time."""


async def change_again_and_again(site: SoakSite, seed: int) -> None:
    """Write a configuration now and then, until cancelled."""
    rng = Random(f"changes/{seed}")
    while True:
        site.configure([dict(r) for r in SAMPLE_ROUTES])
        await asyncio.sleep(rng.uniform(SHORTEST_S, LONGEST_S))


def late_changes(record: Record) -> Iterator[str]:
    """Return a line for each route that an entry in touch lacked beyond the bound."""
    confirmed = dict(record.changes)
    replaced = {v: confirmed[v + 1] for v in confirmed if v + 1 in confirmed}
    version_of = {mark_path(v): v for v in confirmed}
    for a in record.attempts:
        version = version_of.get(a.path)
        if version is None or a.code != Code.NO_ROUTE.name:
            continue
        late_s = a.sent_at - confirmed[version] - IN_FORCE_S
        still_there = a.ended_at < replaced.get(version, a.ended_at + 1.0)
        in_touch = record.is_in_touch(a.entry, IN_TOUCH_S, a.sent_at, a.ended_at)
        if late_s > 0 and still_there and in_touch:
            yield f"CONFIG {a.entry}: no {a.path} {late_s:.2f} s beyond the bound"
