# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The ends of targets and the runs that ended with them: who may have been the cause.

A target that ends takes all that it runs with it, and one of these runs may be the
cause. Which one shows only when it comes again: the cause is there each time, others by
chance. So an end speaks against the one of its requests that was there at the most.

Owns the ends of the last ten minutes, at most `MOST_CRASHES`; lost with the process.
Relies on its caller for the time, and for reporting ends that other entries saw.
"""

import math
from collections.abc import Iterable, Sequence

import msgspec

__all__ = [
    "MEMORY_S",
    "MOST_CRASHES",
    "Crash",
    "CrashBook",
    "LostRun",
    "distinct",
    "moments",
    "separate",
]

MEMORY_S = 600.0
"""How long the end of a target counts, in seconds.

A request that comes once in minutes is known as well. Greater: more memory. Smaller:
targets go on ending under a request that comes seldom.
"""
SAME_END_S = 1.0
"""Time within which two reports of a target's end are of the same end, in seconds.

Reports arrive 0.6 s apart, and a target that starts again takes longer. Greater: a
second end is overlooked. Smaller: one end counts twice.
"""
MOST_CRASHES = 256
"""Ends kept; with `MOST_RUNS` each, 4.0 MB (tracemalloc).

The 750 targets of a large site that lose a third at once. Of more, those are dropped
that say least (`CrashBook._drop_one`).
"""
MOST_RUNS = 48
"""Runs kept for each end: five times the slots of usual targets."""
LEAST_APART = 0.5
"""Part of the shorter of two runs that lies outside the other, for both to count.

Runs that overlap may have ended by one cause, such as a power loss. Half, since times
from other entries are off by some milliseconds. Greater: runs that followed each other
count once. Smaller: runs that ended at the same moment count twice.
"""

MOMENT_S = 0.06
"""Time within which ends of targets count as one event, in seconds.

The way between regions is up to 0.055 s, so one event is seen that far apart. Greater:
targets that end one after the other pass for one event; a fatal request was seen to end
targets 0.06 to 0.1 s apart. Smaller: one event counts several times.
"""


class LostRun(msgspec.Struct, frozen=True):
    """One run of a request whose target ended; monotonic times in seconds."""

    fingerprint: int
    began: float
    """When it was sent."""
    ended: float
    """When its connection was closed."""


class Crash(msgspec.Struct):
    """The end of a target, and the runs that ended with it."""

    target: int
    """Hash of the target's name."""
    at: float
    """When it was first seen, monotonic time in seconds."""
    runs: dict[int, LostRun]
    """By fingerprint."""


def moments(times: Iterable[float]) -> int:
    """Return at how many moments something happened (`MOMENT_S`), from its times."""
    count = 0
    began = -math.inf
    for time in sorted(times):
        if time - began > MOMENT_S:
            count += 1
            began = time
    return count


def separate(runs: Iterable[LostRun]) -> int:
    """Return how many of some runs followed one another.

    The greatest number of runs of which no two overlap by much (`LEAST_APART`).
    """
    count = 0
    last: LostRun | None = None
    for run in sorted(runs, key=lambda r: r.ended):
        if last is None or _apart(last, run):
            count += 1
            last = run
    return count


def distinct(crashes: Sequence[Crash], fingerprint: int) -> int:
    """Return how many of a request's ends can't have come from one event.

    They are at different moments, or its runs followed one another. Attempts that
    overlap end targets at different moments; one entry's follow one another.
    """
    runs = separate(c.runs[fingerprint] for c in crashes)
    return max(runs, moments(c.at for c in crashes))


def _apart(before: LostRun, after: LostRun) -> bool:
    """Return whether of two runs the later one began near the earlier one's end."""
    shorter_s = min(before.ended - before.began, after.ended - after.began)
    return after.began >= before.ended - (1 - LEAST_APART) * shorter_s


class CrashBook:
    """The ends of targets that any entry saw."""

    def __init__(self) -> None:
        """Create it without any."""
        self._crashes: list[Crash] = []
        """In the order in which they became known."""
        self._by_fingerprint: dict[int, list[Crash]] = {}
        self._counts: dict[int, int] = {}
        """Counts that were asked for and still hold, by fingerprint."""

    def __len__(self) -> int:
        """Count the ends that are kept."""
        return len(self._crashes)

    def add(self, target: int, run: LostRun) -> bool:
        """Take a run that ended with its target; return whether it is new."""
        crash = self._of(target, run.ended)
        if crash is None:
            if len(self._crashes) >= MOST_CRASHES:
                self._drop_one()
            crash = Crash(target, run.ended, {})
            self._crashes.append(crash)
        if run.fingerprint in crash.runs or len(crash.runs) >= MOST_RUNS:
            return False
        crash.runs[run.fingerprint] = run
        self._by_fingerprint.setdefault(run.fingerprint, []).append(crash)
        self._counts.pop(run.fingerprint, None)
        return True

    def _of(self, target: int, ended: float) -> Crash | None:
        """Return the known end of a target that a report is of."""
        for crash in reversed(self._crashes):
            if crash.target == target and abs(crash.at - ended) <= SAME_END_S:
                return crash
        return None

    def knows(self, fingerprint: int) -> bool:
        """Return whether a request was present at any end."""
        return fingerprint in self._by_fingerprint

    def crashes(self, fingerprint: int) -> list[Crash]:
        """Return the ends at which a request was present."""
        return list(self._by_fingerprint.get(fingerprint, ()))

    def beside(self, fingerprint: int) -> set[int]:
        """Return the other requests that were present at a request's ends."""
        found = self._by_fingerprint.get(fingerprint, ())
        return {other for c in found for other in c.runs} - {fingerprint}

    def count(self, fingerprint: int) -> int:
        """Return at how many ends a request was present, one after the other."""
        found = self._counts.get(fingerprint)
        if found is None:
            crashes = self._by_fingerprint.get(fingerprint, ())
            found = self._counts[fingerprint] = distinct(crashes, fingerprint)
        return found

    def attributed(self, fingerprint: int) -> list[Crash]:
        """Return the ends at which no request was present that was so more often.

        Counts are of moments, so that ends close together say little. Of two with the
        same count the one comes first that was at all ends of the other and at more:
        it explains them, while the other does not explain its.
        """
        own = self.count(fingerprint)
        crashes = self.crashes(fingerprint)
        if any(
            self.count(other) == own and self._explains(other, crashes)
            for other in self.beside(fingerprint)
        ):
            return []
        return [c for c in crashes if self._weight(c) <= own]

    def _explains(self, other: int, crashes: Sequence[Crash]) -> bool:
        """Return whether a request was at all of some ends, and at more of them."""
        ends = self._by_fingerprint[other]
        if len(ends) <= len(crashes):
            return False
        return all(other in c.runs for c in crashes)

    def times(self, first: float, last: float) -> list[float]:
        """Return the times of all ends within a span of time."""
        return [c.at for c in self._crashes if first <= c.at <= last]

    def clear(self, fingerprint: int, until: float) -> bool:
        """Drop a request's runs that ended until a time; return if there were any."""
        found = self._by_fingerprint.get(fingerprint, ())
        void = [c for c in found if c.runs[fingerprint].ended <= until]
        for crash in void:
            self._remove_run(crash, fingerprint)
        return bool(void)

    def forget(self, now: float) -> None:
        """Drop what is too old to count."""
        for crash in [c for c in self._crashes if now - c.at > MEMORY_S]:
            self._drop(crash)

    def _drop_one(self) -> None:
        """Drop the end that says least: whose requests were seen at no other end.

        Of several the one that has been known longest, so that an event that ends many
        targets at once does not drive out what is known of one request.
        """
        self._drop(min(self._crashes, key=self._weight))

    def _weight(self, crash: Crash) -> int:
        """Return the greatest count of an end's requests.

        Not the number of ends: a popular request is at all that one event ends.
        """
        return max((self.count(f) for f in crash.runs), default=0)

    def _drop(self, crash: Crash) -> None:
        self._crashes = [c for c in self._crashes if c is not crash]
        for fingerprint in list(crash.runs):
            self._remove_run(crash, fingerprint)

    def _remove_run(self, crash: Crash, fingerprint: int) -> None:
        del crash.runs[fingerprint]
        self._counts.pop(fingerprint, None)
        left = [c for c in self._by_fingerprint[fingerprint] if c is not crash]
        if left:
            self._by_fingerprint[fingerprint] = left
        else:
            del self._by_fingerprint[fingerprint]
