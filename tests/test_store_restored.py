# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The store comes back from a copy, without its latest changes.

The product's control plane runs on a virtual clock (`emulated_restoring`).
"""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from emulated_restoring import Figures, RestoringSite
from restoring import ROWS
from virtual_clock import run_virtual

ENTRIES = 12
AFTER_S = 12.0
"""Time after the store's return, in seconds."""


def figures_after_drills(
    copy_ages_s: list[float], quiet_s: float = 0.0, entries: int = ENTRIES
) -> Figures:
    """Let the store come back from copies of some ages, one after the other."""

    async def run() -> Figures:
        site = RestoringSite(entries)
        await site.start()
        await asyncio.sleep(14.0)
        for copy_age_s in copy_ages_s:
            await site.drill(copy_age_s, quiet_s)
            await asyncio.sleep(AFTER_S)
        await site.stop()
        return site.figures

    figures: Figures = run_virtual(run())
    return figures


def figures_of(play: Callable[[RestoringSite], Awaitable[None]]) -> Figures:
    """Play one row of the benchmark."""

    async def run() -> Figures:
        site = RestoringSite(ENTRIES)
        await site.start()
        await asyncio.sleep(14.0)
        await play(site)
        await asyncio.sleep(AFTER_S)
        await site.stop()
        return site.figures

    figures: Figures = run_virtual(run())
    return figures


def test_changes_after_a_restored_store_are_in_force_in_time() -> None:
    """Changes at revisions that were given out again were never read."""
    for copy_age_s, quiet_s in ((4.0, 0.0), (12.0, 0.0), (12.0, 2.0)):
        figures = figures_after_drills([copy_age_s], quiet_s)
        broken = (figures.older, figures.left, figures.back)
        assert broken == (0, 0, 0), f"copy {copy_age_s} s old: {figures}"


@pytest.mark.parametrize("row", list(ROWS))
def test_restored_store_beside_other_faults_breaks_no_bound(row: str) -> None:
    """A target that left between two drills was in use again after the second."""
    figures = figures_of(ROWS[row])
    assert (figures.older, figures.left, figures.back) == (0, 0, 0), figures


def test_an_entry_that_starts_knows_what_its_peers_know_beyond_the_store() -> None:
    """It listed the copy and used targets that its peers knew as gone."""

    async def run() -> list[frozenset[str]]:
        site = RestoringSite(ENTRIES)
        await site.start()
        await asyncio.sleep(14.0)
        copy = site.store.copy()
        await asyncio.sleep(4.0)
        drill = asyncio.ensure_future(site.come_back(copy, quiet_s=6.0))
        await asyncio.sleep(3.0)
        first, peer = site.ranked("r0")[0], site.ranked("r0")[-1]
        await first.stop()
        first.start()
        await asyncio.sleep(1.0)
        usable = [
            frozenset(e.catalog_manager.catalog.usable_target_names)
            for e in (first, peer)
        ]
        drill.cancel()
        await site.stop()
        return usable

    of_first, of_peer = run_virtual(run())
    assert of_first
    assert of_first <= of_peer
