# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""HTTP client for one hop of a request, to a target or to another gate.

Owns the HTTP connections to targets and gates, which are closed with the process. It
reuses connections for requests that may run more than once and opens a new one for each
request that must run at most once. It never retries. Relies on the connect timeout and,
for a buffered request body, on the deadline, which RELAY_GRACE_S extends for a hop to a
gate. A streamed request body has idle timeouts and no deadline. No other timer ends a
hop.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp
import msgspec
from multidict import CIMultiDict
from yarl import URL

from leverdoor import headers as h
from leverdoor.codec import decode_json
from leverdoor.errors import Code, Problem, Refusal, Run
from leverdoor.http.reply_proof import Proof, ReplyNames, prove_reply
from leverdoor.sessions import MAX_REPORT_BYTES, new_session, read_body

__all__ = ["HopResponse", "Body", "Hop", "HopClient"]

CONNECT_TIMEOUT_S = 1.0
"""Connect timeout for targets and gates, in seconds.

Far above the latency of 55 ms between regions. A longer timeout uses up the request's
deadline at a failed VM; a shorter one treats a busy target as failed.
"""
READ_AHEAD_BYTES = 256 * 1024
"""Bytes of a response read ahead of a slow caller.

Most responses fit; their slot is released before the caller has read them. The limit
bounds the memory of each request.
"""
RELAY_GRACE_S = 0.1
"""Time to wait past the deadline for another gate's response, in seconds.

A gate that refuses at the deadline reports whether the request ran; a timeout at this
gate does not.
"""

REPLY_NAMES = ReplyNames(h.REQUEST_ID.lower(), always_named=False)
"""What proves the replies of targets and gates; both may leave the id out."""


class Body:
    """A request body, either buffered or a stream that is read once."""

    def __init__(
        self,
        buffered: bytes | None,
        stream: aiohttp.StreamReader | None,
        length: int | None,
        idle_timeout_s: float,
    ) -> None:
        """Create a body.

        Args:
          buffered: the complete body; None for a stream.
          stream: the source of an unbuffered body.
          length: the declared length in bytes, if any.
          idle_timeout_s: maximum time between two chunks of the stream, in seconds.
        """
        self.buffered = buffered
        self.length = length
        self.consumed = False
        self.before_read: Callable[[], Awaitable[None]] | None = None
        self._stream = stream
        self._idle_timeout_s = idle_timeout_s

    @property
    def replayable(self) -> bool:
        """Return whether the body can be sent again."""
        return self.buffered is not None or not self.consumed

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the stream.

        An exception closes the connection, so that the receiver detects the truncation.
        """
        assert self._stream is not None
        self.consumed = True
        if self.before_read is not None:
            await self.before_read()
        sent = 0
        while True:
            async with asyncio.timeout(self._idle_timeout_s):
                chunk = await self._stream.readany()
            if not chunk:
                break
            sent += len(chunk)
            yield chunk
        if self.length is not None and sent != self.length:
            raise aiohttp.ClientPayloadError(
                "the request body ended before its Content-Length"
            )


class Hop(msgspec.Struct):
    """A request to the next process.

    `deadline` is a loop time in seconds. `at_most_once` requires a new connection;
    `relay` marks a gate as the receiver.
    """

    method: str
    url: str
    headers: list[tuple[str, str]]
    body: Body
    deadline: float
    idle_timeout_s: float
    at_most_once: bool
    relay: bool


class HopResponse:
    """A response whose head is received and whose body is unread."""

    def __init__(self, response: aiohttp.ClientResponse, relay: bool) -> None:
        """Wrap a response.

        Args:
          response: the response, its body unread.
          relay: whether the response comes from a gate rather than a target.
        """
        self._response = response
        self.status = response.status
        self.relay = relay
        connection = response.headers.get("Connection", "")
        self.headers = h.forwardable_headers(response.headers.items(), connection)
        self.served_by = response.headers.get(h.SERVED_BY, "") if relay else ""
        self.leaving = not relay and h.LEAVING in response.headers
        # A 503 without this header does not prove that the request did not run.
        self.shed = (
            not relay and response.status == 503 and h.NOT_RUN in response.headers
        )

    @property
    def delimited(self) -> bool:
        """Return whether a truncated body can be detected."""
        head = self._response.headers
        bodyless = self.status in (204, 304) or self._response.method == "HEAD"
        return bodyless or "Content-Length" in head or "Transfer-Encoding" in head

    async def problem(self) -> Problem | None:
        """Return the refusal that a gate sent instead of a response, if any.

        Raises:
          Refusal: ANSWER_LOST, the refusal cannot be read.
        """
        code = self._response.headers.get(h.CODE, "0")
        if not self.relay or code == "0":
            return None
        try:
            data = await read_body(self._response, MAX_REPORT_BYTES)
            return decode_json(data, Problem)
        except (aiohttp.ClientError, OSError, msgspec.MsgspecError) as e:
            self.close()
            raise Refusal(Code.ANSWER_LOST, f"unreadable refusal: {e}") from None

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body.

        Raises:
          Refusal: ANSWER_LOST if the body is truncated; DEADLINE_PASSED on timeout.
        """
        try:
            async for chunk in self._response.content.iter_any():
                yield chunk
        except TimeoutError:
            raise Refusal(Code.DEADLINE_PASSED, "the response body timed out") from None
        except (aiohttp.ClientError, OSError) as e:
            raise Refusal(
                Code.ANSWER_LOST, f"the response body was truncated: {e!r}"
            ) from None

    def close(self) -> None:
        """Close the connection, which cancels a request that is still running."""
        self._response.close()

    def release(self) -> None:
        """Return the connection to the pool after the complete body was read."""
        self._response.release()


class HopClient:
    """Sends requests to targets and gates without retries."""

    def __init__(self) -> None:
        """Create a client; must be called on the event loop."""
        self._pooled_session = new_session()
        self._unpooled_session = new_session(keep_connections=False)

    async def close(self) -> None:
        """Close all connections."""
        await self._pooled_session.close()
        await self._unpooled_session.close()

    async def send(self, hop: Hop, now: float) -> HopResponse:
        """Send a request and wait for the response head.

        Args:
          hop: the request.
          now: loop time in seconds.
        Raises:
          Refusal: CONNECT_FAILED if nothing was sent; ANSWER_LOST or
            DEADLINE_PASSED if the request may have run.
        """
        response = await self._send_request(hop, now)
        answer = HopResponse(response, hop.relay)
        if not _is_own(response, hop):
            answer.close()
            raise Refusal(Code.ANSWER_LOST, "the response names another request")
        if not answer.delimited:
            answer.close()
            raise Refusal(
                Code.ANSWER_LOST,
                "the response has neither Content-Length nor Transfer-Encoding",
            )
        return answer

    async def _send_request(self, hop: Hop, now: float) -> aiohttp.ClientResponse:
        """Send a request and wait for the head; convert errors to refusals."""
        session = self._unpooled_session if hop.at_most_once else self._pooled_session
        streamed = hop.body.buffered is None
        head = CIMultiDict(hop.headers)
        if streamed and hop.body.length is not None:
            head["Content-Length"] = str(hop.body.length)
        try:
            return await session.request(
                hop.method,
                URL(hop.url, encoded=True),
                headers=head,
                data=hop.body.chunks() if streamed else (hop.body.buffered or None),
                timeout=_timeout(hop, now),
                allow_redirects=False,
                # A gate sends 100 Continue when it starts to read the body.
                expect100=streamed and hop.relay,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as e:
            raise Refusal(Code.CONNECT_FAILED, str(e)) from None
        except TimeoutError:
            raise Refusal(Code.DEADLINE_PASSED) from None
        except (aiohttp.ClientError, OSError) as e:
            raise Refusal(Code.ANSWER_LOST, repr(e)) from None


def _is_own(response: aiohttp.ClientResponse, hop: Hop) -> bool:
    """Return whether a response belongs to the request of a hop."""
    request_id = next((v for n, v in hop.headers if n == h.REQUEST_ID), "")
    found = prove_reply(
        REPLY_NAMES,
        request_id,
        response.status,
        lambda name: str(response.headers.get(name, "")),
    )
    return found is Proof.OWN


def _timeout(hop: Hop, now: float) -> aiohttp.ClientTimeout:
    """Return the timeouts of a hop: its deadline, or the idle timeout of a stream."""
    streamed = hop.body.buffered is None
    grace_s = RELAY_GRACE_S if hop.relay else 0.0
    return aiohttp.ClientTimeout(
        total=None if streamed else max(hop.deadline - now, 0.001) + grace_s,
        sock_connect=CONNECT_TIMEOUT_S,
        sock_read=hop.idle_timeout_s if streamed else None,
    )


def refusal_from_problem(problem: Problem) -> Refusal:
    """Convert a problem that a gate sent to a refusal.

    An unknown code becomes NOT_READY if the request did not run, else ANSWER_LOST.
    """
    try:
        code = Code(problem.code)
    except ValueError:
        code = Code.ANSWER_LOST if problem.run is not Run.NO else Code.NOT_READY
    return Refusal(code, problem.detail, retry_after_ms=problem.retry_after_ms)
