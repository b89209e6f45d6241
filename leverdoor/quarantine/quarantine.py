# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Requests that are held back, since targets end when they run them.

Each entry reports the ends of targets that it sees and takes those that others report
(`CrashBook`); each judges by the same rule (verdict.py) and says what it holds back, so
that all do. Any run that comes to an end shows that a request is harmless: whatever
counted against it before is void, here and at all entries. A request that may be
harmless is run once more soon, by one entry for all.

Owns the requests held back, which were released, and which ran to an end lately. All
of it is lost with the process; what is held back is also kept in the store (records.py)
and comes back from there. Relies on `judge` being called each round, on its notices
being exchanged, and on its callers for the time, monotonic in seconds.
"""

import math
from collections import OrderedDict
from collections.abc import Mapping
from typing import Literal, TypeAlias

import msgspec

from leverdoor.quarantine.crashes import MEMORY_S, CrashBook, LostRun
from leverdoor.quarantine.notices import HELD_SPAN_S, Notice, NoticeKind
from leverdoor.quarantine.outbox import NEVER, News, Outbox
from leverdoor.quarantine.verdict import ENOUGH, Verdict, judge_request

__all__ = [
    "HOLD_S",
    "MOST_HELD",
    "MOST_TRIES",
    "TRY_AFTER_S",
    "QuarantineChange",
    "Hold",
    "Quarantine",
    "Source",
]

HOLD_S = 600.0
"""How long a request is held back, in seconds.

Time to mend or replace the targets' software. Greater: a harmless request that is held
back by mistake waits longer. Smaller: three more targets end each time.
"""
JUDGE_AFTER_S = 0.6
"""Time after the newest end in which reports of other entries are awaited, in seconds.

They arrive within 0.57 s (p99 within a region, 195 entries, 5% of datagrams lost,
benchmarks/knowledge.py). Greater: more targets end meanwhile. Smaller: a request that
was there by chance is judged before it is known that another was there each time.
"""
TRY_AFTER_S = 2.0
"""Time after which a request that may be harmless is run once more, in seconds.

All hold the cause back by then, so that it meets no more ends. Greater: harmless
requests are refused for longer. Smaller: it meets the same trouble.
"""
NEXT_TRY_X = 5.0
"""Times that wait until the next try: trouble of a few seconds is over."""
MOST_TRIES = 2
"""Such tries of one request.

The operator allows three sends later than 4 s after the third end; that leaves one for
an entry that was cut off. Greater: none is left. Smaller: a harmless
request whose one try meets another end of a target stays held back.
"""
MOST_HELD = 256
"""Requests held back at most; the one that was first goes first.

Each ends targets, so there are few; this bounds memory and keys of the store.
"""
MOST_ANSWERED = 4_096
"""Requests kept that ran to an end; 0.6 MB.

Those of some minutes at 16 a second and entry. Greater: more memory. Smaller: a report
that comes late counts against a request that was run meanwhile.
"""
MOST_RELEASED = 1_024
"""Releases kept, as `MOST_ANSWERED` are; these came from other entries or the store."""

Source: TypeAlias = Literal["crashes", "peer", "store", "answer"]
"""Why a request is held back (by the ends of targets, another entry, the store), or
released (by an answer, another entry, the store)."""


class Hold(msgspec.Struct, frozen=True):
    """One request that is held back; monotonic times in seconds."""

    fingerprint: int
    first: float
    """When the first target ended that counts against it."""
    at: float
    """When it was held back."""
    tries: int = 0
    """How often it may still be tried, since it may be harmless."""
    try_at: float = 0.0
    """When it may be tried next."""

    @property
    def until(self) -> float:
        """When the hold ends."""
        return self.at + HOLD_S


class QuarantineChange(msgspec.Struct, frozen=True):
    """A request that was held back, or released; for the log."""

    change: Literal["held", "released"]
    fingerprint: int
    source: Source
    ends: int
    """Ends of targets known here at which it was present."""
    tries: int = 0
    """How often it may still be tried, if it is held back."""


class Quarantine:
    """Which requests are held back at one entry."""

    def __init__(self) -> None:
        """Create it, with nothing held back."""
        self._book = CrashBook()
        self._holds: dict[int, Hold] = {}
        self._answered: OrderedDict[int, float] = OrderedDict()
        self._released: OrderedDict[int, float] = OrderedDict()
        """Until when nothing counts against a request."""
        self._suspects: dict[int, float] = {}
        """Requests to be judged soon, with the end of their newest lost run."""
        self._outbox = Outbox()
        self._changes: list[QuarantineChange] = []

    # Requests.

    @property
    def holds(self) -> Mapping[int, Hold]:
        """The requests that are held back, by fingerprint."""
        return self._holds

    def hold(self, fingerprint: int, now: float) -> Hold | None:
        """Return how a request is held back; None if it may run."""
        found = self._holds.get(fingerprint)
        return found if found is not None and now < found.until else None

    def start_trial(self, hold: Hold, now: float) -> bool:
        """Return whether a request that is held back is run now, as a try.

        Only one entry for all may call this, so that one target ends at most.
        """
        if not hold.tries or now < hold.try_at:
            return False
        self._holds[hold.fingerprint] = _tried(hold, now)
        return True

    def may_retry(self, fingerprint: int, now: float) -> bool:
        """Return whether a request whose answer was lost may go to another target."""
        held = self.hold(fingerprint, now) is not None
        return not held and fingerprint not in self._suspects

    def answered(self, fingerprint: int, now: float) -> None:
        """Record that a target ran a request to an end: it is harmless."""
        _note(self._answered, fingerprint, now, MOST_ANSWERED)
        if self._has_evidence(fingerprint):
            self._release(fingerprint, now, "answer", now)

    def _has_evidence(self, fingerprint: int) -> bool:
        return fingerprint in self._holds or self._book.knows(fingerprint)

    def record_crash(self, target: int, run: LostRun, now: float) -> None:
        """Record that a target ended while it ran a request.

        Args:
          target: hash of the target's name.
          run: what it ran.
          now: when that became known here.
        """
        if run.ended <= self._void_until(run.fingerprint):
            self._tell_release(run.fingerprint, now)
            return
        if now - run.ended > MEMORY_S or not self._book.add(target, run):
            return
        self._suspect(run.fingerprint)
        hold = self._holds.get(run.fingerprint)
        if hold is not None and hold.tries and run.began >= hold.try_at:
            self._holds[run.fingerprint] = _tried(hold, now)
        length_ms = round((run.ended - run.began) * 1000)
        kind = NoticeKind.CRASH
        self._outbox.add(News(kind, run.fingerprint, run.ended, target, length_ms), now)

    def _suspect(self, fingerprint: int) -> None:
        """Have a request judged that was there when several targets ended.

        Also when another that was there too proves to be harmless: what spoke against
        that one speaks against this one now.
        """
        crashes = self._book.crashes(fingerprint)
        if len(crashes) >= ENOUGH:
            newest = max(c.runs[fingerprint].ended for c in crashes)
            self._suspects[fingerprint] = newest

    def _void_until(self, fingerprint: int) -> float:
        """Return until when nothing counts against a request."""
        answered = self._answered.get(fingerprint, NEVER)
        return max(answered, self._released.get(fingerprint, NEVER))

    # The verdict.

    def judge(self, now: float) -> list[QuarantineChange]:
        """Hold back what counts as the cause of ends by now.

        Returns: what was held back or released since the last call.
        """
        self._forget(now)
        ready = [f for f, at in self._suspects.items() if now - at >= JUDGE_AFTER_S]
        for fingerprint in ready:
            del self._suspects[fingerprint]
            self._judge(fingerprint, now)
        changes, self._changes = self._changes, []
        return changes

    def _judge(self, fingerprint: int, now: float) -> None:
        verdict = judge_request(self._book, fingerprint)
        if verdict is Verdict.HARMLESS or fingerprint in self._holds:
            return
        crashes = self._book.crashes(fingerprint)
        first = min(c.runs[fingerprint].ended for c in crashes)
        tries = MOST_TRIES if verdict is Verdict.UNSURE else 0
        hold = Hold(fingerprint, first, now, tries, now + TRY_AFTER_S)
        self._hold(hold, "crashes", now)

    def _hold(self, hold: Hold, source: Source, now: float) -> None:
        """Hold a request back, unless it is already or what counts is void."""
        fingerprint = hold.fingerprint
        if fingerprint in self._holds or now >= hold.until:
            return
        if self.is_exonerated(hold):
            self._tell_release(fingerprint, now)
            return
        if len(self._holds) >= MOST_HELD:
            del self._holds[min(self._holds, key=lambda f: self._holds[f].at)]
        self._holds[fingerprint] = hold
        self._suspects.pop(fingerprint, None)
        self._log("held", fingerprint, source)
        self._outbox.add(_held_news(hold), now)

    def _release(
        self, fingerprint: int, until: float, source: Source, now: float
    ) -> None:
        """Take what counted against a request until a time as void."""
        if until <= self._released.get(fingerprint, NEVER):
            return
        _note(self._released, fingerprint, until, MOST_RELEASED)
        beside = self._book.beside(fingerprint)
        self._book.clear(fingerprint, until)
        if len(self._book.crashes(fingerprint)) < ENOUGH:
            self._suspects.pop(fingerprint, None)
        for other in beside:
            self._suspect(other)
        hold = self._holds.get(fingerprint)
        if hold is not None and hold.first <= until:
            del self._holds[fingerprint]
            self._log("released", fingerprint, source)
        self._tell_release(fingerprint, now)

    def _tell_release(self, fingerprint: int, now: float) -> None:
        until = self._void_until(fingerprint)
        self._outbox.add(News(NoticeKind.RELEASED, fingerprint, until), now)

    def _log(
        self, change: Literal["held", "released"], fingerprint: int, source: Source
    ) -> None:
        ends = len(self._book.crashes(fingerprint))
        hold = self._holds.get(fingerprint)
        tries = hold.tries if hold is not None else 0
        self._changes.append(QuarantineChange(change, fingerprint, source, ends, tries))

    def _forget(self, now: float) -> None:
        """Drop what does not count any more."""
        self._book.forget(now)
        for fingerprint in [f for f, h in self._holds.items() if now >= h.until]:
            del self._holds[fingerprint]

    # Other entries.

    def notices(self, now: float) -> list[Notice]:
        """Return what to tell other entries in this round."""
        held = [_held_news(hold) for hold in self._holds.values()]
        return self._outbox.notices(held, self._book, now)

    def receive(self, notices: list[Notice], now: float) -> None:
        """Take what another entry told; it is passed on if it is new here."""
        for notice in notices:
            at = now - notice.age_ms / 1000
            if notice.kind is NoticeKind.CRASH:
                run = LostRun(notice.fingerprint, at - notice.span / 1000, at)
                self.record_crash(notice.target, run, now)
            elif notice.kind is NoticeKind.HELD:
                self._hold(_held_hold(notice, at), "peer", now)
            elif self._is_newer(notice.fingerprint, at):
                self._release(notice.fingerprint, at, "peer", now)

    def _is_newer(self, fingerprint: int, at: float) -> bool:
        """Return whether a release adds to what is known; ages are off by a little."""
        hold = self._holds.get(fingerprint)
        if hold is not None and hold.first <= at:
            return True
        return at > self._released.get(fingerprint, NEVER) + JUDGE_AFTER_S

    # The store.

    def add_stored(self, hold: Hold, now: float) -> None:
        """Take what is held back by the store's account."""
        self._hold(hold, "store", now)

    def release_removed(self, fingerprint: int, now: float) -> None:
        """Release a request whose record was taken from the store."""
        if fingerprint in self._holds:
            self._release(fingerprint, now, "store", now)

    def is_exonerated(self, hold: Hold) -> bool:
        """Return whether what a record holds a request back for is void."""
        return hold.first <= self._void_until(hold.fingerprint)


def _note(
    times: OrderedDict[int, float], fingerprint: int, at: float, most: int
) -> None:
    """Note a time of a request; of too many the one noted longest ago goes."""
    times[fingerprint] = at
    times.move_to_end(fingerprint)
    if len(times) > most:
        times.popitem(last=False)


def _tried(hold: Hold, now: float) -> Hold:
    """Return a hold after a try."""
    try_at = now + NEXT_TRY_X * TRY_AFTER_S
    return msgspec.structs.replace(hold, tries=hold.tries - 1, try_at=try_at)


def _held_news(hold: Hold) -> News:
    """Return what to tell of a hold; its tries go in place of a target."""
    span = math.floor((hold.at - hold.first) / HELD_SPAN_S)
    kind = NoticeKind.HELD
    return News(kind, hold.fingerprint, hold.at, target=hold.tries, span=span)


def _held_hold(notice: Notice, at: float) -> Hold:
    """Return the hold that another entry told of; `at` is when it began."""
    first = at - notice.span * HELD_SPAN_S
    tries = min(notice.target, MOST_TRIES)
    return Hold(notice.fingerprint, first, at, tries, at + TRY_AFTER_S)
