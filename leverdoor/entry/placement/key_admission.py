# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Decides which keys a full region serves to requests that no other region may serve.

The load that this answers: a workspace is at home in one region only, and sends more
than that region's targets can serve. Their caches hold a part of its keys. If requests
are refused at random, nearly every run is cold, takes several times as long and evicts
another key, and nearly all requests that are served are late. Serving a part of the
keys, and the others not at all, answers several times as many in time.

Keys are admitted by a hash, so that all entries admit the same ones without a message
for each key. The admitted part of the hash range moves slowly, so that each key has its
turn.

`KeyAdmission` owns the admitted fraction of one region of a service, and
`KeyAdmissionTable` all of them. They are lost with the process; an entry that starts
approaches the mean of its region within seconds. Relies on `update` being called
several times a second, and on digests (entry/exchange) for that mean.
"""

import time
from collections.abc import Callable, Iterable, Mapping

from leverdoor.entry.placement.placement_request import PlacementRequest
from leverdoor.entry.placement.region_shares import UNUSABLE_UTILIZATION
from leverdoor.entry.placement.rendezvous import unit_hash

__all__ = ["ROTATION_S", "KeyAdmission", "KeyAdmissionTable"]

ADMISSION_SALT = "admission"
"""Makes this hash independent of those that order targets and regions."""
FULL_UTILIZATION = 1.0
"""Load over slots above which a region that admits all keys begins to refuse some.

With a greater value, requests are late before keys are refused. With a smaller one,
keys are refused although slots are free.
"""
DESIRED_UTILIZATION = 0.8
"""Load over slots that the admitted keys should cause.

Leaves room for the variation of arrivals at targets with few slots: above it, more
requests wait than their latency target allows. With a smaller value, slots are free
while keys are refused.
"""
MAX_CORRECTION_X = 2.0
"""Bound of the ratio of desired to current utilization that one step corrects.

A queue makes the utilization of a full region greater than its demand.
"""
CORRECTION_PER_S = 0.4
"""Part of the relative difference of utilization that is corrected in a second.

Utilization follows a change of the fraction after a run and a digest, about a second.
With a greater value, the fraction swings. With a smaller one, a burst is over before it
is answered.
"""
MIN_FRACTION = 0.1
"""Minimum admitted fraction: some keys are served whatever the load."""
UTILIZATION_SMOOTHING_S = 1.0
"""Averaging period of the utilization in seconds; covers several digests."""
AGREEMENT_PER_S = 0.5
"""Rate at which the fraction approaches the mean of the region's entries, per second.

Each entry controls little of a region's load; without agreement their fractions would
drift apart, and targets would run the keys between them cold.
"""
ROTATION_S = 300.0
"""Period after which each key has had its turn, in seconds.

With a smaller value, more keys run cold because they are admitted anew. With a greater
one, the callers of a refused key wait longer for its turn.
"""
MAX_STEP_S = 1.0
"""Maximum elapsed time that one update accounts for, in seconds."""
FULL = 1.0
"""The fraction when all keys are admitted."""
SENT_DIGITS = 3
"""Decimal digits of a fraction in messages."""


class KeyAdmission:
    """The admitted keys of one region of a service."""

    def __init__(self, now: float) -> None:
        """Create it with all keys admitted.

        Args:
          now: monotonic time in seconds.
        """
        self.fraction = FULL
        """Fraction of the keys that are admitted."""
        self._utilization = 0.0
        self._updated_at = now

    @property
    def restricts(self) -> bool:
        """Whether any key is refused."""
        return self.fraction < FULL

    def admits(self, key: str, wall_time: float) -> bool:
        """Return whether a key is admitted.

        Args:
          key: the affinity key.
          wall_time: time of day in seconds; a difference between entries of a second
            concerns one of ROTATION_S keys.
        """
        if not self.restricts:
            return True
        begin = wall_time / ROTATION_S
        return (unit_hash(key, ADMISSION_SALT) - begin) % 1.0 < self.fraction

    def update(
        self, utilization: float, mean_fraction: float | None, now: float
    ) -> None:
        """Update the admitted fraction.

        Args:
          utilization: load over slots of the region's usable targets; ignored if it has
            none.
          mean_fraction: mean of the entries of this entry's region; None if unknown.
          now: monotonic time in seconds.
        """
        elapsed_s = min(now - self._updated_at, MAX_STEP_S)
        self._updated_at = now
        if utilization >= UNUSABLE_UTILIZATION:
            return
        weight = min(1.0, elapsed_s / UTILIZATION_SMOOTHING_S)
        self._utilization += weight * (utilization - self._utilization)
        if mean_fraction is not None:
            step = min(1.0, AGREEMENT_PER_S * elapsed_s)
            self.fraction += step * (mean_fraction - self.fraction)
        if self.restricts or self._utilization > FULL_UTILIZATION:
            self._correct(elapsed_s)

    def _correct(self, elapsed_s: float) -> None:
        """Change the fraction towards the desired utilization."""
        ratio = DESIRED_UTILIZATION / max(self._utilization, MIN_FRACTION)
        bounded = min(max(ratio, 1 / MAX_CORRECTION_X), MAX_CORRECTION_X)
        self.fraction *= 1.0 + CORRECTION_PER_S * (bounded - 1.0) * elapsed_s
        self.fraction = min(max(self.fraction, MIN_FRACTION), FULL)


class KeyAdmissionTable:
    """The admitted keys of all services and regions at one entry."""

    def __init__(self, wall_clock: Callable[[], float] = time.time) -> None:
        """Create it without regions.

        Args:
          wall_clock: returns the time of day in seconds.
        """
        self._wall_clock = wall_clock
        self._admissions: dict[tuple[str, str], KeyAdmission] = {}

    def refuses(
        self, request: PlacementRequest, regions: list[str], now: float
    ) -> bool:
        """Return whether a request is refused because of its key.

        Args:
          request: the request; if it is not refused although keys are, it is marked to
            use the first target of its key only.
          regions: the regions that may serve it.
          now: monotonic time in seconds.
        """
        request.first_target_only = False
        if len(regions) != 1 or not request.route.affinity:
            return False
        admission = self._admission(request.service, regions[0], now)
        if not admission.admits(request.key, self._wall_clock()):
            return True
        request.first_target_only = admission.restricts
        return False

    def update(
        self,
        utilization: Mapping[tuple[str, str], float],
        means: Mapping[str, Mapping[str, float]],
        now: float,
    ) -> None:
        """Update all fractions; to be called several times a second.

        Args:
          utilization: load over slots, by service and region.
          means: by service and region, the mean fraction of this region's entries.
          now: monotonic time in seconds.
        """
        for (service, region), admission in self._admissions.items():
            mean = means.get(service, {}).get(region)
            admission.update(utilization[service, region], mean, now)

    def regions(self) -> list[tuple[str, str]]:
        """Return the services and regions that got such requests."""
        return list(self._admissions)

    def fractions(self) -> dict[tuple[str, str], float]:
        """Return the fraction of each service and region that got such requests."""
        return {key: a.fraction for key, a in self._admissions.items()}

    def restricted(self) -> dict[tuple[str, str], float]:
        """Return the fraction of each service and region that refuses keys."""
        return {
            key: admission.fraction
            for key, admission in self._admissions.items()
            if admission.restricts
        }

    def to_send(self) -> dict[str, dict[str, float]]:
        """Return the fractions to be sent in heartbeats, by service and region."""
        sent: dict[str, dict[str, float]] = {}
        for (service, region), fraction in self.restricted().items():
            sent.setdefault(service, {})[region] = round(fraction, SENT_DIGITS)
        return sent

    def keep_only(self, services: Iterable[str]) -> None:
        """Drop the services that are not listed."""
        kept = set(services)
        self._admissions = {k: a for k, a in self._admissions.items() if k[0] in kept}

    def _admission(self, service: str, region: str, now: float) -> KeyAdmission:
        """Return the state of a region of a service, created if necessary."""
        admission = self._admissions.get((service, region))
        if admission is None:
            admission = self._admissions[service, region] = KeyAdmission(now)
        return admission
