# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Selects among the targets at which this gate holds slots.

Owns the health of targets (`target_health.py`) and a cache of held targets by service,
which is recomputed when the table or the configuration changes. Both are lost when the
process ends. Relies on `row_units.py` for exact unit counts and on the agent for
leaving VMs.
"""

from collections.abc import Collection
from random import Random

from leverdoor.gate.row_units import HeldUnits
from leverdoor.gate.target_health import TargetHealthTable
from leverdoor.membership.ownership import slot_row_name
from leverdoor.model.resources import Target
from leverdoor.storage.view import View

__all__ = ["TargetPool"]

SCORE_JITTER = 0.1
"""Maximum random increase of a target's score, as a share of the score.

Without it, gates with the same probe results select the same target. A greater value
hides real latency differences.
"""


class TargetPool:
    """The targets at which this gate holds slots, with their health."""

    def __init__(self, region: str, held_units: HeldUnits, view: View) -> None:
        """Create a pool.

        Args:
          region: this gate's region.
          held_units: the units of this process.
          view: the configuration in force; replaced when it changes.
        """
        self.view = view
        self.health = TargetHealthTable()
        self.leaving_vms: frozenset[str] = frozenset()
        self._region = region
        self._held_units = held_units
        self._held_targets: dict[str, list[Target]] = {}
        self._cache_key: tuple[View, int] = (view, -1)

    def targets(self, service: str) -> list[Target]:
        """Return the targets of a service at which this gate holds slots."""
        cache_key = (self.view, self._held_units.version)
        if self._cache_key != cache_key:
            self._cache_key = cache_key
            self._held_targets = {}
        found = self._held_targets.get(service)
        if found is None:
            rows = self._held_units.rows
            region = self.view.targets_by_location.get((service, self._region), [])
            found = [t for t in region if slot_row_name(t.address) in rows]
            self._held_targets[service] = found
        return found

    def in_service(self, target: Target) -> bool:
        """Return whether a target is neither drained nor on a leaving VM."""
        return target.vm not in self.leaving_vms and not self.view.drained(target)

    def accepts_requests(self, target: Target, now: float) -> bool:
        """Return whether a target is in service and neither leaving nor ejected."""
        return self.in_service(target) and self.health.of(target, now).usable(now)

    def free_at(self, target: Target, now: float) -> int:
        """Return the number of free slots of a target, limited by slow start.

        Negative if more slots are in use than are granted or than slow start allows.
        """
        row = slot_row_name(target.address)
        free = self._held_units.free(row, now)
        if free <= 0 or not target.warmup_ms:
            return free
        health = self.health.of(target, now)
        held = self._held_units.held(row)
        allowed = health.slow_start_slots(held, target.warmup_ms / 1000, now)
        return min(free, allowed - health.in_flight)

    def best(
        self, service: str, tried: Collection[str], rng: Random, now: float
    ) -> Target | None:
        """Select the target with a free slot and the lowest jittered latency score.

        Excludes the addresses in `tried`.
        """
        best: Target | None = None
        best_score = 0.0
        for t in self.targets(service):
            if (
                t.address in tried
                or not self.accepts_requests(t, now)
                or self.free_at(t, now) <= 0
            ):
                continue
            score = self.health.of(t, now).score(now) * (
                1 + SCORE_JITTER * rng.random()
            )
            if best is None or score < best_score:
                best, best_score = t, score
        return best

    def slots(self, service: str, now: float) -> int:
        """Return the number of slots held at targets that accept new requests."""
        return sum(
            self._held_units.held(slot_row_name(t.address))
            for t in self.targets(service)
            if self.accepts_requests(t, now)
        )

    def free(self, service: str, now: float) -> int:
        """Return the number of free slots at targets that accept new requests."""
        return sum(
            max(self.free_at(t, now), 0)
            for t in self.targets(service)
            if self.accepts_requests(t, now)
        )

    def slots_in_service(self, service: str) -> int:
        """Return the number of slots held at targets in service, ejected or not."""
        return sum(
            self._held_units.held(slot_row_name(t.address))
            for t in self.targets(service)
            if self.in_service(t)
        )

    def first_ejection_end_ms(self, service: str, now: float) -> float:
        """Return the time in ms until the first ejection of a held target ends.

        0 if a held target is not ejected, or if none is held in service.
        """
        remaining = [
            self.health.of(t, now).ejected_until - now
            for t in self.targets(service)
            if self.in_service(t)
        ]
        return 1000 * max(min(remaining, default=0.0), 0.0)

    def any_in_service(self, service: str) -> bool:
        """Return whether any region has a target in service, even an ejected one."""
        return any(
            self.in_service(t)
            for region in {*self.view.regions, self._region}
            for t in self.view.targets_by_location.get((service, region), [])
        )

    def draining(self, now: float) -> dict[str, int]:
        """Return the requests in flight at drained targets of this region, by name."""
        drained = (
            t
            for t in self.view.targets.values()
            if t.region == self._region and self.view.drained(t)
        )
        counts = {t.name: self.health.of(t, now).in_flight for t in drained}
        return {name: n for name, n in counts.items() if n}
