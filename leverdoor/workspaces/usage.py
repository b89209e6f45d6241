# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Counts the requests of each workspace that an entry admitted, in a sliding window.

Owns the counts of one entry in time slices, for the window and a retention period after
it; lost with the process. Counts are exact except for the slices at the window's edges.
"""

from collections import deque

import msgspec

__all__ = ["UsageWindow"]

SLICE_S = 0.1
"""Length of a time slice, in seconds.

A window includes up to one slice too many, and never too few. The value is a fiftieth
of a 5 s window. A greater value causes more refusals at the window's edge. A smaller
one costs more memory and time per request.
"""


class _Slice(msgspec.Struct):
    """The number of requests in one time slice."""

    index: int
    """Index of the slice, counted from the start of the clock."""
    count: int


class UsageWindow:
    """Requests by workspace in a sliding window of time slices."""

    def __init__(self, window_s: float, retention_s: float = 0.0) -> None:
        """Initialize an empty window.

        Args:
          window_s: length of the window, in seconds.
          retention_s: how long requests are retained after they leave the window, for
            `least_reported`, in seconds.
        """
        self._window_slices = int(window_s / SLICE_S) + 1
        """Number of slices in the window, without the current one. One is added because
        the window begins within its oldest slice."""
        self._retained_slices = self._window_slices + int(retention_s / SLICE_S)
        """Number of retained slices, without the current one."""
        self._slices: dict[str, deque[_Slice]] = {}

    def add(self, workspace: str, now: float) -> None:
        """Count a request of a workspace."""
        index = int(now / SLICE_S)
        slices = self._slices.setdefault(workspace, deque())
        if slices and slices[-1].index == index:
            slices[-1].count += 1
        else:
            slices.append(_Slice(index, 1))

    def remove(self, workspace: str, counted_at: float) -> None:
        """Subtract a request that was counted at a time, if its slice is retained."""
        index = int(counted_at / SLICE_S)
        for time_slice in reversed(self._slices.get(workspace, ())):
            if time_slice.index == index:
                time_slice.count -= 1
                return

    def count_within(self, workspace: str, span_s: float, now: float) -> int:
        """Return the requests of a workspace in the last `span_s` of the window."""
        first_slice = int(now / SLICE_S) - self._window_slices
        oldest_slice = max(int((now - span_s) / SLICE_S), first_slice)
        return sum(
            s.count
            for s in self._discard_old(workspace, now)
            if s.index >= oldest_slice
        )

    def least_reported(self, workspace: str, span_s: float, now: float) -> int:
        """Return the least count that a report of the last `span_s` may contain.

        A report within a time slice may lack the requests of that slice, so each count
        excludes its newest slice.
        """
        last_slice = int(now / SLICE_S)
        oldest_report = int((now - span_s) / SLICE_S)
        slices = self._discard_old(workspace, now)
        counts = {s.index: s.count for s in slices if s.index < last_slice}
        count = sum(
            c
            for index, c in counts.items()
            if oldest_report - self._window_slices <= index < oldest_report
        )
        least = count
        for report in range(oldest_report + 1, last_slice + 1):
            count += counts.get(report - 1, 0)
            count -= counts.get(report - 1 - self._window_slices, 0)
            least = min(least, count)
        return least

    def totals(self, now: float) -> dict[str, int]:
        """Return the requests in the window for each workspace that has any."""
        first_slice = int(now / SLICE_S) - self._window_slices
        result = {}
        for workspace in list(self._slices):
            slices = self._discard_old(workspace, now)
            total = sum(s.count for s in slices if s.index >= first_slice)
            if total > 0:
                result[workspace] = total
            elif not slices:
                del self._slices[workspace]
        return result

    def _discard_old(self, workspace: str, now: float) -> deque[_Slice]:
        """Discard the slices of a workspace beyond retention and return the others."""
        slices = self._slices.get(workspace, deque())
        first_retained = int(now / SLICE_S) - self._retained_slices
        while slices and slices[0].index < first_retained:
            slices.popleft()
        return slices
