# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Callers of a soak that send several look-ups at once on one kept connection.

The answers must come in the order of the requests, each with its own id. A look-up
behind an answer that closes the connection counts as not read.

State: each caller's generator, count and connection; all that is seen goes to the
record. Relies on the site for the addresses of entries.
"""

import asyncio
import hashlib
import json
import re
from random import Random

from leverdoor.standins.entry_process import EntryProcess
from leverdoor.standins.soak.look_ups import DEADLINE_MS, refusal_name
from leverdoor.standins.soak.record import Attempt, Record, now_s
from leverdoor.standins.soak.site import SoakSite
from leverdoor.standins.soak.workspaces import FREE

__all__ = ["PipeliningCaller"]

PATIENCE_S = 7.0
"""How long a caller waits for all answers: the deadline and some slack."""
MOST_AT_ONCE = 10
"""Most look-ups that are sent at once; above what an entry runs side by side."""
MOST_BATCHES = 8
"""Most batches on one connection."""
KEYS = 30
"""Different keys of the look-ups."""
LEAVE_SHARE = 0.05
"""Part of the batches whose caller leaves early."""
PAUSE_S = 0.1
"""Mean pause between two batches, in seconds."""
PATH = "/look/x"
NO_BODY_DIGEST = hashlib.sha256(b"").hexdigest()


class _Connection:
    """A kept connection to an entry."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    def send(self, data: bytes) -> None:
        self._writer.write(data)

    def abort(self) -> None:
        self._writer.transport.abort()

    async def read_answer(self) -> tuple[int, dict[str, str], bytes]:
        """Return status, headers (names in lower case) and body of the next answer.

        Raises:
          EOFError: the connection ended.
          ValueError: the bytes are no answer.
        """
        head = await self._reader.readuntil(b"\r\n\r\n")
        line, *fields = head.decode("latin-1").strip().split("\r\n")
        status = re.fullmatch(r"HTTP/1\.1 (\d{3}) .*", line)
        if status is None:
            raise ValueError(f"no status line: {line}")
        headers = {}
        for field in fields:
            name, _, value = field.partition(": ")
            headers[name.lower()] = value
        body = await self._reader.readexactly(int(headers["content-length"]))
        return int(status[1]), headers, body


class PipeliningCaller:
    """Sends batches of look-ups to any entry until cancelled."""

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
        self._rng = Random(f"{seed}/pipelining/{number}")
        self._count = 0

    async def run(self) -> None:
        """Call until cancelled."""
        while True:
            entry = self._rng.choice(list(self._site.entries.values()))
            await self._use_connection(entry)
            await asyncio.sleep(self._rng.random() * 2 * PAUSE_S)

    async def _use_connection(self, entry: EntryProcess) -> None:
        host, port = self._site.front(entry).split(":")
        try:
            async with asyncio.timeout(PATIENCE_S):
                streams = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            return
        connection = _Connection(*streams)
        try:
            for _ in range(self._rng.randint(1, MOST_BATCHES)):
                if not await self._send_batch(connection, entry):
                    return
                await asyncio.sleep(self._rng.random() * 2 * PAUSE_S)
        finally:
            connection.abort()

    async def _send_batch(self, connection: _Connection, entry: EntryProcess) -> bool:
        """Send look-ups at once; returns whether the connection stays open."""
        ids = [self._next_id() for _ in range(self._rng.randint(2, MOST_AT_ONCE))]
        leaves = self._rng.random() < LEAVE_SHARE
        patience_s = self._rng.random() * 0.1 if leaves else PATIENCE_S
        batch = _Batch(self._record, entry, ids)
        connection.send(b"".join(self._request(i) for i in ids))
        try:
            async with asyncio.timeout(patience_s):
                return await batch.read(connection)
        except (TimeoutError, asyncio.CancelledError) as e:
            batch.give_up()
            if isinstance(e, asyncio.CancelledError):
                raise
            return False

    def _next_id(self) -> str:
        self._count += 1
        return f"pipelined-{self._number}-{self._count}"

    def _request(self, request_id: str) -> bytes:
        key = self._rng.randrange(KEYS)
        return (
            f"GET {PATH} HTTP/1.1\r\nHost: records.example\r\n"
            f"X-Credential: {FREE.key}\r\nX-Request-Id: {request_id}\r\n"
            f"X-Deadline-Ms: {DEADLINE_MS}\r\nX-Affinity-Key: {key}\r\n\r\n"
        ).encode()


class _Batch:
    """Look-ups that were sent at once and are not answered yet."""

    def __init__(self, record: Record, entry: EntryProcess, ids: list[str]) -> None:
        self._record = record
        self._entry = entry
        self._unanswered = ids
        self._began = now_s()

    async def read(self, connection: _Connection) -> bool:
        """Record the answers; returns whether the connection stays open."""
        while self._unanswered:
            try:
                status, headers, body = await connection.read_answer()
            except (EOFError, OSError):
                self._end_all(left=False)
                return False
            except (ValueError, KeyError, asyncio.LimitOverrunError):
                self._end_next(200)
                self._end_all(left=False)
                return False
            self._take_answer(status, headers, body)
            if headers.get("connection") == "close":
                self.give_up()
                return False
        return True

    def give_up(self) -> None:
        """Record the rest as look-ups that nobody awaits, or that were not read."""
        self._end_all(left=True)

    def _take_answer(self, status: int, headers: dict[str, str], body: bytes) -> None:
        stamped = "x-server-stamp" in headers
        mine = self._unanswered[0]
        own = stamped and headers.get("x-request-id") == mine and _id_in(body) == mine
        code = "" if stamped else refusal_name(body)
        self._end_next(status, code=code, own=own, stamped=stamped)

    def _end_all(self, left: bool) -> None:
        while self._unanswered:
            self._end_next(0, left=left)

    def _end_next(self, status: int, code: str = "", **more: bool) -> None:
        attempt = Attempt(
            request_id=self._unanswered.pop(0),
            entry=self._entry.name,
            path=PATH,
            once=False,
            digest=NO_BODY_DIGEST,
            deadline_ms=DEADLINE_MS,
            sent_at=self._began,
            ended_at=now_s(),
            status=status,
            workspace=FREE.name,
            code=code,
            **more,
        )
        self._record.attempts.append(attempt)


def _id_in(body: bytes) -> str:
    """Return the id that a target's answer states; "" for none."""
    try:
        return str(json.loads(body)["id"])
    except (ValueError, KeyError, TypeError):
        return ""
