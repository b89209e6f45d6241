# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What an entry keeps for the entries that fetch from it."""

import tracemalloc
from random import Random

from leverdoor.codec import unpack
from leverdoor.entry.admin import MAX_UNSENT_BYTES, STATE_PATH, AdminServer
from leverdoor.entry.encoded_deltas import MAX_CACHED_BYTES, EncodedDeltas
from leverdoor.entry.metrics import EntryMetrics
from leverdoor.http.messages import Headers, Request
from leverdoor.model.position import UNKNOWN_ERA, Position
from leverdoor.platform.wire_format import wire
from leverdoor.storage.state import Delta, State
from leverdoor.storage.store import Event

MAX_VALUE_BYTES = 1_048_576


def replica() -> State:
    """Return a replica with a large value, which compression makes no shorter."""
    state = State()
    state.apply(Delta(0, 1, True, []))
    for revision in range(2, 300):
        state.extend([Event(revision, "servers/a", b"%d" % revision)])
    value = Random(1).randbytes(MAX_VALUE_BYTES)
    state.extend([Event(300, "op/config", value)])
    return state


def test_fetches_from_many_positions_do_not_fill_the_memory() -> None:
    """Each position that was asked for had a delta of its own in the cache."""
    deltas = EncodedDeltas(replica())
    tracemalloc.start()
    for revision in range(1, 300):
        deltas.get(Position(UNKNOWN_ERA, revision))
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert held <= MAX_CACHED_BYTES + MAX_VALUE_BYTES


def test_positions_that_the_log_does_not_cover_share_one_delta() -> None:
    state = State()
    state.apply(Delta(0, 1_000, True, [Event(1_000, "op/config", b"c")], era=3))
    deltas = EncodedDeltas(state)
    first = deltas.get(Position(2, 999))
    assert deltas.get(Position(3, 17)) is first
    assert unpack(first.data, Delta).full


async def test_a_fetch_is_rejected_while_too_much_is_unsent() -> None:
    """All entries that fetch a large state at once fill the memory with responses."""
    unsent = 0
    admin = AdminServer(
        wire({}),
        replica(),
        EntryMetrics(),
        lambda: True,
        lambda *_: [],
        1.0,
        lambda: unsent,
    )
    request = Request("GET", f"{STATE_PATH}?since=1", Headers([]))
    assert (await admin.handle(request)).status == 200
    unsent = MAX_UNSENT_BYTES + 1
    assert (await admin.handle(request)).status == 503
