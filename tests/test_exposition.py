# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The text of metrics is that of prometheus_client."""

import math

import prometheus_client
import pytest
from hypothesis import given
from hypothesis import strategies as st
from prometheus_client.utils import floatToGoString

from leverdoor import exposition

BUCKETS = (0.01, 0.5, 2.0, 1e7)
VALUES = [0.0, 0.01, 0.0100001, 0.3, 2.0, 7.25, 1e7, 123456789.5, 1e300]


def fill(library: object, registry: object) -> None:
    """Create the same metrics with either library."""
    kinds = vars(library)
    counter = kinds["Counter"]("c", 'Counts.\nA "line" \\ two.', registry=registry)
    counter.inc()
    counter.inc(2.5)
    labelled = kinds["Counter"]("c_by", "By labels.", ["z", "a"], registry=registry)
    labelled.labels("1", 'quote " slash \\ line \n é').inc()
    labelled.labels("2", "").inc(1e6)
    gauge = kinds["Gauge"]("g", "Gauge.", registry=registry)
    gauge.set(-12345678)
    cleared = kinds["Gauge"]("g_by", "Cleared.", ["kind"], registry=registry)
    cleared.labels("gone").set(1)
    cleared.clear()
    cleared.labels("kept").set(math.inf)
    kinds["Gauge"]("g_none", "Without series.", ["kind"], registry=registry)
    histogram = kinds["Histogram"](
        "h", "Values.", ["service", "outcome"], buckets=BUCKETS, registry=registry
    )
    for value in VALUES:
        histogram.labels("s", "200").observe(value)
    histogram.labels("s", "503")
    kinds["Histogram"]("h_none", "One.", buckets=BUCKETS, registry=registry).observe(1)


def test_text_is_that_of_the_library(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("time.time", lambda: 1_700_000_000.25)
    expected = prometheus_client.CollectorRegistry()
    fill(prometheus_client, expected)
    registry = exposition.Registry()
    fill(exposition, registry)
    assert registry.text() == prometheus_client.generate_latest(expected)


@given(st.floats())
def test_numbers_are_those_of_the_library(value: float) -> None:
    assert exposition.serialize_number(value) == floatToGoString(value)


def test_wrong_use_is_rejected() -> None:
    registry = exposition.Registry()
    counter = exposition.Counter("c", "Counts.", ["a"], registry=registry)
    with pytest.raises(ValueError, match="labels"):
        counter.labels("1", "2")
    with pytest.raises(ValueError, match="labels"):
        counter.inc()
    with pytest.raises(ValueError, match="rise"):
        counter.labels("1").inc(-1)
    with pytest.raises(ValueError, match="exists"):
        exposition.Gauge("c", "Again.", registry=registry)
