# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What else happens to an entry while a crowd is there.

Owns no state; the store's faults and the entry's process are the site's.
"""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from enum import StrEnum

from leverdoor.standins.entry_process import EntryProcess
from leverdoor.standins.entry_site import EntrySite
from leverdoor.standins.metadata import MetadataFaults

__all__ = ["Disturbance", "disturb"]

RELOAD_S = 0.4
"""Time between two reloads, in seconds."""
CRASH_S = 1.0
"""Time between two crashes of targets, in seconds; one is back within it."""


class Disturbance(StrEnum):
    """What happens beside a crowd."""

    RELOAD = "reload"
    RESTART = "restart"
    STORE_LOST = "store-lost"
    TARGETS_LOST = "targets-lost"


async def disturb(
    kind: Disturbance, site: EntrySite, entry: EntryProcess, seconds: float
) -> None:
    """Disturb an entry until a crowd has left; return once it is as before.

    Args:
      kind: what happens.
      site: the entry's site.
      entry: the entry.
      seconds: how long the crowd is there.
    Raises:
      TimeoutError: the entry did not end, or did not become ready again, in time.
    """
    handle = _HANDLERS[kind]
    await asyncio.sleep(seconds / 4)
    await handle(site, entry, seconds / 2)


async def _reload(site: EntrySite, entry: EntryProcess, seconds: float) -> None:
    """Let the entry read its settings again and again."""
    for _ in range(int(seconds / RELOAD_S)):
        entry.send(signal.SIGHUP)
        await asyncio.sleep(RELOAD_S)


async def _restart(site: EntrySite, entry: EntryProcess, seconds: float) -> None:
    """Stop the entry and start it again."""
    entry.send(signal.SIGTERM)
    await entry.ended()
    await entry.start()
    await site.ready(entry)


async def _lose_store(site: EntrySite, entry: EntryProcess, seconds: float) -> None:
    """Let the store refuse all calls for a time."""
    site.store.faults = MetadataFaults(busy=503)
    await asyncio.sleep(seconds)
    site.store.faults = MetadataFaults()


async def _lose_targets(site: EntrySite, entry: EntryProcess, seconds: float) -> None:
    """Let targets crash, one after the other; each is back under another name."""
    for name in list(site.targets)[: int(seconds / CRASH_S)]:
        site.crash_target(name)
        await asyncio.sleep(CRASH_S)


_HANDLERS: dict[
    Disturbance, Callable[[EntrySite, EntryProcess, float], Awaitable[None]]
] = {
    Disturbance.RELOAD: _reload,
    Disturbance.RESTART: _restart,
    Disturbance.STORE_LOST: _lose_store,
    Disturbance.TARGETS_LOST: _lose_targets,
}
