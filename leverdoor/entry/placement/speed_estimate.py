# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Estimates how long work takes at targets now, relative to usual.

Targets that share their machines with other work report it in each answer. The load
that this answers: a target whose runs take several times as long while others have free
slots. Its callers wait for a slow slot although a usual one is free.

Owns, by target, the decayed mean of the reports and the time of the newest one. It is
lost with the process and known again after the next answers; entries that are older
than LIFETIME_S are dropped.

Relies on reports in answers (entry/requests) and on the reports of the region's other
entries (entry/exchange). Times are monotonic, in seconds.
"""

import math
from collections.abc import Iterable

import msgspec

__all__ = [
    "AS_USUAL",
    "LIFETIME_S",
    "MAX_SLOWNESS",
    "MIN_TOLD_SLOWNESS",
    "SlownessChange",
    "SpeedTable",
    "TargetSpeed",
    "TRUSTED_AGE_S",
]

AS_USUAL = 1.0
"""Slowness of a target at which work takes as long as usual.

Also the lower bound of reports: the slots of a target are its own bound, and a figure
that is garbled must not attract requests.
"""
MAX_SLOWNESS = 8.0
"""Upper bound of reports.

At 8, even a warm run takes three times the latency target, so the target is used last.
With a greater value, one garbled figure would make every deadline seem too short there.
"""
TRUSTED_AGE_S = 0.6
"""Age up to which a report counts fully, in seconds.

A digest is up to 0.57 s old within a region (p99). With a smaller value, the entries
that are told underestimate what the others know. With a greater one, they rely on
reports that have changed since.
"""
LIFETIME_S = 1.2
"""Age at which a report says nothing any more, in seconds; its weight falls until then.

Reports change many times a second. Without requests there are no new ones, so after
this time a target is tried again, whatever it reported. With a greater value, a target
stays unused after it has become fast again. With a smaller one, all entries try a slow
target again before the first of them is answered.
"""
SMOOTHING_S = 0.2
"""Averaging period of reports in seconds, the shortest runs of services.

A run meets the mean of the reports during it. With a greater value, the estimate misses
the beginning of a disturbance. With a smaller one, it follows single reports.
"""
MIN_TOLD_SLOWNESS = 1.25
"""Slowness from which other entries are told of a target.

Run times vary by 15% anyway. With a greater value, entries disagree on a target's cost;
with a smaller one, digests carry targets that no choice depends on.
"""
MAX_TOLD_AGE_S = 0.4
"""Age up to which this entry's own reports are told, in seconds: two heartbeats.

One heartbeat may be lost.
"""
NEVER = -math.inf


class TargetSpeed(msgspec.Struct, frozen=True):
    """The slowness of a target, as one entry estimates it from answers."""

    target: int
    """The `target_id` of the target."""
    slowness: float
    """Duration of work relative to usual."""
    age_s: float
    """Age of the newest answer in the estimate, in seconds."""


class SlownessChange(msgspec.Struct, frozen=True):
    """A target that became slower than usual, or is as usual again."""

    target: str
    """Name of the target."""
    slowness: float


class _Estimate(msgspec.Struct):
    """The reports of one target."""

    slowness: float = AS_USUAL
    """Mean of the reports, without the decay since the newest one."""
    at: float = NEVER
    """Time of the newest report, of any entry."""
    own_at: float = NEVER
    """Time of the newest answer to this entry."""
    slow_at: float = NEVER
    """Time of the newest report after which the mean was MIN_TOLD_SLOWNESS or more."""
    name: str = ""
    """Name of the target; empty until it answers this entry."""
    logged_slow: bool = False
    """Whether the last change that was returned for the log is that it is slow."""

    def record(self, reported: float, at: float) -> None:
        """Add a report to the mean, unless a newer one is in it already."""
        if at <= self.at:
            return
        weight = 1.0 - math.exp(-(at - self.at) / SMOOTHING_S)
        self.slowness += weight * (bounded_slowness(reported) - self.slowness)
        self.at = at
        if self.slowness >= MIN_TOLD_SLOWNESS:
            self.slow_at = at

    def current(self, now: float) -> float:
        """Return the mean, moved to AS_USUAL by the age of the newest report."""
        remaining_s = self.at + LIFETIME_S - now
        weight = min(max(remaining_s / (LIFETIME_S - TRUSTED_AGE_S), 0.0), 1.0)
        return AS_USUAL + weight * (self.slowness - AS_USUAL)


class SpeedTable:
    """The slowness of the targets that report it."""

    def __init__(self) -> None:
        """Create a table without targets."""
        self._estimates: dict[int, _Estimate] = {}

    def slowness(self, target: int, now: float) -> float:
        """Return how long work takes at a target now, relative to usual.

        Between AS_USUAL and MAX_SLOWNESS; AS_USUAL without a recent report.

        Args:
          target: the `target_id` of the target.
          now: monotonic time in seconds.
        """
        if target not in self._estimates:
            return AS_USUAL
        return self._estimates[target].current(now)

    def record_answer(
        self, target: int, name: str, slowness: float, now: float
    ) -> None:
        """Record the slowness that a target reported to this entry.

        Targets that report none, or that are as usual, are not stored.

        Args:
          target: the `target_id` of the target.
          name: its name.
          slowness: as reported, not bounded.
          now: monotonic time in seconds.
        """
        estimate = self._estimates.get(target)
        if estimate is None:
            if slowness <= AS_USUAL:
                return
            estimate = self._estimates[target] = _Estimate()
        estimate.record(slowness, now)
        estimate.own_at = now
        estimate.name = name

    def receive(self, speeds: Iterable[TargetSpeed], now: float) -> None:
        """Record what other entries estimate; outdated estimates are ignored."""
        for speed in speeds:
            if speed.age_s > LIFETIME_S:
                continue
            estimate = self._estimates.get(speed.target)
            if estimate is None:
                estimate = self._estimates[speed.target] = _Estimate()
            estimate.record(speed.slowness, now - speed.age_s)

    def to_tell(self, now: float) -> list[TargetSpeed]:
        """Return the targets that other entries should know of.

        These are targets that recently answered this entry and are slower than usual,
        or were so within LIFETIME_S and are not any more.
        """
        return [
            TargetSpeed(target, estimate.slowness, now - estimate.own_at)
            for target, estimate in self._estimates.items()
            if now - estimate.own_at <= MAX_TOLD_AGE_S
            and now - estimate.slow_at <= LIFETIME_S
        ]

    def slow_count(self, now: float) -> int:
        """Return the number of targets that are slower than usual."""
        return sum(
            estimate.current(now) >= MIN_TOLD_SLOWNESS
            for estimate in self._estimates.values()
        )

    def take_changes(self, now: float) -> list[SlownessChange]:
        """Return the targets of this entry that changed since the previous call.

        A change is that a target became slower than usual, or is as usual again. How
        often this is called bounds the log lines of a target whose reports alternate.
        """
        changes = []
        for estimate in self._estimates.values():
            slowness = estimate.current(now)
            is_slow = slowness >= MIN_TOLD_SLOWNESS
            if estimate.name and is_slow != estimate.logged_slow:
                estimate.logged_slow = is_slow
                changes.append(SlownessChange(estimate.name, slowness))
        return changes

    def forget(self, now: float) -> None:
        """Drop the targets without a report within LIFETIME_S."""
        self._estimates = {
            target: estimate
            for target, estimate in self._estimates.items()
            if now - estimate.at <= LIFETIME_S
        }


def bounded_slowness(reported: float) -> float:
    """Return a reported slowness within AS_USUAL and MAX_SLOWNESS."""
    return min(max(reported, AS_USUAL), MAX_SLOWNESS)
