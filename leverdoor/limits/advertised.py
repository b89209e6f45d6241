# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What targets said of the requests a second that they take from all entries together.

A target in need names a limit in its answers, for as long as it has the need; an answer
without one ends it. The newest word counts, whoever received it: this entry, or another
one that told of it.

Owns the newest word of each target, by its `target_id`, lost with the process and known
again from answers and from other entries. Relies on the caller for the time, monotonic
in seconds.
"""

from collections.abc import Iterable

import msgspec

__all__ = ["LimitTable", "LimitChange", "AdvertisedLimit", "UnreadableLimit"]

REORDERED_S = 0.15
"""Age of a limit from which on an answer without one ends it, in seconds: answers sent
before it was named arrive up to a link's delay after the first that names it."""
RETENTION_S = 60.0
"""How long a word counts that nothing renews, in seconds: as long as a silent entry is
remembered, which may be the only one that had answers from the target."""


class UnreadableLimit(ValueError):
    """A target named something as its limit that is no number of requests a second."""


class AdvertisedLimit(msgspec.Struct, frozen=True):
    """What a target said."""

    target: int
    """Its `target_id`."""
    per_s: float | None
    """Requests a second from all entries together; None for no limit (any more)."""
    at: float
    """When an entry received it."""


class LimitChange(msgspec.Struct, frozen=True):
    """A limit that became known, has another figure, or ended."""

    latest: AdvertisedLimit
    change: str
    """"named", "changed" or "ended", as the log has it."""


class LimitTable:
    """The limits of targets as this entry knows them."""

    def __init__(self) -> None:
        """Create it knowing of none."""
        self._words: dict[int, AdvertisedLimit] = {}
        self._since: dict[int, float] = {}
        """When a limit was last named after none, or became another."""

    @property
    def is_empty(self) -> bool:
        """Whether no target lately named a limit, as at nearly all times."""
        return not self._words

    def limited_s(self, target: int, now: float) -> float:
        """Return for how long a target's limit has been as it is, in seconds."""
        return now - self._since.get(target, now)

    def per_s(self, target: int) -> float | None:
        """Return a target's limit in requests a second; None if it has none."""
        word = self._words.get(target)
        return word.per_s if word is not None else None

    def latest(self, target: int) -> AdvertisedLimit | None:
        """Return the newest word of a target; None if it never named a limit."""
        return self._words.get(target)

    def limited(self) -> list[int]:
        """Return the targets that have a limit."""
        return [t for t, word in self._words.items() if word.per_s is not None]

    def take(self, word: AdvertisedLimit) -> LimitChange | None:
        """Take a word, in any order; return what it changes.

        A target that never named a limit has no entry, so that what most answers say
        costs nothing.
        """
        known = self._words.get(word.target)
        if known is None:
            if word.per_s is None:
                return None
            self._words[word.target] = word
            self._since[word.target] = word.at
            return LimitChange(word, "named")
        if word.at <= known.at or _may_be_reordered(known, word):
            return None
        self._words[word.target] = word
        if word.per_s == known.per_s:
            return None
        self._since[word.target] = word.at
        if word.per_s is None:
            return LimitChange(word, "ended")
        return LimitChange(word, "named" if known.per_s is None else "changed")

    def forget(self, now: float) -> None:
        """Drop the words that nothing has renewed for `RETENTION_S`."""
        self._words = {
            t: w for t, w in self._words.items() if now - w.at <= RETENTION_S
        }
        self._since = {t: at for t, at in self._since.items() if t in self._words}

    def newest(self) -> Iterable[AdvertisedLimit]:
        """Return the newest word of each target that ever named a limit."""
        return self._words.values()


def _may_be_reordered(known: AdvertisedLimit, word: AdvertisedLimit) -> bool:
    """Return whether an answer without a limit may be older than one with it."""
    if word.per_s is not None or known.per_s is None:
        return False
    return word.at - known.at < REORDERED_S
