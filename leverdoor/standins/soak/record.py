# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What callers and targets saw in a soak: plain values, judged afterwards.

State: a `Record` is filled while a soak runs and read once it has ended. All times
are seconds of the loop's clock.
"""

import asyncio

import msgspec

__all__ = ["Attempt", "Leave", "NamedLimit", "Probe", "Record", "RecordedRun", "now_s"]


class Attempt(msgspec.Struct, frozen=True):
    """One request as its caller saw it; times are seconds of the loop's clock."""

    request_id: str
    entry: str
    path: str
    once: bool
    """It must not run more than once."""
    digest: str
    """Of the body that was sent."""
    deadline_ms: int
    sent_at: float
    ended_at: float
    status: int
    """0 when there was no answer."""
    own: bool = False
    """The answer names this request and this body, and bears a target's stamp."""
    stamped: bool = False
    connected: bool = True
    """A connection was there; without one nothing can have been sent."""
    left: bool = False
    """The caller gave up before there was an answer."""
    workspace: str = ""
    """Whose key the caller sent."""
    code: str = ""
    """Name of the code of a refusal; "" for none."""


class RecordedRun(msgspec.Struct, frozen=True):
    """One run of a request as a target saw it."""

    request_id: str
    target: str
    service: str
    path: str
    digest: str
    deadline_ms: int
    at: float
    region: str = ""
    """Of the target."""
    workspace: str = ""
    """Whose request it was, as the entry said."""
    keyed: bool = False
    """A workspace's key came along."""


class Leave(msgspec.Struct, frozen=True):
    """A target that must get nothing new from a time on."""

    target: str
    at: float


class Probe(msgspec.Struct, frozen=True):
    """An entry showed which configuration was in force."""

    entry: str
    incarnation: int
    """How often the entry had been started by then."""
    version: int
    sent_at: float
    ended_at: float


class NamedLimit(msgspec.Struct, frozen=True):
    """What a target named as its limit from a time on."""

    target: str
    at: float
    per_s: float | None
    """Requests a second; None for no limit, or what is no number."""


class Record(msgspec.Struct):
    """All that was seen."""

    attempts: list[Attempt] = []
    runs: list[RecordedRun] = []
    leaves: list[Leave] = []
    probes: list[Probe] = []
    fatal: list[str] = []
    """Paths of requests that end each target that runs them."""
    limits: list[NamedLimit] = []
    stops: list[tuple[str, float, float]] = []
    """Planned stops: entry, when it was signalled, when it had ended."""
    unplanned: list[tuple[str, float, float]] = []
    """What else disturbed an entry or its callers' links: entry, from, until."""
    ways_refused: list[tuple[str, float]] = []
    """Entries that took no connection, and when."""
    links_cut: list[tuple[str, float, float]] = []
    """Cuts of links to targets: entry, from, until."""
    changes: list[tuple[int, float]] = []
    """Versions of the configuration, and when the store confirmed each."""
    store_disturbed: list[tuple[float, float]] = []
    """From when until when the store did not answer all as usual."""
    written_again: list[float] = []
    """When all that a restored store had lost was written again."""

    def note_disturbance(self, entry: str, began: float, ended: float) -> None:
        """Note what disturbed an entry besides planned stops."""
        self.unplanned.append((entry, began, ended))

    def was_disturbed(self, entry: str, within_s: float, at: float) -> bool:
        """Return whether an entry was disturbed or stopped shortly before a time.

        Args:
          entry: its name.
          within_s: how long before, in seconds.
          at: the time, in seconds of the loop's clock.
        """
        return any(
            name == entry and began <= at and ended >= at - within_s
            for name, began, ended in (*self.unplanned, *self.stops)
        )

    def had_links_cut(self, entry: str, began: float, ended: float) -> bool:
        """Return whether links of an entry to targets were cut between two times.

        Args:
          entry: its name.
          began: the first time, in seconds of the loop's clock.
          ended: the second one.
        """
        return any(
            name == entry and start <= ended and until >= began
            for name, start, until in self.links_cut
        )

    def is_in_touch(
        self, entry: str, within_s: float, sent_at: float, ended_at: float
    ) -> bool:
        """Return whether nothing disturbed an entry's way to the store.

        Args:
          entry: its name.
          within_s: how long before a request, in seconds.
          sent_at: when the request was sent, in seconds of the loop's clock.
          ended_at: when it had ended.
        """
        if self.was_disturbed(entry, within_s, ended_at):
            return False
        return not any(
            began <= ended_at and ended >= sent_at - within_s
            for began, ended in self.store_disturbed
        )


def now_s() -> float:
    """Return the loop's time in seconds."""
    return asyncio.get_running_loop().time()
