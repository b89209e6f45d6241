# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Counts the requests of each workspace that an entry admitted, in a sliding window.

Owns the counts of one entry in time slices, retained as long as quotas need them; lost
with the process. Counts are exact except for the slice at the edge of the window.
"""

from collections import deque

import msgspec

__all__ = ["UsageWindow"]

SLICE_S = 0.1
"""Length of a time slice, in seconds.

A window may include up to one additional slice, but never omits one. The value is a
fiftieth of a 5 s window. A greater value causes more refusals at the window's edge. A
smaller one costs more memory and time per request.
"""


class _Slice(msgspec.Struct):
    """The number of requests in one time slice."""

    number: int
    """Index of the slice, counted from the start of the clock."""
    count: int


class UsageWindow:
    """Requests by workspace in a sliding window of time slices."""

    def __init__(self, window_s: float, retention_s: float = 0.0) -> None:
        """Initialize an empty window.

        Args:
          window_s: length of the window, in seconds.
          retention_s: how long requests are retained after they leave the window, for
            `count_expired`, in seconds.
        """
        self._window_slices = int(window_s / SLICE_S) + 1
        """Number of slices in the window, without the current one."""
        self._retained_slices = self._window_slices + int(retention_s / SLICE_S)
        """Number of retained slices, without the current one."""
        self._slices: dict[str, deque[_Slice]] = {}

    def add(self, name: str, now: float) -> None:
        """Count a request of a workspace."""
        number = int(now / SLICE_S)
        slices = self._slices.setdefault(name, deque())
        if slices and slices[-1].number == number:
            slices[-1].count += 1
        else:
            slices.append(_Slice(number, 1))

    def remove(self, name: str, at: float) -> None:
        """Subtract a request that was counted at a time, if its slice is retained."""
        number = int(at / SLICE_S)
        for time_slice in reversed(self._slices.get(name, ())):
            if time_slice.number == number:
                time_slice.count -= 1
                return

    def count_within(self, name: str, span_s: float, now: float) -> int:
        """Return the requests of a workspace in the last `span_s` of the window."""
        first_slice = int(now / SLICE_S) - self._window_slices
        oldest_slice = max(int((now - span_s) / SLICE_S), first_slice)
        return sum(
            s.count for s in self._slices_of(name, now) if s.number >= oldest_slice
        )

    def count_expired(self, name: str, span_s: float, now: float) -> int:
        """Return the requests of a workspace that left the window in `span_s`.

        The count is never too high: a slice counts only after all of it has left.
        """
        first_slice = int(now / SLICE_S) - self._window_slices
        oldest_slice = first_slice - int(span_s / SLICE_S)
        return sum(
            s.count
            for s in self._slices_of(name, now)
            if oldest_slice < s.number < first_slice
        )

    def totals(self, now: float) -> dict[str, int]:
        """Return the requests in the window for each workspace that has any."""
        first_slice = int(now / SLICE_S) - self._window_slices
        result = {}
        for name in list(self._slices):
            slices = self._slices_of(name, now)
            total = sum(s.count for s in slices if s.number >= first_slice)
            if total > 0:
                result[name] = total
            elif not slices:
                del self._slices[name]
        return result

    def _slices_of(self, name: str, now: float) -> deque[_Slice]:
        """Return the slices of a workspace after discarding expired ones."""
        slices = self._slices.get(name, deque())
        first_slice = int(now / SLICE_S) - self._retained_slices
        while slices and slices[0].number < first_slice:
            slices.popleft()
        return slices
