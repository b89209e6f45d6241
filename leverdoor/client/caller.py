# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""A caller's client: caches look-ups, fails over, and repeats only what is safe."""

import asyncio
import secrets
from collections.abc import AsyncIterator, Sequence
from random import Random

import aiohttp
import msgspec

from leverdoor import headers as h
from leverdoor.codec import parse_json
from leverdoor.errors import Code, ConfigError, Problem, Refusal, Run
from leverdoor.gate.lookups import LookupAnswer, LookupEntry
from leverdoor.gate.relay import refusal_of
from leverdoor.sessions import new_session

__all__ = ["Caller", "Reply"]

MAX_ATTEMPTS = 8
"""Attempts of one call at most; chosen, more than any site has entries named."""
LOOKUP_TIMEOUT_S = 2.0
"""Longest time of a look-up, in seconds; chosen, not measured."""
DEFAULT_WAIT_MS = 100
"""Pause before a repeat where the answer names none, in ms; chosen."""
ANSWER_GRACE_S = 0.25
"""A refusal at the deadline is still heard, since it says whether it ran."""


class Reply(msgspec.Struct, frozen=True):
    """A whole answer."""

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
          entries: addresses of some entry VMs, to ask first.
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
        """Ask which entry VMs to use; answers are cached for their time to live.

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
                answer = await self._ask(entry, service)
            except Refusal as e:
                last = e
                continue
            until = now + answer.ttl_ms / 1000
            self._cache[service] = _Cached(answer, until)
            return answer
        raise last

    async def _ask(self, entry: str, service: str) -> LookupAnswer:
        timeout = aiohttp.ClientTimeout(total=LOOKUP_TIMEOUT_S)
        url = f"http://{entry}/v1/lookup/{service}"
        try:
            async with self._session.get(url, timeout=timeout) as answer:
                data = await answer.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as e:
            raise Refusal(Code.CONNECT_FAILED, repr(e)) from None
        if answer.status != 200:
            raise _refusal(data)
        return msgspec.json.decode(data, type=LookupAnswer)

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

        A look-up is repeated while time is left. A request that runs at most
        once is repeated only with the same key.

        Raises:
          Refusal: there is no answer; its code says whether it may have run.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + deadline_ms / 1000
        request_id = request_id or secrets.token_hex(8)
        answer = await self.lookup(service)
        key = ""
        if answer.key:
            answer = await self.lookup(service, fresh=True)
            key = answer.key
        last = Refusal(Code.NOT_READY)
        ran = Run.NO
        tried: list[str] = []
        for attempt in range(1, attempts + 1):
            entry = self._choose(answer.entries, tried, keyed=bool(key))
            tried.append(entry)
            left_ms = int((deadline - loop.time()) * 1000)
            if left_ms <= 0:
                break
            head = self._headers(request_id, left_ms, key)
            url = f"http://{entry}/s/{service}/{path}"
            try:
                return await self._send(method, url, head, body, left_ms, attempt)
            except Refusal as e:
                last = e
                if e.run is not Run.NO:
                    ran = Run.MAYBE
                if e.code in _FINAL:
                    break
            wait_s = self._pause_s(last, attempt, deadline - loop.time())
            if loop.time() + wait_s >= deadline:
                break
            await asyncio.sleep(wait_s)
        if ran is Run.MAYBE and last.run is Run.NO:
            raise Refusal(Code.ANSWER_LOST, f"an earlier attempt may have run: {last}")
        raise last

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

    def _pause_s(self, last: Refusal, attempt: int, left_s: float) -> float:
        """Return how long to wait before the next attempt, in seconds.

        At least the time that the refusal names; longer at random, the later the
        attempt, but not past half of the time left.
        """
        if last.code is Code.CONNECT_FAILED:
            return 0.0
        wait_s = (last.retry_after_ms or DEFAULT_WAIT_MS) / 1000
        longer_s = wait_s * 2.0 ** (attempt - 1) * self._rng.random()
        return max(wait_s, min(longer_s, left_s / 2))

    def _choose(
        self, entries: Sequence[LookupEntry], tried: list[str], keyed: bool
    ) -> str:
        """Choose an entry by weight, the nearest region first, untried ones first.

        The entry that issued a key comes first for it.
        """
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
        try:
            async with self._session.request(
                method, url, headers=head, data=body, timeout=timeout
            ) as answer:
                data = await answer.read()
        except aiohttp.ClientConnectorError as e:
            raise Refusal(Code.CONNECT_FAILED, str(e)) from None
        except TimeoutError:
            raise Refusal(Code.DEADLINE_PASSED) from None
        except (aiohttp.ClientError, OSError) as e:
            raise Refusal(Code.ANSWER_LOST, repr(e)) from None
        if answer.headers.get(h.CODE, "0") != "0":
            raise _refusal(data)
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
        """Stream a body once; it is the caller's to begin again.

        Raises:
          Refusal: there is no answer; its code says whether it may have run.
        """
        answer = await self.lookup(service)
        entry = self._choose(answer.entries, [], keyed=False)
        request_id = secrets.token_hex(8)
        head = {
            h.CALLER: self._name,
            h.REQUEST_ID: request_id,
            "Content-Length": str(length),
        }
        url = f"http://{entry}/s/{service}/{path}"
        timeout = aiohttp.ClientTimeout(total=None)
        try:
            async with self._session.post(
                url, headers=head, data=chunks, timeout=timeout, expect100=True
            ) as response:
                data = await response.read()
        except aiohttp.ClientConnectorError as e:
            raise Refusal(Code.CONNECT_FAILED, str(e)) from None
        except (aiohttp.ClientError, OSError) as e:
            raise Refusal(Code.ANSWER_LOST, repr(e)) from None
        if response.headers.get(h.CODE, "0") != "0":
            raise _refusal(data)
        served_by = response.headers.get(h.SERVED_BY, "")
        return Reply(response.status, data, request_id, served_by, entry, 1)


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
        return refusal_of(parse_json(data, Problem))
    except ConfigError:
        return Refusal(Code.ANSWER_LOST, "an answer that is not leverdoor's")
