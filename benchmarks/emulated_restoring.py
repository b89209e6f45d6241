# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Entries whose store comes back from a copy, on a fake clock.

The product's control plane and its translation of the store run (`emulated_following`).
Emulated are also an operator who changes the configuration, and targets that come and
leave; both write again what the store lost. The checks are the users' rules.

State: what was confirmed and when, and what each entry served; all of it lasts one run.
"""

import asyncio
import json
from collections.abc import Iterable
from math import inf

import msgspec

from emulated_following import FollowingSite
from emulated_store import StoreCopy
from leverdoor.entry.wire import Wire
from leverdoor.platform.wire_format import wire

__all__ = ["BOUND_S", "Figures", "RestoringSite"]

BOUND_S = 2.5
"""Time after a confirmation from which a change must be in force, in seconds."""
LOOK_S = 0.1
"""Time between two looks at what all entries have in force, in seconds."""
CHANGE_GAP_S = 0.33
LEAVE_GAP_S = 1.2
"""Time between two targets that leave, each with one that comes."""
SERVE_ON_S = 3.0
"""Time for which a target that said that it leaves serves on, in seconds."""
WRITTEN_AGAIN_S = 0.4
"""Time within which operator and targets write again what was lost, in seconds."""
AWAY_S = 0.8
"""Time for which the store answers nobody before it is back, in seconds."""
FIRST_TARGETS = 6


class Figures(msgspec.Struct):
    """What broke the rules, as looks at one entry each."""

    older: int = 0
    """An older configuration than one confirmed for longer than the bound."""
    left: int = 0
    """A target in use whose leaving was confirmed for longer than the bound."""
    back: int = 0
    """A configuration older than the entry's own before, or a target in use that the
    entry knew as leaving or gone."""
    worst_s: float = 0.0
    """Longest time from a confirmation to a look that found it not in force."""
    of: int = 0
    """All looks."""

    def line(self) -> str:
        """Return the figures as cells of a table."""
        broken = f"{self.older} | {self.left} | {self.back}"
        return f"{broken} | {self.of} | {self.worst_s:.1f}"


class _Target:
    """A target that keeps itself in the store."""

    def __init__(self, number: int, zone: str) -> None:
        self.name = f"i-{number}"
        self.key = f"servers/{self.name}"
        self.address = f"10.1.{number // 250}.{1 + number % 250}:80"
        self.zone = zone
        self.state = "ready"
        self.sequence = 1
        self.gone = False
        self.left_at = inf
        """When the store confirmed that it leaves."""

    def document(self) -> bytes:
        fields = {
            "service": "look",
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": 4,
            "state": self.state,
            "cold-remaining-ms": 0,
            "sequence": self.sequence,
        }
        return json.dumps(fields).encode()


class RestoringSite(FollowingSite):
    """Entries, an operator and targets around a store that comes back from a copy."""

    def __init__(self, entries: int, seed: int = 1, loss: float = 0.0) -> None:
        """Create it; see `FollowingSite`."""
        super().__init__(entries, seed=seed, loss=loss)
        self.figures = Figures()
        self.exempt: set[str] = set()
        """Entries that are not looked at."""
        self._version = 0
        self._confirmed: dict[int, float] = {}
        """When the store confirmed each version that it holds or held."""
        self._targets: dict[str, _Target] = {}
        self._known: dict[str, int] = {}
        """Highest version in force at each entry."""
        self._known_left: dict[str, set[str]] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def wire(self) -> Wire:
        """Return the platform's own names and formats."""
        return wire(self.domains)

    async def start(self, warm_up_s: float = 8.0) -> None:
        """Run all entries, the operator and the targets."""
        self._configure()
        for _ in range(FIRST_TARGETS):
            self._join()
        for entry in self.entries.values():
            entry.start()
        await asyncio.sleep(warm_up_s)
        loops = (self._change(), self._leave_and_join(), self._watch_over())
        self._tasks = [asyncio.ensure_future(run) for run in loops]

    async def stop(self) -> None:
        """End everything."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await super().stop()

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    # The operator and the targets.

    def _configure(self) -> None:
        self._version += 1
        self._write_configuration()

    def _write_configuration(self) -> None:
        route = {
            "name": "look",
            "host": "records.example",
            "path-prefix": "/",
            "kind": "safe",
            "service": "look",
        }
        config = {
            "version": f"{self._version:08x}",
            "routes": [route],
            "services": [{"name": "look"}],
        }
        self.store.put("op/config", json.dumps(config).encode())
        self._confirmed[self._version] = self._now()

    async def _change(self) -> None:
        while True:
            await asyncio.sleep(CHANGE_GAP_S)
            if not self.store.down:
                self._configure()

    def _join(self) -> None:
        number = len(self._targets)
        zone = sorted(self.domains)[number % len(self.domains)]
        target = self._targets[f"i-{number}"] = _Target(number, zone)
        self.store.put(target.key, target.document())

    async def _leave_and_join(self) -> None:
        while True:
            await asyncio.sleep(LEAVE_GAP_S)
            if self.store.down:
                continue
            first = next(t for t in self._targets.values() if t.state == "ready")
            first.state = "draining"
            first.sequence += 1
            self.store.put(first.key, first.document())
            first.left_at = self._now()
            asyncio.get_running_loop().call_later(SERVE_ON_S, self._end, first)
            self._join()

    def _end(self, target: _Target) -> None:
        target.gone = True
        if not self.store.down:
            self.store.remove(target.key)

    # The drill.

    async def drill(self, copy_age_s: float, quiet_s: float = 0.0) -> None:
        """Let the store come back from a copy.

        Args:
          copy_age_s: age of the copy when the store goes away, in seconds.
          quiet_s: time before the operator and the targets write again, in seconds.
        """
        copy = self.store.copy()
        await asyncio.sleep(copy_age_s)
        await self.come_back(copy, quiet_s)

    async def come_back(self, copy: StoreCopy, quiet_s: float = 0.0) -> None:
        """Let the store be away for a moment, and be back as a copy."""
        self.store.down = True
        await asyncio.sleep(AWAY_S)
        self.store.restore(copy)
        self._forget_lost()
        self.store.down = False
        await asyncio.sleep(quiet_s)
        loop = asyncio.get_running_loop()
        for target in self._targets.values():
            delay_s = self.rng.random() * WRITTEN_AGAIN_S
            loop.call_later(delay_s, self._write_again, target)
        await asyncio.sleep(self.rng.random() * WRITTEN_AGAIN_S)
        if self._stored_version() < self._version:
            self._write_configuration()

    def _stored_version(self) -> int:
        data = self.store.value("op/config") or b"{}"
        return int(json.loads(data).get("version", "0"), 16)

    def _forget_lost(self) -> None:
        """What the store lost counts as confirmed from when it is written again."""
        held = self._stored_version()
        self._confirmed = {v: t for v, t in self._confirmed.items() if v <= held}
        for target in self._targets.values():
            if self._is_lost(target):
                target.left_at = inf

    def _is_lost(self, target: _Target) -> bool:
        """Return whether the store does not hold what a target wrote last."""
        expected = None if target.gone else target.document()
        return self.store.value(target.key) != expected

    def _write_again(self, target: _Target) -> None:
        if self.store.down or not self._is_lost(target):
            return
        if target.gone:
            self.store.remove(target.key)
        else:
            self.store.put(target.key, target.document())
        if target.state != "ready":
            target.left_at = min(target.left_at, self._now())

    # The checks.

    async def _watch_over(self) -> None:
        while True:
            await asyncio.sleep(LOOK_S)
            for name in self.entries:
                if name not in self.exempt:
                    self._look(name)

    def _look(self, name: str) -> None:
        catalog = self.entries[name].catalog_manager.catalog
        if not catalog.configured:
            return  # An entry without a configuration answers 503.
        now = self._now()
        self.figures.of += 1
        version = int(catalog.version or "0", 16)
        due = [t for v, t in self._confirmed.items() if v > version]
        if self._is_late(due, now):
            self.figures.older += 1
        usable = catalog.usable_target_names
        left = [t for t in self._targets.values() if t.state != "ready"]
        if self._is_late([t.left_at for t in left if t.name in usable], now):
            self.figures.left += 1
        known_left = self._known_left.setdefault(name, set())
        if version < self._known.get(name, 0) or known_left & usable:
            self.figures.back += 1
        self._known[name] = max(version, self._known.get(name, 0))
        known_left |= {t.name for t in left if t.name not in usable}

    def _is_late(self, confirmed: Iterable[float], now: float) -> bool:
        age_s = now - min(confirmed, default=inf)
        if age_s > 0:
            self.figures.worst_s = max(self.figures.worst_s, age_s)
        return age_s > BOUND_S

    def restarted(self, name: str) -> None:
        """Forget what an entry knew; its process is a new one."""
        self._known.pop(name, None)
        self._known_left.pop(name, None)
