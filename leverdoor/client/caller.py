# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""A caller's client of a plain site: look-ups, failover, and retries where safe.

Owns its connections and the cached answers of look-ups. Relies on the codes of refusals
for whether a request may have run (docs/ERRORS.md) and on the gates' Retry-After.
"""

import asyncio
import secrets
from collections.abc import AsyncIterator, Sequence
from random import Random

import aiohttp
import msgspec

from leverdoor import headers as h
from leverdoor.codec import decode_json, parse_json
from leverdoor.errors import Code, ConfigError, Problem, Refusal, Run
from leverdoor.gate.hop_client import refusal_from_problem
from leverdoor.gate.lookups import LookupAnswer, LookupEntry
from leverdoor.sessions import MAX_LISTING_BYTES, new_session, read_body

__all__ = ["Caller", "Reply"]

MAX_ATTEMPTS = 8
"""Most attempts of one call: each of the four named gates twice."""
LOOKUP_TIMEOUT_S = 2.0
"""Longest time of a look-up at one entry, in seconds.

Far above a round trip between regions; a longer one waits for a dead entry.
"""
DEFAULT_WAIT_MS = 100
"""Pause before a retry where the answer names no Retry-After, in ms.

Some runs; a lost answer may mean that a gate has just died.
"""
ANSWER_GRACE_S = 0.25
"""Seconds past the deadline for which an answer is awaited.

A refusal at the deadline says whether the request ran, a time-out doesn't.
"""


class Reply(msgspec.Struct, frozen=True):
    """A whole answer; `entry` served it at the attempt numbered `attempts`."""

    status: int
    body: bytes
    request_id: str
    served_by: str
    entry: str
    attempts: int


class _Cached(msgspec.Struct):
    answer: LookupAnswer
    until: float


class Caller:
    """One caller of services behind leverdoor."""

    def __init__(
        self, entries: Sequence[str], name: str = "", rng: Random | None = None
    ) -> None:
        """Create a caller; must be called on the loop.

        Args:
          entries: addresses of some gates, for the first look-up.
          name: the caller's name, which decides its tier.
          rng: where chance comes from.
        """
        self._seeds = list(entries)
        self._name = name
        self._rng = rng or Random()
        self._cache: dict[str, _Cached] = {}
        self._session = new_session()

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def lookup(self, service: str, fresh: bool = False) -> LookupAnswer:
        """Return which gates to use; answers are cached for their time to live.

        Raises:
          Refusal: no entry answered.
        """
        now = asyncio.get_running_loop().time()
        cached = self._cache.get(service)
        if cached is not None and not fresh and now < cached.until:
            return cached.answer
        known = [e.address for e in cached.answer.entries] if cached else []
        seeds = self._rng.sample(self._seeds, len(self._seeds))
        last = Refusal(Code.NOT_READY, "no entry answered the look-up")
        for entry in dict.fromkeys(known + seeds):
            try:
                answer = await self._lookup_at(entry, service)
            except Refusal as e:
                last = e
                continue
            until = now + answer.ttl_ms / 1000
            self._cache[service] = _Cached(answer, until)
            return answer
        raise last

    async def _lookup_at(self, entry: str, service: str) -> LookupAnswer:
        timeout = aiohttp.ClientTimeout(total=LOOKUP_TIMEOUT_S)
        url = f"http://{entry}/v1/lookup/{service}"
        try:
            async with self._session.get(url, timeout=timeout) as answer:
                data = await read_body(answer, MAX_LISTING_BYTES)
        except (aiohttp.ClientError, OSError, TimeoutError) as e:
            raise Refusal(Code.CONNECT_FAILED, repr(e)) from None
        if answer.status != 200:
            raise _refusal(data)
        return decode_json(data, LookupAnswer)

    async def request(
        self,
        service: str,
        path: str,
        method: str = "GET",
        body: bytes | None = None,
        deadline_ms: int = 2_000,
        attempts: int = MAX_ATTEMPTS,
        request_id: str = "",
    ) -> Reply:
        """Make a request and get its whole answer.

        A look-up is retried while time is left. A request that runs at most
        once is retried only with the same key.

        Raises:
          Refusal: there is no answer; its code says whether it may have run.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + deadline_ms / 1000
        request_id = request_id or secrets.token_hex(8)
        answer = await self._lookup_with_key(service)
        refusals = _Refusals()
        tried: list[str] = []
        for attempt in range(1, attempts + 1):
            entry = self._choose(answer.entries, tried)
            tried.append(entry)
            left_ms = int((deadline - loop.time()) * 1000)
            if left_ms <= 0:
                break
            head = self._headers(request_id, left_ms, answer.key)
            url = f"http://{entry}/s/{service}/{path}"
            try:
                return await self._send(method, url, head, body, left_ms, attempt)
            except Refusal as e:
                refusals.add(e)
            if refusals.is_final() or not await self._pause(refusals, deadline):
                break
        raise refusals.verdict()

    async def _lookup_with_key(self, service: str) -> LookupAnswer:
        """Look up a service; each request that needs a key gets one of its own."""
        answer = await self.lookup(service)
        return await self.lookup(service, fresh=True) if answer.key else answer

    def _headers(self, request_id: str, left_ms: int, key: str) -> dict[str, str]:
        """Return the headers of an attempt; a key only if there is one."""
        head = {
            h.CALLER: self._name,
            h.REQUEST_ID: request_id,
            h.DEADLINE: str(left_ms),
        }
        if key:
            head[h.KEY] = key
        return head

    async def _pause(self, refusals: "_Refusals", deadline: float) -> bool:
        """Wait before the next attempt; return False if that passes the deadline."""
        loop = asyncio.get_running_loop()
        left_s = deadline - loop.time()
        wait_s = _pause_s(refusals.last, refusals.count, left_s, self._rng)
        if loop.time() + wait_s >= deadline:
            return False
        await asyncio.sleep(wait_s)
        return True

    def _choose(self, entries: Sequence[LookupEntry], tried: list[str]) -> str:
        """Choose an entry by weight, the nearest region first, untried ones first."""
        untried = [e for e in entries if e.address not in tried] or list(entries)
        if not untried:
            return self._rng.choice(self._seeds)
        near = [e for e in untried if e.region == untried[0].region]
        return self._rng.choices(near, [e.weight for e in near])[0].address

    async def _send(
        self,
        method: str,
        url: str,
        head: dict[str, str],
        body: bytes | None,
        left_ms: int,
        attempt: int,
    ) -> Reply:
        timeout = aiohttp.ClientTimeout(total=left_ms / 1000 + ANSWER_GRACE_S)
        answer, data = await self._exchange(
            method, url, headers=head, data=body, timeout=timeout
        )
        return Reply(
            answer.status,
            data,
            answer.headers.get(h.REQUEST_ID, ""),
            answer.headers.get(h.SERVED_BY, ""),
            url.split("/")[2],
            attempt,
        )

    async def upload(
        self, service: str, path: str, chunks: AsyncIterator[bytes], length: int
    ) -> Reply:
        """Stream a body of `length` bytes once; the caller may begin again.

        Raises:
          Refusal: there is no answer; its code says whether it may have run.
        """
        answer = await self.lookup(service)
        entry = self._choose(answer.entries, [])
        request_id = secrets.token_hex(8)
        head = {
            h.CALLER: self._name,
            h.REQUEST_ID: request_id,
            "Content-Length": str(length),
        }
        response, data = await self._exchange(
            "POST",
            f"http://{entry}/s/{service}/{path}",
            headers=head,
            data=chunks,
            timeout=aiohttp.ClientTimeout(total=None),
            expect100=True,
        )
        served_by = response.headers.get(h.SERVED_BY, "")
        return Reply(response.status, data, request_id, served_by, entry, 1)

    async def _exchange(
        self,
        method: str,
        url: str,
        *,
        headers: dict[str, str],
        data: bytes | AsyncIterator[bytes] | None,
        timeout: aiohttp.ClientTimeout,
        expect100: bool = False,
    ) -> tuple[aiohttp.ClientResponse, bytes]:
        """Send one request and read its answer whole, with faults as refusals."""
        try:
            async with self._session.request(
                method,
                url,
                headers=headers,
                data=data,
                timeout=timeout,
                expect100=expect100,
            ) as answer:
                read = await answer.read()
        except aiohttp.ClientConnectorError as e:
            raise Refusal(Code.CONNECT_FAILED, str(e)) from None
        except (aiohttp.ClientError, OSError) as e:
            if isinstance(e, TimeoutError) and timeout.total is not None:
                raise Refusal(Code.DEADLINE_PASSED) from None
            raise Refusal(Code.ANSWER_LOST, repr(e)) from None
        if answer.headers.get(h.CODE, "0") != "0":
            raise _refusal(read)
        return answer, read


_FINAL = frozenset(
    {
        Code.UNKNOWN_SERVICE,
        Code.KEY_REQUIRED,
        Code.KEY_INVALID,
        Code.KEY_EXPIRED,
        Code.ISSUER_GONE,
        Code.BAD_REQUEST,
    }
)


def _refusal(data: bytes) -> Refusal:
    try:
        return refusal_from_problem(parse_json(data, Problem))
    except ConfigError:
        return Refusal(Code.ANSWER_LOST, "an answer that is not leverdoor's")


class _Refusals:
    """The refused attempts of one request."""

    def __init__(self) -> None:
        self.last = Refusal(Code.NOT_READY)
        self.count = 0
        self._may_have_run = False

    def add(self, refusal: Refusal) -> None:
        self.last = refusal
        self.count += 1
        if refusal.run is not Run.NO:
            self._may_have_run = True

    def is_final(self) -> bool:
        """Return whether no other attempt can do better."""
        return self.last.code in _FINAL

    def verdict(self) -> Refusal:
        """Return the last refusal, unless an earlier attempt may have run."""
        if self._may_have_run and self.last.run is Run.NO:
            detail = f"an earlier attempt may have run: {self.last}"
            return Refusal(Code.ANSWER_LOST, detail)
        return self.last


def _pause_s(last: Refusal, attempt: int, left_s: float, rng: Random) -> float:
    """Return how long to wait before the next attempt, in seconds.

    Nothing after a failed connection: another entry is tried. Else at least the
    Retry-After of the refusal, and longer at random, the later the attempt, but not
    past half of the time left, so that retries spread and one is left.
    """
    if last.code is Code.CONNECT_FAILED:
        return 0.0
    wait_s = (last.retry_after_ms or DEFAULT_WAIT_MS) / 1000
    longer_s = wait_s * 2.0 ** (attempt - 1) * rng.random()
    return max(wait_s, min(longer_s, left_s / 2))
