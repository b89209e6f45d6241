# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""A long series of large configurations, and the memory that entries take meanwhile.

The platform kills a process that goes over the memory of its VM. The watch does so here
and notes it. Owns what it noted; lost with the soak.
"""

import asyncio
import signal
from random import Random

from leverdoor.codec import serialize_json
from leverdoor.process_memory import resident_bytes
from leverdoor.standins.entry_process import EntryProcess
from leverdoor.standins.entry_site import SAMPLE_ROUTES
from leverdoor.standins.soak.site import SoakSite

__all__ = ["MEMORY_MB", "MemoryWatch", "write_large_configurations"]

MEMORY_MB = 152
"""Memory of the smallest VM that an entry runs on, in MiB."""
MAX_VALUE_BYTES = 1_048_576
"""The largest value that the store takes."""
SMALLEST_SHARE = 0.9
"""Smallest size of a configuration, as a share of the largest one."""
LOOK_S = 0.1
"""Interval in which the memory is looked at, in seconds."""
BYTES_PER_MIB = 1024 * 1024


def large_routes(size: int) -> list[dict[str, object]]:
    """Return the sample routes and as many others as fit into a number of bytes."""
    routes = [dict(route) for route in SAMPLE_ROUTES]
    route_bytes = len(serialize_json(_route(0))) + 1
    # What is not a route takes less than a hundredth.
    count = int(size * 0.99) // route_bytes - len(routes)
    return routes + [_route(number) for number in range(count)]


def _route(number: int) -> dict[str, object]:
    name = f"more-{number:06d}"
    return {**SAMPLE_ROUTES[0], "name": name, "path-prefix": f"/{name}/"}


async def write_large_configurations(
    site: SoakSite, seed: int, rate: float, seconds: float
) -> None:
    """Write large configurations one after the other.

    Args:
      site: the site.
      seed: draws their sizes.
      rate: configurations a second.
      seconds: how long.
    """
    rng = Random(f"large/{seed}")
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    while loop.time() < until:
        share = rng.uniform(SMALLEST_SHARE, 1.0)
        site.configure(large_routes(int(share * MAX_VALUE_BYTES)))
        await asyncio.sleep(1 / rate)


class MemoryWatch:
    """Kills entries that go over the memory of their VM, and starts them again."""

    def __init__(self, site: SoakSite) -> None:
        """Create it; `run` watches the entries of a site."""
        self._site = site
        self.breaches: list[str] = []
        """A line for each entry that went over its memory."""
        self.peak_mb = 0.0
        """The most that an entry took, in MiB."""

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            for entry in self._site.entries.values():
                if entry.running:
                    await self._look_at(entry)
            await asyncio.sleep(LOOK_S)

    async def _look_at(self, entry: EntryProcess) -> None:
        used_mb = resident_bytes(str(entry.pid)) / BYTES_PER_MIB
        self.peak_mb = max(self.peak_mb, used_mb)
        if used_mb <= MEMORY_MB:
            return
        self.breaches.append(f"MEMORY {entry.name}: {used_mb:.0f} of {MEMORY_MB} MiB")
        entry.send(signal.SIGKILL)
        await entry.ended()
        await entry.start()
