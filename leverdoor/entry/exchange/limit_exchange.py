# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What targets named as limits, told among entries along the way of digests.

An entry tells the aggregators of its failure domain what it received itself; these tell
the domain's to the region's other aggregators, the region's to other regions, and all
to the entries of their domain. A word so never comes back to whom it came from, and
within a second all know it. What is new is told in each round for a while, the rest in
turn, so that whoever starts or was cut off learns it.

Owns the newest words by whose they are, and when they were last new; lost with the
process. Relies on the caller for recipients and time.
"""

from collections.abc import Iterable

import msgspec

from leverdoor.entry.exchange.messages import OWN_SCOPE, DigestScope, LimitUpdate
from leverdoor.limits.named import KEPT_S, LimitWord
from leverdoor.limits.rows import parse_words, serialize_words

__all__ = ["LimitExchange"]

RESENT_S = 0.7
"""How long a word that is new is told in each round, in seconds: three rounds, since
datagrams are lost."""
TURN_ROUNDS = 5
"""Rounds between two that tell all words, a second."""
MOST_TOLD = 64
"""Words of one message: 768 bytes, which fit one packet. Of more, others in each
turn."""


class _Told(msgspec.Struct):
    """A word, and since when it is news."""

    word: LimitWord
    new_at: float


class LimitExchange:
    """The words of targets that this entry tells, and whose they are."""

    def __init__(self, own: str) -> None:
        """Create it for an entry, by its name."""
        self._own = own
        self._words: dict[int, dict[int, _Told]] = {
            scope: {} for scope in (OWN_SCOPE, DigestScope.DOMAIN, DigestScope.REGION)
        }
        """By scope and target."""

    def take(self, news: LimitUpdate, now: float) -> list[LimitWord]:
        """Take what another entry tells; return it for the other parts."""
        words = parse_words(news.words, now)
        if news.scope != DigestScope.ALL:
            self._note(news.scope, words, now)
        return words

    def note_own(self, words: Iterable[LimitWord], now: float) -> None:
        """Take the newest words that this entry received itself."""
        self._note(OWN_SCOPE, words, now)

    def _note(self, scope: int, words: Iterable[LimitWord], now: float) -> None:
        known = self._words.setdefault(scope, {})
        for word in words:
            before = known.get(word.target)
            if before is not None and word.at <= before.word.at:
                continue
            if before is not None and before.word.per_s == word.per_s:
                before.word = word
            else:
                known[word.target] = _Told(word, now)

    def forget(self, now: float) -> None:
        """Drop words that nothing renewed."""
        for scope, known in self._words.items():
            self._words[scope] = {
                t: told for t, told in known.items() if now - told.word.at <= KEPT_S
            }

    def news(self, scope: int, round_number: int, now: float) -> LimitUpdate | None:
        """Return what to tell in a round; None if there is nothing.

        Args:
          scope: whose words: all up to this one.
          turn: number of the round.
          now: monotonic time in seconds.
        """
        newest: dict[int, _Told] = {}
        for of, known in self._words.items():
            if of <= scope:
                _add_newer(newest, known)
        told = [
            t
            for t in newest.values()
            if round_number % TURN_ROUNDS == 0 or now - t.new_at <= RESENT_S
        ]
        if not told:
            return None
        if len(told) > MOST_TOLD:
            told.sort(key=lambda t: t.new_at, reverse=True)
            start = round_number // TURN_ROUNDS * MOST_TOLD % len(told)
            told = [*told[start:], *told[:start]][:MOST_TOLD]
        data = serialize_words((t.word for t in told), now)
        return LimitUpdate(self._own, scope, data)


def _add_newer(newest: dict[int, _Told], known: dict[int, _Told]) -> None:
    for target, told in known.items():
        other = newest.get(target)
        if other is None or told.word.at > other.word.at:
            newest[target] = told
