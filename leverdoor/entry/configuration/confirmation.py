# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tracks the age of the newest store answer that confirms the configuration in force.

An answer of the store confirms a position: every change that the store committed before
the answer is part of it, and later changes may be missing. The answer is therefore
valid for every entry with that position, whichever entry received it. Entries report
their position together with its newest answer. An answer of an earlier era confirms
nothing of the present one. All decisions that require an up-to-date
configuration use the age of that answer.

Owns the answers for the position in force and for newer positions; they are lost with
the process. Messages carry ages, because clocks differ. A received age is too low by
the latency of the message. Each answer has a number, so that an answer that is reported
in a cycle does not become younger with each message.
"""

from math import inf

import msgspec

from leverdoor.model.position import START, Position

__all__ = ["NO_ANSWER", "ANSWER_COUNTER_BITS", "Confirmation", "ReportedAnswer"]

NEVER_MS = -1
"""The age that is reported if the store never answered."""
ANSWER_COUNTER_BITS = 32
"""Number of low bits of an answer's number that count the answers to one entry.

The higher bits identify the entry.
"""
MAX_KNOWN_ANSWERS = 32
"""Maximum number of recorded answers; the oldest are dropped.

More than the number of answers reported within `store_role.MAX_ANSWER_AGE_S`.
"""
MAX_PENDING_POSITIONS = 16
"""Maximum number of newer positions with recorded answers; the lowest are dropped.

More than the number of positions between two fetches. With fewer, an entry that fetches
regularly counts as outdated if many positions arrive between two fetches.
"""


class ReportedAnswer(msgspec.Struct, frozen=True):
    """An answer of the store as reported by one entry to others."""

    position: Position
    """Position in force at the reporting entry, which the answer confirms."""
    number: int
    """Unique number of the answer."""
    age_ms: int
    """Age of the answer in ms; -1 if the store never answered."""


NO_ANSWER = ReportedAnswer(START, 0, NEVER_MS)
"""Reported before the store has answered any entry."""


class Confirmation:
    """Tracks when the store last confirmed the revision in force to any entry."""

    def __init__(self, entry_id: int = 0, first_number: int = 0) -> None:
        """Create it without any known answer.

        Args:
          entry_id: 32-bit identifier of this entry.
          first_number: 32-bit number from which the answers to this process are
            counted. It differs in each process, so that an answer to an earlier process
            is not mistaken for one to this process.
        """
        self._last_number = (entry_id << ANSWER_COUNTER_BITS) + first_number
        self._answer_times: dict[int, float] = {}
        """Loop time of each known answer, by its number."""
        self._pending: dict[Position, tuple[int, float]] = {}
        """Number and loop time of the newest answer, by position not in force here."""

    def record_answer(self, now: float) -> None:
        """Record an answer of the store to this entry that confirms what is in force.

        Args:
          now: loop time in seconds.
        """
        self._last_number += 1
        self._record(self._last_number, now)

    def _record(self, number: int, at: float) -> None:
        # A later time of the same answer results from the latency of messages.
        self._answer_times[number] = min(at, self._answer_times.get(number, at))
        if len(self._answer_times) > MAX_KNOWN_ANSWERS:
            del self._answer_times[
                min(self._answer_times, key=lambda n: self._answer_times[n])
            ]

    def record_peer_answer(
        self, answer: ReportedAnswer, in_force: Position, now: float
    ) -> None:
        """Record the answer that confirms the position of another entry.

        Args:
          answer: the answer reported by that entry.
          in_force: the position in force here.
          now: loop time in seconds.
        """
        if answer.age_ms == NEVER_MS or answer.position.era < in_force.era:
            return
        at = now - answer.age_ms / 1000
        if answer.position <= in_force:
            self._record(answer.number, at)
            return
        known = self._pending.get(answer.position)
        if known is None or at > known[1]:
            self._pending[answer.position] = (answer.number, at)
        if len(self._pending) > MAX_PENDING_POSITIONS:
            del self._pending[min(self._pending)]

    def record_position(self, in_force: Position) -> None:
        """Record the position in force, and count the pending answers of its era."""
        for position in [p for p in self._pending if p <= in_force]:
            number, at = self._pending.pop(position)
            if position.era == in_force.era:
                self._record(number, at)

    def newest_answer(self, in_force: Position, now: float) -> ReportedAnswer:
        """Return the newest answer that confirms the position in force here."""
        if not self._answer_times:
            return NO_ANSWER
        number = max(self._answer_times, key=lambda n: self._answer_times[n])
        return ReportedAnswer(
            in_force, number, round((now - self._answer_times[number]) * 1000)
        )

    def has_answer_for_newer_position(self, max_age_s: float, now: float) -> bool:
        """Return whether a known answer confirms a position not in force here yet.

        Args:
          max_age_s: maximum age of the answer in seconds.
          now: loop time in seconds.
        """
        return any(now - at <= max_age_s for _, at in self._pending.values())

    def age_s(self, now: float) -> float:
        """Return the age of the newest answer in seconds; infinite if none is known."""
        return now - max(self._answer_times.values(), default=-inf)

    def holds(self, max_age_s: float, now: float) -> bool:
        """Return whether the configuration is recent enough to verify workspace keys.

        Args:
          max_age_s: maximum age of the newest answer in seconds; 0 for no maximum.
          now: loop time in seconds.
        """
        return not max_age_s or self.age_s(now) <= max_age_s
