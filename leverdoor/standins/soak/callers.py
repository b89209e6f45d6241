# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Callers of a soak: they keep connections, leave early, and note what they get.

State: each caller's generator and count of requests; all that is seen goes to the
record. Relies on the site for the addresses of entries.
"""

import asyncio
import hashlib
import json
from random import Random

import aiohttp
from yarl import URL

from leverdoor.sessions import new_session
from leverdoor.standins.entry_process import EntryProcess
from leverdoor.standins.soak.look_ups import DEADLINE_MS, FreeLookUp, refusal_name
from leverdoor.standins.soak.record import Attempt, Probe, Record, now_s
from leverdoor.standins.soak.site import SoakSite, mark_path
from leverdoor.standins.soak.workspaces import WORKSPACES, SoakWorkspace

__all__ = ["SoakCaller", "SoakProber"]

PATIENCE_S = 7.0
"""How long a caller waits for an answer: the deadline and some slack."""
KEYS = 30
"""Different keys of the requests; several at each target."""
ONCE_SHARE = 0.5
"""Part of the requests that may run at most once."""
LARGE_SHARE = 0.03
"""Part of the requests with a long body."""
LARGE_BODY = 700 * 1024
"""Bytes of a long body; above what an entry reads whole."""
LEAVE_SHARE = 0.03
"""Part of the requests whose caller leaves early."""
PAUSE_S = 0.02
"""Mean pause between two requests of a caller, in seconds."""
PROBE_PAUSE_S = 0.15
"""Pause between two rounds of the prober, in seconds."""


class SoakCaller:
    """Sends one request after the other, to any entry, on kept connections."""

    def __init__(self, site: SoakSite, record: Record, number: int, seed: int) -> None:
        """Create it; `run` calls until cancelled.

        Args:
          site: the deployment.
          record: where to note what is seen.
          number: this caller's.
          seed: of the soak.
        """
        self._site = site
        self._record = record
        self._number = number
        self._rng = Random(f"{seed}/{number}")
        self._count = 0

    async def run(self) -> None:
        """Call until cancelled."""
        async with new_session(PATIENCE_S) as session:
            while True:
                entry = self._rng.choice(list(self._site.entries.values()))
                await self._call(session, entry)
                await asyncio.sleep(self._rng.random() * PAUSE_S)

    async def _call(self, session: aiohttp.ClientSession, entry: EntryProcess) -> None:
        request = self._draw(entry)
        leaves = self._rng.random() < LEAVE_SHARE
        leave_s = self._rng.random() * 0.1 if leaves else None
        try:
            self._record.attempts.append(await request.send(session, leave_s))
        except asyncio.CancelledError:
            self._record.attempts.append(request.given_up())
            raise

    def _draw(self, entry: EntryProcess) -> "_SoakRequest":
        """Draw the next request; the order of draws belongs to a seed."""
        self._count += 1
        request_id = f"{self._number:08x}{self._count:08x}"
        once = self._rng.random() < ONCE_SHARE
        large = self._rng.random() < LARGE_SHARE
        parts = [w.part for w in WORKSPACES]
        workspace = self._rng.choices(WORKSPACES, parts)[0]
        size = LARGE_BODY if large else self._rng.randrange(2_000)
        body = self._rng.randbytes(size) if once else b""
        return _SoakRequest(
            entry=entry,
            url=f"http://{self._site.front(entry)}",
            method="POST" if once else "GET",
            path="/file/x" if once else "/look/x",
            body=body,
            workspace=workspace,
            headers={
                "Host": "records.example",
                "X-Credential": workspace.key,
                "X-Tenant": "somebody-else",
                "X-Request-Id": request_id,
                "X-Deadline-Ms": str(DEADLINE_MS),
                "X-Affinity-Key": str(self._rng.randrange(KEYS)),
            },
        )


class _SoakRequest:
    """One request of a caller."""

    def __init__(
        self,
        entry: EntryProcess,
        url: str,
        method: str,
        path: str,
        body: bytes,
        workspace: SoakWorkspace,
        headers: dict[str, str],
    ) -> None:
        self._entry = entry
        self._url = URL(url + path, encoded=True)
        self._method = method
        self._path = path
        self._body = body
        self._workspace = workspace.name
        self._headers = headers
        self._digest = hashlib.sha256(body).hexdigest()
        self._began = now_s()

    def _attempt(self, status: int, code: str = "", **more: bool) -> Attempt:
        return Attempt(
            request_id=self._headers["X-Request-Id"],
            entry=self._entry.name,
            path=self._path,
            once=self._method == "POST",
            digest=self._digest,
            deadline_ms=DEADLINE_MS,
            sent_at=self._began,
            ended_at=now_s(),
            status=status,
            workspace=self._workspace,
            code=code,
            **more,
        )

    def given_up(self) -> Attempt:
        """Return the attempt as one that its caller left."""
        return self._attempt(0, left=True)

    async def send(
        self, session: aiohttp.ClientSession, leave_s: float | None
    ) -> Attempt:
        """Send it and judge the answer; leave after a time if one is given."""
        try:
            async with asyncio.timeout(leave_s):
                return await self._exchange(session)
        except aiohttp.ClientConnectorError:
            return self._attempt(0, connected=False)
        except TimeoutError:
            return self.given_up()
        except (aiohttp.ClientError, OSError):
            return self._attempt(0)

    async def _exchange(self, session: aiohttp.ClientSession) -> Attempt:
        data = self._body if self._method == "POST" else None
        async with session.request(
            self._method, self._url, data=data, headers=self._headers
        ) as answer:
            body = await answer.read()
            stamped = "X-Server-Stamp" in answer.headers
            own = stamped and self._is_own(body, answer.headers.get("X-Request-Id"))
            code = "" if stamped else refusal_name(body)
            return self._attempt(answer.status, code, own=own, stamped=stamped)

    def _is_own(self, body: bytes, answered_id: str | None) -> bool:
        try:
            said = json.loads(body)
        except ValueError:
            return False
        mine = self._headers["X-Request-Id"]
        return bool(
            said == {"id": mine, "digest": self._digest} and answered_id == mine
        )


class SoakProber:
    """Requests from one entry the routes that only the newest versions have."""

    def __init__(self, site: SoakSite, record: Record, entry: EntryProcess) -> None:
        """Create it; `run` requests until cancelled."""
        self._site = site
        self._record = record
        self._entry = entry
        self._count = 0

    async def run(self) -> None:
        """Request until cancelled."""
        async with new_session(PATIENCE_S, keep_connections=False) as session:
            while True:
                newest = self._site.routed
                for version in {newest, max(newest - 1, 1)}:
                    await self.shows(session, version)
                await asyncio.sleep(PROBE_PAUSE_S)

    async def shows(self, session: aiohttp.ClientSession, version: int) -> bool:
        """Request the route of one version; returns whether it was served."""
        incarnation = self._entry.incarnation
        attempt = await self._request(session, version)
        if attempt.status != 200 or incarnation != self._entry.incarnation:
            return False
        probe = Probe(
            self._entry.name, incarnation, version, attempt.sent_at, attempt.ended_at
        )
        self._record.probes.append(probe)
        return True

    async def _request(self, session: aiohttp.ClientSession, version: int) -> Attempt:
        """Send one request and record it, also when it is cancelled."""
        self._count += 1
        request_id = f"probe-{self._entry.name}-{self._count}-{now_s()}"
        look_up = FreeLookUp(self._site.front(self._entry), mark_path(version))
        return await look_up.send(session, request_id, self._entry.name, self._record)
