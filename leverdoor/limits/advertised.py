# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The limits that targets advertise: requests per second from all entries together.

A target under pressure advertises a limit in each response for as long as it needs one;
a response without a limit ends it. The newest advertisement is in force, whether this
entry or another one received it.

Owns the newest advertisement of each target by `target_id`. It is lost with the process
and recovered from responses and from other entries. Relies on the caller for the time,
monotonic in seconds.
"""

from collections.abc import Iterable

import msgspec

__all__ = ["AdvertisedLimit", "LimitChange", "LimitTable", "UnreadableLimit"]

REORDER_WINDOW_S = 0.15
"""Least age of a limit that a response without a limit ends, in seconds.

Responses sent before the limit was set arrive up to one link delay after the first
response that advertises it.
"""
RETENTION_S = 60.0
"""How long an advertisement that is not renewed stays in force, in seconds.

It is as long as a silent entry is remembered, which may be the only one that gets
responses from the target.
"""


class UnreadableLimit(ValueError):
    """The limit in a response is not a number of requests per second."""


class AdvertisedLimit(msgspec.Struct, frozen=True):
    """The limit of a target as one response advertised it."""

    target: int
    """The `target_id` of the target."""
    per_s: float | None
    """Requests per second from all entries together; None if there is no limit."""
    at: float
    """When an entry received the response."""


class LimitChange(msgspec.Struct, frozen=True):
    """A limit that was set, changed or ended."""

    latest: AdvertisedLimit
    change: str
    """The value in the log: "named" for a new limit, "changed" or "ended"."""


class LimitTable:
    """The newest advertisement of each target that this entry knows of."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._newest: dict[int, AdvertisedLimit] = {}
        self._since: dict[int, float] = {}
        """By target, when its limit was last set or changed."""

    @property
    def is_empty(self) -> bool:
        """Whether no target advertised a limit lately, which is the usual state."""
        return not self._newest

    def unchanged_s(self, target: int, now: float) -> float:
        """Return for how long a target's limit has been unchanged, in seconds."""
        return now - self._since.get(target, now)

    def per_s(self, target: int) -> float | None:
        """Return a target's limit in requests per second; None if it has none."""
        limit = self._newest.get(target)
        return limit.per_s if limit is not None else None

    def latest(self, target: int) -> AdvertisedLimit | None:
        """Return a target's newest advertisement; None if it never set a limit."""
        return self._newest.get(target)

    def targets_with_limit(self) -> list[int]:
        """Return the `target_id` of each target that has a limit."""
        return [t for t, limit in self._newest.items() if limit.per_s is not None]

    def take(self, limit: AdvertisedLimit) -> LimitChange | None:
        """Record an advertisement; return the change, or None if there is none.

        Advertisements may arrive in any order. A target that never set a limit is not
        stored, so the usual response without a limit takes no memory.
        """
        known = self._newest.get(limit.target)
        if known is None:
            if limit.per_s is None:
                return None
            self._newest[limit.target] = limit
            self._since[limit.target] = limit.at
            return LimitChange(limit, "named")
        if limit.at <= known.at or _may_be_reordered(known, limit):
            return None
        self._newest[limit.target] = limit
        if limit.per_s == known.per_s:
            return None
        self._since[limit.target] = limit.at
        if limit.per_s is None:
            return LimitChange(limit, "ended")
        return LimitChange(limit, "named" if known.per_s is None else "changed")

    def forget(self, now: float) -> None:
        """Drop the advertisements that were not renewed for `RETENTION_S`."""
        self._newest = {
            target: limit
            for target, limit in self._newest.items()
            if now - limit.at <= RETENTION_S
        }
        self._since = {t: at for t, at in self._since.items() if t in self._newest}

    def newest(self) -> Iterable[AdvertisedLimit]:
        """Return the newest advertisement of each target that ever set a limit."""
        return self._newest.values()


def _may_be_reordered(known: AdvertisedLimit, limit: AdvertisedLimit) -> bool:
    """Return whether a response without a limit may predate the known limit."""
    if limit.per_s is not None or known.per_s is None:
        return False
    return limit.at - known.at < REORDER_WINDOW_S
