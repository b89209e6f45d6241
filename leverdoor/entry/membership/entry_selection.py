# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which entries the answer to a look-up names to a caller.

Entries that are live (`liveness.is_live`) and in the state SERVING:

1. those of the caller's failure domain;
2. if these are fewer than `LEAST_NAMED`, those of all of its region;
3. if there is none, those of all regions;
4. if there is none either, this entry alone, unless it has no configuration yet
   (STARTING): it answered, so it can be reached.

The first `MAX_NAMED` by name are named. A choice is used again for `NAMED_S`, unless
the state or incarnation of any entry changes before.

Owns the choices made lately, lost with the process. Relies on `Membership` for the
records of entries.
"""

from collections.abc import Iterable

from leverdoor.entry.membership.liveness import is_live
from leverdoor.entry.membership.member import SERVING, STARTING, EntryState, Member
from leverdoor.entry.membership.members import Membership

__all__ = ["LEAST_NAMED", "MAX_NAMED", "NAMED_S", "EntrySelector"]

MAX_NAMED = 64
"""Entries named to a caller at most.

Keeps the answer below 2 kB. Fewer spread the callers over fewer entries.
"""
LEAST_NAMED = 2
"""Entries of a failure domain below which its region is named.

One may be gone. More would send callers across links that their own failure domain
could spare them; with 1, callers have nowhere to go when it ends.
"""
NAMED_S = 0.1
"""How long a choice of entries to name is used again, in seconds.

One choice took 67 ms at 2,500 entries. Longer, entries that fell silent are named for
longer; shorter, look-ups take the time of requests.
"""
MOST_PLACES = 256
"""Choices kept at once: bounds memory, by more than the failure domains there are."""


class EntrySelector:
    """Chooses the entries to name to callers."""

    def __init__(self, membership: Membership) -> None:
        """Create it around the entries known."""
        self._membership = membership
        self._own = membership.own
        self._chosen: dict[tuple[str, str, EntryState], tuple[float, list[str]]] = {}
        """By region, failure domain and own state: when, and the addresses."""
        self._version = membership.version
        """Of the records that the choices rest on."""

    def addresses(
        self, region: str, domain: str, own_state: EntryState, now: float
    ) -> list[str]:
        """Choose the entries to name to a caller, the nearest ones.

        Args:
          region: the caller's region.
          domain: the caller's failure domain.
          own_state: the state of this entry.
          now: monotonic time in seconds.
        Returns: addresses as `ip:port`, ordered by the entries' names.
        """
        if self._version != self._membership.version:
            self._version = self._membership.version
            self._chosen.clear()
        place = (region, domain, own_state)
        at, named = self._chosen.get(place, (-1.0, []))
        if not at <= now < at + NAMED_S:
            named = self._choose(region, domain, own_state, now)
            if len(self._chosen) >= MOST_PLACES:
                self._chosen.clear()
            self._chosen[place] = (now, named)
        return named

    def _choose(
        self, region: str, domain: str, own_state: EntryState, now: float
    ) -> list[str]:
        membership = self._membership
        found = self._usable([domain], own_state, now)
        if len(found) < LEAST_NAMED:
            found = self._usable(membership.domains(region), own_state, now)
        if not found:
            found = self._usable(membership.all_domains(), own_state, now)
        if not found and own_state != STARTING:
            found = [self._own]
        named = sorted(found, key=lambda m: m.name)
        return [m.front for m in named[:MAX_NAMED]]

    def _usable(
        self, domains: Iterable[str], own_state: EntryState, now: float
    ) -> list[Member]:
        """Return the entries of some failure domains that may be named."""
        found = [
            record.member
            for record in self._membership.records(domains)
            if record.state == SERVING and is_live(record, self._own.region, now)
        ]
        if own_state == SERVING and self._own.domain in domains:
            found.append(self._own)
        return found
