# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What an emulated run gave, and how two of them compare.

State: the counts of one run, filled while it is played and read afterwards; they
pass from a playing process to the one that prints.
"""

import math
import statistics
from collections import Counter
from collections.abc import Sequence
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

__all__ = ["Comparison", "Result", "compare"]

MAX_MS = 600_000
"""Largest latency that the histogram holds, in ms: ten minutes."""
DIGITS = 2
"""Significant digits of a latency."""
STUDENT_95 = (12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23)
"""Two-sided 95% points of Student's distribution for 1 to 10 degrees of freedom."""
NORMAL_95 = 1.96
"""The same for many degrees of freedom."""


class Result:
    """Counts of one run."""

    def __init__(self, seconds: float) -> None:
        """Create it empty, for a run of some seconds."""
        self.owed = 0.0
        self.earned = 0.0
        self.outcomes: Counter[str] = Counter()
        """Requests of clients: in_time, late, refused, failed."""
        self.refusals = 0
        """Refusals by entries that carry a Retry-After."""
        self.repeats = 0
        """Retries by entries at another target."""
        self.cold_runs = 0
        self.runs = 0
        self.heartbeat_bytes = 0
        self.by_second = [[0.0, 0.0] for _ in range(math.ceil(seconds) + 1)]
        """Worth owed and earned, by the second of the request."""
        self._latency = HdrHistogram(1, MAX_MS, DIGITS)

    def __getstate__(self) -> dict[str, Any]:
        """Return what another process needs; the histogram in its own coding."""
        return self.__dict__ | {"_latency": self._latency.encode()}

    def __setstate__(self, state: dict[str, Any]) -> None:
        """Take what another process sent."""
        self.__dict__.update(state)
        self._latency = HdrHistogram.decode(state["_latency"])

    def record(
        self, sent_at: float, outcome: str, worth: float, earned: float, took_ms: float
    ) -> None:
        """Count a request that ended for its client."""
        self.owed += worth
        self.earned += earned
        self.outcomes[outcome] += 1
        second = min(int(sent_at), len(self.by_second) - 1)
        self.by_second[second][0] += worth
        self.by_second[second][1] += earned
        if outcome in ("in_time", "late"):
            self._latency.record_value(max(1, min(int(took_ms), MAX_MS)))

    def latency_ms(self, percent: float) -> int:
        """Return a percentile of the answered requests' latency, in ms."""
        return int(self._latency.get_value_at_percentile(percent))

    @property
    def credit(self) -> float:
        """Worth earned over worth owed."""
        return self.earned / self.owed if self.owed else 0.0

    def share(self, outcome: str) -> float:
        """Return the part of the requests that ended so."""
        return self.outcomes[outcome] / max(sum(self.outcomes.values()), 1)

    def row(self) -> dict[str, float]:
        """Return the figures as one row of a table."""
        return {
            "credit": round(self.credit, 4),
            "late": round(self.share("late"), 4),
            "refused": round(self.share("refused"), 4),
            "failed": round(self.share("failed"), 4),
            "p50_ms": self.latency_ms(50),
            "p99_ms": self.latency_ms(99),
            "cold": round(self.cold_runs / max(self.runs, 1), 4),
            "repeats": self.repeats,
        }


class Comparison(msgspec.Struct, frozen=True):
    """The difference of two policies, paired seed by seed."""

    difference: float
    """Mean of B's credit less A's."""
    half_width: float
    """Half of the 95% confidence interval; infinite for one seed."""

    @property
    def certain(self) -> bool:
        """Return whether the interval leaves zero out."""
        return abs(self.difference) > self.half_width


def compare(first: Sequence[float], second: Sequence[float]) -> Comparison:
    """Compare credits of two policies on the same seeds."""
    gaps = [b - a for a, b in zip(first, second, strict=True)]
    mean = statistics.mean(gaps)
    if len(gaps) < 2:
        return Comparison(mean, math.inf)
    degrees = len(gaps) - 1
    point = STUDENT_95[degrees - 1] if degrees <= len(STUDENT_95) else NORMAL_95
    return Comparison(mean, point * statistics.stdev(gaps) / math.sqrt(len(gaps)))
