# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which target serves a request: the decisions of one entry, without I/O."""

from collections.abc import Callable
from random import Random

import msgspec

from leverdoor.entry.affinity import Ranking
from leverdoor.entry.catalog import EMPTY, Catalog
from leverdoor.entry.fleet import Fleet, TargetState
from leverdoor.entry.sharing import NO_SLOTS, ShareBook
from leverdoor.entry.spill import MOVE_PER_S
from leverdoor.entry.times import DEFAULT_LATENCY_MS, SizeBook, TimeBook
from leverdoor.entry.warmth import RANKS, SharedWarmth, WarmthBook
from leverdoor.errors import Code
from leverdoor.model.resources import Route, Target

__all__ = ["PlacementRequest", "Placement", "PlacementPolicy", "Rejection"]

LIKELY_COLD = 0.5
"""Share of cold runs from which on a choice counts as cold; chosen, not measured."""
COLD_ROOM = 0.5
"""Load over slots up to which a key's second target may be asked for it cold.

A cold run takes about three times as long: where targets are busy, it makes all
of them slower.
"""
LEAST_WAIT_SHARE = 0.8
"""Longest wait that is always accepted, as a share of the target latency.

Measured on the new site (scale-1, load estimated without bias): 0.3 gives 0.756,
0.8 gives 0.767. A request that is refused comes back to the same load, and its
second refusal earns nothing; one that waits is late at worst.
"""
URGENT_PRIORITY = 1
"""Greatest priority number that counts as urgent; smaller is more urgent."""
LESS_URGENT = 0.7
"""Part of the longest wait that is left to less urgent routes.

With 1.0 for it and for `LEAST_WAIT_SHARE` scale-1 gave 0.763 in place of 0.784.
"""
OTHER_DOMAIN_MS = 8.0
"""What a target in another failure domain must be sooner by, in ms; saves bytes."""
OVERFLOW_EARN = 0.03
"""Part of requests that may leave their key's region at once.

Three times as much lost 0.01 to 0.02 on the new site.
"""
OVERFLOW_LIMIT = 3.0
"""Most such requests saved up; chosen."""
COLD_SHARE = 0.8
"""Part of a cold target's allowance that is used; the rest is for chance."""
FIRST_RETRY_MS = 150
"""Least time after which a refused request should come back, in ms.

400 in place of 150 was better by less than noise.
"""
RETRY_SPREAD_MS = 350
"""Spread of that time, in ms, so that refused requests come back one by one."""
CANDIDATES = 6
"""Targets of a key that are looked at, for those in use; chosen."""
SECOND = 1
"""Rank of the further target that a key is kept warm at."""
MANY_TARGETS = 8
"""Targets of a domain from which on it keeps large requests to itself."""
LOGGED_TARGETS = 3
"""Targets that the log names when there was no room; chosen."""


class PlacementRequest(msgspec.Struct):
    """A request as placement sees it."""

    request_id: str
    route: Route
    service: str
    key: str
    version: str
    """The configuration by which it was routed."""
    arrived: float
    until: float
    """Loop time at which it is given up, in seconds."""
    tried: set[str] = msgspec.field(default_factory=set)


class Placement(msgspec.Struct, frozen=True):
    """Send it to this target; it is counted there already."""

    target: Target
    rank: int
    """Place of the target in its region's order for the key."""
    seen: bool
    """Whether an entry had an answer for the key from there."""
    cold_share: float
    """How likely the run was taken to be cold."""
    expected_ms: float
    load: float
    """Requests that it was believed to have, of all entries, this one aside."""
    load_age_ms: int
    """Age of the newest report or heartbeat about the load; -1 if there is none."""
    reason: str


class Rejection(msgspec.Struct, frozen=True):
    """Refuse it now; it was not run."""

    code: Code
    retry_after_ms: int
    reason: str


class _Option(msgspec.Struct, frozen=True):
    """One target for a request, weighed."""

    state: TargetState
    rank: int
    seen: bool
    cold_share: float
    wait_ms: float
    """Expected time in the target's queue."""
    takes_ms: float
    """Wait and run, as expected."""
    price_ms: float
    """What options are compared by."""


class PlacementPolicy:
    """Chooses targets by key, place and load."""

    def __init__(
        self,
        region: str,
        domain: str,
        fleet: Fleet,
        rng: Random,
        move_per_s: float = MOVE_PER_S,
    ) -> None:
        """Create it.

        Args:
          region: this entry's region.
          domain: this entry's failure domain.
          fleet: what is believed of targets.
          rng: where all chance comes from.
          move_per_s: most of a service's keys that change region in a second.
        """
        self._region = region
        self._domain = domain
        self._fleet = fleet
        self._rng = rng
        self._catalog = EMPTY
        self._by_region: dict[tuple[str, str], Ranking] = {}
        self._by_domain: dict[tuple[str, str], Ranking] = {}
        self._times = TimeBook()
        self._warmth = WarmthBook()
        self.shared_warmth = SharedWarmth()
        self._sizes = SizeBook()
        self.shares = ShareBook(region, fleet, move_per_s)
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
        self._times.keep_only(catalog.route_names)
        self._warmth.keep_only(set(catalog.targets))

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

    # What is decided.

    def place(self, request: PlacementRequest, now: float) -> Placement | Rejection:
        """Choose a target for a request, or refuse it."""
        self._overflow = min(OVERFLOW_LIMIT, self._overflow + OVERFLOW_EARN)
        regions = self._allowed_regions(request)
        if not regions:
            return self._refuse(Code.NO_TARGET, "no target may serve it")
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

    def _why_full(self, request: PlacementRequest, first: str, now: float) -> str:
        """Say for the log what was known when there was no room."""
        ranking = self._by_region[(request.service, first)]
        loads = []
        for target in ranking.order(request.key)[:LOGGED_TARGETS]:
            state = self._fleet.of(target, now)
            cold = " cold" if state.cold(now) else ""
            rests = "" if state.usable(now) else " rests"
            age_ms = state.load_age_ms(now)
            load = f"{state.load(now):.1f}/{target.slots}"
            loads.append(f"{target.name} {load} ({age_ms} ms){cold}{rests}")
        return f"{request.service} in {first}: {', '.join(loads)}"

    def _in_region(
        self, request: PlacementRequest, region: str, reason: str, now: float
    ) -> Placement | None:
        if region == self._region:
            return self._best(request, self._near(request), reason, now)
        ranking = self._by_region[(request.service, region)]
        return self._best(request, ranking.order(request.key)[:CANDIDATES], reason, now)

    def _allowed_regions(self, request: PlacementRequest) -> list[str]:
        homes = request.route.homes
        return [
            region
            for region in self._catalog.regions
            if (request.service, region) in self._by_region
            and (not homes or region in homes)
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
        slow = {t.name for t in candidates if self._fleet.of(t, now).slow(now)}
        if not slow:
            return self._quickest(request, candidates, reason, now)
        sound = [t for t in candidates if t.name not in slow]
        found = self._quickest(request, sound, reason, now)
        return found or self._quickest(request, candidates, reason, now)

    def _quickest(
        self,
        request: PlacementRequest,
        candidates: list[Target],
        reason: str,
        now: float,
    ) -> Placement | None:
        options: list[_Option] = []
        for target in candidates:
            if target.name in request.tried:
                continue
            state = self._fleet.of(target, now)
            if not state.usable(now) or state.cold(now):
                continue
            rank = RANKS - 1 if reason == "overflow" else len(options)
            options.append(self._option(request, state, rank, now))
            if len(options) > SECOND:
                break
        most_ms = self._most_wait_ms(request, now)
        fitting = [o for o in options if o.wait_ms <= most_ms and self._admits(o, now)]
        if not fitting:
            return None
        best = min(fitting, key=lambda o: o.price_ms)
        return self._take(request, best, reason, now)

    def _option(
        self, request: PlacementRequest, state: TargetState, rank: int, now: float
    ) -> "_Option":
        """Weigh one target."""
        target = state.target
        times = self._times.of(request.route, request.service)
        seen = not request.route.affinity or self._seen(request.key, state, now)
        cold_share = self._warmth.cold_share(target, rank, seen)
        over = max(state.load(now) - target.slots + 1, 0.0)
        run_ms = times.run_ms(self._warmth.forgotten_share(target))
        wait_ms = over * run_ms / target.slots
        takes_ms = wait_ms + times.run_ms(cold_share)
        price_ms = takes_ms
        if rank == 0 and not seen:
            # It must become warm somewhere: a cold run here is no reason to go on.
            price_ms = wait_ms + times.fast_ms
        if target.domain != self._domain:
            price_ms += OTHER_DOMAIN_MS
        return _Option(state, rank, seen, cold_share, wait_ms, takes_ms, price_ms)

    def _seen(self, key: str, state: TargetState, now: float) -> bool:
        """Say whether this entry or another had an answer for a key from a target."""
        if state.saw(key):
            return True
        since = state.cold_until
        return self.shared_warmth.warm(state.target, key, since, now)

    def _admits(self, option: "_Option", now: float) -> bool:
        """Say whether a target may be asked for a key that is likely cold there.

        Only the first two of a key's targets may: all entries agree on them, so
        that a key costs few cold runs in all. Overflow to whatever has room costs
        one at each entry and target, and makes a loaded region slower still.
        """
        if option.rank == 0 or option.cold_share < LIKELY_COLD:
            return True
        state = option.state
        if self._warmth.forgets(state.target):
            return False
        return state.load(now) < COLD_ROOM * state.target.slots

    def _take(
        self, request: PlacementRequest, option: "_Option", reason: str, now: float
    ) -> Placement:
        state = option.state
        load = state.load(now)
        age_ms = state.load_age_ms(now)
        state.sent(now)
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
                share = COLD_SHARE * per_s / entries
                if per_s and not state.spend_allowance(share, now):
                    continue
                slow_ms = self._times.of(request.route, request.service).slow_ms
                option = _Option(state, RANKS, False, 1.0, 0.0, slow_ms, slow_ms)
                return self._take(request, option, "cold", now)
        return None

    def _most_wait_ms(self, request: PlacementRequest, now: float) -> float:
        """Return the longest wait at a target that still makes sense."""
        times = self._times.of(request.route, request.service)
        aim = request.route.target_latency_ms or DEFAULT_LATENCY_MS
        spent = (now - request.arrived) * 1000
        wait = max(aim - spent - times.fast_ms * 1.2, LEAST_WAIT_SHARE * aim)
        if request.route.priority > URGENT_PRIORITY:
            wait *= LESS_URGENT
        left = (request.until - now) * 1000 - times.fast_ms
        return min(wait, left)

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
        Returns: whether the target is so slow that it rests now.
        """
        self._sizes.learn(request.service, size)
        state = self._fleet.of(placement.target, now)
        rests = state.answered(took_ms / max(placement.expected_ms, 1.0), now)
        if placement.load < placement.target.slots:
            self._learn_run(request, placement, took_ms)
        state.remember(request.key)
        if request.route.affinity and placement.rank > 0:
            self.shared_warmth.note(placement.target, request.key, now)
        return rests

    def _learn_run(
        self, request: PlacementRequest, placement: Placement, took_ms: float
    ) -> None:
        """Learn from the time of a run that had a slot at once."""
        times = self._times.of(request.route, request.service)
        if request.route.affinity:
            cold = times.is_cold(took_ms)
            self._warmth.learn(placement.target, placement.rank, placement.seen, cold)
        if placement.target.region == self._region:
            times.learn(took_ms)

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
