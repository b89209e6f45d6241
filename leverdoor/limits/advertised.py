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

__all__ = ["LimitAdvertisement", "LimitChange", "LimitTable", "UnreadableLimit"]

REORDER_WINDOW_S = 0.15
"""Time after a limit was received in which responses without one are ignored, in s.

Responses sent before the limit was set arrive up to one link delay after the first
response that advertises it.
"""
RETENTION_S = 60.0
"""How long an advertisement that is not renewed stays in force, in seconds.

A silent entry is remembered for the same time. It may be the only entry that still
receives responses from the target, so the last limit that it sent stays in force.
"""


class UnreadableLimit(ValueError):
    """The limit in a response is not a number of requests per second."""


class LimitAdvertisement(msgspec.Struct, frozen=True):
    """The limit of a target, or that it has none, as one response said."""

    target: int
    """The `target_id` of the target."""
    per_s: float | None
    """Requests per second from all entries together; None if there is no limit."""
    at: float
    """When an entry received the response."""


class LimitChange(msgspec.Struct, frozen=True):
    """A limit that was set, changed or ended."""

    advertisement: LimitAdvertisement
    change: str
    """"named" for a new limit, "changed" or "ended"; the log has the same values."""


class LimitTable:
    """The newest advertisement of each target that this entry knows of."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._newest: dict[int, LimitAdvertisement] = {}
        self._since: dict[int, float] = {}
        """By target, when its limit was last set or changed."""

    @property
    def is_empty(self) -> bool:
        """Whether the table has no advertisements, which is the usual state."""
        return not self._newest

    def unchanged_s(self, target: int, now: float) -> float:
        """Return for how long a limit has been unchanged, in seconds; 0 if unknown."""
        return now - self._since.get(target, now)

    def per_s(self, target: int) -> float | None:
        """Return a target's limit in requests per second; None if it has none."""
        advertisement = self._newest.get(target)
        return advertisement.per_s if advertisement is not None else None

    def newest_of(self, target: int) -> LimitAdvertisement | None:
        """Return a target's newest advertisement; None if there is none."""
        return self._newest.get(target)

    def targets_with_limit(self) -> list[int]:
        """Return the `target_id` of each target that has a limit."""
        return [
            t
            for t, advertisement in self._newest.items()
            if advertisement.per_s is not None
        ]

    def take(self, advertisement: LimitAdvertisement) -> LimitChange | None:
        """Record an advertisement; return the change, or None if there is none.

        Advertisements may arrive in any order. A target without a known limit is not
        stored, so the usual response without a limit takes no memory.
        """
        known = self._newest.get(advertisement.target)
        if known is None:
            if advertisement.per_s is None:
                return None
            self._newest[advertisement.target] = advertisement
            self._since[advertisement.target] = advertisement.at
            return LimitChange(advertisement, "named")
        if advertisement.at <= known.at or _may_be_reordered(known, advertisement):
            return None
        self._newest[advertisement.target] = advertisement
        if advertisement.per_s == known.per_s:
            return None
        self._since[advertisement.target] = advertisement.at
        if advertisement.per_s is None:
            return LimitChange(advertisement, "ended")
        return LimitChange(advertisement, "named" if known.per_s is None else "changed")

    def forget(self, now: float) -> None:
        """Drop the advertisements that were not renewed for `RETENTION_S`."""
        self._newest = {
            target: advertisement
            for target, advertisement in self._newest.items()
            if now - advertisement.at <= RETENTION_S
        }
        self._since = {t: at for t, at in self._since.items() if t in self._newest}

    def newest(self) -> Iterable[LimitAdvertisement]:
        """Return the newest advertisement of each target in the table."""
        return self._newest.values()


def _may_be_reordered(
    known: LimitAdvertisement, advertisement: LimitAdvertisement
) -> bool:
    """Return whether a response without a limit may predate the known limit."""
    if advertisement.per_s is not None or known.per_s is None:
        return False
    return advertisement.at - known.at < REORDER_WINDOW_S
