# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""HTTP client of the platform's VM list, and detection of terminated processes.

`DepartureTracker` owns the start of each VM's absence from the list. It is lost with
the process, and each wait starts again. Relies on the list being at most `lag_s` old, a
setting of the agent.
"""

from enum import StrEnum

import aiohttp
import msgspec

from leverdoor.codec import decode_json
from leverdoor.errors import Code, ConfigError, LeverdoorError
from leverdoor.sessions import MAX_LISTING_BYTES, new_session, read_body

__all__ = ["DepartureTracker", "HttpVmList", "Vm", "VmState", "parse_vms"]

FETCH_TIMEOUT_S = 2.0
"""Timeout of a request for the list, in seconds.

With a longer one, a list that does not respond delays the next reading; with a shorter
one, a slow list counts as unavailable.
"""


class VmState(StrEnum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(msgspec.Struct, frozen=True):
    """One VM on the list."""

    vm: str
    state: VmState = VmState.LIVE


class HttpVmList:
    """Reads the list over HTTP: `GET url` returns a JSON array of VMs."""

    def __init__(self, url: str) -> None:
        """Create a client for one URL."""
        self._url = url
        self._session: aiohttp.ClientSession | None = None

    async def fetch(self) -> list[Vm]:
        """Read the current list, which may lag behind the platform.

        Raises:
          LeverdoorError: the list cannot be read; the code is STORE_UNAVAILABLE, as
            for the store.
        """
        if self._session is None:
            self._session = new_session(FETCH_TIMEOUT_S)
        try:
            async with self._session.get(self._url) as response:
                response.raise_for_status()
                return parse_vms(await read_body(response, MAX_LISTING_BYTES))
        except (aiohttp.ClientError, OSError, TimeoutError, ConfigError) as e:
            raise LeverdoorError(Code.STORE_UNAVAILABLE, f"VM list: {e!r}") from None

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()


def parse_vms(data: bytes) -> list[Vm]:
    """Parse the list from JSON.

    Raises:
      ConfigError: MALFORMED, the data is not a JSON array of VMs.
    """
    try:
        return decode_json(data, list[Vm])
    except msgspec.MsgspecError as e:
        raise ConfigError(Code.MALFORMED, str(e)) from None


class _Absence(msgspec.Struct, frozen=True):
    """The absence of a VM from the list."""

    since: float
    """Monotonic time just before the reading that started the wait, in seconds."""
    processes: frozenset[str]
    """Identities of the processes known on the VM at that time."""


class DepartureTracker:
    """Determines which processes of VMs absent from the list have terminated.

    A reading shows the platform as it was at most `lag_s` earlier. If a VM is absent
    from one reading and from another more than `lag_s` later, the later reading shows
    the platform at a time after the first one, and the VM did not exist then. The
    processes known on it at the first reading have therefore terminated. Processes that
    started later are not reported.
    """

    def __init__(self, lag_s: float) -> None:
        """Create a tracker without absences.

        Args:
          lag_s: upper bound of the list's lag, in seconds.
        """
        self._lag_s = lag_s
        self._absent: dict[str, _Absence] = {}

    def observe(
        self, listed: set[str], known: dict[str, set[str]], read_at: float
    ) -> set[str]:
        """Record one reading of the list and return the terminated processes.

        Args:
          listed: the VMs in the list.
          known: identities of the processes known on each VM before the reading.
          read_at: monotonic time just before the list was requested, in seconds.
        Returns: identities of the processes that have terminated.
        """
        gone: set[str] = set()
        for vm in list(self._absent):
            if vm in listed or vm not in known:
                del self._absent[vm]
        for vm, processes in known.items():
            if vm in listed:
                continue
            absence = _Absence(read_at, frozenset(processes))
            recorded = self._absent.setdefault(vm, absence)
            if read_at - recorded.since > self._lag_s:
                gone |= recorded.processes
                self._absent[vm] = absence
        return gone
