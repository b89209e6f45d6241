# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Both errors of keeping in step with the store: changes that are late, and calls.

    python benchmarks/following.py --entries 195

The product's control plane on a fake clock (`emulated_following`); a change each 0.33 s
while a row's trouble lasts. Times run from the store's confirmation until a change is
in force, over all entries but those whose own way to the store is struck. Calls are
watches and listings, whether they arrive or not, in a second on average and in the
worst one. Before the mends and after them, 12 entries, worst time in seconds:

| row | before | after |
|---|---|---|
| calm | 0.17 | 0.17 |
| store silent to the followers | 10.0 | 1.4 |
| kept connections silent | 9.8 | 1.6 |
| an entry sends in vain | 6.4 | 1.5 |
| an entry hears nothing | 2.2 | 1.1 |
"""

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Iterable
from functools import partial
from random import Random

import click
import msgspec
from loguru import logger

from emulated_following import FollowingSite
from emulated_store import WayFault
from virtual_clock import run_virtual

LONG_S = 9.0
"""Length of a trouble of the store."""
SHORT_S = 6.0
"""Length of other troubles."""
POWER_S = 1.5
"""How long an entry is without power."""
AFTER_S = 4.0
"""Time after a trouble in which changes may still come into force."""
MIX_S = 20.0
"""Length of a random mix of cuts."""
LARGE_CHANGES = 30
LARGE_BYTES = 100_000
"""Size of each."""
LARGE_GAP_S = 0.33
"""Time between two of them."""


class Figures(msgspec.Struct):
    """What one row shows."""

    p50_s: float
    p99_s: float
    worst_s: float
    late: int
    """Places and changes beyond 2.5 s."""
    of: int
    calls_per_s: float
    most_calls: int
    """In one second."""

    def line(self) -> str:
        """Return the figures as cells of a table."""
        times = f"{self.p50_s:.2f} | {self.p99_s:.2f} | {self.worst_s:.2f}"
        calls = f"{self.calls_per_s:.1f} | {self.most_calls}"
        return f"{times} | {self.late} of {self.of} | {calls}"


def others(site: FollowingSite, names: Iterable[str]) -> list[str]:
    """Return the entries that are not named."""
    left = set(names)
    return [n for n in site.entries if n not in left]


def last_of(site: FollowingSite) -> str:
    """Return an entry with a narrow link, away from the store."""
    return site.ranked("r1")[-1].member.name


# Troubles; each begins one and returns the entries that are not judged.


def nothing(site: FollowingSite) -> list[str]:
    return []


def unserved_followers(fault: WayFault, site: FollowingSite) -> list[str]:
    first = site.first_by_link()
    site.set_store_fault(first, fault)
    return first


def unserved_share(share: float, site: FollowingSite) -> list[str]:
    count = round(share * len(site.entries))
    struck = {*site.first_by_link(), *site.rng.sample(list(site.entries), count)}
    if len(struck) == len(site.entries):
        struck.discard(last_of(site))
    site.set_store_fault(struck, WayFault.SILENT)
    return sorted(struck)


def frozen_followers(site: FollowingSite) -> list[str]:
    first = unserved_followers(WayFault.SILENT, site)
    site.cut(first, site.entries)
    site.cut(site.entries, first)
    return first


def sends_in_vain(site: FollowingSite) -> list[str]:
    site.cut([last_of(site)], site.entries)
    return []


def hears_nothing(site: FollowingSite) -> list[str]:
    site.cut(site.entries, [last_of(site)])
    return []


def lost_by_all(site: FollowingSite) -> list[str]:
    sends_in_vain(site)
    return hears_nothing(site)


def lost_by_followers(site: FollowingSite) -> list[str]:
    first, last = site.first_by_link(), last_of(site)
    site.cut([last], first)
    site.cut(first, [last])
    return []


def two_regions(site: FollowingSite) -> list[str]:
    one = [n for n in site.entries if n.startswith("r1")]
    other = [n for n in site.entries if n.startswith("r2")]
    site.cut(one, other)
    site.cut(other, one)
    return []


def region_alone(site: FollowingSite) -> list[str]:
    one = [n for n in site.entries if n.startswith("r1")]
    site.cut(one, others(site, one))
    site.cut(others(site, one), one)
    return []


def kept_silent(site: FollowingSite) -> list[str]:
    for entry in site.entries.values():
        entry.network.stuck |= set(site.entries)
        entry.store.stuck = True
    return []


def first_packets_lost(site: FollowingSite) -> list[str]:
    for entry in site.entries.values():
        entry.store.first_packet_loss = 0.3
    return unserved_followers(WayFault.SILENT, site)


def lossy(site: FollowingSite) -> list[str]:
    site.loss = 0.05
    return []


ROWS: dict[str, tuple[float, Callable[[FollowingSite], list[str]]]] = {
    "calm": (SHORT_S, nothing),
    "5% of datagrams lost": (SHORT_S, lossy),
    "followers frozen": (SHORT_S, frozen_followers),
    "store silent to the followers": (
        LONG_S,
        partial(unserved_followers, WayFault.SILENT),
    ),
    "the same, first packets lost": (LONG_S, first_packets_lost),
    "resets": (LONG_S, partial(unserved_followers, WayFault.RESET)),
    "503": (LONG_S, partial(unserved_followers, WayFault.BUSY)),
    "429": (LONG_S, partial(unserved_followers, WayFault.TURNED_AWAY)),
    "answers lost": (LONG_S, partial(unserved_followers, WayFault.ANSWERS_LOST)),
    "store silent to 35%": (LONG_S, partial(unserved_share, 0.35)),
    "store silent to 90%": (LONG_S, partial(unserved_share, 0.9)),
    "an entry sends in vain": (SHORT_S, sends_in_vain),
    "an entry hears nothing": (SHORT_S, hears_nothing),
    "an entry and all others": (SHORT_S, lost_by_all),
    "an entry and the followers": (SHORT_S, lost_by_followers),
    "two regions": (SHORT_S, two_regions),
    "a region alone": (SHORT_S, region_alone),
    "kept connections silent": (SHORT_S, kept_silent),
}


async def play(
    entries: int, seconds: float, begin: Callable[[FollowingSite], list[str]]
) -> Figures:
    """Play one row."""
    site = FollowingSite(entries)
    await site.start()
    now = asyncio.get_running_loop().time()
    struck = begin(site)
    await site.change_for(seconds)
    ended = asyncio.get_running_loop().time()
    site.cuts.clear()
    site.set_store_fault(site.entries, WayFault.NONE)
    await asyncio.sleep(AFTER_S)
    return await finish(site, others(site, struck), now, ended)


async def finish(
    site: FollowingSite, judged: list[str], began: float, ended: float
) -> Figures:
    """Sum a row up and end the site."""
    await site.stop()
    delays = sorted(site.delays(judged))
    times = [t - began for t in site.store.call_times if began <= t < ended]
    seconds = Counter(int(t) for t in times)
    return Figures(
        p50_s=delays[len(delays) // 2],
        p99_s=delays[int(len(delays) * 0.99)],
        worst_s=delays[-1],
        late=sum(d > 2.5 for d in delays),
        of=len(delays),
        calls_per_s=len(times) / (ended - began),
        most_calls=max(seconds.values(), default=0),
    )


async def play_power_loss(entries: int) -> Figures:
    """The followers of one region after the other lose power after a change."""
    site = FollowingSite(entries)
    await site.start()
    began = asyncio.get_running_loop().time()
    struck = site.first_by_link()
    for region in ("r0", "r1", "r2"):
        down = [site.entries[n] for n in struck if n.startswith(region)]
        site.change()
        for entry in down:
            await entry.stop()
        await site.change_for(POWER_S)
        for entry in down:
            entry.start()
        await site.change_for(POWER_S)
    ended = asyncio.get_running_loop().time()
    await asyncio.sleep(AFTER_S)
    return await finish(site, others(site, struck), began, ended)


async def play_outage(entries: int) -> Figures:
    """The store answers nobody; the change is made as it returns."""
    site = FollowingSite(entries)
    await site.start()
    began = asyncio.get_running_loop().time()
    site.store.down = True
    await asyncio.sleep(LONG_S)
    site.store.down = False
    site.change()
    await asyncio.sleep(AFTER_S)
    ended = asyncio.get_running_loop().time()
    return await finish(site, list(site.entries), began, ended)


async def play_mix(entries: int, seed: int) -> Figures:
    """Cuts between entries and store faults of a few, drawn and overlapping."""
    site = FollowingSite(entries, seed=seed, loss=0.02)
    await site.start()
    rng = Random(f"mix/{seed}")
    began = asyncio.get_running_loop().time()
    changing = asyncio.ensure_future(site.change_for(MIX_S))
    struck: set[str] = set()
    while asyncio.get_running_loop().time() < began + MIX_S:
        names = list(site.entries)
        some = rng.sample(names, rng.randint(1, max(2, entries // 6)))
        receivers = rng.sample(names, rng.randint(1, entries))
        site.cut(some, receivers)
        if rng.random() < 0.5:
            unserved = [*site.first_by_link(1), rng.choice(names)]
            struck.update(unserved)
            site.set_store_fault(unserved, rng.choice(list(WayFault)))
        if rng.random() < 0.2:
            site.store.forget_history()
        await asyncio.sleep(rng.uniform(0.5, 4.0))
        if rng.random() < 0.6:
            site.cuts.clear()
    await changing
    ended = asyncio.get_running_loop().time()
    site.cuts.clear()
    site.set_store_fault(site.entries, WayFault.NONE)
    await asyncio.sleep(AFTER_S)
    return await finish(site, others(site, struck), began, ended)


async def calm_calls(entries: int, seconds: float = 30.0) -> float:
    """Return the calls a second of a site at which nothing changes."""
    site = FollowingSite(entries)
    await site.start()
    before = len(site.store.call_times)
    await asyncio.sleep(seconds)
    found = len(site.store.call_times) - before
    await site.stop()
    return found / seconds


async def copies_of_large_changes(entries: int) -> tuple[float, float]:
    """Return how often a change's bytes are fetched, and cross regions, by entries.

    Beside them the store sends each change to the followers of all regions.
    """
    site = FollowingSite(entries)
    await site.start()
    fetched, crossed = site.fetched_bytes, site.crossed_bytes
    for _ in range(LARGE_CHANGES):
        site.change(LARGE_BYTES)
        await asyncio.sleep(LARGE_GAP_S)
    await asyncio.sleep(AFTER_S)
    await site.stop()
    all_bytes = LARGE_CHANGES * LARGE_BYTES
    return (
        (site.fetched_bytes - fetched) / all_bytes,
        (site.crossed_bytes - crossed) / all_bytes,
    )


@click.command()
@click.option("--entries", default=12, help="How many entries, in three regions.")
@click.option("--row", "only", multiple=True, help="Rows to play; all if left out.")
def main(entries: int, only: tuple[str, ...]) -> None:
    """Print one line of a table for each row."""
    logger.remove()
    plays: dict[str, Callable[[], Figures]] = {
        name: partial(lambda s, b: run_virtual(play(entries, s, b)), seconds, begin)
        for name, (seconds, begin) in ROWS.items()
    }
    plays["followers lose power"] = lambda: run_virtual(play_power_loss(entries))
    for seed in (1, 2, 3):
        plays[f"mix {seed}"] = partial(
            lambda s: run_virtual(play_mix(entries, s)), seed
        )
    plays["store down for all"] = lambda: run_virtual(play_outage(entries))
    if not only:
        calls = run_virtual(calm_calls(entries))
        click.echo(f"{entries} entries, no changes: {calls:.1f} calls/s")
        fetched, crossed = run_virtual(copies_of_large_changes(entries))
        click.echo(
            f"a change is fetched {fetched:.1f} times, {crossed:.1f} between regions"
        )
    for name, play_row in plays.items():
        if only and name not in only:
            continue
        began = time.monotonic()
        figures = play_row()
        took_s = time.monotonic() - began
        click.echo(f"| {name} | {figures.line()} |  took {took_s:.0f} s")


if __name__ == "__main__":
    main()
