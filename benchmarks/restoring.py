# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Both errors when the store comes back from a copy: an older configuration, a target
that left.

    python benchmarks/restoring.py --entries 195

The product's control plane on a fake clock (`emulated_restoring`): a configuration each
0.33 s, a target that leaves and one that comes each 1.2 s; the operator and the targets
write again within 0.4 s what the store lost. Looks count from the later confirmation.
Calls are watches and listings in the worst second; megabytes are those of fetches
between regions from the store's return on, before compression.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Awaitable, Callable

import click
from loguru import logger

from emulated_restoring import RestoringSite
from emulated_store import WayFault
from virtual_clock import run_virtual

KNOWN_S = 14.0
"""Time before the first drill, longer than the oldest copy is old."""
AFTER_S = 10.0
"""Time after a drill in which all must be in force again."""
TROUBLE_S = 4.0
"""How long cuts and faults of the store last beyond the drill."""
OUTAGE_S = 6.0


async def _nothing(site: RestoringSite) -> None:
    await asyncio.sleep(AFTER_S)


async def _outage(site: RestoringSite) -> None:
    """The store is away, and back without a loss."""
    site.store.down = True
    await asyncio.sleep(OUTAGE_S)
    site.store.down = False


async def _copy_4(site: RestoringSite) -> None:
    await site.drill(4.0)


async def _copy_12(site: RestoringSite) -> None:
    await site.drill(12.0)


async def _copy_12_quiet(site: RestoringSite) -> None:
    await site.drill(12.0, quiet_s=2.0)


async def _two_drills(site: RestoringSite) -> None:
    """The second copy is taken before the first return, and is older than it."""
    copy = site.store.copy()
    await site.drill(4.0)
    await asyncio.sleep(1.0)
    await site.come_back(copy)


async def _unserved_followers(site: RestoringSite) -> None:
    """The first followers of each region are not answered from the return on."""
    first = site.first_by_link()
    site.exempt |= set(first)
    copy = site.store.copy()
    await asyncio.sleep(4.0)
    site.set_store_fault(first, WayFault.SILENT)
    await site.come_back(copy)
    await asyncio.sleep(TROUBLE_S)
    site.set_store_fault(first, WayFault.NONE)


async def _region_cut(site: RestoringSite) -> None:
    """A region does not reach the others, while its entries reach the store."""
    one = [n for n in site.entries if n.startswith("r1")]
    others = [n for n in site.entries if not n.startswith("r1")]
    copy = site.store.copy()
    await asyncio.sleep(4.0)
    site.cut(one, others)
    site.cut(others, one)
    await site.come_back(copy)
    await asyncio.sleep(TROUBLE_S)
    site.cuts.clear()


async def _kept_connections_silent(site: RestoringSite) -> None:
    """Watches that are open when the store comes back are never answered."""
    copy = site.store.copy()
    await asyncio.sleep(4.0)
    for entry in site.entries.values():
        entry.store.stuck = True
    await site.come_back(copy)


async def _restarts(site: RestoringSite) -> None:
    """Entries stop and start, one for good, before and after the return."""
    copy = site.store.copy()
    await asyncio.sleep(4.0)
    names = [*site.first_by_link(1), site.ranked("r1")[-1].member.name]
    await site.entries[names[0]].stop()
    gone = names[1]
    site.exempt.add(gone)
    await site.entries[gone].stop()
    await site.come_back(copy)
    site.restarted(names[0])
    site.entries[names[0]].start()
    await asyncio.sleep(1.0)
    for name in names[2:]:
        await site.entries[name].stop()
        site.restarted(name)
        site.entries[name].start()


Play = Callable[[RestoringSite], Awaitable[None]]
ROWS: dict[str, Play] = {
    "no drill": _nothing,
    "outage of 6 s, nothing lost": _outage,
    "copy 4 s old": _copy_4,
    "copy 12 s old": _copy_12,
    "copy 12 s old, then two quiet seconds": _copy_12_quiet,
    "two drills": _two_drills,
    "first followers without the store": _unserved_followers,
    "a region cut from the others": _region_cut,
    "kept connections silent": _kept_connections_silent,
    "entries stop and start": _restarts,
}


def play(row: Play, entries: int, seed: int, loss: float) -> str:
    """Play one row; return its cells."""

    async def run() -> str:
        site = RestoringSite(entries, seed, loss)
        await site.start()
        await asyncio.sleep(KNOWN_S)
        site.figures.worst_s = 0.0
        began = asyncio.get_running_loop().time()
        crossed = site.crossed_bytes
        await row(site)
        await asyncio.sleep(AFTER_S)
        await site.stop()
        calls = Counter(int(t) for t in site.store.call_times if t >= began)
        mb = (site.crossed_bytes - crossed) / 1e6
        return f"{site.figures.line()} | {max(calls.values(), default=0)} | {mb:.2f}"

    cells: str = run_virtual(run())
    return cells


@click.command()
@click.option("--entries", default=12, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--loss", default=0.0, show_default=True, help="Share of datagrams lost.")
@click.option("--row", "only", default="", help="Only rows whose name has this text.")
def main(entries: int, seed: int, loss: float, only: str) -> None:
    """Print a table of both errors."""
    logger.remove()
    click.echo("| row | older | left | back | looks | worst, s | calls | MB |")
    click.echo("|---|---|---|---|---|---|---|---|")
    for name, row in ROWS.items():
        if only not in name:
            continue
        started = time.monotonic()
        click.echo(f"| {name} | {play(row, entries, seed, loss)} |")
        click.echo(f"{name}: {time.monotonic() - started:.0f} s", err=True)


if __name__ == "__main__":
    main()
