# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The targets of which one gate holds slots: which is free, which is best.

Owns the health of targets (`target_health.py`) and a list of held targets by service,
computed again when the table or the configuration changes. Relies on the holdings for
units (exact) and on the agent for VMs that leave.
"""

from collections.abc import Collection
from random import Random

from leverdoor.gate.row_units import HeldUnits
from leverdoor.gate.target_health import TargetHealthTable
from leverdoor.membership.ownership import slot_row
from leverdoor.model.resources import Target
from leverdoor.storage.view import View

__all__ = ["TargetPool"]

SCORE_JITTER = 0.1
"""Random part of a target's score.

Without it gates with the same reports send to the same target; a greater one hides
differences of latency that are real.
"""


class TargetPool:
    """Targets of this gate's region, by units held and health."""

    def __init__(self, region: str, held_units: HeldUnits, view: View) -> None:
        """Create it.

        Args:
          region: this gate's region.
          holdings: the units of this process.
          view: the configuration in force; set anew when it changes.
        """
        self.view = view
        self.health = TargetHealthTable()
        self.leaving_vms: frozenset[str] = frozenset()
        self._region = region
        self._held_units = held_units
        self._held_targets: dict[str, list[Target]] = {}
        self._held_of: tuple[View, int] = (view, -1)

    def targets(self, service: str) -> list[Target]:
        """Targets of a service of which slots are held here."""
        basis = (self.view, self._held_units.version)
        if self._held_of != basis:
            self._held_of = basis
            self._held_targets = {}
        found = self._held_targets.get(service)
        if found is None:
            rows = self._held_units.rows
            region = self.view.by_place.get((service, self._region), [])
            found = [t for t in region if slot_row(t.address) in rows]
            self._held_targets[service] = found
        return found

    def in_service(self, target: Target) -> bool:
        """Return whether a target is neither drained nor on a VM that leaves."""
        return target.vm not in self.leaving_vms and not self.view.drained(target)

    def open(self, target: Target, now: float) -> bool:
        """Return whether a target takes new work now."""
        return self.in_service(target) and self.health.of(target, now).usable(now)

    def free_at(self, target: Target, now: float) -> int:
        """Return how many slots of a target can be taken now; fewer in slow start."""
        row = slot_row(target.address)
        free = self._held_units.free(row, now)
        if free <= 0 or not target.warmup_ms:
            return free
        health = self.health.of(target, now)
        held = self._held_units.held(row)
        allowed = health.allowance(held, target.warmup_ms / 1000, now)
        return min(free, allowed - health.in_flight)

    def best(
        self, service: str, tried: Collection[str], rng: Random, now: float
    ) -> Target | None:
        """Choose the target of least expected latency that has a free slot."""
        best: Target | None = None
        best_score = 0.0
        for t in self.targets(service):
            if t.address in tried or not self.open(t, now) or self.free_at(t, now) <= 0:
                continue
            score = self.health.of(t, now).score(now) * (
                1 + SCORE_JITTER * rng.random()
            )
            if best is None or score < best_score:
                best, best_score = t, score
        return best

    def slots(self, service: str, now: float) -> int:
        """Slots held of targets that take new work."""
        return sum(
            self._held_units.held(slot_row(t.address))
            for t in self.targets(service)
            if self.open(t, now)
        )

    def free(self, service: str, now: float) -> int:
        """Slots that can be taken now."""
        return sum(
            max(self.free_at(t, now), 0)
            for t in self.targets(service)
            if self.open(t, now)
        )

    def slots_in_service(self, service: str) -> int:
        """Slots held, also of targets that are ejected for the moment."""
        return sum(
            self._held_units.held(slot_row(t.address))
            for t in self.targets(service)
            if self.in_service(t)
        )

    def first_ejection_end_ms(self, service: str, now: float) -> float:
        """Return the time until the first ejection of a target here ends, in ms."""
        pauses = [
            self.health.of(t, now).ejected_until - now
            for t in self.targets(service)
            if self.in_service(t)
        ]
        return 1000 * max(min(pauses, default=0.0), 0.0)

    def any_in_service(self, service: str) -> bool:
        """Return whether any region has a target in service, ejected or not."""
        return any(
            self.in_service(t)
            for region in {*self.view.regions, self._region}
            for t in self.view.by_place.get((service, region), [])
        )

    def draining(self, now: float) -> dict[str, int]:
        """Requests still in flight at targets here that are being drained."""
        drained = (
            t
            for t in self.view.targets.values()
            if t.region == self._region and self.view.drained(t)
        )
        counts = {t.name: self.health.of(t, now).in_flight for t in drained}
        return {name: n for name, n in counts.items() if n}
