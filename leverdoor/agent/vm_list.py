# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What one agent reads from the VM list: VMs that leave, processes that are gone.

Owns the last reading and the processes proved to be gone by it; both start empty with
the process and are read again. Relies on the VM list, which lags: a process counts as
gone only if its VM was absent for longer than that lag (`storage/vmlist.py`) and no
heartbeat of it comes any more.
"""

import asyncio
import math

from leverdoor.membership.ownership import Table
from leverdoor.membership.peers import Peers
from leverdoor.settings import AgentSettings
from leverdoor.storage.vmlist import DepartureTracker, HttpVmList, VmState

__all__ = ["VmListMonitor"]

DEPARTED_KEPT_S = 120.0
"""How long a process that is gone is named in heartbeats, in seconds.

Twice the time after which peers forget a silent VM, so that a late heartbeat doesn't
bring it back into the ownership table.
"""


class VmListMonitor:
    """Reads the VM list for one agent."""

    def __init__(self, settings: AgentSettings) -> None:
        """Create it; must be called on the loop."""
        self.leaving: frozenset[str] = frozenset()
        self._departed: dict[str, float] = {}
        self._list = HttpVmList(settings.vm_list)
        self._lag_s = settings.vm_list_lag_ms / 1000
        self._departures = DepartureTracker(self._lag_s)
        self._read_at = -math.inf
        """When the list was last read, in seconds of the loop's clock."""

    @property
    def departed(self) -> set[str]:
        """Identities of processes that this agent proved to be gone."""
        return set(self._departed)

    def pause(self, now: float) -> None:
        """Forget which VMs leave, while other agents read the list.

        Not before these had time to: agents that hand the reading on may all stop for
        a moment, while the store answers none of them.
        """
        if now - self._read_at > self._lag_s:
            self.leaving = frozenset()

    async def read(self, table: Table, peers: Peers) -> set[str]:
        """Read the list once.

        Args:
          table: the ownership table, which names the processes that matter.
          peers: whose fresh heartbeats outweigh the list.
        Returns: identities of processes proved to be gone by this reading.
        Raises:
          LeverdoorError: the list could not be read.
        """
        began = _now()
        known: dict[str, set[str]] = {}
        for m in table.members.values():
            known.setdefault(m.vm, set()).add(m.identity)
        vms = await self._list.fetch()
        self._read_at = _now()
        self.leaving = frozenset(v.vm for v in vms if v.state is VmState.LEAVING)
        absent = self._departures.observe({v.vm for v in vms}, known, began)
        gone = absent - {b.identity for b in peers.live_near(_now())}
        self._departed.update(dict.fromkeys(gone, began))
        self._forget(began)
        return gone

    def _forget(self, now: float) -> None:
        old = [i for i, at in self._departed.items() if now - at > DEPARTED_KEPT_S]
        for identity in old:
            del self._departed[identity]

    async def close(self) -> None:
        """Close the connections."""
        await self._list.close()


def _now() -> float:
    return asyncio.get_running_loop().time()
