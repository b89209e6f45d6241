# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Usage of workspaces in a sliding window."""

from hypothesis import given, settings
from hypothesis import strategies as st

from leverdoor.workspaces.usage import SLICE_S, UsageWindow

WINDOW_S = 5.0


def test_requests_leave_the_window() -> None:
    usage = UsageWindow(WINDOW_S)
    usage.add("w", 10.0)
    usage.add("w", 14.0)
    assert usage.count_within("w", WINDOW_S, 14.0) == 2
    assert usage.count_within("w", 1.0, 14.0) == 1
    assert usage.totals(15.5) == {"w": 1}
    assert usage.totals(20.0) == {}
    assert usage.count_within("other", WINDOW_S, 14.0) == 0


def test_request_is_subtracted_from_its_slice() -> None:
    usage = UsageWindow(WINDOW_S)
    usage.add("w", 10.0)
    usage.add("w", 12.0)
    usage.remove("w", 10.0)
    assert usage.count_within("w", 1.0, 12.0) == 1
    assert usage.totals(12.0) == {"w": 1}
    usage.remove("w", 3.0)
    usage.remove("never", 3.0)
    assert usage.totals(12.0) == {"w": 1}


@settings(derandomize=True, max_examples=200)
@given(st.lists(st.floats(0.0, 2.0), max_size=40))
def test_window_never_undercounts_and_adds_at_most_two_slices(
    pauses: list[float],
) -> None:
    usage = UsageWindow(WINDOW_S)
    now = 100.0
    times: list[float] = []
    for pause in pauses:
        now += pause
        usage.add("w", now)
        times.append(now)
    counted = usage.count_within("w", WINDOW_S, now)
    assert counted >= sum(t > now - WINDOW_S for t in times)
    assert counted <= sum(t > now - WINDOW_S - 2 * SLICE_S for t in times)


@settings(derandomize=True, max_examples=200)
@given(st.lists(st.floats(0.0, 0.5), max_size=60), st.floats(0.0, 2.0))
def test_least_reported_is_at_most_any_report_of_the_span(
    pauses: list[float], span_s: float
) -> None:
    """Requests that left the window and their replacements must not both be free."""
    usage = UsageWindow(WINDOW_S, retention_s=2.2)
    now = 100.0
    reports: list[tuple[float, int]] = []
    for pause in pauses:
        now += pause
        reports.append((now, usage.totals(now).get("w", 0)))
        usage.add("w", now)
    least = usage.least_reported("w", span_s, now)
    assert all(least <= count for at, count in reports if at >= now - span_s)
    assert least <= usage.totals(now).get("w", 0)


def test_least_reported_is_the_count_before_new_requests() -> None:
    usage = UsageWindow(WINDOW_S, retention_s=2.2)
    for at in (100.0, 100.0, 103.0):
        usage.add("w", at)
    assert usage.least_reported("w", 0.6, 104.0) == 3
    usage.add("w", 104.0)
    assert usage.least_reported("w", 0.6, 104.0) == 3
    assert usage.least_reported("w", 0.6, 104.9) == 4
    assert usage.least_reported("w", 0.6, 105.4) == 2
