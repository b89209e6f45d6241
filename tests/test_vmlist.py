# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Contract of the VM list client, and detection of terminated processes."""

from collections.abc import AsyncIterator

import msgspec
import pytest
from aiohttp.test_utils import TestServer

from leverdoor.errors import LeverdoorError
from leverdoor.standins.vms import VmListStandin
from leverdoor.storage.vm_list_client import (
    DepartureTracker,
    HttpVmList,
    Vm,
    VmState,
    parse_vms,
)

LISTED = [Vm("a"), Vm("b", VmState.LEAVING)]


def serialize_vms(vms: list[Vm]) -> bytes:
    return msgspec.json.encode(vms)


@pytest.fixture
async def vm_list() -> AsyncIterator[HttpVmList]:
    server = TestServer(VmListStandin(LISTED).app())
    await server.start_server()
    client = HttpVmList(str(server.make_url("/vms")))
    yield client
    await client.close()
    await server.close()


async def test_client_reads_the_list(vm_list: HttpVmList) -> None:
    assert await vm_list.fetch() == LISTED


async def test_unreachable_list_is_an_error() -> None:
    client = HttpVmList("http://127.0.0.1:9/vms")
    with pytest.raises(LeverdoorError):
        await client.fetch()
    await client.close()


def test_parser_accepts_serialized_lists_and_rejects_others() -> None:
    assert parse_vms(serialize_vms(LISTED)) == LISTED
    with pytest.raises(LeverdoorError):
        parse_vms(b"{}")


KNOWN = {"a": {"a|g|1"}}


def test_processes_of_a_vm_absent_for_longer_than_the_lag_are_gone() -> None:
    tracker = DepartureTracker(10.0)
    assert tracker.observe(set(), KNOWN, 0.0) == set()
    assert tracker.observe(set(), KNOWN, 10.0) == set()
    assert tracker.observe(set(), KNOWN, 10.1) == {"a|g|1"}


def test_reappearance_of_a_vm_restarts_the_wait() -> None:
    tracker = DepartureTracker(10.0)
    tracker.observe(set(), KNOWN, 0.0)
    tracker.observe({"a"}, KNOWN, 9.0)
    assert tracker.observe(set(), KNOWN, 11.0) == set()
    assert tracker.observe(set(), KNOWN, 21.1) == {"a|g|1"}


def test_process_started_after_the_first_absence_is_not_gone() -> None:
    """The VM restarts while it is still absent from the list."""
    tracker = DepartureTracker(10.0)
    tracker.observe(set(), KNOWN, 0.0)
    restarted = {"a": {"a|g|1", "a|g|2"}}
    assert tracker.observe(set(), restarted, 10.1) == {"a|g|1"}
    assert tracker.observe(set(), restarted, 15.0) == set()
    assert tracker.observe({"a"}, restarted, 18.0) == set()
