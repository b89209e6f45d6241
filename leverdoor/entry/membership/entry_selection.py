# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Selects the entries that a look-up returns to a caller.

Candidates are live (`liveness.is_live`) and in the state SERVING. Entries that have
lost their links to all targets are candidates only if there is no other one, since each
request at them takes a detour. The first rule that applies determines where candidates
are taken from:

1. the caller's failure domain, if it has at least `MIN_SELECTED` candidates;
2. the caller's region, if it has any;
3. all regions, if any has one;
4. this entry alone, if it has a configuration (is not STARTING). It is reachable, since
   it received the look-up.

The first `MAX_SELECTED` candidates by name are selected. A selection is cached for
`SELECTION_TTL_S`, unless the state or incarnation of any entry changes earlier.

Owns the cache of selections, which is lost with the process. Relies on `Membership` for
the records of entries.
"""

from collections.abc import Callable, Collection, Iterable

from leverdoor.entry.membership.liveness import is_live
from leverdoor.entry.membership.member import (
    SERVING,
    STARTING,
    EntryState,
    Member,
    member_id,
)
from leverdoor.entry.membership.members import Membership

__all__ = ["MAX_SELECTED", "MIN_SELECTED", "SELECTION_TTL_S", "EntrySelector"]

MAX_SELECTED = 64
"""Maximum number of entries in the response to a look-up.

It keeps the response below 2 kB. A lower maximum spreads callers over fewer entries.
"""
MIN_SELECTED = 2
"""Number of candidates in a failure domain below which the whole region is used.

With two, callers have an alternative when one entry fails; with one, they have none. A
higher number sends callers over links to other failure domains without need.
"""
SELECTION_TTL_S = 0.1
"""Time for which a selection is reused, in seconds.

One selection took 67 ms at 2,500 entries. With a longer time, look-ups return silent
entries for longer; with a shorter one, selections take CPU time from requests.
"""
MAX_CACHED_SELECTIONS = 256
"""Maximum number of cached selections.

It bounds memory and exceeds the number of failure domains.
"""


class EntrySelector:
    """Selects entries for look-ups, near the caller first."""

    def __init__(
        self,
        membership: Membership,
        without_links: Callable[[float], Collection[int]] = lambda now: (),
    ) -> None:
        """Create the selector.

        Args:
          membership: the records of the known entries.
          without_links: returns the `member_id` of the entries that have lost their
            links to all targets, this one included, at a monotonic time in seconds.
        """
        self._membership = membership
        self._without_links = without_links
        self._own = membership.own
        self._cache: dict[tuple[str, str, EntryState], tuple[float, list[str]]] = {}
        """Time and addresses of each selection, by region, domain and own state."""
        self._version = membership.change_count
        """Version of the membership that the cached selections were made from."""

    def select_addresses(
        self, region: str, domain: str, own_state: EntryState, now: float
    ) -> list[str]:
        """Return the addresses of the entries nearest to a caller.

        Args:
          region: the caller's region.
          domain: the caller's failure domain.
          own_state: the state of this entry.
          now: monotonic time in seconds.
        Returns: addresses as `ip:port`, ordered by entry name.
        """
        if self._version != self._membership.change_count:
            self._version = self._membership.change_count
            self._cache.clear()
        key = (region, domain, own_state)
        selected_at, selected = self._cache.get(key, (-1.0, []))
        if not selected_at <= now < selected_at + SELECTION_TTL_S:
            selected = self._select(region, domain, own_state, now)
            if len(self._cache) >= MAX_CACHED_SELECTIONS:
                self._cache.clear()
            self._cache[key] = (now, selected)
        return selected

    def _select(
        self, region: str, domain: str, own_state: EntryState, now: float
    ) -> list[str]:
        excluded = self._without_links(now)
        candidates = self._nearest(region, domain, own_state, excluded, now)
        if not candidates and excluded:
            candidates = self._nearest(region, domain, own_state, (), now)
        if not candidates and own_state != STARTING:
            candidates = [self._own]
        selected = sorted(candidates, key=lambda m: m.name)
        return [m.front for m in selected[:MAX_SELECTED]]

    def _nearest(
        self,
        region: str,
        domain: str,
        own_state: EntryState,
        without: Collection[int],
        now: float,
    ) -> list[Member]:
        """Return the candidates of the failure domain, the region or all regions."""
        membership = self._membership
        candidates = self._selectable([domain], own_state, without, now)
        if len(candidates) < MIN_SELECTED:
            domains = membership.domains(region)
            candidates = self._selectable(domains, own_state, without, now)
        if not candidates:
            domains = membership.all_domains()
            candidates = self._selectable(domains, own_state, without, now)
        return candidates

    def _selectable(
        self,
        domains: Iterable[str],
        own_state: EntryState,
        without: Collection[int],
        now: float,
    ) -> list[Member]:
        """Return the candidates in the given failure domains, this entry included.

        Args:
          domains: the failure domains.
          own_state: the state of this entry.
          without: `member_id` of entries that are no candidates.
          now: monotonic time in seconds.
        """
        candidates = [
            record.member
            for record in self._membership.records(domains)
            if record.state == SERVING
            and is_live(record, self._own.region, now)
            and member_id(record.member.name) not in without
        ]
        if (
            own_state == SERVING
            and self._own.domain in domains
            and member_id(self._own.name) not in without
        ):
            candidates.append(self._own)
        return candidates
