# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Quarantines requests that crash the targets that run them.

Each entry reports the crashes that it sees and records those that others report
(`CrashTable`). Each judges requests by the same rule (verdict.py) and announces its
quarantined requests, so that all entries refuse them. A completed run exonerates a
request: all entries discard the earlier evidence against it. A request that may be
harmless soon gets a trial run, which one entry runs on behalf of all. A hold is the
record of one quarantined request; logs and notices call such a request "held".

Owns the quarantined requests and those that were released or completed lately. All of
it is lost with the process, but the quarantined requests are also kept in the store
(records.py) and restored from there. Relies on `judge` being called each round, on the
exchange of its notices, and on its callers for the time, monotonic in seconds.
"""

import math
from collections import OrderedDict
from collections.abc import Mapping
from typing import Literal, TypeAlias

import msgspec

from leverdoor.quarantine.crashes import CRASH_RETENTION_S, CrashTable, LostRun
from leverdoor.quarantine.notices import HELD_SPAN_UNIT_S, Notice, NoticeKind
from leverdoor.quarantine.outbox import NEVER, Outbox, PendingNotice
from leverdoor.quarantine.verdict import MIN_CRASHES, Verdict, judge_request

__all__ = [
    "HOLD_S",
    "MAX_HOLDS",
    "MAX_TRIALS",
    "TRIAL_DELAY_S",
    "QuarantineChange",
    "Hold",
    "Quarantine",
    "Source",
]

HOLD_S = 600.0
"""How long a request stays quarantined, in seconds.

This is the time to fix or replace the software of the targets. With a greater value, a
harmless request that was quarantined by mistake waits longer. A request that is still
fatal crashes `MIN_CRASHES` more targets each time its hold expires, so with a smaller
value more targets crash.
"""
JUDGMENT_DELAY_S = 0.6
"""Time to wait for the reports of other entries after the newest crash, in seconds.

Reports arrive within 0.57 s at p99 in a region of 195 entries that loses 5% of its
datagrams (benchmarks/knowledge.py). With a greater value, more targets crash meanwhile.
With a smaller one, a harmless request is judged before all reports of the cause have
arrived. `_release_applies` uses the same time as a tolerance.
"""
MAX_JUDGMENT_DELAY_S = 1.2
"""Longest time for which a suspect waits for its judgment, in seconds.

Twice `JUDGMENT_DELAY_S`: enough for the attempts of one burst, 0.7 s apart at most, and
the reports of them. Without this bound, a request that crashes targets more often than
each 0.6 s is never judged. With a greater value, more targets crash; with a smaller
one, requests are judged between the crashes of one burst.
"""
TRIAL_DELAY_S = 2.0
"""Time until the first trial of a request that may be harmless, in seconds.

By then all entries have quarantined the request that caused the crashes, so it cannot
crash the target during the trial. With a greater value, harmless requests are refused
for longer; with a smaller one, the trial runs during the same incident.
"""
TRIAL_BACKOFF_FACTOR = 5.0
"""Factor on `TRIAL_DELAY_S` for later trials; incidents of some seconds end by then."""
MAX_TRIALS = 2
"""Trials of one request.

The operator allows three sends later than 4 s after the third crash. The trials use two
of them, and one remains for an entry that was cut off. With a greater value none
remains; with a smaller one, a harmless request whose only trial hits an unrelated crash
stays quarantined.
"""
MAX_HOLDS = 256
"""Greatest number of quarantined requests; the oldest hold is dropped first.

Each of them crashes targets, so there are few. The bound limits the memory and the
number of keys in the store.
"""
MAX_COMPLETED = 4_096
"""Completed requests kept; they take 0.6 MB.

They cover four minutes at 16 requests per second and entry. A greater value takes more
memory; with a smaller one, a late report counts against a request that completed
meanwhile.
"""
MAX_RELEASED = 1_024
"""Greatest number of releases kept, for the same reason as `MAX_COMPLETED`."""

Source: TypeAlias = Literal["crashes", "peer", "store", "answer"]
"""What quarantined a request (crashes, another entry, the store) or released it (an
answer of a target, another entry, the store)."""


class Hold(msgspec.Struct, frozen=True):
    """The record of a quarantined request; monotonic times in seconds."""

    fingerprint: int
    first_crash_at: float
    """When the first crash happened that counts against the request."""
    quarantined_at: float
    """When the request was quarantined."""
    tries: int = 0
    """The number of trials left, under the name that records and logs use.

    A request that is certainly the cause gets none.
    """
    next_trial_at: float = 0.0
    """When the next trial may run."""

    @property
    def until(self) -> float:
        """When the hold ends."""
        return self.quarantined_at + HOLD_S


class QuarantineChange(msgspec.Struct, frozen=True):
    """The quarantine or release of a request; for the log."""

    change: Literal["held", "released"]
    fingerprint: int
    source: Source
    ends: int
    """Crashes known here at which the request was running, under its log field."""
    tries: int = 0
    """The number of trials left if the request is quarantined."""


class _Suspect(msgspec.Struct, frozen=True):
    """A request to judge; monotonic times in seconds."""

    since: float
    """End of the lost run that made it a suspect."""
    newest: float
    """End of its newest lost run."""

    def is_ready(self, now: float) -> bool:
        """Return whether to judge it: reports are in, or it crashes on and on."""
        waited_s, suspected_s = now - self.newest, now - self.since
        return waited_s >= JUDGMENT_DELAY_S or suspected_s >= MAX_JUDGMENT_DELAY_S


class Quarantine:
    """The requests that one entry refuses because they crash targets."""

    def __init__(self) -> None:
        """Create an empty quarantine."""
        self._crash_table = CrashTable()
        self._holds: dict[int, Hold] = {}
        self._completed: OrderedDict[int, float] = OrderedDict()
        """By fingerprint, when a target last completed the request."""
        self._released_until: OrderedDict[int, float] = OrderedDict()
        """By fingerprint, up to which time evidence against it is discarded."""
        self._suspects: dict[int, _Suspect] = {}
        """Requests to judge, by fingerprint."""
        self._outbox = Outbox()
        self._changes: list[QuarantineChange] = []

    # Requests.

    @property
    def holds(self) -> Mapping[int, Hold]:
        """The holds by fingerprint, with those that expired since the last `judge`."""
        return self._holds

    def active_hold(self, fingerprint: int, now: float) -> Hold | None:
        """Return the hold on a request that has not expired; None if there is none."""
        found = self._holds.get(fingerprint)
        return found if found is not None and now < found.until else None

    def start_trial(self, hold: Hold, now: float) -> bool:
        """Start a trial of a quarantined request; return whether it may run now.

        Only the owner of the request's trials may call this, so that a trial crashes at
        most one target.
        """
        if not hold.tries or now < hold.next_trial_at:
            return False
        self._holds[hold.fingerprint] = _after_trial(hold, now)
        return True

    def may_retry(self, fingerprint: int, now: float) -> bool:
        """Return whether a request that got no response may go to another target."""
        held = self.active_hold(fingerprint, now) is not None
        return not held and fingerprint not in self._suspects

    def answered(self, fingerprint: int, now: float) -> None:
        """Record that a target completed a request, which shows that it is harmless."""
        _remember_time(self._completed, fingerprint, now, MAX_COMPLETED)
        if self._has_evidence(fingerprint):
            self._release(fingerprint, now, "answer", now)

    def _has_evidence(self, fingerprint: int) -> bool:
        return fingerprint in self._holds or self._crash_table.has_crashes(fingerprint)

    def record_crash(self, target: int, run: LostRun, now: float) -> None:
        """Record that a target crashed while it ran a request.

        If the evidence of that time has been discarded, the release is announced again.

        Args:
          target: hash of the target's name.
          run: the run that the crash ended.
          now: when this entry learned of it.
        """
        if run.ended <= self._evidence_discarded_to(run.fingerprint):
            self._announce_release(run.fingerprint, now)
            return
        if now - run.ended > CRASH_RETENTION_S or not self._crash_table.add_run(
            target, run
        ):
            return
        self._add_suspect_if_repeated(run.fingerprint)
        hold = self._holds.get(run.fingerprint)
        if hold is not None and hold.tries and run.began >= hold.next_trial_at:
            # The run was the trial of another entry, so it counts as one here too.
            self._holds[run.fingerprint] = _after_trial(hold, now)
        run_ms = round((run.ended - run.began) * 1000)
        kind = NoticeKind.CRASH
        self._outbox.add(
            PendingNotice(kind, run.fingerprint, run.ended, target, run_ms), now
        )

    def _add_suspect_if_repeated(self, fingerprint: int) -> None:
        """Mark a request to be judged if it has at least `MIN_CRASHES` crashes.

        `_release` also calls this for the concurrent requests: once a request proves
        harmless, its crashes are attributed to the others.
        """
        crashes = self._crash_table.crashes_of(fingerprint)
        if len(crashes) >= MIN_CRASHES:
            newest = max(c.runs[fingerprint].ended for c in crashes)
            suspect = self._suspects.get(fingerprint)
            since = suspect.since if suspect is not None else newest
            self._suspects[fingerprint] = _Suspect(since, newest)

    def _evidence_discarded_to(self, fingerprint: int) -> float:
        """Return up to which time evidence against a request is discarded."""
        answered = self._completed.get(fingerprint, NEVER)
        return max(answered, self._released_until.get(fingerprint, NEVER))

    # Judging requests.

    def judge(self, now: float) -> list[QuarantineChange]:
        """Judge the suspects and quarantine those that count as the cause of crashes.

        Returns: the quarantines and releases since the last call.
        """
        self._forget(now)
        ready = [f for f, s in self._suspects.items() if s.is_ready(now)]
        for fingerprint in ready:
            del self._suspects[fingerprint]
            self._judge(fingerprint, now)
        changes, self._changes = self._changes, []
        return changes

    def _judge(self, fingerprint: int, now: float) -> None:
        verdict = judge_request(self._crash_table, fingerprint)
        if verdict is Verdict.HARMLESS or fingerprint in self._holds:
            return
        crashes = self._crash_table.crashes_of(fingerprint)
        first_crash_at = min(c.runs[fingerprint].ended for c in crashes)
        tries = MAX_TRIALS if verdict is Verdict.UNSURE else 0
        hold = Hold(fingerprint, first_crash_at, now, tries, now + TRIAL_DELAY_S)
        self._quarantine_request(hold, "crashes", now)

    def _quarantine_request(self, hold: Hold, source: Source, now: float) -> None:
        """Quarantine a request.

        Nothing happens if it is quarantined already, if the hold has expired, or if its
        evidence has been discarded.
        """
        fingerprint = hold.fingerprint
        if fingerprint in self._holds or now >= hold.until:
            return
        if self.has_no_evidence(hold):
            self._announce_release(fingerprint, now)
            return
        if len(self._holds) >= MAX_HOLDS:
            del self._holds[
                min(self._holds, key=lambda f: self._holds[f].quarantined_at)
            ]
        self._holds[fingerprint] = hold
        self._suspects.pop(fingerprint, None)
        self._record_change("held", fingerprint, source)
        self._outbox.add(_hold_notice(hold), now)

    def _release(
        self, fingerprint: int, until: float, source: Source, now: float
    ) -> None:
        """Discard the evidence against a request up to a time, and end its hold."""
        if until <= self._released_until.get(fingerprint, NEVER):
            return
        _remember_time(self._released_until, fingerprint, until, MAX_RELEASED)
        concurrent = self._crash_table.concurrent_requests(fingerprint)
        self._crash_table.discard_runs(fingerprint, until)
        if len(self._crash_table.crashes_of(fingerprint)) < MIN_CRASHES:
            self._suspects.pop(fingerprint, None)
        for other in concurrent:
            self._add_suspect_if_repeated(other)
        hold = self._holds.get(fingerprint)
        if hold is not None and hold.first_crash_at <= until:
            del self._holds[fingerprint]
            self._record_change("released", fingerprint, source)
        self._announce_release(fingerprint, now)

    def _announce_release(self, fingerprint: int, now: float) -> None:
        until = self._evidence_discarded_to(fingerprint)
        self._outbox.add(PendingNotice(NoticeKind.RELEASED, fingerprint, until), now)

    def _record_change(
        self, change: Literal["held", "released"], fingerprint: int, source: Source
    ) -> None:
        ends = len(self._crash_table.crashes_of(fingerprint))
        hold = self._holds.get(fingerprint)
        tries = hold.tries if hold is not None else 0
        self._changes.append(QuarantineChange(change, fingerprint, source, ends, tries))

    def _forget(self, now: float) -> None:
        """Drop crashes and holds that have expired."""
        self._crash_table.forget(now)
        for fingerprint in [f for f, h in self._holds.items() if now >= h.until]:
            del self._holds[fingerprint]

    # Exchange with other entries.

    def notices(self, now: float) -> list[Notice]:
        """Return the notices to send to other entries in this round."""
        held = [_hold_notice(hold) for hold in self._holds.values()]
        return self._outbox.next_notices(held, self._crash_table, now)

    def receive(self, notices: list[Notice], now: float) -> None:
        """Apply the notices of another entry; new ones are forwarded."""
        for notice in notices:
            at = now - notice.age_ms / 1000
            if notice.kind is NoticeKind.CRASH:
                run = LostRun(notice.fingerprint, at - notice.span / 1000, at)
                self.record_crash(notice.target, run, now)
            elif notice.kind is NoticeKind.HELD:
                self._quarantine_request(_announced_hold(notice, at), "peer", now)
            elif self._release_applies(notice.fingerprint, at):
                # The notice is of kind `RELEASED`.
                self._release(notice.fingerprint, at, "peer", now)

    def _release_applies(self, fingerprint: int, at: float) -> bool:
        """Return whether a release ends a hold or is newer than the known release.

        The ages in repeated notices of one release differ slightly, so a release counts
        as newer only if it is newer by more than `JUDGMENT_DELAY_S`.
        """
        hold = self._holds.get(fingerprint)
        if hold is not None and hold.first_crash_at <= at:
            return True
        return at > self._released_until.get(fingerprint, NEVER) + JUDGMENT_DELAY_S

    # Records in the store.

    def add_stored(self, hold: Hold, now: float) -> None:
        """Quarantine a request that has a record in the store."""
        self._quarantine_request(hold, "store", now)

    def release_deleted(self, fingerprint: int, now: float) -> None:
        """Release a request whose record was deleted from the store."""
        if fingerprint in self._holds:
            self._release(fingerprint, now, "store", now)

    def has_no_evidence(self, hold: Hold) -> bool:
        """Return whether the evidence for a hold has been discarded."""
        return hold.first_crash_at <= self._evidence_discarded_to(hold.fingerprint)


def _remember_time(
    times: OrderedDict[int, float], fingerprint: int, at: float, max_size: int
) -> None:
    """Remember a time of a request; drop the oldest one if there are too many."""
    times[fingerprint] = at
    times.move_to_end(fingerprint)
    if len(times) > max_size:
        times.popitem(last=False)


def _after_trial(hold: Hold, now: float) -> Hold:
    """Return a hold after one more trial."""
    next_trial_at = now + TRIAL_BACKOFF_FACTOR * TRIAL_DELAY_S
    return msgspec.structs.replace(
        hold, tries=hold.tries - 1, next_trial_at=next_trial_at
    )


def _hold_notice(hold: Hold) -> PendingNotice:
    """Return the notice of a hold; `target` carries the number of trials left."""
    span = math.floor((hold.quarantined_at - hold.first_crash_at) / HELD_SPAN_UNIT_S)
    kind = NoticeKind.HELD
    return PendingNotice(
        kind, hold.fingerprint, hold.quarantined_at, target=hold.tries, span=span
    )


def _announced_hold(notice: Notice, at: float) -> Hold:
    """Return the hold that a notice announces; `at` is when it began.

    The delay of the next trial starts again from there.
    """
    first_crash_at = at - notice.span * HELD_SPAN_UNIT_S
    tries = min(notice.target, MAX_TRIALS)
    return Hold(notice.fingerprint, first_crash_at, at, tries, at + TRIAL_DELAY_S)
