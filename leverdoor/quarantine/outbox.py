# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What an entry tells the others of requests that end targets, and for how long.

News go out for some rounds, since datagrams are lost; each entry that they are new to
passes them on. What is held back is told again in turn, so that it reaches whoever
was cut off.

Owns the news of the last moments and the turn, lost with the process. Relies on the
caller for the time.
"""

from collections import OrderedDict
from collections.abc import Sequence

import msgspec

from leverdoor.quarantine.crashes import CrashBook
from leverdoor.quarantine.notices import Notice, NoticeKind

__all__ = ["MOST_SENT", "NEVER", "News", "Outbox"]

NEVER = float("-inf")
"""A time before all others."""
RESENT_S = 0.7
"""How long news are told again, in seconds; three rounds, as rows of entries are.

Greater: more bytes. Smaller: with two datagrams lost in a row an entry misses them.
"""
MOST_SENT = 48
"""Notices in one message at most: 912 bytes, which fit one packet.

Greater: long datagrams are lost more often. Smaller: an event that ends many targets
hides one request among its victims for longer.
"""
MOST_KEPT = 1_024
"""News kept: of a loss of a hundred targets with ten runs each."""
TURN_ROUNDS = 5
"""Rounds between two that tell again what is held back: a second."""
TOLD_IN_TURN = 8
"""Requests held back that are told again in one such round: 152 bytes."""


class News(msgspec.Struct, frozen=True):
    """What became known of a request."""

    kind: NoticeKind
    fingerprint: int
    at: float
    """When it happened, monotonic time in seconds."""
    target: int = 0
    span: int = 0
    """As in a notice."""

    def notice(self, now: float) -> Notice:
        """Return it as it is told at a time."""
        age_ms = round((now - self.at) * 1000)
        return Notice(self.kind, self.fingerprint, age_ms, self.target, self.span)


class Outbox:
    """The news that an entry tells."""

    def __init__(self) -> None:
        """Create it without any."""
        self._news: OrderedDict[tuple[int, int, int], tuple[float, News]] = (
            OrderedDict()
        )
        """By what they are of: since when they are told, and the news."""
        self._round = 0

    def add(self, news: News, now: float) -> None:
        """Tell news from now on, unless the same are being told."""
        target = news.target if news.kind is NoticeKind.CRASH else 0
        key = (news.kind, news.fingerprint, target)
        since, before = self._news.get(key, (NEVER, news))
        if now - since <= RESENT_S and before.at >= news.at:
            return
        self._news[key] = (now, news)
        self._news.move_to_end(key)
        if len(self._news) > MOST_KEPT:
            self._news.popitem(last=False)

    def notices(
        self, held: Sequence[News], book: CrashBook, now: float
    ) -> list[Notice]:
        """Return what to tell in a round.

        Of too many, releases and what is held back go first, then the requests that
        were there when the most targets ended.

        Args:
          held: what is held back.
          book: the ends of targets.
          now: monotonic time in seconds.
        """
        self._round += 1
        while self._news:
            key, (since, _) = next(iter(self._news.items()))
            if now - since <= RESENT_S:
                break
            del self._news[key]
        recent = [news for _, news in self._news.values()]
        if len(recent) > MOST_SENT:
            recent.sort(key=lambda n: _weight(n, book), reverse=True)
        if self._round % TURN_ROUNDS == 0:
            recent = [*self._in_turn(held), *recent]
        return [news.notice(now) for news in recent[:MOST_SENT]]

    def _in_turn(self, held: Sequence[News]) -> list[News]:
        if not held:
            return []
        start = self._round // TURN_ROUNDS * TOLD_IN_TURN % len(held)
        return [*held[start:], *held[:start]][:TOLD_IN_TURN]


def _weight(news: News, book: CrashBook) -> tuple[int, int]:
    """Return how much news matter: first by kind, then by the ends of their request.

    Releases matter most: a harmless request is refused for as long as one is late.
    """
    return news.kind, len(book.crashes(news.fingerprint))
