# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Counters, gauges and histograms, and their text in the Prometheus format.

The text is that of `prometheus_client`, which loads HTTP servers and TLS on import and
takes about 3 MB that an entry does not need otherwise. Not safe for use by several
threads. Owns the values of a registry's metrics; they are lost with the process.
"""

import math
import time
from abc import ABC, abstractmethod
from bisect import bisect_left
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Generic, NamedTuple, TypeVar

__all__ = ["Counter", "Gauge", "Histogram", "Metric", "Registry"]

EXPONENT_FROM_DIGITS = 6
"""Number of integer digits beyond which the format writes a value with an exponent."""
CREATED = "_created"
"""Suffix of the samples with the time at which a series began."""


class _Sample(NamedTuple):
    """One value of a series."""

    suffix: str
    """Suffix of the metric's name."""
    value: float
    bound: str = ""
    """Upper bound of a bucket, "" if the sample is not a bucket."""


class _Series(ABC):
    """The values of one combination of labels."""

    __slots__ = ()

    @abstractmethod
    def samples(self) -> Iterable[_Sample]:
        """Return the samples in the order of the format."""


class _CounterSeries(_Series):
    __slots__ = ("_created", "_value")

    def __init__(self) -> None:
        self._value = 0.0
        self._created = time.time()

    def inc(self, amount: float = 1.0) -> None:
        """Add an amount that is not negative."""
        if amount < 0:
            raise ValueError("a counter can only rise")
        self._value += amount

    def samples(self) -> Iterable[_Sample]:
        return (_Sample("_total", self._value), _Sample(CREATED, self._created))


class _GaugeSeries(_Series):
    __slots__ = ("_value",)

    def __init__(self) -> None:
        self._value = 0.0

    def set(self, value: float) -> None:
        """Replace the value."""
        self._value = float(value)

    def samples(self) -> Iterable[_Sample]:
        return (_Sample("", self._value),)


class _HistogramSeries(_Series):
    __slots__ = ("_bounds", "_counts", "_created", "_sum")

    def __init__(self, bounds: Sequence[float]) -> None:
        self._bounds = bounds
        self._counts = [0] * len(bounds)
        self._sum = 0.0
        self._created = time.time()

    def observe(self, value: float) -> None:
        """Count a value in its bucket."""
        self._counts[bisect_left(self._bounds, value)] += 1
        self._sum += value

    def samples(self) -> Iterable[_Sample]:
        count = 0
        for bound, in_bucket in zip(self._bounds, self._counts, strict=True):
            count += in_bucket
            yield _Sample("_bucket", float(count), serialize_number(bound))
        yield _Sample("_count", float(count))
        yield _Sample("_sum", self._sum)
        yield _Sample(CREATED, self._created)


S = TypeVar("S", bound=_Series)


class Metric(Generic[S]):
    """A metric with one series for each combination of labels.

    A metric without labels has one series from the start.

    Attributes:
      name: its name, without the suffix of its samples.
      kind: "counter", "gauge" or "histogram".
      label_names: the names of its labels.
      bounds: upper bounds of a histogram's buckets, the last one infinite.
    """

    kind = ""

    def __init__(
        self,
        name: str,
        documentation: str,
        label_names: Sequence[str],
        registry: "Registry",
        create_series: Callable[[], S],
    ) -> None:
        self.name = name
        self.label_names = tuple(label_names)
        self.bounds: tuple[float, ...] = ()
        self._documentation = documentation
        self._create_series = create_series
        self._series: dict[tuple[str, ...], S] = {}
        if not label_names:
            self._series[()] = create_series()
        registry.add(self)

    def labels(self, *values: str) -> S:
        """Return the series of these values of the labels, in their order."""
        series = self._series.get(values)
        if series is None:
            if len(values) != len(self.label_names):
                raise ValueError(f"{self.name}: expected labels {self.label_names}")
            series = self._series[values] = self._create_series()
        return series

    def clear(self) -> None:
        """Remove all series of a metric with labels."""
        if self.label_names:
            self._series.clear()

    def lines(self) -> Iterator[str]:
        """Yield the lines of the text format."""
        total = "_total" if self.kind == "counter" else ""
        yield from self._head(self.name + total, self.kind)
        created = []
        for values, series in self._series.items():
            for sample in series.samples():
                line = self._line(values, sample)
                if sample.suffix == CREATED:
                    created.append(line)
                else:
                    yield line
        if created:
            yield from self._head(self.name + CREATED, "gauge")
            yield from created

    def _head(self, name: str, kind: str) -> Iterator[str]:
        text = self._documentation.replace("\\", r"\\").replace("\n", r"\n")
        yield f"# HELP {name} {text}"
        yield f"# TYPE {name} {kind}"

    def _line(self, values: tuple[str, ...], sample: _Sample) -> str:
        labels = list(zip(self.label_names, values, strict=True))
        if sample.bound:
            labels.append(("le", sample.bound))
        text = ",".join(f'{k}="{_escape_label(v)}"' for k, v in sorted(labels))
        text = f"{{{text}}}" if text else ""
        return f"{self.name}{sample.suffix}{text} {serialize_number(sample.value)}"


class Counter(Metric[_CounterSeries]):
    """A number that only rises."""

    kind = "counter"

    def __init__(
        self,
        name: str,
        documentation: str,
        label_names: Sequence[str] = (),
        *,
        registry: "Registry",
    ) -> None:
        """Create the counter in a registry."""
        super().__init__(name, documentation, label_names, registry, _CounterSeries)

    def inc(self, amount: float = 1.0) -> None:
        """Add an amount to a counter without labels."""
        self.labels().inc(amount)


class Gauge(Metric[_GaugeSeries]):
    """A number that rises and falls."""

    kind = "gauge"

    def __init__(
        self,
        name: str,
        documentation: str,
        label_names: Sequence[str] = (),
        *,
        registry: "Registry",
    ) -> None:
        """Create the gauge in a registry."""
        super().__init__(name, documentation, label_names, registry, _GaugeSeries)

    def set(self, value: float) -> None:
        """Set the value of a gauge without labels."""
        self.labels().set(value)


class Histogram(Metric[_HistogramSeries]):
    """Counts of values by bucket, and their sum."""

    kind = "histogram"

    def __init__(
        self,
        name: str,
        documentation: str,
        label_names: Sequence[str] = (),
        *,
        buckets: Sequence[float],
        registry: "Registry",
    ) -> None:
        """Create the histogram in a registry.

        Args:
          name: its name.
          documentation: its help text.
          label_names: the names of its labels.
          buckets: upper bounds of the buckets in rising order, none negative; a last
            one without bound is added.
          registry: where it is listed.
        """
        bounds = (*buckets, math.inf)
        super().__init__(
            name, documentation, label_names, registry, lambda: _HistogramSeries(bounds)
        )
        self.bounds = bounds

    def observe(self, value: float) -> None:
        """Count a value of a histogram without labels."""
        self.labels().observe(value)


class Registry:
    """The metrics of a process."""

    def __init__(self) -> None:
        """Create a registry without metrics."""
        self._metrics: dict[str, Metric[_Series]] = {}

    def add(self, metric: "Metric[S]") -> None:
        """Add a metric, whose name must be new."""
        if metric.name in self._metrics:
            raise ValueError(f"{metric.name} exists already")
        self._metrics[metric.name] = metric  # type: ignore[assignment]

    def collect(self) -> list[Metric[_Series]]:
        """Return all metrics in the order of their creation."""
        return list(self._metrics.values())

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        lines = [line for metric in self.collect() for line in metric.lines()]
        return "".join(f"{line}\n" for line in lines).encode()


def serialize_number(value: float) -> str:
    """Serialize a number as Go does, which the text format follows."""
    if math.isnan(value):
        return "NaN"
    if math.isinf(value):
        return "+Inf" if value > 0 else "-Inf"
    text = repr(float(value))
    digits = text.find(".")
    if value <= 0 or digits <= EXPONENT_FROM_DIGITS:
        return text
    mantissa = f"{text[0]}.{text[1:digits]}{text[digits + 1 :]}".rstrip("0.")
    return f"{mantissa}e+{digits - 1:02d}"


def _escape_label(value: str) -> str:
    return value.replace("\\", r"\\").replace("\n", r"\n").replace('"', r"\"")
