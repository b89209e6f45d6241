# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Responses without end to the calls of agents, gates and operators."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from leverdoor.agent.probing import Prober
from leverdoor.errors import LeverdoorError
from leverdoor.model.position import Position
from leverdoor.process_memory import resident_bytes
from leverdoor.sessions import MAX_REPORT_BYTES, BodyTooLong, new_session, read_body
from leverdoor.standins.broken_targets import ENDLESS_REPLIES, BrokenReply, BrokenTarget
from leverdoor.storage.etcd import EtcdStore
from leverdoor.storage.vm_list_client import HttpVmList

BODIES = ("body-announced", "body-without-length", "body-in-chunks")
DEEP = b"[" * 50_000
WHOLE = ("after-a-reply", "replies-to-others")
"""Kinds that begin with a whole reply."""
GROWTH_BYTES = 64 * 1024 * 1024


@asynccontextmanager
async def broken(*replies: BrokenReply) -> AsyncIterator[list[str]]:
    """Run targets with broken replies; yields their addresses."""
    targets = [BrokenTarget("t", "look", "a1", reply) for reply in replies]
    try:
        for target in targets:
            await target.start()
        yield [target.address for target in targets]
    finally:
        for target in targets:
            await target.stop()


@pytest.mark.parametrize("kind", BODIES)
async def test_a_body_without_end_is_read_up_to_its_bound(kind: str) -> None:
    async with (
        broken(ENDLESS_REPLIES[kind]) as (address,),
        new_session() as session,
        session.get(f"http://{address}/") as response,
    ):
        with pytest.raises(BodyTooLong):
            await read_body(response, MAX_REPORT_BYTES)


async def test_probes_without_end_neither_fill_the_memory_nor_end_the_prober() -> None:
    """Guards against probes that read a body to its end."""
    deep = BrokenReply(
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(DEEP) + DEEP
    )
    before = resident_bytes()
    prober = Prober()
    try:
        async with broken(deep, *ENDLESS_REPLIES.values()) as addresses:
            found = await prober.probe(addresses)
    finally:
        await prober.close()
    results = zip(["deep", *ENDLESS_REPLIES], found.values(), strict=True)
    assert {kind for kind, probe in results if probe.ok} <= {*WHOLE}
    assert resident_bytes() - before < GROWTH_BYTES


@pytest.mark.parametrize("kind", BODIES)
async def test_a_listing_without_end_is_an_unavailable_store(kind: str) -> None:
    async with broken(ENDLESS_REPLIES[kind]) as (address,):
        vms = HttpVmList(f"http://{address}/vms")
        store = EtcdStore([f"http://{address}"])
        try:
            with pytest.raises(LeverdoorError):
                await vms.fetch()
            with pytest.raises(LeverdoorError):
                await store.read("/leverdoor/")
        finally:
            await vms.close()
            await store.close()


async def test_a_line_without_end_ends_a_watch() -> None:
    async with broken(ENDLESS_REPLIES["body-without-length"]) as (address,):
        store = EtcdStore([f"http://{address}"])
        try:
            with pytest.raises(LeverdoorError):
                async with asyncio.timeout(30):
                    async for _ in store.watch("/leverdoor/", Position(0, 1)):
                        pass
        finally:
            await store.close()
