# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which target serves a request: the decisions of one entry, without I/O."""

from collections.abc import Callable
from random import Random

from leverdoor.entry.configuration.catalog import EMPTY, Catalog
from leverdoor.entry.placement.affinity import Ranking
from leverdoor.entry.placement.choice import Option, TargetChooser
from leverdoor.entry.placement.fleet import Fleet
from leverdoor.entry.placement.placement_request import (
    Placement,
    PlacementRequest,
)
from leverdoor.entry.placement.sharing import NO_SLOTS, ShareBook
from leverdoor.entry.placement.slow_start import share_per_s
from leverdoor.entry.placement.spill import MOVE_PER_S
from leverdoor.entry.placement.times import SizeBook
from leverdoor.entry.placement.tuning import PRODUCTION, Tuning
from leverdoor.entry.placement.warmth import SharedWarmth
from leverdoor.errors import Code, Rejection
from leverdoor.model.resources import Route, Target

__all__ = ["PlacementPolicy"]

OVERFLOW_LIMIT = 3.0
"""Most such requests saved up; chosen."""
FIRST_RETRY_MS = 150
"""Least time after which a refused request should come back, in ms.

400 in place of 150 was better by less than noise.
"""
RETRY_SPREAD_MS = 350
"""Spread of that time, in ms, so that refused requests come back one by one."""
CANDIDATES = 6
"""Targets of a key that are looked at, for those in use; chosen."""
MANY_TARGETS = 8
"""Targets of a domain from which on it keeps large requests to itself."""
LOGGED_TARGETS = 3
"""Targets that the log names when there was no room; chosen."""


class PlacementPolicy:
    """Chooses targets by key, place and load."""

    def __init__(
        self,
        region: str,
        domain: str,
        fleet: Fleet,
        rng: Random,
        move_per_s: float = MOVE_PER_S,
        tuning: Tuning = PRODUCTION,
    ) -> None:
        """Create it.

        Args:
          region: this entry's region.
          domain: this entry's failure domain.
          fleet: what is believed of targets.
          rng: where all chance comes from.
          move_per_s: most of a service's keys that change region in a second.
          tuning: what is weighed.
        """
        self._tuning = tuning
        self._region = region
        self._domain = domain
        self._fleet = fleet
        self._rng = rng
        self._catalog = EMPTY
        self._by_region: dict[tuple[str, str], Ranking] = {}
        self._by_domain: dict[tuple[str, str], Ranking] = {}
        self._chooser = TargetChooser(region, domain, fleet, tuning)
        self._sizes = SizeBook()
        self.shares = ShareBook(region, fleet, move_per_s, tuning)
        self._weights: dict[str, dict[str, float]] = {}
        self._overflow = OVERFLOW_LIMIT
        self.sharers: Callable[[Target], int] = lambda _: 1
        """How many entries share a cold target's allowance; 0 if not this one."""

    # What is known.

    def renew(self, catalog: Catalog) -> None:
        """Take a new configuration."""
        self._catalog = catalog
        regions: dict[tuple[str, str], list[Target]] = {}
        domains: dict[tuple[str, str], list[Target]] = {}
        for service, targets in catalog.by_service.items():
            for target in targets:
                regions.setdefault((service, target.region), []).append(target)
                domains.setdefault((service, target.domain), []).append(target)
        self._by_region = _rankings(regions, self._by_region)
        self._by_domain = _rankings(domains, self._by_domain)
        self.shares.renew(catalog.regions, regions)
        self._chooser.keep_only(catalog.route_names, set(catalog.targets))

    def pick_service(self, route: Route) -> str:
        """Choose among the services of a route so that their weights hold."""
        if len(route.services) == 1:
            return next(iter(route.services))
        credit = self._weights.setdefault(route.name, {})
        total = sum(route.services.values())
        for service, weight in route.services.items():
            credit[service] = credit.get(service, self._rng.random()) + weight / total
        best = max(route.services, key=lambda s: credit[s])
        credit[best] -= 1.0
        return best

    @property
    def shared_warmth(self) -> SharedWarmth:
        """What heartbeats say of warm keys."""
        return self._chooser.shared_warmth

    # What is decided.

    def place(self, request: PlacementRequest, now: float) -> Placement | Rejection:
        """Choose a target for a request, or refuse it."""
        self._overflow = min(
            OVERFLOW_LIMIT, self._overflow + self._tuning.overflow_earn
        )
        regions = self._allowed_regions(request)
        if not regions:
            return self._nowhere(request)
        first = self.shares.region(request.service, request.key, regions, now)
        found = self._in_region(request, first, "share", now)
        if found is not None:
            return found
        rest = [r for r in regions if r != first]
        if rest and self._may_overflow(request, first, now):
            for region in self._by_room(request, rest, now):
                found = self._in_region(request, region, "overflow", now)
                if found is not None:
                    return found
        found = self._cold(request, [first, *rest], now)
        if found is not None:
            return found
        return self._refuse(Code.QUEUE_FULL, self._why_full(request, first, now))

    def _nowhere(self, request: PlacementRequest) -> Rejection:
        """Refuse what no region may serve, or none can."""
        if not any(request.may_run_in(region) for region in self._catalog.regions):
            return self._refuse(Code.NO_COMMON_HOME, f"of route {request.route.name}")
        return self._refuse(Code.NO_TARGET, "no target may serve it")

    def _why_full(self, request: PlacementRequest, first: str, now: float) -> str:
        """Return, for the log, the loads that left no room."""
        ranking = self._by_region[(request.service, first)]
        loads = []
        for target in ranking.order(request.key)[:LOGGED_TARGETS]:
            state = self._fleet.of(target, now)
            cold = " cold" if state.cold(now) else ""
            out = "" if state.usable(now) else " ejected"
            age_ms = state.load_age_ms(now)
            load = f"{state.load(now):.1f}/{target.slots}"
            loads.append(f"{target.name} {load} ({age_ms} ms){cold}{out}")
        return f"{request.service} in {first}: {', '.join(loads)}"

    def _in_region(
        self, request: PlacementRequest, region: str, reason: str, now: float
    ) -> Placement | None:
        if region == self._region:
            return self._best(request, self._near(request), reason, now)
        ranking = self._by_region[(request.service, region)]
        return self._best(request, ranking.order(request.key)[:CANDIDATES], reason, now)

    def _allowed_regions(self, request: PlacementRequest) -> list[str]:
        return [
            region
            for region in self._catalog.regions
            if (request.service, region) in self._by_region
            and request.may_run_in(region)
        ]

    def _may_overflow(self, request: PlacementRequest, first: str, now: float) -> bool:
        """Let a few requests leave their key's region at once, before refusing."""
        if self.shares.pressure(request.service, first, now) >= NO_SLOTS:
            return True
        if self._overflow < 1.0:
            return False
        self._overflow -= 1.0
        return True

    def _near(self, request: PlacementRequest) -> list[Target]:
        """Return this region's targets for a key.

        A key has one target in the whole region, so that few runs are cold.
        Where requests are large and the own domain has many targets, it has one
        in each domain, so that bytes stay there.
        """
        region = self._by_region.get((request.service, self._region))
        if region is None:
            return []
        whole = region.order(request.key)
        own = self._by_domain.get((request.service, self._domain))
        many = own is not None and len(own) >= MANY_TARGETS
        if own is None or not many or not self._sizes.heavy(request.service):
            return whole[:CANDIDATES]
        rest = [t for t in whole[: 2 * CANDIDATES] if t.domain != self._domain]
        return own.order(request.key)[:CANDIDATES] + rest[:CANDIDATES]

    def _by_room(
        self, request: PlacementRequest, regions: list[str], now: float
    ) -> list[str]:
        """Order regions by their load, the emptiest first."""
        return sorted(
            regions, key=lambda r: self.shares.pressure(request.service, r, now)
        )

    def _best(
        self,
        request: PlacementRequest,
        candidates: list[Target],
        reason: str,
        now: float,
    ) -> Placement | None:
        """Choose the candidate that is expected to answer first.

        Slow ones serve only when no other can.
        """
        slow = {
            t.name
            for t in candidates
            if self._tuning.avoids_slow and self._fleet.of(t, now).slow(now)
        }
        sound = [t for t in candidates if t.name not in slow]
        found = self._chooser.quickest(request, sound, reason, now)
        if found is None and slow:
            found = self._chooser.quickest(request, candidates, reason, now)
        return None if found is None else self._take(request, found, reason, now)

    def _take(
        self, request: PlacementRequest, option: Option, reason: str, now: float
    ) -> Placement:
        """Count a request at its target."""
        state = option.state
        load = state.load(now)
        age_ms = state.load_age_ms(now)
        state.sent(now, self._chooser.run_times(request))
        return Placement(
            state.target,
            option.rank,
            option.seen,
            option.cold_share,
            option.takes_ms,
            load,
            age_ms,
            reason,
        )

    def _cold(
        self, request: PlacementRequest, regions: list[str], now: float
    ) -> Placement | None:
        """Use a cold target within this entry's share of what it bears."""
        service = self._catalog.services.get(request.service)
        per_s = service.warmup_per_s if service is not None else 0.0
        ordered = sorted(regions, key=lambda r: r != self._region)
        for region in ordered:
            for target in self._by_region[(request.service, region)].order(request.key):
                state = self._fleet.of(target, now)
                if not state.cold(now) or not state.usable(now):
                    continue
                if target.name in request.tried or state.load(now) >= target.slots:
                    continue
                entries = self.sharers(target)
                if entries < 1:
                    continue
                share = share_per_s(per_s, entries)
                if per_s and not state.spend_allowance(share, now):
                    continue
                option = self._chooser.warm_up_option(request, state)
                return self._take(request, option, "cold", now)
        return None

    def _refuse(self, code: Code, reason: str) -> Rejection:
        after = FIRST_RETRY_MS + RETRY_SPREAD_MS * self._rng.random()
        return Rejection(code, int(after), reason)

    # What came of it.

    def answered(
        self,
        request: PlacementRequest,
        placement: Placement,
        took_ms: float,
        size: int,
        now: float,
    ) -> bool:
        """Learn from a whole answer.

        Args:
          request: the request.
          placement: where it was sent.
          took_ms: how long it took there.
          size: its bytes and its answer's.
          now: monotonic time in seconds.
        Returns: whether the target is so slow that it is ejected now.
        """
        self._sizes.learn(request.service, size)
        state = self._fleet.of(placement.target, now)
        ejected = state.answered(took_ms / max(placement.expected_ms, 1.0), now)
        self._chooser.learn(request, placement, took_ms, now)
        return ejected

    def ended(self, placement: Placement, now: float) -> None:
        """Count a request that ended, however it did."""
        self._fleet.of(placement.target, now).ended()


def _rankings(
    places: dict[tuple[str, str], list[Target]],
    before: dict[tuple[str, str], Ranking],
) -> dict[tuple[str, str], Ranking]:
    """Rank the targets of each place, keeping what is known where none changed."""
    found = {}
    for place, targets in places.items():
        known = before.get(place)
        same = known is not None and known.same(targets)
        found[place] = known if known is not None and same else Ranking(targets)
    return found
