# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Replies of targets at a gate that are cut off."""

import asyncio

import pytest

from leverdoor.errors import Refusal
from leverdoor.gate.hop_client import Body, Hop, HopClient
from leverdoor.standins.broken_targets import BrokenReply, BrokenTarget

LENGTH = b"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 4\r\n\r\nbody"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"4\r\nbody\r\n0\r\n\r\n"
)


async def receive(client: HopClient, address: str) -> bytes:
    """Send a request that may run once, and return its whole reply."""
    now = asyncio.get_running_loop().time()
    body = Body(b"", None, None, 5.0)
    url = f"http://{address}/"
    response = await client.send(
        Hop("GET", url, [], body, now + 10.0, 5.0, at_most_once=True, relay=False), now
    )
    return b"".join([chunk async for chunk in response.chunks()])


@pytest.mark.parametrize("reply", [LENGTH, CHUNKED])
async def test_a_reply_that_is_cut_at_any_byte_fails_at_a_gate(reply: bytes) -> None:
    """A part of a head framed an empty success."""
    target = BrokenTarget("t", "look", "a1", BrokenReply(reply))
    client = HopClient()
    await target.start()
    try:
        assert await receive(client, target.address) == b"body"
        for end in range(len(reply)):
            target.reply = BrokenReply(reply[:end])
            with pytest.raises(Refusal):
                await receive(client, target.address)
    finally:
        await client.close()
        await target.stop()
