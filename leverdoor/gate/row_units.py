# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Exact accounting of the units that the ownership table grants to this gate.

Owns the units in use, settling and in cooldown of this process, by row. They are lost
when the process ends; a new process starts without units under a new incarnation.
Together with `membership/ownership.py` this module implements the safety argument of
docs/DESIGN.md: new units become usable after a settle time, released units count as
used during a cooldown, and `ack` reports the version of the table and the rows with
more units used than granted. Relies on the table alone, never on heartbeats.
"""

import heapq
from collections.abc import Mapping

from leverdoor.membership.ownership import Ack, Table

__all__ = ["HeldUnits", "Units"]


class Units:
    """Units of one row held by this process.

    A row stands for the slots of one target or for one shift cap; its units are the
    slots or the units of the cap.

    Newly granted units settle for `settle_s` before they can be used, so that the
    previous holder's work at the target ends and a cap's window passes. Released
    units may have a cooldown, during which they still count as used.
    """

    def __init__(self, settle_s: float) -> None:
        """Create the accounting of a row without units.

        Args:
          settle_s: time before newly granted units become usable, in seconds.
        """
        self.settle_s = settle_s
        self.held = 0
        self.in_use = 0
        self._settling: list[tuple[float, int]] = []
        self._cooldowns: list[float] = []

    def set_held(self, held: int, now: float) -> None:
        """Set the number of units that the table grants."""
        change = held - self.held
        self.held = held
        if change > 0:
            self._settling.append((now + self.settle_s, change))
        # A smaller grant removes settling units first, beginning with the newest.
        while change < 0 and self._settling:
            ready, units = self._settling.pop()
            if units > -change:
                self._settling.append((ready, units + change))
            change += units

    def used(self, now: float) -> int:
        """Return the number of units in use or in cooldown."""
        while self._cooldowns and self._cooldowns[0] <= now:
            heapq.heappop(self._cooldowns)
        return self.in_use + len(self._cooldowns)

    def free(self, now: float) -> int:
        """Return the number of available units; negative when over the grant."""
        self._settling = [r for r in self._settling if r[0] > now]
        settling = sum(units for _, units in self._settling)
        return self.held - settling - self.used(now)

    def acquire(self, now: float) -> bool:
        """Acquire one unit if one is available."""
        if self.free(now) <= 0:
            return False
        self.in_use += 1
        return True

    def release(self, now: float, cooldown_s: float = 0.0) -> None:
        """Release one unit, which still counts as used for `cooldown_s` seconds."""
        self.in_use -= 1
        if cooldown_s > 0:
            heapq.heappush(self._cooldowns, now + cooldown_s)


class HeldUnits:
    """The units of one process, by row."""

    def __init__(self, gate: str, incarnation: int) -> None:
        """Create an accounting without units.

        Args:
          gate: the process's address in the table.
          incarnation: distinguishes it from earlier processes at that address.
        """
        self.gate = gate
        self.incarnation = incarnation
        self.version = 0
        self.rows: dict[str, Units] = {}

    def apply(self, table: Table, settle_s: Mapping[str, float], now: float) -> bool:
        """Apply a table if it is newer than the current one.

        Args:
          table: the region's table.
          settle_s: time before newly granted units become usable, in seconds, by row.
          now: monotonic time in seconds.
        Returns: whether the table was newer.
        """
        if table.version <= self.version:
            return False
        self.version = table.version
        member = table.member_id(self.gate, self.incarnation)
        granted = {
            name: row.held[member]
            for name, row in table.rows.items()
            if member and member in row.held
        }
        for name in granted.keys() - self.rows.keys():
            self.rows[name] = Units(settle_s.get(name, 0.0))
        for name, units in self.rows.items():
            units.settle_s = max(settle_s.get(name, units.settle_s), 0.0)
            units.set_held(granted.get(name, 0), now)
        self._remove_idle_rows(now)
        return True

    def _remove_idle_rows(self, now: float) -> None:
        idle = [n for n, u in self.rows.items() if not u.held and not u.used(now)]
        for name in idle:
            del self.rows[name]

    def free(self, row: str, now: float) -> int:
        """Return the number of available units of a row."""
        units = self.rows.get(row)
        return units.free(now) if units else 0

    def held(self, row: str) -> int:
        """Return the number of units of a row that the table grants."""
        units = self.rows.get(row)
        return units.held if units else 0

    def acquire(self, row: str, now: float) -> bool:
        """Acquire one unit of a row if one is available."""
        units = self.rows.get(row)
        return units.acquire(now) if units else False

    def release(self, row: str, now: float, cooldown_s: float = 0.0) -> None:
        """Release one unit of a row, with a cooldown of `cooldown_s` seconds."""
        self.rows[row].release(now, cooldown_s)
        self._remove_idle_rows(now)

    def ack(self, now: float) -> Ack:
        """Return the table version and the rows with more units used than granted."""
        over = sorted(n for n, u in self.rows.items() if u.used(now) > u.held)
        return Ack(self.version, over)
