# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""A gate's own units: exact counting of what the ownership table grants it.

Owns the units in use, ripening and cooling of this process, by row; a new process
starts without any, under a new incarnation. With `membership/ownership.py` it is the
safety argument of docs/DESIGN.md: this side ripens, cools and acknowledges. Relies on
the table alone, never on heartbeats.
"""

import heapq
from collections.abc import Mapping

from leverdoor.membership.ownership import Ack, Table

__all__ = ["HeldUnits", "Units"]


class Units:
    """Units of one row held by this process.

    Units gained ripen for `settle_s` before they can be used: work that an
    earlier holder left at a target ends meanwhile, and a cap's window passes.
    Units given back may cool: they stay counted until a given time.
    """

    def __init__(self, settle_s: float) -> None:
        """Create an empty holding.

        Args:
          settle_s: how long gained units stay unusable, in seconds.
        """
        self.settle_s = settle_s
        self.held = 0
        self.in_use = 0
        self._settling: list[tuple[float, int]] = []
        self._cooldowns: list[float] = []

    def set_held(self, held: int, now: float) -> None:
        """Take a new grant from the table."""
        change = held - self.held
        self.held = held
        if change > 0:
            self._settling.append((now + self.settle_s, change))
        while change < 0 and self._settling:
            ready, units = self._settling.pop()
            if units > -change:
                self._settling.append((ready, units + change))
            change += units

    def used(self, now: float) -> int:
        """Units in use or cooling."""
        while self._cooldowns and self._cooldowns[0] <= now:
            heapq.heappop(self._cooldowns)
        return self.in_use + len(self._cooldowns)

    def free(self, now: float) -> int:
        """Units that can be taken now; negative when over the grant."""
        self._settling = [r for r in self._settling if r[0] > now]
        unripe = sum(units for _, units in self._settling)
        return self.held - unripe - self.used(now)

    def acquire(self, now: float) -> bool:
        """Take one unit if one is free."""
        if self.free(now) <= 0:
            return False
        self.in_use += 1
        return True

    def release(self, now: float, cooldown_s: float = 0.0) -> None:
        """Give one unit back, which stays counted for `cooldown_s` seconds."""
        self.in_use -= 1
        if cooldown_s > 0:
            heapq.heappush(self._cooldowns, now + cooldown_s)


class HeldUnits:
    """All units of one process, by row."""

    def __init__(self, gate: str, incarnation: int) -> None:
        """Create empty holdings.

        Args:
          gate: the process's address in the table.
          incarnation: distinguishes it from earlier processes there.
        """
        self.gate = gate
        self.incarnation = incarnation
        self.version = 0
        self.rows: dict[str, Units] = {}

    def apply(self, table: Table, settle_s: Mapping[str, float], now: float) -> bool:
        """Take a newer table.

        Args:
          table: the region's table.
          settle_s: for each row, how long gained units stay unusable.
          now: monotonic time in seconds.
        Returns: whether it was newer.
        """
        if table.version <= self.version:
            return False
        self.version = table.version
        number = table.member_id(self.gate, self.incarnation)
        granted = {
            name: row.held[number]
            for name, row in table.rows.items()
            if number and number in row.held
        }
        for name in granted.keys() - self.rows.keys():
            self.rows[name] = Units(settle_s.get(name, 0.0))
        for name, units in self.rows.items():
            units.settle_s = max(settle_s.get(name, units.settle_s), 0.0)
            units.set_held(granted.get(name, 0), now)
        self._forget(now)
        return True

    def _forget(self, now: float) -> None:
        idle = [n for n, u in self.rows.items() if not u.held and not u.used(now)]
        for name in idle:
            del self.rows[name]

    def free(self, row: str, now: float) -> int:
        """Units of a row that can be taken now."""
        units = self.rows.get(row)
        return units.free(now) if units else 0

    def held(self, row: str) -> int:
        """Units of a row that the table grants."""
        units = self.rows.get(row)
        return units.held if units else 0

    def acquire(self, row: str, now: float) -> bool:
        """Take one unit of a row if one is free."""
        units = self.rows.get(row)
        return units.acquire(now) if units else False

    def release(self, row: str, now: float, cooldown_s: float = 0.0) -> None:
        """Give one unit of a row back."""
        self.rows[row].release(now, cooldown_s)
        self._forget(now)

    def ack(self, now: float) -> Ack:
        """Return which table is applied, and the rows on which too much is in use."""
        over = sorted(n for n, u in self.rows.items() if u.used(now) > u.held)
        return Ack(self.version, over)
