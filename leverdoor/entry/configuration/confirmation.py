# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""How old the newest answer of the store is that the configuration in force rests on.

A change that the store confirmed before that answer is in force here; a later one may
be missing. The answer may have come to any entry: each tells at which revision it is
and on which answer that rests, and who holds that revision knows as much. All decisions
that depend on being up to date read this one value.

Owns the answers known, and those to revisions that are not held here yet; lost with the
process. Ages are told, since clocks differ; each message makes them too small by its
way. Answers have numbers, so that one that is told in a circle does not grow younger
with each turn.
"""

from math import inf

import msgspec

__all__ = ["NO_ANSWER", "NUMBER_BITS", "Confirmation", "ToldAnswer"]

NEVER_MS = -1
"""The age that is told where the store never answered."""
NUMBER_BITS = 32
"""Bits of an answer's number that count the answers to one entry."""
MOST_KNOWN = 32
"""Answers kept, the newest ones: more than are told within `MAX_ANSWER_AGE_S`."""
MOST_AHEAD = 16
"""Newer revisions of which it is kept when the store confirmed them.

More than come between two fetches; with fewer, an entry in step counts as outdated
while revisions follow each other faster than fetches.
"""


class ToldAnswer(msgspec.Struct, frozen=True):
    """An answer of the store as one entry tells others of it."""

    revision: int
    """Which that entry has in force, and which rests on the answer."""
    number: int
    """Of the answer; no other has it."""
    age_ms: int
    """-1 where the store never answered."""


NO_ANSWER = ToldAnswer(0, 0, NEVER_MS)
"""What is told before the store answered anyone."""


class Confirmation:
    """When the store last confirmed the configuration in force, here or elsewhere."""

    def __init__(self, origin: int = 0, first: int = 0) -> None:
        """Create it for a store that never answered.

        Args:
          origin: 32 bits that identify this entry.
          first: number of the first answer here, 32 bits; another one in each process,
            so that an answer to the one before does not pass for it.
        """
        self._next = (origin << NUMBER_BITS) + first
        self._known: dict[int, float] = {}
        """By number, the loop time of the answer."""
        self._ahead: dict[int, tuple[int, float]] = {}
        """By revision that is not held here, number and time of its answer."""

    def answered(self, now: float) -> None:
        """Record that the store answered here, and all of it is in force.

        Args:
          now: loop time in seconds.
        """
        self._next += 1
        self._take(self._next, now)

    def _take(self, number: int, at: float) -> None:
        self._known[number] = min(at, self._known.get(number, at))
        if len(self._known) > MOST_KNOWN:
            del self._known[min(self._known, key=lambda n: self._known[n])]

    def peer_told(self, told: ToldAnswer, held: int, now: float) -> None:
        """Take what another entry's revision rests on.

        Args:
          told: the answer.
          held: the revision in force here.
          now: loop time in seconds.
        """
        if told.age_ms == NEVER_MS:
            return
        at = now - told.age_ms / 1000
        if told.revision <= held:
            self._take(told.number, at)
            return
        before = self._ahead.get(told.revision)
        if before is None or at > before[1]:
            self._ahead[told.revision] = (told.number, at)
        if len(self._ahead) > MOST_AHEAD:
            del self._ahead[min(self._ahead)]

    def advanced(self, held: int) -> None:
        """Record that a newer revision is in force here."""
        for revision in [r for r in self._ahead if r <= held]:
            self._take(*self._ahead.pop(revision))

    def tell(self, held: int, now: float) -> ToldAnswer:
        """Return what other entries are to know of the revision in force here."""
        if not self._known:
            return NO_ANSWER
        number = max(self._known, key=lambda n: self._known[n])
        return ToldAnswer(held, number, round((now - self._known[number]) * 1000))

    def knows_newer(self, longest_s: float, now: float) -> bool:
        """Return whether an answer is known that a revision not held here rests on.

        Args:
          longest_s: older answers don't count.
          now: loop time in seconds.
        """
        return any(now - at <= longest_s for _, at in self._ahead.values())

    def age_s(self, now: float) -> float:
        """Return the age of the newest answer in seconds; infinite if there is none."""
        return now - max(self._known.values(), default=-inf)

    def holds(self, longest_s: float, now: float) -> bool:
        """Return whether workspace keys can be known to hold.

        Args:
          longest_s: age of the newest answer from which on they can't; 0 for never.
          now: loop time in seconds.
        """
        return not longest_s or self.age_s(now) <= longest_s
