# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What the resource API keeps for a watcher that does not read."""

import tracemalloc

from leverdoor.agent.watch_queue import WatchQueue
from leverdoor.storage.state import Delta
from leverdoor.storage.store import Event

MAX_VALUE_BYTES = 1_048_576


def delta(revision: int, size: int) -> Delta:
    event = Event(revision, "k", bytes(size) + bytes([revision % 256]))
    return Delta(revision - 1, revision, False, [event])


async def test_a_watcher_that_does_not_read_does_not_fill_the_memory() -> None:
    """A thousand queued deltas may have a large value each."""
    queue = WatchQueue()
    tracemalloc.start()
    for revision in range(1, 301):
        queue.put(delta(revision, MAX_VALUE_BYTES))
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert held <= 4 * MAX_VALUE_BYTES
    assert await queue.get() is None


async def test_a_watch_ends_before_its_first_lost_change() -> None:
    """The oldest delta was dropped, and those after it were sent."""
    queue = WatchQueue()
    for revision in range(1, 1_500):
        queue.put(delta(revision, 1))
    assert await queue.get() is None


async def test_a_watcher_that_reads_gets_each_change() -> None:
    queue = WatchQueue()
    for revision in range(1, 6):
        queue.put(delta(revision, MAX_VALUE_BYTES))
        found = await queue.get()
        assert found is not None
        assert found.revision == revision
