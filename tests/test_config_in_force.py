# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Confirmed changes are in force in time at all entries that exchange messages.

Guards against stale entries. A stale entry answers 404, uses an older service, or runs
requests outside their home region for seconds after a change was confirmed. It occurs
if no entry knows the age of its configuration, if followers are elected by liveness and
not by whether the store answers them, and if an entry that cannot fetch a newer state
tries no other source. A store silent to the followers then leaves all other entries
stale until the fault ends. Silent kept connections, or messages lost in one direction,
leave single entries stale. Entries must query the store when their answer is too old.

The product's control plane runs on a virtual clock (`emulated_following`).
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

MAX_DELAY_S = 2.5
"""Maximum delay after the store's confirmation, in seconds."""
FAULT_DURATION_S = 9.0
ENTRIES = 12


def change_during_fault(
    start_fault: Callable[[FollowingSite], Iterable[str]], entries: int = ENTRIES
) -> tuple[int, float]:
    """Change the configuration repeatedly during a fault.

    Args:
      start_fault: starts the fault; returns the affected entries, which are exempt.
      entries: number of entries of the site.
    Returns: number of late changes over all other entries, and the maximum delay in s.
    """

    async def run() -> tuple[int, float]:
        site = FollowingSite(entries)
        await site.start()
        affected = set(start_fault(site))
        await site.change_for(FAULT_DURATION_S)
        checked = [name for name in site.entries if name not in affected]
        await site.change_for(2 * MAX_DELAY_S)
        delays = list(site.delays(checked, older_than_s=MAX_DELAY_S))
        await site.stop()
        return sum(d > MAX_DELAY_S for d in delays), max(delays)

    result: tuple[int, float] = run_virtual(run())
    return result


def test_changes_without_faults_are_in_force_in_time() -> None:
    late_count, max_delay_s = change_during_fault(lambda site: [])
    assert not late_count, max_delay_s


def test_unserved_followers_do_not_delay_changes() -> None:
    """Fails if no other entry queries the store while its followers are unserved."""
    for fault in WayFault:
        if fault is WayFault.NONE:
            continue

        def begin(site: FollowingSite, fault: WayFault = fault) -> list[str]:
            first = site.first_by_link()
            site.set_store_fault(first, fault)
            return first

        late_count, max_delay_s = change_during_fault(begin)
        assert not late_count, (
            f"{fault}: {late_count} late, maximum delay {max_delay_s:.2f} s"
        )


def test_silent_kept_connections_do_not_delay_changes() -> None:
    """Failed fetches in a row left single entries stale for two seconds or more."""

    def begin(site: FollowingSite) -> list[str]:
        for entry in site.entries.values():
            entry.network.stuck |= set(site.entries)
            entry.store.stuck = True
        return []

    late_count, max_delay_s = change_during_fault(begin)
    assert not late_count, f"{late_count} late, maximum delay {max_delay_s:.2f} s"


def test_entry_with_failing_fetches_queries_the_store() -> None:
    """The entry learned of newer states, but its fetches got no response."""

    def begin(site: FollowingSite) -> list[str]:
        last = site.ranked("r1")[-1].member.name
        site.cut([last], site.entries)
        return []

    late_count, max_delay_s = change_during_fault(begin)
    assert not late_count, f"{late_count} late, maximum delay {max_delay_s:.2f} s"


def test_entry_without_incoming_messages_queries_the_store() -> None:
    """Fails if it waits to become a follower: 1.6 s, then a poll and a call."""

    def begin(site: FollowingSite) -> list[str]:
        last = site.ranked("r1")[-1].member.name
        site.cut(site.entries, [last])
        return []

    late_count, max_delay_s = change_during_fault(begin)
    assert not late_count, f"{late_count} late, maximum delay {max_delay_s:.2f} s"


def test_idle_site_makes_only_the_calls_of_six_watches() -> None:
    """The site has six followers, and each watch waits at most 2.5 s."""

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
    """Calls stay within a tenth of the store's read rate, also when it returns."""
    entries, reads_per_s = 60, 2_000.0

    async def run() -> tuple[int, float]:
        site = FollowingSite(entries)
        await site.start()
        loop = asyncio.get_running_loop()
        started = loop.time()
        site.store.down = True
        await asyncio.sleep(FAULT_DURATION_S)
        site.store.down = False
        change = site.change()
        await asyncio.sleep(MAX_DELAY_S)
        await site.stop()
        seconds = Counter(
            int(t - started) for t in site.store.call_times if t > started
        )
        delay_s = max(change.in_force.get(n, inf) for n in site.entries) - change.at
        return max(seconds.values()), delay_s

    max_calls_per_s, delay_s = run_virtual(run())
    assert max_calls_per_s <= reads_per_s / 10
    assert delay_s <= MAX_DELAY_S, (
        "the change must be in force in time after the store's return"
    )


def test_revisions_never_decrease() -> None:
    """Late responses of a watch, fetch or list must not lower the revision."""

    async def run() -> None:
        site = FollowingSite(ENTRIES, loss=0.05)
        revisions_by_entry: dict[str, list[int]] = {name: [] for name in site.entries}
        await site.start()
        for name, entry in site.entries.items():
            recorded = revisions_by_entry[name]
            entry.state.changes.subscribe(
                lambda d, recorded=recorded: recorded.append(d.revision)
            )
        for fault in WayFault:
            site.set_store_fault(site.first_by_link(), fault)
            site.cut(site.first_by_link(1), site.entries)
            await site.change_for(1.5, 0.1)
            site.store.forget_history()
            site.cuts.clear()
        await site.change_for(2.0)
        await site.stop()
        for revisions in revisions_by_entry.values():
            assert revisions == sorted(set(revisions))

    run_virtual(run())


def test_change_announcements_do_not_read_the_status(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A status read counts as a report, but announcements do not carry the status."""
    status_reads: Counter[bool] = Counter()
    changing = False
    status = FollowingEntry._status

    def count_read(entry: FollowingEntry) -> EntryStatus:
        status_reads[changing] += 1
        return status(entry)

    monkeypatch.setattr(FollowingEntry, "_status", count_read)

    async def run() -> None:
        nonlocal changing
        site = FollowingSite(ENTRIES)
        await site.start()
        status_reads.clear()
        await asyncio.sleep(3.0)
        changing = True
        await site.change_for(3.0, 0.1)
        await site.stop()

    run_virtual(run())
    assert abs(status_reads[True] - status_reads[False]) <= ENTRIES
