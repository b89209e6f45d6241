# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Aggregators forward the slowness of targets within their region.

The newest estimate of each target counts. Its age grows here, and an estimate is never
forwarded to the failure domain that it came from other than by digests for all entries,
whose recipients forward nothing; so it can't grow younger.

Owns the newest estimates of the own and of the other failure domains, lost with the
process and received again within a round. Relies on the caller for the time.
"""

from collections.abc import Iterable

import msgspec

from leverdoor.entry.placement.speed_estimate import LIFETIME_S, TargetSpeed

__all__ = ["SpeedRelay"]


class _Received(msgspec.Struct, frozen=True):
    """The slowness of a target and the time of the answer that reported it."""

    slowness: float
    at: float


class SpeedRelay:
    """The newest slowness of targets, as entries of the region reported it."""

    def __init__(self) -> None:
        """Create a relay without targets."""
        self._domain: dict[int, _Received] = {}
        """By target, from heartbeats of the own failure domain."""
        self._other_domains: dict[int, _Received] = {}
        """By target, from aggregators of the region's other failure domains."""

    def record_domain(self, speeds: Iterable[TargetSpeed], now: float) -> None:
        """Record the estimates of an entry's heartbeat."""
        _record(self._domain, speeds, now)

    def record_other_domains(self, speeds: Iterable[TargetSpeed], now: float) -> None:
        """Record the estimates of an aggregator of another failure domain."""
        _record(self._other_domains, speeds, now)

    def domain_speeds(
        self, own: Iterable[TargetSpeed], now: float
    ) -> list[TargetSpeed]:
        """Return the newest estimates of the own failure domain.

        Args:
          own: the estimates of this entry.
          now: monotonic time in seconds.
        """
        newest = dict(self._domain)
        _record(newest, own, now)
        return _aged(newest, now)

    def region_speeds(
        self, own: Iterable[TargetSpeed], now: float
    ) -> list[TargetSpeed]:
        """Return the newest estimates of the region; arguments as above."""
        newest = dict(self._domain)
        _record(newest, _aged(self._other_domains, now), now)
        _record(newest, own, now)
        return _aged(newest, now)

    def forget(self, now: float) -> None:
        """Remove estimates older than LIFETIME_S."""
        self._domain = _without_expired(self._domain, now)
        self._other_domains = _without_expired(self._other_domains, now)


def _record(
    known: dict[int, _Received], speeds: Iterable[TargetSpeed], now: float
) -> None:
    """Record estimates that are newer than the known ones."""
    for speed in speeds:
        at = now - speed.age_s
        current = known.get(speed.target)
        if current is None or at > current.at:
            known[speed.target] = _Received(speed.slowness, at)


def _without_expired(known: dict[int, _Received], now: float) -> dict[int, _Received]:
    return {t: r for t, r in known.items() if now - r.at <= LIFETIME_S}


def _aged(known: dict[int, _Received], now: float) -> list[TargetSpeed]:
    """Return the estimates that are at most LIFETIME_S old."""
    return [
        TargetSpeed(target, received.slowness, now - received.at)
        for target, received in known.items()
        if now - received.at <= LIFETIME_S
    ]
