# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What a gate believes of each target, from answers first and reports second."""

import msgspec

from leverdoor.model.resources import Target

__all__ = ["Probe", "TargetBook", "TargetHealth"]

FIRST_EJECTION_S = 0.25
"""First ejection of a target that was not reached, in seconds; it doubles."""
LONGEST_EJECTION_S = 10.0
"""Longest ejection, in seconds; chosen."""
FIRST_SHED_S = 0.1
"""First pause after a target shed a request, in seconds; it doubles."""
LONGEST_SHED_S = 1.0
"""Longest such pause, in seconds; chosen."""
LATENCY_WEIGHT = 0.2
"""Weight of one answer in the mean latency; chosen."""
ASSUMED_MS = 20.0
"""Latency of a target before any answer, in ms; chosen."""
REPORT_TRUST_S = 5.0
"""Age up to which a target's own report is used, in seconds; chosen."""


class Probe(msgspec.Struct, frozen=True, array_like=True):
    """One report of a target: reachable, leaving, and its own in-flight count."""

    ok: bool
    leaving: bool = False
    in_flight: int = 0
    taken_at: float = 0.0


class TargetHealth:
    """One target as its answers show it."""

    def __init__(self, now: float) -> None:
        """Create it, cold, in service since `now`."""
        self.mean_ms = ASSUMED_MS
        self.in_flight = 0
        self.leaving = False
        self.out_until = 0.0
        self.warm_since = now
        self._failures = 0
        self._sheds = 0
        self._probe: Probe | None = None

    def served(self, took_ms: float) -> None:
        """Record a whole answer."""
        self._failures = 0
        self._sheds = 0
        self.mean_ms += LATENCY_WEIGHT * (took_ms - self.mean_ms)

    def failed(self, now: float) -> None:
        """Record a failed connection or a lost answer."""
        wait = min(FIRST_EJECTION_S * 2**self._failures, LONGEST_EJECTION_S)
        self._failures += 1
        self.out_until = max(self.out_until, now + wait)
        self.warm_since = self.out_until

    def shed(self, now: float) -> None:
        """Record a refusal by the target, whatever its reports say."""
        wait = min(FIRST_SHED_S * 2**self._sheds, LONGEST_SHED_S)
        self._sheds += 1
        self.out_until = max(self.out_until, now + wait)

    def report(self, probe: Probe) -> None:
        """Take a report; it can end an ejection by failure but not by shedding."""
        self._probe = probe
        self.leaving = probe.leaving
        if probe.ok and self._failures and not self._sheds:
            self._failures = 0
        if not probe.ok:
            self.failed(probe.taken_at)

    def usable(self, now: float) -> bool:
        """Return whether new work may go to the target."""
        return not self.leaving and now >= self.out_until

    def allowance(self, held: int, warmup_s: float, now: float) -> int:
        """Most requests in flight from here while the target warms up."""
        if warmup_s <= 0:
            return held
        share = (now - self.warm_since) / warmup_s
        return max(1, min(held, int(share * held)))

    def score(self, now: float) -> float:
        """Expected latency, the smaller the better.

        A fresh report of others' work counts; an old one does not.
        """
        load = float(self.in_flight)
        probe = self._probe
        if probe is not None and now - probe.taken_at <= REPORT_TRUST_S:
            trust = 1 - (now - probe.taken_at) / REPORT_TRUST_S
            load += trust * max(probe.in_flight - self.in_flight, 0) / 2
        return self.mean_ms * (1 + load)


class TargetBook:
    """Health of all targets that this gate has to do with, by address."""

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
