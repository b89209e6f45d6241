# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The platform's lagging list of VMs: interface, in-memory and HTTP client."""

from abc import ABC, abstractmethod
from enum import StrEnum

import aiohttp
import msgspec

from leverdoor.errors import Code, ConfigError, LeverdoorError
from leverdoor.sessions import new_session

__all__ = ["Departures", "HttpVmList", "MemoryVmList", "Vm", "VmList", "VmState"]

FETCH_TIMEOUT_S = 2.0
"""Longest time to fetch the list, in seconds; chosen."""


class VmState(StrEnum):
    """What the platform says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(msgspec.Struct, frozen=True):
    """One VM on the list."""

    vm: str
    state: VmState = VmState.LIVE


class VmList(ABC):
    """What leverdoor needs of the platform's list."""

    @abstractmethod
    async def fetch(self) -> list[Vm]:
        """Read the list as the platform has it now, which may lag.

        Raises:
          LeverdoorError: the list cannot be read.
        """

    async def close(self) -> None:  # noqa: B027
        """Give back connections; there may be none."""


class MemoryVmList(VmList):
    """The list in memory."""

    def __init__(self) -> None:
        """Create an empty list."""
        self.vms: dict[str, VmState] = {}
        self.down = False

    async def fetch(self) -> list[Vm]:
        """Read the list."""
        if self.down:
            raise LeverdoorError(Code.STORE_UNAVAILABLE, "the VM list is down")
        return [Vm(k, v) for k, v in sorted(self.vms.items())]


class HttpVmList(VmList):
    """The list over HTTP: `GET url` answers a JSON array of VMs."""

    def __init__(self, url: str) -> None:
        """Create a client for one URL."""
        self._url = url
        self._session: aiohttp.ClientSession | None = None

    async def fetch(self) -> list[Vm]:
        """Read the list."""
        if self._session is None:
            self._session = new_session(FETCH_TIMEOUT_S)
        try:
            async with self._session.get(self._url) as answer:
                answer.raise_for_status()
                return parse_vms(await answer.read())
        except (aiohttp.ClientError, OSError, TimeoutError, ConfigError) as e:
            raise LeverdoorError(Code.STORE_UNAVAILABLE, f"VM list: {e!r}") from None

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()


def parse_vms(data: bytes) -> list[Vm]:
    """Parse the list from JSON."""
    try:
        return msgspec.json.decode(data, type=list[Vm])
    except msgspec.MsgspecError as e:
        raise ConfigError(Code.MALFORMED, str(e)) from None


def serialize_vms(vms: list[Vm]) -> bytes:
    """Serialize the list as JSON."""
    return msgspec.json.encode(vms)


class Departures:
    """Decides which processes of absent VMs are proved to be gone.

    The list shows a moment at most `lag_s` old. A VM that a reading taken at
    least `lag_s` after the first absence still lacks was absent at a moment
    after that first reading, so every process seen on it before is dead. A
    process that started later is not covered, whatever the list says.
    """

    def __init__(self, lag_s: float) -> None:
        """Create it.

        Args:
          lag_s: upper bound of the list's lag, in seconds.
        """
        self._lag_s = lag_s
        self._absent: dict[str, tuple[float, frozenset[str]]] = {}

    def observe(
        self, listed: set[str], known: dict[str, set[str]], asked_at: float
    ) -> set[str]:
        """Take one reading of the list.

        Args:
          listed: VMs on the list.
          known: identities of the processes known on each VM before the reading.
          asked_at: monotonic time just before the list was asked for.
        Returns: identities of processes proved to be gone.
        """
        gone: set[str] = set()
        for vm in list(self._absent):
            if vm in listed or vm not in known:
                del self._absent[vm]
        for vm, processes in known.items():
            if vm in listed:
                continue
            first, covered = self._absent.setdefault(
                vm, (asked_at, frozenset(processes))
            )
            if asked_at - first > self._lag_s:
                gone |= covered
                self._absent[vm] = (asked_at, frozenset(processes))
        return gone
