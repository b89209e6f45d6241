# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Target health at one gate: ejection, slow start and latency.

Owns mean latency, requests in flight, ejections and the latest probe result of each
target; all are lost when the process ends. Responses take precedence over probes: a
target that sheds requests is ejected regardless of its probe results. Relies on the
agent's probes, whose results may be seconds old.
"""

from leverdoor.model.probe import Probe
from leverdoor.model.resources import Target

__all__ = ["INITIAL_RUN_MS", "TargetHealthTable", "TargetHealth"]

FAILURE_EJECTION_INITIAL_S = 0.25
"""First ejection after a failure, in seconds; doubles with each further failure.

One failure is weak evidence. A longer ejection idles a healthy target after one lost
connection; a shorter one sends repeated retries to a failed target.
"""
FAILURE_EJECTION_MAX_S = 10.0
"""Maximum ejection after failures, in seconds.

Bounds the time until a recovered target receives its next request. A lower maximum
sends more requests to a target that is down.
"""
SHED_EJECTION_INITIAL_S = 0.1
"""First ejection after a shed request, in seconds; doubles with each further one.

Covers several runs of 20 ms, in which a slot of the target is likely to become free.
"""
SHED_EJECTION_MAX_S = 1.0
"""Maximum ejection after shed requests, in seconds.

Far below the maximum after failures: a target that sheds requests still works, so its
slots should not stay idle as long as those of a failed target.
"""
MAX_DOUBLINGS = 10
"""Doublings of an ejection that are computed; both maxima are reached by then."""
LATENCY_EWMA_WEIGHT = 0.2
"""Weight of one response in the moving average of a target's latency.

Averages about five responses. With a greater weight single responses dominate; with a
smaller one requests still go to a target that has become slow.
"""
INITIAL_RUN_MS = 20.0
"""Run time assumed before the first response, in ms: that of a look-up."""
MAX_REPORT_AGE_S = 5.0
"""Age above which a score ignores a probe result, in seconds.

Several probe intervals, so that one lost probe has little effect. A greater age ranks
targets by outdated load.
"""

MAX_PROBE_LAG_S = 1.0
"""Time by which a probe must be newer than a leaving response to clear it, in seconds.

A target may have answered an earlier probe before it announced leaving. A restart at
the address takes longer, so the probes of the new process are not ignored.
"""


def _ejection_s(initial_s: float, previous: int, max_s: float) -> float:
    """Return an ejection that doubles with each previous one, in seconds."""
    return min(initial_s * 2.0 ** min(previous, MAX_DOUBLINGS), max_s)


class TargetHealth:
    """Health of one target; all times are loop times in seconds."""

    def __init__(self, now: float) -> None:
        """Create the health of a target whose slow start begins at `now`."""
        self.mean_ms = INITIAL_RUN_MS
        self.in_flight = 0
        self.leaving = False
        self._leaving_recorded_at = -MAX_PROBE_LAG_S
        """Time of the latest response that announced leaving."""
        self._latest_probe_failed = False
        """True if the latest probe failed; the next successful one clears `leaving`."""
        self.ejected_until = 0.0
        self.slow_start_at = now
        self._failures = 0
        self._sheds = 0
        self._probe: Probe | None = None

    def served(self, took_ms: float) -> None:
        """Record a complete response."""
        self._failures = 0
        self._sheds = 0
        self.mean_ms += LATENCY_EWMA_WEIGHT * (took_ms - self.mean_ms)

    def failed(self, now: float) -> None:
        """Record a failed connection or a lost response."""
        ejection_s = _ejection_s(
            FAILURE_EJECTION_INITIAL_S, self._failures, FAILURE_EJECTION_MAX_S
        )
        self._failures += 1
        self.ejected_until = max(self.ejected_until, now + ejection_s)
        self.slow_start_at = self.ejected_until

    def shed(self, now: float) -> None:
        """Record a shed request and eject the target.

        Only a complete response resets the number of shed requests.
        """
        ejection_s = _ejection_s(
            SHED_EJECTION_INITIAL_S, self._sheds, SHED_EJECTION_MAX_S
        )
        self._sheds += 1
        self.ejected_until = max(self.ejected_until, now + ejection_s)

    def record_leaving(self, now: float) -> None:
        """Record a response that announced that the target is leaving."""
        self.leaving = True
        self._leaving_recorded_at = now

    def report(self, probe: Probe) -> None:
        """Record a probe result.

        A successful probe resets the failure count, unless the target shed requests
        since its latest complete response.
        """
        self._probe = probe
        self._update_leaving(probe)
        if probe.ok and self._failures and not self._sheds:
            self._failures = 0
        if not probe.ok:
            # The ejection starts at the time of the probe, not of its arrival here.
            self.failed(probe.taken_at)

    def _update_leaving(self, probe: Probe) -> None:
        """Update the leaving state from a probe.

        A probe that reports leaving sets the state. A successful probe without leaving
        clears it if the previous probe failed, or if the target serves reports and the
        probe is more than MAX_PROBE_LAG_S newer than the latest leaving response.
        """
        newer = probe.taken_at - self._leaving_recorded_at > MAX_PROBE_LAG_S
        if probe.leaving:
            self.leaving = True
        elif not probe.ok:
            self._latest_probe_failed = True
        elif self._latest_probe_failed or (probe.reports and newer):
            self.leaving = False
        if probe.ok:
            self._latest_probe_failed = False

    def usable(self, now: float) -> bool:
        """Return whether the target is neither leaving nor ejected."""
        return not self.leaving and now >= self.ejected_until

    def slow_start_slots(self, held: int, warmup_s: float, now: float) -> int:
        """Return how many slots this gate may use during slow start.

        The number rises linearly over `warmup_s` seconds from the end of the latest
        ejection after a failure; before any, from the creation of this object.
        """
        if warmup_s <= 0:
            return held
        share = (now - self.slow_start_at) / warmup_s
        return max(1, min(held, int(share * held)))

    def score(self, now: float) -> float:
        """Return the expected latency in ms; smaller is better.

        Requests in flight that the latest probe reports beyond this gate's own belong
        to other gates. They count at most half, and less as the probe result ages.
        """
        load = float(self.in_flight)
        probe = self._probe
        if probe is not None and now - probe.taken_at <= MAX_REPORT_AGE_S:
            weight = 1 - (now - probe.taken_at) / MAX_REPORT_AGE_S
            load += weight * max(probe.in_flight - self.in_flight, 0) / 2
        return self.mean_ms * (1 + load)


class TargetHealthTable:
    """The health of the known targets, by address."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._health: dict[str, TargetHealth] = {}

    def of(self, target: Target, now: float) -> TargetHealth:
        """Return the health of a target, creating it if unknown."""
        found = self._health.get(target.address)
        if found is None:
            found = self._health[target.address] = TargetHealth(now)
        return found

    def report(self, address: str, probe: Probe) -> None:
        """Record the probe result of an address.

        Probes of targets without an entry are ignored unless they report leaving.
        """
        found = self._health.get(address)
        if found is not None:
            found.report(probe)
        elif probe.leaving:
            found = self._health[address] = TargetHealth(probe.taken_at)
            found.report(probe)
