# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""How many requests of each workspace an entry took in the last seconds.

Owns the counts of one entry, in slices of time, for as long as a quota needs them; lost
with the process. Exact but for the slice at the edge of a window.
"""

from collections import deque

import msgspec

__all__ = ["UsageWindow"]

SLICE_S = 0.1
"""Resolution in seconds; a window counts up to one slice too much, never less.

A fiftieth of a window of 5 s. Greater: more refusals at the edge of the window.
Smaller: more memory and time for each request.
"""


class _Slice(msgspec.Struct):
    """The requests of one slice of time."""

    number: int
    """Slices since the start of the clock."""
    count: int


class UsageWindow:
    """Requests by workspace, in a window that slides in steps of a slice."""

    def __init__(self, window_s: float, kept_s: float = 0.0) -> None:
        """Create it without any request.

        Args:
          window_s: how long a request counts, in seconds.
          kept_s: for how long requests that have left the window are kept besides,
            in seconds (see `expired`).
        """
        self._window = int(window_s / SLICE_S) + 1
        """Slices that count, the present one aside."""
        self._kept = self._window + int(kept_s / SLICE_S)
        """Slices that are kept, the present one aside."""
        self._slices: dict[str, deque[_Slice]] = {}

    def add(self, name: str, now: float) -> None:
        """Count a request of a workspace."""
        number = int(now / SLICE_S)
        slices = self._slices.setdefault(name, deque())
        if slices and slices[-1].number == number:
            slices[-1].count += 1
        else:
            slices.append(_Slice(number, 1))

    def take_back(self, name: str, at: float) -> None:
        """Take back a request that was counted at a time, if that is still kept."""
        number = int(at / SLICE_S)
        for one_slice in reversed(self._slices.get(name, ())):
            if one_slice.number == number:
                one_slice.count -= 1
                return

    def within(self, name: str, span_s: float, now: float) -> int:
        """Return a workspace's requests of the last seconds, at most the window's."""
        first = int(now / SLICE_S) - self._window
        oldest = max(int((now - span_s) / SLICE_S), first)
        return sum(s.count for s in self._of(name, now) if s.number >= oldest)

    def expired(self, name: str, span_s: float, now: float) -> int:
        """Return a workspace's requests that left the window in the last seconds.

        Never too many: a slice counts once all of it has left.
        """
        first = int(now / SLICE_S) - self._window
        oldest = first - int(span_s / SLICE_S)
        return sum(s.count for s in self._of(name, now) if oldest < s.number < first)

    def totals(self, now: float) -> dict[str, int]:
        """Return the requests of all workspaces that had any in the window."""
        first = int(now / SLICE_S) - self._window
        found = {}
        for name in list(self._slices):
            slices = self._of(name, now)
            total = sum(s.count for s in slices if s.number >= first)
            if total > 0:
                found[name] = total
            elif not slices:
                del self._slices[name]
        return found

    def _of(self, name: str, now: float) -> deque[_Slice]:
        """Return a workspace's slices, without those that are kept no longer."""
        slices = self._slices.get(name, deque())
        first = int(now / SLICE_S) - self._kept
        while slices and slices[0].number < first:
            slices.popleft()
        return slices
