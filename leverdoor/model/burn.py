# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Service-level burn: how fast each objective's error budget is used up.

A gate counts its own requests in buckets; an agent merges the series of all gates and
computes the report's lines. Owns the counts of the last hour of one gate, which are
lost with it.
"""

from collections import deque
from collections.abc import Iterable

import msgspec
from hdrh.histogram import HdrHistogram

from leverdoor.model.resources import ServiceLevel

__all__ = ["BurnLine", "BurnRateMeter", "Series", "merge_series", "summarize"]

BUCKET_S = 10.0
"""Length of a bucket of counts, in seconds: 360 buckets an hour, and the short window
is off by one of its 30 buckets at most."""
FAST_S = 300.0
"""Short window of the burn rate in seconds: the usual five minutes."""
SLOW_S = 3600.0
"""Long window of the burn rate in seconds: the usual hour."""
HISTOGRAM_S = 60.0
"""Length of one latency histogram, in seconds: a fifth of the short window."""
HISTOGRAMS = 6
"""Histograms kept: six minutes, a little over the short window."""
MAX_MS = 600_000
"""Largest latency that a histogram holds, in ms: ten minutes."""
DIGITS = 2
"""Significant digits of a histogram; 1% is enough for objectives."""


class Counts(msgspec.Struct, array_like=True):
    """Requests, those answered, and those answered within each level's latency."""

    total: int = 0
    answered: int = 0
    in_time: dict[str, int] = {}

    def add(self, other: "Counts") -> None:
        """Add another's counts to these."""
        self.total += other.total
        self.answered += other.answered
        for name, n in other.in_time.items():
            self.in_time[name] = self.in_time.get(name, 0) + n


class Series(msgspec.Struct):
    """One gate's figures for one service and tier."""

    service: str
    tier: str
    fast: Counts
    slow: Counts
    histogram: str


class BurnLine(msgspec.Struct, tag_field="type"):
    """One line of the report; a burn of 1 uses up the budget just in time."""

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


class _Meter:
    """Counts and latencies of one service and tier, oldest first."""

    def __init__(self) -> None:
        self.buckets: deque[tuple[float, Counts]] = deque()
        self.histograms: deque[tuple[float, HdrHistogram]] = deque()


class BurnRateMeter:
    """Counts requests of one gate by service and tier."""

    def __init__(self) -> None:
        """Create an empty meter."""
        self._meters: dict[tuple[str, str], _Meter] = {}

    def record(
        self,
        service: str,
        tier: str,
        took_ms: float,
        answered: bool,
        levels: Iterable[ServiceLevel],
        now: float,
    ) -> None:
        """Record one finished request.

        Args:
          service: the service asked for.
          tier: the caller's tier.
          took_ms: from arrival to the end of the answer, in milliseconds.
          answered: whether the caller got a whole answer.
          levels: the objectives that cover this service and tier.
          now: monotonic time in seconds.
        """
        meter = self._meters.setdefault((service, tier), _Meter())
        counts = _current(meter, now)
        counts.total += 1
        if not answered:
            return
        counts.answered += 1
        for level in levels:
            if took_ms <= level.latency_ms:
                counts.in_time[level.name] = counts.in_time.get(level.name, 0) + 1
        _histogram(meter, now).record_value(max(1, min(int(took_ms), MAX_MS)))

    def series(self, now: float) -> list[Series]:
        """Return all figures in a form that merges with other gates'."""
        return [
            Series(
                service,
                tier,
                _window(meter, now - FAST_S),
                _window(meter, now - SLOW_S),
                _merged(h for _, h in meter.histograms).encode().decode(),
            )
            for (service, tier), meter in sorted(self._meters.items())
        ]


def _current(meter: _Meter, now: float) -> Counts:
    if not meter.buckets or now - meter.buckets[-1][0] >= BUCKET_S:
        meter.buckets.append((now, Counts(0, 0, {})))
        while meter.buckets[0][0] < now - SLOW_S:
            meter.buckets.popleft()
    return meter.buckets[-1][1]


def _histogram(meter: _Meter, now: float) -> HdrHistogram:
    if not meter.histograms or now - meter.histograms[-1][0] >= HISTOGRAM_S:
        meter.histograms.append((now, HdrHistogram(1, MAX_MS, DIGITS)))
        if len(meter.histograms) > HISTOGRAMS:
            meter.histograms.popleft()
    return meter.histograms[-1][1]


def _window(meter: _Meter, since: float) -> Counts:
    total = Counts(0, 0, {})
    for began, counts in meter.buckets:
        if began >= since:
            total.add(counts)
    return total


def _merged(histograms: Iterable[HdrHistogram]) -> HdrHistogram:
    total = HdrHistogram(1, MAX_MS, DIGITS)
    for h in histograms:
        total.add(h)
    return total


def merge_series(parts: Iterable[Series]) -> list[Series]:
    """Merge the figures of several gates."""
    found: dict[tuple[str, str], Series] = {}
    for part in parts:
        have = found.get((part.service, part.tier))
        if have is None:
            fast, slow = Counts(0, 0, {}), Counts(0, 0, {})
            have = Series(part.service, part.tier, fast, slow, part.histogram)
            found[(part.service, part.tier)] = have
        else:
            both = (have.histogram, part.histogram)
            merged = _merged(HdrHistogram.decode(h) for h in both)
            have.histogram = merged.encode().decode()
        have.fast.add(part.fast)
        have.slow.add(part.slow)
    return [found[key] for key in sorted(found)]


def summarize(
    merged: Iterable[Series], levels: Iterable[ServiceLevel]
) -> list[BurnLine]:
    """Turn merged figures into report lines, one for each objective."""
    lines = []
    known = list(levels)
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
        covering = [v for v in known if (v.service, v.tier) == (s.service, s.tier)]
        for v in covering:
            lines.append(
                msgspec.structs.replace(
                    line,
                    level=v.name,
                    objective=v.objective,
                    fast_burn=_burn(s.fast, v),
                    slow_burn=_burn(s.slow, v),
                )
            )
        if not covering:
            lines.append(line)
    return lines


def _burn(counts: Counts, level: ServiceLevel) -> float:
    if not counts.total:
        return 0.0
    bad = 1 - counts.in_time.get(level.name, 0) / counts.total
    return round(bad / (1 - level.objective), 3)
