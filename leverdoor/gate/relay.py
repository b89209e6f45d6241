# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""One hop of a request: to a target, or to a gate that holds its slots.

Owns the HTTP connections to targets and gates: kept ones for look-ups, a new one each
time for what must run at most once. Never retries by itself. Relies on the deadline of
the hop and on deadlines of the sockets; no other timer ends a hop.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp
import msgspec
from multidict import CIMultiDict
from yarl import URL

from leverdoor import headers as h
from leverdoor.errors import Code, Problem, Refusal, Run
from leverdoor.sessions import new_session

__all__ = ["Answer", "Body", "Hop", "HopClient"]

CONNECT_TIMEOUT_S = 1.0
"""Longest time to connect to a target or gate, in seconds.

Far above the 55 ms between regions. A longer one spends the deadline on a dead
VM; a shorter one takes a busy target for a dead one.
"""
BUFFERED_ANSWER = 256 * 1024
"""Bytes of an answer read ahead of a slow caller.

Most answers are shorter, so that their slot is free at once; it bounds the memory of
each request.
"""
RELAY_GRACE_S = 0.1
"""Seconds past the deadline for which the answer of another gate is awaited.

A gate that refuses at the deadline says whether the request ran, which a time-out here
doesn't.
"""


class Body:
    """A request's body: whole in memory, or a stream that is read once."""

    def __init__(
        self,
        whole: bytes | None,
        stream: aiohttp.StreamReader | None,
        length: int | None,
        stall_s: float,
    ) -> None:
        """Create a body.

        Args:
          whole: all of it, if it is in memory.
          stream: where it comes from otherwise.
          length: its length in bytes, if it was announced.
          stall_s: longest pause of the stream, in seconds.
        """
        self.whole = whole
        self.length = length
        self.touched = False
        self.on_start: Callable[[], Awaitable[None]] | None = None
        self._stream = stream
        self._stall_s = stall_s

    @property
    def replayable(self) -> bool:
        """Return whether the body can be sent again."""
        return self.whole is not None or not self.touched

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the stream; any fault ends the hop without a whole body."""
        assert self._stream is not None
        self.touched = True
        if self.on_start is not None:
            await self.on_start()
        sent = 0
        while True:
            async with asyncio.timeout(self._stall_s):
                chunk = await self._stream.readany()
            if not chunk:
                break
            sent += len(chunk)
            yield chunk
        if self.length is not None and sent != self.length:
            raise aiohttp.ClientPayloadError("the body was cut short")


class Hop(msgspec.Struct):
    """What is sent to the next process."""

    method: str
    url: str
    headers: list[tuple[str, str]]
    body: Body
    deadline: float
    stall_s: float
    once: bool
    relay: bool


class Answer:
    """An answer whose head has come and whose body is still to be read."""

    def __init__(self, response: aiohttp.ClientResponse, relay: bool) -> None:
        """Wrap a response.

        Args:
          response: the response, its body unread.
          relay: whether it comes from a gate rather than a target.
        """
        self._response = response
        self.status = response.status
        self.relay = relay
        connection = response.headers.get("Connection", "")
        self.headers = h.forwardable_headers(response.headers.items(), connection)
        self.served_by = response.headers.get(h.SERVED_BY, "") if relay else ""
        self.leaving = not relay and h.LEAVING in response.headers
        self.shed = (
            not relay and response.status == 503 and h.NOT_RUN in response.headers
        )

    @property
    def delimited(self) -> bool:
        """Return whether the end of the body can be distinguished from a cut."""
        head = self._response.headers
        bodyless = self.status in (204, 304) or self._response.method == "HEAD"
        return bodyless or "Content-Length" in head or "Transfer-Encoding" in head

    async def problem(self) -> Problem | None:
        """Return the refusal that a gate sent in place of an answer, if any."""
        code = self._response.headers.get(h.CODE, "0")
        if not self.relay or code == "0":
            return None
        data = await self._response.read()
        return msgspec.json.decode(data, type=Problem)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body.

        Raises:
          Refusal: ANSWER_LOST when it is cut short.
        """
        try:
            async for chunk in self._response.content.iter_any():
                yield chunk
        except TimeoutError:
            raise Refusal(Code.DEADLINE_PASSED, "the answer came too late") from None
        except (aiohttp.ClientError, OSError) as e:
            raise Refusal(Code.ANSWER_LOST, f"cut short: {e!r}") from None

    def close(self) -> None:
        """Close the connection, which cancels the request if it still runs."""
        self._response.close()

    def release(self) -> None:
        """Give the connection back after the body was read whole."""
        self._response.release()


class HopClient:
    """Sends hops; it never retries one by itself."""

    def __init__(self) -> None:
        """Create the client; must be called on the loop."""
        self._kept = new_session()
        self._fresh = new_session(keep_connections=False)

    async def close(self) -> None:
        """Close all connections."""
        await self._kept.close()
        await self._fresh.close()

    async def send(self, hop: Hop, now: float) -> Answer:
        """Send a request and wait for the answer's head.

        Args:
          hop: what to send.
          now: loop time in seconds.
        Raises:
          Refusal: CONNECT_FAILED if nothing was sent; ANSWER_LOST or
            DEADLINE_PASSED if it may have run.
        """
        response = await self._begin(hop, now)
        answer = Answer(response, hop.relay)
        if not answer.delimited:
            answer.close()
            raise Refusal(Code.ANSWER_LOST, "the answer's end cannot be told")
        return answer

    async def _begin(self, hop: Hop, now: float) -> aiohttp.ClientResponse:
        """Send the request and wait for the head, with faults as refusals."""
        session = self._fresh if hop.once else self._kept
        streamed = hop.body.whole is None
        head = CIMultiDict(hop.headers)
        if streamed and hop.body.length is not None:
            head["Content-Length"] = str(hop.body.length)
        try:
            return await session.request(
                hop.method,
                URL(hop.url, encoded=True),
                headers=head,
                data=hop.body.chunks() if streamed else (hop.body.whole or None),
                timeout=_timeout(hop, now),
                allow_redirects=False,
                expect100=streamed and hop.relay,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as e:
            raise Refusal(Code.CONNECT_FAILED, str(e)) from None
        except TimeoutError:
            raise Refusal(Code.DEADLINE_PASSED) from None
        except (aiohttp.ClientError, OSError) as e:
            raise Refusal(Code.ANSWER_LOST, repr(e)) from None


def _timeout(hop: Hop, now: float) -> aiohttp.ClientTimeout:
    """Return the bounds of a hop: its deadline, or the longest pause of a stream."""
    streamed = hop.body.whole is None
    grace_s = RELAY_GRACE_S if hop.relay else 0.0
    return aiohttp.ClientTimeout(
        total=None if streamed else max(hop.deadline - now, 0.001) + grace_s,
        sock_connect=CONNECT_TIMEOUT_S,
        sock_read=hop.stall_s if streamed else None,
    )


def refusal_of(problem: Problem) -> Refusal:
    """Turn a problem that a gate sent back into the error it was."""
    try:
        code = Code(problem.code)
    except ValueError:
        code = Code.ANSWER_LOST if problem.run is not Run.NO else Code.NOT_READY
    return Refusal(code, problem.detail, retry_after_ms=problem.retry_after_ms)
