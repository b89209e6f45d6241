# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which target serves a request: the decisions of one entry, without I/O."""

from collections.abc import Callable
from random import Random

import msgspec

from leverdoor.entry.affinity import Ranking
from leverdoor.entry.catalog import EMPTY, Catalog
from leverdoor.entry.fleet import Fleet, TargetState
from leverdoor.entry.spill import RegionShares, first_shares
from leverdoor.errors import Code
from leverdoor.resources import Route, Target

__all__ = ["Asked", "Chosen", "Placement", "Unplaced"]

FAST_SHARE = 0.4
SLOW_SHARE = 1.3
TIME_STEP = 0.03
FAST_QUANTILE = 0.4
SLOW_QUANTILE = 0.6
COLD_ROOM = 0.6
"""Load over slots up to which a target may be asked for what it has not seen.

A run for an unseen key takes about three times as long: when targets are busy,
spreading keys over more of them makes all of them slower.
"""
LEAST_WAIT_SHARE = 0.3
URGENT_PRIORITY = 1
LESS_URGENT = 0.7
OTHER_DOMAIN_MS = 8.0
STRAY_EARN = 0.03
STRAY_LIMIT = 3.0
COLD_SHARE = 0.8
FIRST_RETRY_MS = 150
RETRY_SPREAD_MS = 350
DEFAULT_LATENCY_MS = 500
CANDIDATES = 6
MANY_TARGETS = 8
"""Targets of a domain from which on it keeps its keys to itself."""
NO_SLOTS = 9.0
TOLD_TARGETS = 3
TOLD_MOVE = 0.05


class Asked(msgspec.Struct):
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


class Chosen(msgspec.Struct, frozen=True):
    """Send it to this target; it is counted there already."""

    target: Target
    warm: bool
    expected_ms: float
    load: int
    load_age_ms: int
    """Age of the newest word of others about the load; -1 if there is none."""
    reason: str


class Unplaced(msgspec.Struct, frozen=True):
    """Refuse it now; it was not run."""

    code: Code
    retry_after_ms: int
    reason: str


class Times(msgspec.Struct):
    """How long a service takes for a key that a target has lately seen or not."""

    fast_ms: float
    slow_ms: float

    def learn(self, took_ms: float, warm: bool) -> None:
        """Take the time of one answer.

        Both follow a quantile and not the mean, since what is taken for warm
        is often cold at first, and what is taken for cold may have been
        warmed by another entry.
        """
        if warm:
            self.fast_ms = _toward(self.fast_ms, took_ms, FAST_QUANTILE)
        else:
            self.slow_ms = _toward(self.slow_ms, took_ms, SLOW_QUANTILE)


def _toward(estimate: float, sample: float, quantile: float) -> float:
    """Move an estimate of a quantile by one sample."""
    step = TIME_STEP * estimate
    return estimate + step * (quantile if sample > estimate else quantile - 1.0)


class Placement:
    """Chooses targets by key, place and load."""

    def __init__(self, region: str, domain: str, fleet: Fleet, rng: Random) -> None:
        """Create it.

        Args:
          region: this entry's region.
          domain: this entry's failure domain.
          fleet: what is believed of targets.
          rng: where all chance comes from.
        """
        self._region = region
        self._domain = domain
        self._fleet = fleet
        self._rng = rng
        self._catalog = EMPTY
        self._rankings: dict[tuple[str, str], Ranking] = {}
        self._regions: dict[tuple[str, str], list[Target]] = {}
        self._times: dict[str, Times] = {}
        self._shares: dict[str, RegionShares] = {}
        self._told_shares: dict[str, dict[str, float]] = {}
        self._weights: dict[str, dict[str, float]] = {}
        self._stray = STRAY_LIMIT
        self.sharers: Callable[[Target], int] = lambda _: 1
        """How many entries share a cold target's allowance; 0 if not this one."""

    # What is known.

    def renew(self, catalog: Catalog) -> None:
        """Take a new configuration."""
        self._catalog = catalog
        places: dict[tuple[str, str], list[Target]] = {}
        domains: dict[tuple[str, str], list[Target]] = {}
        for service, targets in catalog.by_service.items():
            for target in targets:
                places.setdefault((service, target.region), []).append(target)
                domains.setdefault((service, target.domain), []).append(target)
        self._regions = places
        old = self._rankings
        self._rankings = {}
        for place, targets in (places | domains).items():
            known = old.get(place)
            if known is not None and known.same(targets):
                self._rankings[place] = known
            else:
                self._rankings[place] = Ranking(targets)

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

    def shares(self) -> dict[str, dict[str, float]]:
        """Return the regions' shares of each service's keys."""
        return {
            service: {r: round(v, 4) for r, v in state.shares.items()}
            for service, state in self._shares.items()
        }

    def moved_shares(self) -> dict[str, dict[str, float]]:
        """Return the shares that moved noticeably since they were last told."""
        found = {}
        for service, state in self._shares.items():
            told = self._told_shares.get(service, {})
            if any(
                abs(v - told.get(r, 0.0)) > TOLD_MOVE for r, v in state.shares.items()
            ):
                self._told_shares[service] = dict(state.shares)
                found[service] = dict(state.shares)
        return found

    def update_shares(
        self, peers: list[dict[str, dict[str, float]]], now: float
    ) -> None:
        """Move the shares; call several times a second.

        Args:
          peers: the shares of the other entries of the region, by service.
          now: monotonic time in seconds.
        """
        for service in self._catalog.by_service:
            told = [p[service] for p in peers if service in p]
            state = self._shares_of(service, told, now)
            pressures = {
                region: self._pressure(service, region, now) for region in state.shares
            }
            state.update(pressures, told, now)

    def _shares_of(
        self, service: str, told: list[dict[str, float]], now: float
    ) -> RegionShares:
        found = self._shares.get(service)
        if found is None:
            first = dict(told[0]) if told else self._first_shares(service)
            found = RegionShares(self._region, first, now)
            self._shares[service] = found
        return found

    def _first_shares(self, service: str) -> dict[str, float]:
        slots = {
            region: sum(t.slots for t in self._regions.get((service, region), ()))
            for region in self._catalog.regions
        }
        return first_shares(self._region, slots)

    def _pressure(self, service: str, region: str, now: float) -> float:
        load, slots = self._fleet.load(self._regions.get((service, region), ()), now)
        return load / slots if slots else NO_SLOTS

    # What is decided.

    def place(self, asked: Asked, now: float) -> Chosen | Unplaced:
        """Choose a target for a request, or refuse it."""
        self._stray = min(STRAY_LIMIT, self._stray + STRAY_EARN)
        regions = self._allowed_regions(asked)
        if not regions:
            return self._refuse(Code.NO_TARGET, "no target may serve it")
        first = self._region_of(asked, regions, now)
        found = self._in_region(asked, first, "share", now)
        if found is not None:
            return found
        rest = [r for r in regions if r != first]
        if rest and self._may_stray(asked, first, now):
            for region in self._by_room(asked, rest, now):
                found = self._in_region(asked, region, "stray", now)
                if found is not None:
                    return found
        found = self._cold(asked, [first, *rest], now)
        if found is not None:
            return found
        return self._refuse(Code.QUEUE_FULL, self._why_full(asked, first, now))

    def _why_full(self, asked: Asked, first: str, now: float) -> str:
        """Say for the log what was known when there was no room."""
        place = (asked.service, first)
        loads = []
        for target in self._rankings[place].order(asked.key)[:TOLD_TARGETS]:
            state = self._fleet.of(target, now)
            cold = " cold" if state.cold(now) else ""
            rests = "" if state.usable(now) else " rests"
            age_ms = state.load_age_ms(now)
            load = f"{state.load(now)}/{target.slots}"
            loads.append(f"{target.name} {load} ({age_ms} ms){cold}{rests}")
        return f"{asked.service} in {first}: {', '.join(loads)}"

    def _region_of(self, asked: Asked, regions: list[str], now: float) -> str:
        """Return the region that the request's key belongs to."""
        state = self._shares_of(asked.service, [], now)
        return state.region(asked.key, regions)

    def _in_region(
        self, asked: Asked, region: str, reason: str, now: float
    ) -> Chosen | None:
        if region == self._region:
            return self._best(asked, self._near(asked), reason, now)
        ranking = self._rankings[(asked.service, region)]
        return self._best(asked, ranking.order(asked.key)[:CANDIDATES], reason, now)

    def _allowed_regions(self, asked: Asked) -> list[str]:
        homes = asked.route.homes
        return [
            region
            for region in self._catalog.regions
            if (asked.service, region) in self._regions
            and (not homes or region in homes)
        ]

    def _may_stray(self, asked: Asked, first: str, now: float) -> bool:
        """Let a few requests leave their key's region at once, before refusing."""
        if self._pressure(asked.service, first, now) >= NO_SLOTS:
            return True
        if self._stray < 1.0:
            return False
        self._stray -= 1.0
        return True

    def _near(self, asked: Asked) -> list[Target]:
        """Return this region's targets for a key.

        The own domain's come first when they are many: then each has enough of
        the keys seen, and bytes stay in the domain. When they are few, a key
        has one target in the whole region, so that fewer runs are cold.
        """
        region = self._rankings.get((asked.service, self._region))
        if region is None:
            return []
        whole = region.order(asked.key)
        own = self._rankings.get((asked.service, self._domain))
        if own is None or len(own) < MANY_TARGETS:
            return whole[:CANDIDATES]
        rest = [t for t in whole[: 2 * CANDIDATES] if t.domain != self._domain]
        return own.order(asked.key)[:CANDIDATES] + rest[:CANDIDATES]

    def _by_room(self, asked: Asked, regions: list[str], now: float) -> list[str]:
        """Order regions by their load, the emptiest first."""
        return sorted(regions, key=lambda r: self._pressure(asked.service, r, now))

    def _best(
        self, asked: Asked, candidates: list[Target], reason: str, now: float
    ) -> Chosen | None:
        """Choose the candidate that is expected to answer first."""
        times = self.times(asked)
        best: tuple[float, Target, TargetState, bool] | None = None
        most = self._most_wait_ms(asked, times, now)
        first = True
        for target in candidates:
            if target.name in asked.tried:
                continue
            state = self._fleet.of(target, now)
            if not state.usable(now) or state.cold(now):
                continue
            load = state.load(now)
            seen = not asked.route.affinity or state.saw(asked.key)
            warm = seen or (first and reason != "stray")
            first = False
            if not warm and load >= COLD_ROOM * target.slots:
                continue
            over = load - target.slots + 1
            takes = times.fast_ms if warm else times.slow_ms
            wait_ms = max(over, 0) * times.fast_ms / target.slots
            if wait_ms > most:
                continue
            cost = wait_ms + takes
            if target.domain != self._domain:
                cost += OTHER_DOMAIN_MS
            if best is None or cost < best[0]:
                best = (cost, target, state, warm)
        if best is None:
            return None
        cost, target, state, warm = best
        return self._take(asked, state, warm, cost, reason, now)

    def _take(
        self,
        asked: Asked,
        state: TargetState,
        warm: bool,
        expected_ms: float,
        reason: str,
        now: float,
    ) -> Chosen:
        load = state.load(now)
        age_ms = state.load_age_ms(now)
        state.sent(now)
        state.remember(asked.key)
        return Chosen(state.target, warm, expected_ms, load, age_ms, reason)

    def _cold(self, asked: Asked, regions: list[str], now: float) -> Chosen | None:
        """Use a cold target within this entry's share of what it bears."""
        service = self._catalog.services.get(asked.service)
        per_s = service.warmup_per_s if service is not None else 0.0
        ordered = sorted(regions, key=lambda r: r != self._region)
        for region in ordered:
            for target in self._rankings[(asked.service, region)].order(asked.key):
                state = self._fleet.of(target, now)
                if not state.cold(now) or not state.usable(now):
                    continue
                if target.name in asked.tried or state.load(now) >= target.slots:
                    continue
                entries = self.sharers(target)
                if entries < 1:
                    continue
                share = COLD_SHARE * per_s / entries
                if per_s and not state.spend_allowance(share, now):
                    continue
                slow_ms = self.times(asked).slow_ms
                return self._take(asked, state, False, slow_ms, "cold", now)
        return None

    def times(self, asked: Asked) -> Times:
        """Return how long requests of a route take at a service."""
        name = f"{asked.route.name}@{asked.service}"
        found = self._times.get(name)
        if found is None:
            aim = asked.route.target_latency_ms or DEFAULT_LATENCY_MS
            found = self._times[name] = Times(FAST_SHARE * aim, SLOW_SHARE * aim)
        return found

    def _most_wait_ms(self, asked: Asked, times: Times, now: float) -> float:
        """Return the longest wait at a target that still makes sense."""
        aim = asked.route.target_latency_ms or DEFAULT_LATENCY_MS
        spent = (now - asked.arrived) * 1000
        wait = max(aim - spent - times.fast_ms * 1.2, LEAST_WAIT_SHARE * aim)
        if asked.route.priority > URGENT_PRIORITY:
            wait *= LESS_URGENT
        left = (asked.until - now) * 1000 - times.fast_ms
        return min(wait, left)

    def _refuse(self, code: Code, reason: str) -> Unplaced:
        after = FIRST_RETRY_MS + RETRY_SPREAD_MS * self._rng.random()
        return Unplaced(code, int(after), reason)

    # What came of it.

    def answered(
        self, asked: Asked, chosen: Chosen, took_ms: float, now: float
    ) -> bool:
        """Learn from a whole answer.

        Returns: whether the target is so slow that it rests now.
        """
        state = self._fleet.of(chosen.target, now)
        rests = state.answered(took_ms / max(chosen.expected_ms, 1.0), now)
        if chosen.load <= chosen.target.slots and chosen.target.region == self._region:
            self.times(asked).learn(took_ms, chosen.warm)
        return rests

    def ended(self, chosen: Chosen, now: float) -> None:
        """Count a request that ended, however it did."""
        self._fleet.of(chosen.target, now).ended()
