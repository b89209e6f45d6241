# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Contract of the VM list, and what may be concluded from it."""

from collections.abc import AsyncIterator

import msgspec
import pytest
from aiohttp.test_utils import TestServer

from leverdoor.errors import LeverdoorError
from leverdoor.standins.vms import VmListStandin
from leverdoor.storage.vmlist import (
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


async def test_the_list_is_read(vm_list: HttpVmList) -> None:
    assert await vm_list.fetch() == LISTED


async def test_a_list_that_cannot_be_read_is_an_error() -> None:
    client = HttpVmList("http://127.0.0.1:9/vms")
    with pytest.raises(LeverdoorError):
        await client.fetch()
    await client.close()


def test_parse_and_serialize_agree() -> None:
    assert parse_vms(serialize_vms(LISTED)) == LISTED
    with pytest.raises(LeverdoorError):
        parse_vms(b"{}")


KNOWN = {"a": {"a|g|1"}}


def test_a_vm_absent_for_longer_than_the_lag_is_gone() -> None:
    d = DepartureTracker(10.0)
    assert d.observe(set(), KNOWN, 0.0) == set()
    assert d.observe(set(), KNOWN, 10.0) == set()
    assert d.observe(set(), KNOWN, 10.1) == {"a|g|1"}


def test_one_sight_of_a_vm_starts_the_wait_again() -> None:
    d = DepartureTracker(10.0)
    d.observe(set(), KNOWN, 0.0)
    d.observe({"a"}, KNOWN, 9.0)
    assert d.observe(set(), KNOWN, 11.0) == set()
    assert d.observe(set(), KNOWN, 21.1) == {"a|g|1"}


def test_a_process_that_came_back_is_not_covered() -> None:
    """The VM died, came back, and the list still lacks it."""
    d = DepartureTracker(10.0)
    d.observe(set(), KNOWN, 0.0)
    back = {"a": {"a|g|1", "a|g|2"}}
    assert d.observe(set(), back, 10.1) == {"a|g|1"}
    assert d.observe(set(), back, 15.0) == set()
    assert d.observe({"a"}, back, 18.0) == set()
