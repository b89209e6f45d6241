# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""A change that the store confirmed is in force in time at every entry in touch.

What users saw: on most runs of a site of twelve entries, requests were answered 404 or
run by an older service long after the change was confirmed, and outside their home
region, which stands in the same configuration. One or two entries were behind at a
time, in step again after some seconds.

Cause: no entry knew how old its configuration was. Who follows the store was decided by
who is alive, not by whom the store answers; an entry that could not fetch a newer state
waited for others, and asked nobody else meanwhile. Evidence: with the store silent to
the followers alone, all others stayed behind until it ended; with kept connections
silent or one way of an entry lost, single entries stayed behind, as in the users'
record. Each is over where entries ask the store once what they have is too old.

The product's control plane runs on a fake clock (`emulated_following`).
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable
from math import inf

import pytest

from emulated_following import FollowingEntry, FollowingSite
from emulated_store import WayFault
from leverdoor.entry.exchange.exchange_types import EntryStatus
from virtual_clock import run_virtual

IN_FORCE_S = 2.5
"""The bound, from the store's confirmation."""
TROUBLE_S = 9.0
ENTRIES = 12


def play(
    trouble: Callable[[FollowingSite], Iterable[str]], entries: int = ENTRIES
) -> tuple[int, float]:
    """Change something again and again during a trouble.

    Args:
      trouble: begins it; returns the entries that are struck and not judged.
      entries: of the site.
    Returns: how many changes were late at some entry, and the longest delay in s.
    """

    async def run() -> tuple[int, float]:
        site = FollowingSite(entries)
        await site.start()
        struck = set(trouble(site))
        await site.change_for(TROUBLE_S)
        judged = [name for name in site.entries if name not in struck]
        await site.change_for(2 * IN_FORCE_S)
        delays = list(site.delays(judged, older_than_s=IN_FORCE_S))
        await site.stop()
        return sum(d > IN_FORCE_S for d in delays), max(delays)

    found: tuple[int, float] = run_virtual(run())
    return found


def test_changes_without_faults_are_in_force_in_time() -> None:
    late, worst = play(lambda site: [])
    assert not late, worst


def test_unserved_followers_do_not_delay_changes() -> None:
    """The others got no change while it lasted: nobody else asked the store."""
    for fault in WayFault:
        if fault is WayFault.NONE:
            continue

        def begin(site: FollowingSite, fault: WayFault = fault) -> list[str]:
            first = site.first_by_link()
            site.set_store_fault(first, fault)
            return first

        late, worst = play(begin)
        assert not late, f"{fault}: {late} late, the worst by {worst:.2f} s"


def test_silent_kept_connections_do_not_delay_changes() -> None:
    """Single entries were behind for two seconds or more, fetch after fetch."""

    def begin(site: FollowingSite) -> list[str]:
        for entry in site.entries.values():
            entry.network.stuck |= set(site.entries)
            entry.store.stuck = True
        return []

    late, worst = play(begin)
    assert not late, f"{late} late, the worst by {worst:.2f} s"


def test_entry_with_failing_fetches_queries_the_store() -> None:
    """It heard of newer states, and its fetches of them got no answer."""

    def begin(site: FollowingSite) -> list[str]:
        last = site.ranked("r1")[-1].member.name
        site.cut([last], site.entries)
        return []

    late, worst = play(begin)
    assert not late, f"{late} late, the worst by {worst:.2f} s"


def test_entry_without_incoming_messages_queries_the_store() -> None:
    """It counted itself as a follower after 1.6 s, and had a call and a look to go."""

    def begin(site: FollowingSite) -> list[str]:
        last = site.ranked("r1")[-1].member.name
        site.cut(site.entries, [last])
        return []

    late, worst = play(begin)
    assert not late, f"{late} late, the worst by {worst:.2f} s"


def test_idle_site_makes_calls_of_six_watches_only() -> None:
    """Six followers, each of which waits for 2.5 s at most."""

    async def run() -> float:
        site = FollowingSite(ENTRIES)
        await site.start()
        before = len(site.store.call_times)
        await asyncio.sleep(30.0)
        calls = len(site.store.call_times) - before
        await site.stop()
        return calls / 30.0

    calls_per_s: float = run_virtual(run())
    assert calls_per_s <= 6 / 2.5 + 0.1


def test_call_rate_is_bounded_while_store_is_down() -> None:
    """A tenth of its reads at most, in each second, also as it returns."""
    entries, reads_per_s = 60, 2_000.0

    async def run() -> tuple[int, float]:
        site = FollowingSite(entries)
        await site.start()
        loop = asyncio.get_running_loop()
        began = loop.time()
        site.store.down = True
        await asyncio.sleep(TROUBLE_S)
        site.store.down = False
        change = site.change()
        await asyncio.sleep(IN_FORCE_S)
        await site.stop()
        seconds = Counter(int(t - began) for t in site.store.call_times if t > began)
        last = max(change.in_force.get(n, inf) for n in site.entries) - change.at
        return max(seconds.values()), last

    most, last_s = run_virtual(run())
    assert most <= reads_per_s / 10
    assert last_s <= IN_FORCE_S, "in force soon after the store is back"


def test_revisions_never_decrease() -> None:
    """Whatever answers late: a watch, a second fetch, a listing after lost history."""

    async def run() -> None:
        site = FollowingSite(ENTRIES, loss=0.05)
        held: dict[str, list[int]] = {name: [] for name in site.entries}
        await site.start()
        for name, entry in site.entries.items():
            note = held[name]
            entry.state.changes.subscribe(lambda d, note=note: note.append(d.revision))
        for fault in WayFault:
            site.set_store_fault(site.first_by_link(), fault)
            site.cut(site.first_by_link(1), site.entries)
            await site.change_for(1.5, 0.1)
            site.store.forget_history()
            site.cuts.clear()
        await site.change_for(2.0)
        await site.stop()
        for revisions in held.values():
            assert revisions == sorted(set(revisions))

    run_virtual(run())


def test_change_announcements_do_not_read_the_status(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What a round is to tell counts how often it was told; news tell none of it."""
    asked: Counter[bool] = Counter()
    changing = False
    status = FollowingEntry._status

    def counted(entry: FollowingEntry) -> EntryStatus:
        asked[changing] += 1
        return status(entry)

    monkeypatch.setattr(FollowingEntry, "_status", counted)

    async def run() -> None:
        nonlocal changing
        site = FollowingSite(ENTRIES)
        await site.start()
        asked.clear()
        await asyncio.sleep(3.0)
        changing = True
        await site.change_for(3.0, 0.1)
        await site.stop()

    run_virtual(run())
    assert abs(asked[True] - asked[False]) <= ENTRIES
