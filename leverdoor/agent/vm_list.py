# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""One agent's readings of the VM list: leaving VMs and terminated processes.

Owns the leaving VMs of the last reading and the processes found to be terminated. Both
are lost with the process and determined again from new readings. Relies on the VM list,
which lags: a process counts as terminated only if its VM was absent for longer than
that lag (`storage/vm_list_client.py`) and its heartbeats have stopped.
"""

import asyncio
import math

from leverdoor.membership.ownership import Table
from leverdoor.membership.peers import Peers
from leverdoor.settings import AgentSettings
from leverdoor.storage.vm_list_client import DepartureTracker, HttpVmList, VmState

__all__ = ["VmListMonitor"]

DEPARTED_KEPT_S = 120.0
"""How long heartbeats list a terminated process, in seconds.

Twice the time after which peers forget a silent VM, so that a delayed heartbeat does
not add the process to the ownership table again.
"""


class VmListMonitor:
    """Reads the VM list for one agent and records what the readings show."""

    def __init__(self, settings: AgentSettings) -> None:
        """Create a monitor; requires a running event loop."""
        self.leaving: frozenset[str] = frozenset()
        self._departed: dict[str, float] = {}
        """Start time of the reading that found a process terminated, by identity."""
        self._list = HttpVmList(settings.vm_list)
        self._lag_s = settings.vm_list_lag_ms / 1000
        self._departures = DepartureTracker(self._lag_s)
        self._read_at = -math.inf
        """Time of the last successful reading, in seconds of the event loop's clock."""

    @property
    def departed(self) -> set[str]:
        """Identities of the processes that this agent found to be terminated."""
        return set(self._departed)

    def expire_leaving(self, now: float) -> None:
        """Clear the leaving VMs if the last reading is older than the lag of the list.

        Called while this agent is not elected to read the list. The delay covers the
        time until the elected agents have read it: while the store responds to none of
        the agents, the elected agents change and briefly none may read the list.
        """
        if now - self._read_at > self._lag_s:
            self.leaving = frozenset()

    async def read(self, table: Table, peers: Peers) -> set[str]:
        """Read the list once.

        Args:
          table: the ownership table, whose members are the processes to check.
          peers: the peers; a process with a recent heartbeat is not terminated.
        Returns: identities of the processes found to be terminated by this reading.
        Raises:
          LeverdoorError: the list could not be read.
        """
        started_at = _now()
        known: dict[str, set[str]] = {}
        for m in table.members.values():
            known.setdefault(m.vm, set()).add(m.identity)
        vms = await self._list.fetch()
        self._read_at = _now()
        self.leaving = frozenset(v.vm for v in vms if v.state is VmState.LEAVING)
        absent = self._departures.observe({v.vm for v in vms}, known, started_at)
        gone = absent - {b.identity for b in peers.live_heartbeats_in_region(_now())}
        self._departed.update(dict.fromkeys(gone, started_at))
        self._expire_departed(started_at)
        return gone

    def _expire_departed(self, now: float) -> None:
        expired = [i for i, at in self._departed.items() if now - at > DEPARTED_KEPT_S]
        for identity in expired:
            del self._departed[identity]

    async def close(self) -> None:
        """Close the connections."""
        await self._list.close()


def _now() -> float:
    return asyncio.get_running_loop().time()
