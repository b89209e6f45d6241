# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Fetches the reports of targets as health probes.

Owns its connections, which are lost with the process. A target that responds with 404
has no report and counts as reachable. A target that does not respond in time, or whose
report is invalid, counts as failed, and the gate ejects it.
"""

import asyncio
from collections.abc import Iterable

import aiohttp
import msgspec

from leverdoor.codec import decode_json
from leverdoor.model.probe import Probe
from leverdoor.sessions import MAX_REPORT_BYTES, read_body

__all__ = ["Prober", "TargetReport"]

PROBE_TIMEOUT_S = 1.0
"""Timeout of a probe, in seconds; equal to the default probe interval.

With a longer one, probes accumulate; with a shorter one, a busy target counts as dead.
"""
PROBE_PATH = "/.leverdoor/report"
MAX_CONNECTIONS = 16
"""Maximum number of concurrent probes; keeps the agent's CPU bursts short."""


class TargetReport(msgspec.Struct):
    """A target's JSON report; `in_flight` counts all requests in progress at it."""

    in_flight: int = 0
    leaving: bool = False


class Prober:
    """Probes targets over HTTP."""

    def __init__(self) -> None:
        """Create a prober; requires a running event loop."""
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S),
            connector=aiohttp.TCPConnector(limit=MAX_CONNECTIONS),
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    async def probe(self, addresses: Iterable[str]) -> dict[str, Probe]:
        """Probe targets concurrently and return the results by address."""
        targets = list(addresses)
        probes = await asyncio.gather(*(self._probe_one(a) for a in targets))
        return dict(zip(targets, probes, strict=True))

    async def _probe_one(self, address: str) -> Probe:
        loop = asyncio.get_running_loop()
        try:
            async with self._session.get(f"http://{address}{PROBE_PATH}") as response:
                if response.status == 404:
                    return Probe(True, taken_at=loop.time(), reports=False)
                report = decode_json(
                    await read_body(response, MAX_REPORT_BYTES), TargetReport
                )
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.MsgspecError):
            return Probe(False, taken_at=loop.time())
        return Probe(True, report.leaving, report.in_flight, loop.time())
