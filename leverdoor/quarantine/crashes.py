# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Records crashes of targets and the requests that each target was running.

A crash ends all runs of the target, and one of them may have caused it. The cause shows
only by repetition: it is present at each of its crashes, other requests only by chance.
A crash is therefore attributed to the request that was present at the most crashes.

Owns the crashes of the last ten minutes, at most `MAX_CRASHES`; lost with the process.
Relies on its caller for the time and for the crashes that other entries report.
"""

import math
from collections.abc import Iterable, Sequence

import msgspec

__all__ = [
    "CRASH_RETENTION_S",
    "MAX_CRASHES",
    "Crash",
    "CrashTable",
    "LostRun",
    "count_events",
    "count_independent",
    "count_sequential",
]

CRASH_RETENTION_S = 600.0
"""How long a crash counts as evidence, in seconds.

It is long enough to count the crashes of a request that is sent every few minutes. A
longer time takes more memory; with a shorter one a rare request keeps crashing targets.
"""
SAME_CRASH_S = 1.0
"""Time within which two reports about a target refer to one crash, in seconds.

Reports of one crash arrive up to 0.6 s apart, and a restart of the target takes longer.
A greater value overlooks a second crash; a smaller one counts a crash twice.
"""
MAX_CRASHES = 256
"""Greatest number of crashes kept; with `MAX_RUNS` runs each they take 4.0 MB.

This is enough for a third of the 750 targets of a large site. Beyond it, the crash with
the least evidence is dropped (`CrashTable._drop_weakest`).
"""
MAX_RUNS = 48
"""Runs kept for each crash: five times the slots of a usual target."""
MIN_DISJOINT_SHARE = 0.5
"""Least share of the shorter of two runs that lies outside the other run.

With less, the two runs count as one: overlapping runs may have ended by one cause, such
as a power loss. The share is below 1 since times from other entries are off by some
milliseconds. With a greater share, sequential runs count once; with a smaller one, runs
that ended together count twice.
"""

EVENT_WINDOW_S = 0.06
"""Time within which crashes count as one event, in seconds.

An event is one cause that crashes several targets at once. The one-way delay between
regions is up to 0.055 s, so reports of one event differ by as much. A greater value
merges the crashes of a fatal request, which may be 0.06 to 0.1 s apart; with a smaller
one, one event counts several times.
"""


class LostRun(msgspec.Struct, frozen=True):
    """One run of a request whose target crashed; monotonic times in seconds."""

    fingerprint: int
    began: float
    """When the request was sent."""
    ended: float
    """When the connection was closed."""


class Crash(msgspec.Struct):
    """A crash of a target and the runs that it ended."""

    target: int
    """Hash of the target's name."""
    ended_at: float
    """End of the run in the first report that arrived, monotonic time in seconds."""
    runs: dict[int, LostRun]
    """By fingerprint."""


def count_events(times: Iterable[float]) -> int:
    """Return how many events the times make up; see `EVENT_WINDOW_S`."""
    count = 0
    began = -math.inf
    for time in sorted(times):
        if time - began > EVENT_WINDOW_S:
            count += 1
            began = time
    return count


def count_sequential(runs: Iterable[LostRun]) -> int:
    """Return the greatest number of runs that hardly overlap each other.

    `MIN_DISJOINT_SHARE` is the overlap from which on two runs count as one.
    """
    count = 0
    last: LostRun | None = None
    for run in sorted(runs, key=lambda r: r.ended):
        if last is None or _are_sequential(last, run):
            count += 1
            last = run
    return count


def count_independent(crashes: Sequence[Crash], fingerprint: int) -> int:
    """Return how many crashes of a request cannot have come from one event.

    The number is the greater one of two counts. Events count the attempts of several
    entries, which may overlap. Sequential runs count the attempts of one entry that
    follow each other within one event.
    """
    runs = count_sequential(c.runs[fingerprint] for c in crashes)
    return max(runs, count_events(c.ended_at for c in crashes))


def _are_sequential(before: LostRun, after: LostRun) -> bool:
    """Return whether the later run began near the end of the earlier one, or after."""
    shorter_s = min(before.ended - before.began, after.ended - after.began)
    return after.began >= before.ended - (1 - MIN_DISJOINT_SHARE) * shorter_s


class CrashTable:
    """The crashes that this entry saw or other entries reported."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._crashes: list[Crash] = []
        """In the order in which they were reported."""
        self._by_fingerprint: dict[int, list[Crash]] = {}
        self._counts: dict[int, int] = {}
        """Cache of `independent_count`, by fingerprint."""

    def __len__(self) -> int:
        """Return the number of crashes kept."""
        return len(self._crashes)

    def add_run(self, target: int, run: LostRun) -> bool:
        """Record a run that a crash ended; return whether the run is new."""
        crash = self._find(target, run.ended)
        if crash is None:
            if len(self._crashes) >= MAX_CRASHES:
                self._drop_weakest()
            crash = Crash(target, run.ended, {})
            self._crashes.append(crash)
        if run.fingerprint in crash.runs or len(crash.runs) >= MAX_RUNS:
            return False
        crash.runs[run.fingerprint] = run
        self._by_fingerprint.setdefault(run.fingerprint, []).append(crash)
        self._counts.pop(run.fingerprint, None)
        return True

    def _find(self, target: int, ended: float) -> Crash | None:
        """Return the known crash that a report refers to."""
        for crash in reversed(self._crashes):
            if crash.target == target and abs(crash.ended_at - ended) <= SAME_CRASH_S:
                return crash
        return None

    def has_crashes(self, fingerprint: int) -> bool:
        """Return whether a request was running at any crash."""
        return fingerprint in self._by_fingerprint

    def crashes_of(self, fingerprint: int) -> list[Crash]:
        """Return the crashes at which a request was running."""
        return list(self._by_fingerprint.get(fingerprint, ()))

    def concurrent_requests(self, fingerprint: int) -> set[int]:
        """Return the other requests that were running at a request's crashes."""
        crashes = self._by_fingerprint.get(fingerprint, ())
        return {other for c in crashes for other in c.runs} - {fingerprint}

    def independent_count(self, fingerprint: int) -> int:
        """Return the number of independent crashes of a request."""
        known = self._counts.get(fingerprint)
        if known is None:
            crashes = self._by_fingerprint.get(fingerprint, ())
            known = self._counts[fingerprint] = count_independent(crashes, fingerprint)
        return known

    def attributed_crashes(self, fingerprint: int) -> list[Crash]:
        """Return the crashes of a request at which no request with a greater count ran.

        Counts are of independent crashes, so crashes close together are weak evidence.
        If the crashes of request A are a proper subset of those of request B and their
        counts are equal, A's crashes are attributed to B, since only B was running at
        all of them.
        """
        own_count = self.independent_count(fingerprint)
        crashes = self.crashes_of(fingerprint)
        if any(
            self.independent_count(other) == own_count
            and self._ran_at_all_and_more(other, crashes)
            for other in self.concurrent_requests(fingerprint)
        ):
            return []
        return [c for c in crashes if self._max_independent_count(c) <= own_count]

    def _ran_at_all_and_more(self, other: int, crashes: Sequence[Crash]) -> bool:
        """Return whether a request was running at all the crashes and at more."""
        other_crashes = self._by_fingerprint[other]
        if len(other_crashes) <= len(crashes):
            return False
        return all(other in c.runs for c in crashes)

    def crash_times(self, first: float, last: float) -> list[float]:
        """Return the times of all crashes from `first` to `last`."""
        return [c.ended_at for c in self._crashes if first <= c.ended_at <= last]

    def discard_runs(self, fingerprint: int, until: float) -> bool:
        """Drop a request's runs that ended by a time; return whether there were any."""
        crashes = self._by_fingerprint.get(fingerprint, ())
        discarded = [c for c in crashes if c.runs[fingerprint].ended <= until]
        for crash in discarded:
            self._remove_run(crash, fingerprint)
        return bool(discarded)

    def forget(self, now: float) -> None:
        """Drop the crashes that are too old to count."""
        for crash in [c for c in self._crashes if now - c.ended_at > CRASH_RETENTION_S]:
            self._drop(crash)

    def _drop_weakest(self) -> None:
        """Drop the oldest of the crashes with the least evidence.

        Usually the requests of such a crash were running at no other crash. An event
        that crashes many targets at once thus does not displace the evidence against
        one request.
        """
        self._drop(min(self._crashes, key=self._max_independent_count))

    def _max_independent_count(self, crash: Crash) -> int:
        """Return the greatest `independent_count` among the requests of a crash.

        Counting all crashes would rank a popular request too high, since it runs on all
        targets that one event crashes.
        """
        return max((self.independent_count(f) for f in crash.runs), default=0)

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
