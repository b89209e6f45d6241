# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What the parts of an entry cost as targets, entries and routes grow.

Pure parts only, at four sizes each; times are the median of several runs.

    python benchmarks/entry_slopes.py
"""

import statistics
import time
import zlib
from collections.abc import Callable
from random import Random

from leverdoor.codec import pack, unpack
from leverdoor.entry.configuration.catalog import Catalog
from leverdoor.entry.exchange.exchange import Exchange
from leverdoor.entry.exchange.exchange_types import EntryStatus
from leverdoor.entry.exchange.messages import EntryHeartbeat, PermitRequest
from leverdoor.entry.limits.limiter import Limiter
from leverdoor.entry.limits.limiter_selector import SELECTION_CACHE_S, LimiterSelector
from leverdoor.entry.membership.entry_selection import EntrySelector
from leverdoor.entry.membership.liveness import HEARTBEAT_INTERVAL_S
from leverdoor.entry.membership.member import SERVING, DigestRow, Member, member_id
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.peer_record import HeartbeatObservation
from leverdoor.entry.membership.roles import Roles
from leverdoor.entry.pause_detector import PauseDetector
from leverdoor.entry.placement.fleet import Fleet
from leverdoor.entry.placement.placement_request import Placement, PlacementRequest
from leverdoor.entry.placement.policy import PlacementPolicy
from leverdoor.entry.placement.speed_estimate import TargetSpeed
from leverdoor.limits.advertised import LimitAdvertisement
from leverdoor.model.position import START, position_without_era
from leverdoor.model.resources import (
    Region,
    Resource,
    Route,
    Service,
    Target,
    WorkClass,
)
from leverdoor.model.target_id import target_id

RUNS = 7
ANSWERING_SLOW_TARGETS = 4
"""Slow targets that answer an entry within two rounds: at 60 requests a second."""
REGIONS = ("a", "b", "c")


def median_us(work: Callable[[], object], count: int) -> float:
    """Return the median time of one of `count` calls, in microseconds."""
    found = []
    for _ in range(RUNS):
        began = time.perf_counter()
        for _ in range(count):
            work()
        found.append((time.perf_counter() - began) / count * 1e6)
    return statistics.median(found)


def resources(targets: int, routes: int) -> list[Resource]:
    """Return a configuration of three regions and one service."""
    found: list[Resource] = [
        Region(name=r, domains=[f"{r}1", f"{r}2"]) for r in REGIONS
    ]
    found.append(Service(name="s", work=WorkClass.ONCE))
    found += [
        Route(
            name=f"r{i}",
            host=f"h{i % 10}",
            prefix=f"/{i}/",
            work=WorkClass.LOOKUP,
            services={"s": 1.0},
            target_latency_ms=500,
            affinity=True,
        )
        for i in range(routes)
    ]
    for i in range(targets):
        region = REGIONS[i % 3]
        found.append(
            Target(
                name=f"t{i}",
                service="s",
                region=region,
                domain=f"{region}{1 + i // 3 % 2}",
                address=f"10.{i >> 16}.{i >> 8 & 255}.{i & 255}:80",
                slots=9,
            )
        )
    return found


def by_targets(targets: int) -> None:
    """Print the costs that grow with targets."""
    known = resources(targets, 20)
    compiled = median_us(lambda: Catalog(1, "1", known), 1)
    catalog = Catalog(1, "1", known)
    fleet = Fleet()
    fleet.renew(catalog.targets, 0.0)
    placement = PlacementPolicy("a", "a1", fleet, Random(1))
    ranked = median_us(lambda: placement.renew(catalog), 1)
    route = catalog.route("h0", "/0/")
    assert route is not None
    keys = iter(range(10**9))

    def decide() -> None:
        asked = PlacementRequest("i", route, "s", f"k{next(keys) % 98}", "1", 0.0, 2.0)
        chosen = placement.place(asked, 0.0)
        assert isinstance(chosen, Placement)
        placement.ended(chosen, 0.0)

    decided = median_us(decide, 300)
    updated = median_us(lambda: placement.shares.update([], 1.0), 3)
    counts = {f"t{i}": 2 for i in range(0, min(targets, 60), 3)}
    heard = median_us(lambda: fleet.receive("p", counts, 0.0), 100)
    print(
        f"| {targets} | {compiled / 1000:.2f} | {ranked / 1000:.2f} | {decided:.1f}"
        f" | {updated / 1000:.2f} | {heard:.1f} |"
    )


def by_entries(entries: int) -> None:
    """Print the costs that grow with entries."""

    def member(i: int) -> Member:
        region = REGIONS[i % 3]
        domain = f"{region}{i // 3 % 3}"
        return Member(
            f"e{i}", region, domain, "f", f"10.0.0.{i}:7", "p", 1, 9 // (i + 1)
        )

    in_force = position_without_era(5)
    membership = Membership(member(0))
    selector = EntrySelector(membership)
    exchange = Exchange(membership, Roles(membership, Random(1)))
    exchange.target_count_codec.renew(
        {r: [f"i-{r}{i:07x}" for i in range(180)] for r in REGIONS}
    )
    counts = {f"i-a{i:07x}": 2 for i in range(20)}
    heartbeats = [
        EntryHeartbeat(member(i), 1, SERVING, 5, counts) for i in range(1, entries)
    ]
    for heartbeat in heartbeats:
        exchange.take(heartbeat, in_force, 0.0)
    numbers = iter(range(2, 10**9))

    def receive() -> None:
        n = next(numbers)
        heartbeat = heartbeats[n % len(heartbeats)]
        newer = EntryHeartbeat(heartbeat.member, n, SERVING, 5, counts)
        exchange.take(newer, in_force, 0.0)

    report = EntryStatus(SERVING, in_force, counts, {}, -1, [])
    heard = median_us(receive, 200)
    named = median_us(lambda: selector.select_addresses("a", "a1", SERVING, 0.1), 20)
    played = median_us(lambda: exchange.round(report, 0.1), 20)
    size = len(zlib.compress(pack(heartbeats[0]), 1))
    print(f"| {entries} | {heard:.1f} | {named:.0f} | {played:.0f} | {size} |")


def by_limits(entries: int) -> None:
    """Print the costs of limits that grow with entries: a third are of the region."""
    membership = Membership(_limit_member(0))
    for i in range(1, entries):
        other = _limit_member(i)
        membership.update_member(other, 0.0)
        row = DigestRow(member_id(other.name), 1, SERVING)
        membership.record_heartbeat(HeartbeatObservation(row, 1e6), 0.0)
    pauses = PauseDetector(-60.0, lambda: 0.0)
    role = LimiterSelector(membership, lambda: SERVING, pauses)
    limited = [t for t in resources(30_000, 1) if isinstance(t, Target)]
    mine = [t for t in limited if role.own_share(t, 0.0)][:1]
    moments = (i * 1.01 * SELECTION_CACHE_S for i in range(10**9))
    turns = iter(range(10**9))

    def choose() -> None:
        fresh = LimiterSelector(membership, lambda: SERVING, pauses)
        fresh.limiter(limited[0], 0.0)

    def choose_again() -> None:
        role.own_share(limited[0], next(moments))

    chosen = median_us(choose, 20)
    again = median_us(choose_again, 100)
    known = median_us(lambda: role.limiter(limited[0], 0.0), 200)
    decided = 0.0
    if mine:
        fleet = Fleet()
        fleet.limits.take(LimitAdvertisement(target_id(mine[0].name), 3.5, 0.0))
        limiter = Limiter(fleet, role, pauses, {target_id(mine[0].name): mine[0]}.get)
        key = target_id(mine[0].name)

        def answer() -> None:
            request = PermitRequest("10.0.0.1:7", next(turns), key, 3.5, 2, 0)
            unpack(pack(request), PermitRequest)
            pack(limiter.answer(request, 0.0))

        decided = median_us(answer, 200)
    print(f"| {entries} | {chosen:.0f} | {again:.1f} | {known:.1f} | {decided:.0f} |")


def _limit_member(i: int) -> Member:
    region = REGIONS[i % 3]
    domain = f"{region}{i // 3 % 2}"
    return Member(f"e{i}", region, domain, "f", f"10.0.0.{i}:7", "p", 1)


def by_slow_targets(entries: int, regions: int) -> None:
    """Print the bytes that slow targets add: one in six of a region's targets.

    Each region has two failure domains, and ten targets for three entries. An
    aggregator knows of all slow targets of its region; an ordinary entry had answers of
    ANSWERING_SLOW_TARGETS of them within the last two rounds.
    """
    targets = entries * 10 // 3 // regions
    slow = [
        TargetSpeed(target_id(f"i-{i:07x}"), 1.5 + i % 3, 0.01 * (i % 30))
        for i in range(targets // 6)
    ]
    own = slow[:ANSWERING_SLOW_TARGETS]
    site = entries, regions, targets
    heartbeat = _round_bytes(*site, False, own) - _round_bytes(*site, False, [])
    digests = _round_bytes(*site, True, [])
    added = _round_bytes(*site, True, slow) - digests
    per_s = 1 / HEARTBEAT_INTERVAL_S / 1000
    print(
        f"| {entries} | {len(slow)} | {heartbeat * per_s:.2f} | {added * per_s:.1f}"
        f" | {digests * per_s:.1f} |"
    )


def _round_bytes(
    entries: int, regions: int, targets: int, aggregates: bool, slow: list[TargetSpeed]
) -> float:
    """Return the bytes that an aggregator or another entry sends in a round."""

    def member(i: int) -> Member:
        region = f"r{i % regions}"
        domain = f"{region}-{i // regions % 2}"
        link_mbps = 9 // (i + 1)
        return Member(f"e{i}", region, domain, "f", f"10.0.0.{i}:7", "p", 1, link_mbps)

    membership = Membership(member(0 if aggregates else entries - 1))
    for i in range(entries):
        membership.update_member(member(i), 0.0)
        row = DigestRow(member_id(f"e{i}"), 1, SERVING)
        membership.record_heartbeat(HeartbeatObservation(row, 0.0), 0.0)
    exchange = Exchange(membership, Roles(membership, Random(1)))
    exchange.target_count_codec.renew(
        {f"r{r}": [f"i-{r}-{i:07x}" for i in range(targets)] for r in range(regions)}
    )
    status = EntryStatus(SERVING, START, {}, {}, -1, [], speeds=slow)
    sizes = []
    for number in range(1, RUNS + 1):
        outgoing, _ = exchange.round(status, number * HEARTBEAT_INTERVAL_S)
        sizes.append(
            sum(
                len(zlib.compress(pack(sent.message), 1)) * len(sent.destinations)
                for sent in outgoing
            )
        )
    return statistics.median(sizes)


def main() -> None:
    """Print all tables."""
    print("| targets | compile ms | rank ms | decide us | shares ms | hear us |")
    print("|---|---|---|---|---|---|")
    for targets in (48, 330, 1_000, 4_000):
        by_targets(targets)
    print("\n| entries | take a heartbeat us | name us | merge us | heartbeat bytes |")
    print("|---|---|---|---|---|")
    for entries in (12, 85, 300, 2_500):
        by_entries(entries)
    print(
        "\n| entries | rank entries us | choose a limiter us | known us | answer us |"
    )
    print("|---|---|---|---|---|")
    for entries in (12, 85, 300, 2_500):
        by_limits(entries)
    print(
        "\n| entries | slow targets a region | kB/s more, ordinary entry"
        " | aggregator | aggregator without |"
    )
    print("|---|---|---|---|---|")
    for entries, regions in ((12, 3), (120, 3), (300, 3), (2_500, 28)):
        by_slow_targets(entries, regions)


if __name__ == "__main__":
    main()
