# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Outlier ejection: decides when one target receives no new requests of this entry.

Four rules apply:

- unreachable: a target that cannot be reached is ejected (`record_unreachable`);
- lost answers: a target is ejected after several requests in a row that it may have
  received but did not answer completely (`record_lost_answer`);
- slow: a target that is much slower than expected serves only if no other target can
  (`is_slow`);
- silent: a target that has requests and answers none receives no more (`is_silent`).

The first three write the log event `target_ejected`. A silent target writes no event;
the field detail of the log event `refused` reports it as "ejected".

Owns the failure counts and the ends of the ejections of one target, lost with the
process. Each entry decides for itself.
"""

__all__ = ["SILENCE_COLD_RUNS", "SILENCE_MIN_REQUESTS", "SLOW_EJECTION_S", "Health"]

FIRST_EJECTION_S = 0.5
"""Duration of the first ejection in seconds; it doubles with each further one.

Short, because one failure is weak evidence. With a greater value, a target with one
failed connection loses its keys, which run cold elsewhere. With a smaller one, a dead
target causes more retries.
"""
MAX_EJECTION_S = 4.0
"""Maximum ejection as unreachable or for lost answers, in seconds.

The usual length of an outage.

With a greater value, a recovered target stays unused. With a smaller one, each entry
tries a dead target more often.
"""
MAX_EJECTION_DOUBLINGS = 10
"""Maximum exponent of the duration, which prevents an overflow.

The maximum duration is reached after three doublings.
"""
LOST_ANSWERS_TO_EJECT = 3
"""Number of consecutive lost answers that eject a target.

With a value of 1, healthy targets were ejected 90 times a second. A value of 2 did not
change the worth of a benchmark with 12 entries.
"""
SLOWNESS_THRESHOLD = 3.0
"""Mean ratio of actual to expected time above which a target is ejected as slow.

A single unexpected cold run has a ratio of about 3.3, which the mean smooths out.
"""
SLOWNESS_WEIGHT = 0.15
"""Weight of one answer in the mean ratio, which covers about the last seven.

With a greater weight, one or two cold runs eject a target. With a smaller one, a slow
target receives more requests before it is detected.
"""
SLOW_EJECTION_S = 2.0
"""Duration of an ejection as slow, in seconds.

With a greater value, the target's keys run cold elsewhere for longer. With a smaller
one, a slow target serves again, and delays requests, more often.
"""
SLOWNESS_AFTER_EJECTION = 2.4
"""Mean ratio of actual to expected time assigned when a target is ejected as slow.

Slightly below the threshold, so that a few more slow answers eject the target again and
a few good ones clear it.
"""
MIN_SILENCE_S = 1.2
"""Minimum time without an answer after which a target counts as silent, in seconds.

Several warm runs of a fast service. With a greater value, more requests are sent to a
dead target. With a smaller one, a target with a short pause counts as silent.
"""
SILENCE_COLD_RUNS = 2.0
"""Minimum time without an answer, as a multiple of a cold run.

Prevents a target from counting as silent while it runs its first requests cold: these
take 3.5 s in a service with warm runs of 1.1 s.
"""
SILENCE_MIN_REQUESTS = 3
"""Minimum requests in flight at a silent target.

One or two may be long ones. With a greater value, targets with few slots never count as
silent.
"""


class Health:
    """Whether one target may receive requests, by its answers and failures."""

    def __init__(self, now: float) -> None:
        """Create it for a target added at a monotonic time in seconds."""
        self._ejected_until = 0.0
        self._slow_until = 0.0
        self._ejections = 0
        """Ejections as unreachable or for lost answers since the last answer."""
        self._lost_in_a_row = 0
        """Lost answers since the last answer."""
        self._slowness = 1.0
        """Mean ratio of actual to expected time."""
        self._silent_since = now
        """Start of the current period without an answer."""

    def record_answer(self, time_ratio: float, now: float) -> bool:
        """Record a complete answer.

        Args:
          time_ratio: ratio of actual to expected time.
          now: monotonic time in seconds.
        Returns: whether the target is now ejected as slow.
        """
        self._ejections = 0
        self._lost_in_a_row = 0
        self._silent_since = now
        return self._eject_if_slow(time_ratio, now)

    def record_timeout(self, time_ratio: float, now: float) -> bool:
        """Record a request that timed out before the target answered.

        Args:
          time_ratio: ratio of the elapsed to the expected time; ignored up to 1.
          now: monotonic time in seconds.
        Returns: whether the target is now ejected as slow.
        """
        return time_ratio > 1.0 and self._eject_if_slow(time_ratio, now)

    def _eject_if_slow(self, time_ratio: float, now: float) -> bool:
        """Add a ratio of actual to expected time; eject if the mean is high."""
        self._slowness += SLOWNESS_WEIGHT * (time_ratio - self._slowness)
        if self._slowness <= SLOWNESS_THRESHOLD:
            return False
        self._slow_until = now + SLOW_EJECTION_S
        self._slowness = SLOWNESS_AFTER_EJECTION
        return True

    def record_unreachable(self, now: float) -> float:
        """Record that the target could not be reached.

        Returns: duration of the ejection in seconds.
        """
        uncapped_s = FIRST_EJECTION_S * 2.0 ** min(
            self._ejections, MAX_EJECTION_DOUBLINGS
        )
        ejected_s = min(uncapped_s, MAX_EJECTION_S)
        self._ejections += 1
        self._ejected_until = max(self._ejected_until, now + ejected_s)
        return ejected_s

    def record_lost_link(self, now: float) -> float:
        """Record that no path to the target is known, which may not be its fault.

        Returns: duration of the ejection in seconds, which does not grow: as soon as a
        peer helps, the target can be reached.
        """
        self._ejected_until = max(self._ejected_until, now + FIRST_EJECTION_S)
        return FIRST_EJECTION_S

    def forgive(self, now: float) -> None:
        """Forget all failures, because the link to the target was their cause."""
        self._ejected_until = 0.0
        self._slow_until = 0.0
        self._ejections = 0
        self._lost_in_a_row = 0
        self._slowness = 1.0
        self._silent_since = now

    def record_lost_answer(self, now: float) -> float:
        """Record a lost answer; a healthy target may lose a few.

        An ejection moves the target's keys to targets where they are cold, which costs
        more than another lost answer.

        Returns: duration of the ejection in seconds, 0 for none.
        """
        self._lost_in_a_row += 1
        if self._lost_in_a_row < LOST_ANSWERS_TO_EJECT:
            return 0.0
        return self.record_unreachable(now)

    def restart_silence(self, now: float) -> None:
        """Restart the period without an answer; called when no request is in flight."""
        self._silent_since = now

    def is_slow(self, now: float) -> bool:
        """Return whether the target is ejected as slow."""
        return now < self._slow_until

    def is_silent(self, in_flight: int, cold_run_s: float, now: float) -> bool:
        """Return whether several requests are in flight and none is answered in time.

        A silent target receives no new requests until it answers or has fewer in
        flight. No log event of its own reports this.

        Args:
          in_flight: this entry's requests at the target.
          cold_run_s: mean duration of a cold run there, in seconds; 0 if unknown.
          now: monotonic time in seconds.
        """
        silence_s = max(MIN_SILENCE_S, SILENCE_COLD_RUNS * cold_run_s)
        return (
            in_flight >= SILENCE_MIN_REQUESTS and now - self._silent_since > silence_s
        )

    def is_ejected(self, now: float) -> bool:
        """Return whether it is ejected as unreachable or for lost answers."""
        return now < self._ejected_until
