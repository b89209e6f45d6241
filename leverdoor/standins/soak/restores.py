# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Returns of the store from a copy in a soak, and the check on targets that left.

A plan of its own beside that of `plan`, so that a seed's other faults stay the same.
What the operator and the targets wrote since the copy is written again within a moment;
what the entries wrote is not. State: what is to be written again. Relies on the
site's store and on the record for when the store was disturbed.
"""

import asyncio
from collections.abc import Iterator
from random import Random

import msgspec

from leverdoor.standins.metadata import MetadataCopy, MetadataFaults
from leverdoor.standins.soak.record import Record, now_s
from leverdoor.standins.soak.site import SoakSite

__all__ = ["PlannedRestore", "Restores", "draw_restores", "left_too_late"]

OLDEST_COPY_S = 8.0
"""Greatest age of a copy when the store goes away, in seconds."""
LONGEST_AWAY_S = 1.2
"""Longest time for which the store is away before it is back, in seconds."""
WRITTEN_AGAIN_S = 0.4
"""Time within which the operator and the targets write again, in seconds."""
SERIES_CHANCE = 0.3
"""Chance that the store comes back once more soon after."""
SOON_S = 3.0
"""Longest time until it does, in seconds."""
LEFT_S = 2.5
"""Bound on requests to a target that left, in seconds."""
IN_TOUCH_S = 4.0
"""How long an entry and the store must have been undisturbed for the bound to hold."""
FOREIGN_PREFIXES = ("op/", "servers/")
"""Prefixes of the keys that the operator and the targets write."""


class PlannedRestore(msgspec.Struct, frozen=True):
    """One return of the store from a copy."""

    at_s: float
    """When the copy is taken."""
    copy_age_s: float
    """Time from the copy until the store goes away."""
    away_s: float
    seed: float
    """Draws when each key is written again."""


def draw_restores(seed: int, seconds: float, count: int) -> list[PlannedRestore]:
    """Draw the returns of a soak, the first one first.

    Args:
      seed: the same seed gives the same returns.
      seconds: within which all copies are taken.
      count: how many.
    """
    rng = Random(f"restores/{seed}")
    found: list[PlannedRestore] = []
    while len(found) < count:
        repeats = bool(found) and rng.random() < SERIES_CHANCE
        soon_s = found[-1].at_s + rng.random() * SOON_S if repeats else seconds
        at_s = soon_s if repeats else rng.random() * seconds
        age_s = rng.uniform(0.2, OLDEST_COPY_S)
        away_s = rng.uniform(0.1, LONGEST_AWAY_S)
        found.append(PlannedRestore(min(at_s, seconds), age_s, away_s, rng.random()))
    return sorted(found, key=lambda r: r.at_s)


class Restores:
    """Plays returns of the store, which may overlap with each other and with faults."""

    def __init__(self, site: SoakSite, record: Record) -> None:
        """Create it.

        Args:
          site: whose store comes back.
          record: where it is noted when the store was disturbed.
        """
        self._store = site.store
        self._record = record
        self._restored_at = 0
        """Revision of the newest return; what has a higher one was written since."""
        self._unwritten: dict[str, bytes | None] = {}
        """What is to be written again: values, or None for a removal."""

    async def play(self, planned: PlannedRestore) -> None:
        """Wait for a return's time, and play it until all is written again."""
        await asyncio.sleep(planned.at_s)
        copy = self._store.copy()
        await asyncio.sleep(planned.copy_age_s)
        began = now_s()
        self._store.faults = MetadataFaults(busy=503)
        await asyncio.sleep(planned.away_s)
        self._restore(copy)
        self._store.faults = MetadataFaults()
        await self._write_again(Random(planned.seed))
        self._record.store_disturbed.append((began, now_s()))
        self._record.written_again.append(now_s())

    def _restore(self, copy: MetadataCopy) -> None:
        """Come back as a copy, and note what its writers have to write again."""
        written = self._foreign()
        for key, value in self._unwritten.items():
            if not self._store.changed_since(key, self._restored_at):
                written[key] = value
        self._store.restore(copy)
        self._restored_at = copy.revision
        stored = self._foreign()
        keys = written.keys() | stored.keys()
        self._unwritten = {
            k: written.get(k) for k in keys if written.get(k) != stored.get(k)
        }

    def _foreign(self) -> dict[str, bytes | None]:
        items = self._store.items.values()
        return {i.key: i.value for i in items if i.key.startswith(FOREIGN_PREFIXES)}

    async def _write_again(self, rng: Random) -> None:
        """Let the operator and the targets write again what the copy lacks."""
        era = self._store.era
        waits = [(rng.random() * WRITTEN_AGAIN_S, key) for key in self._unwritten]
        waited_s = 0.0
        for wait_s, key in sorted(waits):
            await asyncio.sleep(wait_s - waited_s)
            waited_s = wait_s
            if self._store.era != era:
                return  # It came back once more, and the next return writes again.
            value = self._unwritten.pop(key)
            if self._store.changed_since(key, self._restored_at):
                continue
            if value is None:
                self._store.remove(key)
            else:
                self._store.put(key, value)


def left_too_late(record: Record, left: dict[str, float]) -> Iterator[str]:
    """Return a line for each request to a target that left longer ago than the bound.

    Args:
      record: what was seen.
      left: when each target began to leave, by its name.
    """
    sent = {a.request_id: a for a in record.attempts}
    for run in record.runs:
        attempt = sent.get(run.request_id)
        late_s = run.at - left.get(run.target, run.at) - LEFT_S
        if attempt is None or late_s <= 0:
            continue
        if record.is_in_touch(attempt.entry, IN_TOUCH_S, attempt.sent_at, run.at):
            yield f"DRAIN {run.target}: used {late_s:.2f} s beyond the bound"
