# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""When one target gets no new requests: outlier ejection by one entry.

Four rules: a target is ejected when it can't be reached (`unreached`), when it loses
several answers in a row (`lost`), when it is much slower than expected (`is_slow`, it
then serves only if no other can), and when it has requests and answers none
(`is_silent`). The first three write the log event `target_ejected`; silence writes none:
it shows as "ejected" in the detail of `refused`.

Owns the counts of failures and the ends of ejections of one target. They are lost with
the process; each entry judges for itself.
"""

__all__ = ["SILENCE_MIN_REQUESTS", "SILENCE_COLD_RUNS", "SLOW_EJECTION_S", "Health"]

FIRST_EJECTION_S = 0.5
"""First ejection of a target that was not reached, in seconds; it doubles each time.

Short, since one failure says little. Greater: a target whose one connection failed
loses its keys, which run cold elsewhere. Smaller: a dead target costs more requests a
retry.
"""
MAX_EJECTION_S = 4.0
"""Longest such ejection, in seconds: the usual length of an outage.

Greater: a target that is back stays unused. Smaller: each entry tries a dead one more
often.
"""
MAX_EJECTION_DOUBLINGS = 10
"""Doublings after which the exponent stays, so that it can't overflow; the longest
ejection is reached after three."""
EJECTING_LOST_ANSWERS = 3
"""Lost answers in a row that eject a target.

One ejected targets that were well 90 times a second; 2 made no difference to worth at
12 entries.
"""
EJECTING_SLOWNESS = 3.0
"""Mean of actual over expected time from which on a target is ejected as slow.

A cold run where a warm one was expected has about 3.3, once.
"""
SLOWNESS_WEIGHT = 0.15
"""Weight of one answer in that mean: about the last seven.

Greater: one or two cold runs eject a target. Smaller: a slow one gets more requests
before it is noticed.
"""
SLOW_EJECTION_S = 2.0
"""How long a slow target is ejected, in seconds.

Greater: its keys run cold elsewhere for longer. Smaller: it serves again, and makes
requests late, more often.
"""
SLOWNESS_AFTER_EJECTION = 2.4
"""Mean of actual over expected time that a target has after such an ejection.

Close below the ratio that ejects, so that a few more slow answers eject it again, and a
few good ones clear it.
"""
MIN_SILENCE_S = 1.2
"""Least time without an answer after which a target with requests gets no more, in s.

Several warm runs. Greater: more requests are sent to a dead target. Smaller: a target
that pauses is given up.
"""
SILENCE_COLD_RUNS = 2.0
"""Cold runs that such a silence lasts at least.

Guards against taking a target for dead while it runs its first requests cold: these
take 3.5 s where a warm run takes 1.1 s.
"""
SILENCE_MIN_REQUESTS = 3
"""Requests that must be there for silence to count.

One or two may be long ones. Greater: targets with few slots are never silent.
"""


class Health:
    """Whether one target may get requests, by its answers and failures."""

    def __init__(self, now: float) -> None:
        """Create it for a target that is new at a monotonic time in seconds."""
        self._ejected_until = 0.0
        self._slow_until = 0.0
        self._failures = 0
        """Ejections as not reached since the last answer."""
        self._lost = 0
        """Lost answers since the last answer."""
        self._slowness = 1.0
        """Mean of measured over expected time."""
        self._last_answer = now
        """When it last answered, or got a request while it had none."""

    def answered(self, took_ratio: float, now: float) -> bool:
        """Record a whole answer.

        Args:
          took_ratio: its time over the time expected.
          now: monotonic time in seconds.
        Returns: whether the target is so slow that it is ejected now.
        """
        self._failures = 0
        self._lost = 0
        self._last_answer = now
        return self._eject_if_slow(took_ratio, now)

    def overran(self, took_ratio: float, now: float) -> bool:
        """Record a request that was still at work when its time was over.

        Args:
          took_ratio: the time it had over the time expected; up to 1 it says nothing.
          now: monotonic time in seconds.
        Returns: whether the target is so slow that it is ejected now.
        """
        return took_ratio > 1.0 and self._eject_if_slow(took_ratio, now)

    def _eject_if_slow(self, took_ratio: float, now: float) -> bool:
        """Take one ratio of measured over expected time; eject if the mean is high."""
        self._slowness += SLOWNESS_WEIGHT * (took_ratio - self._slowness)
        if self._slowness <= EJECTING_SLOWNESS:
            return False
        self._slow_until = now + SLOW_EJECTION_S
        self._slowness = SLOWNESS_AFTER_EJECTION
        return True

    def unreached(self, now: float) -> float:
        """Record that the target could not be reached.

        Returns: how long the target is ejected, in seconds.
        """
        doubled_s = FIRST_EJECTION_S * 2.0 ** min(
            self._failures, MAX_EJECTION_DOUBLINGS
        )
        ejected_s = min(doubled_s, MAX_EJECTION_S)
        self._failures += 1
        self._ejected_until = max(self._ejected_until, now + ejected_s)
        return ejected_s

    def lost(self, now: float) -> float:
        """Record a lost answer; a few may be lost by a target that is well.

        An ejection moves its keys to targets that have not seen them, which costs
        more than another lost answer.

        Returns: how long the target is ejected, in seconds; 0 for not at all.
        """
        self._lost += 1
        if self._lost < EJECTING_LOST_ANSWERS:
            return 0.0
        return self.unreached(now)

    def first_request_sent(self, now: float) -> None:
        """Restart the time without an answer: the target had no request until now."""
        self._last_answer = now

    def is_slow(self, now: float) -> bool:
        """Return whether the target is ejected as slow; it serves if no other can."""
        return now < self._slow_until

    def is_silent(self, in_flight: int, cold_run_s: float, now: float) -> bool:
        """Return whether several requests are there and none was answered lately.

        A silent target gets nothing new until it answers or has fewer requests. No log
        line of its own says so.

        Args:
          in_flight: this entry's requests there.
          cold_run_s: mean time of a cold run there, in seconds; 0 if unknown.
          now: monotonic time in seconds.
        """
        silence_s = max(MIN_SILENCE_S, SILENCE_COLD_RUNS * cold_run_s)
        return in_flight >= SILENCE_MIN_REQUESTS and now - self._last_answer > silence_s

    def is_ejected(self, now: float) -> bool:
        """Return whether the target is out, as not reached or for lost answers."""
        return now < self._ejected_until
