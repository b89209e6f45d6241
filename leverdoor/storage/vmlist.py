# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The platform's list of VMs: its HTTP client, and which absent VMs are gone.

State: `DepartureTracker` keeps in memory since when each VM is absent; a restart of the
agent forgets it, and each wait begins again. Relies on the list being at most
`lag_s` old, as the agent's settings say.
"""

from enum import StrEnum

import aiohttp
import msgspec

from leverdoor.errors import Code, ConfigError, LeverdoorError
from leverdoor.sessions import new_session

__all__ = ["DepartureTracker", "HttpVmList", "Vm", "VmState", "parse_vms"]

FETCH_TIMEOUT_S = 2.0
"""Longest time to fetch the list, in seconds.

Longer, and a list that does not answer would hold up the next reading; shorter, and a
slow list would read as one that is down.
"""


class VmState(StrEnum):
    """State of a VM by the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(msgspec.Struct, frozen=True):
    """One VM on the list."""

    vm: str
    state: VmState = VmState.LIVE


class HttpVmList:
    """The list over HTTP: `GET url` answers a JSON array of VMs."""

    def __init__(self, url: str) -> None:
        """Create a client for one URL."""
        self._url = url
        self._session: aiohttp.ClientSession | None = None

    async def fetch(self) -> list[Vm]:
        """Read the list as the platform has it now, which may lag.

        Raises:
          LeverdoorError: STORE_UNAVAILABLE, the list cannot be read.
        """
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
    """Parse the list from JSON.

    Raises:
      ConfigError: MALFORMED.
    """
    try:
        return msgspec.json.decode(data, type=list[Vm])
    except msgspec.MsgspecError as e:
        raise ConfigError(Code.MALFORMED, str(e)) from None


class _Absence(msgspec.Struct, frozen=True):
    """A VM that the list lacks."""

    since: float
    """Monotonic time before the reading that first lacked it, in seconds."""
    processes: frozenset[str]
    """Identities of its processes known then."""


class DepartureTracker:
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
        self._absent: dict[str, _Absence] = {}

    def observe(
        self, listed: set[str], known: dict[str, set[str]], read_at: float
    ) -> set[str]:
        """Take one reading of the list.

        Args:
          listed: VMs on the list.
          known: identities of the processes known on each VM before the reading.
          read_at: monotonic time just before the list was requested, in seconds.
        Returns: identities of processes proved to be gone.
        """
        gone: set[str] = set()
        for vm in list(self._absent):
            if vm in listed or vm not in known:
                del self._absent[vm]
        for vm, processes in known.items():
            if vm in listed:
                continue
            absence = _Absence(read_at, frozenset(processes))
            first = self._absent.setdefault(vm, absence)
            if read_at - first.since > self._lag_s:
                gone |= first.processes
                self._absent[vm] = absence
        return gone
