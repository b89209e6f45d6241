# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The health of each target as one gate sees it: ejection, slow start, latency.

Owns mean latency, requests in flight, ejections and the last report of each target;
all of it starts anew with the process. Answers count first: a target that sheds is
ejected whatever it reports. Reports come from the agent's probes, seconds old.
"""

from leverdoor.model.probe import Probe
from leverdoor.model.resources import Target

__all__ = ["INITIAL_RUN_MS", "TargetHealthTable", "TargetHealth"]

FAILURE_EJECTION_FIRST_S = 0.25
"""First ejection of a target that failed, in seconds; it doubles with each failure.

One failure says little. A longer one idles a good target after one lost connection; a
shorter one sends retry after retry to a dead one.
"""
FAILURE_EJECTION_LONGEST_S = 10.0
"""Longest ejection after failures, in seconds.

A target that is back waits that long at most for its next request; a shorter one loses
a request more often while it stays dead.
"""
SHED_EJECTION_FIRST_S = 0.1
"""First ejection of a target that shed a request, in seconds; it doubles.

Some runs of 20 ms, in which a slot of the target is likely to become free.
"""
SHED_EJECTION_LONGEST_S = 1.0
"""Longest ejection after shed requests, in seconds.

Far below that of failures: a target that sheds works, and does so less than a
dead one keeps its slots idle.
"""
LATENCY_EWMA_WEIGHT = 0.2
"""Weight of one answer in the mean latency of a target.

The last five answers. A greater one lets single answers decide; a smaller one sends
requests to a target that has become slow.
"""
INITIAL_RUN_MS = 20.0
"""Run time assumed before any answer, in ms: the run of a look-up."""
MAX_REPORT_AGE_S = 5.0
"""Age in seconds at which a target's own report counts for nothing.

Some intervals of the probes, so that one lost probe changes little; a longer one orders
targets by load that has gone.
"""

MAX_PROBE_LAG_S = 1.0
"""Time after an answer that said that the target leaves in which a probe that says
otherwise counts as older, in seconds. A new start at the address takes longer."""


class TargetHealth:
    """One target's health; times are loop times in seconds."""

    def __init__(self, now: float) -> None:
        """Create it, cold, in service since `now`."""
        self.mean_ms = INITIAL_RUN_MS
        self.in_flight = 0
        self.leaving = False
        self._leaving_recorded_at = -MAX_PROBE_LAG_S
        """When an answer last said that it leaves."""
        self._process_ended = False
        """The newest probe did not reach it: what comes next is a new start."""
        self.ejected_until = 0.0
        self.slow_start_at = now
        self._failures = 0
        self._sheds = 0
        self._probe: Probe | None = None

    def served(self, took_ms: float) -> None:
        """Record a whole answer."""
        self._failures = 0
        self._sheds = 0
        self.mean_ms += LATENCY_EWMA_WEIGHT * (took_ms - self.mean_ms)

    def failed(self, now: float) -> None:
        """Record a failed connection or a lost answer."""
        wait = min(
            FAILURE_EJECTION_FIRST_S * 2**self._failures, FAILURE_EJECTION_LONGEST_S
        )
        self._failures += 1
        self.ejected_until = max(self.ejected_until, now + wait)
        self.slow_start_at = self.ejected_until

    def shed(self, now: float) -> None:
        """Record that the target shed a request; its reports don't end the pause."""
        wait = min(SHED_EJECTION_FIRST_S * 2**self._sheds, SHED_EJECTION_LONGEST_S)
        self._sheds += 1
        self.ejected_until = max(self.ejected_until, now + wait)

    def record_leaving(self, now: float) -> None:
        """Record an answer that said that the target leaves."""
        self.leaving = True
        self._leaving_recorded_at = now

    def report(self, probe: Probe) -> None:
        """Take a report; it can end an ejection by failure but not by shedding."""
        self._probe = probe
        self._update_leaving(probe)
        if probe.ok and self._failures and not self._sheds:
            self._failures = 0
        if not probe.ok:
            self.failed(probe.taken_at)

    def _update_leaving(self, probe: Probe) -> None:
        """Take whether the target leaves; what an older answer said of it may end."""
        newer = probe.taken_at - self._leaving_recorded_at > MAX_PROBE_LAG_S
        if probe.leaving:
            self.leaving = True
        elif not probe.ok:
            self._process_ended = True
        elif self._process_ended or (probe.reports and newer):
            self.leaving = False
        if probe.ok:
            self._process_ended = False

    def usable(self, now: float) -> bool:
        """Return whether new work may go to the target."""
        return not self.leaving and now >= self.ejected_until

    def allowance(self, held: int, warmup_s: float, now: float) -> int:
        """Return how many slots may be in use from here: slow start.

        They rise evenly over `warmup_s` from the time the target was in service again.
        """
        if warmup_s <= 0:
            return held
        share = (now - self.slow_start_at) / warmup_s
        return max(1, min(held, int(share * held)))

    def score(self, now: float) -> float:
        """Return the expected latency in ms, the smaller the better.

        Requests of other gates, from the target's report, count less the older it is.
        """
        load = float(self.in_flight)
        probe = self._probe
        if probe is not None and now - probe.taken_at <= MAX_REPORT_AGE_S:
            trust = 1 - (now - probe.taken_at) / MAX_REPORT_AGE_S
            load += trust * max(probe.in_flight - self.in_flight, 0) / 2
        return self.mean_ms * (1 + load)


class TargetHealthTable:
    """The health of all targets that this gate knows, by address."""

    def __init__(self) -> None:
        """Create an empty book."""
        self._health: dict[str, TargetHealth] = {}

    def of(self, target: Target, now: float) -> TargetHealth:
        """Return the health of a target, new if unknown."""
        found = self._health.get(target.address)
        if found is None:
            found = self._health[target.address] = TargetHealth(now)
        return found

    def report(self, address: str, probe: Probe) -> None:
        """Take a report of a target by address."""
        found = self._health.get(address)
        if found is not None:
            found.report(probe)
        elif probe.leaving:
            found = self._health[address] = TargetHealth(probe.taken_at)
            found.report(probe)
