# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Fetches of a newer state from peers of which some say nothing."""

import asyncio

from leverdoor.storage.fetching import (
    FAILED_PEER_BACKOFF_S,
    HEDGE_DELAY_S,
    MAX_CONCURRENT_FETCHES,
    DeltaSource,
    PeerFetcher,
)
from leverdoor.storage.state import Delta, State
from leverdoor.storage.store import Event
from virtual_clock import run_virtual

CHANGE = Delta(0, 5, True, [Event(5, "k", b"v")])


class Peers(DeltaSource):
    """Peers that answer at once, or not at all."""

    def __init__(self, silent: set[str]) -> None:
        self.silent = silent
        self.asked: list[str] = []

    async def fetch(self, address: str, since: int) -> Delta:
        self.asked.append(address)
        if address in self.silent:
            await asyncio.Event().wait()
        return CHANGE


async def begin(puller: PeerFetcher, *peers: str) -> list[asyncio.Task[bool]]:
    """Begin fetches one after the other, without waiting for their ends."""
    tasks = [asyncio.ensure_future(puller.pull(peer)) for peer in peers]
    await asyncio.sleep(0)
    return tasks


def test_a_fetch_that_gets_no_answer_does_not_hold_off_the_next() -> None:
    async def run() -> None:
        state = State()
        source = Peers({"a"})
        puller = PeerFetcher(state, source)
        await begin(puller, "a", "b")
        assert source.asked == ["a"]
        await asyncio.sleep(HEDGE_DELAY_S + 0.01)
        (second,) = await begin(puller, "b")
        assert await second
        assert state.revision == CHANGE.revision

    run_virtual(run())


def test_no_more_than_a_few_fetches_are_under_way() -> None:
    async def run() -> None:
        names = [f"p{i}" for i in range(MAX_CONCURRENT_FETCHES + 2)]
        source = Peers(set(names))
        puller = PeerFetcher(State(), source)
        for name in names:
            await begin(puller, name)
            await asyncio.sleep(HEDGE_DELAY_S + 0.01)
        assert source.asked == names[:MAX_CONCURRENT_FETCHES]

    run_virtual(run())


def test_a_peer_that_failed_is_passed_over_for_a_while() -> None:
    async def run() -> None:
        source = Peers({"a"})
        puller = PeerFetcher(State(), source)
        assert not await puller.pull("a")
        source.silent.clear()
        assert not await puller.pull("a")
        await asyncio.sleep(FAILED_PEER_BACKOFF_S + 0.01)
        assert await puller.pull("a")

    run_virtual(run())


def test_a_late_answer_changes_nothing_back() -> None:
    """Of two fetches the slower one may bring what is older by then."""

    async def run() -> None:
        state = State()
        puller = PeerFetcher(state, Peers(set()))
        state.apply(Delta(0, 9, True, [Event(9, "k", b"newer")]))
        assert not await puller.pull("a")
        assert state.revision == 9
        assert state.entries["k"].value == b"newer"

    run_virtual(run())
