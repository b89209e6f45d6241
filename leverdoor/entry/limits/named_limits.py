# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What answers say of targets' limits: read, kept in the book, logged and counted.

Owns what this entry received itself, which it tells the others, and which unreadable
texts were logged; both are lost with the process. Relies
on the wire for the header, and on `limits.named` for what counts.
"""

from collections.abc import Collection, Iterable

from leverdoor.entry.events import Events
from leverdoor.entry.metrics import EntryMetrics
from leverdoor.entry.requests.replies import TargetReply
from leverdoor.entry.unreadable_texts import UnreadableTextFilter
from leverdoor.entry.wire import Wire
from leverdoor.limits.named import (
    KEPT_S,
    LimitBook,
    LimitChange,
    LimitWord,
    UnreadableLimit,
)
from leverdoor.model.resources import Target
from leverdoor.model.target_id import target_id

__all__ = ["NamedLimits"]


class NamedLimits:
    """Takes the limits that targets name in their answers."""

    def __init__(
        self, wire: Wire, book: LimitBook, events: Events, metrics: EntryMetrics
    ) -> None:
        """Create it around the book of limits."""
        self._wire = wire
        self._book = book
        self._events = events
        self._metrics = metrics
        self._names: dict[int, str] = {}
        """Names of targets by their `target_id`."""
        self._own: dict[int, LimitWord] = {}
        """By target, the newest word that came here and counts."""
        self._unreadable = UnreadableTextFilter()

    def renew(self, targets: Collection[str]) -> None:
        """Take the names of the targets of a new configuration."""
        self._names = {target_id(name): name for name in targets}
        self._unreadable.keep_only(targets)

    def answered(self, target: Target, reply: TargetReply, now: float) -> None:
        """Take what a whole answer says, or its silence, of a target's limit.

        What can't be read says neither that there is a limit nor that there is none:
        the last readable word holds.
        """
        try:
            per_s = self._wire.parse_limit(reply.all(self._wire.headers.limit))
        except UnreadableLimit as e:
            self._note_unreadable(target, str(e))
            return
        word = LimitWord(target_id(target.name), per_s, now)
        self._log(self._book.take(word), "answer")
        if self._book.word(word.target) is word:
            self._own[word.target] = word

    def own_words(self) -> list[LimitWord]:
        """Return what came here, for the other entries."""
        return list(self._own.values())

    def told(self, words: Iterable[LimitWord]) -> None:
        """Take what other entries received."""
        for word in words:
            self._log(self._book.take(word), "peer")

    def forget(self, now: float) -> None:
        """Drop what has grown old, and show how many targets are limited."""
        self._book.forget(now)
        self._own = {t: w for t, w in self._own.items() if now - w.at <= KEPT_S}
        self._metrics.limited_targets.set(len(self._book.limited()))

    def _note_unreadable(self, target: Target, text: str) -> None:
        self._metrics.limits_unreadable.labels(target.service).inc()
        if self._unreadable.is_new(target.name, text):
            self._events.limit_unreadable(target.name, text)

    def _log(self, change: LimitChange | None, source: str) -> None:
        if change is None:
            return
        word = change.word
        name = self._names.get(word.target, f"{word.target:08x}")
        self._events.target_limit(name, change.change, word.per_s, source)
