# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Probes targets for their own reports.

Owns its connections. A target without the report counts as reachable; one that doesn't
answer in time as failed, and its gate ejects it.
"""

import asyncio
from collections.abc import Iterable

import aiohttp
import msgspec

from leverdoor.model.probe import Probe

__all__ = ["Prober", "TargetReport"]

PROBE_TIMEOUT_S = 1.0
"""Longest time for a report of a target, in seconds.

As the interval of probes: a longer one lets probes pile up, a shorter one takes
a busy target for a dead one.
"""
PROBE_PATH = "/.leverdoor/report"
CONNECTIONS = 16
"""Probes under way at once: keeps the agent's bursts short."""


class TargetReport(msgspec.Struct):
    """A target's own report at PROBE_PATH, as JSON; `in_flight` is all its requests."""

    in_flight: int = 0
    leaving: bool = False


class Prober:
    """Probes targets over HTTP."""

    def __init__(self) -> None:
        """Create it; must be called on the loop."""
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S),
            connector=aiohttp.TCPConnector(limit=CONNECTIONS),
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    async def probe(self, addresses: Iterable[str]) -> dict[str, Probe]:
        """Probe targets at once and return their reports by address."""
        wanted = list(addresses)
        found = await asyncio.gather(*(self._one(a) for a in wanted))
        return dict(zip(wanted, found, strict=True))

    async def _one(self, address: str) -> Probe:
        loop = asyncio.get_running_loop()
        try:
            async with self._session.get(f"http://{address}{PROBE_PATH}") as answer:
                if answer.status == 404:
                    return Probe(True, taken_at=loop.time(), reports=False)
                report = msgspec.json.decode(await answer.read(), type=TargetReport)
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.MsgspecError):
            return Probe(False, taken_at=loop.time())
        return Probe(True, report.leaving, report.in_flight, loop.time())
