# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Burn rate: how fast each service level objective consumes its error budget.

Each gate, the process that serves requests on a VM, counts its own requests in buckets.
An agent merges the series of all gates and computes the lines of the report. Owns the
counts of one gate for the last hour; they are lost with the gate's process.
"""

from collections import deque
from collections.abc import Iterable

import msgspec
from hdrh.histogram import HdrHistogram

from leverdoor.model.resources import ServiceLevel

__all__ = ["BurnLine", "BurnRateMeter", "Series", "merge_series", "summarize"]

BUCKET_S = 10.0
"""Length of a bucket of counts, in seconds.

An hour has 360 buckets. The short window is accurate to one of its 30 buckets.
"""
SHORT_WINDOW_S = 300.0
"""Short window of the burn rate, in seconds: the customary five minutes."""
LONG_WINDOW_S = 3600.0
"""Long window of the burn rate, in seconds: the customary hour."""
HISTOGRAM_S = 60.0
"""Period that one latency histogram covers, in seconds: a fifth of the short window."""
MAX_HISTOGRAMS = 6
"""Maximum number of histograms.

Under steady requests they cover six minutes, a little more than the short window.
"""
MAX_LATENCY_MS = 600_000
"""Largest latency that a histogram records, in ms: ten minutes."""
SIGNIFICANT_DIGITS = 2
"""Significant digits of a histogram: an error of 1% is acceptable for objectives."""


class Counts(msgspec.Struct, array_like=True):
    """Numbers of requests.

    `answered` counts requests with a complete response. `in_time` counts, by objective,
    those answered within its latency.
    """

    total: int = 0
    answered: int = 0
    in_time: dict[str, int] = {}

    def add(self, other: "Counts") -> None:
        """Add the counts of `other` to this object."""
        self.total += other.total
        self.answered += other.answered
        for name, n in other.in_time.items():
            self.in_time[name] = self.in_time.get(name, 0) + n


class Series(msgspec.Struct):
    """Counts and encoded latency histogram of one service and tier.

    `fast` counts the requests of the short window, `slow` those of the long window.
    """

    service: str
    tier: str
    fast: Counts
    slow: Counts
    histogram: str


class BurnLine(msgspec.Struct, tag_field="type"):
    """One line of the burn rate report.

    At a burn rate of 1 the fraction of requests that miss the objective equals the
    permitted fraction. `fast_burn`, `requests` and `availability` cover the short
    window, `slow_burn` covers the long window, and the percentiles cover the kept
    histograms. `level` is the name of the objective, or empty if none covers the
    service and tier.
    """

    service: str
    tier: str
    requests: int
    availability: float
    p50_ms: float
    p99_ms: float
    level: str = ""
    objective: float = 0.0
    fast_burn: float = 0.0
    slow_burn: float = 0.0


class _ServiceTierMeter:
    """Buckets and histograms of one service and tier with start times; oldest first."""

    def __init__(self) -> None:
        self.buckets: deque[tuple[float, Counts]] = deque()
        self.histograms: deque[tuple[float, HdrHistogram]] = deque()


class BurnRateMeter:
    """Counts the requests of one gate by service and tier."""

    def __init__(self) -> None:
        """Create an empty meter."""
        self._meters: dict[tuple[str, str], _ServiceTierMeter] = {}

    def record(
        self,
        service: str,
        tier: str,
        took_ms: float,
        answered: bool,
        levels: Iterable[ServiceLevel],
        now: float,
    ) -> None:
        """Record a finished request.

        Args:
          service: the requested service.
          tier: the caller's tier.
          took_ms: time from arrival to the end of the response, in milliseconds.
          answered: whether the caller received a complete response.
          levels: the objectives that cover this service and tier.
          now: monotonic time in seconds.
        """
        meter = self._meters.setdefault((service, tier), _ServiceTierMeter())
        counts = _current_bucket(meter, now)
        counts.total += 1
        if not answered:
            return
        counts.answered += 1
        for level in levels:
            if took_ms <= level.latency_ms:
                counts.in_time[level.name] = counts.in_time.get(level.name, 0) + 1
        _current_histogram(meter, now).record_value(
            max(1, min(int(took_ms), MAX_LATENCY_MS))
        )

    def series(self, now: float) -> list[Series]:
        """Return one series for each service and tier, for `merge_series`.

        Args:
          now: monotonic time in seconds.
        """
        return [
            Series(
                service,
                tier,
                _counts_since(meter, now - SHORT_WINDOW_S),
                _counts_since(meter, now - LONG_WINDOW_S),
                _merge_histograms(h for _, h in meter.histograms).encode().decode(),
            )
            for (service, tier), meter in sorted(self._meters.items())
        ]


def _current_bucket(meter: _ServiceTierMeter, now: float) -> Counts:
    if not meter.buckets or now - meter.buckets[-1][0] >= BUCKET_S:
        meter.buckets.append((now, Counts(0, 0, {})))
        while meter.buckets[0][0] < now - LONG_WINDOW_S:
            meter.buckets.popleft()
    return meter.buckets[-1][1]


def _current_histogram(meter: _ServiceTierMeter, now: float) -> HdrHistogram:
    if not meter.histograms or now - meter.histograms[-1][0] >= HISTOGRAM_S:
        meter.histograms.append(
            (now, HdrHistogram(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS))
        )
        if len(meter.histograms) > MAX_HISTOGRAMS:
            meter.histograms.popleft()
    return meter.histograms[-1][1]


def _counts_since(meter: _ServiceTierMeter, since: float) -> Counts:
    total = Counts(0, 0, {})
    for began, counts in meter.buckets:
        if began >= since:
            total.add(counts)
    return total


def _merge_histograms(histograms: Iterable[HdrHistogram]) -> HdrHistogram:
    total = HdrHistogram(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)
    for h in histograms:
        total.add(h)
    return total


def merge_series(parts: Iterable[Series]) -> list[Series]:
    """Merge the series of several gates by service and tier."""
    found: dict[tuple[str, str], Series] = {}
    for part in parts:
        existing = found.get((part.service, part.tier))
        if existing is None:
            fast, slow = Counts(0, 0, {}), Counts(0, 0, {})
            existing = Series(part.service, part.tier, fast, slow, part.histogram)
            found[(part.service, part.tier)] = existing
        else:
            both = (existing.histogram, part.histogram)
            merged = _merge_histograms(HdrHistogram.decode(h) for h in both)
            existing.histogram = merged.encode().decode()
        existing.fast.add(part.fast)
        existing.slow.add(part.slow)
    return [found[key] for key in sorted(found)]


def summarize(
    merged: Iterable[Series], levels: Iterable[ServiceLevel]
) -> list[BurnLine]:
    """Compute the report lines from merged series.

    Returns: one line for each objective, and one for each service and tier without an
      objective.
    """
    lines = []
    all_levels = list(levels)
    for s in merged:
        histogram = HdrHistogram.decode(s.histogram)
        line = BurnLine(
            service=s.service,
            tier=s.tier,
            requests=s.fast.total,
            availability=s.fast.answered / s.fast.total if s.fast.total else 1.0,
            p50_ms=float(histogram.get_value_at_percentile(50)),
            p99_ms=float(histogram.get_value_at_percentile(99)),
        )
        applicable = [
            v for v in all_levels if (v.service, v.tier) == (s.service, s.tier)
        ]
        for v in applicable:
            lines.append(
                msgspec.structs.replace(
                    line,
                    level=v.name,
                    objective=v.objective,
                    fast_burn=_burn_rate(s.fast, v),
                    slow_burn=_burn_rate(s.slow, v),
                )
            )
        if not applicable:
            lines.append(line)
    return lines


def _burn_rate(counts: Counts, level: ServiceLevel) -> float:
    if not counts.total:
        return 0.0
    missed_fraction = 1 - counts.in_time.get(level.name, 0) / counts.total
    return round(missed_fraction / (1 - level.objective), 3)
