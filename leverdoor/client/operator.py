# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""An operator's client of the resource API.

Owns its connections. Commands are never sent twice, since a lost answer may hide a
write that took effect; queries go on to the next agent.
"""

import asyncio
from collections.abc import AsyncIterator, Sequence

import aiohttp
import msgspec

from leverdoor.agent.api import Change, ItemList, Status
from leverdoor.agent.reports import Report
from leverdoor.codec import decode_json, serialize_json
from leverdoor.errors import Code, LeverdoorError, OutcomeUnknown, Problem
from leverdoor.model.position import UNKNOWN_ERA
from leverdoor.model.resources import Resource
from leverdoor.sessions import (
    MAX_LISTING_BYTES,
    MAX_REPORT_BYTES,
    new_session,
    read_body,
)
from leverdoor.storage.configuration import Applied

__all__ = ["Operator"]

CALL_TIMEOUT_S = 10.0
"""Longest time of a call, in seconds: five time-outs of the store."""
WAIT_POLL_S = 0.1
"""Seconds between two looks whether a change is in force: half a heartbeat."""
WATCH_SILENCE_S = 15.0
"""Silence of a watch after which it is opened anew; three bookmarks."""


class Operator:
    """Talks to any of several agents; queries go on to the next one."""

    def __init__(self, agents: Sequence[str]) -> None:
        """Create it; must be called on the loop.

        Args:
          agents: API addresses, tried in turn.
        """
        self._agents = list(agents)
        self._session = new_session(CALL_TIMEOUT_S)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    # Commands.

    async def apply(
        self,
        resources: Sequence[Resource],
        dry_run: bool = False,
        condition: int | None = None,
    ) -> Applied:
        """Create or replace resources, all or none."""
        path = "/v1/apply" + ("?dry_run=1" if dry_run else "")
        head = {} if condition is None else {"If-Match": str(condition)}
        data = await self._call(
            "POST", path, serialize_json(list(resources)), head, again=False
        )
        return decode_json(data, Applied)

    async def delete(self, key: str, condition: int | None = None) -> Applied:
        """Delete a resource."""
        head = {} if condition is None else {"If-Match": str(condition)}
        data = await self._call(
            "DELETE", f"/v1/resources/{key}", None, head, again=False
        )
        return decode_json(data, Applied)

    async def wait(self, revision: int, entries: int, timeout_s: float) -> Status:
        """Wait until a revision is in force on all entries.

        Args:
          revision: the revision.
          entries: least number of entries that there should be.
          timeout_s: how long to wait, in seconds.
        Raises:
          LeverdoorError: WAIT_EXPIRED.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while True:
            status = await self.status(revision)
            if status.in_force == status.entries >= max(entries, 1):
                return status
            if loop.time() > deadline:
                raise LeverdoorError(
                    Code.WAIT_EXPIRED,
                    f"in force on {status.in_force} of {status.entries} entries",
                )
            await asyncio.sleep(WAIT_POLL_S)

    # Queries.

    async def get(self, path: str = "") -> ItemList:
        """Read all resources, or those of one kind."""
        data = await self._call("GET", "/v1/resources" + (f"/{path}" if path else ""))
        return decode_json(data, ItemList)

    async def get_one(self, key: str) -> bytes:
        """Read one resource as JSON, with its revision."""
        return await self._call("GET", f"/v1/resources/{key}")

    async def status(self, revision: int = 0) -> Status:
        """Read how far a revision, or the latest, is in force."""
        path = "/v1/status" + (f"?revision={revision}" if revision else "")
        return decode_json(await self._call("GET", path), Status)

    async def report(self, name: str) -> Report:
        """Read a report."""
        data = await self._call("GET", f"/v1/reports/{name}")
        return decode_json(data, Report)

    async def watch(
        self, kind: str = "", since: int | None = None, era: int = UNKNOWN_ERA
    ) -> AsyncIterator[Change]:
        """Yield changes of resources after a position.

        Args:
          kind: the kind of the resources; "" for all.
          since: the revision of a list or change; None for the newest.
          era: the era that came with the revision.

        Raises:
          LeverdoorError: COMPACTED, if the position is too old or belongs to a history
            that the store has lost; list again.
        """
        path = f"/v1/watch?kind={kind}"
        if since is not None:
            path += f"&since={since}"
        if era != UNKNOWN_ERA:
            path += f"&era={era}"
        async for line in self._lines(path):
            yield decode_json(line, Change)

    async def watch_report(self, name: str) -> AsyncIterator[bytes]:
        """Yield a report as JSON each time it changes."""
        async for line in self._lines(f"/v1/reports/{name}?watch=1"):
            yield line

    async def _lines(self, path: str) -> AsyncIterator[bytes]:
        timeout = aiohttp.ClientTimeout(total=None, sock_read=WATCH_SILENCE_S)
        url = f"http://{self._agents[0]}{path}"
        async with self._session.get(url, timeout=timeout) as answer:
            if answer.status != 200:
                raise _error(await read_body(answer, MAX_REPORT_BYTES))
            rest = b""
            async for chunk in answer.content.iter_any():
                *lines, rest = (rest + chunk).split(b"\n")
                for line in lines:
                    yield line

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        head: dict[str, str] | None = None,
        again: bool = True,
    ) -> bytes:
        """Call one agent, or the next when it cannot be reached."""
        last = LeverdoorError(Code.STORE_UNAVAILABLE, "no agent answered")
        for agent in self._agents:
            try:
                async with self._session.request(
                    method, f"http://{agent}{path}", data=body, headers=head
                ) as answer:
                    data = await read_body(answer, MAX_LISTING_BYTES)
            except aiohttp.ClientConnectorError as e:
                last = LeverdoorError(Code.STORE_UNAVAILABLE, str(e))
                continue
            except (aiohttp.ClientError, OSError, TimeoutError) as e:
                if not again:
                    raise OutcomeUnknown(
                        f"the agent's answer was lost: {e!r}"
                    ) from None
                last = LeverdoorError(Code.STORE_UNAVAILABLE, repr(e))
                continue
            if answer.status != 200:
                raise _error(data)
            return data
        raise last


def _error(data: bytes) -> LeverdoorError:
    try:
        p = decode_json(data, Problem)
        return LeverdoorError(
            Code(p.code),
            p.detail,
            field=p.field,
            retry_after_ms=p.retry_after_ms,
            revision=p.revision,
        )
    except (msgspec.MsgspecError, ValueError):
        return LeverdoorError(Code.MALFORMED, "an answer that is not leverdoor's")
